/**
 * Evidence that a task is gone from its machine, and whether it still holds.
 *
 * A conclusion waits: for a write, for the leader, for the end of an outage. What it was drawn from
 * may be over by then. A worker that didn't have a task under one epoch may have been told to
 * launch it by the machine's next owner under a later one, so a task's absence proves nothing once
 * the machine has had another owner. That the cloud took a machine back holds for ever.
 *
 * Whoever acts on a release, the leader's transaction included, asks ws_release_is_valid first. The
 * machine's owner, in turn, launches nothing for whose release it has evidence.
 */
#pragma once

#include "storage/ws-replica.h"

/** What shows that a task's attempt is gone. */
typedef enum {
  WS_EVIDENCE_ABSENT,  /**< a heartbeat under the owner's token doesn't have the attempt */
  WS_EVIDENCE_EXITED,  /**< a heartbeat under the owner's token shows that it has exited */
  WS_EVIDENCE_RETURNED /**< the cloud has confirmed the machine's return */
} WsEvidenceKind;

/** What shows that a task is gone, and under which epoch that was stated. */
typedef struct {
  WsEvidenceKind kind;
  WsMachineIndex machine;
  guint64 epoch;       /**< the latest one under which the machine's owner has stated it */
  guint64 incarnation; /**< of the worker's message; 0: there is none */
  guint64 sequence;    /**< of the worker's message */
} WsEvidence;

/** A task's attempt that is gone from its machine, and is to be taken off the records. */
typedef struct {
  WsJobIndex job;
  guint task;
  guint64 attempt;
  gboolean is_completed; /**< whether the task is completed, else it is to run again */
  WsEvidence evidence;
} WsRelease;

/** Evidence of the present epoch, from the newest message of the machine's worker. */
WsEvidence ws_evidence_new(const WsReplica *replica, const WsMachine *machine, WsEvidenceKind kind);

/** The assignment of this very attempt; NULL: it is off the records. */
const WsAssignment *ws_release_assignment(const WsReplica *replica, const WsRelease *release);

/**
 * Whether the release may be written: the records show this attempt on the machine that the
 * evidence is about, and nobody but the owner who stated it has had the right to launch it there
 * since. The result of a completed task is kept wherever it is started again, so a completed one
 * stays so.
 */
gboolean ws_release_is_valid(const WsReplica *replica, const WsRelease *release);

/** One line for the log. The caller frees it. */
char *ws_release_describe(const WsReplica *replica, const WsRelease *release);

/** The release as an item of a message between controllers, a new JSON array. */
json_t *ws_release_encode(const WsReplica *replica, const WsRelease *release);

/**
 * Reads the evidence of such an item. FALSE: it has none, as versions before 0.4 send it, or none
 * that can be understood.
 */
gboolean ws_evidence_parse(const WsReplica *replica, const json_t *item, WsEvidence *evidence);

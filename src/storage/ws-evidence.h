/**
 * Releases of tasks that are gone from their machines, and the evidence for them.
 *
 * A release may wait before it is written: for a transaction, for the leader, or for the end of an
 * outage. Its evidence can become stale meanwhile. A worker that did not have a task under one
 * epoch may have received its launch from the machine's next owner under a later epoch, so the
 * absence of a task proves nothing once the machine has had another owner. Evidence that the cloud
 * has taken a machine back never becomes stale.
 *
 * Code that acts on a release, including the leader's transaction, must call ws_release_is_valid
 * first. A machine's owner never launches an attempt for whose release it has evidence.
 */
#pragma once

#include "storage/ws-replica.h"

/** How it is known that a task's attempt is gone. */
typedef enum {
  WS_EVIDENCE_ABSENT,  /**< a heartbeat with the owner's fencing token lacks the attempt */
  WS_EVIDENCE_EXITED,  /**< a heartbeat with the owner's fencing token reports its exit */
  WS_EVIDENCE_RETURNED /**< the cloud has confirmed the machine's return */
} WsEvidenceKind;

/** Evidence that a task is gone, and the epoch under which the machine's owner stated it. */
typedef struct {
  WsEvidenceKind kind;
  WsMachineIndex machine;
  guint64 epoch;       /**< the latest epoch under which the machine's owner stated it */
  guint64 incarnation; /**< from the worker's message; 0 if there is none */
  guint64 sequence;    /**< from the worker's message */
} WsEvidence;

/** A task's attempt that is gone from its machine and is to be removed from the records. */
typedef struct {
  WsJobIndex job;
  guint task;
  guint64 attempt;
  gboolean is_completed; /**< the task is completed; otherwise it has to run again */
  WsEvidence evidence;
} WsRelease;

/** Creates evidence under the current epoch from the newest message of the machine's worker. */
WsEvidence ws_evidence_new(const WsReplica *replica, const WsMachine *machine, WsEvidenceKind kind);

/** Returns the assignment of the released attempt, or NULL if the records no longer have it. */
const WsAssignment *ws_release_assignment(const WsReplica *replica, const WsRelease *release);

/**
 * Returns whether the release may be written. The records must still assign this attempt to the
 * machine that the evidence is about, and no other owner may have been entitled to launch it there
 * since the evidence was stated. The release of a completed task needs no check of the owner: the
 * result is kept, so the task stays completed even if it is launched again.
 */
gboolean ws_release_is_valid(const WsReplica *replica, const WsRelease *release);

/** Returns a one-line description for the log. The caller frees it. */
char *ws_release_describe(const WsReplica *replica, const WsRelease *release);

/** Encodes the release as an item of a message between nodes, a new JSON array. */
json_t *ws_release_encode(const WsReplica *replica, const WsRelease *release);

/**
 * Parses the evidence in such an item. Returns FALSE if it has none, as from versions before 0.4,
 * or if the evidence is damaged or names an unknown machine.
 */
gboolean ws_evidence_parse(const WsReplica *replica, const json_t *item, WsEvidence *evidence);

/**
 * A job in the replica: its record, its chunks, and this node's local status of it.
 *
 * Only the replica writes the stored fields, when it applies records. `status` is written by
 * scheduling and, as tasks end, by workers. All other code only reads.
 */
#pragma once

#include "protocol/ws-job-spec.h"
#include "storage/ws-chunk.h"
#include "storage/ws-status.h"

/** The state of a job, as stored in its record. */
typedef enum { WS_JOB_ACTIVE, WS_JOB_DONE, WS_JOB_CANCELLED } WsJobState;

/** A job. Owned by the replica. */
typedef struct {
  WsJobIndex index;
  char *id;
  WsJobState state;
  WsJobSpec *spec; /**< owned; NULL once the record is in final form */
  guint tasks;     /**< number of tasks */
  WsTeamIndex team;
  WsImageIndex image;
  WsZoneIndex zone;        /**< required zone; WS_NO_ZONE for any */
  WsNodeIndex coordinator; /**< the coordinating node; WS_NO_NODE for the leader */
  gint64 accepted_ms;      /**< wall clock */
  gint64 cancelled_ms;     /**< wall clock; 0 if not cancelled or not recorded */
  GPtrArray *chunks;       /**< of WsChunk, owned, by number; NULL where a chunk has no record */
  guint completed_count;   /**< tasks completed, over all chunks */
  guint assigned_count;    /**< tasks that are assigned to a machine, over all chunks */
  WsJobStatus status;      /**< not stored */
} WsJob;

/** Identifies a task of a job. */
typedef struct {
  WsJobIndex job;
  guint task;
} WsTaskRef;

/** Returns the number of chunks for the job's tasks. */
guint ws_job_chunk_count(const WsJob *job);

/** Returns the chunk of the task, owned by the job, or NULL if the chunk has no record. */
WsChunk *ws_job_chunk(const WsJob *job, guint task);

/** Returns the task's assignment, owned by the job, or NULL if there is none. */
WsAssignment *ws_job_assignment(const WsJob *job, guint task);

/** Returns whether the task is completed. */
gboolean ws_job_is_task_completed(const WsJob *job, guint task);

/** Returns the highest attempt number used so far in any of the job's chunks. */
guint64 ws_job_last_attempt(const WsJob *job);

/** Iterates over the assignments of a job. The job's chunks must not change meanwhile. */
typedef struct {
  const WsJob *job;
  guint chunk;
  guint position;
} WsAssignmentIter;

/** Initialises the iterator to the start of the job's assignments. */
void ws_assignment_iter_init(WsAssignmentIter *iter, const WsJob *job);

/** Returns the next assignment, owned by the job, or NULL at the end. */
WsAssignment *ws_assignment_iter_next(WsAssignmentIter *iter);

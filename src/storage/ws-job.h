/**
 * A job as the replica holds it: its record, its chunks, and what this node knows besides.
 *
 * The stored part is written by the replica alone, as it applies records; `status` belongs to
 * scheduling. Everybody else reads.
 */
#pragma once

#include "protocol/ws-job-spec.h"
#include "storage/ws-chunk.h"
#include "storage/ws-status.h"

/** What has become of a job. */
typedef enum { WS_JOB_ACTIVE, WS_JOB_DONE, WS_JOB_CANCELLED } WsJobState;

/** A job. Owned by the replica. */
typedef struct {
  WsJobIndex index;
  char *id;
  WsJobState state;
  WsJobSpec *spec; /**< owned; NULL once the record has its final form */
  guint tasks;     /**< how many it has */
  WsTeamIndex team;
  WsImageIndex image;
  WsZoneIndex zone;        /**< WS_NO_ZONE: any */
  WsNodeIndex coordinator; /**< the coordinating node; WS_NO_NODE: the leader */
  gint64 accepted_ms;      /**< wall clock */
  gint64 cancelled_ms;     /**< wall clock; 0: not cancelled, or the record has no time */
  GPtrArray *chunks;       /**< of WsChunk, owned, by number; a missing one is NULL */
  guint completed_count;   /**< tasks completed, over all chunks */
  guint assigned_count;    /**< tasks with a machine, over all chunks */
  WsJobStatus status;      /**< not stored */
} WsJob;

/** A task of a job. */
typedef struct {
  WsJobIndex job;
  guint task;
} WsTaskRef;

/** How many chunks the job's tasks need. */
guint ws_job_chunk_count(const WsJob *job);

/** The chunk that holds the task, owned by the job; NULL: there is no record of it. */
WsChunk *ws_job_chunk(const WsJob *job, guint task);

/** The task's assignment, owned by the job; NULL: there is none. */
WsAssignment *ws_job_assignment(const WsJob *job, guint task);

/** Whether the task is completed. */
gboolean ws_job_is_task_completed(const WsJob *job, guint task);

/** The highest attempt number that was given out in any of the job's chunks. */
guint64 ws_job_last_attempt(const WsJob *job);

/** Goes through the assignments of a job, whose records must not change meanwhile. */
typedef struct {
  const WsJob *job;
  guint chunk;
  guint place;
} WsAssignmentIter;

/** Places @iter before the first assignment. */
void ws_assignment_iter_init(WsAssignmentIter *iter, const WsJob *job);

/** The next assignment, owned by the job; NULL: there are no more. */
WsAssignment *ws_assignment_iter_next(WsAssignmentIter *iter);

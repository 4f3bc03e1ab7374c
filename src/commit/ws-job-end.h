/**
 * The rule that decides when a job ends. Used both to order releases and to build batches, which
 * have to agree.
 */
#pragma once

#include "storage/ws-replica.h"

/** The progress of a job, as it will be after some releases are committed. */
typedef struct {
  gint64 completed_count; /**< completed tasks */
  gint64 assigned_count;  /**< tasks that are still assigned */
  gboolean has_completed; /**< whether one of the releases is of a completed task */
} WsJobProgress;

/**
 * Returns whether the job ends with the releases. An active job ends when all of its tasks are
 * completed; a gang already with its first completed task, since its tasks complete together. A
 * cancelled job ends when none of its tasks is assigned any more.
 */
gboolean ws_job_ends_after(const WsJob *job, const WsJobProgress *progress);

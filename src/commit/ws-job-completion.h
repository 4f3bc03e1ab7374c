/**
 * When a job ends: the one rule that the order of releases and the transaction share.
 */
#pragma once

#include "storage/ws-replica.h"

/** What a job's records would say once some releases are written. */
typedef struct {
  gint64 completed_count; /**< completed tasks */
  gint64 assigned_count;  /**< tasks that are still assigned */
  gboolean has_completed; /**< one of the releases is of a completed task */
} WsJobProgress;

/**
 * Whether the releases leave the job with nothing to do: all tasks are completed, or, of a
 * cancelled job, none is assigned any more. The tasks of a gang complete together.
 */
gboolean ws_job_ends_after(const WsJob *job, const WsJobProgress *progress);

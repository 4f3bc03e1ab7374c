/**
 * The job API's response about a job: its state and, if a user polls the job, the numbers of
 * completed and running tasks.
 */
#pragma once

#include <jansson.h>
#include <glib.h>

/** The state of a job as the job API reports it. */
typedef enum {
  WS_REPORTED_STATE_QUEUED, /**< no task is assigned to a machine */
  WS_REPORTED_STATE_RUNNING,
  WS_REPORTED_STATE_DONE,
  WS_REPORTED_STATE_CANCELLED
} WsReportedJobState;

/** What the job API reports about a job. */
typedef struct {
  const char *job_id; /**< borrowed */
  WsReportedJobState state;
  guint done_tasks;
  guint running_tasks;
} WsJobSummary;

/** Encodes the summary as a new JSON object. @with_tasks: include the numbers of tasks */
json_t *ws_job_summary_encode(const WsJobSummary *summary, gboolean with_tasks);

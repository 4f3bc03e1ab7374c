/**
 * The answer to a job's user: its state, and for a poll how many tasks are done and running.
 * Called by the job API.
 */
#pragma once

#include <jansson.h>
#include <glib.h>

/** The state of a job, as its user is told. */
typedef enum {
  WS_REPORTED_STATE_QUEUED, /**< no task has a machine */
  WS_REPORTED_STATE_RUNNING,
  WS_REPORTED_STATE_DONE,
  WS_REPORTED_STATE_CANCELLED
} WsReportedJobState;

/** What a user is told of a job. */
typedef struct {
  const char *job_id; /**< borrowed */
  WsReportedJobState state;
  guint done_tasks;
  guint running_tasks;
} WsJobSummary;

/** Returns a new JSON object. @with_tasks: the numbers of tasks too, as the answer to a poll has */
json_t *ws_job_summary_encode(const WsJobSummary *summary, gboolean with_tasks);

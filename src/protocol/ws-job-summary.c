/* Encodes the state of a job as its user gets it. */
#include "protocol/ws-job-summary.h"

#include "protocol/ws-field-names.h"

#define FIELD_DONE_TASKS "done"
#define FIELD_RUNNING_TASKS "running"

json_t *
ws_job_summary_encode(const WsJobSummary *summary, gboolean with_tasks)
{
  static const char *const STATES[] = { [WS_REPORTED_STATE_QUEUED] = "queued",
                                        [WS_REPORTED_STATE_RUNNING] = "running",
                                        [WS_REPORTED_STATE_DONE] = "done",
                                        [WS_REPORTED_STATE_CANCELLED] = "cancelled" };
  json_t *message = json_pack("{s:s, s:s}", WS_FIELD_ID, summary->job_id, WS_FIELD_STATE,
                              STATES[summary->state]);
  if (with_tasks) {
    json_object_set_new(message, FIELD_DONE_TASKS, json_integer(summary->done_tasks));
    json_object_set_new(message, FIELD_RUNNING_TASKS, json_integer(summary->running_tasks));
  }
  return message;
}

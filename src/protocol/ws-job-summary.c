#include "protocol/ws-job-summary.h"

#include "protocol/ws-field-names.h"

json_t *
ws_job_summary_encode(const WsJobSummary *summary, gboolean with_tasks)
{
  static const char *const STATES[] = { [WS_USER_STATE_QUEUED] = "queued",
                                        [WS_USER_STATE_RUNNING] = "running",
                                        [WS_USER_STATE_DONE] = "done",
                                        [WS_USER_STATE_CANCELLED] = "cancelled" };
  json_t *message
      = json_pack("{s:s, s:s}", "id", summary->job_id, WS_FIELD_STATE, STATES[summary->state]);
  if (with_tasks) {
    json_object_set_new(message, "done", json_integer(summary->done_tasks));
    json_object_set_new(message, "running", json_integer(summary->running_tasks));
  }
  return message;
}

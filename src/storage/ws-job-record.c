/* Encoding and parsing of a job's record. */
#include "storage/ws-job-record.h"

#include <string.h>

/* Stored field names. */
#define FIELD_STATE "s"
#define FIELD_ACCEPTED "at"
#define FIELD_COORDINATOR "home"
#define FIELD_SPEC "spec"
#define FIELD_CANCELLED "cancelled"
#define FIELD_TASKS "n"

static const char *const STATE_NAMES[] = { "active", "done", "cancelled" };

json_t *
ws_job_encode(const WsJob *job, WsJobState state, const char *coordinator)
{
  json_t *value = json_pack("{s:s, s:I, s:s, s:o}", FIELD_STATE, STATE_NAMES[state], FIELD_ACCEPTED,
                            (json_int_t)job->accepted_ms, FIELD_COORDINATOR, coordinator,
                            FIELD_SPEC, ws_job_spec_encode(job->spec));
  if (state == WS_JOB_CANCELLED)
    json_object_set_new(value, FIELD_CANCELLED, json_integer((json_int_t)job->cancelled_ms));
  return value;
}

json_t *
ws_job_encode_final(const WsJob *job, WsJobState state)
{
  return json_pack("{s:s, s:i}", FIELD_STATE, STATE_NAMES[state], FIELD_TASKS, (int)job->tasks);
}

static gboolean
parse_state(const json_t *value, WsJobState *state)
{
  const char *name;
  if (!ws_json_string(value, FIELD_STATE, &name))
    return FALSE;
  for (guint s = 0; s < G_N_ELEMENTS(STATE_NAMES); s++)
    if (strcmp(STATE_NAMES[s], name) == 0) {
      *state = (WsJobState)s;
      return TRUE;
    }
  return FALSE;
}

gboolean
ws_job_record_parse(const json_t *value, WsJobRecord *record)
{
  guint64 tasks = 0, accepted_ms = 0, cancelled_ms = 0;
  *record = (WsJobRecord){ .coordinator = "" };
  if (!parse_state(value, &record->state))
    return FALSE;
  record->spec = json_object_get(value, FIELD_SPEC);
  if (!ws_json_uint64_or_null(value, FIELD_TASKS, &tasks)
      || !ws_json_uint64_or_null(value, FIELD_ACCEPTED, &accepted_ms)
      || !ws_json_uint64_or_null(value, FIELD_CANCELLED, &cancelled_ms)
      || !ws_json_string_or_null(value, FIELD_COORDINATOR, &record->coordinator))
    return FALSE;
  record->has_task_count = !ws_json_is_absent(value, FIELD_TASKS);
  record->tasks = (guint)tasks;
  record->accepted_ms = (gint64)accepted_ms;
  record->cancelled_ms = (gint64)cancelled_ms;
  return TRUE;
}

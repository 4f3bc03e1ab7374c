/* The record of a job. */
#include "storage/ws-job-record.h"

#include <string.h>

/* Stored field names. */
#define FIELD_STATE "s"
#define FIELD_ACCEPTED "at"
#define FIELD_COORDINATOR "home"
#define FIELD_SPEC "spec"
#define FIELD_CANCELLED "cancelled"
#define FIELD_TASKS "n"

static const char *const JOB_STATES[] = { "active", "done", "cancelled" };

json_t *
ws_job_encode(const WsJob *job, WsJobState state, const char *coordinator)
{
  json_t *value = json_pack("{s:s, s:I, s:s, s:o}", FIELD_STATE, JOB_STATES[state], FIELD_ACCEPTED,
                            (json_int_t)job->accepted_ms, FIELD_COORDINATOR, coordinator,
                            FIELD_SPEC, ws_job_spec_encode(job->spec));
  if (state == WS_JOB_CANCELLED)
    json_object_set_new(value, FIELD_CANCELLED, json_integer((json_int_t)job->cancelled_ms));
  return value;
}

json_t *
ws_job_encode_final(const WsJob *job, WsJobState state)
{
  return json_pack("{s:s, s:i}", FIELD_STATE, JOB_STATES[state], FIELD_TASKS, (int)job->tasks);
}

static gboolean
parse_state(const json_t *value, WsJobState *state)
{
  const char *name;
  if (!ws_json_string(value, FIELD_STATE, &name))
    return FALSE;
  for (guint s = 0; s < G_N_ELEMENTS(JOB_STATES); s++)
    if (strcmp(JOB_STATES[s], name) == 0) {
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
  record->has_task_count = ws_json_uint64(value, FIELD_TASKS, &tasks);
  record->tasks = (guint)tasks;
  (void)ws_json_uint64(value, FIELD_ACCEPTED, &accepted_ms);
  record->accepted_ms = (gint64)accepted_ms;
  (void)ws_json_uint64(value, FIELD_CANCELLED, &cancelled_ms);
  record->cancelled_ms = (gint64)cancelled_ms;
  (void)ws_json_string(value, FIELD_COORDINATOR, &record->coordinator);
  return TRUE;
}

#include "protocol/ws-job-spec.h"

#include "protocol/ws-field-names.h"

#include <string.h>

static const char *const KINDS[] = { "sweep", "service", "group", NULL };
static const char *const PRIORITIES[] = { "critical", "urgent", "standard", "best_effort", NULL };

#define MAX_SECONDS 1e9
#define MAX_TEXT_BYTES 200
#define MAX_MACHINE_TYPES 1000
#define NO_DEADLINE_S (-1.0)
#define JOB_ID_PREFIX "req-"
#define MAX_JOB_ID_BYTES 64

gboolean
ws_job_id_valid(const char *id)
{
  if (id == NULL || !g_str_has_prefix(id, JOB_ID_PREFIX) || strlen(id) > MAX_JOB_ID_BYTES)
    return FALSE;
  const char *rest = id + strlen(JOB_ID_PREFIX);
  if (*rest == '\0')
    return FALSE;
  for (; *rest != '\0'; rest++)
    if (!g_ascii_isalnum(*rest))
      return FALSE;
  return TRUE;
}

static gboolean
parse_seconds(const json_t *message, const char *name, double *value)
{
  return ws_json_number(message, name, value) && *value >= 0.0 && *value <= MAX_SECONDS;
}

static gboolean
parse_name(const json_t *message, const char *name, const char *const *names, guint *index)
{
  const char *text;
  if (!ws_json_string(message, name, &text))
    return FALSE;
  for (*index = 0; names[*index] != NULL; ++*index)
    if (strcmp(names[*index], text) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
parse_text(const json_t *message, const char *name, char **value)
{
  const char *found;
  if (!ws_json_string(message, name, &found) || *found == '\0' || strlen(found) > MAX_TEXT_BYTES)
    return FALSE;
  *value = g_strdup(found);
  return TRUE;
}

static gboolean
parse_types(const json_t *message, char ***value)
{
  const json_t *list = json_object_get(message, WS_FIELD_MACHINE_TYPES);
  if (list == NULL || json_is_null(list))
    return TRUE;
  if (json_array_size(list) > MAX_MACHINE_TYPES)
    return FALSE;
  *value = ws_json_string_list(list);
  return *value != NULL;
}

static gboolean
parse_tasks(const json_t *message, guint *value)
{
  guint64 count;
  if (!ws_json_count(message, WS_FIELD_TASKS, &count) || count < 1 || count > WS_MAX_TASKS)
    return FALSE;
  *value = (guint)count;
  return TRUE;
}

static gboolean
parse_id(const json_t *message, char **value)
{
  return parse_text(message, WS_FIELD_ID, value) && ws_job_id_valid(*value);
}

static gboolean
parse_deadline(const json_t *message, double *value)
{
  *value = NO_DEADLINE_S;
  return ws_json_number_or_null(message, WS_FIELD_DEADLINE_S, value) && *value <= MAX_SECONDS
         && (*value >= 0.0 || *value == NO_DEADLINE_S);
}

static gboolean
parse_zone(const json_t *message, char **value)
{
  const char *found = NULL;
  if (!ws_json_string_or_null(message, WS_FIELD_ZONE, &found))
    return FALSE;
  *value = g_strdup(found);
  return TRUE;
}

/* The name of the first member that is missing or invalid, or NULL. */
static const char *
parse_members(const json_t *m, WsJobSpec *s)
{
  guint kind = 0, priority = 0;
  const char *bad
      = !parse_id(m, &s->id)                                            ? WS_FIELD_ID
        : !parse_text(m, WS_FIELD_CLASS, &s->class_name)                ? WS_FIELD_CLASS
        : !parse_text(m, WS_FIELD_TEAM, &s->team)                       ? WS_FIELD_TEAM
        : !parse_name(m, WS_FIELD_KIND, KINDS, &kind)                   ? WS_FIELD_KIND
        : !parse_name(m, WS_FIELD_PRIORITY, PRIORITIES, &priority)      ? WS_FIELD_PRIORITY
        : !parse_tasks(m, &s->tasks)                                    ? WS_FIELD_TASKS
        : !ws_amount_parse_need(m, WS_FIELD_CPUS, &s->need.cpus)        ? WS_FIELD_CPUS
        : !ws_amount_parse_need(m, WS_FIELD_GPUS, &s->need.gpus)        ? WS_FIELD_GPUS
        : !ws_amount_parse_need(m, WS_FIELD_MEMORY_GB, &s->need.memory) ? WS_FIELD_MEMORY_GB
        : !parse_text(m, WS_FIELD_IMAGE, &s->image)                     ? WS_FIELD_IMAGE
        : !parse_seconds(m, WS_FIELD_IMAGE_GB, &s->image_gb)            ? WS_FIELD_IMAGE_GB
        : !parse_types(m, &s->types)                                    ? WS_FIELD_MACHINE_TYPES
        : !parse_zone(m, &s->zone)                                      ? WS_FIELD_ZONE
        : !ws_json_bool(m, WS_FIELD_ONE_ZONE, &s->one_zone)             ? WS_FIELD_ONE_ZONE
        : !ws_json_bool(m, WS_FIELD_SPREAD, &s->spread)                 ? WS_FIELD_SPREAD
        : !ws_json_bool(m, WS_FIELD_SPOT, &s->spot)                     ? WS_FIELD_SPOT
        : !parse_seconds(m, WS_FIELD_ESTIMATE_S, &s->estimate_s)        ? WS_FIELD_ESTIMATE_S
        : !parse_seconds(m, WS_FIELD_CHECKPOINT_S, &s->checkpoint_s)    ? WS_FIELD_CHECKPOINT_S
        : !parse_seconds(m, WS_FIELD_SAVE_S, &s->save_s)                ? WS_FIELD_SAVE_S
        : !parse_deadline(m, &s->deadline_s)                            ? WS_FIELD_DEADLINE_S
                                                                        : NULL;
  s->kind = (WsKind)kind;
  s->priority = (WsPriority)priority;
  return bad;
}

WsJobSpec *
ws_job_spec_parse(const json_t *message, GError **error)
{
  if (!json_is_object(message)) {
    ws_error_set_not_object(error);
    return NULL;
  }
  g_autoptr(WsJobSpec) spec = g_new0(WsJobSpec, 1);
  const char *bad = parse_members(message, spec);
  if (bad != NULL) {
    ws_error_set_invalid(error, WS_ERROR_INVALID_FIELD, bad);
    return NULL;
  }
  return g_steal_pointer(&spec);
}

static json_t *
encode_types(char *const *names)
{
  if (names == NULL)
    return json_null();
  json_t *list = json_array();
  for (; *names != NULL; names++)
    json_array_append_new(list, json_string(*names));
  return list;
}

json_t *
ws_job_spec_encode(const WsJobSpec *s)
{
  json_t *m = json_pack("{s:s, s:s, s:s, s:s, s:s, s:i}", WS_FIELD_ID, s->id, WS_FIELD_CLASS,
                        s->class_name, WS_FIELD_TEAM, s->team, WS_FIELD_KIND, KINDS[s->kind],
                        WS_FIELD_PRIORITY, PRIORITIES[s->priority], WS_FIELD_TASKS, (int)s->tasks);
  json_object_set_new(m, WS_FIELD_CPUS, ws_amount_encode(s->need.cpus));
  json_object_set_new(m, WS_FIELD_GPUS, ws_amount_encode(s->need.gpus));
  json_object_set_new(m, WS_FIELD_MEMORY_GB, ws_amount_encode(s->need.memory));
  json_object_set_new(m, WS_FIELD_IMAGE, json_string(s->image));
  json_object_set_new(m, WS_FIELD_IMAGE_GB, json_real(s->image_gb));
  json_object_set_new(m, WS_FIELD_MACHINE_TYPES, encode_types(s->types));
  json_object_set_new(m, WS_FIELD_ZONE, s->zone != NULL ? json_string(s->zone) : json_null());
  json_object_set_new(m, WS_FIELD_ONE_ZONE, json_boolean(s->one_zone));
  json_object_set_new(m, WS_FIELD_SPREAD, json_boolean(s->spread));
  json_object_set_new(m, WS_FIELD_SPOT, json_boolean(s->spot));
  json_object_set_new(m, WS_FIELD_ESTIMATE_S, json_real(s->estimate_s));
  json_object_set_new(m, WS_FIELD_CHECKPOINT_S, json_real(s->checkpoint_s));
  json_object_set_new(m, WS_FIELD_SAVE_S, json_real(s->save_s));
  json_object_set_new(m, WS_FIELD_DEADLINE_S,
                      s->deadline_s >= 0.0 ? json_real(s->deadline_s) : json_null());
  return m;
}

void
ws_job_spec_free(WsJobSpec *spec)
{
  if (spec == NULL)
    return;
  g_free(spec->id);
  g_free(spec->class_name);
  g_free(spec->team);
  g_free(spec->image);
  g_free(spec->zone);
  g_strfreev(spec->types);
  g_free(spec);
}

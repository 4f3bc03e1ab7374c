/* Parses and encodes job submissions. The stored job records contain them too. */
#include "protocol/ws-job-spec.h"

#include "protocol/ws-field-names.h"

#include <string.h>

static const char *const KIND_NAMES[] = { "sweep", "service", "group", NULL };
static const char *const PRIORITY_NAMES[]
    = { "critical", "urgent", "standard", "best_effort", NULL };

/* Upper limit of durations in seconds and of the image size in GB. */
#define MAX_SECONDS_OR_GB 1e9
#define MAX_STRING_BYTES 200
#define MAX_MACHINE_TYPES 1000
#define NO_DEADLINE_S (-1.0)
#define JOB_ID_PREFIX "req-"
#define MAX_JOB_ID_BYTES 64

gboolean
ws_job_id_is_valid(const char *id)
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
parse_non_negative(const json_t *message, const char *name, double *value)
{
  return ws_json_number(message, name, value) && *value >= 0.0 && *value <= MAX_SECONDS_OR_GB;
}

/* Parses a field whose value must be one of the names; sets @index to its index in @names. */
static gboolean
parse_enum(const json_t *message, const char *name, const char *const *names, guint *index)
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
parse_string(const json_t *message, const char *name, char **value)
{
  const char *found;
  if (!ws_json_string(message, name, &found) || *found == '\0' || strlen(found) > MAX_STRING_BYTES)
    return FALSE;
  *value = g_strdup(found);
  return TRUE;
}

static gboolean
parse_machine_types(const json_t *message, char ***value)
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
parse_task_count(const json_t *message, guint *value)
{
  guint64 count;
  if (!ws_json_uint64(message, WS_FIELD_TASKS, &count) || count < 1 || count > WS_MAX_TASKS)
    return FALSE;
  *value = (guint)count;
  return TRUE;
}

static gboolean
parse_job_id(const json_t *message, char **value)
{
  return parse_string(message, WS_FIELD_ID, value) && ws_job_id_is_valid(*value);
}

static gboolean
parse_deadline(const json_t *message, double *value)
{
  *value = NO_DEADLINE_S;
  return ws_json_is_absent(message, WS_FIELD_DEADLINE_S)
         || parse_non_negative(message, WS_FIELD_DEADLINE_S, value);
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

static const char *
parse_identity(const json_t *message, WsJobSpec *spec)
{
  guint kind = 0, priority = 0;
  if (!parse_job_id(message, &spec->id))
    return WS_FIELD_ID;
  if (!parse_string(message, WS_FIELD_CLASS, &spec->class_name))
    return WS_FIELD_CLASS;
  if (!parse_string(message, WS_FIELD_TEAM, &spec->team))
    return WS_FIELD_TEAM;
  if (!parse_enum(message, WS_FIELD_KIND, KIND_NAMES, &kind))
    return WS_FIELD_KIND;
  if (!parse_enum(message, WS_FIELD_PRIORITY, PRIORITY_NAMES, &priority))
    return WS_FIELD_PRIORITY;
  spec->kind = (WsKind)kind;
  spec->priority = (WsPriority)priority;
  return NULL;
}

static const char *
parse_needs(const json_t *message, WsJobSpec *spec)
{
  if (!parse_task_count(message, &spec->tasks))
    return WS_FIELD_TASKS;
  if (!ws_amount_parse_need(message, WS_FIELD_CPUS, &spec->need.cpus))
    return WS_FIELD_CPUS;
  if (!ws_amount_parse_need(message, WS_FIELD_GPUS, &spec->need.gpus))
    return WS_FIELD_GPUS;
  if (!ws_amount_parse_need(message, WS_FIELD_MEMORY_GB, &spec->need.memory))
    return WS_FIELD_MEMORY_GB;
  if (!parse_string(message, WS_FIELD_IMAGE, &spec->image))
    return WS_FIELD_IMAGE;
  if (!parse_non_negative(message, WS_FIELD_IMAGE_GB, &spec->image_gb))
    return WS_FIELD_IMAGE_GB;
  return NULL;
}

static const char *
parse_placement(const json_t *message, WsJobSpec *spec)
{
  if (!parse_machine_types(message, &spec->types))
    return WS_FIELD_MACHINE_TYPES;
  if (!parse_zone(message, &spec->zone))
    return WS_FIELD_ZONE;
  if (!ws_json_bool(message, WS_FIELD_ONE_ZONE, &spec->needs_one_zone))
    return WS_FIELD_ONE_ZONE;
  if (!ws_json_bool(message, WS_FIELD_SPREAD, &spec->must_spread))
    return WS_FIELD_SPREAD;
  if (!ws_json_bool(message, WS_FIELD_SPOT, &spec->allows_spot))
    return WS_FIELD_SPOT;
  return NULL;
}

static const char *
parse_times(const json_t *message, WsJobSpec *spec)
{
  if (!parse_non_negative(message, WS_FIELD_ESTIMATE_S, &spec->estimate_s))
    return WS_FIELD_ESTIMATE_S;
  if (!parse_non_negative(message, WS_FIELD_CHECKPOINT_INTERVAL_S, &spec->checkpoint_interval_s))
    return WS_FIELD_CHECKPOINT_INTERVAL_S;
  if (!parse_non_negative(message, WS_FIELD_CHECKPOINT_SAVE_S, &spec->checkpoint_save_s))
    return WS_FIELD_CHECKPOINT_SAVE_S;
  if (!parse_deadline(message, &spec->deadline_s))
    return WS_FIELD_DEADLINE_S;
  return NULL;
}

/* Returns the name of the first missing or invalid field, or NULL if all are valid. The functions
   that it calls do the same. */
static const char *
parse_fields(const json_t *message, WsJobSpec *spec)
{
  const char *invalid = parse_identity(message, spec);
  if (invalid == NULL)
    invalid = parse_needs(message, spec);
  if (invalid == NULL)
    invalid = parse_placement(message, spec);
  if (invalid == NULL)
    invalid = parse_times(message, spec);
  return invalid;
}

WsJobSpec *
ws_job_spec_parse(const json_t *message, GError **error)
{
  if (!json_is_object(message)) {
    ws_error_set_not_object(error);
    return NULL;
  }
  g_autoptr(WsJobSpec) spec = g_new0(WsJobSpec, 1);
  const char *invalid = parse_fields(message, spec);
  if (invalid != NULL) {
    ws_error_set_invalid(error, WS_ERROR_INVALID_FIELD, invalid);
    return NULL;
  }
  return g_steal_pointer(&spec);
}

static json_t *
encode_machine_types(char *const *names)
{
  if (names == NULL)
    return json_null();
  json_t *list = json_array();
  for (; *names != NULL; names++)
    json_array_append_new(list, json_string(*names));
  return list;
}

json_t *
ws_job_spec_encode(const WsJobSpec *spec)
{
  json_t *message = json_pack("{s:s, s:s, s:s, s:s, s:s, s:i}", WS_FIELD_ID, spec->id,
                              WS_FIELD_CLASS, spec->class_name, WS_FIELD_TEAM, spec->team,
                              WS_FIELD_KIND, KIND_NAMES[spec->kind], WS_FIELD_PRIORITY,
                              PRIORITY_NAMES[spec->priority], WS_FIELD_TASKS, (int)spec->tasks);
  json_object_set_new(message, WS_FIELD_CPUS, ws_amount_encode(spec->need.cpus));
  json_object_set_new(message, WS_FIELD_GPUS, ws_amount_encode(spec->need.gpus));
  json_object_set_new(message, WS_FIELD_MEMORY_GB, ws_amount_encode(spec->need.memory));
  json_object_set_new(message, WS_FIELD_IMAGE, json_string(spec->image));
  json_object_set_new(message, WS_FIELD_IMAGE_GB, json_real(spec->image_gb));
  json_object_set_new(message, WS_FIELD_MACHINE_TYPES, encode_machine_types(spec->types));
  json_object_set_new(message, WS_FIELD_ZONE,
                      spec->zone != NULL ? json_string(spec->zone) : json_null());
  json_object_set_new(message, WS_FIELD_ONE_ZONE, json_boolean(spec->needs_one_zone));
  json_object_set_new(message, WS_FIELD_SPREAD, json_boolean(spec->must_spread));
  json_object_set_new(message, WS_FIELD_SPOT, json_boolean(spec->allows_spot));
  json_object_set_new(message, WS_FIELD_ESTIMATE_S, json_real(spec->estimate_s));
  json_object_set_new(message, WS_FIELD_CHECKPOINT_INTERVAL_S,
                      json_real(spec->checkpoint_interval_s));
  json_object_set_new(message, WS_FIELD_CHECKPOINT_SAVE_S, json_real(spec->checkpoint_save_s));
  json_object_set_new(message, WS_FIELD_DEADLINE_S,
                      spec->deadline_s >= 0.0 ? json_real(spec->deadline_s) : json_null());
  return message;
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

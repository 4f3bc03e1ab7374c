#include "protocol/ws-job-spec.h"

#include "protocol/ws-field-names.h"

#include <math.h>
#include <string.h>

static const char *const KINDS[] = { "sweep", "service", "group", NULL };
static const char *const PRIORITIES[] = { "critical", "urgent", "standard", "best_effort", NULL };

/* Far above any machine; keeps sums of 100,000 tasks within 64 bits. */
#define MAX_AMOUNT 1e9

gboolean
ws_job_id_valid(const char *id)
{
  if (id == NULL || !g_str_has_prefix(id, "req-") || id[4] == '\0' || strlen(id) > 64)
    return FALSE;
  for (const char *at = id + 4; *at != '\0'; at++)
    if (!g_ascii_isalnum(*at))
      return FALSE;
  return TRUE;
}

gboolean
ws_resources_fit(const WsResources *need, const WsResources *room)
{
  return need->cpus <= room->cpus && need->gpus <= room->gpus && need->memory <= room->memory;
}

void
ws_resources_add(WsResources *sum, const WsResources *part, gint64 times)
{
  sum->cpus += part->cpus * times;
  sum->gpus += part->gpus * times;
  sum->memory += part->memory * times;
}

static gboolean
amount(const json_t *message, const char *name, gint64 *value)
{
  double number;
  if (!ws_json_number(message, name, &number) || !(number >= 0.0 && number <= MAX_AMOUNT))
    return FALSE;
  /* Rounded up: a need is never taken for less than it is. The slack forgives binary fractions. */
  *value = (gint64)ceil(number * 1000.0 - 1e-6);
  return TRUE;
}

static gboolean
seconds(const json_t *message, const char *name, double *value)
{
  return ws_json_number(message, name, value) && *value >= 0.0 && *value <= MAX_AMOUNT;
}

static gboolean
word(const json_t *message, const char *name, const char *const *words, guint *value)
{
  const char *text;
  if (!ws_json_string(message, name, &text))
    return FALSE;
  for (*value = 0; words[*value] != NULL; ++*value)
    if (strcmp(words[*value], text) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
text(const json_t *message, const char *name, char **value)
{
  const char *found;
  if (!ws_json_string(message, name, &found) || *found == '\0' || strlen(found) > 200)
    return FALSE;
  *value = g_strdup(found);
  return TRUE;
}

static gboolean
types(const json_t *message, char ***value)
{
  const json_t *list = json_object_get(message, WS_FIELD_MACHINE_TYPES);
  if (list == NULL || json_is_null(list))
    return TRUE;
  if (!json_is_array(list) || json_array_size(list) > 1000)
    return FALSE;
  g_autoptr(GStrvBuilder) builder = g_strv_builder_new();
  size_t i;
  const json_t *item;
  json_array_foreach(list, i, item)
  {
    if (!json_is_string(item))
      return FALSE;
    g_strv_builder_add(builder, json_string_value(item));
  }
  *value = g_strv_builder_end(builder);
  return TRUE;
}

static gboolean
tasks(const json_t *message, guint *value)
{
  guint64 count;
  if (!ws_json_count(message, WS_FIELD_TASKS, &count) || count < 1 || count > WS_MAX_TASKS)
    return FALSE;
  *value = (guint)count;
  return TRUE;
}

static gboolean
id(const json_t *message, char **value)
{
  return text(message, WS_FIELD_ID, value) && ws_job_id_valid(*value);
}

static gboolean
deadline(const json_t *message, double *value)
{
  *value = -1.0;
  return ws_json_number_or_null(message, WS_FIELD_DEADLINE_S, value) && *value <= MAX_AMOUNT
         && (*value >= 0.0 || *value == -1.0);
}

static gboolean
zone(const json_t *message, char **value)
{
  const char *found = NULL;
  if (!ws_json_string_or_null(message, WS_FIELD_ZONE, &found))
    return FALSE;
  *value = g_strdup(found);
  return TRUE;
}

/* The name of the first member that is missing or invalid, or NULL. */
static const char *
read_members(const json_t *m, WsJobSpec *s)
{
  guint kind = 0, priority = 0;
  const char *bad = !id(m, &s->id)                                         ? WS_FIELD_ID
                    : !text(m, WS_FIELD_CLASS, &s->class_name)             ? WS_FIELD_CLASS
                    : !text(m, WS_FIELD_TEAM, &s->team)                    ? WS_FIELD_TEAM
                    : !word(m, WS_FIELD_KIND, KINDS, &kind)                ? WS_FIELD_KIND
                    : !word(m, WS_FIELD_PRIORITY, PRIORITIES, &priority)   ? WS_FIELD_PRIORITY
                    : !tasks(m, &s->tasks)                                 ? WS_FIELD_TASKS
                    : !amount(m, WS_FIELD_CPUS, &s->need.cpus)             ? WS_FIELD_CPUS
                    : !amount(m, WS_FIELD_GPUS, &s->need.gpus)             ? WS_FIELD_GPUS
                    : !amount(m, WS_FIELD_MEMORY_GB, &s->need.memory)      ? WS_FIELD_MEMORY_GB
                    : !text(m, WS_FIELD_IMAGE, &s->image)                  ? WS_FIELD_IMAGE
                    : !seconds(m, WS_FIELD_IMAGE_GB, &s->image_gb)         ? WS_FIELD_IMAGE_GB
                    : !types(m, &s->types)                                 ? WS_FIELD_MACHINE_TYPES
                    : !zone(m, &s->zone)                                   ? WS_FIELD_ZONE
                    : !ws_json_bool(m, WS_FIELD_ONE_ZONE, &s->one_zone)    ? WS_FIELD_ONE_ZONE
                    : !ws_json_bool(m, WS_FIELD_SPREAD, &s->spread)        ? WS_FIELD_SPREAD
                    : !ws_json_bool(m, WS_FIELD_SPOT, &s->spot)            ? WS_FIELD_SPOT
                    : !seconds(m, WS_FIELD_ESTIMATE_S, &s->estimate_s)     ? WS_FIELD_ESTIMATE_S
                    : !seconds(m, WS_FIELD_CHECKPOINT_S, &s->checkpoint_s) ? WS_FIELD_CHECKPOINT_S
                    : !seconds(m, WS_FIELD_SAVE_S, &s->save_s)             ? WS_FIELD_SAVE_S
                    : !deadline(m, &s->deadline_s)                         ? WS_FIELD_DEADLINE_S
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
  g_autoptr(WsJobSpec) submission = g_new0(WsJobSpec, 1);
  const char *bad = read_members(message, submission);
  if (bad != NULL) {
    ws_error_set_invalid(error, WS_ERROR_INVALID_FIELD, bad);
    return NULL;
  }
  return g_steal_pointer(&submission);
}

static json_t *
decimal(gint64 thousandths)
{
  return json_real((double)thousandths / 1000.0);
}

static json_t *
encode_types(char **names)
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
  json_object_set_new(m, WS_FIELD_CPUS, decimal(s->need.cpus));
  json_object_set_new(m, WS_FIELD_GPUS, decimal(s->need.gpus));
  json_object_set_new(m, WS_FIELD_MEMORY_GB, decimal(s->need.memory));
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
ws_job_spec_free(WsJobSpec *submission)
{
  if (submission == NULL)
    return;
  g_free(submission->id);
  g_free(submission->class_name);
  g_free(submission->team);
  g_free(submission->image);
  g_free(submission->zone);
  g_strfreev(submission->types);
  g_free(submission);
}

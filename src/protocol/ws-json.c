/* Typed, checked access to JSON values. */
#include "protocol/ws-json.h"

#include "protocol/ws-error.h"

/* Significant digits of an encoded real number. */
#define REAL_PRECISION_DIGITS 12

json_t *
ws_json_parse(const char *body, gsize length)
{
  return ws_json_parse_with_error(body, length, NULL);
}

json_t *
ws_json_parse_with_error(const char *body, gsize length, GError **error)
{
  json_error_t place;
  if (body == NULL) {
    ws_error_set_not_object(error);
    return NULL;
  }
  json_t *value = json_loadb(body, length, JSON_REJECT_DUPLICATES, &place);
  if (value == NULL)
    g_set_error(error, WS_ERROR, WS_ERROR_MALFORMED, "not JSON: line %d, byte %d: code %d",
                place.line, place.position, json_error_code(&place));
  return value;
}

char *
ws_json_serialize(const json_t *value)
{
  return value == NULL
             ? NULL
             : json_dumps(value, JSON_COMPACT | JSON_REAL_PRECISION(REAL_PRECISION_DIGITS));
}

gboolean
ws_json_string(const json_t *object, const char *name, const char **value)
{
  const json_t *member = json_object_get(object, name);
  if (!json_is_string(member))
    return FALSE;
  *value = json_string_value(member);
  return TRUE;
}

gboolean
ws_json_number(const json_t *object, const char *name, double *value)
{
  const json_t *member = json_object_get(object, name);
  if (!json_is_number(member))
    return FALSE;
  *value = json_number_value(member);
  return TRUE;
}

gboolean
ws_json_uint64(const json_t *object, const char *name, guint64 *value)
{
  const json_t *member = json_object_get(object, name);
  if (!json_is_integer(member) || json_integer_value(member) < 0)
    return FALSE;
  *value = (guint64)json_integer_value(member);
  return TRUE;
}

gboolean
ws_json_bool(const json_t *object, const char *name, gboolean *value)
{
  const json_t *member = json_object_get(object, name);
  if (!json_is_boolean(member))
    return FALSE;
  *value = json_is_true(member);
  return TRUE;
}

gboolean
ws_json_is_absent(const json_t *object, const char *name)
{
  const json_t *member = json_object_get(object, name);
  return member == NULL || json_is_null(member);
}

gboolean
ws_json_string_or_null(const json_t *object, const char *name, const char **value)
{
  return ws_json_is_absent(object, name) || ws_json_string(object, name, value);
}

gboolean
ws_json_number_or_null(const json_t *object, const char *name, double *value)
{
  return ws_json_is_absent(object, name) || ws_json_number(object, name, value);
}

char **
ws_json_string_list(const json_t *list)
{
  if (!json_is_array(list))
    return NULL;
  g_autoptr(GStrvBuilder) builder = g_strv_builder_new();
  size_t i;
  const json_t *item;
  json_array_foreach(list, i, item)
  {
    if (!json_is_string(item))
      return NULL;
    g_strv_builder_add(builder, json_string_value(item));
  }
  return g_strv_builder_end(builder);
}

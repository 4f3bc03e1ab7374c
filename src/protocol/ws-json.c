/* Typed, checked access to JSON values. */
#include "protocol/ws-json.h"

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
  if (json_is_integer(member))
    *value = (double)(guint64)json_integer_value(member);
  else if (json_is_real(member))
    *value = json_real_value(member);
  else
    return FALSE;
  return TRUE;
}

static gboolean
uint64_value(const json_t *value, guint64 *integer)
{
  if (!json_is_integer(value))
    return FALSE;
  *integer = (guint64)json_integer_value(value);
  return TRUE;
}

gboolean
ws_json_uint64(const json_t *object, const char *name, guint64 *value)
{
  return uint64_value(json_object_get(object, name), value);
}

gboolean
ws_json_uint64_at(const json_t *array, size_t index, guint64 *value)
{
  return uint64_value(json_array_get(array, index), value);
}

gboolean
ws_json_string_at(const json_t *array, size_t index, const char **value)
{
  const json_t *item = json_array_get(array, index);
  if (!json_is_string(item))
    return FALSE;
  *value = json_string_value(item);
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
ws_json_uint64_or_null(const json_t *object, const char *name, guint64 *value)
{
  return ws_json_is_absent(object, name) || ws_json_uint64(object, name, value);
}

gboolean
ws_json_bool_or_null(const json_t *object, const char *name, gboolean *value)
{
  return ws_json_is_absent(object, name) || ws_json_bool(object, name, value);
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

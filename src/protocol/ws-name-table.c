/* A table of interned names with dense indices. */
#include "protocol/ws-name-table.h"

void
ws_names_init(WsNames *names)
{
  names->names = g_ptr_array_new_with_free_func(g_free);
  names->index = g_hash_table_new(g_str_hash, g_str_equal);
}

void
ws_names_clear(WsNames *names)
{
  g_hash_table_unref(names->index);
  g_ptr_array_unref(names->names);
}

guint
ws_names_find(const WsNames *names, const char *name)
{
  gpointer value;
  if (name == NULL || !g_hash_table_lookup_extended(names->index, name, NULL, &value))
    return WS_NO_INDEX;
  return GPOINTER_TO_UINT(value);
}

guint
ws_names_intern(WsNames *names, const char *name)
{
  guint index = ws_names_find(names, name);
  if (index != WS_NO_INDEX)
    return index;
  char *copy = g_strdup(name);
  index = names->names->len;
  g_ptr_array_add(names->names, copy);
  g_hash_table_insert(names->index, copy, GUINT_TO_POINTER(index));
  return index;
}

const char *
ws_names_get(const WsNames *names, guint index)
{
  return index < names->names->len ? g_ptr_array_index(names->names, index) : "?";
}

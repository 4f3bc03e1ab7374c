/* A table of interned names with dense indices. */
#include "protocol/ws-names.h"

void
ws_name_table_init(WsNameTable *names)
{
  names->names = g_ptr_array_new_with_free_func(g_free);
  names->index = g_hash_table_new(g_str_hash, g_str_equal);
}

void
ws_name_table_clear(WsNameTable *names)
{
  g_hash_table_unref(names->index);
  g_ptr_array_unref(names->names);
}

guint
ws_name_table_find(const WsNameTable *names, const char *name)
{
  gpointer value;
  if (name == NULL || !g_hash_table_lookup_extended(names->index, name, NULL, &value))
    return WS_NO_INDEX;
  return GPOINTER_TO_UINT(value);
}

guint
ws_name_table_intern(WsNameTable *names, const char *name)
{
  guint index = ws_name_table_find(names, name);
  if (index != WS_NO_INDEX)
    return index;
  char *copy = g_strdup(name);
  index = names->names->len;
  g_ptr_array_add(names->names, copy);
  g_hash_table_insert(names->index, copy, GUINT_TO_POINTER(index));
  return index;
}

const char *
ws_name_table_get(const WsNameTable *names, guint index)
{
  return index < names->names->len ? g_ptr_array_index(names->names, index) : "?";
}

/* A table of interned names with dense indices. */
#include "protocol/ws-name-table.h"

void
ws_name_table_init(WsNameTable *table)
{
  table->names = g_ptr_array_new_with_free_func(g_free);
  table->index = g_hash_table_new(g_str_hash, g_str_equal);
}

void
ws_name_table_clear(WsNameTable *table)
{
  g_hash_table_unref(table->index);
  g_ptr_array_unref(table->names);
}

guint
ws_name_table_find(const WsNameTable *table, const char *name)
{
  gpointer value;
  if (name == NULL || !g_hash_table_lookup_extended(table->index, name, NULL, &value))
    return WS_NO_INDEX;
  return GPOINTER_TO_UINT(value);
}

guint
ws_name_table_intern(WsNameTable *table, const char *name)
{
  guint index = ws_name_table_find(table, name);
  if (index != WS_NO_INDEX)
    return index;
  char *copy = g_strdup(name);
  index = table->names->len;
  g_ptr_array_add(table->names, copy);
  g_hash_table_insert(table->index, copy, GUINT_TO_POINTER(index));
  return index;
}

const char *
ws_name_table_get(const WsNameTable *table, guint index)
{
  return index < table->names->len ? g_ptr_array_index(table->names, index) : "?";
}

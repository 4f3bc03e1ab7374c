/**
 * A table of interned names: maps each name received from outside to a dense index and back. Names
 * are never removed.
 *
 * The replica uses one for image names.
 */
#pragma once

#include "protocol/ws-index.h"

/** A table of interned names. Owns the names. */
typedef struct {
  GHashTable *index; /**< name -> index */
  GPtrArray *names;  /**< array of char *, by index */
} WsNameTable;

/** Initializes an empty table, which the caller clears with ws_name_table_clear(). */
void ws_name_table_init(WsNameTable *names);

/** Frees all names, but not the table itself. */
void ws_name_table_clear(WsNameTable *names);

/** Returns the name's index. A new name is copied and gets the next index. */
guint ws_name_table_intern(WsNameTable *names, const char *name);

/** Returns the name's index, or WS_NO_INDEX if it isn't in the table. @name: may be NULL */
guint ws_name_table_find(const WsNameTable *names, const char *name);

/** Returns the name, owned by the table, or "?" if the index is out of range. */
const char *ws_name_table_get(const WsNameTable *names, guint index);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(WsNameTable, ws_name_table_clear)

/**
 * Names and their dense indices, where names come in from outside. Names are never removed.
 *
 * The replica has such a table of the images.
 */
#pragma once

#include "protocol/ws-index.h"

/** A table of names. Owns them. */
typedef struct {
  GHashTable *index; /**< name -> index */
  GPtrArray *names;  /**< of char *, by index */
} WsNames;

/** Makes an empty table, to be cleared with ws_names_clear(). */
void ws_names_init(WsNames *names);

/** Frees all names, not the table itself. */
void ws_names_clear(WsNames *names);

/** The name's index; a new name is copied and gets the next one. */
guint ws_names_intern(WsNames *names, const char *name);

/** The name's index; WS_NO_INDEX: it was never interned. @name: may be NULL */
guint ws_names_find(const WsNames *names, const char *name);

/** The name, owned by the table; "?" if there is no such index. */
const char *ws_names_get(const WsNames *names, guint index);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(WsNames, ws_names_clear)

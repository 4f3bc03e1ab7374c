/* Names to dense indices, at the door. Names are never forgotten. */
#pragma once

#include "protocol/ws-index.h"

typedef struct {
  GHashTable *index;
  GPtrArray *names;
} WsNames;

void ws_names_init(WsNames *names);
void ws_names_clear(WsNames *names);
guint ws_names_intern(WsNames *names, const char *name);
guint ws_names_find(const WsNames *names, const char *name);
const char *ws_names_get(const WsNames *names, guint index);

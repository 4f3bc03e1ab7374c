/* The core: inputs in, outputs out. It has no clock, no socket and no randomness; every input
   names the time, and what is to be sent or answered is taken from ws_core_pop. */
#pragma once

#include "context/ws-output.h"
#include "protocol/ws-properties.h"
#include "protocol/ws-settings.h"

typedef enum { WS_DOOR_API, WS_DOOR_MESH } WsDoor;

/* incarnation: never the same for two runs of one node. */
WsCore *ws_core_new(const WsSettings *settings, const WsProperties *properties,
                    guint64 incarnation);
/* Ends every call as if no response had come; what that leads to can still be popped. */
void ws_core_stop(WsCore *core);
void ws_core_free(WsCore *core);
void ws_core_tick(WsCore *core, gint64 now_ms, gint64 wall_ms);
void ws_core_request(WsCore *core, gint64 now_ms, gint64 wall_ms, WsDoor door, const char *method,
                     const char *path, const char *body, gsize length, gpointer request);
/* status 0: no response. */
void ws_core_reply(WsCore *core, gint64 now_ms, gint64 wall_ms, guint64 call, guint status,
                   const char *body, gsize length);
/* Machines looked at by all plans so far: what planning costs. */
guint64 ws_core_plan_steps(const WsCore *core);
guint64 ws_core_plans(const WsCore *core);
WsOutput *ws_core_pop(WsCore *core);

/* Ties the core to the clock and the network. */
#pragma once

#include "core/ws-core.h"

typedef struct _WsRuntime WsRuntime;

WsRuntime *ws_runtime_new(const WsSettings *settings, const WsProperties *properties,
                          GError **error);
void ws_runtime_free(WsRuntime *runtime);

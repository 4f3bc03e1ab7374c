/**
 * Ties the core to the clock and the network.
 */
#pragma once

#include "core/ws-core.h"

/** A running node. */
typedef struct _WsRuntime WsRuntime;

/**
 * Starts a node in the default main loop. @settings and @properties must outlive it. NULL with
 * @error set: an address can't be listened on.
 */
WsRuntime *ws_runtime_new(const WsSettings *settings, const WsProperties *properties,
                          GError **error);

/** Stops listening and frees the node. */
void ws_runtime_free(WsRuntime *runtime);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsRuntime, ws_runtime_free)

/**
 * Ties the core to the clock and the network: hands it the time, requests and responses, and sends
 * what it puts out. Owns the core, the HTTP servers and the HTTP client; called by main.
 */
#pragma once

#include "core/ws-core.h"

/** A running node. */
typedef struct _WsRuntime WsRuntime;

/**
 * Starts a node in the default main loop. The caller frees it. NULL with @error set: an address
 * can't be listened on.
 *
 * @settings: must outlive the node
 * @properties: must outlive the node
 */
WsRuntime *ws_runtime_new(const WsSettings *settings, const WsProperties *properties,
                          GError **error);

/** Stops listening and frees the node. */
void ws_runtime_free(WsRuntime *runtime);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsRuntime, ws_runtime_free)

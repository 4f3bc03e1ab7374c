/**
 * Connects the core to the clock and the network: passes it the time, requests and responses, and
 * sends its outputs. Owns the core, the HTTP servers and the HTTP client. Called by main.
 */
#pragma once

#include "core/ws-core.h"

/** A running node. */
typedef struct _WsRuntime WsRuntime;

/**
 * Starts a node in the default main loop. The caller frees it. Returns NULL with @error set if the
 * node can't listen on one of its addresses.
 *
 * @settings: must outlive the node
 * @properties: must outlive the node
 */
WsRuntime *ws_runtime_new(const WsSettings *settings, const WsProperties *properties,
                          GError **error);

/** Stops listening and frees the node. */
void ws_runtime_free(WsRuntime *runtime);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsRuntime, ws_runtime_free)

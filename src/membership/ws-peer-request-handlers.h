/**
 * The effect of each kind of peer request. Private to membership.
 */
#pragma once

#include "context/ws-context.h"
#include "membership/ws-peer-request-message.h"

/**
 * Handles the requests of a batch. Every owner of machines handles requests to stop tasks; only the
 * leader handles the other kinds.
 *
 * Returns FALSE if this node may not handle requests or the batch is of another epoch.
 *
 * @batch: may be NULL, which is not handled
 */
gboolean ws_peer_request_batch_handle(WsCore *core, const WsPeerRequestBatch *batch);

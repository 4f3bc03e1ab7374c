/**
 * The fleet of rented machines: the leader's calls to the cloud, its prices, and machines that
 * never came up. Rentals, returns and the cloud's list have modules of their own.
 */
#pragma once

#include "core/ws-core-private.h"

WsFleet *ws_fleet_new(const WsSettings *settings);
void ws_fleet_free(WsFleet *fleet);

/** Takes one call to the cloud from the budget; FALSE: not now. */
gboolean ws_fleet_take_call(WsCore *core);

/** Periodic work; what only the leader may do is left out on other nodes. */
void ws_fleet_tick(WsCore *core);

/**
 * Requests to other nodes to stop tasks on the machines that they own. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/**
 * Sends the machine's owner a request for each task there that is to be stopped. A request for a
 * task is repeated at most every few seconds, so the function may be called at any time. Does
 * nothing if this node owns the machine.
 */
void ws_stop_requests_send(WsCore *core, const WsMachine *machine);

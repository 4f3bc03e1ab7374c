/**
 * Requests to other nodes to stop preempted tasks on their machines. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/**
 * Asks the owner of the machine to stop the tasks there that are to be stopped. Each request is
 * repeated every few seconds until the task has ended, so the function may be called at any time.
 */
void ws_stop_requests_send(WsCore *core, const WsMachine *machine);

/**
 * Autoscaling demand: how many machines of which kind the unplaced tasks call for.
 *
 * Only the leader has one, for the length of a plan. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/** The demand of one plan. */
typedef struct _WsDemand WsDemand;

/**
 * Begins with the machines that boot or are on order, and what running tasks will leave. The caller
 * frees it with ws_demand_finish().
 */
WsDemand *ws_demand_new(WsCore *core);

/** Adds machines for so many tasks of the job that find no slot. */
void ws_demand_add(WsDemand *demand, const WsJob *job, guint tasks);

/** The same for a gang: all its machines are in one zone, if the job asks for that. */
void ws_demand_add_gang(WsDemand *demand, const WsJob *job, guint tasks);

/** Adds the headroom for critical jobs, requests the rentals, and frees the demand. */
void ws_demand_finish(WsDemand *demand);

/**
 * Autoscaling demand: the machines to rent for the tasks that a plan couldn't place.
 *
 * Only the leader has a demand, and only during a plan. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/** The demand of one plan. */
typedef struct _WsDemand WsDemand;

/**
 * Creates a demand that starts with the expected capacity: machines that are booting or requested,
 * and capacity that running tasks will free. The caller frees it with ws_demand_finish().
 */
WsDemand *ws_demand_new(WsCore *core);

/** Adds machines for @tasks tasks of the job that have no slot. */
void ws_demand_add(WsDemand *demand, const WsJob *job, guint tasks);

/** Like ws_demand_add(), for a gang: all machines are in one zone if the job requires that. */
void ws_demand_add_gang(WsDemand *demand, const WsJob *job, guint tasks);

/** Adds the headroom for critical jobs, requests the rentals and frees the demand. */
void ws_demand_finish(WsDemand *demand);

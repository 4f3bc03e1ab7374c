/**
 * Placement of gangs: all tasks get a machine, or none does. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-placement.h"

/**
 * Proposes assignments for the waiting tasks (of guint) of the gang if all of them fit.
 *
 * Otherwise it adds to the demand for machines, and a gang that is overdue reserves capacity.
 *
 * @tasks_by_zone: the tasks of the gang that have machines, by zone
 */
void ws_gang_placement_place(WsPlacement *placement, WsJob *job, const GArray *tasks,
                             guint *tasks_by_zone);

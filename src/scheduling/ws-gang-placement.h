/**
 * Placement of gangs: either all tasks are assigned to machines or none. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-placement.h"

/**
 * Proposes assignments for the waiting tasks (of guint) of the gang if all of them fit.
 *
 * Otherwise it adds the gang to the demand for machines, and reserves capacity for the gang if it
 * is overdue.
 *
 * @tasks_by_zone: number of the gang's tasks that have a machine, by zone
 */
void ws_gang_placement_place(WsPlacement *placement, WsJob *job, const GArray *tasks,
                             guint *tasks_by_zone);

/**
 * Placement of arrays and services: each task is placed on its own. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-placement.h"

/**
 * Proposes assignments for the waiting tasks (of guint) that fit a machine now. For the other tasks
 * it preempts less urgent tasks, or adds to the demand for machines.
 *
 * @tasks_by_zone: number of the job's tasks that have a machine, by zone; updated
 */
void ws_task_placement_place(WsPlacement *placement, WsJob *job, const GArray *tasks,
                             guint *tasks_by_zone);

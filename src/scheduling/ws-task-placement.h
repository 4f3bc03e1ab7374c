/**
 * Placement of arrays and services: each task goes where it fits, one by one. Private to
 * scheduling.
 */
#pragma once

#include "scheduling/ws-placement.h"

/**
 * Proposes assignments for the waiting tasks (of guint) that fit a machine now. For the others it
 * has less urgent tasks preempted, or adds to the demand for machines.
 *
 * @tasks_by_zone: the tasks of the job that have machines, by zone; kept up to date
 */
void ws_task_placement_place(WsPlacement *placement, WsJob *job, const GArray *tasks,
                             guint *tasks_by_zone);

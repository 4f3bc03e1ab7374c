/**
 * Machines that are reserved for an overdue gang until all of its tasks fit. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-capacity-map.h"

/**
 * Reserves machines for a gang that doesn't fit yet. Only critical jobs and older overdue jobs can
 * get a slot on them.
 *
 * Without the reservation small tasks would take each slot as it becomes free, and the gang would
 * never find all of its slots at the same time. The machines with the most free slots are reserved,
 * in one zone if the gang requires that, and as many as fit all tasks of the gang once the array
 * tasks there have ended.
 *
 * @tasks_by_zone: number of the gang's tasks that have a machine, by zone
 */
void ws_gang_reservation_renew(WsCapacityMap *map, const WsJob *job, guint tasks,
                               guint *tasks_by_zone);

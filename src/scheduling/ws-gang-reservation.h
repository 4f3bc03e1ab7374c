/**
 * Machines that are reserved for an overdue gang until all of its tasks fit. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-capacity-map.h"

/**
 * Reserves machines for a gang that doesn't fit yet: only critical jobs get a slot there.
 *
 * Small tasks would take each slot as it becomes free, and the gang would never find all of its
 * slots at once. The machines are those with most free slots now, in one zone if the gang must be,
 * and as many as fit all its tasks once the arrays' tasks there have ended.
 *
 * @tasks_by_zone: the tasks of the gang that have machines, by zone
 */
void ws_gang_reservation_renew(WsCapacityMap *map, const WsJob *job, guint tasks,
                               guint *tasks_by_zone);

/**
 * Where the tasks of a gang go: all of them, or none.
 */
#pragma once

#include "scheduling/ws-candidates.h"

/**
 * Finds machines for @tasks tasks of the gang and takes the room on the map.
 *
 * A gang that must be in one zone gets the zone where fewest of its machines would have to fetch
 * the image, and of these the one with fewest machines: the slowest machine sets the pace, and the
 * loss of any one ends the attempt. @counts: its tasks that have machines, by zone. Returns indices
 * of machines (of guint), or NULL if there isn't room for every task.
 */
GArray *ws_gang_place(WsCapacityMap *map, const WsJob *job, guint tasks, guint *counts);

/**
 * Keeps machines for a gang that doesn't fit yet: what isn't critical gets no place there.
 *
 * Small tasks would take each place as it becomes free, and the gang would never find all of its
 * places at once. The machines are those with most room already, in one zone if the gang must be,
 * and as many as have room for all its tasks once the arrays' tasks there have ended.
 */
void ws_gang_reserve_capacity(WsCapacityMap *map, const WsJob *job, guint tasks, guint *counts);

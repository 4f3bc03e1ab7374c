/**
 * The free capacity of every machine, as one plan sees it.
 *
 * The map is built at the start of a plan and changes as the plan places tasks; the replica is left
 * alone. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/** What one machine has to offer. */
typedef struct {
  WsResources free;    /**< now, less what this plan has placed there */
  WsResources freeing; /**< what tasks that are being stopped will leave */
  gboolean is_usable;  /**< tasks may be placed there at all */
  gboolean has_service;
} WsMachineCapacity;

/** The capacity of all machines, and the lists by which a plan finds those that matter. */
typedef struct {
  WsCore *core;
  WsMachineCapacity *machines;      /**< by index of the machine */
  WsResources min_need;             /**< every waiting task needs at least this much */
  GArray *open;                     /**< of WsMachineIndex: with at least min_need free */
  GArray *freeing;                  /**< of WsMachineIndex: where a task is being stopped */
  GArray *machines_with_arrays;     /**< of WsMachineIndex: with tasks of array jobs */
  guint lowest_array_priority;      /**< of the array jobs that have tasks on machines */
  gboolean has_unguaranteed_arrays; /**< one of those is outside its team's guarantee */
  guint machines_examined;          /**< the cost of the plan so far */
  guint victim_searches_left;       /**< for so many more jobs victims are searched for */
} WsCapacityMap;

/** Builds the map. @min_need: the least that any task to be placed needs of each resource */
void ws_capacity_map_init(WsCapacityMap *map, WsCore *core, const WsResources *min_need);

/** Frees what the map holds, not the map itself. */
void ws_capacity_map_clear(WsCapacityMap *map);

/** Removes machines from the open ones that have less than min_need left. */
void ws_capacity_map_prune_open(WsCapacityMap *map);

/** The capacity of the machine, owned by the map; the plan may change it. */
static inline WsMachineCapacity *
ws_capacity_map_at(const WsCapacityMap *map, WsMachineIndex machine)
{
  return &map->machines[machine];
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(WsCapacityMap, ws_capacity_map_clear)

/**
 * The free capacity of every machine during one plan.
 *
 * The map is built from the replica at the start of a plan. Tasks that the plan places change the
 * map, but not the replica. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/** The capacity of one machine. */
typedef struct {
  WsResources free;     /**< free now, less the needs of tasks that this plan has placed there */
  WsResources freeing;  /**< in use by tasks that are being stopped */
  gboolean is_usable;   /**< whether tasks may be placed there at all */
  gboolean has_service; /**< whether a task of a service is on the machine */
} WsMachineCapacity;

/** The capacity of all machines, with lists of the machines that a plan has to examine. */
typedef struct {
  WsCore *core;
  WsMachineCapacity *machines;  /**< by machine index */
  WsResources min_need;         /**< every waiting task needs at least this much */
  GArray *open;                 /**< of WsMachineIndex: machines with at least min_need free */
  GArray *freeing;              /**< of WsMachineIndex: machines where a task is being stopped */
  GArray *machines_with_arrays; /**< of WsMachineIndex: machines with tasks of array jobs */
  /** The lowest priority (largest number) of the array jobs with assigned tasks. */
  guint lowest_array_priority;
  /** Whether an array job with assigned tasks is outside its team's guarantee. */
  gboolean has_unguaranteed_arrays;
  guint machines_examined;    /**< by this plan so far, a measure of its cost */
  guint victim_searches_left; /**< number of non-critical jobs that may still search for victims */
} WsCapacityMap;

/** Builds the map. @min_need: the smallest need of any task to be placed, by resource */
void ws_capacity_map_init(WsCapacityMap *map, WsCore *core, const WsResources *min_need);

/** Frees the contents of the map, not the map itself. */
void ws_capacity_map_clear(WsCapacityMap *map);

/** Removes the machines that no longer have min_need free from the list of open machines. */
void ws_capacity_map_prune_open(WsCapacityMap *map);

/** Returns the capacity of the machine, owned by the map. The plan may change it. */
static inline WsMachineCapacity *
ws_capacity_map_at(const WsCapacityMap *map, WsMachineIndex machine)
{
  return &map->machines[machine];
}

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(WsCapacityMap, ws_capacity_map_clear)

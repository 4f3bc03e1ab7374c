/**
 * Placement: the state of one plan, and functions shared by the placement of arrays, services and
 * gangs. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-capacity-map.h"
#include "scheduling/ws-demand.h"

/** The state of a plan that is being made. */
typedef struct {
  WsCore *core;
  WsCapacityMap map;
  WsResources *team_use; /**< by team: resources in use, including tasks placed by this plan */
  WsDemand *demand;      /**< NULL on nodes other than the leader, which alone rents machines */
  /** Machine -> number of tasks of the current job for which capacity is being freed there. */
  GHashTable *freeing_slots;
} WsPlacement;

/** Begins a plan. @min_need: the smallest need of any task to be placed, by resource */
void ws_placement_init(WsPlacement *placement, WsCore *core, const WsResources *min_need);

/** Ends the plan: requests rentals for the demand, and frees the contents of the plan. */
void ws_placement_finish(WsPlacement *placement);

/**
 * Places waiting tasks of the job. Returns the number of tasks considered, at most @max_tasks.
 *
 * @max_tasks: the maximum number of tasks to place; a gang is placed whole or not at all
 */
guint ws_placement_place_job(WsPlacement *placement, WsJob *job, guint max_tasks);

/** Returns whether the limit of the job's team leaves capacity for @tasks tasks of the job. */
gboolean ws_placement_team_allows(const WsPlacement *placement, const WsJob *job, guint tasks);

/** Adds the needs of @tasks tasks of the job to the resources in use by its team. */
void ws_placement_add_team_use(WsPlacement *placement, const WsJob *job, guint tasks);

/** Records since when the job has tasks without a machine, or that it has none. */
void ws_placement_record_unplaced(const WsCore *core, WsJob *job, gboolean is_unplaced);

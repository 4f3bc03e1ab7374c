/**
 * Placement: the state of one plan, and what the placement of arrays, services and gangs shares.
 * Private to scheduling.
 */
#pragma once

#include "scheduling/ws-capacity-map.h"
#include "scheduling/ws-demand.h"

/** A plan that is being made. */
typedef struct {
  WsCore *core;
  WsCapacityMap map;
  WsResources *team_use; /**< by team: what it uses, with what this plan has placed */
  WsDemand *demand;      /**< NULL: this node isn't the leader, who alone rents machines */
  /** Machine -> for how many tasks of the job at hand capacity is being freed there. */
  GHashTable *freeing_slots;
} WsPlacement;

/** Begins a plan. @min_need: the least that any task to be placed needs of each resource */
void ws_placement_init(WsPlacement *placement, WsCore *core, const WsResources *min_need);

/** Ends the plan: passes the demand on, and frees what the plan holds. */
void ws_placement_finish(WsPlacement *placement);

/**
 * Places waiting tasks of the job, or all of a gang. Returns how many tasks were considered.
 *
 * @max_tasks: the most that are placed, except of a gang, and the most that is returned
 */
guint ws_placement_place_job(WsPlacement *placement, WsJob *job, guint max_tasks);

/** Whether the limit of the job's team leaves capacity for so many of the job's tasks. */
gboolean ws_placement_team_allows(const WsPlacement *placement, const WsJob *job, guint tasks);

/** Counts so many tasks of the job as used by its team. */
void ws_placement_add_team_use(WsPlacement *placement, const WsJob *job, guint tasks);

/** Notes since when some of the job's tasks haven't found a machine. */
void ws_placement_record_unplaced(const WsCore *core, WsJob *job, gboolean is_unplaced);

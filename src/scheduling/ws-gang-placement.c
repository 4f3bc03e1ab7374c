/* Placement of gangs: either all tasks are assigned to machines or none. */
#include "scheduling/ws-gang-placement.h"

#include "scheduling/ws-candidates.h"
#include "scheduling/ws-gang-reservation.h"
#include "scheduling/ws-queue.h"
#include "commit/ws-commit.h"
#include "storage/ws-gang-phase.h"

/* A gang that has to fetch its image anyway is spread over this many machines, which fetch it in
   parallel. The gang starts no later, and later gangs find the image cached on more machines. */
#define PARALLEL_IMAGE_FETCHES 6

/* Takes a slot for each task. Each machine takes as many tasks as fit before the next machine is
   chosen, but at most @max_per_fetch if it has to fetch the image. Returns the machines of the
   tasks (of WsMachineIndex), or NULL if not all tasks fit. */
static GArray *
take_slots(WsCandidates *candidates, const WsJob *job, guint tasks, guint max_per_fetch)
{
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  const WsMachine *machine = NULL;
  guint tasks_left_here = 0;
  for (guint i = 0; i < tasks; i++) {
    if (tasks_left_here == 0 || !ws_candidates_take_on_machine(candidates, machine)) {
      machine = ws_candidates_take(candidates, WS_SLOT_FREE);
      if (machine == NULL) {
        ws_candidates_release(candidates, machines);
        return NULL;
      }
      tasks_left_here = ws_machine_has_image(machine, job->image) ? tasks : max_per_fetch;
    }
    tasks_left_here--;
    g_array_append_val(machines, machine->index);
  }
  return g_steal_pointer(&machines);
}

/* The cost of a placement. Image fetches matter since the gang starts only when the slowest machine
   is ready, and the number of machines since the loss of any one of them ends the attempt. */
typedef struct {
  guint fetches;  /* number of machines that have to fetch the image */
  guint machines; /* number of different machines */
} PlacementCost;

static PlacementCost
placement_cost(const WsCore *core, const WsJob *job, const GArray *machines)
{
  PlacementCost cost = { 0 };
  for (guint i = 0; i < machines->len; i++) {
    WsMachineIndex index = g_array_index(machines, WsMachineIndex, i);
    gboolean is_first = i == 0 || g_array_index(machines, WsMachineIndex, i - 1) != index;
    const WsMachine *machine = ws_replica_machine(core->replica, index);
    cost.machines += is_first ? 1 : 0;
    cost.fetches += is_first && !ws_machine_has_image(machine, job->image) ? 1 : 0;
  }
  return cost;
}

static gboolean
is_cheaper(const PlacementCost *first, const PlacementCost *second)
{
  if (first->fetches != second->fetches)
    return first->fetches < second->fetches;
  return first->machines < second->machines;
}

/* Returns machines for the tasks in the zone (WS_NO_ZONE: in any zone), or NULL if not all tasks
   fit. The capacity map is unchanged afterwards. */
static GArray *
try_zone(WsCapacityMap *map, const WsJob *job, guint tasks, const guint *tasks_by_zone,
         WsZoneIndex zone, guint max_per_fetch)
{
  guint zones = map->core->settings->zones->len;
  g_autofree guint *trial_by_zone = g_memdup2(tasks_by_zone, sizeof(guint) * zones);
  g_autoptr(WsCandidates) candidates = ws_candidates_new(map, job, trial_by_zone);
  ws_candidates_restrict_to_zone(candidates, zone);
  GArray *machines = take_slots(candidates, job, tasks, max_per_fetch);
  if (machines != NULL)
    ws_candidates_release(candidates, machines);
  return machines;
}

/* Returns machines for the tasks in the zone, or NULL if not all tasks fit. Uses as few machines as
   possible if none of them has to fetch the image, and PARALLEL_IMAGE_FETCHES otherwise, if
   possible. */
static GArray *
pack_or_spread(WsCapacityMap *map, const WsJob *job, guint tasks, const guint *tasks_by_zone,
               WsZoneIndex zone)
{
  g_autoptr(GArray) packed = try_zone(map, job, tasks, tasks_by_zone, zone, tasks);
  if (packed == NULL || placement_cost(map->core, job, packed).fetches == 0)
    return g_steal_pointer(&packed);
  guint max_per_fetch = (tasks + PARALLEL_IMAGE_FETCHES - 1) / PARALLEL_IMAGE_FETCHES;
  GArray *spread = try_zone(map, job, tasks, tasks_by_zone, zone, max_per_fetch);
  return spread != NULL ? spread : g_steal_pointer(&packed);
}

/* Returns the zone where all tasks fit at the lowest cost, or WS_NO_ZONE. */
static WsZoneIndex
find_cheapest_zone(WsCapacityMap *map, const WsJob *job, guint tasks, const guint *tasks_by_zone)
{
  WsZoneIndex best = WS_NO_ZONE;
  PlacementCost lowest_cost = { 0 };
  for (WsZoneIndex zone = 0; zone < map->core->settings->zones->len; zone++) {
    g_autoptr(GArray) machines = try_zone(map, job, tasks, tasks_by_zone, zone, tasks);
    if (machines == NULL)
      continue;
    PlacementCost cost = placement_cost(map->core, job, machines);
    if (best == WS_NO_ZONE || is_cheaper(&cost, &lowest_cost)) {
      best = zone;
      lowest_cost = cost;
    }
  }
  return best;
}

/* Finds a machine for each task (of WsMachineIndex) and subtracts the tasks' needs from the map.
   Returns NULL if not all tasks fit. */
static GArray *
find_machines(WsCapacityMap *map, const WsJob *job, guint tasks, const guint *tasks_by_zone)
{
  WsZoneIndex zone = WS_NO_ZONE;
  if (job->spec->needs_one_zone) {
    zone = find_cheapest_zone(map, job, tasks, tasks_by_zone);
    if (zone == WS_NO_ZONE)
      return NULL;
  }
  GArray *machines = pack_or_spread(map, job, tasks, tasks_by_zone, zone);
  for (guint i = 0; machines != NULL && i < machines->len; i++) {
    WsMachineIndex machine = g_array_index(machines, WsMachineIndex, i);
    ws_resources_add(&ws_capacity_map_at(map, machine)->free, &job->spec->need, -1);
  }
  return machines;
}

/* Adds a gang that doesn't fit to the demand. If the gang is overdue, also reserves capacity for
   it, on machines and within its team's limit, so that jobs later in the queue don't take the slots
   that become free. */
static void
request_and_reserve_capacity(WsPlacement *placement, const WsJob *job, guint tasks,
                             guint *tasks_by_zone, gboolean team_allows)
{
  if (team_allows && placement->demand != NULL)
    ws_demand_add_gang(placement->demand, job, tasks);
  if (!ws_queue_is_overdue(placement->core, job))
    return;
  ws_gang_reservation_renew(&placement->map, job, tasks, tasks_by_zone);
  ws_reservations_renew(placement->core, job, WS_NO_MACHINE, tasks);
  ws_placement_add_team_use(placement, job, tasks);
}

void
ws_gang_placement_place(WsPlacement *placement, WsJob *job, const GArray *tasks,
                        guint *tasks_by_zone)
{
  WsCore *core = placement->core;
  /* If @tasks isn't complete, assignments of some tasks are pending or their records are full. */
  gboolean is_complete = tasks->len + job->assigned_count + job->completed_count == job->tasks;
  if (!is_complete || ws_gang_is_ending(job))
    return;
  g_autoptr(GArray) machines = NULL;
  gboolean team_allows = ws_placement_team_allows(placement, job, tasks->len);
  if (team_allows)
    machines = find_machines(&placement->map, job, tasks->len, tasks_by_zone);
  ws_placement_record_unplaced(core, job, machines == NULL);
  if (machines == NULL) {
    request_and_reserve_capacity(placement, job, tasks->len, tasks_by_zone, team_allows);
    return;
  }
  ws_placement_add_team_use(placement, job, tasks->len);
  for (guint i = 0; i < tasks->len; i++)
    ws_assignments_propose(core, job->index, g_array_index(tasks, guint, i),
                           g_array_index(machines, WsMachineIndex, i));
}

/* Placement of gangs: all tasks get a machine, or none does. */
#include "scheduling/ws-gang-placement.h"

#include "scheduling/ws-candidates.h"
#include "scheduling/ws-gang-reservation.h"
#include "scheduling/ws-queue.h"
#include "commit/ws-commit.h"
#include "storage/ws-gang-phase.h"

/* When a gang has to fetch its image anyway, so many machines fetch it at the same time: the gang
   starts no later, and later gangs find the image cached on more machines. */
#define PARALLEL_FETCHES 6

/* Takes a slot for each task, as many as fit on one machine before the next is chosen; at most
   @max_per_fetch on a machine that has to fetch the image. Returns the machines of the tasks (of
   WsMachineIndex), or NULL if not all fit. */
static GArray *
take_slots(WsCandidates *candidates, const WsJob *job, guint tasks, guint max_per_fetch)
{
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  const WsMachine *machine = NULL;
  guint left_here = 0;
  for (guint i = 0; i < tasks; i++) {
    if (left_here == 0 || !ws_candidates_take_on_machine(candidates, machine)) {
      machine = ws_candidates_take(candidates, WS_SLOT_FREE);
      if (machine == NULL) {
        ws_candidates_release(candidates, machines);
        return NULL;
      }
      left_here = ws_machine_has_image(machine, job->image) ? tasks : max_per_fetch;
    }
    left_here--;
    g_array_append_val(machines, machine->index);
  }
  return g_steal_pointer(&machines);
}

/* The cost of a placement: a gang starts when the slowest machine is ready, and the loss of any one
   machine ends the attempt. */
typedef struct {
  guint fetches;  /* machines that have to fetch the image */
  guint machines; /* different ones */
} Cost;

static Cost
cost_of(const WsCore *core, const WsJob *job, const GArray *machines)
{
  Cost cost = { 0 };
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
is_cheaper(const Cost *first, const Cost *second)
{
  if (first->fetches != second->fetches)
    return first->fetches < second->fetches;
  return first->machines < second->machines;
}

/* Machines for the tasks in the zone (WS_NO_ZONE: in any), or NULL; the map is left as it was. */
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

/* Machines for the tasks in the zone, or NULL: as few as possible if none of them has to fetch the
   image, otherwise spread over PARALLEL_FETCHES of them if possible. */
static GArray *
pack_or_spread(WsCapacityMap *map, const WsJob *job, guint tasks, const guint *tasks_by_zone,
               WsZoneIndex zone)
{
  g_autoptr(GArray) packed = try_zone(map, job, tasks, tasks_by_zone, zone, tasks);
  if (packed == NULL || cost_of(map->core, job, packed).fetches == 0)
    return g_steal_pointer(&packed);
  guint max_per_fetch = (tasks + PARALLEL_FETCHES - 1) / PARALLEL_FETCHES;
  GArray *spread = try_zone(map, job, tasks, tasks_by_zone, zone, max_per_fetch);
  return spread != NULL ? spread : g_steal_pointer(&packed);
}

/* The zone where all tasks fit at the least cost, or WS_NO_ZONE. */
static WsZoneIndex
find_cheapest_zone(WsCapacityMap *map, const WsJob *job, guint tasks, const guint *tasks_by_zone)
{
  WsZoneIndex best = WS_NO_ZONE;
  Cost least = { 0 };
  for (WsZoneIndex zone = 0; zone < map->core->settings->zones->len; zone++) {
    g_autoptr(GArray) machines = try_zone(map, job, tasks, tasks_by_zone, zone, tasks);
    if (machines == NULL)
      continue;
    Cost cost = cost_of(map->core, job, machines);
    if (best == WS_NO_ZONE || is_cheaper(&cost, &least)) {
      best = zone;
      least = cost;
    }
  }
  return best;
}

/* Finds a machine for each task (of WsMachineIndex) and subtracts their capacity from the map;
   NULL: not all fit. */
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

/* Adds a gang that doesn't fit to the demand. For one that is overdue, capacity is reserved as it
   becomes free, on machines and within its team's limit, against the jobs that come after it. */
static void
gather_capacity(WsPlacement *placement, const WsJob *job, guint tasks, guint *tasks_by_zone,
                gboolean team_allows)
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
  /* Otherwise assignments of some tasks are pending, or there is no space for them in records. */
  gboolean is_complete = tasks->len + job->assigned_count + job->completed_count == job->tasks;
  if (!is_complete || ws_gang_is_ending(job))
    return;
  g_autoptr(GArray) machines = NULL;
  gboolean team_allows = ws_placement_team_allows(placement, job, tasks->len);
  if (team_allows)
    machines = find_machines(&placement->map, job, tasks->len, tasks_by_zone);
  ws_placement_record_unplaced(core, job, machines == NULL);
  if (machines == NULL) {
    gather_capacity(placement, job, tasks->len, tasks_by_zone, team_allows);
    return;
  }
  ws_placement_add_team_use(placement, job, tasks->len);
  for (guint i = 0; i < tasks->len; i++)
    ws_assignments_propose(core, job->index, g_array_index(tasks, guint, i),
                           g_array_index(machines, WsMachineIndex, i));
}

#include "scheduling/ws-gang-place.h"

/* When a gang has to fetch its image anyway, so many machines fetch it at the same time: the start
   is no later, and the gangs to come find the image in more places. */
#define FETCHING_MACHINES 6

/* Takes room for the tasks, as many as fit on one machine before the next is chosen; of those that
   have to fetch the image, no more than @most_where_fetched. */
static GArray *
take_machines(WsCandidates *places, const WsJob *job, guint tasks, guint most_where_fetched)
{
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(guint));
  const WsMachine *machine = NULL;
  guint left_here = 0;
  for (guint i = 0; i < tasks; i++) {
    if (left_here == 0 || !ws_candidates_take_another(places, machine)) {
      machine = ws_candidates_take(places, WS_SLOT_FREE);
      if (machine == NULL) {
        ws_candidates_release(places, machines);
        return NULL;
      }
      left_here = ws_machine_has_image(machine, job->image) ? tasks : most_where_fetched;
    }
    left_here--;
    g_array_append_val(machines, machine->index);
  }
  return g_steal_pointer(&machines);
}

typedef struct {
  guint fetches;  /* machines without the image */
  guint machines; /* different ones */
} Cost;

static Cost
cost_of(const WsCore *core, const WsJob *job, const GArray *machines)
{
  Cost cost = { 0 };
  for (guint i = 0; i < machines->len; i++) {
    guint index = g_array_index(machines, guint, i);
    gboolean is_first = i == 0 || g_array_index(machines, guint, i - 1) != index;
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

/* Tries the zone (WS_NONE: all) and leaves the map as it was. */
static GArray *
try_zone(WsCapacityMap *map, const WsJob *job, guint tasks, const guint *counts, WsZoneIndex zone,
         guint most_where_fetched)
{
  guint zones = map->core->settings->zones->len;
  g_autofree guint *zone_counts = g_memdup2(counts, sizeof(guint) * zones);
  g_autoptr(WsCandidates) places = ws_candidates_new(map, job, zone_counts);
  ws_candidates_restrict_to_zone(places, zone);
  GArray *machines = take_machines(places, job, tasks, most_where_fetched);
  if (machines != NULL)
    ws_candidates_release(places, machines);
  return machines;
}

/* The same packed on few machines, if none of them has to fetch the image, or else spread. */
static GArray *
place_in_zone(WsCapacityMap *map, const WsJob *job, guint tasks, const guint *counts,
              WsZoneIndex zone)
{
  GArray *packed = try_zone(map, job, tasks, counts, zone, tasks);
  if (packed == NULL || cost_of(map->core, job, packed).fetches == 0)
    return packed;
  guint most = (tasks + FETCHING_MACHINES - 1) / FETCHING_MACHINES;
  GArray *spread = try_zone(map, job, tasks, counts, zone, most);
  if (spread == NULL)
    return packed;
  g_array_unref(packed);
  return spread;
}

static guint
best_zone(WsCapacityMap *map, const WsJob *job, guint tasks, const guint *counts)
{
  guint best = WS_NONE;
  Cost least = { 0 };
  for (WsZoneIndex zone = 0; zone < map->core->settings->zones->len; zone++) {
    g_autoptr(GArray) machines = try_zone(map, job, tasks, counts, zone, tasks);
    if (machines == NULL)
      continue;
    Cost cost = cost_of(map->core, job, machines);
    if (best == WS_NONE || is_cheaper(&cost, &least)) {
      best = zone;
      least = cost;
    }
  }
  return best;
}

static void
change_room(WsCapacityMap *map, const WsJob *job, const GArray *machines, gint64 tasks_each)
{
  for (guint i = 0; i < machines->len; i++)
    ws_resources_add(&map->machines[g_array_index(machines, guint, i)].free, &job->spec->need,
                     tasks_each);
}

/* A machine that is kept for a gang, and for how many of its tasks. */
typedef struct {
  WsMachineIndex machine;
  guint free_places; /* now */
  guint places;      /* once the arrays' tasks there have ended */
} Kept;

static guint
count_places(const WsResources *need, WsResources room)
{
  guint places = 0;
  for (; ws_resources_fit(need, &room) && places < WS_MAX_TASKS; places++)
    ws_resources_add(&room, need, -1);
  return places;
}

/* What arrays leave of the machine when their tasks have ended. */
static WsResources
room_without_arrays(const WsCore *core, const WsMachine *machine)
{
  WsResources room = ws_replica_type(core->replica, machine->type)->capacity;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *job = ws_replica_job(core->replica, ref->job);
    if (job->spec->kind != WS_KIND_ARRAY)
      ws_resources_add(&room, &job->spec->need, -1);
  }
  return room;
}

static gint
by_free_places(gconstpointer a, gconstpointer b)
{
  const Kept *first = a, *second = b;
  if (first->free_places != second->free_places)
    return first->free_places > second->free_places ? -1 : 1;
  return first->machine < second->machine ? -1 : first->machine > second->machine;
}

/* The machines of the zone (WS_NONE: of all) to keep, those with most free places first, as many as
   the tasks need. Returns NULL if they never had room for all. */
static GArray *
choose_kept(WsCapacityMap *map, const WsJob *job, guint tasks, guint *counts, WsZoneIndex zone)
{
  const WsReplica *replica = map->core->replica;
  const WsResources *need = &job->spec->need;
  g_autoptr(WsCandidates) places = ws_candidates_new(map, job, counts);
  g_autoptr(GArray) kept = g_array_new(FALSE, FALSE, sizeof(Kept));
  for (guint i = 0; i < replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(replica, i);
    if (!ws_candidates_is_eligible(places, machine)
        || (zone != WS_NO_ZONE && machine->zone != zone))
      continue;
    Kept candidate = { i, count_places(need, map->machines[i].free),
                       count_places(need, room_without_arrays(map->core, machine)) };
    if (candidate.places > 0)
      g_array_append_val(kept, candidate);
  }
  g_array_sort(kept, by_free_places);
  guint sum = 0, count = 0;
  while (count < kept->len && sum < tasks)
    sum += g_array_index(kept, Kept, count++).places;
  g_array_set_size(kept, count);
  return sum >= tasks ? g_steal_pointer(&kept) : NULL;
}

static guint
count_free_places(const GArray *kept)
{
  guint sum = 0;
  for (guint i = 0; i < kept->len; i++)
    sum += g_array_index(kept, Kept, i).free_places;
  return sum;
}

static GArray *
choose_best_kept(WsCapacityMap *map, const WsJob *job, guint tasks, guint *counts)
{
  GArray *best = NULL;
  if (!job->spec->one_zone)
    return choose_kept(map, job, tasks, counts, WS_NONE);
  for (WsZoneIndex zone = 0; zone < map->core->settings->zones->len; zone++) {
    GArray *kept = choose_kept(map, job, tasks, counts, zone);
    if (kept == NULL)
      continue;
    if (best != NULL && count_free_places(kept) <= count_free_places(best)) {
      g_array_unref(kept);
      continue;
    }
    g_clear_pointer(&best, g_array_unref);
    best = kept;
  }
  return best;
}

void
ws_gang_reserve_capacity(WsCapacityMap *map, const WsJob *job, guint tasks, guint *counts)
{
  g_autoptr(GArray) kept = choose_best_kept(map, job, tasks, counts);
  for (guint i = 0; kept != NULL && i < kept->len; i++) {
    const Kept *at = &g_array_index(kept, Kept, i);
    map->machines[at->machine].free = (WsResources){ 0 };
    ws_reservations_renew(map->core, job, at->machine, at->places);
  }
}

GArray *
ws_gang_place(WsCapacityMap *map, const WsJob *job, guint tasks, guint *counts)
{
  WsZoneIndex zone = job->spec->one_zone ? best_zone(map, job, tasks, counts) : WS_NONE;
  if (job->spec->one_zone && zone == WS_NO_ZONE)
    return NULL;
  GArray *machines = place_in_zone(map, job, tasks, counts, zone);
  if (machines != NULL)
    change_room(map, job, machines, -1);
  return machines;
}

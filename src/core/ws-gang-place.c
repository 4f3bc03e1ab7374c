#include "core/ws-gang-place.h"

#include <string.h>

/* When a gang has to fetch its image anyway, so many machines fetch it at the same time: the start
   is no later, and the gangs to come find the image in more places. */
#define FETCHING_MACHINES 6

/* Takes room for the tasks, as many as fit on one machine before the next is chosen; of those that
   have to fetch the image, no more than @most_where_fetched. */
static GArray *
take_machines(WsPlaces *places, const WsJob *job, guint tasks, guint most_where_fetched)
{
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(guint));
  const WsMachine *machine = NULL;
  guint left_here = 0;
  for (guint i = 0; i < tasks; i++) {
    if (left_here == 0 || !ws_places_take_again(places, machine)) {
      machine = ws_places_take(places, WS_ROOM_NOW);
      if (machine == NULL) {
        ws_places_put_back(places, machines);
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
try_zone(WsRoomMap *map, const WsJob *job, guint tasks, const guint *counts, guint zone,
         guint most_where_fetched)
{
  guint zones = map->core->settings->zones->len;
  g_autofree guint *zone_counts = g_memdup2(counts, sizeof(guint) * zones);
  g_autoptr(WsPlaces) places = ws_places_new(map, job, zone_counts);
  ws_places_keep_to_zone(places, zone);
  GArray *machines = take_machines(places, job, tasks, most_where_fetched);
  if (machines != NULL)
    ws_places_put_back(places, machines);
  return machines;
}

/* The same packed on few machines, if none of them has to fetch the image, or else spread. */
static GArray *
place_in_zone(WsRoomMap *map, const WsJob *job, guint tasks, const guint *counts, guint zone)
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
best_zone(WsRoomMap *map, const WsJob *job, guint tasks, const guint *counts)
{
  guint best = WS_NONE;
  Cost least = { 0 };
  for (guint zone = 0; zone < map->core->settings->zones->len; zone++) {
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

GArray *
ws_gang_place(WsRoomMap *map, const WsJob *job, guint tasks, guint *counts)
{
  guint zone = job->spec->one_zone ? best_zone(map, job, tasks, counts) : WS_NONE;
  if (job->spec->one_zone && zone == WS_NONE)
    return NULL;
  GArray *machines = place_in_zone(map, job, tasks, counts, zone);
  for (guint i = 0; machines != NULL && i < machines->len; i++)
    ws_amount_add(&map->slots[g_array_index(machines, guint, i)].free, &job->spec->need, -1);
  return machines;
}

#include "core/ws-gang-place.h"

#include <string.h>

/* Takes room for the tasks, as many as fit on one machine before the next is chosen. */
static GArray *
take_machines(WsPlaces *places, guint tasks)
{
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(guint));
  const WsMachine *machine = NULL;
  for (guint i = 0; i < tasks; i++) {
    if (machine == NULL || !ws_places_take_again(places, machine))
      machine = ws_places_take(places, WS_ROOM_NOW);
    if (machine == NULL) {
      ws_places_put_back(places, machines);
      return NULL;
    }
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
try_zone(WsRoomMap *map, const WsJob *job, guint tasks, const guint *counts, guint zone)
{
  guint zones = map->core->settings->zones->len;
  g_autofree guint *zone_counts = g_memdup2(counts, sizeof(guint) * zones);
  g_autoptr(WsPlaces) places = ws_places_new(map, job, zone_counts);
  ws_places_keep_to_zone(places, zone);
  GArray *machines = take_machines(places, tasks);
  if (machines != NULL)
    ws_places_put_back(places, machines);
  return machines;
}

static GArray *
best_zone(WsRoomMap *map, const WsJob *job, guint tasks, const guint *counts)
{
  GArray *best = NULL;
  Cost least = { 0 };
  for (guint zone = 0; zone < map->core->settings->zones->len; zone++) {
    GArray *machines = try_zone(map, job, tasks, counts, zone);
    if (machines == NULL)
      continue;
    Cost cost = cost_of(map->core, job, machines);
    if (best == NULL || is_cheaper(&cost, &least)) {
      g_clear_pointer(&best, g_array_unref);
      best = g_steal_pointer(&machines);
      least = cost;
    }
    g_clear_pointer(&machines, g_array_unref);
  }
  return best;
}

GArray *
ws_gang_place(WsRoomMap *map, const WsJob *job, guint tasks, guint *counts)
{
  GArray *machines = job->spec->one_zone ? best_zone(map, job, tasks, counts)
                                         : try_zone(map, job, tasks, counts, WS_NONE);
  for (guint i = 0; machines != NULL && i < machines->len; i++)
    ws_amount_add(&map->slots[g_array_index(machines, guint, i)].free, &job->spec->need, -1);
  return machines;
}

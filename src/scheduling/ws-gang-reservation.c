/* Machines that are reserved for an overdue gang until all of its tasks fit. */
#include "scheduling/ws-gang-reservation.h"

#include "scheduling/ws-candidates.h"

/* A machine to reserve. */
typedef struct {
  WsMachineIndex machine;
  guint free_slots; /* number of tasks of the gang that fit now */
  guint slots;      /* number that fit once the array tasks there have exited */
} ReservedMachine;

static guint
count_slots(const WsResources *need, WsResources free)
{
  guint slots = 0;
  for (; ws_resources_fit(need, &free) && slots < WS_MAX_TASKS; slots++)
    ws_resources_add(&free, need, -1);
  return slots;
}

/* Returns the capacity that is free on the machine once the array tasks there have exited. */
static WsResources
capacity_without_arrays(const WsCore *core, const WsMachine *machine)
{
  WsResources free = ws_replica_type(core->replica, machine->type)->capacity;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *job = ws_replica_job(core->replica, ref->job);
    if (job->spec->kind != WS_KIND_ARRAY)
      ws_resources_add(&free, &job->spec->need, -1);
  }
  return free;
}

static gint
compare_by_free_slots(gconstpointer a, gconstpointer b)
{
  const ReservedMachine *first = a, *second = b;
  if (first->free_slots != second->free_slots)
    return first->free_slots > second->free_slots ? -1 : 1;
  return first->machine < second->machine ? -1 : first->machine > second->machine;
}

/* Returns the machines in the zone (WS_NO_ZONE: in all zones) with slots for the gang (of
   ReservedMachine), those with the most free slots first. */
static GArray *
list_machines(WsCapacityMap *map, const WsJob *job, guint *tasks_by_zone, WsZoneIndex zone)
{
  const WsReplica *replica = map->core->replica;
  const WsResources *need = &job->spec->need;
  g_autoptr(WsCandidates) candidates = ws_candidates_new(map, job, tasks_by_zone);
  GArray *listed = g_array_new(FALSE, FALSE, sizeof(ReservedMachine));
  for (WsMachineIndex i = 0; i < replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(replica, i);
    if (!ws_candidates_is_eligible(candidates, machine)
        || (zone != WS_NO_ZONE && machine->zone != zone))
      continue;
    ReservedMachine entry = { i, count_slots(need, ws_capacity_map_at(map, i)->free),
                              count_slots(need, capacity_without_arrays(map->core, machine)) };
    if (entry.slots > 0)
      g_array_append_val(listed, entry);
  }
  g_array_sort(listed, compare_by_free_slots);
  return listed;
}

/* Returns the first machines of list_machines(), as many as the tasks need, or NULL if all of them
   together have too few slots. */
static GArray *
choose_in_zone(WsCapacityMap *map, const WsJob *job, guint tasks, guint *tasks_by_zone,
               WsZoneIndex zone)
{
  g_autoptr(GArray) chosen = list_machines(map, job, tasks_by_zone, zone);
  guint slots = 0, count = 0;
  while (count < chosen->len && slots < tasks)
    slots += g_array_index(chosen, ReservedMachine, count++).slots;
  g_array_set_size(chosen, count);
  return slots >= tasks ? g_steal_pointer(&chosen) : NULL;
}

static guint
count_free_slots(const GArray *chosen)
{
  guint slots = 0;
  for (guint i = 0; i < chosen->len; i++)
    slots += g_array_index(chosen, ReservedMachine, i).free_slots;
  return slots;
}

/* Returns the machines to reserve, or NULL. For a gang that must be in one zone, this is the zone
   where the chosen machines have the most free slots. */
static GArray *
choose_machines(WsCapacityMap *map, const WsJob *job, guint tasks, guint *tasks_by_zone)
{
  if (!job->spec->needs_one_zone)
    return choose_in_zone(map, job, tasks, tasks_by_zone, WS_NO_ZONE);
  g_autoptr(GArray) best = NULL;
  for (WsZoneIndex zone = 0; zone < map->core->settings->zones->len; zone++) {
    g_autoptr(GArray) chosen = choose_in_zone(map, job, tasks, tasks_by_zone, zone);
    if (chosen == NULL || (best != NULL && count_free_slots(chosen) <= count_free_slots(best)))
      continue;
    g_clear_pointer(&best, g_array_unref);
    best = g_steal_pointer(&chosen);
  }
  return g_steal_pointer(&best);
}

void
ws_gang_reservation_renew(WsCapacityMap *map, const WsJob *job, guint tasks, guint *tasks_by_zone)
{
  g_autoptr(GArray) chosen = choose_machines(map, job, tasks, tasks_by_zone);
  for (guint i = 0; chosen != NULL && i < chosen->len; i++) {
    const ReservedMachine *entry = &g_array_index(chosen, ReservedMachine, i);
    ws_capacity_map_at(map, entry->machine)->free = (WsResources){ 0 };
    ws_reservations_renew(map->core, job, entry->machine, entry->slots);
  }
}

/* The free capacity of every machine during one plan. */
#include "scheduling/ws-capacity-map.h"

#include "membership/ws-membership.h"
#include "commit/ws-commit.h"
#include "workers/ws-workers.h"

/* Number of non-critical jobs per plan that may search for victims. Each search examines every
   machine with a task of an array job, which would cost too much when hundreds of jobs wait. The
   first jobs in the queue are the most urgent ones, so they get the searches. */
#define MAX_VICTIM_SEARCHES 4

static gboolean
is_usable(const WsCore *core, const WsMachine *machine)
{
  return machine->is_recorded && machine->type != WS_NO_TYPE && !machine->is_marked
         && !machine->fleet.record_write_is_pending && machine->worker.interruption_ms == 0
         && !ws_machine_is_faulty(machine) && ws_machine_is_up(core, machine)
         && !ws_machine_is_outbound_unreachable(core, machine)
         && !ws_machine_is_inbound_unreachable(core, machine) && machine->owner != WS_NO_NODE;
}

/* Subtracts an assignment that was forwarded to the leader and isn't in the replica yet. */
static void
subtract_forwarded(const WsJob *job, WsMachineIndex machine, gpointer data)
{
  const WsCapacityMap *map = data;
  if (job->spec != NULL)
    ws_resources_add(&ws_capacity_map_at(map, machine)->free, &job->spec->need, -1);
}

static gboolean
is_stopping(const WsCore *core, const WsJob *job, const WsAssignment *assignment)
{
  return assignment != NULL
         && (assignment->is_stop_requested || ws_cancellations_has_job(core, job));
}

static void
add_machine(WsCapacityMap *map, const WsMachine *machine)
{
  const WsReplica *replica = map->core->replica;
  WsMachineCapacity *capacity = ws_capacity_map_at(map, machine->index);
  gboolean has_array = FALSE, is_freeing = FALSE;
  capacity->is_usable = TRUE;
  capacity->free = ws_replica_type(replica, machine->type)->capacity;
  ws_resources_add(&capacity->free, &machine->used, -1);
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *job = ws_replica_job(replica, ref->job);
    has_array = has_array || job->spec->kind == WS_KIND_ARRAY;
    capacity->has_service = capacity->has_service || job->spec->kind == WS_KIND_SERVICE;
    if (!is_stopping(map->core, job, ws_job_assignment(job, ref->task)))
      continue;
    ws_resources_add(&capacity->freeing, &job->spec->need, 1);
    is_freeing = TRUE;
  }
  if (has_array)
    g_array_append_val(map->machines_with_arrays, machine->index);
  if (is_freeing)
    g_array_append_val(map->freeing, machine->index);
}

/* Lists the machines with enough free capacity for the smallest waiting task. The other machines
   aren't examined for each job: in a full cluster hundreds of jobs wait, and nearly every machine
   has a few free CPUs that are too few for any of them. */
static void
list_open_machines(WsCapacityMap *map)
{
  for (WsMachineIndex i = 0; i < map->core->replica->machines->len; i++) {
    const WsMachineCapacity *capacity = ws_capacity_map_at(map, i);
    if (capacity->is_usable && ws_resources_fit(&map->min_need, &capacity->free))
      g_array_append_val(map->open, i);
  }
}

/* Records the lowest priority of the array jobs with assigned tasks, and whether any of these jobs
   is outside its team's guarantee. No victims are searched for a job that could preempt none of
   these jobs. */
static void
summarize_array_jobs(WsCapacityMap *map)
{
  const WsReplica *replica = map->core->replica;
  for (guint i = 0; i < replica->active_jobs->len; i++) {
    const WsJob *job = g_ptr_array_index(replica->active_jobs, i);
    if (job->assigned_count == 0 || job->spec->kind != WS_KIND_ARRAY)
      continue;
    map->lowest_array_priority = MAX(map->lowest_array_priority, (guint)job->spec->priority);
    map->has_unguaranteed_arrays = map->has_unguaranteed_arrays || !job->status.is_guaranteed;
  }
}

void
ws_capacity_map_init(WsCapacityMap *map, WsCore *core, const WsResources *min_need)
{
  const WsReplica *replica = core->replica;
  *map = (WsCapacityMap){ .core = core,
                          .min_need = *min_need,
                          .victim_searches_left = MAX_VICTIM_SEARCHES };
  map->machines = g_new0(WsMachineCapacity, MAX(replica->machines->len, 1u));
  map->open = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  map->freeing = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  map->machines_with_arrays = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  for (WsMachineIndex i = 0; i < replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(replica, i);
    if (is_usable(core, machine))
      add_machine(map, machine);
  }
  ws_assignments_foreach_forwarded(core, subtract_forwarded, map);
  list_open_machines(map);
  map->machines_examined = replica->machines->len;
  summarize_array_jobs(map);
}

void
ws_capacity_map_clear(WsCapacityMap *map)
{
  g_array_unref(map->open);
  g_array_unref(map->freeing);
  g_array_unref(map->machines_with_arrays);
  g_free(map->machines);
}

void
ws_capacity_map_prune_open(WsCapacityMap *map)
{
  for (guint i = map->open->len; i-- > 0;) {
    WsMachineIndex machine = g_array_index(map->open, WsMachineIndex, i);
    if (!ws_resources_fit(&map->min_need, &ws_capacity_map_at(map, machine)->free))
      g_array_remove_index_fast(map->open, i);
  }
}

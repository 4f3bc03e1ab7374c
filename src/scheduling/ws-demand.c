/* Autoscaling demand: how many machines of which kind are needed for the unplaced tasks. */
#include "scheduling/ws-demand-private.h"

#include "scheduling/ws-type-fit.h"
#include "commit/ws-commit.h"
#include "fleet/ws-fleet.h"
#include "membership/ws-membership.h"
#include "storage/ws-constraints.h"

/* The capacity that running tasks will free counts as this part of the capacity of new machines. */
#define RUNNING_SLOT_DIVISOR 2

static void
add_virtual(WsDemand *demand, WsVirtualSource source, WsTypeIndex type, WsZoneIndex zone,
            gboolean is_spot, const WsResources *free)
{
  WsVirtualMachine machine = { type, zone, is_spot, source, *free };
  g_array_append_val(demand->machines, machine);
}

/* Adds what array tasks on the machine will free. A task that can wait may count on it, but as half
   the capacity only, since it isn't known when they exit. */
static void
add_running(WsDemand *demand, const WsMachine *machine)
{
  const WsReplica *replica = demand->core->replica;
  WsResources freed = { 0 };
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsJob *job = ws_replica_job(replica, g_array_index(machine->tasks, WsTaskRef, i).job);
    if (job->spec->kind == WS_KIND_ARRAY)
      ws_resources_add(&freed, &job->spec->need, 1);
  }
  freed.cpus /= RUNNING_SLOT_DIVISOR;
  freed.gpus /= RUNNING_SLOT_DIVISOR;
  freed.memory /= RUNNING_SLOT_DIVISOR;
  if (freed.cpus != 0)
    add_virtual(demand, WS_VIRTUAL_RUNNING, machine->type, machine->zone, machine->is_spot, &freed);
}

/* Adds the machines of rental intents that the cloud hasn't confirmed yet. */
static void
add_ordered(WsDemand *demand)
{
  const WsReplica *replica = demand->core->replica;
  for (guint i = 0; i < replica->rental_intents->len; i++) {
    const WsRentalIntent *rental = g_ptr_array_index(replica->rental_intents, i);
    WsTypeIndex type = ws_replica_find_type(replica, rental->type);
    WsZoneIndex zone = ws_replica_find_zone(replica, rental->zone);
    if (type == WS_NO_TYPE || zone == WS_NO_ZONE)
      continue;
    for (guint n = 0; n < rental->count; n++)
      add_virtual(demand, WS_VIRTUAL_REQUESTED, type, zone, rental->is_spot,
                  &ws_replica_type(replica, type)->capacity);
  }
}

static void
add_machine(WsDemand *demand, const WsMachine *machine)
{
  const WsCore *core = demand->core;
  demand->machines_by_zone[machine->zone]++;
  /* A machine that boots in a partitioned zone can't be used. */
  if (machine->is_marked || ws_zone_is_partitioned(core, machine->zone))
    return;
  if (ws_machine_is_booting(core, machine))
    add_virtual(demand, WS_VIRTUAL_BOOTING, machine->type, machine->zone, machine->is_spot,
                &ws_replica_type(core->replica, machine->type)->capacity);
  else if (ws_machine_is_up(core, machine))
    add_running(demand, machine);
}

WsDemand *
ws_demand_new(WsCore *core)
{
  const WsReplica *replica = core->replica;
  WsDemand *demand = g_new0(WsDemand, 1);
  demand->core = core;
  demand->only_zone = WS_NO_ZONE;
  demand->machines = g_array_new(FALSE, FALSE, sizeof(WsVirtualMachine));
  demand->machines_by_zone = g_new0(guint, core->settings->zones->len);
  for (WsMachineIndex i = 0; i < replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(replica, i);
    if (machine->is_recorded && machine->type != WS_NO_TYPE && machine->zone != WS_NO_ZONE)
      add_machine(demand, machine);
  }
  add_ordered(demand);
  return demand;
}

/* Whether the demand may place the job's tasks on the virtual machine. What running tasks will free
   counts only on machines of the smallest type that fits: larger ones are for larger tasks. */
static gboolean
is_allowed(const WsDemand *demand, const WsJob *job, const WsVirtualMachine *machine,
           gboolean can_wait, gint64 smallest_fitting_cpus)
{
  const WsType *type = ws_replica_type(demand->core->replica, machine->type);
  if ((machine->is_spot && !job->spec->allows_spot)
      || !ws_demand_allows_zone(demand, job, machine->zone)
      || !ws_constraints_allow_type(job->spec, type))
    return FALSE;
  return machine->source != WS_VIRTUAL_RUNNING
         || (can_wait && type->capacity.cpus <= smallest_fitting_cpus);
}

/* Subtracts @need from what is free for up to @max_tasks tasks. Returns for how many it was enough.
 */
static guint
subtract_tasks(WsResources *free, const WsResources *need, guint max_tasks)
{
  guint tasks = 0;
  for (; tasks < max_tasks && ws_resources_fit(need, free); tasks++)
    ws_resources_add(free, need, -1);
  return tasks;
}

/* Places tasks on the virtual machines that the demand has already. Returns how many fitted. */
static guint
fill_machines(WsDemand *demand, const WsJob *job, const WsResources *need, guint tasks)
{
  gboolean can_wait = ws_demand_can_wait_for_running_tasks(demand, job);
  gint64 smallest = ws_type_smallest_fitting_cpus(demand->core->replica, job->spec);
  guint placed = 0;
  for (guint i = 0; i < demand->machines->len && placed < tasks; i++) {
    WsVirtualMachine *machine = ws_demand_machine_at(demand, i);
    if (is_allowed(demand, job, machine, can_wait, smallest))
      placed += subtract_tasks(&machine->free, need, tasks - placed);
  }
  return placed;
}

void
ws_demand_add(WsDemand *demand, const WsJob *job, guint tasks)
{
  WsResources need = ws_demand_amortized_need(demand, job);
  guint wanted = ws_demand_count_slots_wanted(demand, job, tasks);
  guint left = wanted - fill_machines(demand, job, &need, wanted);
  while (left > 0) {
    guint added = demand->machines->len;
    if (!(job->spec->allows_spot && ws_demand_add_new_machine(demand, job, TRUE, &need))
        && !ws_demand_add_new_machine(demand, job, FALSE, &need))
      return;
    left--;
    /* The new machine takes as many of the other tasks as fit. */
    left -= subtract_tasks(&ws_demand_machine_at(demand, added)->free, &need, left);
  }
}

void
ws_demand_add_gang(WsDemand *demand, const WsJob *job, guint tasks)
{
  if (job->spec->needs_one_zone) {
    demand->only_zone = ws_demand_choose_gang_zone(demand, job, tasks);
    if (demand->only_zone == WS_NO_ZONE)
      return;
  }
  ws_demand_add(demand, job, tasks);
  demand->only_zone = WS_NO_ZONE;
}

/* Places a task of the job on an ordinary machine that the demand requests already. */
static gboolean
fill_new_machine(WsDemand *demand, const WsJob *job)
{
  for (guint i = 0; i < demand->machines->len; i++) {
    WsVirtualMachine *machine = ws_demand_machine_at(demand, i);
    if (machine->source != WS_VIRTUAL_NEW || machine->is_spot
        || !ws_resources_fit(&job->spec->need, &machine->free))
      continue;
    ws_resources_add(&machine->free, &job->spec->need, -1);
    return TRUE;
  }
  return FALSE;
}

/* Adds machines so that the headroom is complete: critical jobs can't wait for a boot, so some
   slots are always kept for them. */
static void
add_headroom(WsDemand *demand)
{
  const WsCore *core = demand->core;
  const WsJob *job = ws_headroom_reference_job(core->replica);
  if (job == NULL)
    return;
  guint wanted = core->properties->headroom_tasks;
  guint slots = ws_headroom_count_slots(core, &job->spec->need, NULL);
  for (guint i = 0; i < demand->machines->len && slots < wanted; i++) {
    WsVirtualMachine *machine = ws_demand_machine_at(demand, i);
    if (machine->source == WS_VIRTUAL_REQUESTED && !machine->is_spot)
      slots += subtract_tasks(&machine->free, &job->spec->need, G_MAXUINT);
  }
  for (; slots < wanted; slots++)
    if (!fill_new_machine(demand, job)
        && !ws_demand_add_new_machine(demand, job, FALSE, &job->spec->need))
      return;
}

static gboolean
is_same_kind(const WsVirtualMachine *first, const WsVirtualMachine *second)
{
  return first->type == second->type && first->zone == second->zone
         && first->is_spot == second->is_spot;
}

/* Requests all new machines of the kind of the i-th one, which is the first of its kind. */
static void
request_kind(WsDemand *demand, guint i)
{
  const WsVirtualMachine *first = ws_demand_machine_at(demand, i);
  guint count = 0;
  for (guint k = i; k < demand->machines->len; k++) {
    WsVirtualMachine *machine = ws_demand_machine_at(demand, k);
    if (machine->source != WS_VIRTUAL_NEW || !is_same_kind(first, machine))
      continue;
    machine->source = WS_VIRTUAL_REQUESTED;
    count++;
  }
  ws_rentals_request(demand->core, first->type, first->zone, first->is_spot, count);
}

void
ws_demand_finish(WsDemand *demand)
{
  add_headroom(demand);
  for (guint i = 0; i < demand->machines->len; i++)
    if (ws_demand_machine_at(demand, i)->source == WS_VIRTUAL_NEW)
      request_kind(demand, i);
  ws_rentals_record_intents(demand->core);
  g_array_unref(demand->machines);
  g_free(demand->machines_by_zone);
  g_free(demand);
}

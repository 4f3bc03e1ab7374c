/* Autoscaling demand: the machines to rent for the tasks that a plan couldn't place. */
#include "scheduling/ws-demand-private.h"

#include "scheduling/ws-type-fit.h"
#include "commit/ws-commit.h"
#include "fleet/ws-fleet.h"
#include "membership/ws-membership.h"
#include "storage/ws-constraints.h"

/* Capacity that running tasks will free is divided by this, since it isn't known when they exit. */
#define RUNNING_SLOT_DIVISOR 2

static void
add_virtual(WsDemand *demand, WsVirtualSource source, WsTypeIndex type, WsZoneIndex zone,
            gboolean is_spot, const WsResources *free)
{
  WsVirtualMachine machine = { type, zone, is_spot, source, *free };
  g_array_append_val(demand->machines, machine);
}

/* Adds a virtual machine with the capacity that the array tasks on the machine will free, divided
   by RUNNING_SLOT_DIVISOR. Only tasks that can wait use it. */
static void
add_capacity_of_array_tasks(WsDemand *demand, const WsMachine *machine)
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

/* Adds the machines of the rental intents that the cloud hasn't confirmed yet. */
static void
add_requested(WsDemand *demand)
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
  /* A machine in a partitioned zone can't be used, even once it has booted. */
  if (machine->is_marked || ws_zone_is_partitioned(core, machine->zone))
    return;
  if (ws_machine_is_booting(core, machine))
    add_virtual(demand, WS_VIRTUAL_BOOTING, machine->type, machine->zone, machine->is_spot,
                &ws_replica_type(core->replica, machine->type)->capacity);
  else if (ws_machine_is_up(core, machine))
    add_capacity_of_array_tasks(demand, machine);
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
  add_requested(demand);
  return demand;
}

/* Whether the job's tasks may be placed on the virtual machine. Capacity that running tasks will
   free may be used only on machines of the smallest type that fits a task: larger machines are left
   to larger tasks. */
static gboolean
may_use_machine(const WsDemand *demand, const WsJob *job, const WsVirtualMachine *machine,
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

/* Subtracts @need from @free for as many tasks as fit, up to @max_tasks. Returns their number. */
static guint
subtract_tasks(WsResources *free, const WsResources *need, guint max_tasks)
{
  guint tasks = 0;
  for (; tasks < max_tasks && ws_resources_fit(need, free); tasks++)
    ws_resources_add(free, need, -1);
  return tasks;
}

/* Places tasks on the existing virtual machines of the demand. Returns the number that fitted. */
static guint
fill_machines(WsDemand *demand, const WsJob *job, const WsResources *need, guint tasks)
{
  gboolean can_wait = ws_demand_can_wait_for_running_tasks(demand, job);
  gint64 smallest_fitting_cpus = ws_type_smallest_fitting_cpus(demand->core->replica, job->spec);
  guint placed = 0;
  for (guint i = 0; i < demand->machines->len && placed < tasks; i++) {
    WsVirtualMachine *machine = ws_demand_machine_at(demand, i);
    if (may_use_machine(demand, job, machine, can_wait, smallest_fitting_cpus))
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
    /* Place as many of the other tasks on the new machine as fit. */
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

/* Places a task of the job on a new on-demand (not spot) machine of this demand. Returns FALSE if
   it fits none. */
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

/* Adds machines until the headroom is complete: slots that are always kept for critical jobs, since
   these can't wait for a machine to boot. */
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
is_same_rental_kind(const WsVirtualMachine *first, const WsVirtualMachine *second)
{
  return first->type == second->type && first->zone == second->zone
         && first->is_spot == second->is_spot;
}

/* Requests all new machines that have the type, the zone and the price model (spot or on-demand) of
   the i-th one, which is the first of them. */
static void
request_rental_kind(WsDemand *demand, guint i)
{
  const WsVirtualMachine *first = ws_demand_machine_at(demand, i);
  guint count = 0;
  for (guint k = i; k < demand->machines->len; k++) {
    WsVirtualMachine *machine = ws_demand_machine_at(demand, k);
    if (machine->source != WS_VIRTUAL_NEW || !is_same_rental_kind(first, machine))
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
      request_rental_kind(demand, i);
  ws_rentals_record_intents(demand->core);
  g_array_unref(demand->machines);
  g_free(demand->machines_by_zone);
  g_free(demand);
}

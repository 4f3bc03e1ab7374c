/**
 * Headroom: the placement slots that are kept for the next critical job.
 *
 * A slot counts if it is free or is used by a task of an array, since that task may be preempted
 * for a critical one. Slots used by tasks of gangs are counted too, although these aren't
 * preempted.
 */
#include "fleet/ws-fleet-private.h"

#include "membership/ws-membership.h"

/* A machine without a heartbeat counts as booting for this multiple of its type's boot time. */
#define BOOTING_PERIOD_FACTOR 1.6

gboolean
ws_machine_is_booting(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.last_contact_ms == 0
         && ws_fleet_machine_age_s(core, machine)
                < BOOTING_PERIOD_FACTOR * ws_replica_type(core->replica, machine->type)->boot_s;
}

const WsJob *
ws_headroom_reference_job(const WsReplica *replica)
{
  const WsJob *largest = NULL;
  for (guint i = 0; i < replica->active_jobs->len; i++) {
    const WsJob *job = g_ptr_array_index(replica->active_jobs, i);
    if (job->spec->priority == WS_CRITICAL && job->state == WS_JOB_ACTIVE
        && (largest == NULL || job->spec->need.gpus > largest->spec->need.gpus))
      largest = job;
  }
  return largest;
}

static gboolean
counts_for_headroom(const WsCore *core, const WsMachine *machine)
{
  return machine->is_recorded && !machine->is_marked && !machine->is_spot
         && machine->type != WS_NO_TYPE && machine->zone != WS_NO_ZONE
         && (ws_machine_is_booting(core, machine) || ws_machine_is_up(core, machine));
}

/* Returns the machine's capacity minus the resources that tasks of services use. */
static WsResources
capacity_without_services(const WsReplica *replica, const WsMachine *machine)
{
  WsResources capacity = ws_replica_type(replica, machine->type)->capacity;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsJob *job = ws_replica_job(replica, g_array_index(machine->tasks, WsTaskRef, i).job);
    if (job->spec->kind == WS_KIND_SERVICE)
      ws_resources_add(&capacity, &job->spec->need, -1);
  }
  return capacity;
}

guint
ws_headroom_count_slots(const WsCore *core, const WsResources *need, const WsMachine *except)
{
  guint max_slots = core->properties->headroom_tasks;
  guint slots = 0;
  for (WsMachineIndex i = 0; i < core->replica->machines->len && slots < max_slots; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine == except || !counts_for_headroom(core, machine))
      continue;
    WsResources capacity = capacity_without_services(core->replica, machine);
    for (; ws_resources_fit(need, &capacity) && slots < max_slots; slots++)
      ws_resources_add(&capacity, need, -1);
  }
  return slots;
}

gboolean
ws_headroom_suffices_without(const WsCore *core, const WsMachine *machine)
{
  const WsJob *job = ws_headroom_reference_job(core->replica);
  if (job == NULL || core->properties->headroom_tasks == 0)
    return TRUE;
  return ws_headroom_count_slots(core, &job->spec->need, machine)
         >= core->properties->headroom_tasks;
}

/* Validates an assignment before it is added to a batch. Checks all conditions of planning again,
   against the records as they will be after the batch's transaction. */
#include "commit/ws-batch-private.h"

#include "storage/ws-constraints.h"
#include "storage/ws-gang-phase.h"

static void
count_tasks_per_zone(const WsBatch *batch, const WsJob *job, guint *counts)
{
  const WsReplica *replica = batch->core->replica;
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    const WsChunk *chunk = ws_batch_chunk(batch, job, c);
    for (guint i = 0; chunk != NULL && i < chunk->assignments->len; i++) {
      const WsAssignment *assignment = &g_array_index(chunk->assignments, WsAssignment, i);
      WsZoneIndex zone = ws_replica_machine(replica, assignment->machine)->zone;
      if (zone != WS_NO_ZONE)
        counts[zone]++;
    }
  }
}

static WsResources
free_capacity(WsBatch *batch, const WsMachine *machine)
{
  WsResources capacity = ws_replica_type(batch->core->replica, machine->type)->capacity;
  ws_resources_add(&capacity, &machine->used, -1);
  ws_resources_add(&capacity, ws_batch_machine_use(batch, machine->index), -1);
  return capacity;
}

static gboolean
machine_has_capacity(WsBatch *batch, const WsMachine *machine, const WsJob *job)
{
  WsResources capacity = free_capacity(batch, machine);
  return ws_resources_fit(&job->spec->need, &capacity);
}

/* Returns whether the assignment leaves the capacity that is reserved for more urgent jobs. */
static gboolean
respects_reservations(WsBatch *batch, const WsMachine *machine, const WsJob *job)
{
  const WsHandlers *handlers = batch->core->handlers;
  if (!handlers->has_reservations(batch->core))
    return TRUE;
  WsResources left = free_capacity(batch, machine);
  WsResources use = batch->team_use[job->team];
  ws_resources_add(&left, &job->spec->need, -1);
  ws_resources_add(&use, &job->spec->need, 1);
  guint assigned_count = ws_batch_count_tasks(batch, job).assigned_count + 1;
  return handlers->allows_assignment(batch->core, job, assigned_count, machine->index, &left, &use);
}

static gboolean
zone_is_allowed(const WsBatch *batch, const WsJob *job, WsZoneIndex zone)
{
  guint zones = batch->core->settings->zones->len;
  if (!ws_batch_depends_on_all_chunks(job))
    return TRUE;
  g_autofree guint *counts = g_new0(guint, zones);
  count_tasks_per_zone(batch, job, counts);
  return ws_constraints_allow_zone(job, counts, zones, zone);
}

/* Also checks the assignments in this batch, since two nodes may propose the same task. */
static gboolean
task_is_unassigned(const WsBatch *batch, const WsJob *job, guint task)
{
  const WsChunk *chunk = ws_batch_chunk(batch, job, task / WS_CHUNK_TASKS);
  return !ws_job_is_task_completed(job, task) && ws_chunk_find(chunk, task) == NULL
         && ws_job_assignment(job, task) == NULL;
}

static gboolean
chunk_has_free_slot(const WsBatch *batch, const WsJob *job, guint task)
{
  const WsChunk *chunk = ws_batch_chunk(batch, job, task / WS_CHUNK_TASKS);
  return ws_chunk_free_slots(chunk, batch->core->replica) > 0;
}

static gboolean
can_assign_task(const WsBatch *batch, const WsJob *job, guint task)
{
  return job->state == WS_JOB_ACTIVE && job->spec != NULL && job->team != WS_NO_TEAM
         && task < job->tasks && task_is_unassigned(batch, job, task) && !ws_gang_is_ending(job)
         && chunk_has_free_slot(batch, job, task);
}

static gboolean
machine_accepts_tasks(const WsMachine *machine)
{
  return machine->is_recorded && !machine->is_marked && !machine->fleet.record_write_is_pending;
}

gboolean
ws_batch_allows_assignment(WsBatch *batch, const WsProposal *proposal)
{
  const WsCore *core = batch->core;
  const WsJob *job = ws_replica_job(core->replica, proposal->job);
  const WsMachine *machine = ws_replica_machine(core->replica, proposal->machine);
  return can_assign_task(batch, job, proposal->task) && machine_accepts_tasks(machine)
         && ws_constraints_allow_machine(core->replica, job->spec, job->zone, machine)
         && machine_has_capacity(batch, machine, job)
         && ws_team_has_capacity(core->settings, job->team, &batch->team_use[job->team],
                                 &job->spec->need)
         && zone_is_allowed(batch, job, machine->zone)
         && respects_reservations(batch, machine, job);
}

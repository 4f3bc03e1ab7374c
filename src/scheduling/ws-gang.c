/* Running gangs: halts the remaining tasks of an attempt that has ended, and begins an orderly stop
   of a gang before one of its machines is drained. */
#include "scheduling/ws-scheduling.h"

#include "membership/ws-membership.h"
#include "storage/ws-gang-phase.h"
#include "workers/ws-workers.h"

/* The time until a halt is repeated. It is short since all tasks of a gang must receive their halt
   within a few seconds of the first one. */
#define HALT_RETRY_MS 700

/* Whether a halt would reach the machine now, from this node or through the machine's owner. */
static gboolean
is_machine_reachable(const WsCore *core, const WsMachine *machine)
{
  if (ws_owns_machine(core, machine))
    return ws_worker_rpc_is_allowed(core, machine)
           && !ws_machine_is_outbound_unreachable(core, machine);
  return machine->owner != WS_NO_NODE && ws_peer_is_reachable(core, machine->owner)
         && ws_machine_is_up(core, machine);
}

static gboolean
are_all_machines_reachable(const WsCore *core, const WsJob *job)
{
  WsAssignmentIter iter;
  ws_assignment_iter_init(&iter, job);
  const WsAssignment *assignment;
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL)
    if (!is_machine_reachable(core, ws_replica_machine(core->replica, assignment->machine)))
      return FALSE;
  return TRUE;
}

static void
request_stop(WsCore *core, WsJob *job, WsAssignment *assignment)
{
  const WsMachine *machine = ws_replica_machine(core->replica, assignment->machine);
  assignment->is_stop_requested = TRUE;
  assignment->stop_sent_ms = core->now_ms;
  if (ws_owns_machine(core, machine))
    ws_worker_rpc_halt(core, job, assignment);
  else
    ws_peer_request_stop(core, machine->owner, job, assignment);
}

/* Begins an orderly stop: all tasks are halted at the same time, with enough time to save their
   progress. Does nothing while a machine of the gang is unreachable, since the tasks on the other
   machines would be stopped and lose their progress for nothing. */
static void
stop_gang(WsCore *core, WsJob *job)
{
  if (!are_all_machines_reachable(core, job))
    return;
  g_info("gang %s: orderly stop before a drain, halting %u tasks", job->id, job->assigned_count);
  WsAssignmentIter iter;
  ws_assignment_iter_init(&iter, job);
  WsAssignment *assignment;
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL)
    request_stop(core, job, assignment);
}

/* Whether the task runs on a machine of this node that is to be drained. */
static gboolean
runs_on_draining_machine(const WsCore *core, const WsAssignment *assignment)
{
  const WsMachine *machine = ws_replica_machine(core->replica, assignment->machine);
  return machine->is_marked && !machine->mark_is_immediate && ws_owns_machine(core, machine)
         && assignment->state == WS_TASK_RUNNING;
}

static gboolean
has_draining_machine(const WsCore *core, const WsJob *job)
{
  WsAssignmentIter iter;
  ws_assignment_iter_init(&iter, job);
  const WsAssignment *assignment;
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL)
    if (runs_on_draining_machine(core, assignment))
      return TRUE;
  return FALSE;
}

/* Whether a halt is due for a task on a machine of this node. A task that is saving its progress
   has received its halt already. */
static gboolean
is_halt_due(const WsCore *core, const WsAssignment *assignment)
{
  return ws_owns_machine(core, ws_replica_machine(core->replica, assignment->machine))
         && assignment->state < WS_TASK_SAVING && assignment->state != WS_TASK_ASSIGNED
         && core->now_ms - assignment->stop_sent_ms >= HALT_RETRY_MS;
}

/* Repeats the halts that are due for tasks on this node's machines, either for all tasks or only
   for those with a stop request. */
static void
retry_halts(WsCore *core, WsJob *job, gboolean of_all_tasks)
{
  WsAssignmentIter iter;
  ws_assignment_iter_init(&iter, job);
  WsAssignment *assignment;
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL) {
    if ((!of_all_tasks && !assignment->is_stop_requested) || !is_halt_due(core, assignment))
      continue;
    assignment->stop_sent_ms = core->now_ms;
    ws_worker_rpc_halt(core, job, assignment);
  }
}

/* Halts or stops tasks as the phase of the current attempt requires. */
static void
act_on_phase(WsCore *core, WsJob *job)
{
  switch (ws_gang_phase(job)) {
  case WS_GANG_ENDING:
    retry_halts(core, job, TRUE);
    break;
  case WS_GANG_STOPPING:
    retry_halts(core, job, FALSE);
    break;
  case WS_GANG_RUNNING:
    if (has_draining_machine(core, job))
      stop_gang(core, job);
    break;
  case WS_GANG_WAITING:
  case WS_GANG_LAUNCHED:
  case WS_GANG_GATHERING:
    break;
  }
}

void
ws_gang_tick(WsCore *core)
{
  for (guint i = 0; i < core->replica->active_jobs->len; i++) {
    WsJob *job = g_ptr_array_index(core->replica->active_jobs, i);
    if (ws_job_is_gang(job) && job->assigned_count > 0 && job->state == WS_JOB_ACTIVE
        && !ws_cancellations_has_job(core, job))
      act_on_phase(core, job);
  }
}

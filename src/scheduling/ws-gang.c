#include "scheduling/ws-scheduling.h"

#include "membership/ws-membership.h"
#include "workers/ws-workers.h"
#include "storage/ws-gang-phase.h"

/* Halts are repeated at this pace: the tasks of a gang must all hear of a stop within a few seconds
   of the first one. */
#define HALT_RETRY_MS 700

/* Whether the machine hears a halt now, from this node or from its owner. */
static gboolean
is_reachable(const WsCore *core, const WsMachine *machine)
{
  if (ws_owns_machine(core, machine))
    return ws_worker_rpc_is_possible(core, machine)
           && !ws_machine_is_outbound_unreachable(core, machine);
  return machine->owner != WS_NO_NODE && ws_peer_is_reachable(core, machine->owner)
         && ws_machine_is_up(core, machine);
}

static gboolean
all_reachable(const WsCore *core, const WsJob *job)
{
  WsAssignmentIter iter;
  ws_assignment_iter_init(&iter, job);
  const WsAssignment *assignment;
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL)
    if (!is_reachable(core, ws_replica_machine(core->replica, assignment->machine)))
      return FALSE;
  return TRUE;
}

static void
stop_task(WsCore *core, WsJob *job, WsAssignment *assignment)
{
  const WsMachine *machine = ws_replica_machine(core->replica, assignment->machine);
  assignment->is_stop_requested = TRUE;
  assignment->stop_forwarded_ms = core->now;
  if (ws_owns_machine(core, machine))
    ws_worker_rpc_halt(core, job, assignment);
  else
    ws_peer_request_stop(core, machine->owner, job, assignment);
}

gboolean
ws_gang_stop(WsCore *core, WsJob *job)
{
  if (!all_reachable(core, job))
    return FALSE;
  g_info("gang %s stops: %u tasks save their progress", job->id, job->assigned_count);
  WsAssignmentIter iter;
  ws_assignment_iter_init(&iter, job);
  WsAssignment *assignment;
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL)
    stop_task(core, job, assignment);
  return TRUE;
}

/* Whether the task runs on a machine of this node that is being drained. */
static gboolean
is_to_be_drained(const WsCore *core, const WsAssignment *assignment)
{
  const WsMachine *machine = ws_replica_machine(core->replica, assignment->machine);
  return machine->is_marked && !machine->mark_is_immediate && ws_owns_machine(core, machine)
         && assignment->state == WS_TASK_RUNNING;
}

static gboolean
must_be_drained(const WsCore *core, const WsJob *job)
{
  WsAssignmentIter iter;
  ws_assignment_iter_init(&iter, job);
  const WsAssignment *assignment;
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL)
    if (is_to_be_drained(core, assignment))
      return TRUE;
  return FALSE;
}

/* Whether the task on this node's machine may be sent a halt now. What saves has heard it. */
static gboolean
may_halt(const WsCore *core, const WsAssignment *assignment)
{
  return ws_owns_machine(core, ws_replica_machine(core->replica, assignment->machine))
         && assignment->state < WS_TASK_SAVING && assignment->state != WS_TASK_ASSIGNED
         && core->now - assignment->stop_forwarded_ms >= HALT_RETRY_MS;
}

/* One halt of each task on this node's machines, unless one was sent a moment ago. */
static void
halt_again(WsCore *core, WsJob *job, gboolean all)
{
  WsAssignmentIter iter;
  ws_assignment_iter_init(&iter, job);
  WsAssignment *assignment;
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL) {
    if ((!all && !assignment->is_stop_requested) || !may_halt(core, assignment))
      continue;
    assignment->stop_forwarded_ms = core->now;
    ws_worker_rpc_halt(core, job, assignment);
  }
}

static void
tend(WsCore *core, WsJob *job)
{
  switch (ws_gang_phase(job)) {
  case WS_GANG_ENDING:
    halt_again(core, job, TRUE);
    break;
  case WS_GANG_STOPPING:
    halt_again(core, job, FALSE);
    break;
  case WS_GANG_RUNNING:
    if (must_be_drained(core, job))
      (void)ws_gang_stop(core, job);
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
  for (guint i = 0; i < core->replica->active->len; i++) {
    WsJob *job = g_ptr_array_index(core->replica->active, i);
    if (ws_job_is_gang(job) && job->assigned_count > 0 && job->state == WS_JOB_ACTIVE
        && !ws_cancellations_has(core, job))
      tend(core, job);
  }
}

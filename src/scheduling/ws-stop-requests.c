/* Requests to other nodes to stop tasks on the machines that they own. */
#include "scheduling/ws-stop-requests.h"

#include "membership/ws-membership.h"

#define STOP_RETRY_MS 3000

/* Whether the task is to be stopped and no stop request was sent in the last STOP_RETRY_MS. */
static gboolean
is_stop_request_due(const WsCore *core, const WsAssignment *assignment)
{
  if (assignment == NULL || !assignment->is_stop_requested)
    return FALSE;
  return assignment->stop_sent_ms <= 0 || core->now_ms - assignment->stop_sent_ms >= STOP_RETRY_MS;
}

void
ws_stop_requests_send(WsCore *core, const WsMachine *machine)
{
  if (machine->owner == core->settings->self)
    return;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *victim = ws_replica_job(core->replica, ref->job);
    WsAssignment *assignment = ws_job_assignment(victim, ref->task);
    if (!is_stop_request_due(core, assignment))
      continue;
    assignment->stop_sent_ms = core->now_ms;
    ws_peer_request_stop(core, machine->owner, victim, assignment);
  }
}

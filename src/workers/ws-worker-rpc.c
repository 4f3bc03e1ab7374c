#include "workers/ws-workers.h"

#include "membership/ws-membership.h"
#include "storage/ws-gang-phase.h"

#include <string.h>

/* Launches on their way at once; the others go with the answers to reports. Those of critical tasks
   and of gangs always go. */
#define MAX_RPCS_IN_FLIGHT 48
/* What an orderly stop may take beyond the time for saving. */
#define GRACE_MARGIN_S 1.0

typedef struct {
  WsMachineIndex machine;
  guint64 fencing_token;
  guint64 incarnation;
  gboolean launches;
} Direct;

static void
on_direct(WsCore *core, guint status, const json_t *body, gpointer data)
{
  Direct *direct = data;
  WsMachine *machine = ws_replica_machine(core->replica, direct->machine);
  core->rpcs_in_flight--;
  /* Without an answer the launch may still be carried out minutes later, so the doubt stays until
     the worker has seen a higher token or begun a new session. */
  if (status != 0 && direct->launches && machine->worker.indeterminate_launches > 0
      && machine->worker.indeterminate_fencing_token == direct->fencing_token
      && machine->worker.indeterminate_incarnation == direct->incarnation)
    machine->worker.indeterminate_launches--;
  g_autoptr(WsHeartbeat) heartbeat
      = status == 200 || status == 409 ? ws_heartbeat_parse(body, NULL) : NULL;
  if (heartbeat != NULL && strcmp(heartbeat->machine, machine->name) == 0
      && ws_owns_machine(core, machine))
    ws_workers_note_status(core, machine, heartbeat);
  g_free(direct);
}

static void
send_direct(WsCore *core, WsMachine *machine, json_t *commands, gboolean launches)
{
  Direct *direct = g_new0(Direct, 1);
  *direct = (Direct){ machine->index, core->replica->epoch.number, machine->worker.incarnation,
                      launches };
  core->rpcs_in_flight++;
  if (launches) {
    if (machine->worker.indeterminate_launches == 0)
      machine->worker.indeterminate_ms = core->now;
    machine->worker.indeterminate_launches++;
    machine->worker.indeterminate_fencing_token = direct->fencing_token;
    machine->worker.indeterminate_incarnation = direct->incarnation;
  }
  ws_call(core, "POST", machine->worker.endpoint, "/commands",
          ws_commands_encode(direct->fencing_token, direct->incarnation, commands), 2000, on_direct,
          direct);
}

gboolean
ws_worker_rpc_is_possible(const WsCore *core, const WsMachine *machine)
{
  return ws_authority_check_command(core, machine) == WS_REFUSAL_NONE;
}

void
ws_worker_rpc_raise_fencing_token(WsCore *core, WsMachine *machine)
{
  send_direct(core, machine, json_array(), FALSE);
}

/* Somebody waits for a critical task, and the other tasks of a gang wait for each of it. */
static gboolean
any_urgent(const WsCore *core, const GArray *tasks)
{
  for (guint i = 0; i < tasks->len; i++) {
    const WsJob *job = ws_replica_job(core->replica, g_array_index(tasks, WsTaskRef, i).job);
    if (job->spec != NULL && (job->spec->priority == WS_CRITICAL || ws_job_is_gang(job)))
      return TRUE;
  }
  return FALSE;
}

void
ws_worker_rpc_launch(WsCore *core, WsMachine *machine, GArray *tasks)
{
  if (ws_authority_check_direct_launch(core, machine) != WS_REFUSAL_NONE
      || (core->rpcs_in_flight >= MAX_RPCS_IN_FLIGHT && !any_urgent(core, tasks)))
    return;
  json_t *commands = json_array();
  for (guint i = 0; i < tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(tasks, WsTaskRef, i);
    const WsJob *job = ws_replica_job(core->replica, ref->job);
    WsAssignment *assignment = ws_job_assignment(job, ref->task);
    if (assignment == NULL || job->state != WS_JOB_ACTIVE || ws_cancellations_has(core, job))
      continue;
    json_array_append_new(commands, ws_command_encode(WS_OP_LAUNCH, job->id, assignment->task,
                                                      assignment->attempt, 0.0));
  }
  if (json_array_size(commands) > 0)
    send_direct(core, machine, commands, TRUE);
  else
    json_decref(commands);
}

double
ws_halt_grace_s(const WsCore *core, const WsJob *job, const WsAssignment *assignment)
{
  if (ws_cancellations_has(core, job) || job->spec->checkpoint_s <= 0.0)
    return 0.0;
  if (!ws_job_is_gang(job))
    return job->spec->save_s + GRACE_MARGIN_S;
  /* Once a task is lost the others can save nothing. */
  if (ws_gang_is_ending(job) && !assignment->is_stop_requested)
    return 0.0;
  return job->spec->save_s + core->settings->gang_peer_s + GRACE_MARGIN_S;
}

void
ws_worker_rpc_halt(WsCore *core, WsJob *job, WsAssignment *assignment)
{
  WsMachine *machine = ws_replica_machine(core->replica, assignment->machine);
  if (!ws_worker_rpc_is_possible(core, machine))
    return;
  json_t *commands = json_array();
  json_array_append_new(commands, ws_command_encode(WS_OP_HALT, job->id, assignment->task,
                                                    assignment->attempt,
                                                    ws_halt_grace_s(core, job, assignment)));
  send_direct(core, machine, commands, FALSE);
}

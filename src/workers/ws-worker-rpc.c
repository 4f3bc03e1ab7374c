/**
 * Commands sent directly to a worker's address.
 *
 * A copy of a call may be carried out minutes later, whether or not the call was answered. What
 * keeps a launch from taking effect again is in storage/ws-fencing.h.
 */
#include "workers/ws-workers-private.h"

#include "membership/ws-membership.h"
#include "protocol/ws-status-codes.h"
#include "storage/ws-fencing.h"
#include "storage/ws-gang-phase.h"

/* While so many calls are in flight, a launch waits for the answer to the machine's next heartbeat,
   except launches of critical tasks and of gangs. */
#define MAX_RPCS_IN_FLIGHT 48
#define COMMAND_TIMEOUT_MS 2000
/* Time for a graceful stop in addition to the time for saving the checkpoint. */
#define HALT_GRACE_MARGIN_S 1.0

/* A call in flight, with the fencing token and the incarnation that it was sent with. */
typedef struct {
  WsMachineIndex machine;
  guint64 fencing_token;
  guint64 incarnation;
  GArray *launches;     /* of WsTaskRef; NULL: the call has none */
  gboolean is_repeated; /* its launches were rejected before */
  gint64 sent_ms;
} CommandCall;

static void
command_call_free(CommandCall *call)
{
  g_clear_pointer(&call->launches, g_array_unref);
  g_free(call);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC(CommandCall, command_call_free)

static void send_launches(WsCore *core, WsMachine *machine, const GArray *tasks,
                          gboolean is_repeated);

/* Lists the commands as "launch req-1/0@2": operation, task and attempt. The caller frees it. */
static char *
describe_commands(const json_t *commands)
{
  GString *text = g_string_new(NULL);
  for (size_t i = 0; i < json_array_size(commands); i++) {
    g_autofree char *command = ws_command_describe(json_array_get(commands, i));
    g_string_append_printf(text, "%s%s", i > 0 ? ", " : "", command);
  }
  return g_string_free(text, FALSE);
}

static void
log_call(const WsMachine *machine, const CommandCall *call, const json_t *commands)
{
  g_autofree char *text = describe_commands(commands);
  g_info("direct call to machine %s with fencing token %" G_GUINT64_FORMAT
         ", incarnation %" G_GUINT64_FORMAT ": %s",
         machine->name, call->fencing_token, call->incarnation, text);
}

/* @heartbeat: the worker's status in the reply, or NULL */
static void
log_reply(const WsCore *core, const WsMachine *machine, const CommandCall *call, guint status,
          const WsHeartbeat *heartbeat)
{
  g_info("direct call to machine %s with fencing token %" G_GUINT64_FORMAT
         ": status %u after %" G_GINT64_FORMAT " ms, worker has fencing token %" G_GUINT64_FORMAT
         ", incarnation %" G_GUINT64_FORMAT ", message %" G_GUINT64_FORMAT,
         machine->name, call->fencing_token, status, core->now_ms - call->sent_ms,
         heartbeat != NULL ? heartbeat->fencing_token : 0,
         heartbeat != NULL ? heartbeat->incarnation : 0,
         heartbeat != NULL ? heartbeat->sequence : 0);
}

static void
count_reply(const WsCore *core, guint status)
{
  if (status == WS_HTTP_NO_RESPONSE)
    ws_command_stats_add(core, WS_COMMAND_UNANSWERED);
  else if (status == WS_HTTP_CONFLICT)
    ws_command_stats_add(core, WS_COMMAND_REJECTED);
}

static void
on_command_reply(WsCore *core, guint status, const json_t *body, gpointer data)
{
  g_autoptr(CommandCall) call = data;
  WsMachine *machine = ws_replica_machine(core->replica, call->machine);
  core->workers->rpcs_in_flight--;
  g_autoptr(WsHeartbeat) heartbeat
      = ws_heartbeat_parse_command_response(status, body, machine->name);
  if (heartbeat == NULL && body != NULL && status == WS_HTTP_OK)
    ws_refusals_record_field(core, WS_READER_WORKER_REPLY, "the worker's status");
  count_reply(core, status);
  if (call->launches != NULL)
    log_reply(core, machine, call, status, heartbeat);
  if (heartbeat == NULL || !ws_owns_machine(core, machine))
    return;
  ws_workers_apply_status(core, machine, heartbeat);
  /* The token was raised while the call was on its way. */
  if (status == WS_HTTP_CONFLICT && call->launches != NULL && !call->is_repeated
      && heartbeat->incarnation == call->incarnation)
    send_launches(core, machine, call->launches, TRUE);
}

/* Sends the commands with the machine's fencing token. Takes ownership of @commands and @call. */
static void
send_call(WsCore *core, WsMachine *machine, json_t *commands, CommandCall *call)
{
  call->machine = machine->index;
  call->fencing_token = ws_fencing_token(core->replica, machine);
  call->incarnation = machine->worker.incarnation;
  call->sent_ms = core->now_ms;
  core->workers->rpcs_in_flight++;
  machine->worker.issued_token = call->fencing_token;
  if (call->launches != NULL) {
    log_call(machine, call, commands);
    ws_fencing_record_direct_launch(core->replica, machine);
  }
  ws_call(core, "POST", machine->worker.endpoint, "/commands",
          ws_command_request_encode(call->fencing_token, call->incarnation, commands),
          COMMAND_TIMEOUT_MS, on_command_reply, call);
}

gboolean
ws_worker_rpc_is_allowed(const WsCore *core, const WsMachine *machine)
{
  return ws_authority_check_command(core, machine) == WS_REFUSAL_NONE;
}

void
ws_worker_rpc_raise_fencing_token(WsCore *core, WsMachine *machine)
{
  send_call(core, machine, json_array(), g_new0(CommandCall, 1));
}

/* Whether a delayed launch would hold up a user, who waits for a critical task, or the other tasks
   of a gang, which wait for each other. */
static gboolean
has_urgent_task(const WsCore *core, const GArray *tasks)
{
  for (guint i = 0; i < tasks->len; i++) {
    const WsJob *job = ws_replica_job(core->replica, g_array_index(tasks, WsTaskRef, i).job);
    if (job->spec != NULL && (job->spec->priority == WS_CRITICAL || ws_job_is_gang(job)))
      return TRUE;
  }
  return FALSE;
}

/* Returns the task's assignment if it may be launched on the machine, or NULL. */
static const WsAssignment *
find_launchable(const WsCore *core, const WsMachine *machine, const WsTaskRef *ref)
{
  const WsJob *job = ws_replica_job(core->replica, ref->job);
  const WsAssignment *assignment = job->spec != NULL ? ws_job_assignment(job, ref->task) : NULL;
  return assignment != NULL && assignment->machine == machine->index
                 && assignment->state == WS_TASK_ASSIGNED && job->state == WS_JOB_ACTIVE
                 && !ws_cancellations_has_job(core, job)
             ? assignment
             : NULL;
}

/* Appends a reap for each exited attempt of the task that the worker holds besides the assigned
   one: the worker would reject the launch. The records assign another attempt, so they have its
   end. Returns FALSE if the worker holds one that can't be reaped. */
static gboolean
add_reaps(const WsCore *core, WsMachine *machine, const WsTaskRef *ref, guint64 attempt,
          json_t *commands)
{
  const WsJob *job = ws_replica_job(core->replica, ref->job);
  const GArray *exits = machine->worker.held_exits;
  for (guint i = 0; i < exits->len; i++) {
    const WsHeldExit *held = &g_array_index(exits, WsHeldExit, i);
    if (held->job != ref->job || held->task != ref->task || held->attempt == attempt)
      continue;
    if (!ws_fencing_ensure_above_launches(core->replica, machine))
      return FALSE;
    json_array_append_new(commands,
                          ws_command_encode(WS_OP_REAP, job->id, held->task, held->attempt, 0.0));
    ws_command_stats_add(core, WS_COMMAND_REAP);
  }
  return TRUE;
}

static void
send_launches(WsCore *core, WsMachine *machine, const GArray *tasks, gboolean is_repeated)
{
  if (ws_authority_check_direct_launch(core, machine) != WS_REFUSAL_NONE
      || (core->workers->rpcs_in_flight >= MAX_RPCS_IN_FLIGHT && !has_urgent_task(core, tasks)))
    return;
  json_t *commands = json_array();
  g_autoptr(CommandCall) call = g_new0(CommandCall, 1);
  call->launches = g_array_new(FALSE, FALSE, sizeof(WsTaskRef));
  call->is_repeated = is_repeated;
  for (guint i = 0; i < tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(tasks, WsTaskRef, i);
    const WsAssignment *assignment = find_launchable(core, machine, ref);
    if (assignment == NULL || !add_reaps(core, machine, ref, assignment->attempt, commands))
      continue;
    json_array_append_new(commands, ws_command_encode(WS_OP_LAUNCH,
                                                      ws_replica_job(core->replica, ref->job)->id,
                                                      assignment->task, assignment->attempt, 0.0));
    g_array_append_val(call->launches, *ref);
    ws_command_stats_add(core, WS_COMMAND_DIRECT_LAUNCH);
  }
  if (call->launches->len > 0)
    send_call(core, machine, commands, g_steal_pointer(&call));
  else
    json_decref(commands);
}

void
ws_worker_rpc_launch(WsCore *core, WsMachine *machine, const GArray *tasks)
{
  send_launches(core, machine, tasks, FALSE);
}

double
ws_halt_grace_s(const WsCore *core, const WsJob *job, const WsAssignment *assignment)
{
  if (ws_cancellations_has_job(core, job) || job->spec->checkpoint_interval_s <= 0.0)
    return 0.0;
  if (!ws_job_is_gang(job))
    return job->spec->checkpoint_save_s + HALT_GRACE_MARGIN_S;
  /* Once one task of a gang is lost, the other tasks can't save a checkpoint. */
  if (ws_gang_is_ending(job) && !assignment->is_stop_requested)
    return 0.0;
  return job->spec->checkpoint_save_s + core->settings->gang_peer_s + HALT_GRACE_MARGIN_S;
}

void
ws_worker_rpc_halt(WsCore *core, WsJob *job, WsAssignment *assignment)
{
  WsMachine *machine = ws_replica_machine(core->replica, assignment->machine);
  if (!ws_worker_rpc_is_allowed(core, machine))
    return;
  json_t *commands = json_array();
  json_array_append_new(commands, ws_command_encode(WS_OP_HALT, job->id, assignment->task,
                                                    assignment->attempt,
                                                    ws_halt_grace_s(core, job, assignment)));
  send_call(core, machine, commands, g_new0(CommandCall, 1));
}

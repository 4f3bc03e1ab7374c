/* Tasks of cancelled jobs: halted wherever they may be, owner or not, since a halt can do no harm;
   a machine that doesn't confirm in time is returned. */
#include "workers/ws-workers.h"

#include "fleet/ws-fleet.h"
#include "membership/ws-membership.h"
#include "store/ws-store.h"

#include <string.h>

/* The owner halts at once; the others when its records don't show the end by then. */
#define NON_OWNER_HALT_DELAY_MS 1500
#define HALT_RETRY_MS 1000
#define HALT_TIMEOUT_MS 2000
/* Where nothing answered, so that machines out of reach leave room for the others. */
#define UNREACHABLE_HALT_RETRY_MS 4000
#define MAX_HALT_CALLS 24
/* Parts of cancel_s: from the first on a machine that hasn't confirmed is marked, from the second
   on it is returned without a mark if the state service takes none. The rest is for the cloud. */
#define MARK_DEADLINE_SHARE 0.4
#define RETURN_DEADLINE_SHARE 0.6

struct _WsCancelledTasks {
  GHashTable *halt_ms; /* machine -> when it may be sent a halt again */
  guint halt_calls;    /* on their way */
};

WsCancelledTasks *
ws_cancelled_tasks_new(void)
{
  WsCancelledTasks *cancelled_tasks = g_new0(WsCancelledTasks, 1);
  cancelled_tasks->halt_ms = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return cancelled_tasks;
}

void
ws_cancelled_tasks_free(WsCancelledTasks *cancelled_tasks)
{
  g_hash_table_unref(cancelled_tasks->halt_ms);
  g_free(cancelled_tasks);
}

/* Halts. */

/* In any attempt: beside one that was refused as busy another may run. */
static gboolean
is_halted(const WsHeartbeat *heartbeat, const WsJob *job, const WsAssignment *assignment)
{
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const WsTaskStatus *task = &g_array_index(heartbeat->tasks, WsTaskStatus, i);
    if (task->task == assignment->task && strcmp(task->job, job->id) == 0
        && task->state != WS_TASK_EXITED)
      return FALSE;
  }
  return TRUE;
}

/* A cancelled job's assignment on the machine whose end has not been seen; NULL: none. */
static WsAssignment *
unhalted(const WsCore *core, const WsMachine *machine, guint i, WsJob **job)
{
  const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
  *job = ws_replica_job(core->replica, ref->job);
  WsAssignment *assignment = (*job)->spec != NULL ? ws_job_assignment(*job, ref->task) : NULL;
  return assignment != NULL && !assignment->is_confirmed_gone && ws_cancellations_has(core, *job)
             ? assignment
             : NULL;
}

/* The worker's own word. A launch of ours without an answer may still be carried out after it. */
static void
note_gone(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat)
{
  WsJob *job;
  machine->worker.halt_incarnation = heartbeat->incarnation;
  machine->worker.halt_fencing_token = heartbeat->fencing_token;
  for (guint i = 0; machine->worker.indeterminate_launches == 0 && i < machine->tasks->len; i++) {
    WsAssignment *assignment = unhalted(core, machine, i, &job);
    if (assignment != NULL && is_halted(heartbeat, job, assignment))
      assignment->is_confirmed_gone = TRUE;
  }
}

static void
halt_again(WsCore *core, const WsMachine *machine, gint64 after_ms)
{
  gint64 *at_ms = g_new(gint64, 1);
  *at_ms = core->now + after_ms;
  g_hash_table_insert(core->cancelled_tasks->halt_ms, GUINT_TO_POINTER(machine->index), at_ms);
}

typedef struct {
  WsMachineIndex machine;
  gboolean halts; /* it carried commands, and didn't only ask */
} Halt;

static void
on_halted(WsCore *core, guint status, const json_t *body, gpointer data)
{
  Halt *halt = data;
  WsMachine *machine = ws_replica_machine(core->replica, halt->machine);
  core->cancelled_tasks->halt_calls--;
  if (status == 0)
    halt_again(core, machine, UNREACHABLE_HALT_RETRY_MS);
  g_autoptr(WsHeartbeat) heartbeat
      = status == 200 || status == 409 ? ws_heartbeat_parse(body, NULL) : NULL;
  if (heartbeat != NULL && strcmp(heartbeat->machine, machine->name) == 0) {
    note_gone(core, machine, heartbeat);
    if (ws_owns_machine(core, machine))
      (void)ws_workers_note_status(core, machine, heartbeat);
    /* It was refused for a session or token that is over; now both are known. */
    if (status == 409 || !halt->halts)
      halt_again(core, machine, 0);
  }
  g_free(halt);
}

/* The session comes from /status or from the body of a refusal, and a token of equal height is
   taken from any node: so the halt raises nothing, and takes no right from the owner. */
static void
halt(WsCore *core, WsMachine *machine)
{
  WsJob *job;
  halt_again(core, machine, HALT_RETRY_MS);
  core->cancelled_tasks->halt_calls++;
  Halt *sent = g_new0(Halt, 1);
  *sent = (Halt){ machine->index,
                  MAX(machine->worker.incarnation, machine->worker.halt_incarnation) > 0 };
  if (!sent->halts) {
    ws_call(core, "GET", machine->worker.endpoint, "/status", NULL, HALT_TIMEOUT_MS, on_halted,
            sent);
    return;
  }
  json_t *commands = json_array();
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsAssignment *assignment = unhalted(core, machine, i, &job);
    if (assignment != NULL)
      json_array_append_new(commands, ws_command_encode(WS_OP_HALT, job->id, assignment->task,
                                                        assignment->attempt, 0.0));
  }
  ws_call(core, "POST", machine->worker.endpoint, "/commands",
          ws_commands_encode(MAX(machine->worker.fencing_token, machine->worker.halt_fencing_token),
                             MAX(machine->worker.incarnation, machine->worker.halt_incarnation),
                             commands),
          HALT_TIMEOUT_MS, on_halted, sent);
}

static gboolean
may_halt(const WsCore *core, const WsMachine *machine)
{
  const gint64 *at_ms
      = g_hash_table_lookup(core->cancelled_tasks->halt_ms, GUINT_TO_POINTER(machine->index));
  return machine->worker.endpoint != NULL && core->cancelled_tasks->halt_calls < MAX_HALT_CALLS
         && (at_ms == NULL || core->now >= *at_ms);
}

/* Returns. */

/* The state service takes a mark from nobody whom this node reaches, and this node is the first of
   those that reach one another. */
static gboolean
returns_unmarked(const WsCore *core)
{
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    if (n != core->settings->self && ws_peer_is_reachable(core, n)
        && (ws_peer_store_is_available(core, n)
            || (ws_peer_replica_is_loaded(core, n) && n < core->settings->self)))
      return FALSE;
  }
  return TRUE;
}

static void
return_if_late(WsCore *core, WsMachine *machine, gint64 age_ms)
{
  double part = (double)age_ms / (core->settings->cancel_s * 1000.0);
  if (part < MARK_DEADLINE_SHARE || machine->is_returned
      || ws_returns_is_confirmed(core, machine->name))
    return;
  if (ws_store_is_available(core)) {
    if (ws_is_active_member(core) && machine->is_recorded && !machine->mark_is_immediate)
      ws_termination_request_mark(core, machine, "cancelled", TRUE);
  } else if (part >= RETURN_DEADLINE_SHARE && returns_unmarked(core)) {
    ws_returns_request_unmarked(core, machine);
  }
}

/* When the earliest cancellation that the machine hasn't confirmed was confirmed to its user. */
static gint64
unhalted_since(const WsCore *core, const WsMachine *machine)
{
  gint64 since_ms = 0;
  for (guint i = 0; i < machine->tasks->len; i++) {
    WsJob *job;
    if (unhalted(core, machine, i, &job) == NULL)
      continue;
    gint64 at_ms = ws_cancellations_confirmed_ms(core, job->id);
    since_ms = since_ms == 0 ? at_ms : MIN(since_ms, at_ms);
  }
  return since_ms;
}

static void
enforce_on_machine(WsCore *core, WsMachine *machine)
{
  gint64 since_ms = unhalted_since(core, machine);
  if (since_ms == 0)
    return;
  gint64 age_ms = core->now - since_ms;
  if (may_halt(core, machine)
      && (age_ms >= NON_OWNER_HALT_DELAY_MS || machine->owner == core->settings->self))
    halt(core, machine);
  return_if_late(core, machine, age_ms);
}

/* Each machine of a cancelled job once. */
void
ws_cancelled_tasks_enforce(WsCore *core)
{
  g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);
  if (ws_cancellations_count(core) == 0)
    g_hash_table_remove_all(core->cancelled_tasks->halt_ms);
  for (guint c = 0; c < ws_cancellations_count(core); c++) {
    const WsJob *job = ws_replica_find_job(core->replica, ws_cancellations_job_id(core, c));
    WsAssignmentIter iter;
    const WsAssignment *assignment;
    if (job == NULL)
      continue;
    ws_assignment_iter_init(&iter, job);
    while ((assignment = ws_assignment_iter_next(&iter)) != NULL)
      if (!assignment->is_confirmed_gone
          && g_hash_table_add(seen, GUINT_TO_POINTER(assignment->machine)))
        enforce_on_machine(core, ws_replica_machine(core->replica, assignment->machine));
  }
}

/* An answer that renews a lease halts what is known to be cancelled, whoever gives it. */
void
ws_cancelled_tasks_add_halts(const WsCore *core, const WsHeartbeat *heartbeat, json_t *commands)
{
  for (guint i = 0; ws_cancellations_count(core) > 0 && i < heartbeat->tasks->len; i++) {
    const WsTaskStatus *task = &g_array_index(heartbeat->tasks, WsTaskStatus, i);
    if (task->state != WS_TASK_EXITED && ws_cancellations_has_id(core, task->job))
      json_array_append_new(
          commands, ws_command_encode(WS_OP_HALT, task->job, task->task, task->attempt, 0.0));
  }
}

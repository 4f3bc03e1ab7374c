/**
 * Halts the tasks of cancelled jobs.
 *
 * Every node sends halts, not only the owner of the machine. This is safe because a cancellation is
 * final. A machine that doesn't confirm in time that the tasks have exited is returned to the
 * cloud.
 */
#include "workers/ws-workers-private.h"

#include "fleet/ws-fleet.h"
#include "membership/ws-membership.h"
#include "protocol/ws-status-codes.h"
#include "storage/ws-fencing.h"
#include "storage/ws-mark-reasons.h"
#include "store/ws-store.h"

#include <string.h>

/* The owner of the machine halts a cancelled task at once. Other nodes wait for this time, and halt
   the task if it is still recorded. */
#define NON_OWNER_HALT_DELAY_MS 1500
#define HALT_RETRY_MS 1000
#define HALT_CALL_TIMEOUT_MS 2000
/* Delay of the retry after a call without an answer. It is longer than HALT_RETRY_MS so that
   unreachable machines don't use up MAX_HALTS_IN_FLIGHT. */
#define UNREACHABLE_HALT_RETRY_MS 4000
#define MAX_HALTS_IN_FLIGHT 24
/* Deadlines for a machine to confirm that its cancelled tasks have exited, as shares of cancel_s.
   After the first deadline the machine gets a termination mark. After the second it is returned
   without a mark if the store is unavailable. The rest of cancel_s is left for the cloud to carry
   out the return. */
#define MARK_DEADLINE_SHARE 0.4
#define RETURN_DEADLINE_SHARE 0.6

struct _WsCancelledTasks {
  GHashTable *next_halt_ms; /* WsMachineIndex -> earliest time of the next call (gint64) */
  guint halts_in_flight;
};

WsCancelledTasks *
ws_cancelled_tasks_new(void)
{
  WsCancelledTasks *cancelled_tasks = g_new0(WsCancelledTasks, 1);
  cancelled_tasks->next_halt_ms = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return cancelled_tasks;
}

void
ws_cancelled_tasks_free(WsCancelledTasks *cancelled_tasks)
{
  g_hash_table_unref(cancelled_tasks->next_halt_ms);
  g_free(cancelled_tasks);
}

/* Calls that halt tasks. */

/* Whether no attempt of the task remains on the machine, and none can start there again. All
   attempts are checked: one attempt may have exited because the machine was busy while another one
   is running. An exited attempt that the worker holds can't start again. If it holds none, a copy
   of a direct launch could start one, unless the worker refuses it. */
static gboolean
is_halted(const WsMachine *machine, const WsHeartbeat *heartbeat, const WsJob *job,
          const WsAssignment *assignment)
{
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const WsTaskStatus *task = &g_array_index(heartbeat->tasks, WsTaskStatus, i);
    if (task->task == assignment->task && strcmp(task->job, job->id) == 0
        && task->state != WS_TASK_EXITED)
      return FALSE;
  }
  return ws_heartbeat_find_task(heartbeat, job->id, assignment->task, assignment->attempt) != NULL
         || ws_fencing_covers_launches(machine, heartbeat->fencing_token, heartbeat->incarnation);
}

/* Returns the machine's i-th assignment if its job is cancelled and the task isn't confirmed to
   have exited, otherwise NULL. @job: set to the job of the i-th assignment */
static WsAssignment *
unhalted_assignment(const WsCore *core, const WsMachine *machine, guint i, WsJob **job)
{
  const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
  *job = ws_replica_job(core->replica, ref->job);
  WsAssignment *assignment = (*job)->spec != NULL ? ws_job_assignment(*job, ref->task) : NULL;
  return assignment != NULL && !assignment->is_confirmed_gone
                 && ws_cancellations_has_job(core, *job)
             ? assignment
             : NULL;
}

/* Marks the cancelled tasks that the worker's status shows to be gone for good. */
static void
confirm_halted(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat)
{
  WsJob *job;
  machine->worker.halt_incarnation = heartbeat->incarnation;
  machine->worker.halt_fencing_token = heartbeat->fencing_token;
  for (guint i = 0; i < machine->tasks->len; i++) {
    WsAssignment *assignment = unhalted_assignment(core, machine, i, &job);
    if (assignment != NULL && is_halted(machine, heartbeat, job, assignment))
      assignment->is_confirmed_gone = TRUE;
  }
}

static void
schedule_halt(WsCore *core, const WsMachine *machine, gint64 after_ms)
{
  gint64 *at_ms = g_new(gint64, 1);
  *at_ms = core->now_ms + after_ms;
  g_hash_table_insert(core->workers->cancelled_tasks->next_halt_ms,
                      GUINT_TO_POINTER(machine->index), at_ms);
}

typedef struct {
  WsMachineIndex machine;
  gboolean has_halts; /* FALSE: the call only requested the status */
} HaltCall;

static void
on_halt_reply(WsCore *core, guint status, const json_t *body, gpointer data)
{
  g_autofree HaltCall *call = data;
  WsMachine *machine = ws_replica_machine(core->replica, call->machine);
  core->workers->cancelled_tasks->halts_in_flight--;
  if (status == WS_HTTP_NO_RESPONSE)
    schedule_halt(core, machine, UNREACHABLE_HALT_RETRY_MS);
  g_autoptr(WsHeartbeat) heartbeat
      = ws_heartbeat_parse_command_response(status, body, machine->name);
  if (heartbeat == NULL && body != NULL && status == WS_HTTP_OK)
    ws_refusals_record_field(core, WS_READER_WORKER_REPLY, "the worker's status");
  if (heartbeat == NULL)
    return;
  confirm_halted(core, machine, heartbeat);
  if (ws_owns_machine(core, machine))
    (void)ws_workers_apply_status(core, machine, heartbeat);
  /* The reply contains the incarnation and the fencing token that the worker accepts, so the halts
     can be sent at once. */
  if (status == WS_HTTP_CONFLICT || !call->has_halts)
    schedule_halt(core, machine, 0);
}

/* Returns the highest token that the worker has reported, or that its owner, this node, has issued
   in this epoch. */
static guint64
halt_token(const WsCore *core, const WsMachine *machine)
{
  return ws_owns_machine(core, machine)
                 && ws_epoch_has_token(&core->replica->epoch, machine->worker.fencing_token)
             ? ws_fencing_token(core->replica, machine)
             : machine->worker.fencing_token;
}

/* Returns halt commands for all tasks of cancelled jobs that remain on the machine.

   The commands carry the incarnation and the fencing token that the worker reported itself, in
   /status or in the body of a rejection (409). A worker accepts its own token from any node. Only
   the owner's commands raise the token, so that the others' don't fence off the owner. */
static json_t *
encode_halts(const WsCore *core, const WsMachine *machine)
{
  WsJob *job;
  json_t *commands = json_array();
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsAssignment *assignment = unhalted_assignment(core, machine, i, &job);
    if (assignment != NULL)
      json_array_append_new(commands, ws_command_encode(WS_OP_HALT, job->id, assignment->task,
                                                        assignment->attempt, 0.0));
  }
  return ws_command_request_encode(
      MAX(halt_token(core, machine), machine->worker.halt_fencing_token),
      MAX(machine->worker.incarnation, machine->worker.halt_incarnation), commands);
}

/* Has the owner's halts carry a token above those of its direct launches, so that the worker's
   reply confirms that a task which it doesn't have can't start. */
static void
fence_by_halts(const WsCore *core, WsMachine *machine)
{
  if (ws_worker_rpc_is_allowed(core, machine) && ws_owns_machine(core, machine))
    (void)ws_fencing_ensure_above_launches(core->replica, machine);
}

/* Sends halts, or requests the status if the worker's incarnation isn't known yet. */
static void
send_halts(WsCore *core, WsMachine *machine)
{
  schedule_halt(core, machine, HALT_RETRY_MS);
  core->workers->cancelled_tasks->halts_in_flight++;
  HaltCall *call = g_new0(HaltCall, 1);
  *call = (HaltCall){ machine->index,
                      MAX(machine->worker.incarnation, machine->worker.halt_incarnation) > 0 };
  fence_by_halts(core, machine);
  if (call->has_halts)
    ws_call(core, "POST", machine->worker.endpoint, "/commands", encode_halts(core, machine),
            HALT_CALL_TIMEOUT_MS, on_halt_reply, call);
  else
    ws_call(core, "GET", machine->worker.endpoint, "/status", NULL, HALT_CALL_TIMEOUT_MS,
            on_halt_reply, call);
}

static gboolean
may_call_worker(const WsCore *core, const WsMachine *machine)
{
  const gint64 *at_ms = g_hash_table_lookup(core->workers->cancelled_tasks->next_halt_ms,
                                            GUINT_TO_POINTER(machine->index));
  return machine->worker.endpoint != NULL
         && core->workers->cancelled_tasks->halts_in_flight < MAX_HALTS_IN_FLIGHT
         && (at_ms == NULL || core->now_ms >= *at_ms);
}

/* Return of machines whose tasks aren't confirmed as exited. */

/* Whether this node may return a machine without a termination mark: no node that it reaches can
   write to the store, and it has the lowest node index of the reachable nodes with a loaded
   replica, so that only one node returns the machine. */
static gboolean
may_return_unmarked(const WsCore *core)
{
  for (WsNodeIndex n = 0; n < core->settings->nodes->len; n++) {
    if (n != core->settings->self && ws_peer_is_reachable(core, n)
        && (ws_peer_store_is_available(core, n)
            || (ws_peer_replica_is_loaded(core, n) && n < core->settings->self)))
      return FALSE;
  }
  return TRUE;
}

/* Requests the return of a machine whose cancelled tasks haven't been confirmed as exited by the
   deadline: through a termination mark, or without one if the store is unavailable.
   @age_ms: time since the cancellation was confirmed to its user */
static void
request_return_if_late(WsCore *core, WsMachine *machine, gint64 age_ms)
{
  double share = (double)age_ms / (core->settings->cancel_s * 1000.0);
  if (share < MARK_DEADLINE_SHARE || machine->is_returned
      || ws_returns_is_confirmed(core, machine->name))
    return;
  if (ws_store_is_available(core)) {
    if (ws_is_active_member(core) && machine->is_recorded && !machine->mark_is_immediate)
      ws_termination_request_mark(core, machine, WS_MARK_REASON_CANCELLED, TRUE);
  } else if (share >= RETURN_DEADLINE_SHARE && may_return_unmarked(core)) {
    ws_returns_request_unmarked(core, machine);
  }
}

/* Returns when the earliest cancellation with unhalted tasks on the machine was confirmed to its
   user; 0: there are no unhalted tasks. */
static gint64
unhalted_since_ms(const WsCore *core, const WsMachine *machine)
{
  gint64 since_ms = 0;
  for (guint i = 0; i < machine->tasks->len; i++) {
    WsJob *job;
    if (unhalted_assignment(core, machine, i, &job) == NULL)
      continue;
    gint64 at_ms = ws_cancellations_confirmed_ms(core, job->id);
    since_ms = since_ms == 0 ? at_ms : MIN(since_ms, at_ms);
  }
  return since_ms;
}

/* Halts the remaining tasks of cancelled jobs on the machine, and requests the machine's return if
   they aren't confirmed as exited by the deadline. */
static void
halt_tasks_on_machine(WsCore *core, WsMachine *machine)
{
  gint64 since_ms = unhalted_since_ms(core, machine);
  if (since_ms == 0)
    return;
  gint64 age_ms = core->now_ms - since_ms;
  if (may_call_worker(core, machine)
      && (age_ms >= NON_OWNER_HALT_DELAY_MS || machine->owner == core->settings->self))
    send_halts(core, machine);
  request_return_if_late(core, machine, age_ms);
}

/* Calls halt_tasks_on_machine() for each machine with remaining tasks of the job.
   @seen: set of the machines (WsMachineIndex) handled in this tick; each is handled once */
static void
halt_tasks_of_job(WsCore *core, const WsJob *job, GHashTable *seen)
{
  WsAssignmentIter iter;
  const WsAssignment *assignment;
  ws_assignment_iter_init(&iter, job);
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL)
    if (!assignment->is_confirmed_gone
        && g_hash_table_add(seen, GUINT_TO_POINTER(assignment->machine)))
      halt_tasks_on_machine(core, ws_replica_machine(core->replica, assignment->machine));
}

void
ws_cancelled_tasks_tick(WsCore *core)
{
  g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);
  if (ws_cancellations_count(core) == 0)
    g_hash_table_remove_all(core->workers->cancelled_tasks->next_halt_ms);
  for (guint c = 0; c < ws_cancellations_count(core); c++) {
    const WsJob *job = ws_replica_find_job(core->replica, ws_cancellations_job_id(core, c));
    if (job != NULL)
      halt_tasks_of_job(core, job, seen);
  }
}

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

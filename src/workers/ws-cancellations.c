/* Confirmed cancellations, which are facts whatever the state service, an epoch or a replica says.

   Whoever learns of one, by its own commit or through its replica, tells every peer until each has
   acknowledged it, and has the tasks halted wherever they may be, owner or not: a halt can do no
   harm. A machine that doesn't confirm in time is returned. */
#include "workers/ws-workers.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"
#include "fleet/ws-fleet.h"

#include <string.h>

#define NOTIFY_TIMEOUT_MS 1000
/* Between two messages to one peer, so that what is cancelled in bulk shares a few. */
#define NOTIFY_INTERVAL_MS 100
#define NOTIFY_RETRY_MS 500
#define MAX_CANCELLATIONS_PER_MESSAGE 400
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

typedef struct {
  char *id;
  gint64 at_ms; /* when it was confirmed, or when this node learned of it */
  guint knows;  /* bit for each node that has acknowledged it, or has told us */
} Cancel;

struct _WsCancellations {
  GPtrArray *list; /* of Cancel */
  GHashTable *by_id;
  gboolean *telling;   /* by node */
  gint64 *tell_ms;     /* by node: when it may be told again */
  GHashTable *halt_ms; /* machine -> when it may be sent a halt again */
  guint halt_calls;
  gint64 garbage_ms;
};

static void
cancel_free(gpointer data)
{
  Cancel *cancel = data;
  g_free(cancel->id);
  g_free(cancel);
}

WsCancellations *
ws_cancellations_new(const WsSettings *settings)
{
  WsCancellations *cancellations = g_new0(WsCancellations, 1);
  cancellations->list = g_ptr_array_new_with_free_func(cancel_free);
  cancellations->by_id = g_hash_table_new(g_str_hash, g_str_equal);
  cancellations->telling = g_new0(gboolean, settings->nodes->len);
  cancellations->tell_ms = g_new0(gint64, settings->nodes->len);
  cancellations->halt_ms = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return cancellations;
}

void
ws_cancellations_free(WsCancellations *cancellations)
{
  g_hash_table_unref(cancellations->by_id);
  g_ptr_array_unref(cancellations->list);
  g_hash_table_unref(cancellations->halt_ms);
  g_free(cancellations->telling);
  g_free(cancellations->tell_ms);
  g_free(cancellations);
}

static Cancel *
find(const WsCore *core, const char *id)
{
  return g_hash_table_lookup(core->cancellations->by_id, id);
}

gboolean
ws_cancellations_has(const WsCore *core, const WsJob *job)
{
  return job->state == WS_JOB_CANCELLED
         || (core->cancellations->list->len > 0 && job->state == WS_JOB_ACTIVE
             && find(core, job->id) != NULL);
}

/* Nothing of the job is left anywhere, as far as the records say. */
static gboolean
is_over(const WsCore *core, const char *id)
{
  const WsJob *job = ws_replica_find_job(core->replica, id);
  return job != NULL && job->spec == NULL && job->state != WS_JOB_ACTIVE;
}

static void
learn(WsCore *core, const char *id, gint64 at_ms, WsNodeIndex from)
{
  WsCancellations *cancellations = core->cancellations;
  Cancel *cancel = find(core, id);
  if (cancel == NULL) {
    if (is_over(core, id))
      return;
    cancel = g_new0(Cancel, 1);
    *cancel = (Cancel){ g_strdup(id), at_ms, 1u << core->settings->self };
    g_ptr_array_add(cancellations->list, cancel);
    g_hash_table_insert(cancellations->by_id, cancel->id, cancel);
  }
  cancel->at_ms = MIN(cancel->at_ms, at_ms);
  cancel->knows |= 1u << from;
}

guint
ws_cancellations_count_unacknowledged(const WsCore *core, WsNodeIndex node)
{
  guint count = 0;
  for (guint i = 0; i < core->cancellations->list->len; i++)
    count += (((const Cancel *)g_ptr_array_index(core->cancellations->list, i))->knows >> node & 1)
             == 0;
  return count;
}

void
ws_cancellations_forget_acknowledgements(WsCore *core, WsNodeIndex node)
{
  for (guint i = 0; i < core->cancellations->list->len; i++)
    ((Cancel *)g_ptr_array_index(core->cancellations->list, i))->knows &= ~(1u << node);
}

/* Telling the others. */

typedef struct {
  WsNodeIndex node;
  GPtrArray *ids;
} Told;

static void
on_told(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)body;
  Told *told = data;
  WsCancellations *cancellations = core->cancellations;
  cancellations->telling[told->node] = FALSE;
  cancellations->tell_ms[told->node]
      = core->now + (status == 200 ? NOTIFY_INTERVAL_MS : NOTIFY_RETRY_MS);
  for (guint i = 0; status == 200 && i < told->ids->len; i++) {
    Cancel *cancel = find(core, g_ptr_array_index(told->ids, i));
    if (cancel != NULL)
      cancel->knows |= 1u << told->node;
  }
  g_ptr_array_unref(told->ids);
  g_free(told);
}

static void
tell(WsCore *core, WsNodeIndex node)
{
  WsCancellations *cancellations = core->cancellations;
  json_t *jobs = json_array();
  Told *told = g_new0(Told, 1);
  *told = (Told){ node, g_ptr_array_new_with_free_func(g_free) };
  for (guint i = 0; i < cancellations->list->len && told->ids->len < MAX_CANCELLATIONS_PER_MESSAGE;
       i++) {
    const Cancel *cancel = g_ptr_array_index(cancellations->list, i);
    if ((cancel->knows >> node & 1) != 0)
      continue;
    json_array_append_new(jobs,
                          json_pack("[s, I]", cancel->id, (json_int_t)(core->now - cancel->at_ms)));
    g_ptr_array_add(told->ids, g_strdup(cancel->id));
  }
  cancellations->telling[node] = TRUE;
  ws_call(core, "POST", ws_settings_node(core->settings, node)->endpoint, "/cancelled",
          json_pack("{s:s, s:o}", "node",
                    ws_settings_node(core->settings, core->settings->self)->name, "jobs", jobs),
          NOTIFY_TIMEOUT_MS, on_told, told);
}

static gboolean
is_well_formed(const json_t *jobs)
{
  size_t i;
  const json_t *item;
  json_array_foreach(jobs, i, item)
  {
    if (!json_is_string(json_array_get(item, 0)) || !json_is_integer(json_array_get(item, 1))
        || json_integer_value(json_array_get(item, 1)) < 0)
      return FALSE;
  }
  return json_is_array(jobs);
}

void
ws_cancellations_handle_message(WsCore *core, const json_t *message, gpointer request)
{
  const char *name = NULL;
  const json_t *jobs = json_object_get(message, "jobs");
  (void)ws_json_string(message, "node", &name);
  WsNodeIndex node = ws_settings_find_node(core->settings, name);
  if (node == WS_NO_NODE || node == core->settings->self || !is_well_formed(jobs)) {
    ws_answer_reason(core, request, 400, "malformed");
    return;
  }
  size_t i;
  const json_t *item;
  json_array_foreach(jobs, i, item)
  {
    learn(core, json_string_value(json_array_get(item, 0)),
          core->now - json_integer_value(json_array_get(item, 1)), node);
  }
  ws_answer(core, request, 200, json_object(), 0);
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
  g_hash_table_insert(core->cancellations->halt_ms, GUINT_TO_POINTER(machine->index), at_ms);
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
  core->cancellations->halt_calls--;
  if (status == 0)
    halt_again(core, machine, UNREACHABLE_HALT_RETRY_MS);
  g_autofree char *reason = NULL;
  g_autoptr(WsHeartbeat) heartbeat
      = status == 200 || status == 409 ? ws_heartbeat_parse(body, &reason) : NULL;
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
  core->cancellations->halt_calls++;
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
      = g_hash_table_lookup(core->cancellations->halt_ms, GUINT_TO_POINTER(machine->index));
  return machine->worker.endpoint != NULL && core->cancellations->halt_calls < MAX_HALT_CALLS
         && (at_ms == NULL || core->now >= *at_ms);
}

/* An answer that renews a lease halts what is known to be cancelled, whoever gives it. */
void
ws_cancellations_add_halts(const WsCore *core, const WsHeartbeat *heartbeat, json_t *commands)
{
  for (guint i = 0; core->cancellations->list->len > 0 && i < heartbeat->tasks->len; i++) {
    const WsTaskStatus *task = &g_array_index(heartbeat->tasks, WsTaskStatus, i);
    if (task->state != WS_TASK_EXITED && find(core, task->job) != NULL)
      json_array_append_new(
          commands, ws_command_encode(WS_OP_HALT, task->job, task->task, task->attempt, 0.0));
  }
}

/* Returns. */

/* The state service takes a mark from nobody whom this node reaches, and this node is the first of
   those that reach one another. */
static gboolean
returns_unmarked(const WsCore *core)
{
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    const WsPeer *peer = &core->peers[n];
    if (n != core->settings->self && ws_peer_is_reachable(core, n)
        && (peer->store_is_available || (peer->replica_is_loaded && n < core->settings->self)))
      return FALSE;
  }
  return TRUE;
}

static void
give_back(WsCore *core, WsMachine *machine, gint64 age_ms)
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
    const Cancel *cancel = find(core, job->id);
    gint64 at_ms = cancel != NULL ? cancel->at_ms : core->now;
    since_ms = since_ms == 0 ? at_ms : MIN(since_ms, at_ms);
  }
  return since_ms;
}

static void
tend_machine(WsCore *core, WsMachine *machine)
{
  gint64 since_ms = unhalted_since(core, machine);
  if (since_ms == 0)
    return;
  gint64 age_ms = core->now - since_ms;
  if (may_halt(core, machine)
      && (age_ms >= NON_OWNER_HALT_DELAY_MS || machine->owner == core->settings->self))
    halt(core, machine);
  give_back(core, machine, age_ms);
}

/* Each machine of a cancelled job once. */
static void
tend_machines(WsCore *core)
{
  g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);
  for (guint c = 0; c < core->cancellations->list->len; c++) {
    const Cancel *cancel = g_ptr_array_index(core->cancellations->list, c);
    const WsJob *job = ws_replica_find_job(core->replica, cancel->id);
    WsAssignmentIter iter;
    const WsAssignment *assignment;
    if (job == NULL)
      continue;
    ws_assignment_iter_init(&iter, job);
    while ((assignment = ws_assignment_iter_next(&iter)) != NULL)
      if (!assignment->is_confirmed_gone
          && g_hash_table_add(seen, GUINT_TO_POINTER(assignment->machine)))
        tend_machine(core, ws_replica_machine(core->replica, assignment->machine));
  }
}

static void
forget_over(WsCore *core)
{
  WsCancellations *cancellations = core->cancellations;
  for (guint i = cancellations->list->len; i-- > 0;) {
    const Cancel *cancel = g_ptr_array_index(cancellations->list, i);
    if (!is_over(core, cancel->id))
      continue;
    g_hash_table_remove(cancellations->by_id, cancel->id);
    g_ptr_array_remove_index_fast(cancellations->list, i);
  }
  if (cancellations->list->len == 0)
    g_hash_table_remove_all(cancellations->halt_ms);
}

void
ws_cancellations_pump(WsCore *core)
{
  WsCancellations *cancellations = core->cancellations;
  GArray *fresh = core->replica->cancelled;
  for (guint i = 0; i < fresh->len; i++) {
    const WsJob *job = ws_replica_job(core->replica, g_array_index(fresh, guint, i));
    gint64 age_ms = CLAMP(core->wall - job->cancelled_ms, 0, core->now);
    learn(core, job->id, core->now - age_ms, core->settings->self);
  }
  gboolean is_due = core->now >= cancellations->garbage_ms || fresh->len > 0;
  g_array_set_size(fresh, 0);
  if (cancellations->list->len == 0 || !is_due)
    return;
  cancellations->garbage_ms = core->now + 100;
  forget_over(core);
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (!cancellations->telling[n] && core->now >= cancellations->tell_ms[n]
        && ws_cancellations_count_unacknowledged(core, n) > 0)
      tell(core, n);
  tend_machines(core);
}

/* Dealings with workers: reports in, commands out.

   The commands for a machine follow from two things only: the records of what is assigned to it
   and its newest report. They are worked out by the machine's owner, who alone may release a task
   or let the worker forget one. */
#include "workers/ws-workers.h"

#include "membership/ws-membership.h"
#include "fleet/ws-fleet.h"
#include "commit/ws-commit.h"
#include "storage/ws-gang-phase.h"

#include <string.h>

#define REDIRECT_INTERVAL_MS 20000
/* The part of its lease for which a worker that came back isn't sent away again. */
#define KEPT_LEASE_SHARE 0.6
#define MAX_KNOWN_IMAGES 10
/* The pause after a gang's attempt that was never complete doubles so often. */
#define MIN_GANG_BACKOFF_MS 500
#define MAX_GANG_BACKOFFS 6u
/* How often a worker is sent to a node that says that none reaches it. */
#define UNREACHED_OWNER_RETRY_MS 2000

static guint64
fencing_token(const WsCore *core)
{
  return core->replica->epoch.number;
}

/* What a message says about tasks that are there. */

static void
remember_image(WsMachine *machine, WsImageIndex image)
{
  guint count = machine->worker.images->len;
  if (count > 0 && g_array_index(machine->worker.images, guint, count - 1) == image)
    return;
  machine->worker.announcement_is_due
      = machine->worker.announcement_is_due || !ws_machine_has_image(machine, image);
  for (guint i = 0; i < machine->worker.images->len; i++)
    if (g_array_index(machine->worker.images, guint, i) == image) {
      g_array_remove_index(machine->worker.images, i);
      break;
    }
  g_array_append_val(machine->worker.images, image);
  if (machine->worker.images->len > MAX_KNOWN_IMAGES)
    g_array_remove_index(machine->worker.images, 0);
}

/* A machine on which several jobs fail is faulty; a job that fails on several machines is wrong
   and is tried ever more rarely until its user withdraws it. */
static void
note_error(WsCore *core, WsMachine *machine, WsJob *job)
{
  job->status.consecutive_errors++;
  job->status.retry_ms = core->now + 500 * (gint64)(1u << MIN(job->status.consecutive_errors, 7u));
  if (machine->fleet.last_failed_job != job->index)
    machine->fleet.failed_jobs++;
  machine->fleet.last_failed_job = job->index;
  g_info("a task of job %s failed on %s", job->id, machine->name);
}

/* Its tasks didn't come together in time: that says nothing against a machine or the job, but the
   next attempt waits, the longer the more often this has happened. */
static void
back_off_gang(WsCore *core, WsJob *job)
{
  job->status.incomplete_attempts = MIN(job->status.incomplete_attempts + 1, MAX_GANG_BACKOFFS);
  job->status.retry_ms
      = core->now + MIN_GANG_BACKOFF_MS * (gint64)(1u << job->status.incomplete_attempts);
  g_info("gang %s was not complete in time", job->id);
}

static void
note_exit(WsCore *core, WsMachine *machine, WsJob *job, WsAssignment *assignment, WsExit why)
{
  if (assignment->state == WS_TASK_EXITED)
    return;
  assignment->state = WS_TASK_EXITED;
  if (why == WS_EXIT_ERROR)
    note_error(core, machine, job);
  if (why == WS_EXIT_REFUSED)
    job->status.retry_ms = core->now + 500;
  if (why == WS_EXIT_INCOMPLETE)
    back_off_gang(core, job);
  if (why == WS_EXIT_DONE) {
    machine->fleet.failed_jobs = 0;
    machine->fleet.last_failed_job = WS_NO_JOB;
    job->status.consecutive_errors = 0;
  }
}

static WsAssignment *
matching(WsCore *core, const WsMachine *machine, const WsTaskStatus *task, WsJob **job)
{
  *job = ws_replica_find_job(core->replica, task->job);
  if (*job == NULL || (*job)->spec == NULL || task->task >= (*job)->tasks)
    return NULL;
  WsAssignment *assignment = ws_job_assignment(*job, task->task);
  return assignment != NULL && assignment->machine == machine->index
                 && assignment->attempt == task->attempt
             ? assignment
             : NULL;
}

static void
note_task(WsCore *core, WsMachine *machine, const WsTaskStatus *task)
{
  WsJob *job;
  WsAssignment *assignment = matching(core, machine, task, &job);
  if (assignment == NULL)
    return;
  if (task->state == WS_TASK_EXITED) {
    note_exit(core, machine, job, assignment, task->why);
    ws_releases_add_reported(core, job, assignment, WS_EVIDENCE_EXITED, task->why == WS_EXIT_DONE);
    return;
  }
  ws_releases_refute(core, job, assignment);
  if (task->state != assignment->state)
    g_debug("task %s/%u on %s: state %d", job->id, assignment->task, machine->name, task->state);
  assignment->state = task->state;
  if (assignment->state >= WS_TASK_GATHERING)
    remember_image(machine, job->image);
}

static void
begin_incarnation(WsCore *core, WsMachine *machine, guint64 incarnation)
{
  if (machine->worker.incarnation != 0) {
    machine->worker.incarnation_changed_ms = core->now;
    g_info("machine %s begins session %" G_GUINT64_FORMAT, machine->name, incarnation);
  }
  machine->worker.indeterminate_launches
      = 0; /* a direct launch names its session, so an old one is refused */
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    WsAssignment *assignment
        = ws_job_assignment(ws_replica_job(core->replica, ref->job), ref->task);
    if (assignment == NULL)
      continue;
    assignment->state = WS_TASK_ASSIGNED;
    assignment->launch_sent = FALSE;
  }
}

/* FALSE: an older message than one that was seen already. */
static gboolean
note_header(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat)
{
  if (heartbeat->incarnation < machine->worker.incarnation
      || (heartbeat->incarnation == machine->worker.incarnation
          && heartbeat->sequence <= machine->worker.sequence))
    return FALSE;
  if (heartbeat->incarnation > machine->worker.incarnation)
    begin_incarnation(core, machine, heartbeat->incarnation);
  machine->worker.incarnation = heartbeat->incarnation;
  machine->worker.sequence = heartbeat->sequence;
  if (heartbeat->fencing_token > machine->worker.fencing_token
      && machine->worker.indeterminate_fencing_token < heartbeat->fencing_token)
    machine->worker.indeterminate_launches
        = 0; /* from now on the worker refuses what was sent under the older token */
  machine->worker.fencing_token = MAX(machine->worker.fencing_token, heartbeat->fencing_token);
  machine->worker.heard_ms = core->now;
  machine->worker.failed_probes = 0;
  if (machine->worker.up_ms == 0) {
    machine->worker.up_ms = core->now;
    g_info("machine %s is up", machine->name);
  }
  if (heartbeat->interruption_s < 0.0)
    machine->worker.interruption_ms = 0;
  else if (machine->worker.interruption_ms == 0)
    machine->worker.interruption_ms = core->now + (gint64)(heartbeat->interruption_s * 1000.0);
  if (g_strcmp0(machine->worker.endpoint, heartbeat->endpoint) != 0) {
    g_free(machine->worker.endpoint);
    machine->worker.endpoint = g_strdup(heartbeat->endpoint);
    machine->worker.announcement_is_due = TRUE;
  }
  return TRUE;
}

/* Presence is believed of any message that is newer; nothing is concluded from absence. Only a
   message that carries the present token is acted on: an older one may be a late copy. */
gboolean
ws_workers_note_status(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat)
{
  if (!note_header(core, machine, heartbeat))
    return FALSE;
  for (guint i = 0; heartbeat->fencing_token == fencing_token(core) && i < heartbeat->tasks->len;
       i++)
    note_task(core, machine, &g_array_index(heartbeat->tasks, WsTaskStatus, i));
  return TRUE;
}

/* The answer to a report. */

typedef struct {
  WsCore *core;
  WsMachine *machine;
  const WsHeartbeat *heartbeat;
  json_t *commands;
  gboolean confirmed; /* the worker has seen our token */
  gboolean is_behind; /* the records are older than the epoch */
  gboolean halts;
  gboolean is_unacknowledged; /* it was told already, and the report doesn't show it */
} Answer;

static void
command(Answer *answer, WsOp op, const char *job, guint task, guint64 attempt, double grace_s)
{
  static const char *const NAMES[]
      = { [WS_OP_LAUNCH] = "launch", [WS_OP_HALT] = "halt", [WS_OP_REAP] = "reap" };
  const WsHeartbeat *heartbeat = answer->heartbeat;
  g_debug("%s is told to %s %s/%u attempt %" G_GUINT64_FORMAT " under token %" G_GUINT64_FORMAT
          ": report %" G_GUINT64_FORMAT " of session %" G_GUINT64_FORMAT
          " has token %" G_GUINT64_FORMAT,
          heartbeat->machine, NAMES[op], job, task, attempt, fencing_token(answer->core),
          heartbeat->sequence, heartbeat->incarnation, heartbeat->fencing_token);
  answer->halts = answer->halts || op == WS_OP_HALT;
  json_array_append_new(answer->commands, ws_command_encode(op, job, task, attempt, grace_s));
}

/* Whether the task is stopped because its machine is given back. A running gang is stopped as a
   whole, see ws_gang_tick. */
static gboolean
is_drained(WsCore *core, WsMachine *machine, WsJob *job, const WsAssignment *assignment)
{
  if (!machine->is_marked || (ws_job_is_gang(job) && assignment->state >= WS_TASK_RUNNING))
    return FALSE;
  return ws_termination_may_stop(core, machine, job, assignment);
}

static void
command_present(Answer *answer, const WsTaskStatus *task)
{
  WsJob *job;
  WsMachine *machine = answer->machine;
  WsAssignment *assignment = matching(answer->core, machine, task, &job);
  if (assignment == NULL && answer->is_behind)
    return;
  if (assignment == NULL) {
    if (task->state != WS_TASK_EXITED)
      command(answer, WS_OP_HALT, task->job, task->task, task->attempt, 0.0);
    else if (answer->confirmed && machine->worker.indeterminate_launches == 0)
      command(answer, WS_OP_REAP, task->job, task->task, task->attempt, 0.0);
    return;
  }
  if (task->state == WS_TASK_EXITED)
    return;
  gboolean is_cancelled = ws_cancellations_has(answer->core, job);
  if (task->state == WS_TASK_SAVING && !is_cancelled)
    return;
  if (is_cancelled || assignment->is_stop_requested || ws_gang_is_ending(job)
      || is_drained(answer->core, machine, job, assignment))
    command(answer, WS_OP_HALT, task->job, task->task, task->attempt,
            ws_halt_grace_s(answer->core, job, assignment));
}

/* A task that is assigned and missing is launched (again); it's released only when it isn't wanted
   here any more, the report answers our token, and no launch of it can come late. What is about to
   be released isn't launched again: one that had failed, in the machine's next session, then ran on
   two machines. */
static void
command_absent(Answer *answer, WsJob *job, WsAssignment *assignment)
{
  gboolean unwanted = ws_cancellations_has(answer->core, job) || assignment->is_stop_requested
                      || answer->machine->is_marked || ws_gang_is_ending(job)
                      || ws_releases_has(answer->core, job, assignment);
  if (!unwanted && ws_authority_check_launch(answer->core) != WS_REFUSAL_NONE)
    return;
  if (!unwanted) {
    command(answer, WS_OP_LAUNCH, job->id, assignment->task, assignment->attempt, 0.0);
    answer->is_unacknowledged = answer->is_unacknowledged || assignment->launch_sent;
    assignment->launch_sent = TRUE;
    return;
  }
  if (answer->confirmed && answer->machine->worker.indeterminate_launches == 0)
    ws_releases_add_reported(answer->core, job, assignment, WS_EVIDENCE_ABSENT, FALSE);
}

static void
command_all(Answer *answer)
{
  WsReplica *replica = answer->core->replica;
  for (guint i = 0; i < answer->heartbeat->tasks->len; i++)
    command_present(answer, &g_array_index(answer->heartbeat->tasks, WsTaskStatus, i));
  for (guint i = 0; !answer->is_behind && i < answer->machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(answer->machine->tasks, WsTaskRef, i);
    WsJob *job = ws_replica_job(replica, ref->job);
    WsAssignment *assignment = ws_job_assignment(job, ref->task);
    if (assignment != NULL && assignment->machine == answer->machine->index
        && ws_heartbeat_find_task(answer->heartbeat, job->id, assignment->task, assignment->attempt)
               == NULL)
      command_absent(answer, job, assignment);
  }
}

/* A machine whose reports arrive while answers and commands don't reach it shows no token of ours,
   no task that it was told to launch, and goes on with what it was told to stop. */
static void
note_unacknowledged(Answer *answer)
{
  WsMachine *machine = answer->machine;
  machine->worker.consecutive_halts = answer->halts ? machine->worker.consecutive_halts + 1 : 0;
  gboolean is_unacknowledged
      = answer->is_unacknowledged || !answer->confirmed || machine->worker.consecutive_halts > 1;
  if (!is_unacknowledged)
    machine->worker.unacknowledged_ms = 0;
  else if (machine->worker.unacknowledged_ms == 0)
    machine->worker.unacknowledged_ms = answer->core->now;
}

json_t *
ws_workers_answer_heartbeat(WsCore *core, const WsHeartbeat *heartbeat)
{
  WsMachine *machine = ws_replica_get_machine(core->replica, heartbeat->machine);
  ws_replica_describe_machine(core->replica, machine, heartbeat->type, heartbeat->zone,
                              heartbeat->spot);
  Answer answer = { .core = core,
                    .machine = machine,
                    .heartbeat = heartbeat,
                    .commands = json_array(),
                    .confirmed = heartbeat->fencing_token == fencing_token(core),
                    .is_behind = !ws_has_caught_up_with_epoch(core) };
  gboolean was_usable = ws_machine_is_up(core, machine) && machine->worker.interruption_ms == 0;
  if (!note_header(core, machine, heartbeat))
    return ws_heartbeat_answer_encode(fencing_token(core), answer.commands);
  machine->worker.reported_ms = core->now;
  /* A copy of an old report may come from a machine that was returned before this node began; only
     one that has had an answer of this epoch is there. */
  if (!machine->is_recorded && answer.confirmed)
    ws_cloud_list_reconcile(core, machine, core->wall);
  if (answer.confirmed)
    for (guint i = 0; i < heartbeat->tasks->len; i++)
      note_task(core, machine, &g_array_index(heartbeat->tasks, WsTaskStatus, i));
  command_all(&answer);
  note_unacknowledged(&answer);
  core->replan_is_needed
      = core->replan_is_needed || !was_usable || machine->worker.interruption_ms > 0;
  return ws_heartbeat_answer_encode(fencing_token(core), answer.commands);
}

/* Whether the owner should be tried by the worker itself. A worker that comes back although it was
   sent there can't reach it: its reports are then passed on from here. */
static gboolean
should_redirect(const WsCore *core, const WsMachine *machine, WsNodeIndex owner)
{
  if (machine->worker.redirected_ms > 0
      && core->now - machine->worker.redirected_ms < REDIRECT_INTERVAL_MS)
    return FALSE;
  if (!ws_peer_is_reachable(core, owner))
    return FALSE;
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (n != owner && machine->zone != WS_NO_ZONE
        && ws_replica_find_zone(core->replica, ws_settings_node(core->settings, n)->zone)
               == machine->zone
        && !ws_peer_link_is_up(core, n, owner))
      return FALSE;
  return TRUE;
}

/* No worker reaches the owner: sending them there would cost each of them the time in which it
   waits in vain, which is more than a machine may be silent. One now and then finds out when it's
   over. */
static gboolean
is_worth_a_try(WsCore *core, WsNodeIndex owner)
{
  if (ws_peer_is_unreached_by_workers(core, owner)
      && core->now - ws_peer_last_redirect_ms(core, owner) < UNREACHED_OWNER_RETRY_MS)
    return FALSE;
  ws_peer_note_redirect(core, owner);
  return TRUE;
}

static void
other_owner(WsCore *core, WsMachine *machine, WsNodeIndex owner, const char *body, gpointer request)
{
  if (!should_redirect(core, machine, owner) || !is_worth_a_try(core, owner)) {
    ws_relay_heartbeat(core, owner, body, request);
    return;
  }
  machine->worker.redirected_ms = core->now;
  ws_answer(core, request, 421, ws_redirect_encode(ws_settings_node(core->settings, owner)->name),
            0);
}

/* Cut off from the state service and all other nodes, this one can't know whether a later epoch
   exists. If machines of other zones still reach it, the others are there for them and for those of
   its own zone: each is sent away. One that comes back has found nobody, and is kept: its tasks
   live on our answers. If none does, it is the zone that is cut off. */
static gboolean
sends_away(WsCore *core, WsMachine *machine)
{
  const WsNode *self = ws_settings_node(core->settings, core->settings->self);
  if (!ws_is_isolated(core))
    return FALSE;
  if (machine->zone != ws_replica_find_zone(core->replica, self->zone))
    ws_authority_note_heartbeat_from_other_zone(core);
  gint64 since_ms = core->now - machine->worker.sent_away_ms;
  if (!ws_authority_is_reached_from_other_zones(core)
      || (machine->worker.sent_away_ms > 0
          && (double)since_ms < KEPT_LEASE_SHARE * core->settings->lease_s * 1000.0))
    return FALSE;
  machine->worker.sent_away_ms = core->now;
  return TRUE;
}

void
ws_workers_handle_heartbeat(WsCore *core, const char *body, gsize length, gpointer request)
{
  g_autoptr(json_t) message = ws_json_parse(body, length);
  g_autoptr(GError) error = NULL;
  g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse(message, &error);
  if (heartbeat == NULL) {
    g_warning("a report was refused: %s", error->message);
    ws_answer_reason(core, request, 400, error->message);
    return;
  }
  ws_liveness_note_heartbeat(core);
  WsRefusal refusal = ws_authority_check_heartbeat(core, heartbeat->fencing_token);
  if (refusal != WS_REFUSAL_NONE || ws_returns_is_confirmed(core, heartbeat->machine)) {
    g_debug("a heartbeat of %s is put off: %s", heartbeat->machine,
            refusal != WS_REFUSAL_NONE ? ws_refusal_describe(refusal) : "it is returned");
    ws_answer_later(core, request, 1);
    return;
  }
  WsMachine *machine = ws_replica_get_machine(core->replica, heartbeat->machine);
  ws_replica_describe_machine(core->replica, machine, heartbeat->type, heartbeat->zone,
                              heartbeat->spot);
  if (sends_away(core, machine)) {
    ws_answer_later(core, request, 1);
    return;
  }
  WsNodeIndex owner = machine->owner;
  if (owner != core->settings->self) {
    g_autofree char *text = g_strndup(body, length);
    other_owner(core, machine, owner, text, request);
    return;
  }
  ws_answer(core, request, 200, ws_workers_answer_heartbeat(core, heartbeat), 0);
}

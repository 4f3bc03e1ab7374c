/**
 * Reconciles a worker's tasks with the records: computes the commands in the owner's answer to a
 * heartbeat.
 *
 * The inputs are the recorded assignments of the machine and its newest heartbeat. Only the owner
 * of the machine computes the commands, since no other node may release a task or command the
 * worker to reap one.
 */
#include "workers/ws-workers-private.h"

#include "commit/ws-commit.h"
#include "fleet/ws-fleet.h"
#include "storage/ws-fencing.h"
#include "storage/ws-gang-phase.h"

typedef struct {
  WsCore *core;
  WsMachine *machine;
  const WsHeartbeat *heartbeat;
  json_t *commands;
  gboolean has_current_token; /* the heartbeat has a fencing token of the current epoch */
  gboolean replica_is_behind; /* the replica hasn't caught up with the epoch */
  gboolean has_halts;
  gboolean has_repeated_launch; /* a task launched earlier is missing from the heartbeat */
  gboolean lacks_issued_token;  /* the heartbeat has a lower token than was sent to the worker */
  gboolean waits_for_fence; /* a release or launch waits for a token that the epoch doesn't have */
} Reconciliation;

static void
add_command(Reconciliation *run, WsOp op, const char *job, guint task, guint64 attempt,
            double grace_s)
{
  const WsHeartbeat *heartbeat = run->heartbeat;
  g_debug("command to machine %s: %s task %s/%u, attempt %" G_GUINT64_FORMAT
          ", fencing token %" G_GUINT64_FORMAT "; answers heartbeat %" G_GUINT64_FORMAT
          " of incarnation %" G_GUINT64_FORMAT " with fencing token %" G_GUINT64_FORMAT,
          heartbeat->machine, ws_op_name(op), job, task, attempt,
          ws_fencing_token(run->core->replica, run->machine), heartbeat->sequence,
          heartbeat->incarnation, heartbeat->fencing_token);
  run->has_halts = run->has_halts || op == WS_OP_HALT;
  json_array_append_new(run->commands, ws_command_encode(op, job, task, attempt, grace_s));
}

/* Whether a task that is missing from the heartbeat can't start any more without a new command. */
static gboolean
absence_is_final(const Reconciliation *run)
{
  return run->has_current_token
         && ws_fencing_covers_launches(run->machine, run->heartbeat->fencing_token,
                                       run->heartbeat->incarnation);
}

/* Has the answer carry a token above those of all direct launches. Returns FALSE if the epoch has
   no such token. */
static gboolean
fence_by_answer(const Reconciliation *run)
{
  return ws_fencing_ensure_above_launches(run->core->replica, run->machine);
}

/* Whether to stop the task now in order to drain its machine, which is marked for termination. A
   running gang is stopped as a whole, see ws_gang_tick(). */
static gboolean
may_stop_for_drain(WsCore *core, WsMachine *machine, WsJob *job, const WsAssignment *assignment)
{
  if (!machine->is_marked || (ws_job_is_gang(job) && assignment->state >= WS_TASK_RUNNING))
    return FALSE;
  return ws_termination_may_stop_task(core, machine, job, assignment);
}

/* Reaps an exited task whose end is recorded. The answer also raises the worker's fencing token, so
   that no copy of a direct launch starts the task again. */
static void
reap_task(Reconciliation *run, const WsTaskStatus *task)
{
  if (!fence_by_answer(run)) {
    run->machine->worker.unreapable_exits++;
    return;
  }
  ws_command_log_reap(run->core, run->machine, run->heartbeat, task);
  ws_command_stats_add(run->core, WS_COMMAND_REAP);
  add_command(run, WS_OP_REAP, task->job, task->task, task->attempt, 0.0);
}

/* Halts a task that the records don't assign to this machine, or reaps it if it has exited. */
static void
handle_unassigned_task(Reconciliation *run, const WsTaskStatus *task)
{
  if (run->replica_is_behind)
    return;
  if (task->state != WS_TASK_EXITED) {
    ws_command_log_halt(run->core, run->machine, task);
    add_command(run, WS_OP_HALT, task->job, task->task, task->attempt, 0.0);
  } else if (run->has_current_token) {
    reap_task(run, task);
  }
}

/* Adds the command, if any, for a task in the heartbeat. */
static void
handle_present_task(Reconciliation *run, const WsTaskStatus *task)
{
  WsJob *job;
  WsCore *core = run->core;
  WsAssignment *assignment = ws_worker_status_find_assignment(core, run->machine, task, &job);
  if (assignment == NULL) {
    handle_unassigned_task(run, task);
    return;
  }
  if (task->state == WS_TASK_EXITED)
    return;
  gboolean is_cancelled = ws_cancellations_has_job(core, job);
  if (task->state == WS_TASK_SAVING && !is_cancelled)
    return;
  if (is_cancelled || assignment->is_stop_requested || ws_gang_is_ending(job)
      || may_stop_for_drain(core, run->machine, job, assignment))
    add_command(run, WS_OP_HALT, task->job, task->task, task->attempt,
                ws_halt_grace_s(core, job, assignment));
}

/* Whether the assignment must not be launched any more. This includes an assignment with a pending
   release: a failed task that was launched again while its release was being written has run on two
   machines. */
static gboolean
must_not_launch(const Reconciliation *run, WsJob *job, const WsAssignment *assignment)
{
  return ws_cancellations_has_job(run->core, job) || assignment->is_stop_requested
         || run->machine->is_marked || ws_gang_is_ending(job)
         || ws_releases_is_pending(run->core, job, assignment);
}

/* Releases a task that is missing from the heartbeat and must not be launched any more. While a
   copy of a direct launch could start it, raises the worker's fencing token first; the next
   heartbeat then shows whether it has started. */
static void
release_absent_task(Reconciliation *run, const WsJob *job, const WsAssignment *assignment)
{
  if (absence_is_final(run)) {
    ws_command_log_absence(run->core, run->machine, run->heartbeat, job, assignment);
    ws_releases_add_reported(run->core, job, assignment, WS_EVIDENCE_ABSENT, FALSE);
  } else if (run->has_current_token && !fence_by_answer(run)) {
    run->waits_for_fence = TRUE;
  }
}

/* Whether the worker would reject the launch, since it holds an exited attempt of the task that
   can't be reaped yet. */
static gboolean
holds_unreapable_exit(const Reconciliation *run, const WsJob *job, const WsAssignment *assignment)
{
  const GArray *exits = run->machine->worker.held_exits;
  for (guint i = 0; run->machine->worker.unreapable_exits > 0 && i < exits->len; i++) {
    const WsHeldExit *held = &g_array_index(exits, WsHeldExit, i);
    if (held->job == job->index && held->task == assignment->task)
      return TRUE;
  }
  return FALSE;
}

/* Launches an assigned task that is missing from the heartbeat. If it must not be launched any
   more, releases it instead, as soon as the heartbeat proves that the task is gone. The launch is
   repeated with each heartbeat until the task is reported. A task isn't launched while this node
   may have missed its cancellation. */
static void
handle_absent_task(Reconciliation *run, WsJob *job, WsAssignment *assignment)
{
  if (must_not_launch(run, job, assignment)) {
    release_absent_task(run, job, assignment);
    return;
  }
  if (ws_authority_check_launch(run->core) != WS_REFUSAL_NONE)
    return;
  if (holds_unreapable_exit(run, job, assignment)) {
    run->waits_for_fence = TRUE;
    return;
  }
  add_command(run, WS_OP_LAUNCH, job->id, assignment->task, assignment->attempt, 0.0);
  run->has_repeated_launch = run->has_repeated_launch || assignment->is_launch_sent;
  assignment->is_launch_sent = TRUE;
}

static void
handle_present_tasks(Reconciliation *run)
{
  const GArray *tasks = run->heartbeat->tasks;
  for (guint i = 0; i < tasks->len; i++)
    handle_present_task(run, &g_array_index(tasks, WsTaskStatus, i));
}

static void
handle_absent_tasks(Reconciliation *run)
{
  const WsMachine *machine = run->machine;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    WsJob *job = ws_replica_job(run->core->replica, ref->job);
    WsAssignment *assignment = ws_job_assignment(job, ref->task);
    if (assignment != NULL && assignment->machine == machine->index
        && ws_heartbeat_find_task(run->heartbeat, job->id, assignment->task, assignment->attempt)
               == NULL)
      handle_absent_task(run, job, assignment);
  }
}

/* Records since when the heartbeats don't reflect the commands that were sent. If a machine is
   outbound unreachable (its heartbeats arrive, but answers and commands don't reach it), its
   heartbeats lack the fencing token that was sent or launched tasks, or still show halted tasks. */
static void
update_unacknowledged(const Reconciliation *run)
{
  WsMachine *machine = run->machine;
  machine->worker.consecutive_halts = run->has_halts ? machine->worker.consecutive_halts + 1 : 0;
  gboolean is_unacknowledged = run->lacks_issued_token || run->has_repeated_launch
                               || !run->has_current_token || machine->worker.consecutive_halts > 1;
  if (!is_unacknowledged)
    machine->worker.unacknowledged_since_ms = 0;
  else if (machine->worker.unacknowledged_since_ms == 0)
    machine->worker.unacknowledged_since_ms = run->core->now_ms;
}

/* Updates the machine and its tasks from the heartbeat. Without the current fencing token the tasks
   are ignored and no record is requested: the heartbeat may be a delayed copy from a machine that
   was returned before this node started. Only a machine that has received an answer of the current
   epoch certainly exists. */
static void
apply_heartbeat(Reconciliation *run)
{
  WsCore *core = run->core;
  run->machine->worker.last_heartbeat_ms = core->now_ms;
  run->machine->worker.unreapable_exits = 0;
  if (!run->has_current_token)
    return;
  if (!run->machine->is_recorded)
    ws_cloud_list_schedule_record(core, run->machine, core->wall_ms);
  ws_worker_status_apply_tasks(core, run->machine, run->heartbeat);
}

static void
update_fence_wait(const Reconciliation *run)
{
  WsWorkerStatus *worker = &run->machine->worker;
  if (!run->waits_for_fence)
    worker->fence_wait_since_ms = 0;
  else if (worker->fence_wait_since_ms == 0)
    worker->fence_wait_since_ms = run->core->now_ms;
}

static void
reconcile(Reconciliation *run)
{
  apply_heartbeat(run);
  handle_present_tasks(run);
  if (!run->replica_is_behind)
    handle_absent_tasks(run);
  update_unacknowledged(run);
  update_fence_wait(run);
}

/* A heartbeat with a lower fencing token than the worker has shown is a delayed copy, or comes from
   a worker that was restarted and knows no token. Such a worker holds no exited attempt any more
   and would carry out any copy of a direct launch, so the answer raises its token above theirs. */
static void
fence_restarted_worker(const Reconciliation *run)
{
  if (run->heartbeat->fencing_token < run->machine->worker.fencing_token)
    (void)fence_by_answer(run);
}

json_t *
ws_workers_answer_heartbeat(WsCore *core, const WsHeartbeat *heartbeat)
{
  const WsEpoch *epoch = &core->replica->epoch;
  WsMachine *machine = ws_replica_ensure_machine(core->replica, heartbeat->machine);
  ws_replica_set_machine_attributes(core->replica, machine, heartbeat->type, heartbeat->zone,
                                    heartbeat->is_spot);
  Reconciliation run
      = { .core = core,
          .machine = machine,
          .heartbeat = heartbeat,
          .commands = json_array(),
          .has_current_token = ws_epoch_has_token(epoch, heartbeat->fencing_token),
          .lacks_issued_token = heartbeat->fencing_token < machine->worker.issued_token,
          .replica_is_behind = !ws_has_caught_up_with_epoch(core) };
  gboolean was_usable = ws_machine_is_up(core, machine) && machine->worker.interruption_ms == 0;
  fence_restarted_worker(&run);
  if (ws_worker_status_apply_header(core, machine, heartbeat)) {
    reconcile(&run);
    core->replan_is_needed
        = core->replan_is_needed || !was_usable || machine->worker.interruption_ms > 0;
  }
  machine->worker.issued_token = ws_fencing_token(core->replica, machine);
  return ws_heartbeat_response_encode(machine->worker.issued_token, run.commands);
}

/**
 * Updates the state of a machine and its tasks from its worker's status.
 *
 * A status newer than the last one proves that the tasks in it are present on the machine. This
 * module draws no conclusion from tasks that are missing, see ws-reconciliation.c.
 */
#include "workers/ws-workers-private.h"

#include "commit/ws-commit.h"

/* Only the most recently used images are assumed to be in a machine's cache. */
#define MAX_CACHED_IMAGES 10
/* Back-off before a failed job's tasks are placed again: doubled with each consecutive failure. */
#define JOB_BACKOFF_BASE_MS 500
#define MAX_JOB_BACKOFF_DOUBLINGS 7u
/* Back-off after an attempt of a gang whose tasks weren't all ready in time: doubled likewise. */
#define GANG_BACKOFF_BASE_MS 500
#define MAX_GANG_BACKOFF_DOUBLINGS 6u

/* Moves the image to the most recently used end of the machine's image list. */
static void
record_image_use(WsMachine *machine, WsImageIndex image)
{
  GArray *images = machine->worker.images;
  if (images->len > 0 && g_array_index(images, WsImageIndex, images->len - 1) == image)
    return;
  machine->worker.announcement_is_due
      = machine->worker.announcement_is_due || !ws_machine_has_image(machine, image);
  for (guint i = 0; i < images->len; i++)
    if (g_array_index(images, WsImageIndex, i) == image) {
      g_array_remove_index(images, i);
      break;
    }
  g_array_append_val(images, image);
  if (images->len > MAX_CACHED_IMAGES)
    g_array_remove_index(images, 0);
}

/* Counts a task failure for the machine and for the job. A machine on which several jobs fail in a
   row is considered faulty. A job that keeps failing is retried with exponential back-off until its
   user cancels it. */
static void
record_task_failure(WsCore *core, WsMachine *machine, WsJob *job)
{
  job->status.consecutive_errors++;
  guint doublings = MIN(job->status.consecutive_errors, MAX_JOB_BACKOFF_DOUBLINGS);
  job->status.retry_ms = core->now_ms + JOB_BACKOFF_BASE_MS * (gint64)(1u << doublings);
  if (machine->fleet.last_failed_job != job->index)
    machine->fleet.consecutive_failed_jobs++;
  machine->fleet.last_failed_job = job->index;
  g_info("task of job %s failed on machine %s", job->id, machine->name);
}

/* Delays the next attempt of a gang whose tasks weren't all ready to run in time, with exponential
   back-off. This isn't counted as a failure of a machine or of the job. */
static void
back_off_gang(WsCore *core, WsJob *job)
{
  job->status.gang_backoff_doublings
      = MIN(job->status.gang_backoff_doublings + 1, MAX_GANG_BACKOFF_DOUBLINGS);
  job->status.retry_ms
      = core->now_ms + GANG_BACKOFF_BASE_MS * (gint64)(1u << job->status.gang_backoff_doublings);
  g_info("gang %s timed out before all its tasks were ready, backing off", job->id);
}

static void
record_exit(WsCore *core, WsMachine *machine, WsJob *job, WsAssignment *assignment,
            WsExitReason reason)
{
  if (assignment->state == WS_TASK_EXITED)
    return;
  assignment->state = WS_TASK_EXITED;
  if (reason == WS_EXIT_ERROR)
    record_task_failure(core, machine, job);
  if (reason == WS_EXIT_LAUNCH_REJECTED)
    job->status.retry_ms = core->now_ms + JOB_BACKOFF_BASE_MS;
  if (reason == WS_EXIT_GANG_INCOMPLETE)
    back_off_gang(core, job);
  if (reason == WS_EXIT_DONE) {
    machine->fleet.consecutive_failed_jobs = 0;
    machine->fleet.last_failed_job = WS_NO_JOB;
    job->status.consecutive_errors = 0;
  }
}

WsAssignment *
ws_worker_status_find_assignment(const WsCore *core, const WsMachine *machine,
                                 const WsTaskStatus *task, WsJob **job)
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
update_task(WsCore *core, WsMachine *machine, const WsTaskStatus *task)
{
  WsJob *job;
  WsAssignment *assignment = ws_worker_status_find_assignment(core, machine, task, &job);
  if (assignment == NULL)
    return;
  if (task->state == WS_TASK_EXITED) {
    record_exit(core, machine, job, assignment, task->exit_reason);
    ws_releases_add_reported(core, job, assignment, WS_EVIDENCE_EXITED,
                             task->exit_reason == WS_EXIT_DONE);
    return;
  }
  ws_releases_invalidate(core, job, assignment);
  if (task->state != assignment->state)
    g_debug("task %s/%u on machine %s changed to state %d", job->id, assignment->task,
            machine->name, task->state);
  assignment->state = task->state;
  if (assignment->state >= WS_TASK_GATHERING)
    record_image_use(machine, job->image);
}

/* Records the exits that the worker holds, of jobs that this node knows. */
static void
update_held_exits(const WsCore *core, const WsMachine *machine, const WsHeartbeat *heartbeat)
{
  g_array_set_size(machine->worker.held_exits, 0);
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const WsTaskStatus *task = &g_array_index(heartbeat->tasks, WsTaskStatus, i);
    const WsJob *job = ws_replica_find_job(core->replica, task->job);
    if (task->state != WS_TASK_EXITED || job == NULL)
      continue;
    WsHeldExit held = { job->index, task->task, task->attempt };
    g_array_append_val(machine->worker.held_exits, held);
  }
}

void
ws_worker_status_apply_tasks(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat)
{
  update_held_exits(core, machine, heartbeat);
  for (guint i = 0; i < heartbeat->tasks->len; i++)
    update_task(core, machine, &g_array_index(heartbeat->tasks, WsTaskStatus, i));
}

/* Resets the state of the machine's assignments for a new incarnation of its worker: all tasks of
   the previous incarnation are gone, and the worker refuses calls that are meant for it. */
static void
begin_incarnation(WsCore *core, WsMachine *machine, guint64 incarnation)
{
  if (machine->worker.incarnation != 0) {
    machine->worker.incarnation_changed_ms = core->now_ms;
    g_info("worker on machine %s started incarnation %" G_GUINT64_FORMAT, machine->name,
           incarnation);
  }
  g_array_set_size(machine->worker.held_exits, 0);
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    WsAssignment *assignment
        = ws_job_assignment(ws_replica_job(core->replica, ref->job), ref->task);
    if (assignment == NULL)
      continue;
    assignment->state = WS_TASK_ASSIGNED;
    assignment->is_launch_sent = FALSE;
  }
}

static void
record_contact(WsCore *core, WsMachine *machine)
{
  machine->worker.last_contact_ms = core->now_ms;
  machine->worker.failed_probes = 0;
  if (machine->worker.up_ms != 0)
    return;
  machine->worker.up_ms = core->now_ms;
  g_info("machine %s is up", machine->name);
}

/* @interruption_s: time until the cloud interrupts the machine; negative: no notice was given */
static void
update_interruption(WsCore *core, WsMachine *machine, double interruption_s)
{
  if (interruption_s < 0.0)
    machine->worker.interruption_ms = 0;
  else if (machine->worker.interruption_ms == 0)
    machine->worker.interruption_ms = core->now_ms + (gint64)(interruption_s * 1000.0);
}

static void
update_endpoint(WsMachine *machine, const char *endpoint)
{
  if (g_strcmp0(machine->worker.endpoint, endpoint) == 0)
    return;
  g_free(machine->worker.endpoint);
  machine->worker.endpoint = g_strdup(endpoint);
  machine->worker.announcement_is_due = TRUE;
}

gboolean
ws_worker_status_apply_header(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat)
{
  if (heartbeat->incarnation < machine->worker.incarnation
      || (heartbeat->incarnation == machine->worker.incarnation
          && heartbeat->sequence <= machine->worker.sequence))
    return FALSE;
  if (heartbeat->incarnation > machine->worker.incarnation)
    begin_incarnation(core, machine, heartbeat->incarnation);
  machine->worker.incarnation = heartbeat->incarnation;
  machine->worker.sequence = heartbeat->sequence;
  machine->worker.fencing_token = MAX(machine->worker.fencing_token, heartbeat->fencing_token);
  record_contact(core, machine);
  update_interruption(core, machine, heartbeat->interruption_s);
  update_endpoint(machine, heartbeat->endpoint);
  return TRUE;
}

/* A status with a fencing token of an earlier epoch may be a delayed copy, so its tasks are
 * ignored. */
gboolean
ws_workers_apply_status(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat)
{
  if (!ws_worker_status_apply_header(core, machine, heartbeat))
    return FALSE;
  if (ws_epoch_has_token(&core->replica->epoch, heartbeat->fencing_token))
    ws_worker_status_apply_tasks(core, machine, heartbeat);
  return TRUE;
}

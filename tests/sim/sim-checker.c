/**
 * Checks the invariants against the tasks that workers run and the answers that users got, and
 * counts objects and events for the tests.
 */
#include "sim/sim-private.h"

#include <string.h>

gboolean
sim_describe_task(gpointer user_data, const char *id, guint task, double *run_s)
{
  const Job *job = sim_find_job(user_data, id);
  *run_s = job != NULL && !job->spec.service ? job->spec.run_s : -1.0;
  return job != NULL && task < job->spec.tasks;
}

/* Adds a task that occupies a slot to the counts for task @number of the job, which starts on
   @where. */
static void
count_occupied_slot(const Sim *sim, const Machine *machine, const SimTask *task,
                    const Machine *where, const Job *job, guint number, SlotCounts *count)
{
  const Job *other = sim_find_job(sim, task->job);
  count->same_task += other == job && task->task == number ? 1 : 0;
  count->same_job += other == job ? 1 : 0;
  count->team += strcmp(other->spec.team, job->spec.team) == 0 ? 1 : 0;
  count->in_zone += other == job && machine->worker->zone == where->worker->zone ? 1 : 0;
  count->on_machine += machine == where ? 1 : 0;
}

static void
count_occupied_slots(const Sim *sim, const Machine *where, const Job *job, guint number,
                     SlotCounts *count)
{
  for (guint i = 0; i < sim->machines->len; i++) {
    const Machine *machine = g_ptr_array_index(sim->machines, i);
    for (guint k = 0; k < machine->worker->tasks->len; k++) {
      const SimTask *task = &g_array_index(machine->worker->tasks, SimTask, k);
      if (sim_task_occupies_slot(task))
        count_occupied_slot(sim, machine, task, where, job, number, count);
    }
  }
}

/* How long a launch may still be in flight after the job's user got the answer "cancelled". */
#define LAUNCH_IN_FLIGHT_MS 1500

/* Checks the invariants ran_twice, quota and wrong_place, and the capacity of the machine, when the
   task starts to occupy a slot. The quotas are those of ws_test_settings_message(). */
static void
check_start(Sim *sim, const Machine *machine, const SimTask *task)
{
  const Job *job = sim_find_job(sim, task->job);
  if (job->reported == REPORTED_CANCELLED && sim->now_ms > job->cancelled_ms + LAUNCH_IN_FLIGHT_MS)
    sim->late_starts++;
  SlotCounts count = { 0 };
  count_occupied_slots(sim, machine, job, task->task, &count);
  if (count.same_task != 0)
    g_error("seed %u, %.1f s: ran_twice: %s/%u", sim->seed, sim_now_s(sim), job->id, task->task);
  if (count.team + 1 > (strcmp(job->spec.team, "red") == 0 ? 6 : 8))
    g_error("seed %u, %.1f s: quota of %s", sim->seed, sim_now_s(sim), job->spec.team);
  if ((machine->worker->spot && !job->spec.spot)
      || (job->spec.zone != NULL && strcmp(job->spec.zone, machine->worker->zone) != 0)
      || (job->spec.one_zone && count.in_zone < count.same_job)
      || (job->spec.scatter && count.in_zone + 1 > (job->spec.tasks + 1) / 2))
    g_error("seed %u, %.1f s: wrong_place: %s/%u", sim->seed, sim_now_s(sim), job->id, task->task);
  g_assert_cmpuint(count.on_machine, <, SIM_MACHINE_SLOTS);
}

/* Checks the invariant ran_cancelled: a task must have stopped CANCEL_LIMIT_MS after the answer
   that its job is cancelled. */
static void
check_cancelled(Sim *sim, const SimTask *task)
{
  const Job *job = sim_find_job(sim, task->job);
  if (job->reported == REPORTED_CANCELLED && sim_task_occupies_slot(task)
      && sim->now_ms > job->cancelled_ms + CANCEL_LIMIT_MS)
    g_error("seed %u, %.1f s: ran_cancelled: %s/%u", sim->seed, sim_now_s(sim), job->id,
            task->task);
}

/* Whether a task record assigns the attempt to the machine. Jobs are smaller than a record. */
static gboolean
is_recorded(const Sim *sim, const Machine *machine, const SimTask *task)
{
  g_autofree char *key = g_strdup_printf("w/task/%s/0", task->job);
  size_t i;
  const json_t *item;
  json_array_foreach(json_object_get(sim_store_get(sim->store, key), "on"), i, item)
  {
    if (json_integer_value(json_array_get(item, 0)) == (json_int_t)task->task
        && g_strcmp0(json_string_value(json_array_get(item, 1)), machine->worker->name) == 0
        && json_integer_value(json_array_get(item, 2)) == (json_int_t)task->attempt)
      return TRUE;
  }
  return FALSE;
}

void
sim_check_recorded_tasks(const Sim *sim, const Machine *machine)
{
  for (guint i = 0; i < machine->worker->tasks->len; i++) {
    SimTask *task = &g_array_index(machine->worker->tasks, SimTask, i);
    if (!sim_task_occupies_slot(task) || is_recorded(sim, machine, task))
      task->unrecorded_since_ms = 0;
    else if (task->unrecorded_since_ms == 0)
      task->unrecorded_since_ms = sim->now_ms;
    else if (sim->now_ms - task->unrecorded_since_ms > CANCEL_LIMIT_MS)
      g_error("seed %u, %.1f s: no record assigns %s/%u to %s", sim->seed, sim_now_s(sim),
              task->job, task->task, machine->worker->name);
  }
}

/* The longest time that a task runs before it fails. */
#define MAX_FAILURE_DELAY_MS 1500

void
sim_step_task(Sim *sim, Machine *machine, SimTask *task)
{
  double run_s;
  check_cancelled(sim, task);
  if (sim->now_ms < task->next_step_ms || !sim_describe_task(sim, task->job, task->task, &run_s))
    return;
  if (strcmp(task->state, "fetching") == 0) {
    sim_worker_add_image(machine->worker, task->job);
    gboolean is_gang = sim_find_job(sim, task->job)->spec.gang;
    if (is_gang)
      sim_check_one_attempt(sim, task);
    check_start(sim, machine, task);
    if (is_gang) {
      sim_gang_handle_ready_task(sim, machine, task);
      return;
    }
    sim_find_job(sim, task->job)->has_started = TRUE;
    task->state = "running";
    task->fails = sim_draw_chance(sim, sim->faults.failing_tasks);
    task->next_step_ms = run_s < 0.0 ? G_MAXINT64 : sim->now_ms + (gint64)(run_s * 1000.0);
    if (task->fails)
      task->next_step_ms = sim->now_ms + g_rand_int_range(sim->rand, 100, MAX_FAILURE_DELAY_MS);
    machine->next_heartbeat_ms = MIN(machine->next_heartbeat_ms, sim->now_ms + 500);
  } else if (strcmp(task->state, "running") == 0 && task->fails) {
    task->state = "exited";
    task->why = "error";
    machine->next_heartbeat_ms = MIN(machine->next_heartbeat_ms, sim->now_ms + 500);
  } else if (strcmp(task->state, "running") == 0 && !sim_find_job(sim, task->job)->spec.gang) {
    task->state = "exited";
    task->why = "done";
    Job *job = sim_find_job(sim, task->job);
    job->completed[task->task] = 1;
    if (sim_draw_chance(sim, sim->cancel_at_completion))
      sim_user_cancel(sim, job);
    machine->next_heartbeat_ms = MIN(machine->next_heartbeat_ms, sim->now_ms + 500);
  }
}

static guint
count_running_on(const Sim *sim, const Machine *machine, const Job *job)
{
  guint count = 0;
  for (guint k = 0; sim_is_up(sim, machine) && k < machine->worker->tasks->len; k++) {
    const SimTask *task = &g_array_index(machine->worker->tasks, SimTask, k);
    count += strcmp(task->job, job->id) == 0 && strcmp(task->state, "running") == 0 ? 1 : 0;
  }
  return count;
}

guint
sim_count_running(const Sim *sim, guint job)
{
  guint count = 0;
  for (guint i = 0; i < sim->machines->len; i++)
    count += count_running_on(sim, g_ptr_array_index(sim->machines, i),
                              g_ptr_array_index(sim->jobs, job));
  return count;
}

guint
sim_find_machine_running_job(const Sim *sim, guint job)
{
  for (guint i = 0; i < sim->machines->len; i++)
    if (count_running_on(sim, g_ptr_array_index(sim->machines, i),
                         g_ptr_array_index(sim->jobs, job))
        > 0)
      return i;
  return G_MAXUINT;
}

guint
sim_count_late_starts(const Sim *sim)
{
  return sim->late_starts;
}

void
sim_check_answered(const Sim *sim, const Job *job)
{
  gint64 since_ms = MAX(job->answered_ms, sim->faults_ended_ms);
  if (sim->faults_ended_ms > 0 && job->reported == REPORTED_ACCEPTED
      && sim->now_ms - since_ms > UNANSWERED_JOB_LIMIT_MS)
    g_error("seed %u, %.1f s: forgotten: no answer about %s", sim->seed, sim_now_s(sim), job->id);
}

/* Counts the job's tasks that are done or on a machine, and adds its team's tasks on machines to
   @team. */
static guint
count_placed(const Sim *sim, const Job *job, guint *team)
{
  guint placed = 0;
  for (guint i = 0; i < job->spec.tasks; i++)
    placed += job->completed[i] ? 1 : 0;
  for (guint i = 0; i < sim->machines->len; i++) {
    const SimWorker *worker = ((Machine *)g_ptr_array_index(sim->machines, i))->worker;
    for (guint k = 0; k < worker->tasks->len; k++) {
      const SimTask *task = &g_array_index(worker->tasks, SimTask, k);
      const Job *other = sim_find_job(sim, task->job);
      if (strcmp(task->state, "exited") == 0)
        continue;
      placed += other == job && !job->completed[task->task] ? 1 : 0;
      *team += strcmp(other->spec.team, job->spec.team) == 0 ? 1 : 0;
    }
  }
  return placed;
}

static gboolean
has_free_capacity(const Sim *sim, const Job *job, const Machine *machine)
{
  guint occupied = 0;
  for (guint k = 0; k < machine->worker->tasks->len; k++)
    occupied += strcmp(g_array_index(machine->worker->tasks, SimTask, k).state, "exited") != 0;
  return sim_is_up(sim, machine) && !sim_is_stalled(sim, machine)
         && machine->worker->interruption_ms == 0
         && sim->now_ms >= machine->outbound_unreachable_until_ms
         && sim->now_ms >= machine->inbound_unreachable_until_ms
         && (job->spec.spot || !machine->worker->spot) && occupied < SIM_MACHINE_SLOTS;
}

/* Once the faults are over, no job may wait for long while a machine that fits it has free capacity
   and its team is below its quota. Jobs with zone constraints are excluded: where their tasks fit
   depends on the placement of their other tasks. */
void
sim_check_idle_capacity(const Sim *sim, Job *job)
{
  gboolean has_idle_capacity = FALSE;
  guint team = 0;
  if (sim->faults_ended_ms == 0 || job->reported != REPORTED_ACCEPTED || job->cancelling
      || job->spec.scatter || job->spec.one_zone || job->spec.zone != NULL)
    return;
  for (guint i = 0; i < sim->machines->len && !has_idle_capacity; i++)
    has_idle_capacity = has_free_capacity(sim, job, g_ptr_array_index(sim->machines, i));
  has_idle_capacity = has_idle_capacity && count_placed(sim, job, &team) < job->spec.tasks
                      && team < (strcmp(job->spec.team, "red") == 0 ? 6u : 8u);
  if (!has_idle_capacity)
    job->idle_capacity_since_ms = 0;
  else if (job->idle_capacity_since_ms == 0)
    job->idle_capacity_since_ms = sim->now_ms;
  else if (sim->now_ms - job->idle_capacity_since_ms > IDLE_CAPACITY_LIMIT_MS)
    g_error("seed %u, %.1f s: %s waits although a machine has free capacity for it", sim->seed,
            sim_now_s(sim), job->id);
}

void
sim_force_start(Sim *sim, guint machine, guint job, guint task)
{
  const Job *started = g_ptr_array_index(sim->jobs, job);
  SimTask begun = { .job = g_strdup(started->id),
                    .task = task,
                    .attempt = 99,
                    .state = "fetching",
                    .next_step_ms = sim->now_ms };
  g_array_append_val(((Machine *)g_ptr_array_index(sim->machines, machine))->worker->tasks, begun);
}

static guint
count_reported(const Sim *sim, ReportedState reported)
{
  guint count = 0;
  for (guint i = 0; i < sim->jobs->len; i++)
    count += ((Job *)g_ptr_array_index(sim->jobs, i))->reported == reported ? 1 : 0;
  return count;
}

guint
sim_count_jobs(const Sim *sim)
{
  return sim->jobs->len;
}

guint
sim_count_open_jobs(const Sim *sim)
{
  return count_reported(sim, REPORTED_ACCEPTED) + count_reported(sim, REPORTED_NONE);
}

guint
sim_count_done_jobs(const Sim *sim)
{
  return count_reported(sim, REPORTED_DONE);
}

guint
sim_count_lost_tasks(const Sim *sim)
{
  return sim->lost_tasks;
}

guint
sim_count_returned_tasks(const Sim *sim)
{
  return sim->returned_tasks;
}

gboolean
sim_job_has_started(const Sim *sim, guint index)
{
  const Job *job = g_ptr_array_index(sim->jobs, index);
  return job->has_started || job->cancelling;
}

guint
sim_count_machines_in_zone(const Sim *sim, const char *zone)
{
  guint count = 0;
  for (guint i = 0; i < sim->machines->len; i++) {
    const Machine *machine = g_ptr_array_index(sim->machines, i);
    count += !machine->returned && strcmp(machine->worker->zone, zone) == 0 ? 1 : 0;
  }
  return count;
}

guint
sim_count_machines(const Sim *sim)
{
  guint count = 0;
  for (guint z = 0; z < G_N_ELEMENTS(SIM_ZONES); z++)
    count += sim_count_machines_in_zone(sim, SIM_ZONES[z]);
  return count;
}

guint
sim_count_termination_marks(const Sim *sim)
{
  return sim_store_count_keys(sim->store, "w/mark/");
}

guint
sim_count_task_records(const Sim *sim)
{
  return sim_store_count_keys(sim->store, "w/task/");
}

guint
sim_count_unrecorded_machines(const Sim *sim)
{
  guint count = 0;
  for (guint i = 0; i < sim->machines->len; i++) {
    const Machine *machine = g_ptr_array_index(sim->machines, i);
    count
        += !machine->returned && !sim_store_lists_name(sim->store, "w/lot/", machine->worker->name);
  }
  return count;
}

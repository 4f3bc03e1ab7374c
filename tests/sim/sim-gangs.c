/**
 * Gangs of the simulated cluster: their tasks wait for each other, run, save and end together.
 */
#include "sim/sim-private.h"

#include <string.h>

#define GANG_WAIT_MS 30000
#define GANG_PEER_MS 5000

typedef struct {
  Machine *machine;
  SimTask *task;
} Member;

/* The tasks of the gang that are on machines, or fetch their image. */
static GArray *
find_members(const Sim *sim, const Job *job)
{
  GArray *members = g_array_new(FALSE, FALSE, sizeof(Member));
  for (guint i = 0; i < sim->machines->len; i++) {
    Machine *machine = g_ptr_array_index(sim->machines, i);
    for (guint k = 0; k < machine->worker->tasks->len; k++) {
      Member member = { machine, &g_array_index(machine->worker->tasks, SimTask, k) };
      if (strcmp(member.task->job, job->id) == 0 && strcmp(member.task->state, "exited") != 0)
        g_array_append_val(members, member);
    }
  }
  return members;
}

static void
send_heartbeat_soon(const Sim *sim, Machine *machine)
{
  machine->next_heartbeat_ms = MIN(machine->next_heartbeat_ms, sim->now_ms + 500);
}

static void
exit_member(const Sim *sim, const Member *member, const char *why)
{
  member->task->state = "exited";
  member->task->why = why;
  send_heartbeat_soon(sim, member->machine);
}

static gboolean
can_act(const Sim *sim, const Member *member)
{
  return sim_is_up(sim, member->machine) && !sim_is_stalled(sim, member->machine);
}

/* An invariant beside those of the protocol: one attempt at a time occupies slots. */
void
sim_check_one_attempt(const Sim *sim, const SimTask *task)
{
  const Job *job = sim_find_job(sim, task->job);
  g_autoptr(GArray) members = find_members(sim, job);
  for (guint i = 0; i < members->len; i++) {
    const SimTask *other = g_array_index(members, Member, i).task;
    if (sim_task_occupies_slot(other) && other->attempt != task->attempt)
      g_error("seed %u, %.1f s: two attempts of gang %s", sim->seed, sim_now_s(sim), job->id);
  }
}

void
sim_gang_handle_ready_task(const Sim *sim, Machine *machine, SimTask *task)
{
  task->state = "gathering";
  task->gathered_ms = sim->now_ms;
  send_heartbeat_soon(sim, machine);
}

static guint
count_members(const Sim *sim, const GArray *members, guint64 attempt, const char *state)
{
  guint count = 0;
  for (guint i = 0; i < members->len; i++) {
    const Member *member = &g_array_index(members, Member, i);
    count += member->task->attempt == attempt && strcmp(member->task->state, state) == 0
                     && can_act(sim, member)
                 ? 1
                 : 0;
  }
  return count;
}

static void
start_attempt(Sim *sim, Job *job, const GArray *members, guint64 attempt)
{
  Gang *gang = &job->gang;
  gang->attempt = attempt;
  gang->started_ms = sim->now_ms;
  gang->stopped_ms = 0;
  gang->lost_ms = 0;
  gang->is_over = FALSE;
  gang->starts++;
  job->has_started = TRUE;
  for (guint i = 0; i < members->len; i++) {
    const Member *member = &g_array_index(members, Member, i);
    if (member->task->attempt != attempt)
      continue;
    member->task->state = "running";
    member->task->save_ms = (gint64)(SIM_SAVE_DURATION_S * 1000.0);
    send_heartbeat_soon(sim, member->machine);
  }
}

static void
step_waiting(Sim *sim, Job *job, const GArray *members)
{
  for (guint i = 0; i < members->len; i++) {
    const Member *member = &g_array_index(members, Member, i);
    if (strcmp(member->task->state, "gathering") != 0 || !can_act(sim, member))
      continue;
    guint64 attempt = member->task->attempt;
    if (count_members(sim, members, attempt, "gathering") == job->spec.tasks) {
      start_attempt(sim, job, members, attempt);
      return;
    }
    if (sim->now_ms - member->task->gathered_ms > GANG_WAIT_MS)
      exit_member(sim, member, "incomplete");
  }
}

static gint64
progress(const Sim *sim, const Job *job)
{
  const Gang *gang = &job->gang;
  gint64 until_ms = gang->stopped_ms > 0 ? gang->stopped_ms : sim->now_ms;
  return gang->progress_ms + until_ms - gang->started_ms;
}

/* What was done since the last checkpoint is lost. */
static void
lose_attempt(const Sim *sim, Job *job)
{
  gint64 checkpoint_ms = (gint64)(SIM_CHECKPOINT_INTERVAL_S * 1000.0);
  job->gang.progress_ms
      = MAX(job->gang.progress_ms, progress(sim, job) / checkpoint_ms * checkpoint_ms);
  job->gang.is_over = TRUE;
  job->gang.losses++;
}

static void
finish(Sim *sim, Job *job, const GArray *members)
{
  for (guint i = 0; i < members->len; i++) {
    const Member *member = &g_array_index(members, Member, i);
    if (member->task->attempt == job->gang.attempt)
      exit_member(sim, member, "done");
  }
  memset(job->completed, 1, job->spec.tasks);
  job->gang.is_over = TRUE;
}

/* Saved together, or not at all. */
static void
step_stop(Sim *sim, Job *job, const GArray *members)
{
  Gang *gang = &job->gang;
  guint saving = count_members(sim, members, gang->attempt, "flushing");
  gboolean is_late = sim->now_ms - gang->stopped_ms > GANG_PEER_MS;
  gboolean all_saved = saving == job->spec.tasks;
  for (guint i = 0; all_saved && i < members->len; i++)
    all_saved = sim->now_ms >= g_array_index(members, Member, i).task->next_ms;
  if (!all_saved && !is_late)
    return;
  if (all_saved) {
    gang->progress_ms = progress(sim, job);
    gang->is_over = TRUE;
    gang->saves++;
  } else {
    lose_attempt(sim, job);
  }
  for (guint i = 0; i < members->len; i++) {
    const Member *member = &g_array_index(members, Member, i);
    if (member->task->attempt != gang->attempt || !can_act(sim, member))
      continue;
    gboolean was_saving = strcmp(member->task->state, "flushing") == 0;
    member->task->saved = all_saved;
    exit_member(sim, member, was_saving ? "stopped" : "peers");
  }
}

/* The others notice a loss after a while. */
static void
step_loss(Sim *sim, Job *job, const GArray *members)
{
  Gang *gang = &job->gang;
  if (gang->lost_ms == 0)
    gang->lost_ms = sim->now_ms;
  if (sim->now_ms - gang->lost_ms < GANG_PEER_MS / 2)
    return;
  if (!gang->is_over)
    lose_attempt(sim, job);
  for (guint i = 0; i < members->len; i++) {
    const Member *member = &g_array_index(members, Member, i);
    if (member->task->attempt == gang->attempt && can_act(sim, member))
      exit_member(sim, member, "peers");
  }
}

static void
step_running(Sim *sim, Job *job, const GArray *members)
{
  Gang *gang = &job->gang;
  guint running = count_members(sim, members, gang->attempt, "running");
  guint saving = count_members(sim, members, gang->attempt, "flushing");
  if (running + saving < job->spec.tasks || gang->lost_ms > 0) {
    step_loss(sim, job, members);
    return;
  }
  if (saving > 0 && gang->stopped_ms == 0)
    gang->stopped_ms = sim->now_ms;
  if (gang->stopped_ms > 0)
    step_stop(sim, job, members);
  else if (progress(sim, job) >= (gint64)(job->spec.run_s * 1000.0))
    finish(sim, job, members);
}

void
sim_step_gang(Sim *sim, Job *job)
{
  if (!job->spec.gang)
    return;
  g_autoptr(GArray) members = find_members(sim, job);
  guint left = 0;
  for (guint i = 0; i < members->len; i++)
    left += g_array_index(members, Member, i).task->attempt == job->gang.attempt ? 1 : 0;
  if (job->gang.attempt > 0 && (!job->gang.is_over || left > 0))
    step_running(sim, job, members);
  else
    step_waiting(sim, job, members);
}

static const Gang *
gang_of(const Sim *sim, guint job)
{
  return &((const Job *)g_ptr_array_index(sim->jobs, job))->gang;
}

guint
sim_gang_starts(const Sim *sim, guint job)
{
  return gang_of(sim, job)->starts;
}

guint
sim_gang_losses(const Sim *sim, guint job)
{
  return gang_of(sim, job)->losses;
}

guint
sim_gang_saves(const Sim *sim, guint job)
{
  return gang_of(sim, job)->saves;
}

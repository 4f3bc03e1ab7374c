/* Queue order: the order in which waiting jobs are placed. */
#include "scheduling/ws-queue.h"

#include "commit/ws-commit.h"
#include "workers/ws-workers.h"

/* A job is late only if it would exceed its time limit even when it took just this share of its
   estimated run time. */
#define OPTIMISTIC_RUN_TIME_SHARE 0.6
/* A late job is slightly late up to this multiple of its time limit. */
#define SLIGHTLY_LATE_FACTOR 1.5
/* Aging: each second of waiting reduces the remaining work by this many seconds, so that large jobs
   don't starve. */
#define WORK_CREDIT_PER_WAITED_S 5.0
/* A job that has waited for both this time and this multiple of its time limit is no longer
   classified as late. */
#define MAX_LATE_WAIT_S 150.0
#define MAX_LATE_WAIT_FACTOR 2.0
/* Each job has one protected task, plus one for every full group of this many tasks. */
#define TASKS_PER_PROTECTED_TASK 8

static gint
compare_by_age(gconstpointer a, gconstpointer b)
{
  const WsQueueEntry *first = a, *second = b;
  if (first->job->accepted_ms < second->job->accepted_ms)
    return -1;
  return first->job->accepted_ms > second->job->accepted_ms;
}

static double
waited_s(const WsCore *core, const WsJob *job)
{
  return (double)(core->wall_ms - job->accepted_ms) / 1000.0;
}

static gboolean
is_within_guarantee(const WsResources *need, const WsResources *guarantee)
{
  return (guarantee->cpus > 0 || guarantee->gpus > 0)
         && (guarantee->cpus == 0 || need->cpus <= guarantee->cpus)
         && (guarantee->gpus == 0 || need->gpus <= guarantee->gpus);
}

/* Returns the shortest time in which @tasks tasks of the job can finish, given that its team's
   limit may let only some of them run at the same time. */
static double
min_duration_s(const WsCore *core, const WsJob *job, guint tasks)
{
  const WsTeamSettings *team = g_ptr_array_index(core->settings->teams, job->team);
  const WsResources *need = &job->spec->need;
  gint64 parallelism = tasks;
  if (team->limit.gpus > 0 && need->gpus > 0)
    parallelism = MIN(parallelism, team->limit.gpus / need->gpus);
  if (team->limit.cpus > 0 && need->cpus > 0)
    parallelism = MIN(parallelism, team->limit.cpus / need->cpus);
  guint rounds = (tasks + (guint)parallelism - 1) / MAX((guint)parallelism, 1u);
  return ws_estimator_run_time_s(core, job) * rounds;
}

guint
ws_queue_count_protected_tasks(const WsJob *job)
{
  return 1 + job->tasks / TASKS_PER_PROTECTED_TASK;
}

gboolean
ws_queue_is_overdue(const WsCore *core, const WsJob *job)
{
  return waited_s(core, job) > WS_QUEUE_MAX_START_DELAY_S && job->assigned_count == 0
         && job->completed_count == 0;
}

static WsLateness
predict_lateness(const WsCore *core, const WsJob *job)
{
  double allowed_s = ws_job_time_limit_s(core->replica, job);
  guint tasks_left = job->tasks - job->completed_count;
  double end_s
      = waited_s(core, job) + OPTIMISTIC_RUN_TIME_SHARE * min_duration_s(core, job, tasks_left);
  if (allowed_s < 0.0
      || waited_s(core, job) >= MAX(MAX_LATE_WAIT_S, MAX_LATE_WAIT_FACTOR * allowed_s))
    return WS_ON_TIME;
  if (end_s <= allowed_s)
    return WS_ON_TIME;
  return end_s <= SLIGHTLY_LATE_FACTOR * allowed_s ? WS_SLIGHTLY_LATE : WS_LATE;
}

static WsQueueEntry
make_entry(const WsCore *core, WsJob *job)
{
  guint unassigned = job->tasks - job->completed_count - job->assigned_count;
  return (WsQueueEntry){
    .job = job,
    .lateness = predict_lateness(core, job),
    .is_overdue = ws_queue_is_overdue(core, job),
    .remaining_work_s = ws_estimator_run_time_s(core, job) * unassigned
                        - WORK_CREDIT_PER_WAITED_S * waited_s(core, job),
  };
}

/* Records for each job whether it is within its team's guarantee: the job and all older open jobs
   of the team together need no more than is guaranteed. */
static void
record_guarantees(const WsCore *core, const GArray *entries_by_age)
{
  const GPtrArray *teams = core->settings->teams;
  g_autofree WsResources *sums = g_new0(WsResources, MAX(teams->len, 1u));
  for (guint i = 0; i < entries_by_age->len; i++) {
    WsJob *job = g_array_index(entries_by_age, WsQueueEntry, i).job;
    const WsTeamSettings *team = g_ptr_array_index(teams, job->team);
    WsResources *sum = &sums[job->team];
    ws_resources_add(sum, &job->spec->need, job->tasks);
    job->status.is_guaranteed = is_within_guarantee(sum, &team->guarantee);
  }
}

/* Returns the open jobs, the oldest first. */
static GArray *
collect_open_jobs(const WsCore *core)
{
  const WsReplica *replica = core->replica;
  GArray *entries = g_array_new(FALSE, FALSE, sizeof(WsQueueEntry));
  for (guint i = 0; i < replica->active_jobs->len; i++) {
    WsJob *job = g_ptr_array_index(replica->active_jobs, i);
    if (job->state != WS_JOB_ACTIVE || ws_cancellations_has_job(core, job)
        || job->team == WS_NO_TEAM)
      continue;
    WsQueueEntry entry = make_entry(core, job);
    g_array_append_val(entries, entry);
  }
  g_array_sort(entries, compare_by_age);
  return entries;
}

/* Orders critical jobs first, since users wait for them. Overdue jobs follow, the oldest first,
   then jobs within guarantees, then the other jobs; both by priority. Among equals, jobs that can
   still be on time come before late ones, and jobs with less remaining work before those with more:
   when capacity is scarce, this order makes the fewest jobs late. */
static gint
compare_by_urgency(gconstpointer a, gconstpointer b)
{
  const WsQueueEntry *first = a, *second = b;
  const WsJobSpec *first_spec = first->job->spec, *second_spec = second->job->spec;
  gint critical = (second_spec->priority == WS_CRITICAL) - (first_spec->priority == WS_CRITICAL);
  if (critical != 0)
    return critical;
  if (first->is_overdue != second->is_overdue)
    return first->is_overdue ? -1 : 1;
  if (first->is_overdue)
    return compare_by_age(a, b);
  if (first->job->status.is_guaranteed != second->job->status.is_guaranteed)
    return first->job->status.is_guaranteed ? -1 : 1;
  if (first_spec->priority != second_spec->priority)
    return first_spec->priority < second_spec->priority ? -1 : 1;
  if (first->lateness != second->lateness)
    return first->lateness < second->lateness ? -1 : 1;
  if (first->remaining_work_s != second->remaining_work_s)
    return first->remaining_work_s < second->remaining_work_s ? -1 : 1;
  return compare_by_age(a, b);
}

GArray *
ws_queue_build(const WsCore *core)
{
  GArray *entries = collect_open_jobs(core);
  record_guarantees(core, entries);
  g_array_sort(entries, compare_by_urgency);
  return entries;
}

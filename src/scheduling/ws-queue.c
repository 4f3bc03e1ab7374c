/* In which order waiting work is placed. */
#include "scheduling/ws-scheduling.h"

#include "commit/ws-commit.h"
#include "workers/ws-workers.h"

/* A job is given up as late only if it would be late at this part of its estimated time. */
#define OPTIMISTIC_RUN_TIME_SHARE 0.6
/* Seconds of work that a second of waiting outweighs, so that large jobs don't starve. */
#define PATIENCE 5.0
/* A job that is still not done after so long isn't given up as late any more. */
#define NOT_GIVEN_UP_S 150.0

/* A job is within its team's guarantee when it fits there with the team's earlier open jobs. */
static gint
by_age(gconstpointer a, gconstpointer b)
{
  const WsWaiting *first = a, *second = b;
  return first->job->accepted_ms < second->job->accepted_ms
             ? -1
             : first->job->accepted_ms > second->job->accepted_ms;
}

static gboolean
within(const WsResources *need, const WsResources *guarantee)
{
  return (guarantee->cpus > 0 || guarantee->gpus > 0)
         && (guarantee->cpus == 0 || need->cpus <= guarantee->cpus)
         && (guarantee->gpus == 0 || need->gpus <= guarantee->gpus);
}

/* How long the job still takes at best: its team's limit lets only so many tasks run at once. */
static double
shortest_s(const WsCore *core, const WsJob *job, guint left)
{
  const WsTeamSettings *team = g_ptr_array_index(core->settings->teams, job->team);
  const WsResources *need = &job->spec->need;
  gint64 at_once = left;
  if (team->limit.gpus > 0 && need->gpus > 0)
    at_once = MIN(at_once, team->limit.gpus / need->gpus);
  if (team->limit.cpus > 0 && need->cpus > 0)
    at_once = MIN(at_once, team->limit.cpus / need->cpus);
  guint rounds = (left + (guint)at_once - 1) / MAX((guint)at_once, 1u);
  return ws_estimator_run_s(core, job) * rounds;
}

guint
ws_queue_protected_tasks(const WsJob *job)
{
  return 1 + job->tasks / 8;
}

gboolean
ws_queue_is_overdue(const WsCore *core, const WsJob *job)
{
  double waited_s = (double)(core->wall - job->accepted_ms) / 1000.0;
  return waited_s > WS_BEGIN_WITHIN_S && job->assigned_count == 0 && job->completed_count == 0;
}

static void
foresee(const WsCore *core, WsWaiting *waiting)
{
  const WsJob *job = waiting->job;
  double within_s = ws_job_allowed_s(core->replica, job);
  guint left = job->tasks - job->completed_count;
  double waited_s = (double)(core->wall - job->accepted_ms) / 1000.0;
  double end_s = waited_s + OPTIMISTIC_RUN_TIME_SHARE * shortest_s(core, job, left);
  waiting->weight
      = ws_estimator_run_s(core, job) * (left - job->assigned_count) - PATIENCE * waited_s;
  waiting->is_overdue = ws_queue_is_overdue(core, job);
  if (within_s >= 0.0 && waited_s < MAX(NOT_GIVEN_UP_S, 2.0 * within_s))
    waiting->lateness = end_s <= within_s ? 0 : end_s <= 1.5 * within_s ? 1 : 2;
}

static GArray *
open_jobs(const WsCore *core)
{
  const WsReplica *replica = core->replica;
  GArray *jobs = g_array_new(FALSE, FALSE, sizeof(WsWaiting));
  for (guint i = 0; i < replica->active->len; i++) {
    WsJob *job = g_ptr_array_index(replica->active, i);
    if (job->state != WS_JOB_ACTIVE || ws_cancellations_has(core, job) || job->team == WS_NO_TEAM)
      continue;
    WsWaiting waiting = { .job = job };
    foresee(core, &waiting);
    g_array_append_val(jobs, waiting);
  }
  g_array_sort(jobs, by_age);
  g_autofree WsResources *sums = g_new0(WsResources, MAX(core->settings->teams->len, 1u));
  for (guint i = 0; i < jobs->len; i++) {
    WsWaiting *waiting = &g_array_index(jobs, WsWaiting, i);
    const WsTeamSettings *team = g_ptr_array_index(core->settings->teams, waiting->job->team);
    ws_resources_add(&sums[waiting->job->team], &waiting->job->spec->need, waiting->job->tasks);
    waiting->job->status.is_guaranteed = within(&sums[waiting->job->team], &team->guarantee);
  }
  return jobs;
}

/* Critical work first: it is what people wait for; then guarantees and priority. Of the rest, what
   can still be in time goes before what can't, and less work before more: when there isn't room for
   everything, that makes the fewest late. */
static gint
by_urgency(gconstpointer a, gconstpointer b)
{
  const WsWaiting *first = a, *second = b;
  gint critical
      = (second->job->spec->priority == WS_CRITICAL) - (first->job->spec->priority == WS_CRITICAL);
  if (critical != 0)
    return critical;
  if (first->is_overdue != second->is_overdue)
    return first->is_overdue ? -1 : 1;
  if (first->is_overdue)
    return by_age(a, b);
  if (first->job->status.is_guaranteed != second->job->status.is_guaranteed)
    return first->job->status.is_guaranteed ? -1 : 1;
  if (first->job->spec->priority != second->job->spec->priority)
    return first->job->spec->priority < second->job->spec->priority ? -1 : 1;
  if (first->lateness != second->lateness)
    return first->lateness < second->lateness ? -1 : 1;
  if (first->weight != second->weight)
    return first->weight < second->weight ? -1 : 1;
  return by_age(a, b);
}

GArray *
ws_queue_jobs(const WsCore *core)
{
  GArray *jobs = open_jobs(core);
  g_array_sort(jobs, by_urgency);
  return jobs;
}

/* How much a task takes of the capacity that a demand counts on. */
#include "scheduling/ws-demand-private.h"

#include "commit/ws-commit.h"

/* Without a deadline or an objective an array's tasks may follow each other for this long. */
#define DEFAULT_SLACK_S 100.0
/* The least part of a slot that a task takes, whatever its slack. */
#define MIN_SHARE 0.2
/* A task keeps its slot for longer than its run time by this much. */
#define TASK_OVERHEAD_S 5.0
/* Estimates of the run time are raised by this for what must be over by a deadline. */
#define RUN_TIME_MARGIN 1.2
/* Some machines take twice as long to boot as others. A critical task that must wait for one gets
   the first of several, where boots are long enough to be worth it; arrays use the rest. */
#define SHORT_BOOT_S 30.0
#define LONG_BOOT_S 60.0
#define LONG_BOOT_SPARES_PER_TASK 1.0
/* Estimates are often wrong by half, so only a part of the slack is counted on: less of it where a
   class has one time for all its jobs, whatever their size, than where each job has its own. */
#define USED_JOB_SLACK 0.7
#define USED_CLASS_SLACK 0.4
/* How soon tasks should begin isn't an estimate, but many jobs may come at once. */
#define USED_BEGIN_SLACK 0.5
/* A job without a deadline counts on the slots of running tasks if it can wait for this part of its
   run time. */
#define MIN_WAIT_SHARE 0.5

/* How long a task of the job may still wait for a slot, if a machine had to boot for it. */
static double
slack_s(const WsDemand *demand, const WsJob *job)
{
  const WsCore *core = demand->core;
  double allowed_s = ws_job_time_limit_s(core->replica, job);
  double begin_s = ws_settings_begin_within(core->settings, job->spec->class_name);
  double used_s = (double)(core->wall - job->accepted_ms) / 1000.0
                  + ws_replica_type(core->replica, 0)->boot_s;
  double end_s
      = RUN_TIME_MARGIN * ws_estimator_run_s(core, job) + ws_job_image_fetch_s(core->replica, job);
  double part = job->spec->deadline_s >= 0.0 ? USED_JOB_SLACK : USED_CLASS_SLACK;
  double slack_s = allowed_s >= 0.0 ? part * (allowed_s - used_s - end_s) : DEFAULT_SLACK_S;
  if (begin_s >= 0.0)
    slack_s = MIN(slack_s, USED_BEGIN_SLACK * (begin_s - used_s));
  return MAX(0.0, slack_s);
}

guint
ws_demand_with_spares(const WsDemand *demand, const WsJob *job, guint tasks)
{
  if (job->spec->priority != WS_CRITICAL)
    return tasks;
  double boot_s = ws_replica_type(demand->core->replica, 0)->boot_s;
  double length = (boot_s - SHORT_BOOT_S) / (LONG_BOOT_S - SHORT_BOOT_S);
  return tasks + (guint)(tasks * LONG_BOOT_SPARES_PER_TASK * CLAMP(length, 0.0, 1.0));
}

WsResources
ws_demand_share(const WsDemand *demand, const WsJob *job)
{
  WsResources need = job->spec->need;
  if (job->spec->kind != WS_KIND_ARRAY)
    return need;
  double run_s = ws_estimator_run_s(demand->core, job) + TASK_OVERHEAD_S;
  double share = MAX(MIN_SHARE, run_s / (run_s + slack_s(demand, job)));
  need.cpus = (gint64)((double)need.cpus * share);
  need.gpus = (gint64)((double)need.gpus * share);
  need.memory = (gint64)((double)need.memory * share);
  return need;
}

gboolean
ws_demand_can_wait_for_running(const WsDemand *demand, const WsJob *job)
{
  if (job->spec->kind != WS_KIND_ARRAY)
    return FALSE;
  return job->spec->deadline_s >= 0.0
         || slack_s(demand, job) >= MIN_WAIT_SHARE * ws_estimator_run_s(demand->core, job);
}

/* How much of a machine's capacity the demand reckons for each task. */
#include "scheduling/ws-demand-private.h"

#include "commit/ws-commit.h"

/* The slack of an array without a deadline or an objective: for so long its tasks may run one after
   another in the same slot. */
#define DEFAULT_SLACK_S 100.0
/* The smallest share of a slot that a task takes, however large its slack is. */
#define MIN_SHARE 0.2
/* A task occupies its slot for this much longer than its run time. */
#define TASK_OVERHEAD_S 5.0
/* Estimated run times are multiplied by this where a deadline must be met. */
#define RUN_TIME_MARGIN 1.2
/* Some machines take twice as long to boot as others. Where boots are long, several machines are
   rented for a critical task that must wait for one: it gets the first that is up, and arrays use
   the others. */
#define SHORT_BOOT_S 30.0
#define LONG_BOOT_S 60.0
#define LONG_BOOT_SPARES_PER_TASK 1.0
/* Estimates are often wrong by half, so only a share of the slack is used: a smaller one where all
   jobs of a class have the same time limit, whatever their size, than where each job has a deadline
   of its own. */
#define USED_JOB_SLACK 0.7
#define USED_CLASS_SLACK 0.4
/* The same for the time by which tasks should begin. That isn't an estimate, but many jobs may be
   submitted at once. */
#define USED_BEGIN_SLACK 0.5
/* A job without a deadline may wait for slots of running tasks if its slack is at least this share
   of its run time. */
#define MIN_WAIT_SHARE 0.5

/* How long a task of the job may still wait for a slot and finish in time, even if a machine has to
   boot for it. */
static double
slack_s(const WsDemand *demand, const WsJob *job)
{
  const WsCore *core = demand->core;
  double allowed_s = ws_job_time_limit_s(core->replica, job);
  double begin_s = ws_settings_start_objective_s(core->settings, job->spec->class_name);
  double used_s = (double)(core->wall - job->accepted_ms) / 1000.0
                  + ws_replica_type(core->replica, 0)->boot_s;
  double end_s = RUN_TIME_MARGIN * ws_estimator_run_time_s(core, job)
                 + ws_job_image_fetch_s(core->replica, job);
  double used_share = job->spec->deadline_s >= 0.0 ? USED_JOB_SLACK : USED_CLASS_SLACK;
  double slack_s = allowed_s >= 0.0 ? used_share * (allowed_s - used_s - end_s) : DEFAULT_SLACK_S;
  if (begin_s >= 0.0)
    slack_s = MIN(slack_s, USED_BEGIN_SLACK * (begin_s - used_s));
  return MAX(0.0, slack_s);
}

guint
ws_demand_count_slots_wanted(const WsDemand *demand, const WsJob *job, guint tasks)
{
  if (job->spec->priority != WS_CRITICAL)
    return tasks;
  double boot_s = ws_replica_type(demand->core->replica, 0)->boot_s;
  double length = (boot_s - SHORT_BOOT_S) / (LONG_BOOT_S - SHORT_BOOT_S);
  return tasks + (guint)(tasks * LONG_BOOT_SPARES_PER_TASK * CLAMP(length, 0.0, 1.0));
}

WsResources
ws_demand_amortized_need(const WsDemand *demand, const WsJob *job)
{
  WsResources need = job->spec->need;
  if (job->spec->kind != WS_KIND_ARRAY)
    return need;
  double run_s = ws_estimator_run_time_s(demand->core, job) + TASK_OVERHEAD_S;
  double share = MAX(MIN_SHARE, run_s / (run_s + slack_s(demand, job)));
  need.cpus = (gint64)((double)need.cpus * share);
  need.gpus = (gint64)((double)need.gpus * share);
  need.memory = (gint64)((double)need.memory * share);
  return need;
}

gboolean
ws_demand_can_wait_for_running_tasks(const WsDemand *demand, const WsJob *job)
{
  if (job->spec->kind != WS_KIND_ARRAY)
    return FALSE;
  return job->spec->deadline_s >= 0.0
         || slack_s(demand, job) >= MIN_WAIT_SHARE * ws_estimator_run_time_s(demand->core, job);
}

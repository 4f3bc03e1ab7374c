/* How much capacity a demand plans for each task. */
#include "scheduling/ws-demand-private.h"

#include "commit/ws-commit.h"

/* The slack of an array without a deadline or an objective: the time in which its tasks may run one
   after another in the same slot. */
#define DEFAULT_ARRAY_SLACK_S 100.0
/* The smallest share of a slot that is planned for a task, regardless of its slack. */
#define MIN_SLOT_SHARE 0.2
/* A task occupies its slot for this time in addition to its run time. */
#define SLOT_OVERHEAD_PER_TASK_S 5.0
/* Safety factor on the estimated run time when the slack before a time limit is computed. */
#define RUN_TIME_SAFETY_FACTOR 1.2
/* Some machines take twice as long to boot as others. Where boots take long, spare machines are
   rented for each critical task that must wait for a boot: the task uses the first machine that is
   up, and arrays use the others. The number of spares grows linearly from none at SHORT_BOOT_S to
   LONG_BOOT_SPARES_PER_TASK at LONG_BOOT_S. */
#define SHORT_BOOT_S 30.0
#define LONG_BOOT_S 60.0
#define LONG_BOOT_SPARES_PER_TASK 1.0
/* Estimates are often wrong by half, so only a share of the slack is used. The share is smaller for
   a time limit of the job's class, which ignores the size of the job, than for a deadline of the
   job itself. */
#define USED_JOB_SLACK_SHARE 0.7
#define USED_CLASS_SLACK_SHARE 0.4
/* The share that is used of the slack until the time by which tasks should start. That time isn't
   an estimate, but many jobs may be submitted at once. */
#define USED_START_SLACK_SHARE 0.5
/* A job without a deadline may wait for the slots of running tasks if its slack is at least this
   share of its run time. */
#define MIN_SLACK_PER_RUN_TIME 0.5

/* Returns how long a task of the job can still wait for a slot and finish in time, even if a
   machine has to boot for it. */
static double
task_slack_s(const WsDemand *demand, const WsJob *job)
{
  const WsCore *core = demand->core;
  double allowed_s = ws_job_time_limit_s(core->replica, job);
  double start_objective_s = ws_settings_start_objective_s(core->settings, job->spec->class_name);
  double earliest_start_s = (double)(core->wall_ms - job->accepted_ms) / 1000.0
                            + ws_replica_type(core->replica, 0)->boot_s;
  double run_and_fetch_s = RUN_TIME_SAFETY_FACTOR * ws_estimator_run_time_s(core, job)
                           + ws_job_image_fetch_s(core->replica, job);
  double used_share = job->spec->deadline_s >= 0.0 ? USED_JOB_SLACK_SHARE : USED_CLASS_SLACK_SHARE;
  double slack_s = allowed_s >= 0.0 ? used_share * (allowed_s - earliest_start_s - run_and_fetch_s)
                                    : DEFAULT_ARRAY_SLACK_S;
  if (start_objective_s >= 0.0)
    slack_s = MIN(slack_s, USED_START_SLACK_SHARE * (start_objective_s - earliest_start_s));
  return MAX(0.0, slack_s);
}

guint
ws_demand_count_slots_wanted(const WsDemand *demand, const WsJob *job, guint tasks)
{
  if (job->spec->priority != WS_CRITICAL)
    return tasks;
  double boot_s = ws_replica_type(demand->core->replica, 0)->boot_s;
  double spare_share = (boot_s - SHORT_BOOT_S) / (LONG_BOOT_S - SHORT_BOOT_S);
  return tasks + (guint)(tasks * LONG_BOOT_SPARES_PER_TASK * CLAMP(spare_share, 0.0, 1.0));
}

WsResources
ws_demand_amortized_need(const WsDemand *demand, const WsJob *job)
{
  WsResources need = job->spec->need;
  if (job->spec->kind != WS_KIND_ARRAY)
    return need;
  double run_s = ws_estimator_run_time_s(demand->core, job) + SLOT_OVERHEAD_PER_TASK_S;
  double share = MAX(MIN_SLOT_SHARE, run_s / (run_s + task_slack_s(demand, job)));
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
         || task_slack_s(demand, job)
                >= MIN_SLACK_PER_RUN_TIME * ws_estimator_run_time_s(demand->core, job);
}

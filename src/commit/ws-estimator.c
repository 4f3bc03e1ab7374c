/* The run-time estimator: compares the run times of a class's tasks with the estimates of their
   owners. On some days most estimates are too high, on others too low. Only the leader, which
   writes all releases, has the run times. */
#include "commit/ws-commit.h"

#include "commit/ws-releases-private.h"

#define MIN_TASKS 20
#define MIN_FACTOR 0.5
#define MAX_FACTOR 2.0
/* The time between an assignment and its launch on the machine. */
#define LAUNCH_DELAY_S 2.0
/* Only some of the tasks have waited for their image: so much of its fetch is subtracted. */
#define IMAGE_FETCH_SHARE 0.5

typedef struct {
  guint tasks;
  double ran_s;
  double estimated_s;
} ClassRunTimes;

struct _WsEstimator {
  GHashTable *classes; /* class name -> ClassRunTimes */
};

WsEstimator *
ws_estimator_new(void)
{
  WsEstimator *estimator = g_new0(WsEstimator, 1);
  estimator->classes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return estimator;
}

void
ws_estimator_free(WsEstimator *estimator)
{
  g_hash_table_unref(estimator->classes);
  g_free(estimator);
}

void
ws_estimator_add_run_time(WsCore *core, const WsJob *job, const WsAssignment *assignment)
{
  /* A large record leaves out when its tasks were assigned. */
  gboolean is_timed = assignment->assigned_ms > 0;
  if (job->spec->estimate_s <= 0.0 || !is_timed || core->replica->catalog == NULL)
    return;
  ClassRunTimes *run_times = g_hash_table_lookup(core->estimator->classes, job->spec->class_name);
  if (run_times == NULL) {
    run_times = g_new0(ClassRunTimes, 1);
    g_hash_table_insert(core->estimator->classes, g_strdup(job->spec->class_name), run_times);
  }
  double elapsed_s = (double)(core->wall - assignment->assigned_ms) / 1000.0;
  run_times->tasks++;
  double fetch_s = IMAGE_FETCH_SHARE * ws_job_image_fetch_s(core->replica, job);
  run_times->ran_s += MAX(elapsed_s - LAUNCH_DELAY_S - fetch_s, 0.0);
  run_times->estimated_s += job->spec->estimate_s;
}

double
ws_estimator_run_time_s(const WsCore *core, const WsJob *job)
{
  const ClassRunTimes *run_times
      = g_hash_table_lookup(core->estimator->classes, job->spec->class_name);
  if (run_times == NULL || run_times->tasks < MIN_TASKS)
    return job->spec->estimate_s;
  return job->spec->estimate_s
         * CLAMP(run_times->ran_s / run_times->estimated_s, MIN_FACTOR, MAX_FACTOR);
}

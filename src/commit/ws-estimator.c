/* The run-time estimator: corrects users' estimates by the ratio of measured to estimated run times
   of completed tasks of the same class. Users' estimates are biased, and the bias changes over
   time: most are too high for a while, then most are too low. Only the leader collects run times,
   since it commits all releases. */
#include "commit/ws-commit.h"

#include "commit/ws-releases-private.h"

/* Completed tasks of a class that are needed before its estimates are corrected. */
#define MIN_SAMPLED_TASKS 20
/* Limits of the correction. */
#define MIN_CORRECTION_FACTOR 0.5
#define MAX_CORRECTION_FACTOR 2.0
/* Typical delay between the assignment of a task and its launch. */
#define LAUNCH_DELAY_S 2.0
/* Fraction of the image fetch time to subtract, since only some tasks wait for their image. */
#define IMAGE_FETCH_FRACTION 0.5

typedef struct {
  guint tasks;
  double total_run_s;
  double total_estimate_s;
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
  /* Large chunk records omit the assignment times. */
  gboolean is_timed = assignment->assigned_ms > 0;
  if (job->spec->estimate_s <= 0.0 || !is_timed || core->replica->catalog == NULL)
    return;
  ClassRunTimes *run_times = g_hash_table_lookup(core->estimator->classes, job->spec->class_name);
  if (run_times == NULL) {
    run_times = g_new0(ClassRunTimes, 1);
    g_hash_table_insert(core->estimator->classes, g_strdup(job->spec->class_name), run_times);
  }
  double elapsed_s = (double)(core->wall_ms - assignment->assigned_ms) / 1000.0;
  run_times->tasks++;
  double fetch_s = IMAGE_FETCH_FRACTION * ws_job_image_fetch_s(core->replica, job);
  run_times->total_run_s += MAX(elapsed_s - LAUNCH_DELAY_S - fetch_s, 0.0);
  run_times->total_estimate_s += job->spec->estimate_s;
}

double
ws_estimator_run_time_s(const WsCore *core, const WsJob *job)
{
  const ClassRunTimes *run_times
      = g_hash_table_lookup(core->estimator->classes, job->spec->class_name);
  if (run_times == NULL || run_times->tasks < MIN_SAMPLED_TASKS)
    return job->spec->estimate_s;
  return job->spec->estimate_s
         * CLAMP(run_times->total_run_s / run_times->total_estimate_s, MIN_CORRECTION_FACTOR,
                 MAX_CORRECTION_FACTOR);
}

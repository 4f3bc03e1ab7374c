/* How long tasks of a class run, against what their owners estimate: on some days most estimates
   are too high, on others too low. The leader, who writes the ends of all tasks, learns it. */
#include "commit/ws-commit.h"

#define ENOUGH_TASKS 20
#define LEAST_FACTOR 0.5
#define MOST_FACTOR 2.0
/* What passes between an assignment and its start on the machine. */
#define ON_THE_WAY_S 2.0

typedef struct {
  guint tasks;
  double ran_s;
  double estimated_s;
} ClassRunTimes;

GHashTable *
ws_estimator_new(void)
{
  return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/* Some of the tasks have waited for their image, so half of its fetch is taken off. */
void
ws_estimator_add(WsCore *core, const WsJob *job, const WsAssignment *assignment)
{
  /* A large record leaves out when its tasks were assigned. */
  gboolean is_timed = assignment->assigned_ms > 0;
  if (job->spec->estimate_s <= 0.0 || !is_timed || core->replica->catalog == NULL)
    return;
  ClassRunTimes *learned = g_hash_table_lookup(core->estimator, job->spec->class_name);
  if (learned == NULL) {
    learned = g_new0(ClassRunTimes, 1);
    g_hash_table_insert(core->estimator, g_strdup(job->spec->class_name), learned);
  }
  double passed_s = (double)(core->wall - assignment->assigned_ms) / 1000.0;
  learned->tasks++;
  learned->ran_s += MAX(passed_s - ON_THE_WAY_S - 0.5 * ws_job_fetch_s(core->replica, job), 0.0);
  learned->estimated_s += job->spec->estimate_s;
}

double
ws_estimator_run_s(const WsCore *core, const WsJob *job)
{
  const ClassRunTimes *learned = g_hash_table_lookup(core->estimator, job->spec->class_name);
  if (learned == NULL || learned->tasks < ENOUGH_TASKS)
    return job->spec->estimate_s;
  return job->spec->estimate_s
         * CLAMP(learned->ran_s / learned->estimated_s, LEAST_FACTOR, MOST_FACTOR);
}

/**
 * Tests of the invariant checker: it must report an invariant that is violated on purpose.
 */
#include "combined-faults/combined-faults.h"
#include "sim/sim.h"

/* In the parent process: runs the test in a subprocess, asserts that it aborts with a message that
   matches the pattern, and returns TRUE. Returns FALSE in the subprocess. */
static gboolean
expects_abort_in_child(const char *pattern)
{
  if (g_test_subprocess())
    return FALSE;
  g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
  g_test_trap_assert_failed();
  g_test_trap_assert_stderr(pattern);
  return TRUE;
}

/* A simulated cluster in which @tasks tasks of the two jobs run. */
static Sim *
sim_with_running_jobs(guint32 seed, const SimJob *first, const SimJob *second, guint tasks)
{
  Sim *sim = sim_new(seed);
  sim_run(sim, 3.0);
  sim_submit(sim, first);
  sim_submit(sim, second);
  for (guint i = 0; i < 60 && sim_count_running(sim, 0) + sim_count_running(sim, 1) < tasks; i++)
    sim_run(sim, 1.0);
  return sim;
}

/* Starts the task of the first job on every machine but the one that runs it already. */
static void
start_on_all_other_machines(Sim *sim, guint task)
{
  for (guint machine = 0; machine < sim_count_machines(sim); machine++)
    if (machine != sim_find_machine_running_job(sim, 0))
      sim_force_start(sim, machine, 0, task);
  sim_run(sim, 1.0);
}

static const SimJob ONE_TASK_JOB
    = { .tasks = 1, .team = "red", .priority = "standard", .run_s = 90.0 };
static const SimJob FOUR_TASK_JOB
    = { .tasks = 4, .team = "blue", .priority = "standard", .run_s = 90.0 };

void
test_checker_detects_duplicate_run(void)
{
  if (expects_abort_in_child("*ran_twice*"))
    return;
  Sim *sim = sim_with_running_jobs(700, &ONE_TASK_JOB, &FOUR_TASK_JOB, 5);
  start_on_all_other_machines(sim, 0);
  sim_free(sim);
}

void
test_checker_detects_exceeded_quota(void)
{
  static const SimJob NINE_TASK_JOB
      = { .tasks = 9, .team = "blue", .priority = "standard", .run_s = 60.0 };
  if (expects_abort_in_child("*quota of blue*"))
    return;
  Sim *sim = sim_new(701);
  sim_run(sim, 3.0);
  sim_submit(sim, &NINE_TASK_JOB);
  for (guint i = 0; i < 60 && sim_count_running(sim, 0) < 8; i++)
    sim_run(sim, 1.0);
  for (guint machine = 0; machine < sim_count_machines(sim); machine++)
    sim_force_start(sim, machine, 0, 8);
  sim_run(sim, 1.0);
  sim_free(sim);
}

void
test_checker_detects_wrong_placement(void)
{
  static const SimJob JOB_IN_A
      = { .tasks = 2, .team = "blue", .priority = "standard", .zone = "a", .run_s = 90.0 };
  static const SimJob JOB_IN_B
      = { .tasks = 1, .team = "red", .priority = "standard", .zone = "b", .run_s = 90.0 };
  if (expects_abort_in_child("*wrong_place*"))
    return;
  Sim *sim = sim_with_running_jobs(702, &JOB_IN_A, &FOUR_TASK_JOB, 6);
  guint machine_in_a = sim_find_machine_running_job(sim, 0);
  g_assert_cmpuint(machine_in_a, !=, G_MAXUINT);
  sim_submit(sim, &JOB_IN_B);
  sim_force_start(sim, machine_in_a, 2, 0);
  sim_run(sim, 1.0);
  sim_free(sim);
}

void
test_checker_detects_run_after_cancellation(void)
{
  if (expects_abort_in_child("*ran_cancelled*"))
    return;
  Sim *sim = sim_with_running_jobs(703, &ONE_TASK_JOB, &FOUR_TASK_JOB, 5);
  sim_cancel(sim, 0);
  sim_run(sim, 35.0);
  g_assert_true(sim_is_reported_cancelled(sim, 0));
  sim_force_start(sim, sim_draw_machine(sim), 0, 0);
  sim_run(sim, 1.0);
  sim_free(sim);
}

void
test_checker_detects_forgotten_job(void)
{
  if (expects_abort_in_child("*forgotten: no answer about*"))
    return;
  Sim *sim = sim_with_running_jobs(704, &ONE_TASK_JOB, &FOUR_TASK_JOB, 5);
  sim_end_faults(sim);
  for (guint node = 0; node < SIM_NODES; node++)
    sim_crash_node(sim, node, 1000.0);
  sim_run(sim, 90.0);
  sim_free(sim);
}

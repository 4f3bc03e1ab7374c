/**
 * The checker itself: an invariant that is violated on purpose is reported.
 */
#include "combined-faults/combined-faults.h"
#include "sim/sim.h"

/* TRUE in the parent, which sees that its child ends with the objection. */
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

/* A simulated cluster in which the jobs run. */
static Sim *
running_world(guint32 seed, const SimJob *first, const SimJob *second, guint tasks)
{
  Sim *sim = sim_new(seed);
  sim_run(sim, 3.0);
  sim_submit(sim, first);
  sim_submit(sim, second);
  for (guint i = 0; i < 60 && sim_count_running(sim, 0) + sim_count_running(sim, 1) < tasks; i++)
    sim_run(sim, 1.0);
  return sim;
}

/* The task of the first job begins on every machine but its own. */
static void
start_everywhere(Sim *sim, guint task)
{
  for (guint machine = 0; machine < sim_count_machines(sim); machine++)
    if (machine != sim_find_machine_running_job(sim, 0))
      sim_force_start(sim, machine, 0, task);
  sim_run(sim, 1.0);
}

static const SimJob ONE = { .tasks = 1, .team = "red", .priority = "standard", .run_s = 90.0 };
static const SimJob FOUR = { .tasks = 4, .team = "blue", .priority = "standard", .run_s = 90.0 };

void
test_checker_detects_duplicate_run(void)
{
  if (expects_abort_in_child("*ran_twice*"))
    return;
  Sim *sim = running_world(700, &ONE, &FOUR, 5);
  start_everywhere(sim, 0);
  sim_free(sim);
}

void
test_checker_detects_exceeded_quota(void)
{
  static const SimJob WIDE = { .tasks = 9, .team = "blue", .priority = "standard", .run_s = 60.0 };
  if (expects_abort_in_child("*quota of blue*"))
    return;
  Sim *sim = sim_new(701);
  sim_run(sim, 3.0);
  sim_submit(sim, &WIDE);
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
  static const SimJob IN_A
      = { .tasks = 2, .team = "blue", .priority = "standard", .zone = "a", .run_s = 90.0 };
  static const SimJob IN_B
      = { .tasks = 1, .team = "red", .priority = "standard", .zone = "b", .run_s = 90.0 };
  if (expects_abort_in_child("*wrong_place*"))
    return;
  Sim *sim = running_world(702, &IN_A, &FOUR, 6);
  guint in_a = sim_find_machine_running_job(sim, 0);
  g_assert_cmpuint(in_a, !=, G_MAXUINT);
  sim_submit(sim, &IN_B);
  sim_force_start(sim, in_a, 2, 0);
  sim_run(sim, 1.0);
  sim_free(sim);
}

void
test_checker_detects_run_after_cancellation(void)
{
  if (expects_abort_in_child("*ran_cancelled*"))
    return;
  Sim *sim = running_world(703, &ONE, &FOUR, 5);
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
  if (expects_abort_in_child("*forgotten: nothing is heard*"))
    return;
  Sim *sim = running_world(704, &ONE, &FOUR, 5);
  sim_end_faults(sim);
  for (guint node = 0; node < SIM_NODES; node++)
    sim_crash_node(sim, node, 1000.0);
  sim_run(sim, 90.0);
  sim_free(sim);
}

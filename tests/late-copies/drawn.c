/**
 * Three controllers with their users, workers and network, in which calls that were carried out and
 * answered arrive again. The simulation's checker fails on a task that starts twice, on a team that
 * exceeds its quota and on a cancelled task that runs.
 */
#include "late-copies/late-copies.h"

#include "sim/fault-injection.h"

#define FIRST_SEED 6000
#define SEEDS 12
#define COPIES 0.9
#define FAILURES 0.5
#define ROUNDS 20
#define ROUND_S 2.0
#define RESTART_INTERVAL_ROUNDS 4

/* Short jobs of both teams, whose tasks may run on any machine. */
static void
submit_short_jobs(Sim *sim)
{
  GRand *rand = sim_rand(sim);
  for (guint i = 0; i < 2; i++) {
    SimJob job = { .tasks = (guint)g_rand_int_range(rand, 2, 7),
                   .team = i == 0 ? "red" : "blue",
                   .priority = "standard",
                   .run_s = g_rand_double_range(rand, 2.0, 12.0) };
    sim_submit(sim, &job);
  }
}

/* Copies arrive while tasks end, fail, are cancelled and are assigned again, under one epoch. */
static Sim *
new_cluster_with_copies(guint32 seed, gboolean has_single_tokens)
{
  Sim *sim = sim_new(seed);
  sim_properties(sim)->idle_timeout_s = 600.0;
  sim_scatter_job_ids(sim);
  if (has_single_tokens)
    sim_use_single_tokens(sim);
  sim_run(sim, 3.0);
  submit_short_jobs(sim);
  sim_run(sim, 15.0);
  sim_faults(sim)->repeated_calls = COPIES;
  sim_faults(sim)->failing_tasks = FAILURES;
  return sim;
}

static void
play_failures_and_cancellations(Sim *sim)
{
  for (guint i = 0; i < ROUNDS; i++) {
    submit_short_jobs(sim);
    if (g_rand_int_range(sim_rand(sim), 0, 3) == 0)
      sim_cancel_random_job(sim);
    sim_run(sim, ROUND_S);
  }
  sim_expect_recovery_and_free(sim);
}

static void
run_failures_and_cancellations(guint32 seed)
{
  play_failures_and_cancellations(new_cluster_with_copies(seed, FALSE));
}

/* Copies of answered launches must not start attempts that were reaped. */
void
test_failed_and_cancelled_tasks_survive_late_copies(void)
{
  sim_play_seeds(FIRST_SEED, SEEDS, run_failures_and_cancellations);
}

static void
run_single_tokens(guint32 seed)
{
  play_failures_and_cancellations(new_cluster_with_copies(seed, TRUE));
}

/* The same while a member of an earlier version keeps each epoch at one token. */
void
test_single_tokens_survive_late_copies(void)
{
  sim_play_seeds(FIRST_SEED, SEEDS, run_single_tokens);
}

static void
restart_random_controller(Sim *sim)
{
  sim_restart_random_node(sim, 0.1, 0.9);
}

/* Longer than a lease at times, so that the worker begins a new incarnation. */
static void
stall_random_machine(Sim *sim)
{
  sim_stall_random_machine_for(sim, 1.0, 18.0);
}

static void
submit_gang(Sim *sim)
{
  static const SimJob GANG
      = { .tasks = 3, .team = "blue", .priority = "standard", .gang = TRUE, .run_s = 6.0 };
  sim_submit(sim, &GANG);
}

static void (*const RESTARTS[])(Sim *sim)
    = { restart_random_controller, stall_random_machine,    sim_restart_random_machine,
        sim_reset_random_machine,  sim_kill_random_machine, submit_gang };

static void
run_restarts(guint32 seed)
{
  Sim *sim = new_cluster_with_copies(seed, FALSE);
  for (guint i = 0; i < ROUNDS; i++) {
    submit_short_jobs(sim);
    if (i % RESTART_INTERVAL_ROUNDS == 0)
      RESTARTS[g_rand_int_range(sim_rand(sim), 0, G_N_ELEMENTS(RESTARTS))](sim);
    sim_run(sim, ROUND_S);
  }
  sim_expect_recovery_and_free(sim);
}

/* The caller has ended, or the machine hung, began anew or has another owner. */
void
test_restarts_survive_late_copies(void)
{
  sim_play_seeds(FIRST_SEED, SEEDS, run_restarts);
}

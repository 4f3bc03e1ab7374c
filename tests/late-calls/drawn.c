/**
 * Launches, rentals and returns that are carried out late, among other faults, at random.
 */
#include "late-calls/late-calls.h"

#include "sim/fault-injection.h"

#define FIRST_SEED 9100
#define SEEDS 12
#define HELD_LAUNCHES 0.3
#define DELAYED_CLOUD_CALLS 0.4
/* The share of the rounds in which the cloud refuses rentals, also those that were sent before. */
#define CLOUD_IS_FULL 0.4
#define ROUNDS 25
#define ROUND_S 6.0
/* The last late call is carried out, its machine boots and is returned as empty. */
#define LATE_CALLS_END_S 220.0
#define FAULT_INTERVAL_ROUNDS 3

static void
submit_jobs(Sim *sim)
{
  GRand *rand = sim_rand(sim);
  for (guint i = 0; i < 2; i++) {
    SimJob job = { .tasks = (guint)g_rand_int_range(rand, 1, 6),
                   .team = i == 0 ? "red" : "blue",
                   .priority = "standard",
                   .spot = g_rand_boolean(rand),
                   .run_s = g_rand_double_range(rand, 2.0, 20.0) };
    sim_submit(sim, &job);
  }
}

static void
restart_random_controller(Sim *sim)
{
  sim_restart_random_node(sim, 0.3, 20.0);
}

static void
restart_all_controllers(Sim *sim)
{
  for (guint n = 0; n < SIM_NODES; n++)
    sim_crash_node(sim, n, g_rand_double_range(sim_rand(sim), 0.3, 2.0));
}

static void
stall_random_machine(Sim *sim)
{
  sim_stall_random_machine_for(sim, 1.0, 18.0);
}

static void (*const FAULTS[])(Sim *sim)
    = { restart_random_controller,  restart_all_controllers,  stall_random_machine,
        sim_restart_random_machine, sim_reset_random_machine, sim_kill_random_machine };

static Sim *
new_cluster(guint32 seed)
{
  Sim *sim = sim_new(seed);
  sim_scatter_job_ids(sim);
  sim_cache_images(sim);
  sim_expect_recorded_tasks(sim);
  sim_run(sim, 3.0);
  submit_jobs(sim);
  sim_run(sim, 15.0);
  return sim;
}

static void
play(Sim *sim, double cloud_is_full)
{
  for (guint i = 0; i < ROUNDS; i++) {
    sim_faults(sim)->cloud_is_full = g_rand_double(sim_rand(sim)) < cloud_is_full;
    submit_jobs(sim);
    if (g_rand_boolean(sim_rand(sim)))
      sim_cancel_random_job(sim);
    if (i % FAULT_INTERVAL_ROUNDS == 0)
      FAULTS[g_rand_int_range(sim_rand(sim), 0, G_N_ELEMENTS(FAULTS))](sim);
    sim_run(sim, ROUND_S);
  }
  sim_faults(sim)->cloud_is_full = FALSE;
  sim_faults(sim)->held_launches = 0.0;
  sim_faults(sim)->delayed_cloud_calls = 0.0;
  sim_run(sim, LATE_CALLS_END_S);
  sim_expect_recovery_and_free(sim);
}

static void
run_held_launches(guint32 seed)
{
  Sim *sim = new_cluster(seed);
  sim_faults(sim)->held_launches = HELD_LAUNCHES;
  play(sim, 0.0);
}

void
test_drawn_held_launches(void)
{
  sim_play_seeds(FIRST_SEED, SEEDS, run_held_launches);
}

static void
run_late_cloud_calls(guint32 seed)
{
  Sim *sim = new_cluster(seed);
  sim_faults(sim)->delayed_cloud_calls = DELAYED_CLOUD_CALLS;
  sim_faults(sim)->held_launches = HELD_LAUNCHES / 2.0;
  play(sim, CLOUD_IS_FULL);
}

void
test_drawn_late_cloud_calls(void)
{
  sim_play_seeds(FIRST_SEED, SEEDS, run_late_cloud_calls);
}

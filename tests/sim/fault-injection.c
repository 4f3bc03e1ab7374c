/**
 * Load, fault injection and the final check, shared by the tests of the simulated cluster.
 */
#include "sim/fault-injection.h"

/* As in sim_new(). */
#define IDLE_TIMEOUT_S 5.0

void
sim_add_load(Sim *sim, guint rounds)
{
  static const SimJob JOBS[]
      = { { .tasks = 4, .team = "red", .priority = "best_effort", .spot = TRUE, .run_s = 25.0 },
          { .tasks = 2, .team = "blue", .priority = "standard", .run_s = 12.0 },
          { .tasks = 3, .team = "red", .priority = "standard", .run_s = 6.0, .zone = "b" },
          { .tasks = 3, .team = "blue", .priority = "standard", .run_s = 9.0, .one_zone = TRUE },
          { .tasks = 9, .team = "blue", .priority = "best_effort", .spot = TRUE, .run_s = 14.0 } };
  for (guint i = 0; i < rounds; i++)
    for (guint k = 0; k < G_N_ELEMENTS(JOBS); k++)
      sim_submit(sim, &JOBS[k]);
}

void
sim_cancel_random_jobs(Sim *sim, guint count)
{
  for (guint i = 0; i < count; i++)
    sim_cancel_random_job(sim);
}

void
sim_restart_random_node(Sim *sim, double min_back_s, double max_back_s)
{
  guint node = (guint)g_rand_int_range(sim_rand(sim), 0, SIM_NODES);
  sim_crash_node(sim, node, g_rand_double_range(sim_rand(sim), min_back_s, max_back_s));
}

void
sim_stall_random_machine_for(Sim *sim, double min_s, double max_s)
{
  sim_stall_random_machine(sim, g_rand_double_range(sim_rand(sim), min_s, max_s));
}

guint
sim_next_node(guint node)
{
  return (node + 1) % SIM_NODES;
}

guint
sim_leader_or_first(const Sim *sim)
{
  guint leader = sim_leader(sim);
  return leader < SIM_NODES ? leader : 0;
}

void
sim_inject_machine_faults(Sim *sim, guint count, SimMachineFault inject, double seconds)
{
  for (guint i = 0; i < count; i++) {
    guint machine = sim_draw_machine(sim);
    if (machine != G_MAXUINT)
      inject(sim, machine, seconds);
  }
}

void
sim_run_until_jobs_end(Sim *sim, guint max_seconds)
{
  for (guint i = 0; i < max_seconds && sim_count_open_jobs(sim) > 0; i++)
    sim_run(sim, 1.0);
}

void
sim_cancel_until_jobs_end(Sim *sim, guint max_rounds, double pause_s)
{
  for (guint i = 0; i < max_rounds && sim_count_open_jobs(sim) > 0; i++) {
    sim_cancel_random_job(sim);
    sim_run(sim, pause_s);
  }
}

void
sim_expect_recovery(Sim *sim)
{
  sim_end_faults(sim);
  sim_run_until_jobs_end(sim, 400);
  if (sim_count_open_jobs(sim) > 0)
    g_error("%u jobs have not ended after all faults were over", sim_count_open_jobs(sim));
  if (sim_count_rejected_for_size(sim) > 0)
    g_error("the store rejected %u transactions for their size", sim_count_rejected_for_size(sim));
  sim_run(sim, 150.0);
  if (sim_count_machines(sim) > 0 || sim_count_termination_marks(sim) > 0
      || sim_count_unrecorded_machines(sim) > 0)
    g_error("leaked: %u machines, %u of them in no rental batch; %u termination marks",
            sim_count_machines(sim), sim_count_unrecorded_machines(sim),
            sim_count_termination_marks(sim));
}

void
sim_expect_recovery_and_free(Sim *sim)
{
  sim_properties(sim)->idle_timeout_s = IDLE_TIMEOUT_S;
  sim_expect_recovery(sim);
  sim_free(sim);
}

Sim *
sim_new_with_load(guint32 seed)
{
  Sim *sim = sim_new(seed);
  sim_run(sim, 3.0);
  sim_add_load(sim, 1);
  sim_run(sim, 18.0);
  sim_add_load(sim, 1);
  return sim;
}

guint
sim_seed_count(guint usual)
{
  const char *wanted = g_getenv("WS_SEEDS");
  return wanted != NULL ? (guint)g_ascii_strtoull(wanted, NULL, 10) : usual;
}

static void
play_seed(guint32 seed, void (*play)(guint32 seed))
{
  g_test_message("seed %u", seed);
  play(seed);
}

void
sim_play_seeds(guint32 first, guint usual, void (*play)(guint32 seed))
{
  const char *only = g_getenv("WS_SEED");
  if (only != NULL) {
    play_seed((guint32)g_ascii_strtoull(only, NULL, 10), play);
    return;
  }
  guint count = sim_seed_count(usual);
  for (guint32 seed = first; seed < first + count; seed++)
    play_seed(seed, play);
}

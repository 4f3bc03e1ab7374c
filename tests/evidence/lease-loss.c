/**
 * A simulated cluster whose leader loses its lease repeatedly.
 */
#include "evidence/evidence.h"
#include "sim/fault-injection.h"

/* Repeats the following sequence: a new epoch begins; tasks are assigned to machines that haven't
   received its fencing token yet; a more urgent job preempts them; the leader loses its lease for a
   while before it can commit the releases of the preempted tasks. Then checks that the cluster
   recovers. */
static void
play_repeated_lease_loss(guint32 seed)
{
  static const SimJob LOW
      = { .tasks = 8, .team = "blue", .priority = "best_effort", .spot = TRUE, .run_s = 7.0 };
  static const SimJob URGENT
      = { .tasks = 3, .team = "blue", .priority = "urgent", .spot = TRUE, .run_s = 4.0 };
  Sim *sim = sim_new(seed);
  GRand *rand = sim_rand(sim);
  sim_properties(sim)->idle_timeout_s = 60.0;
  sim_faults(sim)->max_machines = 3;
  sim_run(sim, 3.0);
  sim_submit(sim, &LOW);
  sim_run(sim, 25.0);
  for (guint round = 0; round < 8; round++) {
    sim_submit(sim, &LOW);
    sim_crash_node(sim, sim_next_node(sim_leader_or_first(sim)), 0.3);
    sim_run(sim, g_rand_double_range(rand, 0.6, 2.0));
    sim_submit(sim, &URGENT);
    sim_run(sim, g_rand_double_range(rand, 0.1, 2.0));
    sim_faults(sim)->store_rejects_nodes = 1u << sim_leader_or_first(sim);
    sim_run(sim, g_rand_double_range(rand, 5.0, 9.0));
    sim_faults(sim)->store_rejects_nodes = 0;
    sim_run(sim, g_rand_double_range(rand, 0.5, 4.0));
  }
  sim_expect_recovery(sim);
  sim_free(sim);
}

void
test_cluster_recovers_from_repeated_lease_loss(void)
{
  sim_play_seeds(3000, 5, play_repeated_lease_loss);
}

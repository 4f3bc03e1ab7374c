/**
 * Three controllers with their users, workers and network: controllers read the store in short
 * pages from a slow store while jobs are submitted, assigned and end. The simulation's checker
 * fails on a task that starts twice, and on a job that waits although a machine has free capacity.
 */
#include "load/load.h"

#include "sim/fault-injection.h"

#define FIRST_SEED 4000
#define FIRST_FAILOVER_SEED 4048 /* seed 4052 once started a task twice */
#define SEEDS 12
/* With the delays of the store a load takes several seconds, as that of a long store does. */
#define MAX_PAGE_ITEMS 1
#define STORE_DELAY_MS 300
#define SUBMISSION_INTERVAL_S 1.0
#define RESTARTS 4
#define MAX_JOBS_BEFORE_RESTART 20
#define MAX_LOG_LENGTH 4
#define FAULTS_DURATION_S 60 /* of sim_inject_random_faults() */

static Sim *
new_cluster_with_slow_loads(guint32 seed)
{
  /* Together they need as many machines as the quotas allow. */
  static const SimJob FIRST_JOBS[]
      = { { .tasks = 8, .team = "blue", .priority = "standard", .run_s = 3.0 },
          { .tasks = 6, .team = "red", .priority = "standard", .run_s = 3.0 } };
  Sim *sim = sim_new(seed);
  sim_properties(sim)->idle_timeout_s = 600.0;
  sim_scatter_job_ids(sim);
  sim_set_max_page_items(sim, MAX_PAGE_ITEMS);
  sim_run(sim, 3.0);
  for (guint i = 0; i < G_N_ELEMENTS(FIRST_JOBS); i++)
    sim_submit(sim, &FIRST_JOBS[i]);
  sim_run(sim, 25.0);
  sim_faults(sim)->store_delay_ms = STORE_DELAY_MS;
  return sim;
}

/* Has jobs of one task submitted one after the other, in turn of each team. */
static void
schedule_jobs(Sim *sim, guint count)
{
  static const SimJob JOBS[]
      = { { .tasks = 1, .team = "blue", .priority = "standard", .run_s = 6.0 },
          { .tasks = 1, .team = "red", .priority = "standard", .run_s = 5.0 } };
  for (guint i = 0; i < count; i++)
    sim_submit_later(sim, &JOBS[i % G_N_ELEMENTS(JOBS)], i * SUBMISSION_INTERVAL_S);
}

static void
submit_jobs(Sim *sim, guint count)
{
  schedule_jobs(sim, count);
  sim_run(sim, count * SUBMISSION_INTERVAL_S);
}

static void
restart_node(Sim *sim, guint node)
{
  sim_crash_node(sim, node, g_rand_double_range(sim_rand(sim), 0.1, 2.0));
}

static void
run_restarts(guint32 seed)
{
  Sim *sim = new_cluster_with_slow_loads(seed);
  for (guint i = 0; i < RESTARTS; i++) {
    guint leader = sim_leader_or_first(sim);
    restart_node(sim, i % 2 == 0 ? sim_next_node(leader) : leader);
    submit_jobs(sim, 20);
  }
  sim_expect_recovery_and_free(sim);
}

/* Guards against jobs that are accepted while a restarted controller reads the store, lose their
   assignment in its replica, are halted by it and wait for ever. */
void
test_restarts_during_submissions_recover(void)
{
  sim_play_seeds(FIRST_SEED, SEEDS, run_restarts);
}

static void
run_failovers(guint32 seed)
{
  Sim *sim = new_cluster_with_slow_loads(seed);
  for (guint i = 0; i < RESTARTS; i++) {
    restart_node(sim, sim_next_node(sim_leader_or_first(sim)));
    submit_jobs(sim, (guint)g_rand_int_range(sim_rand(sim), 3, 12));
    sim_crash_node(sim, sim_leader_or_first(sim), 6.0);
    submit_jobs(sim, 8);
  }
  sim_expect_recovery_and_free(sim);
}

/* Guards against tasks that a restarted controller, which lost their assignment in its replica,
   starts a second time while they run, as soon as it leads. */
void
test_failovers_during_submissions_recover(void)
{
  sim_play_seeds(FIRST_FAILOVER_SEED, SEEDS, run_failovers);
}

/* Rejects the node for a while, so that the store has compacted the revision of its watch. */
static void
compact_behind_node(Sim *sim, guint node)
{
  sim_faults(sim)->store_rejects_nodes = 1u << node;
  submit_jobs(sim, 3);
  sim_compact_store(sim);
  sim_faults(sim)->store_rejects_nodes = 0;
}

static void
run_compactions(guint32 seed)
{
  Sim *sim = new_cluster_with_slow_loads(seed);
  for (guint i = 0; i < RESTARTS; i++) {
    compact_behind_node(sim, (sim_leader_or_first(sim) + i) % SIM_NODES);
    submit_jobs(sim, 17);
  }
  sim_expect_recovery_and_free(sim);
}

/* Guards against the same in a controller that reloads its replica after a compaction. */
void
test_compactions_during_submissions_recover(void)
{
  sim_play_seeds(FIRST_SEED, SEEDS, run_compactions);
}

/* Nodes that fall behind the store's short log reload their replica, whatever else goes wrong. */
static void
run_random_faults(guint32 seed)
{
  Sim *sim = new_cluster_with_slow_loads(seed);
  sim_set_max_log_length(sim, MAX_LOG_LENGTH);
  schedule_jobs(sim, FAULTS_DURATION_S / SUBMISSION_INTERVAL_S);
  sim_inject_random_faults(sim);
  sim_expect_recovery_and_free(sim);
}

/* The cluster recovers where random faults coincide with loads and reloads. */
void
test_random_faults_during_loads_recover(void)
{
  sim_play_seeds(FIRST_SEED, SEEDS, run_random_faults);
}

/* A follower is restarted with a store of another length for each seed. Its load takes from one to
   several seconds, its membership lease lasts four. */
static void
run_single_restart(guint32 seed)
{
  Sim *sim = new_cluster_with_slow_loads(seed);
  submit_jobs(sim, 1 + seed % MAX_JOBS_BEFORE_RESTART);
  guint64 epoch = sim_count_epochs(sim);
  restart_node(sim, sim_next_node(sim_leader_or_first(sim)));
  sim_run(sim, 40.0);
  /* One epoch without the node, unless it is back before its old lease expires, and one with it. */
  g_assert_cmpuint(sim_count_epochs(sim), <=, epoch + 2);
  g_assert_cmpuint(sim_count_epochs(sim), >, epoch);
  sim_expect_recovery_and_free(sim);
}

/* Guards against a node that joins the epoch after its load and drops out at once, since its lease
   was not renewed while it loaded: each such epoch interrupts all launches. */
void
test_restarted_node_joins_once(void)
{
  sim_play_seeds(FIRST_SEED, SEEDS, run_single_restart);
}

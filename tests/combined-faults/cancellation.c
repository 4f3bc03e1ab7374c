/**
 * Cancellations while the store rejects the requests of the leader only, followed by a store outage
 * that affects all nodes.
 */
#include "combined-faults/combined-faults.h"
#include "sim/fault-injection.h"

static const SimJob RED_JOB
    = { .tasks = 5, .team = "red", .priority = "standard", .spot = TRUE, .run_s = 300.0 };
static const SimJob BLUE_JOB
    = { .tasks = 6, .team = "blue", .priority = "standard", .spot = TRUE, .run_s = 300.0 };

static void
wait_until_cancelled(Sim *sim, double max_s)
{
  for (guint i = 0; i < max_s * 20.0; i++) {
    if (sim_is_reported_cancelled(sim, 0) && sim_is_reported_cancelled(sim, 1))
      return;
    sim_run(sim, 0.05);
  }
}

/* A variant of this scenario: two jobs run on many machines, the leader loses the store, both jobs
   are cancelled through the other nodes, and then the store becomes unavailable for all nodes, for
   longer than cancel_s. */
typedef struct {
  const char *name;
  gboolean acknowledging_nodes_crash; /* all other nodes crash as the outage begins */
  gboolean leader_isolated;           /* the leader doesn't reach its peers either */
  gboolean cloud_unavailable;
  gboolean one_node_restarted; /* another node restarts in the outage and can't read the store */
  SimMachineFault inject;
  double fault_s;
  gboolean launch_in_flight; /* the jobs are cancelled while launches are in flight */
} CancellationCase;

/* A simulated cluster in which both jobs run or, with @launch_in_flight, the first job has just
   started its first tasks. */
static Sim *
sim_with_two_running_jobs(guint32 seed, gboolean launch_in_flight)
{
  Sim *sim = sim_new(seed);
  sim_properties(sim)->idle_timeout_s = 60.0;
  sim_run(sim, 3.0);
  sim_submit(sim, &RED_JOB);
  sim_submit(sim, &BLUE_JOB);
  sim_run(sim, launch_in_flight ? 1.0 : 40.0);
  for (guint i = 0; launch_in_flight && i < 400 && sim_count_running(sim, 0) == 0; i++)
    sim_run(sim, 0.05);
  g_assert_cmpuint(sim_count_running(sim, 0), >, 0);
  return sim;
}

/* Ends all faults; then both jobs must be closed, no task may have started more than a moment after
   its user was told of the cancellation, and no machine or termination mark may leak. */
static void
expect_jobs_cancelled(Sim *sim)
{
  sim_end_faults(sim);
  sim_cancel_until_jobs_end(sim, 200, 1.0);
  g_assert_cmpuint(sim_count_open_jobs(sim), ==, 0);
  g_assert_cmpuint(sim_count_late_starts(sim), ==, 0);
  sim_run(sim, 200.0);
  g_assert_cmpuint(sim_count_machines(sim), ==, 0);
  g_assert_cmpuint(sim_count_termination_marks(sim), ==, 0);
}

static void
run_cancellation_before_outage(guint32 seed, const CancellationCase *variant)
{
  g_test_message("%s, seed %u", variant->name, seed);
  Sim *sim = sim_with_two_running_jobs(seed, variant->launch_in_flight);
  guint leader = sim_leader(sim);
  g_assert_cmpuint(leader, <, SIM_NODES);
  if (variant->inject != NULL)
    variant->inject(sim, sim_find_machine_running_job(sim, 0), variant->fault_s);
  *(variant->leader_isolated ? &sim_faults(sim)->isolated_nodes
                             : &sim_faults(sim)->store_rejects_nodes)
      = 1u << leader;
  sim_run(sim, 0.5);
  sim_cancel(sim, 0);
  sim_cancel(sim, 1);
  wait_until_cancelled(sim, 2.0);
  sim_faults(sim)->store_unavailable = TRUE;
  sim_faults(sim)->cloud_unavailable = variant->cloud_unavailable;
  if (variant->acknowledging_nodes_crash || variant->one_node_restarted)
    sim_crash_node(sim, (leader + 1) % SIM_NODES, 2.0);
  if (variant->acknowledging_nodes_crash)
    sim_crash_node(sim, (leader + 2) % SIM_NODES, 2.0);
  sim_run(sim, 50.0);
  expect_jobs_cancelled(sim);
  sim_free(sim);
}

static void
test_cancellation_before_outage_takes_effect(gconstpointer data)
{
  for (guint32 seed = 500; seed < 505; seed++)
    run_cancellation_before_outage(seed, data);
}

static const CancellationCase CANCELLATION_CASES[] = {
  { .name = "leader-refused" },
  { .name = "acknowledging-nodes-crash", .acknowledging_nodes_crash = TRUE },
  { .name = "leader-isolated", .leader_isolated = TRUE },
  { .name = "cloud-outage", .cloud_unavailable = TRUE },
  { .name = "one-node-restarted", .one_node_restarted = TRUE },
  { .name = "machine-outbound-unreachable", .inject = sim_block_outbound, .fault_s = 60.0 },
  { .name = "machine-inbound-unreachable", .inject = sim_block_inbound, .fault_s = 60.0 },
  { .name = "machine-stalled", .inject = sim_stall_machine, .fault_s = 10.0 },
  { .name = "launch-in-flight", .launch_in_flight = TRUE },
};

void
add_cancellation_tests(void)
{
  for (gsize i = 0; i < G_N_ELEMENTS(CANCELLATION_CASES); i++) {
    g_autofree char *path = g_strconcat("/combined-faults/cancellation-before-outage/",
                                        CANCELLATION_CASES[i].name, NULL);
    g_test_add_data_func(path, &CANCELLATION_CASES[i],
                         test_cancellation_before_outage_takes_effect);
  }
}

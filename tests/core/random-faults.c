/**
 * Random jobs and random faults, drawn from the random generator of the simulated cluster.
 *
 * The order of the draws determines what a seed does, and must not change.
 */
#include "core/random-faults.h"

void
submit_random_jobs(Sim *sim, guint count)
{
  static const char *const PRIORITIES[] = { "critical", "standard", "best_effort" };
  GRand *rand = sim_rand(sim);
  for (guint i = 0; i < count; i++) {
    SimJob job = { .tasks = (guint)g_rand_int_range(rand, 1, 6),
                   .service = g_rand_int_range(rand, 0, 4) == 0,
                   .team = g_rand_boolean(rand) ? "red" : "blue",
                   .spot = g_rand_boolean(rand),
                   .run_s = g_rand_int_range(rand, 2, 15) };
    job.scatter = job.service;
    job.priority = PRIORITIES[job.service ? 0 : g_rand_int_range(rand, 1, 3)];
    sim_submit(sim, &job);
  }
}

/* The bit of a random node or zone. */
static guint
random_node_bit(Sim *sim)
{
  return 1u << g_rand_int_range(sim_rand(sim), 0, SIM_NODES);
}

/* The duration is drawn before the node. */
static void
crash_random_node(Sim *sim)
{
  double seconds = g_rand_double_range(sim_rand(sim), 0.1, 8.0);
  sim_crash_node(sim, (guint)g_rand_int_range(sim_rand(sim), 0, SIM_NODES), seconds);
}

static void
crash_all_nodes(Sim *sim)
{
  for (guint n = 0; n < SIM_NODES; n++)
    sim_crash_node(sim, n, g_rand_double_range(sim_rand(sim), 0.1, 8.0));
}

/* The duration is drawn before the node. */
static void
pause_random_node(Sim *sim)
{
  double seconds = g_rand_double_range(sim_rand(sim), 0.2, 30.0);
  sim_pause_node(sim, (guint)g_rand_int_range(sim_rand(sim), 0, SIM_NODES), seconds);
}

static void
toggle_store_outage(Sim *sim)
{
  sim_faults(sim)->store_unavailable = !sim_faults(sim)->store_unavailable;
}

static void
toggle_store_refusal(Sim *sim)
{
  guint *nodes = &sim_faults(sim)->store_rejects_nodes;
  *nodes = *nodes ? 0 : random_node_bit(sim);
}

static void
toggle_partition(Sim *sim)
{
  guint *zones = &sim_faults(sim)->partitioned_zones;
  *zones = *zones ? 0 : random_node_bit(sim);
}

static void
toggle_isolation(Sim *sim)
{
  guint *nodes = &sim_faults(sim)->isolated_nodes;
  *nodes = *nodes ? 0 : random_node_bit(sim);
}

static void
toggle_unreachable_node(Sim *sim)
{
  guint *nodes = &sim_faults(sim)->unreachable_nodes;
  *nodes = *nodes ? 0 : random_node_bit(sim);
}

static void
toggle_cloud_outage(Sim *sim)
{
  sim_faults(sim)->cloud_unavailable = !sim_faults(sim)->cloud_unavailable;
}

static void
toggle_full_cloud(Sim *sim)
{
  sim_faults(sim)->cloud_is_full = !sim_faults(sim)->cloud_is_full;
}

static void
toggle_lossy_network(Sim *sim)
{
  SimNetworkFaults *net = &sim_faults(sim)->net;
  *net = net->lose > 0.0 ? (SimNetworkFaults){ 0 } : (SimNetworkFaults){ 0.05, 0.05, 0.03 };
}

static void
toggle_duplicated_heartbeats(Sim *sim)
{
  double *chance = &sim_faults(sim)->duplicated_heartbeats;
  *chance = *chance > 0.0 ? 0.0 : 0.3;
}

static void
stall_random_machine(Sim *sim)
{
  sim_stall_random_machine(sim, g_rand_double_range(sim_rand(sim), 1.0, 20.0));
}

static void
stall_random_machines(Sim *sim)
{
  for (guint i = 0; i < 4; i++)
    sim_stall_random_machine(sim, g_rand_double_range(sim_rand(sim), 6.0, 18.0));
}

static void
interrupt_random_machine(Sim *sim)
{
  sim_interrupt_random_machine(sim, g_rand_double_range(sim_rand(sim), 1.0, 10.0));
}

static void
block_outbound_of_random_machine(Sim *sim)
{
  sim_block_outbound_of_random_machine(sim, g_rand_double_range(sim_rand(sim), 2.0, 40.0));
}

/* The order and the number of entries determine which faults a seed selects. */
static void (*const RANDOM_FAULTS[])(Sim *sim) = {
  crash_random_node,
  crash_all_nodes,
  toggle_store_outage,
  toggle_store_refusal,
  toggle_partition,
  toggle_cloud_outage,
  toggle_full_cloud,
  sim_kill_random_machine,
  stall_random_machine,
  interrupt_random_machine,
  toggle_lossy_network,
  toggle_isolation,
  toggle_duplicated_heartbeats,
  block_outbound_of_random_machine,
  sim_restart_random_machine,
  pause_random_node,
  toggle_unreachable_node,
  stall_random_machines,
  sim_cancel_random_job,
};
G_STATIC_ASSERT(G_N_ELEMENTS(RANDOM_FAULTS) == 19);

void
inject_random_fault(Sim *sim)
{
  RANDOM_FAULTS[g_rand_int_range(sim_rand(sim), 0, G_N_ELEMENTS(RANDOM_FAULTS))](sim);
}

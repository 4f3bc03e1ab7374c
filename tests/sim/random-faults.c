/**
 * Two or three faults of random kinds, whose times mostly overlap.
 */
#include "sim/fault-injection.h"

/* A kind of fault; end is NULL if the fault ends by itself. */
typedef struct {
  const char *name;
  void (*begin)(Sim *sim, double seconds);
  void (*end)(Sim *sim);
} FaultKind;

static void
begin_store_rejection(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->store_rejects_nodes
      = 1u << (g_rand_boolean(sim_rand(sim)) ? sim_leader_or_first(sim)
                                             : sim_next_node(sim_leader_or_first(sim)));
}

static void
end_store_rejection(Sim *sim)
{
  sim_faults(sim)->store_rejects_nodes = 0;
}

static void
begin_store_outage(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->store_unavailable = TRUE;
}

static void
end_store_outage(Sim *sim)
{
  sim_faults(sim)->store_unavailable = FALSE;
}

static void
begin_slow_store(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->store_delay_ms = 1200;
}

static void
end_slow_store(Sim *sim)
{
  sim_faults(sim)->store_delay_ms = 0;
}

static void
begin_delayed_transactions(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->delayed_transactions = 0.2;
}

static void
end_delayed_transactions(Sim *sim)
{
  sim_faults(sim)->delayed_transactions = 0.0;
}

static void
begin_duplicated_heartbeats(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->duplicated_heartbeats = 0.4;
}

static void
end_duplicated_heartbeats(Sim *sim)
{
  sim_faults(sim)->duplicated_heartbeats = 0.0;
}

static void
begin_repeated_calls(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->repeated_calls = 0.6;
  sim_faults(sim)->failing_tasks = 0.3;
}

static void
end_repeated_calls(Sim *sim)
{
  sim_faults(sim)->repeated_calls = 0.0;
  sim_faults(sim)->failing_tasks = 0.0;
}

static void
begin_lossy_network(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->net = (SimNetworkFaults){ 0.05, 0.05, 0.1 };
}

static void
end_lossy_network(Sim *sim)
{
  sim_faults(sim)->net = (SimNetworkFaults){ 0 };
}

static void
begin_zone_partition(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->partitioned_zones = 1u << g_rand_int_range(sim_rand(sim), 0, SIM_NODES);
}

static void
end_zone_partition(Sim *sim)
{
  sim_faults(sim)->partitioned_zones = 0;
}

static void
begin_leader_isolation(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->isolated_nodes = 1u << sim_leader_or_first(sim);
}

static void
end_leader_isolation(Sim *sim)
{
  sim_faults(sim)->isolated_nodes = 0;
}

static void
begin_unreachable_node(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->unreachable_nodes = 1u << g_rand_int_range(sim_rand(sim), 0, SIM_NODES);
}

static void
end_unreachable_node(Sim *sim)
{
  sim_faults(sim)->unreachable_nodes = 0;
}

static void
begin_cloud_outage(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->cloud_unavailable = TRUE;
}

static void
end_cloud_outage(Sim *sim)
{
  sim_faults(sim)->cloud_unavailable = FALSE;
}

static void
begin_cancellation_at_completion(Sim *sim, double seconds)
{
  (void)seconds;
  sim_cancel_at_completion(sim, 0.5);
}

static void
end_cancellation_at_completion(Sim *sim)
{
  sim_cancel_at_completion(sim, 0.0);
}

static void
begin_bulk_cancellation(Sim *sim, double seconds)
{
  (void)seconds;
  sim_inject_machine_faults(sim, 2, sim_stall_machine, 8.0);
  sim_cancel_random_jobs(sim, 5);
}

static void
begin_outbound_unreachable(Sim *sim, double seconds)
{
  sim_inject_machine_faults(sim, 2, sim_block_outbound, seconds);
}

static void
begin_inbound_unreachable(Sim *sim, double seconds)
{
  sim_inject_machine_faults(sim, 2, sim_block_inbound, seconds);
}

static void
begin_machine_stall(Sim *sim, double seconds)
{
  sim_inject_machine_faults(sim, 3, sim_stall_machine, MIN(seconds, 20.0));
}

static void
begin_leader_crash(Sim *sim, double seconds)
{
  sim_crash_node(sim, sim_leader_or_first(sim), MIN(seconds, 8.0));
}

static void
begin_crash_of_all_nodes(Sim *sim, double seconds)
{
  for (guint n = 0; n < SIM_NODES; n++)
    sim_crash_node(sim, n, g_rand_double_range(sim_rand(sim), 0.1, MIN(seconds, 14.0)));
}

static void
begin_node_pause(Sim *sim, double seconds)
{
  sim_pause_node(sim, (guint)g_rand_int_range(sim_rand(sim), 0, SIM_NODES), seconds);
}

static void
begin_machine_loss(Sim *sim, double seconds)
{
  (void)seconds;
  for (guint i = 0; i < 2; i++)
    sim_kill_random_machine(sim);
  sim_restart_random_machine(sim);
}

static void
begin_malformed_requests(Sim *sim, double seconds)
{
  (void)seconds;
  for (guint i = 0; i < 5; i++) {
    sim_send_malformed_requests(sim);
    sim_run(sim, 0.7);
  }
}

static const FaultKind FAULT_KINDS[] = {
  { "malformed-requests", begin_malformed_requests, NULL },
  { "store-refusal", begin_store_rejection, end_store_rejection },
  { "store-outage", begin_store_outage, end_store_outage },
  { "slow-store", begin_slow_store, end_slow_store },
  { "delayed-transactions", begin_delayed_transactions, end_delayed_transactions },
  { "duplicated-heartbeats", begin_duplicated_heartbeats, end_duplicated_heartbeats },
  { "repeated-calls", begin_repeated_calls, end_repeated_calls },
  { "lossy-network", begin_lossy_network, end_lossy_network },
  { "partition", begin_zone_partition, end_zone_partition },
  { "isolated-leader", begin_leader_isolation, end_leader_isolation },
  { "unreachable-node", begin_unreachable_node, end_unreachable_node },
  { "cloud-outage", begin_cloud_outage, end_cloud_outage },
  { "cancellation-at-completion", begin_cancellation_at_completion,
    end_cancellation_at_completion },
  { "bulk-cancellation", begin_bulk_cancellation, NULL },
  { "outbound-unreachable", begin_outbound_unreachable, NULL },
  { "inbound-unreachable", begin_inbound_unreachable, NULL },
  { "machine-stall", begin_machine_stall, NULL },
  { "leader-crash", begin_leader_crash, NULL },
  { "crash-of-all", begin_crash_of_all_nodes, NULL },
  { "node-pause", begin_node_pause, NULL },
  { "machine-loss", begin_machine_loss, NULL },
};

typedef struct {
  const FaultKind *kind;
  double start_s;
  double duration_s;
  gboolean has_begun;
  gboolean has_ended;
} ScheduledFault;

static void
step_scheduled_fault(Sim *sim, ScheduledFault *fault, double now_s)
{
  if (!fault->has_begun && now_s >= fault->start_s) {
    fault->has_begun = TRUE;
    fault->kind->begin(sim, fault->duration_s);
  }
  if (fault->has_begun && !fault->has_ended && now_s >= fault->start_s + fault->duration_s) {
    fault->has_ended = TRUE;
    if (fault->kind->end != NULL)
      fault->kind->end(sim);
  }
}

void
sim_inject_random_faults(Sim *sim)
{
  GRand *rand = sim_rand(sim);
  ScheduledFault drawn[3];
  guint count = 2 + (guint)g_rand_int_range(rand, 0, 2);
  for (guint i = 0; i < count; i++) {
    guint which = (guint)g_rand_int_range(rand, 0, G_N_ELEMENTS(FAULT_KINDS));
    drawn[i] = (ScheduledFault){ &FAULT_KINDS[which], g_rand_double_range(rand, 0.0, 8.0),
                                 g_rand_double_range(rand, 2.0, 50.0), FALSE, FALSE };
    g_test_message("%s at %.1f s for %.1f s", drawn[i].kind->name, drawn[i].start_s,
                   drawn[i].duration_s);
  }
  for (guint step = 0; step < 120; step++) {
    double now_s = 0.5 * step;
    for (guint i = 0; i < count; i++)
      step_scheduled_fault(sim, &drawn[i], now_s);
    if (g_rand_int_range(rand, 0, 16) == 0)
      sim_cancel_random_jobs(sim, 1);
    sim_run(sim, 0.5);
  }
}

void
sim_send_malformed_requests_repeatedly(Sim *sim)
{
  begin_malformed_requests(sim, 0.0);
}

/**
 * Faults that tests inject into the simulated cluster.
 */
#include "sim/sim-private.h"

/* Frees the controller of a crashed node, and drops the answers and calls that it hasn't sent. */
static void
stop_core(WsCore *core)
{
  WsOutput *output;
  ws_core_stop(core);
  while ((output = ws_core_pop_output(core)) != NULL) {
    if (output->is_answer)
      sim_call_unref(output->request);
    ws_output_free(output);
  }
  ws_core_free(core);
}

void
sim_use_single_tokens(Sim *sim)
{
  sim->uses_single_tokens = TRUE;
}

void
sim_set_max_page_items(Sim *sim, guint max_page_items)
{
  sim_store_set_max_page_items(sim->store, max_page_items);
}

void
sim_set_max_log_length(Sim *sim, guint max_log_length)
{
  sim_store_set_max_log_length(sim->store, max_log_length);
}

void
sim_compact_store(Sim *sim)
{
  sim_store_compact(sim->store);
}

void
sim_crash_node(Sim *sim, guint node, double back_after_s)
{
  WsCore *core = sim->nodes[node].core;
  sim->nodes[node].core = NULL;
  if (core != NULL)
    stop_core(core);
  sim->nodes[node].restart_ms = sim->now_ms + (gint64)(back_after_s * 1000.0);
  sim->nodes[node].paused_until_ms = 0;
}

void
sim_pause_node(Sim *sim, guint node, double seconds)
{
  sim->nodes[node].paused_until_ms = sim->now_ms + (gint64)(seconds * 1000.0);
}

static Machine *
draw_running_machine(Sim *sim)
{
  guint count = sim->machines->len;
  guint first = count > 0 ? (guint)g_rand_int_range(sim->rand, 0, (gint32)count) : 0;
  for (guint i = 0; i < count; i++) {
    Machine *machine = g_ptr_array_index(sim->machines, (first + i) % count);
    if (sim_is_up(sim, machine))
      return machine;
  }
  return NULL;
}

void
sim_kill_random_machine(Sim *sim)
{
  Machine *machine = draw_running_machine(sim);
  if (machine == NULL)
    return;
  machine->dead = TRUE;
  g_array_set_size(machine->worker->tasks, 0);
}

void
sim_stall_random_machine(Sim *sim, double seconds)
{
  Machine *machine = draw_running_machine(sim);
  if (machine != NULL)
    machine->stalled_until_ms = sim->now_ms + (gint64)(seconds * 1000.0);
}

static void
interrupt_spot_machine(const Sim *sim, Machine *machine, double seconds)
{
  if (machine->worker->spot && machine->worker->interruption_ms == 0)
    machine->worker->interruption_ms = sim->now_ms + (gint64)(seconds * 1000.0);
}

void
sim_interrupt_random_machine(Sim *sim, double seconds)
{
  Machine *machine = draw_running_machine(sim);
  if (machine != NULL)
    interrupt_spot_machine(sim, machine, seconds);
}

void
sim_interrupt_machine(Sim *sim, guint machine, double seconds)
{
  interrupt_spot_machine(sim, g_ptr_array_index(sim->machines, machine), seconds);
}

void
sim_block_outbound_of_random_machine(Sim *sim, double seconds)
{
  Machine *machine = draw_running_machine(sim);
  if (machine != NULL)
    machine->outbound_unreachable_until_ms = sim->now_ms + (gint64)(seconds * 1000.0);
}

static void
set_fault_end(Sim *sim, gint64 *until_ms, double seconds)
{
  *until_ms = sim->now_ms + (gint64)(seconds * 1000.0);
}

void
sim_stall_machine(Sim *sim, guint machine, double seconds)
{
  set_fault_end(sim, &((Machine *)g_ptr_array_index(sim->machines, machine))->stalled_until_ms,
                seconds);
}

void
sim_block_outbound(Sim *sim, guint machine, double seconds)
{
  set_fault_end(
      sim, &((Machine *)g_ptr_array_index(sim->machines, machine))->outbound_unreachable_until_ms,
      seconds);
}

void
sim_block_inbound(Sim *sim, guint machine, double seconds)
{
  set_fault_end(
      sim, &((Machine *)g_ptr_array_index(sim->machines, machine))->inbound_unreachable_until_ms,
      seconds);
}

guint
sim_draw_machine(Sim *sim)
{
  Machine *machine = draw_running_machine(sim);
  guint place = G_MAXUINT;
  if (machine != NULL)
    (void)g_ptr_array_find(sim->machines, machine, &place);
  return place;
}

void
sim_restart_random_machine(Sim *sim)
{
  Machine *machine = draw_running_machine(sim);
  if (machine == NULL)
    return;
  g_array_set_size(machine->worker->tasks, 0);
  machine->worker->incarnation++;
  machine->worker->renewed_ms = sim->now_ms;
  machine->next_heartbeat_ms = sim->now_ms + 300;
}

static void
reset_machine(const Sim *sim, Machine *machine)
{
  sim_worker_begin_anew(machine->worker, sim->now_ms);
  machine->next_heartbeat_ms = sim->now_ms + 300;
}

void
sim_reset_random_machine(Sim *sim)
{
  Machine *machine = draw_running_machine(sim);
  if (machine != NULL)
    reset_machine(sim, machine);
}

void
sim_reset_all_machines(Sim *sim)
{
  for (guint i = 0; i < sim->machines->len; i++) {
    Machine *machine = g_ptr_array_index(sim->machines, i);
    if (sim_is_up(sim, machine))
      reset_machine(sim, machine);
  }
}

void
sim_stall_all_machines(Sim *sim, double seconds)
{
  for (guint i = 0; i < sim->machines->len; i++)
    sim_stall_machine(sim, i, seconds);
}

void
sim_cache_images(Sim *sim)
{
  sim->caches_images = TRUE;
}

void
sim_expect_recorded_tasks(Sim *sim)
{
  sim->expects_recorded_tasks = TRUE;
}

void
sim_end_faults(Sim *sim)
{
  sim->faults = (SimFaults){ 0 };
  sim->cloud_delay_ms = 0;
  sim->cancel_at_completion = 0.0;
  sim->faults_ended_ms = sim->now_ms;
}

void
sim_announce_limits(Sim *sim, guint ops, gsize bytes)
{
  for (guint n = 0; n < SIM_NODES; n++) {
    sim->settings[n]->kv_max_txn_ops = ops;
    sim->settings[n]->kv_max_record_bytes = bytes;
  }
}

void
sim_lower_limits(Sim *sim, guint ops, gsize bytes)
{
  sim_store_set_limits(sim->store, ops, bytes);
}

guint
sim_count_rejected_for_size(const Sim *sim)
{
  return sim_store_count_rejected_for_size(sim->store);
}

SimFaults *
sim_faults(Sim *sim)
{
  return &sim->faults;
}

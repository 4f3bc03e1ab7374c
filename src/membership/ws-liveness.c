/**
 * Liveness of machines: which are up, which are suspected, and which are reachable in one direction
 * only.
 */
#include "membership/ws-failure-detection.h"

/* Time that a worker needs to find a new owner: its call to a node that does not answer times out
   after 4 s, and it calls the next node 1 s later. */
#define OWNER_DISCOVERY_MS 5000
/* The heartbeat timeout: 1.25 heartbeat intervals and a margin for the network. */
#define HEARTBEAT_TIMEOUT_MS_PER_INTERVAL_S 1250.0
#define HEARTBEAT_TIMEOUT_MARGIN_MS 900
/* This node is considered unreachable by workers if no heartbeat arrives while this many are due,
   but not before MIN_NO_HEARTBEAT_MS. */
#define MAX_MISSED_HEARTBEATS 8.0
#define MIN_NO_HEARTBEAT_MS 1500

gint64
ws_liveness_heartbeat_timeout_ms(const WsCore *core)
{
  return (gint64)(core->settings->report_s * HEARTBEAT_TIMEOUT_MS_PER_INTERVAL_S)
         + HEARTBEAT_TIMEOUT_MARGIN_MS;
}

gboolean
ws_machine_is_up(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.last_contact_ms > 0
         && core->now_ms - machine->worker.last_contact_ms
                <= ws_liveness_heartbeat_timeout_ms(core);
}

/* After a change of owner, a worker may still be waiting for an answer of the previous owner.
   Suspecting its machine during that time caused machines with running tasks to be returned, so the
   time starts OWNER_DISCOVERY_MS after the change. From a machine without any contact since this
   process started, heartbeats are expected only if tasks are assigned to it. */
gint64
ws_liveness_suspected_since_ms(const WsMachine *machine)
{
  if (machine->worker.last_contact_ms == 0 && machine->tasks->len == 0)
    return 0;
  gint64 discovery_end_ms = machine->worker.owned_since_ms > 0
                                ? machine->worker.owned_since_ms + OWNER_DISCOVERY_MS
                                : 0;
  return MAX(machine->worker.last_contact_ms, discovery_end_ms);
}

gboolean
ws_machine_is_suspected(const WsCore *core, const WsMachine *machine)
{
  gint64 since_ms = ws_liveness_suspected_since_ms(machine);
  return since_ms > 0 && core->now_ms - since_ms > ws_liveness_heartbeat_timeout_ms(core);
}

gint64
ws_liveness_unacknowledged_for_ms(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.unacknowledged_since_ms > 0
             ? core->now_ms - machine->worker.unacknowledged_since_ms
             : 0;
}

/* A machine that is not up is suspected, not outbound unreachable, even if it has unacknowledged
   commands. */
gboolean
ws_machine_is_outbound_unreachable(const WsCore *core, const WsMachine *machine)
{
  return ws_machine_is_up(core, machine)
         && ws_liveness_unacknowledged_for_ms(core, machine)
                > ws_liveness_heartbeat_timeout_ms(core);
}

/* A call to the worker showed a new incarnation, which means that its lease expired, and no
   heartbeat has arrived since. Tasks launched there would end when the next lease expires. A
   machine whose heartbeats are answered by other nodes keeps its incarnation. */
gboolean
ws_machine_is_inbound_unreachable(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.incarnation_changed_ms > machine->worker.last_heartbeat_ms
         && ws_machine_is_up(core, machine)
         && core->now_ms - machine->worker.incarnation_changed_ms
                > ws_liveness_heartbeat_timeout_ms(core);
}

void
ws_liveness_record_heartbeat(WsCore *core)
{
  core->failure_detector->last_heartbeat_ms = core->now_ms;
}

gboolean
ws_receives_no_heartbeats(const WsCore *core)
{
  return core->failure_detector->receives_no_heartbeats;
}

static guint
count_owned_senders(const WsCore *core)
{
  guint count = 0;
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->is_recorded && machine->worker.last_contact_ms > 0
        && ws_owns_machine(core, machine))
      count++;
  }
  return count;
}

/* Detects whether this node receives no heartbeats from any of its machines, which means that the
   workers cannot reach it rather than that all have failed. Other nodes then relay their
   heartbeats. */
void
ws_liveness_tick(WsCore *core)
{
  WsFailureDetector *detector = core->failure_detector;
  guint count = count_owned_senders(core);
  double allowed_ms = MAX_MISSED_HEARTBEATS * core->settings->report_s * 1000.0 / MAX(count, 1u);
  gint64 since_ms = MAX(detector->last_heartbeat_ms, ws_epoch_known_since_ms(core));
  gboolean no_heartbeats_arrive
      = count > 0 && (double)(core->now_ms - since_ms) > MAX(allowed_ms, MIN_NO_HEARTBEAT_MS);
  if (no_heartbeats_arrive && !detector->receives_no_heartbeats)
    g_info(
        "no heartbeats received from any worker: this node is considered unreachable by workers");
  detector->receives_no_heartbeats = no_heartbeats_arrive;
}

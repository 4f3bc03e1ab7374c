/**
 * Liveness of machines: which are up, which are suspected, and which are reached in one direction
 * only.
 */
#include "membership/ws-failure-detection.h"

/* The time for a worker to find a new owner: its call to a node that doesn't answer times out after
   4 s, and a second later it calls the next node. */
#define OWNER_DISCOVERY_MS 5000
/* A heartbeat is late after 1.25 intervals and a margin for the network. */
#define PATIENCE_MS_PER_INTERVAL_S 1250.0
#define PATIENCE_MARGIN_MS 900
/* This node counts as unreached by workers if none has reached it for the time in which so many
   heartbeats were due. */
#define UNREACHED_HEARTBEATS 8.0
#define MIN_UNREACHED_MS 1500

gint64
ws_liveness_heartbeat_timeout_ms(const WsCore *core)
{
  return (gint64)(core->settings->report_s * PATIENCE_MS_PER_INTERVAL_S) + PATIENCE_MARGIN_MS;
}

gboolean
ws_machine_is_up(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.heard_ms > 0
         && core->now - machine->worker.heard_ms <= ws_liveness_heartbeat_timeout_ms(core);
}

/* When the owner of a machine changes, its worker may first wait for an answer of the old one.
   Suspecting it for that once led to the return of machines with running tasks. A machine that this
   run of the program has never heard is expected to exist if tasks are assigned to it. */
gint64
ws_liveness_suspected_since_ms(const WsMachine *machine)
{
  if (machine->worker.heard_ms == 0 && machine->tasks->len == 0)
    return 0;
  gint64 discovered_ms = machine->worker.owned_since_ms > 0
                             ? machine->worker.owned_since_ms + OWNER_DISCOVERY_MS
                             : 0;
  return MAX(machine->worker.heard_ms, discovered_ms);
}

gboolean
ws_machine_is_suspected(const WsCore *core, const WsMachine *machine)
{
  gint64 since_ms = ws_liveness_suspected_since_ms(machine);
  return since_ms > 0 && core->now - since_ms > ws_liveness_heartbeat_timeout_ms(core);
}

gint64
ws_liveness_unacknowledged_for_ms(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.unacknowledged_since_ms > 0
             ? core->now - machine->worker.unacknowledged_since_ms
             : 0;
}

/* A machine that is not up is suspected instead, whatever it has not acknowledged. */
gboolean
ws_machine_is_outbound_unreachable(const WsCore *core, const WsMachine *machine)
{
  return ws_machine_is_up(core, machine)
         && ws_liveness_unacknowledged_for_ms(core, machine)
                > ws_liveness_heartbeat_timeout_ms(core);
}

/* A call to the worker has shown that its lease expired, and no heartbeat has arrived since. Tasks
   that are launched there end when the next lease expires. A machine whose heartbeats are answered
   by other nodes keeps its incarnation. */
gboolean
ws_machine_is_inbound_unreachable(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.incarnation_changed_ms > machine->worker.last_heartbeat_ms
         && ws_machine_is_up(core, machine)
         && core->now - machine->worker.incarnation_changed_ms
                > ws_liveness_heartbeat_timeout_ms(core);
}

void
ws_liveness_note_heartbeat(WsCore *core)
{
  core->failure_detector->last_heartbeat_ms = core->now;
}

gboolean
ws_receives_no_heartbeats(const WsCore *core)
{
  return core->failure_detector->receives_no_heartbeats;
}

static guint
count_heard_machines(const WsCore *core)
{
  guint count = 0;
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->is_recorded && machine->worker.heard_ms > 0 && ws_owns_machine(core, machine))
      count++;
  }
  return count;
}

/* Detects whether workers fail to reach this node, rather than having failed themselves. Their
   heartbeats are relayed by other nodes then. */
void
ws_liveness_tick(WsCore *core)
{
  WsFailureDetector *detector = core->failure_detector;
  guint count = count_heard_machines(core);
  double usual_ms = UNREACHED_HEARTBEATS * core->settings->report_s * 1000.0 / MAX(count, 1u);
  gint64 since_ms = MAX(detector->last_heartbeat_ms, ws_epoch_known_since_ms(core));
  gboolean is_unreached
      = count > 0 && (double)(core->now - since_ms) > MAX(usual_ms, MIN_UNREACHED_MS);
  if (is_unreached && !detector->receives_no_heartbeats)
    g_info("no worker reaches this node");
  detector->receives_no_heartbeats = is_unreached;
}

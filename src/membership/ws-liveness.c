/**
 * Liveness of machines: which are up, which are suspected, and which are reached in one direction
 * only.
 */
#include "membership/ws-failure-detection.h"

/* A worker whose node doesn't answer gives up after 4 s and tries the next one a second later. */
#define OWNER_DISCOVERY_MS 5000
/* A heartbeat is late after its interval and a quarter of it, and a margin for the way. */
#define PATIENCE_MS_PER_INTERVAL_S 1250.0
#define PATIENCE_MARGIN_MS 900
/* No worker reaches this node, if none did for as long as this many heartbeats should have taken.
 */
#define UNREACHED_HEARTBEATS 8.0
#define MIN_UNREACHED_MS 1500

gint64
ws_liveness_patience_ms(const WsCore *core)
{
  return (gint64)(core->settings->report_s * PATIENCE_MS_PER_INTERVAL_S) + PATIENCE_MARGIN_MS;
}

gboolean
ws_machine_is_up(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.heard_ms > 0
         && core->now - machine->worker.heard_ms <= ws_liveness_patience_ms(core);
}

/* When its owner changes, its worker may first wait for the old one in vain: taking that for
   silence had machines returned whose tasks ran. One that was never heard by this run of the
   program is there if tasks are on it. */
gint64
ws_liveness_suspected_since_ms(const WsMachine *machine)
{
  if (machine->worker.heard_ms == 0 && machine->tasks->len == 0)
    return 0;
  gint64 discovered_ms
      = machine->worker.owned_ms > 0 ? machine->worker.owned_ms + OWNER_DISCOVERY_MS : 0;
  return MAX(machine->worker.heard_ms, discovered_ms);
}

gboolean
ws_machine_is_suspected(const WsCore *core, const WsMachine *machine)
{
  gint64 since_ms = ws_liveness_suspected_since_ms(machine);
  return since_ms > 0 && core->now - since_ms > ws_liveness_patience_ms(core);
}

gint64
ws_liveness_unacknowledged_for_ms(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.unacknowledged_ms > 0 ? core->now - machine->worker.unacknowledged_ms : 0;
}

/* One that isn't heard is suspected, whatever it has not acknowledged. */
gboolean
ws_machine_is_outbound_unreachable(const WsCore *core, const WsMachine *machine)
{
  return ws_machine_is_up(core, machine)
         && ws_liveness_unacknowledged_for_ms(core, machine) > ws_liveness_patience_ms(core);
}

/* A call showed that its lease has ended, and it has sent no heartbeat since. Whatever is started
   there ends with the next lease. A machine whose heartbeats are only answered elsewhere keeps its
   incarnation. */
gboolean
ws_machine_is_inbound_unreachable(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.incarnation_changed_ms > machine->worker.reported_ms
         && ws_machine_is_up(core, machine)
         && core->now - machine->worker.incarnation_changed_ms > ws_liveness_patience_ms(core);
}

void
ws_liveness_note_heartbeat(WsCore *core)
{
  core->failure_detector->heartbeat_ms = core->now;
}

gboolean
ws_is_unreached_by_workers(const WsCore *core)
{
  return core->failure_detector->is_unreached_by_workers;
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

/* Whether it is this node that the workers don't reach, not they that have failed. Their heartbeats
   come through the others then. */
void
ws_liveness_tick(WsCore *core)
{
  WsFailureDetector *detector = core->failure_detector;
  guint count = count_heard_machines(core);
  double usual_ms = UNREACHED_HEARTBEATS * core->settings->report_s * 1000.0 / MAX(count, 1u);
  gint64 since_ms = MAX(detector->heartbeat_ms, ws_epoch_known_since_ms(core));
  gboolean is_unreached
      = count > 0 && (double)(core->now - since_ms) > MAX(usual_ms, MIN_UNREACHED_MS);
  if (is_unreached && !detector->is_unreached_by_workers)
    g_info("no worker reaches this node");
  detector->is_unreached_by_workers = is_unreached;
}

/**
 * Tracks the epoch that this node has begun: since when it is known, and whether a new epoch with
 * the same members has been requested.
 */
#include "membership/ws-membership-private.h"

struct _WsEpochTracker {
  guint64 epoch;              /* number of the last epoch that this node began */
  gint64 known_since_ms;      /* when it began, or when the last process pause ended */
  gboolean bump_is_requested; /* a conclusion about a machine needs a higher fencing token */
};

WsEpochTracker *
ws_epoch_tracker_new(void)
{
  return g_new0(WsEpochTracker, 1);
}

void
ws_epoch_tracker_free(WsEpochTracker *tracker)
{
  g_free(tracker);
}

gint64
ws_epoch_known_since_ms(const WsCore *core)
{
  return core->epoch_tracker->known_since_ms;
}

void
ws_epoch_restart_clock(WsCore *core, gint64 now_ms)
{
  core->epoch_tracker->known_since_ms = now_ms;
}

gboolean
ws_epoch_has_changed(const WsCore *core)
{
  return core->epoch_tracker->epoch != core->replica->epoch.number;
}

gboolean
ws_epoch_bump_is_requested(const WsCore *core)
{
  return core->epoch_tracker->bump_is_requested;
}

void
ws_epoch_request_bump(WsCore *core)
{
  core->epoch_tracker->bump_is_requested = TRUE;
}

static void
begin_ownership(WsCore *core, WsMachine *machine)
{
  machine->worker.redirected_ms = 0;
  machine->worker.failed_probes = 0;
  machine->worker.unacknowledged_since_ms = 0;
  if (machine->worker.handled_owner != machine->owner)
    machine->worker.owned_since_ms = core->now_ms;
  machine->worker.handled_owner = machine->owner;
}

static void
log_epoch(const WsCore *core)
{
  const WsEpoch *epoch = &core->replica->epoch;
  g_info("epoch %" G_GUINT64_FORMAT " at revision %" G_GUINT64_FORMAT ": %u members, leader %s"
         ", fencing tokens from %" G_GUINT64_FORMAT,
         epoch->number, ws_replica_version(core->replica, WS_KEY_EPOCH), epoch->members->len,
         epoch->leader != WS_NO_NODE ? ws_settings_node(core->settings, epoch->leader)->name
                                     : "none",
         epoch->first_token);
}

void
ws_epoch_begin(WsCore *core)
{
  WsEpochTracker *tracker = core->epoch_tracker;
  tracker->epoch = core->replica->epoch.number;
  tracker->known_since_ms = core->now_ms;
  tracker->bump_is_requested = FALSE;
  ws_peer_requests_clear(core);
  ws_gossip_begin_epoch(core);
  for (guint i = 0; i < core->replica->machines->len; i++)
    begin_ownership(core, ws_replica_machine(core->replica, i));
  log_epoch(core);
}

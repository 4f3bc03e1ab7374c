/**
 * Decides whether this node may act, and gives the reason if it may not.
 *
 * A node acts under its membership lease and the current epoch. All conditions under which it must
 * not act are checked here and nowhere else: a process pause, a lost lease, a partition, a replica
 * that lags behind, and cancellations that other nodes confirmed.
 */
#include "membership/ws-membership-private.h"

#include "membership/ws-peers.h"
#include "store/ws-store.h"

/* Margin for the time until a refusal takes effect, for clock drift and for messages in flight. */
#define LEASE_RENEWAL_MARGIN_MS 4000.0
/* After a longer pause between two inputs this node's lease may have expired. */
#define STALL_THRESHOLD_MS 3000

struct _WsAuthority {
  gboolean is_stalled;                    /* see ws_authority_detect_stall() */
  gint64 cancellations_known_ms;          /* when this node last knew all confirmed cancellations */
  gboolean has_heartbeat_from_other_zone; /* isolated, but receives heartbeats from other zones */
};

WsAuthority *
ws_authority_new(void)
{
  return g_new0(WsAuthority, 1);
}

void
ws_authority_free(WsAuthority *authority)
{
  g_free(authority);
}

const char *
ws_refusal_describe(WsRefusal refusal)
{
  static const char *const DESCRIPTIONS[] = {
    [WS_REFUSAL_NONE] = "allowed",
    [WS_REFUSAL_REPLICA_NOT_LOADED] = "the replica has not been loaded yet",
    [WS_REFUSAL_STALLED] = "lease and replica are unconfirmed after a process pause",
    [WS_REFUSAL_NOT_A_MEMBER] = "this node is not a member of the epoch",
    [WS_REFUSAL_NOT_SHARD_OWNER] = "another node owns the machine",
    [WS_REFUSAL_REPLICA_BEHIND_EPOCH] = "the replica has not caught up with the epoch",
    [WS_REFUSAL_EPOCH_SUPERSEDED] = "a newer epoch exists",
    [WS_REFUSAL_CANCELLATIONS_UNKNOWN] = "this node may not know all confirmed cancellations",
    [WS_REFUSAL_STORE_UNAVAILABLE] = "the store is available to a peer but not to this node",
    [WS_REFUSAL_ISOLATED] = "neither the store nor any peer is reachable",
    [WS_REFUSAL_NO_CATALOG] = "the cloud's catalog has not been loaded yet",
    [WS_REFUSAL_MACHINE_UNREACHABLE] = "the machine is unreachable",
    [WS_REFUSAL_TOKEN_UNACKNOWLEDGED]
    = "the worker has not acknowledged a fencing token of the epoch",
  };
  return DESCRIPTIONS[refusal];
}

/* Membership and ownership. */

static WsRefusal
check_loaded_and_not_stalled(const WsCore *core)
{
  if (!ws_store_is_loaded(core))
    return WS_REFUSAL_REPLICA_NOT_LOADED;
  return core->authority->is_stalled ? WS_REFUSAL_STALLED : WS_REFUSAL_NONE;
}

WsRefusal
ws_authority_check_member(const WsCore *core)
{
  WsRefusal refusal = check_loaded_and_not_stalled(core);
  if (refusal != WS_REFUSAL_NONE)
    return refusal;
  return ws_epoch_has_member(&core->replica->epoch, core->settings->self, core->incarnation)
             ? WS_REFUSAL_NONE
             : WS_REFUSAL_NOT_A_MEMBER;
}

gboolean
ws_is_active_member(const WsCore *core)
{
  return ws_authority_check_member(core) == WS_REFUSAL_NONE;
}

gboolean
ws_is_leader(const WsCore *core)
{
  return ws_is_active_member(core) && core->replica->epoch.leader == core->settings->self;
}

WsRefusal
ws_authority_check_ownership(const WsCore *core, const WsMachine *machine)
{
  WsRefusal refusal = ws_authority_check_member(core);
  if (refusal != WS_REFUSAL_NONE)
    return refusal;
  return machine->owner == core->settings->self ? WS_REFUSAL_NONE : WS_REFUSAL_NOT_SHARD_OWNER;
}

gboolean
ws_owns_machine(const WsCore *core, const WsMachine *machine)
{
  return ws_authority_check_ownership(core, machine) == WS_REFUSAL_NONE;
}

gboolean
ws_has_caught_up_with_epoch(const WsCore *core)
{
  return core->replica->revision >= ws_replica_version(core->replica, WS_KEY_EPOCH);
}

/* Process pauses. */

gboolean
ws_authority_is_stalled(const WsCore *core)
{
  return core->authority->is_stalled;
}

void
ws_authority_end_stall(WsCore *core)
{
  core->authority->is_stalled = FALSE;
}

/* During the pause the clock advanced while no message was read, so that every timeout of this
   node, including that of its lease, may seem to have expired. The timeouts are restarted. */
gboolean
ws_authority_detect_stall(WsCore *core, gint64 now_ms)
{
  gint64 pause_ms = now_ms - core->now_ms;
  if (core->now_ms == 0 || pause_ms <= STALL_THRESHOLD_MS)
    return FALSE;
  g_info("process pause of %.1f s detected: lease and replica unconfirmed",
         (double)pause_ms / 1000.0);
  core->authority->is_stalled = TRUE;
  ws_epoch_restart_clock(core, now_ms);
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    machine->worker.owned_since_ms = now_ms;
    machine->worker.unacknowledged_since_ms = 0;
  }
  ws_election_resume(core, now_ms);
  return TRUE;
}

/* Reachability. */

static gboolean
is_reachable_peer(const WsCore *core, WsNodeIndex node)
{
  return node != core->settings->self && ws_peer_is_reachable(core, node);
}

/* Whether the store is unavailable to this node but available to a reachable peer. In an outage
   that affects all nodes, this node waits until it ends. If the store is available to a peer, the
   peers continue without this node. */
static gboolean
store_is_available_to_peers_only(const WsCore *core)
{
  if (ws_store_is_available(core))
    return FALSE;
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (is_reachable_peer(core, n) && ws_peer(core, n)->store_is_available)
      return TRUE;
  return FALSE;
}

gboolean
ws_is_isolated(const WsCore *core)
{
  if (ws_store_is_available(core))
    return FALSE;
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (is_reachable_peer(core, n))
      return FALSE;
  return core->settings->nodes->len > 1;
}

gboolean
ws_authority_has_heartbeat_from_other_zone(const WsCore *core)
{
  return core->authority->has_heartbeat_from_other_zone;
}

void
ws_authority_record_heartbeat_from_other_zone(WsCore *core)
{
  core->authority->has_heartbeat_from_other_zone = TRUE;
}

/* Knowledge of confirmed cancellations and of newer epochs. */

/* Whether the peer has delivered all its cancellations since the store became unavailable. */
static gboolean
has_delivered_cancellations(const WsCore *core, const WsPeer *peer)
{
  return peer->cancellations_complete_ms > 0
         && peer->cancellations_complete_ms >= ws_store_unavailable_since_ms(core);
}

/* Whether this node knows all confirmed cancellations although its replica is not current: at least
   one peer is reachable, the store is unavailable to all reachable peers, so that none of them can
   confirm another cancellation, no reachable peer has cancellations that this node lacks, and at
   least one peer has delivered all of its own since the store became unavailable. */
static gboolean
peers_have_delivered_cancellations(const WsCore *core)
{
  gboolean any_is_reachable = FALSE, any_has_delivered = FALSE;
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    const WsPeer *peer = ws_peer(core, n);
    if (n == core->settings->self)
      continue;
    if (ws_peer_is_reachable(core, n)
        && (peer->store_is_available || peer->unacknowledged_cancellations > 0))
      return FALSE;
    any_is_reachable = any_is_reachable || ws_peer_is_reachable(core, n);
    any_has_delivered = any_has_delivered || has_delivered_cancellations(core, peer);
  }
  return any_is_reachable && any_has_delivered;
}

/* Whether this node knows every cancellation that was confirmed to a user. */
static gboolean
knows_all_cancellations(const WsCore *core)
{
  if (!ws_store_is_loaded(core))
    return FALSE;
  return ws_store_is_current(core) || core->settings->nodes->len == 1
         || peers_have_delivered_cancellations(core);
}

/* Whether a worker's lease that is renewed now expires in time for any cancellation that this node
   does not know. Tasks must end within cancel_s of the confirmation, which may have been given
   right after this node last knew all cancellations, and the renewed lease may last for its whole
   duration. An isolated node without heartbeats from other zones, as inside a partitioned zone,
   continues to renew: the nodes outside return the machines there in time. */
static gboolean
renewed_lease_expires_in_time(const WsCore *core)
{
  const WsSettings *settings = core->settings;
  if (knows_all_cancellations(core)
      || (ws_is_isolated(core) && !ws_authority_has_heartbeat_from_other_zone(core)))
    return TRUE;
  return (double)(core->now_ms - core->authority->cancellations_known_ms)
         < (settings->cancel_s - settings->lease_s) * 1000.0 - LEASE_RENEWAL_MARGIN_MS;
}

static gboolean
peer_knows_newer_epoch(const WsCore *core)
{
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (ws_peer(core, n)->epoch > core->replica->epoch.number)
      return TRUE;
  return FALSE;
}

void
ws_authority_record_known_cancellations(WsCore *core)
{
  if (knows_all_cancellations(core))
    core->authority->cancellations_known_ms = core->now_ms;
}

void
ws_authority_tick(WsCore *core)
{
  if (!ws_is_isolated(core))
    core->authority->has_heartbeat_from_other_zone = FALSE;
}

/* Permissions. */

WsRefusal
ws_authority_check_readiness(const WsCore *core)
{
  WsRefusal refusal = check_loaded_and_not_stalled(core);
  if (refusal != WS_REFUSAL_NONE)
    return refusal;
  if (core->replica->catalog == NULL)
    return WS_REFUSAL_NO_CATALOG;
  if (store_is_available_to_peers_only(core))
    return WS_REFUSAL_STORE_UNAVAILABLE;
  return ws_is_isolated(core) ? WS_REFUSAL_ISOLATED : WS_REFUSAL_NONE;
}

WsRefusal
ws_authority_check_lease_renewal(const WsCore *core, guint64 fencing_token)
{
  WsRefusal refusal = ws_authority_check_member(core);
  if (refusal != WS_REFUSAL_NONE)
    return refusal;
  if (fencing_token > core->replica->epoch.number)
    return WS_REFUSAL_EPOCH_SUPERSEDED;
  return renewed_lease_expires_in_time(core) ? WS_REFUSAL_NONE : WS_REFUSAL_CANCELLATIONS_UNKNOWN;
}

WsRefusal
ws_authority_check_heartbeat(const WsCore *core, guint64 fencing_token)
{
  WsRefusal refusal = ws_authority_check_lease_renewal(core, fencing_token);
  if (refusal != WS_REFUSAL_NONE)
    return refusal;
  if (peer_knows_newer_epoch(core))
    return WS_REFUSAL_EPOCH_SUPERSEDED;
  return store_is_available_to_peers_only(core) ? WS_REFUSAL_STORE_UNAVAILABLE : WS_REFUSAL_NONE;
}

WsRefusal
ws_authority_check_launch(const WsCore *core)
{
  WsRefusal refusal = ws_authority_check_member(core);
  if (refusal != WS_REFUSAL_NONE)
    return refusal;
  if (!ws_has_caught_up_with_epoch(core))
    return WS_REFUSAL_REPLICA_BEHIND_EPOCH;
  return knows_all_cancellations(core) ? WS_REFUSAL_NONE : WS_REFUSAL_CANCELLATIONS_UNKNOWN;
}

WsRefusal
ws_authority_check_command(const WsCore *core, const WsMachine *machine)
{
  if (machine->worker.endpoint == NULL || !ws_machine_is_up(core, machine)
      || ws_receives_no_heartbeats(core))
    return WS_REFUSAL_MACHINE_UNREACHABLE;
  if (!ws_epoch_has_token(&core->replica->epoch, machine->worker.fencing_token))
    return WS_REFUSAL_TOKEN_UNACKNOWLEDGED;
  return ws_authority_check_member(core);
}

WsRefusal
ws_authority_check_direct_launch(const WsCore *core, const WsMachine *machine)
{
  WsRefusal refusal = ws_authority_check_command(core, machine);
  return refusal != WS_REFUSAL_NONE ? refusal : ws_authority_check_launch(core);
}

/**
 * This node's membership lease, the leader election, and the epochs that the leader writes.
 */
#include "membership/ws-membership-private.h"

#include "store/ws-store.h"
#include "protocol/ws-kv.h"

#define LEASE_MS 4000
#define LEASE_TIMEOUT_MS 1000
#define LEASE_RETRY_MS 200
#define RENEW_INTERVAL_MS 900
#define RENEW_TIMEOUT_MS 800
#define RENEW_RETRY_MS 300
/* Before the member key is written again. */
#define LISTING_RETRY_MS 200
#define EPOCH_INTERVAL_MS 400
#define EPOCH_RETRY_MS 200
/* Between two epochs that are written only to raise the fencing token. */
#define REQUESTED_EPOCH_INTERVAL_MS 10000

struct _WsElection {
  guint64 lease;      /* 0: none */
  gboolean is_listed; /* the member key is written under this lease */
  gboolean call_is_in_flight;
  gint64 next_ms; /* when the lease is acquired, listed or renewed next */
  gboolean is_electing;
  gboolean is_writing_epoch;
  gint64 epoch_next_ms;      /* when the next epoch may be written */
  gint64 requested_epoch_ms; /* when one may be written with the same members */
  /* After a process pause: */
  gboolean call_predates_pause; /* the call in flight was sent before it */
  gboolean is_renewed;
  gboolean is_reading;
  guint pauses; /* a read counts only if there was no other pause since it was requested */
};

WsElection *
ws_election_new(void)
{
  return g_new0(WsElection, 1);
}

void
ws_election_free(WsElection *election)
{
  g_free(election);
}

static const char *
own_name(const WsCore *core)
{
  return ws_settings_node(core->settings, core->settings->self)->name;
}

static void
lose_lease(WsCore *core)
{
  WsElection *election = core->election;
  if (election->lease != 0)
    g_info("this node's lease has ended");
  election->lease = 0;
  election->is_listed = FALSE;
}

/* After a process pause this node acts again once the store has confirmed its lease, and the
   replica has read everything up to then. */
static void
on_resumption_read(WsCore *core, gboolean is_current, gpointer data)
{
  WsElection *election = core->election;
  election->is_reading = FALSE;
  if (!is_current || !election->is_renewed || election->pauses != GPOINTER_TO_UINT(data))
    return;
  ws_authority_end_stall(core);
  core->replan_is_needed = TRUE;
}

static void
note_renewed(WsElection *election, gboolean is_renewed)
{
  election->is_renewed = is_renewed && !election->call_predates_pause;
  election->call_predates_pause = FALSE;
}

void
ws_election_resume(WsCore *core, gint64 now_ms)
{
  WsElection *election = core->election;
  election->pauses++;
  election->next_ms = now_ms;
  election->call_predates_pause = election->call_is_in_flight;
  election->is_renewed = FALSE;
}

static void
on_lease(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsElection *election = core->election;
  election->call_is_in_flight = FALSE;
  election->call_predates_pause = FALSE;
  election->next_ms = core->now + LEASE_RETRY_MS;
  if (status == WS_KV_OK && ws_kv_lease_parse(body, &election->lease))
    election->next_ms = core->now;
}

static void
on_listed(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  WsElection *election = core->election;
  election->call_is_in_flight = FALSE;
  election->is_listed = result == WS_TXN_COMMITTED;
  note_renewed(election, election->is_listed);
  election->next_ms = core->now + (election->is_listed ? RENEW_INTERVAL_MS : LISTING_RETRY_MS);
  if (result == WS_TXN_UNAVAILABLE)
    lose_lease(core);
}

static void
on_renewed(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)body;
  (void)data;
  WsElection *election = core->election;
  election->call_is_in_flight = FALSE;
  election->next_ms = core->now + (status == WS_KV_OK ? RENEW_INTERVAL_MS : RENEW_RETRY_MS);
  note_renewed(election, status == WS_KV_OK);
  if (status == WS_KV_NOT_FOUND)
    lose_lease(core);
}

/* A late transaction of an earlier run of this node may have replaced the key, which then was
   deleted when that run's lease expired. */
static void
check_member_key(WsCore *core)
{
  if (!ws_store_is_loaded(core))
    return;
  for (guint i = 0; i < core->replica->members->len; i++) {
    const WsMember *member = &g_array_index(core->replica->members, WsMember, i);
    if (member->node == core->settings->self && member->incarnation == core->incarnation)
      return;
  }
  core->election->is_listed = FALSE;
}

static void
acquire_lease(WsCore *core)
{
  ws_store_post(core, WS_REQUEST_LEASE, WS_KV_LEASES_PATH, ws_kv_lease_request_encode(LEASE_MS), 0,
                LEASE_TIMEOUT_MS, on_lease, NULL);
}

static void
write_member_key(WsCore *core)
{
  WsTxn *txn = ws_txn_new();
  g_autofree char *key = ws_key(WS_KEYS_MEMBER, own_name(core));
  ws_txn_compare(txn, core->replica, key);
  ws_txn_put_leased(txn, key, ws_member_encode(core->incarnation), core->election->lease);
  ws_txn_commit(core, txn, WS_REQUEST_LEASE, on_listed, NULL);
}

static void
renew_lease(WsCore *core)
{
  g_autofree char *path = ws_kv_lease_renewal_path(core->election->lease);
  ws_store_post(core, WS_REQUEST_LEASE, path, NULL, 0, RENEW_TIMEOUT_MS, on_renewed, NULL);
}

/* Makes the next call for the lease, one at a time: acquires it, writes the member key under it,
   then renews it. */
static void
maintain_lease(WsCore *core)
{
  WsElection *election = core->election;
  if (election->call_is_in_flight || core->now < election->next_ms)
    return;
  check_member_key(core);
  if (election->lease != 0 && !election->is_listed && !ws_store_is_loaded(core))
    return;
  election->call_is_in_flight = TRUE;
  if (election->lease == 0)
    acquire_lease(core);
  else if (!election->is_listed)
    write_member_key(core);
  else
    renew_lease(core);
}

static gboolean
holds_leader_key(const WsCore *core)
{
  return core->replica->leader_node == core->settings->self
         && core->replica->leader_incarnation == core->incarnation;
}

static void
on_elected(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  core->election->is_electing = FALSE;
  if (result == WS_TXN_COMMITTED)
    g_info("elected leader");
  else if (result == WS_TXN_UNAVAILABLE)
    core->election->next_ms = core->now;
}

/* The key may still belong to an earlier incarnation of this node, until the lease of that one
   expires. It is replaced at once, since two processes never run under the same node name. */
static void
campaign_for_leader(WsCore *core)
{
  WsElection *election = core->election;
  if (!election->is_listed || election->is_electing || holds_leader_key(core))
    return;
  if (core->replica->leader_node != WS_NO_NODE
      && core->replica->leader_node != core->settings->self)
    return;
  election->is_electing = TRUE;
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_LEADER);
  ws_txn_put_leased(txn, WS_KEY_LEADER, ws_leader_encode(core->incarnation, own_name(core)),
                    election->lease);
  ws_txn_commit(core, txn, WS_REQUEST_LEASE, on_elected, NULL);
}

static void
on_epoch(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  core->election->is_writing_epoch = FALSE;
  core->election->epoch_next_ms
      = core->now + (result == WS_TXN_COMMITTED ? EPOCH_INTERVAL_MS : EPOCH_RETRY_MS);
}

/* Whether an epoch is to be written although its members are the same. */
static gboolean
new_epoch_is_due(WsCore *core)
{
  if (!ws_epoch_bump_is_requested(core) || core->now < core->election->requested_epoch_ms)
    return FALSE;
  core->election->requested_epoch_ms = core->now + REQUESTED_EPOCH_INTERVAL_MS;
  g_info("a new epoch is needed: a launch stays indeterminate");
  return TRUE;
}

/* Whether the present epoch names this node as leader, and the members that there are. */
static gboolean
epoch_is_current(const WsCore *core)
{
  const WsEpoch *epoch = &core->replica->epoch;
  return epoch->number > 0 && epoch->leader == core->settings->self
         && ws_epoch_has_same_members(epoch, core->replica->members);
}

static void
write_next_epoch(WsCore *core)
{
  core->election->is_writing_epoch = TRUE;
  WsEpoch next = { core->replica->epoch.number + 1, core->settings->self, core->replica->members };
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  ws_txn_compare(txn, core->replica, WS_KEY_LEADER);
  ws_txn_put(txn, WS_KEY_EPOCH, ws_epoch_encode(&next, core->settings));
  ws_txn_commit(core, txn, WS_REQUEST_LEASE, on_epoch, NULL);
}

static void
maintain_epoch(WsCore *core)
{
  const WsElection *election = core->election;
  if (!holds_leader_key(core) || election->is_writing_epoch || core->now < election->epoch_next_ms
      || core->replica->members->len == 0)
    return;
  if (!epoch_is_current(core) || new_epoch_is_due(core))
    write_next_epoch(core);
}

/* Reads once after a process pause, when the lease has been renewed. */
static void
read_for_resumption(WsCore *core)
{
  WsElection *election = core->election;
  if (!election->is_renewed || election->is_reading)
    return;
  election->is_reading = TRUE;
  ws_store_linearizable_read(core, on_resumption_read, GUINT_TO_POINTER(election->pauses));
}

void
ws_election_tick(WsCore *core)
{
  maintain_lease(core);
  if (!ws_store_is_loaded(core))
    return;
  if (ws_authority_is_stalled(core)) {
    read_for_resumption(core);
    return;
  }
  campaign_for_leader(core);
  maintain_epoch(core);
}

/**
 * This node's membership lease, the leader election, and the epochs that the leader writes.
 */
#include "membership/ws-membership-private.h"

#include "store/ws-store.h"
#include "protocol/ws-kv.h"

#define LEASE_DURATION_MS 4000
#define ACQUIRE_TIMEOUT_MS 1000
#define ACQUIRE_RETRY_MS 200
#define RENEW_INTERVAL_MS 900
#define RENEW_TIMEOUT_MS 800
#define RENEW_RETRY_MS 300
/* Delay before the member key is written again after a failure. */
#define MEMBER_KEY_RETRY_MS 200
#define EPOCH_WRITE_INTERVAL_MS 400
#define EPOCH_WRITE_RETRY_MS 200
/* Minimum time between two epochs that are written only to raise the fencing token. */
#define EPOCH_BUMP_INTERVAL_MS 10000

struct _WsElection {
  guint64 lease;           /* id of the lease; 0: none */
  gboolean has_member_key; /* the member key is written under this lease */
  gboolean lease_call_is_in_flight;
  gint64 next_lease_call_ms; /* earliest time of the next call for the lease or the member key */
  gint64 renewal_due_ms;     /* when the lease is to be renewed */
  gboolean is_campaigning;
  gboolean is_writing_epoch;
  gint64 next_epoch_ms;      /* earliest time of the next epoch */
  gint64 next_epoch_bump_ms; /* earliest time of the next epoch with the same members */
  /* After a process pause: */
  gboolean call_predates_pause; /* the lease call in flight was sent before the pause */
  gboolean lease_is_renewed;    /* the lease was renewed after the pause */
  gboolean read_is_in_flight;
  guint pause_count; /* identifies the last pause: reads requested before it are ignored */
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
    g_info("membership lease lost: acquiring a new one");
  election->lease = 0;
  election->has_member_key = FALSE;
}

/* After a process pause this node acts again once the store has renewed its lease and a
   linearizable read that began after the renewal is complete. */
static void
on_resumption_read(WsCore *core, gboolean is_current, gpointer data)
{
  WsElection *election = core->election;
  election->read_is_in_flight = FALSE;
  if (!is_current || !election->lease_is_renewed || election->pause_count != GPOINTER_TO_UINT(data))
    return;
  ws_authority_end_stall(core);
  core->replan_is_needed = TRUE;
}

static void
record_lease_renewal(WsElection *election, gboolean is_renewed)
{
  election->lease_is_renewed = is_renewed && !election->call_predates_pause;
  election->call_predates_pause = FALSE;
}

void
ws_election_resume(WsCore *core, gint64 now_ms)
{
  WsElection *election = core->election;
  election->pause_count++;
  election->next_lease_call_ms = now_ms;
  election->renewal_due_ms = now_ms;
  election->call_predates_pause = election->lease_call_is_in_flight;
  election->lease_is_renewed = FALSE;
}

static void
on_lease_acquired(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsElection *election = core->election;
  election->lease_call_is_in_flight = FALSE;
  election->call_predates_pause = FALSE;
  election->next_lease_call_ms = core->now_ms + ACQUIRE_RETRY_MS;
  if (status != WS_KV_OK)
    return;
  if (!ws_kv_lease_parse(body, &election->lease)) {
    if (body != NULL)
      ws_refusals_record_field(core, WS_READER_STORE_REPLY, "the lease");
    return;
  }
  election->next_lease_call_ms = core->now_ms;
  election->renewal_due_ms = core->now_ms + RENEW_INTERVAL_MS;
}

static void
on_member_key_written(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  WsElection *election = core->election;
  election->lease_call_is_in_flight = FALSE;
  election->has_member_key = result == WS_TXN_COMMITTED;
  record_lease_renewal(election, election->has_member_key);
  election->next_lease_call_ms
      = core->now_ms + (election->has_member_key ? RENEW_INTERVAL_MS : MEMBER_KEY_RETRY_MS);
  if (result == WS_TXN_UNAVAILABLE)
    lose_lease(core);
}

static void
on_lease_renewed(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)body;
  (void)data;
  WsElection *election = core->election;
  election->lease_call_is_in_flight = FALSE;
  election->renewal_due_ms
      = core->now_ms + (status == WS_KV_OK ? RENEW_INTERVAL_MS : RENEW_RETRY_MS);
  election->next_lease_call_ms = election->has_member_key ? election->renewal_due_ms : core->now_ms;
  record_lease_renewal(election, status == WS_KV_OK);
  if (status == WS_KV_NOT_FOUND)
    lose_lease(core);
}

/* Schedules the member key to be written again if it is missing. A delayed transaction of an
   earlier run of this node may have overwritten it, and the store then deleted it with that run's
   lease. */
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
  core->election->has_member_key = FALSE;
}

static void
acquire_lease(WsCore *core)
{
  core->election->lease_call_is_in_flight = TRUE;
  ws_store_post(core, WS_REQUEST_LEASE, WS_KV_LEASES_PATH,
                ws_kv_lease_request_encode(LEASE_DURATION_MS), 0, ACQUIRE_TIMEOUT_MS,
                on_lease_acquired, NULL);
}

static void
write_member_key(WsCore *core)
{
  WsTxn *txn = ws_txn_new();
  core->election->lease_call_is_in_flight = TRUE;
  g_autofree char *key = ws_key(WS_KEY_PREFIX_MEMBER, own_name(core));
  ws_txn_compare(txn, core->replica, key);
  ws_txn_put_leased(txn, key, ws_member_encode(core->incarnation), core->election->lease);
  ws_txn_commit(core, txn, WS_REQUEST_LEASE, on_member_key_written, NULL);
}

static void
renew_lease(WsCore *core)
{
  core->election->lease_call_is_in_flight = TRUE;
  g_autofree char *path = ws_kv_lease_renewal_path(core->election->lease);
  ws_store_post(core, WS_REQUEST_LEASE, path, NULL, 0, RENEW_TIMEOUT_MS, on_lease_renewed, NULL);
}

/* Sends the next call for the lease, one at a time: acquires the lease, writes the member key under
   it once the replica is loaded, and renews it, also while the replica is being loaded. */
static void
maintain_lease(WsCore *core)
{
  WsElection *election = core->election;
  if (election->lease_call_is_in_flight || core->now_ms < election->next_lease_call_ms)
    return;
  check_member_key(core);
  if (election->lease == 0)
    acquire_lease(core);
  else if (!election->has_member_key && ws_store_is_loaded(core))
    write_member_key(core);
  else if (core->now_ms >= election->renewal_due_ms)
    renew_lease(core);
}

static gboolean
holds_leader_key(const WsCore *core)
{
  return core->replica->leader_node == core->settings->self
         && core->replica->leader_incarnation == core->incarnation;
}

/* Finds out soon whether the lease still exists. */
static void
renew_lease_at_once(WsCore *core)
{
  core->election->next_lease_call_ms = core->now_ms;
  core->election->renewal_due_ms = core->now_ms;
}

static void
on_leader_key_written(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  core->election->is_campaigning = FALSE;
  if (result == WS_TXN_COMMITTED)
    g_info("elected leader");
  else if (result == WS_TXN_UNAVAILABLE)
    renew_lease_at_once(core);
}

/* Writes the leader key if it is free or belongs to an earlier incarnation of this node, whose
   lease has not expired yet. A key of an earlier incarnation is replaced at once, since two
   processes never run under the same node name. */
static void
campaign_for_leader(WsCore *core)
{
  WsElection *election = core->election;
  if (!election->has_member_key || election->is_campaigning || holds_leader_key(core))
    return;
  if (core->replica->leader_node != WS_NO_NODE
      && core->replica->leader_node != core->settings->self)
    return;
  election->is_campaigning = TRUE;
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_LEADER);
  ws_txn_put_leased(txn, WS_KEY_LEADER, ws_leader_encode(core->incarnation, own_name(core)),
                    election->lease);
  ws_txn_commit(core, txn, WS_REQUEST_LEASE, on_leader_key_written, NULL);
}

static void
on_epoch_written(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  core->election->is_writing_epoch = FALSE;
  core->election->next_epoch_ms
      = core->now_ms
        + (result == WS_TXN_COMMITTED ? EPOCH_WRITE_INTERVAL_MS : EPOCH_WRITE_RETRY_MS);
}

/* Whether a requested epoch, with the same members as the current one, is due. */
static gboolean
epoch_bump_is_due(WsCore *core)
{
  if (!ws_epoch_bump_is_requested(core) || core->now_ms < core->election->next_epoch_bump_ms)
    return FALSE;
  core->election->next_epoch_bump_ms = core->now_ms + EPOCH_BUMP_INTERVAL_MS;
  g_info("writing a new epoch with the same members: a conclusion about a machine waits for a "
         "higher fencing token");
  return TRUE;
}

/* Whether the epoch in the replica has this node as leader, and its members are exactly the nodes
   that hold a lease. */
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
  WsEpoch next = { .leader = core->settings->self, .members = core->replica->members };
  ws_epoch_number_after(&next, core->replica->epoch.number);
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  ws_txn_compare(txn, core->replica, WS_KEY_LEADER);
  ws_txn_put(txn, WS_KEY_EPOCH, ws_epoch_encode(&next, core->settings));
  ws_txn_commit(core, txn, WS_REQUEST_LEASE, on_epoch_written, NULL);
}

static void
maintain_epoch(WsCore *core)
{
  const WsElection *election = core->election;
  if (!holds_leader_key(core) || election->is_writing_epoch
      || core->now_ms < election->next_epoch_ms || core->replica->members->len == 0)
    return;
  if (!epoch_is_current(core) || epoch_bump_is_due(core))
    write_next_epoch(core);
}

/* After a process pause, requests one linearizable read when the lease has been renewed. */
static void
read_for_resumption(WsCore *core)
{
  WsElection *election = core->election;
  if (!election->lease_is_renewed || election->read_is_in_flight)
    return;
  election->read_is_in_flight = TRUE;
  ws_store_linearizable_read(core, on_resumption_read, GUINT_TO_POINTER(election->pause_count));
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

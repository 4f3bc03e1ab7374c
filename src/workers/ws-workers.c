/**
 * Entry point of heartbeats: each is answered here, relayed to the owner of the machine, or its
 * worker is redirected there.
 */
#include "workers/ws-workers-private.h"

#include "fleet/ws-fleet.h"
#include "membership/ws-membership.h"
#include "protocol/ws-status-codes.h"

/* A worker that was redirected and comes back can't reach the owner. For this long it isn't
   redirected again; its heartbeats are relayed. */
#define REDIRECT_INTERVAL_MS 20000
/* How often one worker is redirected to a node that no worker reaches, to find out whether one does
   again. */
#define UNREACHED_OWNER_RETRY_MS 2000
/* The share of its lease for which a worker that was turned away and came back is served. */
#define KEPT_LEASE_SHARE 0.6
/* Retry-After of a heartbeat that this node doesn't answer now. */
#define RETRY_AFTER_S 1

WsWorkers *
ws_workers_new(void)
{
  WsWorkers *workers = g_new0(WsWorkers, 1);
  workers->cancelled_tasks = ws_cancelled_tasks_new();
  return workers;
}

void
ws_workers_free(WsWorkers *workers)
{
  ws_cancelled_tasks_free(workers->cancelled_tasks);
  g_free(workers);
}

/* Whether all nodes of the machine's zone reach the owner. */
static gboolean
zone_reaches(const WsCore *core, WsZoneIndex zone, WsNodeIndex owner)
{
  for (WsNodeIndex n = 0; n < core->settings->nodes->len; n++)
    if (n != owner && zone != WS_NO_ZONE
        && ws_replica_find_zone(core->replica, ws_settings_node(core->settings, n)->zone) == zone
        && !ws_peer_link_is_up(core, n, owner))
      return FALSE;
  return TRUE;
}

/* Whether the worker can be expected to reach the owner. */
static gboolean
may_redirect(const WsCore *core, const WsMachine *machine, WsNodeIndex owner)
{
  if (machine->worker.redirected_ms > 0
      && core->now - machine->worker.redirected_ms < REDIRECT_INTERVAL_MS)
    return FALSE;
  return ws_peer_is_reachable(core, owner) && zone_reaches(core, machine->zone, owner);
}

/* Returns whether a worker may be redirected to the owner now, and notes the redirect.

   While no worker reaches the owner, a redirected worker waits for a timeout that is longer than
   the failure detector allows between heartbeats. So only one worker at a time probes whether the
   owner is reached again. */
static gboolean
take_redirect(WsCore *core, WsNodeIndex owner)
{
  if (ws_peer_receives_no_heartbeats(core, owner)
      && core->now - ws_peer_last_redirect_ms(core, owner) < UNREACHED_OWNER_RETRY_MS)
    return FALSE;
  ws_peer_note_redirect(core, owner);
  return TRUE;
}

static void
redirect_or_relay(WsCore *core, WsMachine *machine, const char *body, gsize length,
                  gpointer request)
{
  WsNodeIndex owner = machine->owner;
  if (!may_redirect(core, machine, owner) || !take_redirect(core, owner)) {
    g_autofree char *heartbeat = g_strndup(body, length);
    ws_relay_heartbeat(core, owner, heartbeat, request);
    return;
  }
  machine->worker.redirected_ms = core->now;
  ws_answer(core, request, WS_HTTP_MISDIRECTED_REQUEST,
            ws_redirect_encode(ws_settings_node(core->settings, owner)->name), 0);
}

/* Whether this node may answer the heartbeat now, and the machine hasn't been returned. */
static gboolean
is_accepted(const WsCore *core, const WsHeartbeat *heartbeat)
{
  WsRefusal refusal = ws_authority_check_heartbeat(core, heartbeat->fencing_token);
  if (refusal == WS_REFUSAL_NONE && !ws_returns_is_confirmed(core, heartbeat->machine))
    return TRUE;
  g_debug("a heartbeat of %s is put off: %s", heartbeat->machine,
          refusal != WS_REFUSAL_NONE ? ws_refusal_describe(refusal) : "it is returned");
  return FALSE;
}

/* Whether the worker was turned away a short time ago, and has come back. */
static gboolean
was_turned_away(const WsCore *core, const WsMachine *machine)
{
  gint64 since_ms = core->now - machine->worker.turned_away_ms;
  return machine->worker.turned_away_ms > 0
         && (double)since_ms < KEPT_LEASE_SHARE * core->settings->lease_s * 1000.0;
}

/* Returns whether this node is isolated and turns the worker away, so that it tries another node.

   Isolated from the store and all other nodes, this node can't know whether a later epoch exists.
   If machines of other zones still reach it, only this node is partitioned: workers can reach the
   other nodes, and each is turned away once. One that comes back has reached none of them, so it is
   served: the answers renew its tasks' lease. If no machine of another zone reaches this node, the
   whole zone is partitioned, and its workers have no other node. */
static gboolean
turn_away_if_isolated(WsCore *core, WsMachine *machine)
{
  const WsNode *self = ws_settings_node(core->settings, core->settings->self);
  if (!ws_is_isolated(core))
    return FALSE;
  if (machine->zone != ws_replica_find_zone(core->replica, self->zone))
    ws_authority_note_heartbeat_from_other_zone(core);
  if (!ws_authority_has_heartbeat_from_other_zone(core) || was_turned_away(core, machine))
    return FALSE;
  machine->worker.turned_away_ms = core->now;
  return TRUE;
}

void
ws_workers_handle_heartbeat(WsCore *core, const char *body, gsize length, gpointer request)
{
  g_autoptr(json_t) message = ws_json_parse(body, length);
  g_autoptr(GError) error = NULL;
  g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse(message, &error);
  if (heartbeat == NULL) {
    g_warning("a heartbeat was refused: %s", error->message);
    ws_answer_error(core, request, WS_HTTP_BAD_REQUEST, error->message);
    return;
  }
  ws_liveness_note_heartbeat(core);
  if (!is_accepted(core, heartbeat)) {
    ws_answer_retry_later(core, request, RETRY_AFTER_S);
    return;
  }
  WsMachine *machine = ws_replica_ensure_machine(core->replica, heartbeat->machine);
  ws_replica_set_machine_attributes(core->replica, machine, heartbeat->type, heartbeat->zone,
                                    heartbeat->is_spot);
  if (turn_away_if_isolated(core, machine))
    ws_answer_retry_later(core, request, RETRY_AFTER_S);
  else if (machine->owner != core->settings->self)
    redirect_or_relay(core, machine, body, length, request);
  else
    ws_answer(core, request, WS_HTTP_OK, ws_workers_answer_heartbeat(core, heartbeat), 0);
}

/**
 * Heartbeats as they come in: answered here, passed on, or sent to the owner of the machine.
 */
#include "workers/ws-workers-private.h"

#include "fleet/ws-fleet.h"
#include "membership/ws-membership.h"
#include "protocol/ws-status-codes.h"

/* A worker that was redirected and comes back can't reach the owner: for so long it isn't
   redirected again, and its heartbeats are relayed. */
#define REDIRECT_INTERVAL_MS 20000
/* How often a worker is redirected to a node that says that no worker reaches it. */
#define UNREACHED_OWNER_RETRY_MS 2000
/* The share of its lease for which a worker that came back isn't turned away again. */
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

/* Where no worker reaches the owner, a redirect costs a worker the time in which it waits in vain,
   which is more than a machine may be silent: one now and then finds out when that is over. */
static gboolean
take_redirect(WsCore *core, WsNodeIndex owner)
{
  if (ws_peer_is_unreached_by_workers(core, owner)
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

/* Whether this node deals with the heartbeat at all. */
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

/* Whether an isolated node turns the worker away, so that it looks for another node.

   Isolated from the store and all other nodes, this one can't know whether a later epoch exists. If
   machines of other zones still reach it, the other nodes are there for them and for those of its
   own zone, and each is turned away. One that comes back has found nobody, and is kept: its tasks'
   lease is renewed by our answers. If no machine of another zone reaches this node, it is the zone
   that is partitioned. */
static gboolean
turns_away(WsCore *core, WsMachine *machine)
{
  const WsNode *self = ws_settings_node(core->settings, core->settings->self);
  if (!ws_is_isolated(core))
    return FALSE;
  if (machine->zone != ws_replica_find_zone(core->replica, self->zone))
    ws_authority_note_heartbeat_from_other_zone(core);
  gint64 since_ms = core->now - machine->worker.turned_away_ms;
  if (!ws_authority_is_reached_from_other_zones(core)
      || (machine->worker.turned_away_ms > 0
          && (double)since_ms < KEPT_LEASE_SHARE * core->settings->lease_s * 1000.0))
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
    ws_answer_reason(core, request, WS_HTTP_BAD_REQUEST, error->message);
    return;
  }
  ws_liveness_note_heartbeat(core);
  if (!is_accepted(core, heartbeat)) {
    ws_answer_later(core, request, RETRY_AFTER_S);
    return;
  }
  WsMachine *machine = ws_replica_get_machine(core->replica, heartbeat->machine);
  ws_replica_describe_machine(core->replica, machine, heartbeat->type, heartbeat->zone,
                              heartbeat->is_spot);
  if (turns_away(core, machine))
    ws_answer_later(core, request, RETRY_AFTER_S);
  else if (machine->owner != core->settings->self)
    redirect_or_relay(core, machine, body, length, request);
  else
    ws_answer(core, request, WS_HTTP_OK, ws_workers_answer_heartbeat(core, heartbeat), 0);
}

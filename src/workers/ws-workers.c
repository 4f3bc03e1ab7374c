/**
 * Entry point for heartbeats. A heartbeat is answered by this node or relayed to the owner of its
 * machine, or the worker is redirected to the owner.
 */
#include "workers/ws-workers-private.h"

#include "fleet/ws-fleet.h"
#include "membership/ws-membership.h"
#include "protocol/ws-status-codes.h"

/* Minimum time between redirects of the same worker. A worker that was redirected and sends its
   next heartbeat to this node again can't reach the owner. Its heartbeats are relayed for this
   time. */
#define REDIRECT_INTERVAL_MS 20000
/* Minimum time between redirects to an owner that no worker reaches. Each redirect probes whether
   workers reach the owner again. */
#define UNREACHED_OWNER_REDIRECT_INTERVAL_MS 2000
/* Minimum time between rejections of a worker by an isolated node, as a share of the lease. */
#define REJECTION_INTERVAL_LEASE_SHARE 0.6
/* Retry-After header for a heartbeat that is answered with 503. */
#define HEARTBEAT_RETRY_AFTER_S 1

WsWorkers *
ws_workers_new(void)
{
  WsWorkers *workers = g_new0(WsWorkers, 1);
  workers->cancelled_tasks = ws_cancelled_tasks_new();
  workers->command_stats = ws_command_stats_new();
  return workers;
}

void
ws_workers_free(WsWorkers *workers)
{
  ws_cancelled_tasks_free(workers->cancelled_tasks);
  ws_command_stats_free(workers->command_stats);
  g_free(workers);
}

/* Whether all nodes of the zone, except the owner itself, reach the owner. */
static gboolean
zone_nodes_reach_owner(const WsCore *core, WsZoneIndex zone, WsNodeIndex owner)
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
      && core->now_ms - machine->worker.redirected_ms < REDIRECT_INTERVAL_MS)
    return FALSE;
  return ws_peer_is_reachable(core, owner) && zone_nodes_reach_owner(core, machine->zone, owner);
}

/* Returns whether a worker may be redirected to the owner now. If so, records the time of the
   redirect.

   If workers can't reach the owner, a redirected worker waits for a timeout that is longer than the
   failure detector allows between heartbeats. So while no worker reaches the owner, only one worker
   per UNREACHED_OWNER_REDIRECT_INTERVAL_MS is redirected, to probe whether the owner is reachable
   again. */
static gboolean
try_reserve_redirect(WsCore *core, WsNodeIndex owner)
{
  if (ws_peer_receives_no_heartbeats(core, owner)
      && core->now_ms - ws_peer_last_redirect_ms(core, owner)
             < UNREACHED_OWNER_REDIRECT_INTERVAL_MS)
    return FALSE;
  ws_peer_record_redirect(core, owner);
  return TRUE;
}

static void
redirect_or_relay(WsCore *core, WsMachine *machine, const char *body, gsize length,
                  gpointer request)
{
  WsNodeIndex owner = machine->owner;
  if (!may_redirect(core, machine, owner) || !try_reserve_redirect(core, owner)) {
    g_autofree char *heartbeat = g_strndup(body, length);
    ws_relay_heartbeat(core, owner, heartbeat, request);
    return;
  }
  machine->worker.redirected_ms = core->now_ms;
  ws_answer(core, request, WS_HTTP_MISDIRECTED_REQUEST,
            ws_redirect_encode(ws_settings_node(core->settings, owner)->name), 0);
}

/* Whether this node may answer the heartbeat now and the machine hasn't been returned. */
static gboolean
may_answer_heartbeat(const WsCore *core, const WsHeartbeat *heartbeat)
{
  WsRefusal refusal = ws_authority_check_heartbeat(core, heartbeat->fencing_token);
  if (refusal == WS_REFUSAL_NONE && !ws_returns_is_confirmed(core, heartbeat->machine))
    return TRUE;
  g_debug("heartbeat from machine %s rejected with 503: %s", heartbeat->machine,
          refusal != WS_REFUSAL_NONE ? ws_refusal_describe(refusal)
                                     : "the machine has been returned");
  return FALSE;
}

/* Whether this node rejected the worker recently, so that it must serve the worker now. */
static gboolean
was_rejected_recently(const WsCore *core, const WsMachine *machine)
{
  gint64 since_ms = core->now_ms - machine->worker.last_rejection_ms;
  return machine->worker.last_rejection_ms > 0
         && (double)since_ms < REJECTION_INTERVAL_LEASE_SHARE * core->settings->lease_s * 1000.0;
}

/* Returns whether this node is isolated and rejects the worker, so that the worker tries another
   node. Records the time of the rejection.

   A node that is isolated from the store and from all other nodes can't know whether a later epoch
   exists. If machines of other zones still reach it, only this node is partitioned and workers can
   reach the other nodes, so each worker is rejected. A worker that sends its next heartbeat to this
   node again has reached no other node. It is served for REJECTION_INTERVAL_LEASE_SHARE of a lease,
   and the answers renew the lease of its tasks. If no machine of another zone reaches this node,
   the whole zone is partitioned and its workers can't reach any other node, so none is rejected. */
static gboolean
reject_if_isolated(WsCore *core, WsMachine *machine)
{
  const WsNode *self = ws_settings_node(core->settings, core->settings->self);
  if (!ws_is_isolated(core))
    return FALSE;
  if (machine->zone != ws_replica_find_zone(core->replica, self->zone))
    ws_authority_record_heartbeat_from_other_zone(core);
  if (!ws_authority_has_heartbeat_from_other_zone(core) || was_rejected_recently(core, machine))
    return FALSE;
  machine->worker.last_rejection_ms = core->now_ms;
  return TRUE;
}

void
ws_workers_handle_heartbeat(WsCore *core, const char *body, gsize length, gpointer request)
{
  g_autoptr(GError) error = NULL;
  g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse_text(body, length, &error);
  if (heartbeat == NULL) {
    ws_refusals_record(core, WS_READER_HEARTBEAT, error);
    ws_answer_error(core, request, WS_HTTP_BAD_REQUEST, error->message);
    return;
  }
  ws_liveness_record_heartbeat(core);
  if (!may_answer_heartbeat(core, heartbeat)) {
    ws_answer_retry_later(core, request, HEARTBEAT_RETRY_AFTER_S);
    return;
  }
  WsMachine *machine = ws_replica_ensure_machine(core->replica, heartbeat->machine);
  ws_replica_set_machine_attributes(core->replica, machine, heartbeat->type, heartbeat->zone,
                                    heartbeat->is_spot);
  if (reject_if_isolated(core, machine))
    ws_answer_retry_later(core, request, HEARTBEAT_RETRY_AFTER_S);
  else if (machine->owner != core->settings->self)
    redirect_or_relay(core, machine, body, length, request);
  else
    ws_answer(core, request, WS_HTTP_OK, ws_workers_answer_heartbeat(core, heartbeat), 0);
}

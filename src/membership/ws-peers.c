/**
 * Peers: which are reachable, which links between them are up, and the state that they announce.
 */
#include "membership/ws-peers.h"

#include "membership/ws-membership.h"

/* A peer is unreachable if no gossip from it arrives for this long: three gossip intervals of 700
   ms and a margin for a delayed message. */
#define PEER_TIMEOUT_MS 2600

WsPeers *
ws_peers_new(const WsSettings *settings)
{
  WsPeers *peers = g_new0(WsPeers, 1);
  peers->by_node = g_new0(WsPeer, settings->nodes->len);
  return peers;
}

void
ws_peers_free(WsPeers *peers)
{
  g_free(peers->by_node);
  g_free(peers);
}

WsPeer *
ws_peer(const WsCore *core, WsNodeIndex node)
{
  return &core->peers->by_node[node];
}

gboolean
ws_peer_is_reachable(const WsCore *core, WsNodeIndex node)
{
  const WsPeer *peer = ws_peer(core, node);
  return node == core->settings->self
         || (peer->last_contact_ms > 0 && core->now_ms - peer->last_contact_ms < PEER_TIMEOUT_MS);
}

gboolean
ws_peer_link_is_up(const WsCore *core, WsNodeIndex from, WsNodeIndex to)
{
  if (from == core->settings->self)
    return ws_peer_is_reachable(core, to);
  return from == to || !ws_peer_is_reachable(core, from)
         || (ws_peer(core, from)->reachable_nodes >> to & 1) != 0;
}

gboolean
ws_peer_store_is_available(const WsCore *core, WsNodeIndex node)
{
  return ws_peer(core, node)->store_is_available;
}

gboolean
ws_peer_replica_is_loaded(const WsCore *core, WsNodeIndex node)
{
  return ws_peer(core, node)->replica_is_loaded;
}

gboolean
ws_peer_receives_no_heartbeats(const WsCore *core, WsNodeIndex node)
{
  return ws_peer(core, node)->receives_no_heartbeats;
}

gint64
ws_peer_last_redirect_ms(const WsCore *core, WsNodeIndex node)
{
  return ws_peer(core, node)->last_redirect_ms;
}

void
ws_peer_record_redirect(WsCore *core, WsNodeIndex node)
{
  ws_peer(core, node)->last_redirect_ms = core->now_ms;
}

guint
ws_peer_relays_in_flight(const WsCore *core, WsNodeIndex node)
{
  return ws_peer(core, node)->relays_in_flight;
}

void
ws_peer_begin_relay(WsCore *core, WsNodeIndex node)
{
  ws_peer(core, node)->relays_in_flight++;
}

void
ws_peer_end_relay(WsCore *core, WsNodeIndex node)
{
  ws_peer(core, node)->relays_in_flight--;
}

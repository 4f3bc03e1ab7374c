/**
 * The state of the peers, from their gossip and from the messages that this node sent them. Written
 * by ws-gossip.c and ws-peers.c. Private to membership.
 */
#pragma once

#include "context/ws-context.h"

/** A peer, as of its last gossip message. */
typedef struct {
  gint64 last_contact_ms; /**< when its gossip last arrived; 0: never */
  const char *version;    /**< version of its program, interned; NULL: no gossip yet */
  guint64 epoch;
  guint64 incarnation; /**< of the run that sent the last gossip */
  gboolean store_is_available;
  gboolean replica_is_loaded; /**< it has loaded its replica since it started */
  guint reachable_nodes;      /**< bit for each node whose gossip it receives */

  /* Cancellations. */
  guint unacknowledged_cancellations; /**< those it knows that this node hasn't acknowledged */
  gint64 cancellations_complete_ms;   /**< when it last announced that the store is unavailable to
                                           it and this node has acknowledged all */

  /* Workers. */
  gboolean receives_no_heartbeats; /**< it announces that it receives no heartbeats */
  gint64 last_redirect_ms;         /**< when a worker was last redirected to it */
  guint relays_in_flight;          /**< relayed heartbeats to it that are in flight */

  /* Gossip. */
  gboolean gossip_is_in_flight;
  gint64 gossip_sent_ms;
  guint64 acknowledged_revision; /**< of this node's announcements, received by it in this epoch */
  guint64 received_revision;     /**< of its announcements, received by this node in this epoch */
} WsPeer;

/** All peers of this node, and the revision of what it announces to them. */
struct _WsPeers {
  WsPeer *by_node;            /**< indexed by node; the entry of this node stays empty */
  guint64 announced_revision; /**< incremented by each announced change of this node's machines */
};

/** Returns the peer; for this node itself, an entry that stays empty. */
WsPeer *ws_peer(const WsCore *core, WsNodeIndex node);

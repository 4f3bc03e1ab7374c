/**
 * What this node knows of its peers, by their gossip and by what it has sent them. ws-gossip.c and
 * ws-peers.c write it. Private to membership.
 */
#pragma once

#include "context/ws-context.h"

/** A peer, as of its last gossip message. */
typedef struct {
  gint64 heard_ms;     /**< when it was last heard; 0: never */
  const char *version; /**< of the program that it runs, interned; NULL: not heard yet */
  guint64 epoch;
  guint64 incarnation; /**< of the run that was last heard */
  gboolean store_is_available;
  gboolean replica_is_loaded; /**< it has read the state since it began */
  guint reachable_nodes;      /**< bit for each node that it hears */

  /* Cancellations. */
  guint unacknowledged_cancellations; /**< those that it knows and this node hasn't acknowledged */
  gint64 cancellations_complete_ms;   /**< when it last announced that it is without store and has
                                           notified this node of all */

  /* Workers. */
  gboolean receives_no_heartbeats; /**< it announces that no worker reaches it */
  gint64 last_redirect_ms;         /**< when a worker was last redirected there all the same */
  guint relays_in_flight;          /**< heartbeats on their way to it */

  /* Gossip. */
  gboolean gossip_is_in_flight;
  gint64 gossip_sent_ms;
  guint64 acknowledged_revision; /**< of this node's announcements, what it has in this epoch */
  guint64 received_revision;     /**< of its announcements, what this node has in this epoch */
} WsPeer;

/** All peers of this node, and the revision of what it announces to them. */
struct _WsPeers {
  WsPeer *by_node;            /**< by node; that of this node itself stays empty */
  guint64 announced_revision; /**< counts the changes of this node's machines that are announced */
};

/** The peer; for this node itself an empty one. */
WsPeer *ws_peer(const WsCore *core, WsNodeIndex node);

/**
 * Functions shared between the modules of membership. Private to membership.
 */
#pragma once

#include "membership/ws-membership.h"

/**
 * Makes the election renew or acquire the lease and read the store before this node acts again.
 * Called after a process pause.
 */
void ws_election_resume(WsCore *core, gint64 now_ms);

/** Ends the stall after a process pause: the lease was renewed, and the store read after that. */
void ws_authority_end_stall(WsCore *core);

/** Restarts the time for which the epoch has been known. Called after a process pause. */
void ws_epoch_restart_clock(WsCore *core, gint64 now_ms);

/** Whether a new epoch with the same members has been requested since the current one began. */
gboolean ws_epoch_bump_is_requested(const WsCore *core);

/** Requests a new epoch, whose fencing tokens are above all that were issued so far. */
void ws_epoch_request_bump(WsCore *core);

/**
 * Resets the acknowledged and received revisions of all peers. Machines may have new owners, so the
 * next gossip contains all machines of its sender.
 */
void ws_gossip_begin_epoch(WsCore *core);

/** Handles a batch of requests from another node and answers it. */
void ws_peer_requests_handle(WsCore *core, const json_t *message, gpointer request);

/** Drops all queued requests. Callers repeat those that are still needed in the next epoch. */
void ws_peer_requests_clear(WsCore *core);

/** Returns how many cancellations the node has neither acknowledged nor sent to this node. */
guint ws_cancellations_count_unacknowledged(const WsCore *core, WsNodeIndex node);

/** Clears the node's acknowledgements: it restarted and has lost the cancellations. */
void ws_cancellations_forget_acknowledgements(WsCore *core, WsNodeIndex node);

/** Handles a notification of cancellations from another node and answers it. */
void ws_cancellations_handle_message(WsCore *core, const json_t *message, gpointer request);

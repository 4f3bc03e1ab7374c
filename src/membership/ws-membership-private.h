/**
 * What the modules of membership call of each other. Private to membership.
 */
#pragma once

#include "membership/ws-membership.h"

/** After a process pause: renews the lease or requests one, and reads, before this node acts. */
void ws_election_resume(WsCore *core, gint64 now_ms);

/** The lease is renewed and everything up to then was read: what this node knew counts again. */
void ws_authority_end_stall(WsCore *core);

/** Counts the time for which the epoch is known from now on: after a process pause. */
void ws_epoch_restart_clock(WsCore *core, gint64 now_ms);

/** Whether a new epoch was requested in this one. */
gboolean ws_epoch_bump_is_requested(const WsCore *core);

/** Requests a new epoch, whose fencing token ends what is indeterminate. */
void ws_epoch_request_bump(WsCore *core);

/** In a new epoch machines have other owners: announcements begin with all of them. */
void ws_gossip_begin_epoch(WsCore *core);

/** Handles another node's requests and answers. */
void ws_peer_requests_handle(WsCore *core, const json_t *message, gpointer request);

/** Drops what is queued: what was to be requested in an epoch is worked out afresh in the next. */
void ws_peer_requests_clear(WsCore *core);

/** How many cancellations the node has neither notified this one of nor acknowledged. */
guint ws_cancellations_count_unacknowledged(const WsCore *core, WsNodeIndex node);

/** The node has begun anew, and knows none that it had acknowledged. */
void ws_cancellations_forget_acknowledgements(WsCore *core, WsNodeIndex node);

/** Handles another node's notification of cancellations and answers. */
void ws_cancellations_handle_message(WsCore *core, const json_t *message, gpointer request);

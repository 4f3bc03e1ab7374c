/**
 * Who is in, who leads, who can be reached, and whether this node may act.
 *
 * Owns this node's lease, the election, the epochs that the leader writes, the gossip between
 * nodes, the requests that nodes make of each other, and the failure detector for machines.
 */
#pragma once

#include "storage/ws-evidence.h"
#include "store/ws-store.h"

/* Authority: whether this node may act, and if not why. */

/** Why this node may not do something. */
typedef enum {
  WS_REFUSAL_NONE,                  /**< it may */
  WS_REFUSAL_STATE_NOT_READ,        /**< the replica has not been loaded since the start */
  WS_REFUSAL_STALLED,               /**< after a process pause: lease and replica are unconfirmed */
  WS_REFUSAL_NOT_A_MEMBER,          /**< no lease, or the epoch does not have this incarnation */
  WS_REFUSAL_NOT_SHARD_OWNER,       /**< the machine belongs to another node's shard */
  WS_REFUSAL_BEHIND_EPOCH,          /**< the records are older than the epoch */
  WS_REFUSAL_EPOCH_SUPERSEDED,      /**< a worker or a peer knows a newer epoch */
  WS_REFUSAL_CANCELLATIONS_UNKNOWN, /**< a confirmed cancellation may be missing here */
  WS_REFUSAL_REFUSED_BY_STORE,      /**< the store is unavailable here, but not to a peer */
  WS_REFUSAL_ISOLATED,              /**< neither the store nor any peer is reached */
  WS_REFUSAL_NO_CATALOG,            /**< the cloud's catalog is not known yet */
  WS_REFUSAL_MACHINE_UNREACHABLE,   /**< no address, not up, or no worker reaches this node */
  WS_REFUSAL_TOKEN_UNACKNOWLEDGED   /**< the worker has not shown the present fencing token */
} WsRefusal;

/** The refusal in words, for the log. Static. */
const char *ws_refusal_describe(WsRefusal refusal);

WsAuthority *ws_authority_new(void);
void ws_authority_free(WsAuthority *authority);

/** Forgets what was heard from other zones, unless this node is isolated. For each tick. */
void ws_authority_tick(WsCore *core);

/** Notes the time, if this node knows all confirmed cancellations now. After each input. */
void ws_authority_note_cancellations(WsCore *core);

/** Whether this node is a member of the present epoch, with a lease that it may rely on. */
WsRefusal ws_authority_check_member(const WsCore *core);

/** Whether it is, and the machine is in its shard. */
WsRefusal ws_authority_check_ownership(const WsCore *core, const WsMachine *machine);

/**
 * Whether users may be sent here. They need no more than the store and what is known from it:
 * whether this node is among the members yet matters to workers only.
 */
WsRefusal ws_authority_check_readiness(const WsCore *core);

/**
 * Whether an answer may renew the lease of a worker that has shown the fencing token. Renewing
 * needs that every confirmed cancellation is known here, or that the lease ends before the time
 * limit (cancel_s) of any that isn't.
 */
WsRefusal ws_authority_check_lease_renewal(const WsCore *core, guint64 fencing_token);

/** The same for a heartbeat that reached this node itself: whether it should deal with it at all.
 */
WsRefusal ws_authority_check_heartbeat(const WsCore *core, guint64 fencing_token);

/** Whether the answer to a heartbeat may launch tasks. */
WsRefusal ws_authority_check_launch(const WsCore *core);

/** Whether the machine's worker may be called with commands (command RPC). */
WsRefusal ws_authority_check_command(const WsCore *core, const WsMachine *machine);

/** Whether it may be called to launch tasks. */
WsRefusal ws_authority_check_direct_launch(const WsCore *core, const WsMachine *machine);

/** ws_authority_check_member() as a predicate. */
gboolean ws_is_active_member(const WsCore *core);

/** Whether this node is an active member and leads the present epoch. */
gboolean ws_is_leader(const WsCore *core);

/** ws_authority_check_ownership() as a predicate. */
gboolean ws_owns_machine(const WsCore *core, const WsMachine *machine);

/**
 * Whether the replica is as new as the present epoch (read barrier).
 *
 * A new leader knows the epoch that it wrote before all that was written until then. Acting on its
 * records before that is acting on another leader's past: tasks were assigned to a machine that had
 * been returned, since a mark that came and went meanwhile is absent once more; an attempt that had
 * been taken elsewhere was launched again, and one just assigned was halted.
 */
gboolean ws_has_caught_up_with_epoch(const WsCore *core);

/** Whether neither the store nor any other node is reached. */
gboolean ws_is_isolated(const WsCore *core);

/** Whether a machine of another zone has reached this node while it is isolated. */
gboolean ws_authority_is_reached_from_other_zones(const WsCore *core);
void ws_authority_note_heartbeat_from_other_zone(WsCore *core);

WsElection *ws_election_new(void);
void ws_election_free(WsElection *election);
void ws_election_tick(WsCore *core);
/* This node stood still: it renews its lease or asks for one, and reads, before it acts again. */
void ws_election_resume(WsCore *core, gint64 now_ms);

struct _WsPeer {
  gint64 heard_ms;
  const char *version; /* interned: of the program that it runs; NULL: not heard yet */
  guint64 epoch;
  gboolean store_is_available;
  gboolean replica_is_loaded;         /* it has read the state since it began */
  guint64 incarnation;                /* of the run that was last heard */
  guint unacknowledged_cancellations; /* cancellations that it knows and this node hasn't
                                         acknowledged */
  gint64 cancellations_complete_ms;   /* when it last said that it is without state service and has
                                         told all */
  gboolean in_flight;
  gint64 sent_ms;
  gboolean is_unreached_by_workers; /* it says that no worker reaches it */
  gint64 last_redirect_ms;          /* when a worker was last sent there all the same */
  guint relays_in_flight;           /* reports on their way to it */
  guint reachable_nodes;            /* bit for each node it hears */
  guint64 acknowledged_revision; /* how much it has of what this node says of its machines, in this
                                    epoch */
  guint64 received_revision;     /* how much this node has of what it says */
};

void ws_gossip_tick(WsCore *core);
void ws_mesh_handle_request(WsCore *core, const char *path, const char *body, gsize length,
                            gpointer request);
gboolean ws_peer_is_reachable(const WsCore *core, WsNodeIndex node);
gboolean ws_peer_link_is_up(const WsCore *core, WsNodeIndex from, guint to);
void ws_gossip_begin_epoch(WsCore *core);

WsPeerRequests *ws_peer_requests_new(const WsSettings *settings);
void ws_peer_requests_free(WsPeerRequests *peer_requests, const WsSettings *settings);
void ws_peer_request_release(WsCore *core, const WsRelease *release);
void ws_peer_request_assignment(WsCore *core, const WsJob *job, guint task,
                                const WsMachine *machine);
void ws_peer_request_mark(WsCore *core, const WsMachine *machine, const char *why, gboolean now);
/* machine: WS_NONE for any */
void ws_peer_request_reservation(WsCore *core, const WsJob *job, WsMachineIndex machine,
                                 guint tasks);
void ws_peer_request_stop(WsCore *core, WsNodeIndex node, const WsJob *job, const WsAssignment *a);
void ws_peer_requests_handle(WsCore *core, const json_t *message, gpointer request);
void ws_peer_requests_clear(WsCore *core);
void ws_peer_requests_pump(WsCore *core);

void ws_failure_detector_tick(WsCore *core);
/* As of the last tick. */
gboolean ws_zone_is_partitioned(const WsCore *core, WsZoneIndex zone);
gboolean ws_machine_is_up(const WsCore *core, const WsMachine *machine);
/* Its reports come, but what it's told doesn't reach it. */
gboolean ws_machine_is_outbound_unreachable(const WsCore *core, const WsMachine *machine);
/* It can be called, but its reports reach nobody. */
gboolean ws_machine_is_inbound_unreachable(const WsCore *core, const WsMachine *machine);
gboolean ws_machine_is_silent(const WsCore *core, const WsMachine *machine);

WsCancellations *ws_cancellations_new(const WsSettings *settings);
void ws_cancellations_free(WsCancellations *cancellations);
/* By the records or by a peer's word: the job's user was told that it is cancelled. */
gboolean ws_cancellations_has(const WsCore *core, const WsJob *job);
/* How many cancellations the node has neither told of nor acknowledged. */
guint ws_cancellations_count_unacknowledged(const WsCore *core, WsNodeIndex node);
void ws_cancellations_forget_acknowledgements(WsCore *core, WsNodeIndex node);
void ws_cancellations_handle_message(WsCore *core, const json_t *message, gpointer request);

guint ws_cancellations_count(const WsCore *core);

/** The id of the job of the cancellation, by its place from 0 on. */
const char *ws_cancellations_job_id(const WsCore *core, guint i);

/** When the cancellation was confirmed to the user, as far as known; now: it isn't known. */
gint64 ws_cancellations_confirmed_ms(const WsCore *core, const char *job_id);

/** Whether a job of this id is known to be cancelled before its record says so. */
gboolean ws_cancellations_has_id(const WsCore *core, const char *job_id);

/** Learns of new cancellations and notifies peers. Returns whether tasks are to be halted now. */
gboolean ws_cancellations_pump(WsCore *core);

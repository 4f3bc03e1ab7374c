/**
 * Membership: who is a member, who leads, who can be reached, and whether this node may act.
 *
 * Owns this node's lease, the election, the epochs that the leader writes, the gossip between
 * nodes, the requests that nodes make of each other, confirmed cancellations, and the failure
 * detector for machines.
 *
 * Every structure here belongs to the core, which makes and frees it. All times are in ms of the
 * core's clock. No function keeps a string or a structure that it is handed, unless it says so.
 */
#pragma once

#include "storage/ws-evidence.h"
#include "store/ws-store.h"

/* Authority: whether this node may act, and if not why. */

/** Why this node may not do something. */
typedef enum {
  WS_REFUSAL_NONE,                  /**< it may */
  WS_REFUSAL_REPLICA_NOT_LOADED,    /**< the replica has not been loaded since the start */
  WS_REFUSAL_STALLED,               /**< after a process pause: lease and replica are unconfirmed */
  WS_REFUSAL_NOT_A_MEMBER,          /**< no lease, or the epoch does not have this incarnation */
  WS_REFUSAL_NOT_SHARD_OWNER,       /**< the machine belongs to another node's shard */
  WS_REFUSAL_REPLICA_BEHIND_EPOCH,  /**< the records are older than the epoch */
  WS_REFUSAL_EPOCH_SUPERSEDED,      /**< a worker or a peer knows a newer epoch */
  WS_REFUSAL_CANCELLATIONS_UNKNOWN, /**< a confirmed cancellation may be missing here */
  WS_REFUSAL_STORE_UNAVAILABLE,     /**< the store is unavailable here, but not to a peer */
  WS_REFUSAL_ISOLATED,              /**< neither the store nor any peer is reached */
  WS_REFUSAL_NO_CATALOG,            /**< the cloud's catalog is not known yet */
  WS_REFUSAL_MACHINE_UNREACHABLE,   /**< no address, not up, or no worker reaches this node */
  WS_REFUSAL_TOKEN_UNACKNOWLEDGED   /**< the worker has not shown the present fencing token */
} WsRefusal;

/** The refusal in words, for the log. Static. */
const char *ws_refusal_describe(WsRefusal refusal);

/** Creates the state of a node that is not stalled and has not known all cancellations yet. */
WsAuthority *ws_authority_new(void);

/** Frees the state; NULL is allowed. */
void ws_authority_free(WsAuthority *authority);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsAuthority, ws_authority_free)

/** Forgets what was heard from other zones, unless this node is isolated. For each tick. */
void ws_authority_tick(WsCore *core);

/** Notes the time, if this node knows all confirmed cancellations now. After each input. */
void ws_authority_record_known_cancellations(WsCore *core);

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
gboolean ws_authority_has_heartbeat_from_other_zone(const WsCore *core);

/**
 * Notes that a machine of another zone has reached this node, until the next tick without
 * isolation.
 */
void ws_authority_note_heartbeat_from_other_zone(WsCore *core);

/** Whether a process pause is not over yet: lease and replica have not been confirmed since. */
gboolean ws_authority_is_stalled(const WsCore *core);

/**
 * Compares the time of an input with that of the one before, before it becomes the present time.
 *
 * Returns whether there was a process pause in which this node's lease may have ended. Until it has
 * renewed its lease and read the state, it is no active member.
 */
gboolean ws_authority_detect_stall(WsCore *core, gint64 now_ms);

/* Election: this node's lease, the leader, and the epochs that the leader writes. */

/** Creates the state of a node without a lease. */
WsElection *ws_election_new(void);

/** Frees the state, but lets the lease run out by itself; NULL is allowed. */
void ws_election_free(WsElection *election);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsElection, ws_election_free)

/** Keeps the lease, stands for leader and, as leader, keeps the epoch. For each tick. */
void ws_election_tick(WsCore *core);

/* The present epoch, as this node has dealt with it. */

/** Creates the state of a node that has begun no epoch. */
WsEpochTracker *ws_epoch_tracker_new(void);

/** Frees the state; NULL is allowed. */
void ws_epoch_tracker_free(WsEpochTracker *tracker);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsEpochTracker, ws_epoch_tracker_free)

/** Since when the present epoch is known, or since the last process pause, in ms; 0: never. */
gint64 ws_epoch_known_since_ms(const WsCore *core);

/** Whether the replica has an epoch that was not begun yet. */
gboolean ws_epoch_has_changed(const WsCore *core);

/** Begins the replica's epoch: whatever rested on the shards of the old one is forgotten. */
void ws_epoch_begin(WsCore *core);

/* Peers: as of their last gossip message. */

/** Creates a peer for each node of the settings, none of which was heard. */
WsPeers *ws_peers_new(const WsSettings *settings);

/** Frees all peers. @peers: not NULL */
void ws_peers_free(WsPeers *peers);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsPeers, ws_peers_free)

/** Whether the node was heard lately, or is this one. */
gboolean ws_peer_is_reachable(const WsCore *core, WsNodeIndex node);

/** Whether one node hears another, as far as this one knows: links of unreachable nodes count as
    up. */
gboolean ws_peer_link_is_up(const WsCore *core, WsNodeIndex from, WsNodeIndex to);

/** Whether the store answers the peer, by its own account. */
gboolean ws_peer_store_is_available(const WsCore *core, WsNodeIndex node);

/** Whether the peer has read the state since it began. */
gboolean ws_peer_replica_is_loaded(const WsCore *core, WsNodeIndex node);

/** Whether no worker reaches the peer, by its own account. */
gboolean ws_peer_receives_no_heartbeats(const WsCore *core, WsNodeIndex node);

/** When a worker was last redirected to the peer, in ms; 0: never. */
gint64 ws_peer_last_redirect_ms(const WsCore *core, WsNodeIndex node);

/** Notes that a worker is redirected to the peer now. */
void ws_peer_note_redirect(WsCore *core, WsNodeIndex node);

/** How many heartbeats of its machines are on their way to the peer. */
guint ws_peer_relays_in_flight(const WsCore *core, WsNodeIndex node);

/** Counts a heartbeat that is passed on to the peer, be it through a third node. */
void ws_peer_begin_relay(WsCore *core, WsNodeIndex node);

/** Ends what ws_peer_begin_relay() began: it was answered, or has failed. */
void ws_peer_end_relay(WsCore *core, WsNodeIndex node);

/* Gossip and other messages between nodes. */

/** Sends gossip to the peers that are due. For each tick. */
void ws_gossip_tick(WsCore *core);

/** Handles a request of another node and answers it. @body: @length bytes, not kept; may be NULL */
void ws_peers_handle_request(WsCore *core, const char *path, const char *body, gsize length,
                             gpointer request);

/*
 * Peer requests: what nodes request of the leader, or of the owner of a machine.
 *
 * Each is queued until the next batch. It may be lost, and counts in the present epoch only: the
 * caller notices that nothing came of it, and requests it again.
 */

/** Creates an empty queue for each node of the settings. */
WsPeerRequests *ws_peer_requests_new(const WsSettings *settings);

/** Frees the queues with their requests, unsent. @settings: as they were created with */
void ws_peer_requests_free(WsPeerRequests *peer_requests, const WsSettings *settings);

/** Requests that the leader writes the release. */
void ws_peer_request_release(WsCore *core, const WsRelease *release);

/** Requests that the leader assigns the task to the machine. */
void ws_peer_request_assignment(WsCore *core, const WsJob *job, guint task,
                                const WsMachine *machine);

/** Requests that the leader marks the machine for termination. @now: without drain */
void ws_peer_request_mark(WsCore *core, const WsMachine *machine, const char *why, gboolean now);

/** Requests that the leader reserves capacity. @machine: WS_NO_MACHINE: any */
void ws_peer_request_reservation(WsCore *core, const WsJob *job, WsMachineIndex machine,
                                 guint tasks);

/** Requests that the node, which owns the machine of the assignment, stops the task. */
void ws_peer_request_stop(WsCore *core, WsNodeIndex node, const WsJob *job,
                          const WsAssignment *assignment);

/** Reads the mailbox and sends what is due; if this node is no active member, drops it. */
void ws_peer_requests_pump(WsCore *core);

/* The failure detector: liveness of machines, partitions of zones. */

/** Creates a detector that suspects no zone of the settings. */
WsFailureDetector *ws_failure_detector_new(const WsSettings *settings);

/** Frees the detector. @detector: not NULL */
void ws_failure_detector_free(WsFailureDetector *detector);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsFailureDetector, ws_failure_detector_free)

/** Probes suspected machines and requests the termination of dead ones. For each reconciliation. */
void ws_failure_detector_tick(WsCore *core);

/** Notes that a worker has reached this node itself. */
void ws_liveness_note_heartbeat(WsCore *core);

/** Whether no worker reaches this node, although there are some for it. As of the last tick. */
gboolean ws_receives_no_heartbeats(const WsCore *core);

/** Whether the zone is partitioned, as far as its machines' silence shows. As of the last tick. */
gboolean ws_zone_is_partitioned(const WsCore *core, WsZoneIndex zone);

/** Whether the machine was heard lately, by whatever message. */
gboolean ws_machine_is_up(const WsCore *core, const WsMachine *machine);

/** Whether its heartbeats come, but answers and commands don't reach it. */
gboolean ws_machine_is_outbound_unreachable(const WsCore *core, const WsMachine *machine);

/** Whether it can be called, but its heartbeats reach nobody. */
gboolean ws_machine_is_inbound_unreachable(const WsCore *core, const WsMachine *machine);

/** Whether nothing was heard of it although something should have been. */
gboolean ws_machine_is_suspected(const WsCore *core, const WsMachine *machine);

/* Confirmed cancellations. */

/** Creates an empty registry, for notices between the nodes of the settings. */
WsCancellations *ws_cancellations_new(const WsSettings *settings);

/** Frees the registry with its cancellations. @cancellations: not NULL */
void ws_cancellations_free(WsCancellations *cancellations);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsCancellations, ws_cancellations_free)

/** Whether the job's cancellation was confirmed to its user, by the records or by a peer. */
gboolean ws_cancellations_has_job(const WsCore *core, const WsJob *job);

/** How many cancellations are known whose jobs aren't over. */
guint ws_cancellations_count(const WsCore *core);

/** The id of the job of the cancellation, by its place from 0 on. Owned by the registry. */
const char *ws_cancellations_job_id(const WsCore *core, guint i);

/** When the cancellation was confirmed to the user, as far as known; now: it isn't known. */
gint64 ws_cancellations_confirmed_ms(const WsCore *core, const char *job_id);

/** Whether a job of this id is known to be cancelled before its record says so. */
gboolean ws_cancellations_has_id(const WsCore *core, const char *job_id);

/** Learns of new cancellations and notifies peers. Returns whether tasks are to be halted now. */
gboolean ws_cancellations_pump(WsCore *core);

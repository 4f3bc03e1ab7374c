/**
 * Membership: the members of the cluster, their leader, which nodes are reachable, and whether this
 * node may act.
 *
 * Owns this node's lease, the leader election, the epochs that the leader writes, the gossip
 * between nodes, peer requests, confirmed cancellations, and the failure detector for machines.
 *
 * The core creates and frees every structure declared here. All times are in ms of the core's
 * clock. Functions do not retain the strings and structures that are passed to them, unless
 * documented otherwise.
 */
#pragma once

#include "storage/ws-evidence.h"
#include "store/ws-store.h"

/* Authority: whether this node may act, and the reason if it may not. */

/** The reason why this node must not perform an action. */
typedef enum {
  WS_REFUSAL_NONE,                  /**< the action is allowed */
  WS_REFUSAL_REPLICA_NOT_LOADED,    /**< the replica has not been loaded yet */
  WS_REFUSAL_STALLED,               /**< lease and replica unconfirmed after a process pause */
  WS_REFUSAL_NOT_A_MEMBER,          /**< no lease, or this incarnation isn't in the epoch */
  WS_REFUSAL_NOT_SHARD_OWNER,       /**< the machine belongs to another node's shard */
  WS_REFUSAL_REPLICA_BEHIND_EPOCH,  /**< the replica is older than the epoch's record */
  WS_REFUSAL_EPOCH_SUPERSEDED,      /**< a worker or a peer knows a newer epoch */
  WS_REFUSAL_CANCELLATIONS_UNKNOWN, /**< this node may not know all confirmed cancellations */
  WS_REFUSAL_STORE_UNAVAILABLE,     /**< the store is available to a peer, not to this node */
  WS_REFUSAL_ISOLATED,              /**< neither the store nor any peer is reachable */
  WS_REFUSAL_NO_CATALOG,            /**< the cloud's catalog has not been loaded yet */
  WS_REFUSAL_MACHINE_UNREACHABLE,   /**< no endpoint, not up, or this node gets no heartbeats */
  WS_REFUSAL_TOKEN_UNACKNOWLEDGED   /**< the worker has reported no fencing token of the epoch */
} WsRefusal;

/** Returns the description of the refusal for the log, a static string. */
const char *ws_refusal_describe(WsRefusal refusal);

/** Creates the state: not stalled, and not all confirmed cancellations known yet. */
WsAuthority *ws_authority_new(void);

/** Frees the state; NULL is allowed. */
void ws_authority_free(WsAuthority *authority);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsAuthority, ws_authority_free)

/**
 * Clears the record of heartbeats from other zones unless this node is isolated. Called on each
 * tick.
 */
void ws_authority_tick(WsCore *core);

/**
 * Records the current time as the last one at which this node knew all confirmed cancellations, if
 * it does. Called after each input.
 */
void ws_authority_record_known_cancellations(WsCore *core);

/**
 * Checks that this node is an active member: the replica is loaded, lease and replica have been
 * confirmed since the last process pause, and the current epoch lists this incarnation.
 */
WsRefusal ws_authority_check_member(const WsCore *core);

/** Checks that this node is an active member and that the machine is in its shard. */
WsRefusal ws_authority_check_ownership(const WsCore *core, const WsMachine *machine);

/**
 * Checks whether this node can serve users (readiness). User requests need only the store and the
 * replica, so membership, which matters only to workers, is not required.
 */
WsRefusal ws_authority_check_readiness(const WsCore *core);

/**
 * Checks whether an answer may renew the lease of a worker that reported @fencing_token. Renewal
 * requires that this node knows every confirmed cancellation, or that the renewed lease expires
 * within the time limit (cancel_s) of any cancellation that it does not know. An isolated node that
 * receives no heartbeats from other zones is exempt from this requirement.
 */
WsRefusal ws_authority_check_lease_renewal(const WsCore *core, guint64 fencing_token);

/**
 * Checks whether this node should handle a heartbeat that it received directly: the lease may be
 * renewed, no peer knows a newer epoch, and the store is available to this node or to no reachable
 * peer.
 */
WsRefusal ws_authority_check_heartbeat(const WsCore *core, guint64 fencing_token);

/** Checks whether the answer to a heartbeat may launch tasks. */
WsRefusal ws_authority_check_launch(const WsCore *core);

/** Checks whether commands may be sent to the machine's worker (command RPC). */
WsRefusal ws_authority_check_command(const WsCore *core, const WsMachine *machine);

/** Checks whether a command RPC to the machine's worker may launch tasks. */
WsRefusal ws_authority_check_direct_launch(const WsCore *core, const WsMachine *machine);

/** ws_authority_check_member() as a predicate. */
gboolean ws_is_active_member(const WsCore *core);

/** Whether this node is an active member and the leader of the current epoch. */
gboolean ws_is_leader(const WsCore *core);

/** ws_authority_check_ownership() as a predicate. */
gboolean ws_owns_machine(const WsCore *core, const WsMachine *machine);

/**
 * Whether the replica includes every write up to the record of the current epoch (read barrier).
 *
 * A new leader knows the epoch that it wrote before its replica has received all earlier writes. A
 * leader that acted on such a replica assigned tasks to a machine that had been returned, because
 * its termination mark had been set and cleared in between; it also launched an attempt that had
 * been moved to another machine, and halted one that had just been assigned.
 */
gboolean ws_has_caught_up_with_epoch(const WsCore *core);

/** Whether neither the store nor any other node is reachable. FALSE if there is only one node. */
gboolean ws_is_isolated(const WsCore *core);

/** Whether a heartbeat from another zone arrived while this node is isolated. */
gboolean ws_authority_has_heartbeat_from_other_zone(const WsCore *core);

/**
 * Records a heartbeat from a machine of another zone. The next tick on which this node is not
 * isolated clears it.
 */
void ws_authority_record_heartbeat_from_other_zone(WsCore *core);

/** Whether lease and replica are still unconfirmed after a process pause. */
gboolean ws_authority_is_stalled(const WsCore *core);

/**
 * Detects a process pause by comparing @now_ms, the time of a new input, with that of the previous
 * input (the core's current time, not updated yet).
 *
 * Returns TRUE if the pause was so long that this node's lease may have expired. The node is then
 * not an active member until it has renewed its lease and read the store.
 */
gboolean ws_authority_detect_stall(WsCore *core, gint64 now_ms);

/* Election: this node's lease, leader election, and the epochs that the leader writes. */

/** Creates the state of a node without a lease. */
WsElection *ws_election_new(void);

/** Frees the state. The lease is not revoked, it expires. NULL is allowed. */
void ws_election_free(WsElection *election);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsElection, ws_election_free)

/**
 * Acquires or renews the lease, campaigns for leader and, as leader, writes new epochs. Called on
 * each tick.
 */
void ws_election_tick(WsCore *core);

/* Epoch tracker: which epoch this node has begun, and since when. */

/** Creates the state of a node that has not begun any epoch. */
WsEpochTracker *ws_epoch_tracker_new(void);

/** Frees the state; NULL is allowed. */
void ws_epoch_tracker_free(WsEpochTracker *tracker);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsEpochTracker, ws_epoch_tracker_free)

/**
 * Returns when this node began the current epoch or when the last process pause ended, whichever is
 * later, in ms. 0: neither has happened.
 */
gint64 ws_epoch_known_since_ms(const WsCore *core);

/** Whether the replica contains an epoch that this node has not begun yet. */
gboolean ws_epoch_has_changed(const WsCore *core);

/** Begins the epoch in the replica: resets all state that depends on the previous shards. */
void ws_epoch_begin(WsCore *core);

/* Peers: the state of the other nodes as of their last gossip message. */

/** Creates a peer for each node of the settings. All peers start as unreachable. */
WsPeers *ws_peers_new(const WsSettings *settings);

/** Frees all peers. @peers: not NULL */
void ws_peers_free(WsPeers *peers);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsPeers, ws_peers_free)

/** Whether gossip from the node arrived within the timeout, or the node is this one. */
gboolean ws_peer_is_reachable(const WsCore *core, WsNodeIndex node);

/**
 * Whether the link is up: node @from reports that it receives gossip from node @to. Links from
 * unreachable nodes, which can't report, are assumed to be up.
 */
gboolean ws_peer_link_is_up(const WsCore *core, WsNodeIndex from, WsNodeIndex to);

/** Whether the peer reports that the store is available to it. */
gboolean ws_peer_store_is_available(const WsCore *core, WsNodeIndex node);

/** Whether the peer reports that it has loaded its replica since it started. */
gboolean ws_peer_replica_is_loaded(const WsCore *core, WsNodeIndex node);

/** Whether the peer reports that it receives no heartbeats although it owns machines. */
gboolean ws_peer_receives_no_heartbeats(const WsCore *core, WsNodeIndex node);

/** Returns when a worker was last redirected to the peer, in ms; 0: never. */
gint64 ws_peer_last_redirect_ms(const WsCore *core, WsNodeIndex node);

/** Records that a worker is redirected to the peer now. */
void ws_peer_record_redirect(WsCore *core, WsNodeIndex node);

/** Returns how many relayed heartbeats to the peer are in flight. */
guint ws_peer_relays_in_flight(const WsCore *core, WsNodeIndex node);

/** Records that a heartbeat is being relayed to the peer, directly or through another node. */
void ws_peer_begin_relay(WsCore *core, WsNodeIndex node);

/** Records that a relay begun by ws_peer_begin_relay() was answered or failed. */
void ws_peer_end_relay(WsCore *core, WsNodeIndex node);

/* Gossip and other messages between nodes. */

/** Sends gossip to each peer to which it is due. Called on each tick. */
void ws_gossip_tick(WsCore *core);

/**
 * Handles a request from another node and answers it.
 *
 * @body: @length bytes, not retained; may be NULL
 */
void ws_peers_handle_request(WsCore *core, const char *path, const char *body, gsize length,
                             gpointer request);

/*
 * Peer requests: requests from a node to the leader, or to the owner of a machine.
 *
 * A request is queued until the next batch is sent. It may be lost, and is valid only in the
 * current epoch: a caller that sees no effect must repeat the request.
 */

/** Creates an empty queue for each node of the settings. */
WsPeerRequests *ws_peer_requests_new(const WsSettings *settings);

/** Frees the queues and discards unsent requests. @settings: those passed to the constructor */
void ws_peer_requests_free(WsPeerRequests *peer_requests, const WsSettings *settings);

/** Requests that the leader writes the release. */
void ws_peer_request_release(WsCore *core, const WsRelease *release);

/** Requests that the leader assigns the task to the machine. */
void ws_peer_request_assignment(WsCore *core, const WsJob *job, guint task,
                                const WsMachine *machine);

/** Requests that the leader marks the machine for termination. @is_immediate: without drain */
void ws_peer_request_mark(WsCore *core, const WsMachine *machine, const char *reason,
                          gboolean is_immediate);

/** Requests that the leader reserves capacity for the job. @machine: WS_NO_MACHINE: any machine */
void ws_peer_request_reservation(WsCore *core, const WsJob *job, WsMachineIndex machine,
                                 guint tasks);

/** Requests that @node, the owner of the assignment's machine, stops the task. */
void ws_peer_request_stop(WsCore *core, WsNodeIndex node, const WsJob *job,
                          const WsAssignment *assignment);

/**
 * Handles the requests for this node in received mailboxes and sends the queued batches that are
 * due. Drops both if this node is not an active member.
 */
void ws_peer_requests_pump(WsCore *core);

/* The failure detector: liveness of machines and partitions of zones. */

/** Creates a detector for the zones of the settings. No zone starts as partitioned. */
WsFailureDetector *ws_failure_detector_new(const WsSettings *settings);

/** Frees the detector. @detector: not NULL */
void ws_failure_detector_free(WsFailureDetector *detector);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsFailureDetector, ws_failure_detector_free)

/**
 * Probes suspected machines and requests the termination of dead ones. Called on each
 * reconciliation.
 */
void ws_failure_detector_tick(WsCore *core);

/** Records that a heartbeat reached this node directly, not through a relay. */
void ws_liveness_record_heartbeat(WsCore *core);

/**
 * Whether this node receives no heartbeats although it owns machines that should send them. As of
 * the last ws_failure_detector_tick().
 */
gboolean ws_receives_no_heartbeats(const WsCore *core);

/**
 * Whether the zone is partitioned, as inferred from missing heartbeats of its machines. As of the
 * last ws_failure_detector_tick().
 */
gboolean ws_zone_is_partitioned(const WsCore *core, WsZoneIndex zone);

/**
 * Whether the machine is up: its last heartbeat or reply to a call, or the last gossip from an
 * owner that announces it as up, is not older than the heartbeat timeout.
 */
gboolean ws_machine_is_up(const WsCore *core, const WsMachine *machine);

/** Whether heartbeats of the machine arrive, but answers and commands do not reach it. */
gboolean ws_machine_is_outbound_unreachable(const WsCore *core, const WsMachine *machine);

/** Whether calls reach the machine, but its heartbeats reach no node. */
gboolean ws_machine_is_inbound_unreachable(const WsCore *core, const WsMachine *machine);

/** Whether expected heartbeats of the machine are overdue. */
gboolean ws_machine_is_suspected(const WsCore *core, const WsMachine *machine);

/* Confirmed cancellations. */

/** Creates an empty registry of confirmed cancellations for the nodes of the settings. */
WsCancellations *ws_cancellations_new(const WsSettings *settings);

/** Frees the registry with its cancellations. @cancellations: not NULL */
void ws_cancellations_free(WsCancellations *cancellations);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsCancellations, ws_cancellations_free)

/** Whether the job's cancellation is known to be confirmed, from its record or from a peer. */
gboolean ws_cancellations_has_job(const WsCore *core, const WsJob *job);

/** Returns how many cancellations of unfinished jobs are known. */
guint ws_cancellations_count(const WsCore *core);

/** Returns the job id of the cancellation at index @i, from 0. Owned by the registry. */
const char *ws_cancellations_job_id(const WsCore *core, guint i);

/**
 * Returns the earliest known time at which the cancellation was confirmed, in ms. The current time
 * if no cancellation of the job is known.
 */
gint64 ws_cancellations_confirmed_ms(const WsCore *core, const char *job_id);

/** Whether the registry contains a cancellation of this job id, even if its record lacks it. */
gboolean ws_cancellations_has_id(const WsCore *core, const char *job_id);

/**
 * Adds new cancellations from the replica and notifies peers. Returns TRUE if the caller should
 * halt cancelled tasks now.
 */
gboolean ws_cancellations_pump(WsCore *core);

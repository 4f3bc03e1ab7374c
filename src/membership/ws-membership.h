/**
 * Who is in, who leads, who can be reached, and whether this node may act.
 *
 * Owns this node's lease, the election, the epochs that the leader writes, the gossip between
 * nodes, the requests that nodes make of each other, and the failure detector for machines.
 */
#pragma once

#include "storage/ws-evidence.h"
#include "store/ws-store.h"

gboolean ws_is_active_member(const WsCore *core);
gboolean ws_is_leader(const WsCore *core);
gboolean ws_owns_machine(const WsCore *core, const WsMachine *machine);
/* A new leader knows the epoch that it wrote before all that was written until then. Acting on its
   records before that is acting on another leader's past: tasks were assigned to a machine that had
   been returned, since a mark that came and went meanwhile is absent once more; an attempt that had
   been taken elsewhere was launched again, and one just assigned was halted. */
gboolean ws_has_caught_up_with_epoch(const WsCore *core);

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
gboolean ws_is_refused_by_store_alone(const WsCore *core);
/* Neither the state service nor any other node is reached. */
gboolean ws_is_isolated(const WsCore *core);
/* Nothing that was confirmed to a user is missed by this node. */
gboolean ws_has_all_cancellations(const WsCore *core);
/* Whether a lease that is renewed now ends in time for whatever is missed. */
gboolean ws_may_renew_worker_leases(const WsCore *core);
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

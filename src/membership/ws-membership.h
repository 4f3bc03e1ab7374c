/**
 * Who is in, who leads, who can be reached, and whether this node may act.
 *
 * Owns this node's lease, the election, the epochs that the leader writes, the gossip between
 * nodes, the requests that nodes make of each other, and the failure detector for machines.
 */
#pragma once

#include "storage/ws-evidence.h"
#include "store/ws-store.h"

gboolean ws_entitled(const WsCore *core);
gboolean ws_is_leader(const WsCore *core);
gboolean ws_owns(const WsCore *core, const WsMachine *machine);
/* A new leader knows the epoch that it wrote before all that was written until then. Acting on its
   records before that is acting on another leader's past: tasks were assigned to a machine that had
   been returned, since a mark that came and went meanwhile is absent once more; an attempt that had
   been taken elsewhere was launched again, and one just assigned was halted. */
gboolean ws_knows_all_before_epoch(const WsCore *core);

WsMembers *ws_members_new(void);
void ws_members_free(WsMembers *members);
void ws_members_tick(WsCore *core);
/* This node stood still: it renews its lease or asks for one, and reads, before it acts again. */
void ws_members_wake(WsCore *core, gint64 now_ms);

struct _WsPeer {
  gint64 heard_ms;
  const char *version; /* interned: of the program that it runs; NULL: not heard yet */
  guint64 epoch;
  gboolean store_ok;
  gboolean loaded;     /* it has read the state since it began */
  guint64 incarnation; /* of the run that was last heard */
  guint untold;        /* cancellations that it knows and this node hasn't acknowledged */
  gint64 settled_ms;   /* when it last said that it is without state service and has told all */
  gboolean in_flight;
  gint64 sent_ms;
  gboolean hears_no_worker; /* it says that no worker reaches it */
  gint64 tried_ms;          /* when a worker was last sent there all the same */
  guint relays;             /* reports on their way to it */
  guint reaches;            /* bit for each node it hears */
  guint64 acked; /* how much it has of what this node says of its machines, in this epoch */
  guint64 has;   /* how much this node has of what it says */
};

void ws_mesh_tick(WsCore *core);
void ws_mesh_request(WsCore *core, const char *path, const char *body, gsize length,
                     gpointer request);
gboolean ws_mesh_reaches(const WsCore *core, guint node);
gboolean ws_mesh_sees(const WsCore *core, guint from, guint to);
gboolean ws_mesh_alone_refused(const WsCore *core);
/* Neither the state service nor any other node is reached. */
gboolean ws_mesh_isolated(const WsCore *core);
/* Nothing that was confirmed to a user is missed by this node. */
gboolean ws_knows_all_cancellations(const WsCore *core);
/* Whether a lease that is renewed now ends in time for whatever is missed. */
gboolean ws_may_renew_lease(const WsCore *core);
void ws_mesh_new_epoch(WsCore *core);
void ws_mesh_relay(WsCore *core, guint owner, const char *report, gpointer request);

WsPeerRequests *ws_peer_requests_new(const WsSettings *settings);
void ws_peer_requests_free(WsPeerRequests *peer_requests, const WsSettings *settings);
void ws_peer_request_release(WsCore *core, const WsRelease *release);
void ws_peer_request_assignment(WsCore *core, const WsJob *job, guint task,
                                const WsMachine *machine);
void ws_peer_request_mark(WsCore *core, const WsMachine *machine, const char *why, gboolean now);
/* machine: WS_NONE for any */
void ws_peer_request_reservation(WsCore *core, const WsJob *job, guint machine, guint tasks);
void ws_peer_request_stop(WsCore *core, guint node, const WsJob *job, const WsAssignment *a);
void ws_peer_requests_taken(WsCore *core, const json_t *message, gpointer request);
void ws_peer_requests_forget(WsCore *core);
void ws_peer_requests_pump(WsCore *core);

void ws_failure_detector_tick(WsCore *core);
/* As of the last tick. */
gboolean ws_zone_partitioned(const WsCore *core, guint zone);
gboolean ws_machine_up(const WsCore *core, const WsMachine *machine);
/* Its reports come, but what it's told doesn't reach it. */
gboolean ws_machine_outbound_unreachable(const WsCore *core, const WsMachine *machine);
/* It can be called, but its reports reach nobody. */
gboolean ws_machine_inbound_unreachable(const WsCore *core, const WsMachine *machine);
gboolean ws_machine_silent(const WsCore *core, const WsMachine *machine);

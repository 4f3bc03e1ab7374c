/**
 * What every package of the core is handed: settings, the replica, the time of the input that is
 * being worked on, calls to other processes and answers to requests.
 *
 * Each package keeps its state in a structure of its own, of which this header knows the name only.
 * Whoever is called with the context may use the functions of its own package and of those below
 * it; .ci/layers has the order.
 */
#pragma once

#include "storage/ws-replica.h"
#include "context/ws-output.h"
#include "protocol/ws-properties.h"
#include "transport/ws-rate.h"

typedef void (*WsReplyFunc)(WsCore *core, guint status, const json_t *body, gpointer data);

typedef struct _WsStore WsStore;
typedef struct _WsElection WsElection;
typedef struct _WsPeer WsPeer;
typedef struct _WsAssignments WsAssignments;
typedef struct _WsFleet WsFleet;
typedef struct _WsRentals WsRentals;
typedef struct _WsReturns WsReturns;
typedef struct _WsCloudList WsCloudList;
typedef struct _WsPlan WsPlan;
typedef struct _WsPeerRequests WsPeerRequests;
typedef struct _WsTermination WsTermination;
typedef struct _WsCancellations WsCancellations;
typedef struct _WsReservations WsReservations;
typedef struct _WsWriteStats WsWriteStats;
typedef struct _WsLegacyReleases WsLegacyReleases;
typedef struct _WsReleases WsReleases;

struct _WsCore {
  const WsSettings *settings;
  const WsProperties *properties;
  WsReplica *replica;
  guint64 incarnation;
  gint64 now;
  gint64 wall;
  GQueue outputs;
  GHashTable *calls;
  guint64 next_call;
  WsStore *store;
  WsElection *election;
  WsAssignments *assignments;
  WsFleet *fleet;
  WsRentals *rentals;
  WsReturns *returns;
  WsCloudList *cloud_list;
  WsPlan *plan;
  WsPeerRequests *peer_requests;
  WsTermination *termination;
  WsCancellations *cancellations;
  WsReservations *reservations;
  WsWriteStats *write_stats;
  WsLegacyReleases *legacy_releases;
  WsReleases *releases;
  gint64 cancellations_known_ms; /* when this node last knew all that was confirmed to users */
  GHashTable *estimator;         /* by class */
  WsPeer *peers;
  guint64 gossip_revision;              /* counts what changed about this node's machines */
  gboolean is_reached_from_other_zones; /* cut off, yet heard by machines of other zones */
  gint64 report_ms;                     /* when a worker last reported to this node itself */
  gboolean is_unreached_by_workers;     /* none does, although there are some for it */
  guint rpcs_in_flight;                 /* launches on their way */
  guint probes_in_flight;
  guint next_probe; /* where the next round of status calls begins */
  guint64 plan_steps;
  guint64 plans;
  gint64 *partition_ms;           /* by zone: when it last seemed to be cut off; 0: never */
  gint64 *confirmed_partition_ms; /* by zone: when that was last sure */
  gboolean replan_is_needed;
  gint64 epoch_known_ms; /* since when the present epoch is known */
  guint64 handled_epoch;
  gboolean is_stalled; /* stood still, and has not renewed and read since */
  gint64 upkeep_ms;
  gint64 garbage_ms;
  gboolean new_epoch_needed; /* a doubt can only be ended by a higher token */
};

void ws_context_init_calls(WsCore *core);

/** Frees what was not popped, and forgets the calls without a reply. */
void ws_context_clear_calls(WsCore *core);

/** Ends every call as if no response had come. Returns whether there was any. */
gboolean ws_context_stop_calls(WsCore *core);

/** Hands the response to whoever made the call; FALSE: there is no such call (any more). */
gboolean ws_context_take_reply(WsCore *core, guint64 id, guint status, const char *body,
                               gsize length);

void ws_call(WsCore *core, const char *method, const char *address, const char *path,
             json_t *body /* taken, may be NULL */, guint timeout_ms, WsReplyFunc reply,
             gpointer data);
void ws_answer(WsCore *core, gpointer request, guint status, json_t *body /* taken */,
               guint retry_after_s);
void ws_answer_reason(WsCore *core, gpointer request, guint status, const char *reason);
void ws_answer_later(WsCore *core, gpointer request, guint retry_after_s);

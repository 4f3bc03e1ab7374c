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
#include "storage/ws-evidence.h"
#include "transport/ws-rate.h"

typedef void (*WsReplyFunc)(WsCore *core, guint status, const json_t *body, gpointer data);

typedef struct _WsStore WsStore;
typedef struct _WsElection WsElection;
typedef struct _WsPeer WsPeer;
typedef struct _WsAssignments WsAssignments;
typedef struct _WsFleet WsFleet;
typedef struct _WsPlan WsPlan;
typedef struct _WsPeerRequests WsPeerRequests;
typedef struct _WsCancellations WsCancellations;
typedef struct _WsWorkers WsWorkers;
typedef struct _WsReservations WsReservations;
typedef struct _WsWriteStats WsWriteStats;
typedef struct _WsLegacyReleases WsLegacyReleases;
typedef struct _WsReleases WsReleases;

/**
 * What lower packages ask of higher ones. The core connects them (ws-core.c), so that no package
 * includes what is above it.
 */
typedef struct {
  /** Asks for the machine's termination; immediately: without drain. For fleet. */
  void (*request_termination)(WsCore *core, WsMachine *machine, const char *reason,
                              gboolean immediately);
  /** Notes what a worker says of itself; FALSE: it is older than what is known. For workers. */
  gboolean (*note_worker_status)(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat);
  /** Tells the worker the fencing token of the present epoch. For workers. */
  void (*raise_fencing_token)(WsCore *core, WsMachine *machine);
  /** Stops the task for other work. For workers. */
  void (*halt_task)(WsCore *core, WsJob *job, WsAssignment *assignment);
  /** Answers another node's request to pass a heartbeat on. For workers. */
  void (*handle_relay)(WsCore *core, const json_t *message, gpointer request);
  /** Takes a release that a node hands in to the leader. For commit. */
  void (*handle_release)(WsCore *core, const WsRelease *release);
  /** The same without evidence, as versions before 0.4 send it. For commit. */
  void (*handle_legacy_release)(WsCore *core, const WsRelease *release);
  /** Takes an assignment that a node hands in to the leader. For commit. */
  void (*handle_assignment)(WsCore *core, WsJobIndex job, guint task, WsMachineIndex machine);
  /** Takes a reservation that a node hands in to the leader. For scheduling. */
  void (*handle_reservation)(WsCore *core, const WsJob *job, WsMachineIndex machine, guint tasks);
  /** Whether there are reservations that an assignment could violate. For scheduling. */
  gboolean (*has_reservations)(const WsCore *core);
  /** Whether an assignment leaves what is reserved for more urgent jobs. For scheduling. */
  gboolean (*allows_assignment)(const WsCore *core, const WsJob *job, guint assigned_tasks,
                                WsMachineIndex machine, const WsResources *machine_free,
                                const WsResources *team_use);
  /** An assignment was added to a transaction. For scheduling. */
  void (*note_assignment)(WsCore *core, const WsJob *job, WsMachineIndex machine);
} WsHandlers;

struct _WsCore {
  const WsHandlers *handlers;
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
  WsPlan *plan;
  WsPeerRequests *peer_requests;
  WsCancellations *cancellations;
  WsWorkers *workers;
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

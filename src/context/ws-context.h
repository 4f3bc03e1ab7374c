/**
 * What every package of the core is handed: settings, the replica, the time of the input that is
 * being handled, calls to other processes and answers to requests.
 *
 * Each package keeps its state in a structure of its own, of which this header knows the name only.
 * Whoever is called with the context may use the functions of its own package and of those below
 * it; .ci/layers has the order.
 */
#pragma once

#include "storage/ws-records.h"
#include "storage/ws-replica.h"
#include "context/ws-output.h"
#include "protocol/ws-properties.h"
#include "storage/ws-evidence.h"
#include "transport/ws-rate.h"

/**
 * Handles the reply to a call.
 *
 * @status: of HTTP; 0: no response came
 * @body: borrowed; NULL: there is none, or it isn't JSON
 * @data: as handed over with the call
 */
typedef void (*WsReplyFunc)(WsCore *core, guint status, const json_t *body, gpointer data);

/** The client of the key-value store; ws-store.h. */
typedef struct _WsStore WsStore;
/** Whether this node may act; ws-membership.h. */
typedef struct _WsAuthority WsAuthority;
/** This node's lease and the election of a leader; ws-membership.h. */
typedef struct _WsElection WsElection;
/** What is known of the other nodes; ws-membership.h. */
typedef struct _WsPeers WsPeers;
/** The present epoch, as this node has dealt with it; ws-membership.h. */
typedef struct _WsEpochTracker WsEpochTracker;
/** Liveness of machines and partitions of zones; ws-membership.h. */
typedef struct _WsFailureDetector WsFailureDetector;
/** Assignments on their way into the store; ws-commit.h. */
typedef struct _WsAssignments WsAssignments;
/** Rentals, returns and terminations of machines; ws-fleet.h. */
typedef struct _WsFleet WsFleet;
/** The state of planning between two plans; ws-scheduling.h. */
typedef struct _WsPlan WsPlan;
/** Requests to other nodes that wait to be sent; ws-membership.h. */
typedef struct _WsPeerRequests WsPeerRequests;
/** Cancellations that were confirmed to users; ws-membership.h. */
typedef struct _WsCancellations WsCancellations;
/** Commands to workers that are in flight or due; ws-workers.h. */
typedef struct _WsWorkers WsWorkers;
/** Capacity that is reserved for jobs; ws-scheduling.h. */
typedef struct _WsReservations WsReservations;
/** Counts of committed operations, by purpose; ws-store.h. */
typedef struct _WsWriteStats WsWriteStats;
/** Releases by versions before 0.4, without evidence; ws-commit.h. */
typedef struct _WsLegacyReleases WsLegacyReleases;
/** Releases on their way into the store; ws-commit.h. */
typedef struct _WsReleases WsReleases;
/** Run times learned by class; ws-commit.h. */
typedef struct _WsEstimator WsEstimator;
/** The garbage collection of finished jobs' records; ws-commit.h. */
typedef struct _WsGarbage WsGarbage;

/**
 * What lower packages request of higher ones. The core connects them (ws-core.c), so that no
 * package includes what is above it.
 */
typedef struct {
  /** Requests the machine's termination; immediately: without drain. For fleet. */
  void (*request_termination)(WsCore *core, WsMachine *machine, const char *reason,
                              gboolean immediately);
  /** Applies a worker's status; FALSE: it is older than what is known. For workers. */
  gboolean (*apply_worker_status)(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat);
  /** Sends the worker the fencing token of the present epoch. For workers. */
  void (*raise_fencing_token)(WsCore *core, WsMachine *machine);
  /** Stops the task for other work. For workers. */
  void (*halt_task)(WsCore *core, WsJob *job, WsAssignment *assignment);
  /** Answers another node's request to pass a heartbeat on. For workers. */
  void (*handle_relay)(WsCore *core, const json_t *message, gpointer request);
  /** Handles a release that a node forwards to the leader. For commit. */
  void (*handle_release)(WsCore *core, const WsRelease *release);
  /** The same without evidence, as versions before 0.4 send it. For commit. */
  void (*handle_legacy_release)(WsCore *core, const WsRelease *release);
  /** Handles an assignment that a node forwards to the leader. For commit. */
  void (*handle_assignment)(WsCore *core, WsJobIndex job, guint task, WsMachineIndex machine);
  /** Handles a reservation that a node forwards to the leader. For scheduling. */
  void (*handle_reservation)(WsCore *core, const WsJob *job, WsMachineIndex machine, guint tasks);
  /** Whether there are reservations that an assignment could violate. For scheduling. */
  gboolean (*has_reservations)(const WsCore *core);
  /** Whether an assignment leaves what is reserved for more urgent jobs. For scheduling. */
  gboolean (*allows_assignment)(const WsCore *core, const WsJob *job, guint assigned_tasks,
                                WsMachineIndex machine, const WsResources *machine_free,
                                const WsResources *team_use);
  /** An assignment was added to a transaction. For scheduling. */
  void (*on_assignment_added)(WsCore *core, const WsJob *job, WsMachineIndex machine);
} WsHandlers;

/**
 * One controller's state machine. Times are in ms; those of the core's clock begin anywhere and
 * never go back.
 */
struct _WsCore {
  /* Set once. */
  const WsHandlers *handlers;
  const WsSettings *settings;     /**< borrowed */
  const WsProperties *properties; /**< borrowed */
  guint64 incarnation;            /**< of this run of the node: never the same for two runs */

  /* The input that is being handled. */
  gint64 now;  /**< its time, by the core's clock */
  gint64 wall; /**< its time, by the wall clock */

  /* Outputs and calls; ws-context.c. */
  GQueue outputs;    /**< of WsOutput: what was not popped yet */
  GHashTable *calls; /**< by id: those without a reply */
  guint64 last_call_id;

  WsReplica *replica;

  /* The packages' own state; each is opaque to the others. */
  WsStore *store;
  WsWriteStats *write_stats;
  WsAuthority *authority;
  WsElection *election;
  WsEpochTracker *epoch_tracker;
  WsPeers *peers;
  WsFailureDetector *failure_detector;
  WsPeerRequests *peer_requests;
  WsCancellations *cancellations;
  WsAssignments *assignments;
  WsReleases *releases;
  WsLegacyReleases *legacy_releases;
  WsEstimator *estimator;
  WsGarbage *garbage;
  WsFleet *fleet;
  WsWorkers *workers;
  WsPlan *plan;
  WsReservations *reservations;

  /* Shared between packages. */
  gboolean replan_is_needed;     /**< something has changed that planning depends on */
  gint64 next_reconciliation_ms; /**< when the next periodic reconciliation is due */
};

/** Makes the table of calls. */
void ws_context_init_calls(WsCore *core);

/** Frees what was not popped, and forgets the calls without a reply. */
void ws_context_free_calls(WsCore *core);

/** Ends every call as if no response had come. Returns whether there was any. */
gboolean ws_context_stop_calls(WsCore *core);

/**
 * Hands the response to whoever made the call. FALSE: there is no such call (any more).
 *
 * @status: of HTTP; 0: no response came, and the body is ignored
 * @body: @length bytes, not kept
 */
gboolean ws_context_handle_reply(WsCore *core, guint64 id, guint status, const char *body,
                                 gsize length);

/**
 * Calls another process.
 *
 * The reply function is called exactly once, unless the core is freed first: with the status and
 * the body, which is NULL if it isn't JSON, or with status 0 if no response came within the
 * timeout.
 *
 * The method is a string literal, and is kept as it is; the other strings are copied.
 *
 * @address: HOST:PORT
 * @path: begins with a slash
 * @body: taken; NULL: there is none
 */
void ws_call(WsCore *core, const char *method, const char *address, const char *path, json_t *body,
             guint timeout_ms, WsReplyFunc reply, gpointer data);

/**
 * Answers a request, which must not be answered again.
 *
 * @body: taken
 * @retry_after_s: in seconds; 0: no such header
 */
void ws_answer(WsCore *core, gpointer request, guint status, json_t *body, guint retry_after_s);

/** Answers with an error and its reason in words. */
void ws_answer_error(WsCore *core, gpointer request, guint status, const char *reason);

/** Answers that the request should be made again after some seconds (503). */
void ws_answer_retry_later(WsCore *core, gpointer request, guint retry_after_s);

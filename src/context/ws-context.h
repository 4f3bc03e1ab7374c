/**
 * The context that every package of the core receives: settings, the replica, the time of the
 * current input, calls to other processes and answers to requests.
 *
 * Each package defines the structure of its own state; this header only declares the types. A
 * package may call its own functions and those of the packages below it. The order of the packages
 * is defined in .ci/layers.
 */
#pragma once

#include "storage/ws-records.h"
#include "storage/ws-replica.h"
#include "context/ws-output.h"
#include "context/ws-refusals.h"
#include "protocol/ws-properties.h"
#include "storage/ws-evidence.h"
#include "transport/ws-token-bucket.h"

/**
 * Handles the reply to a call.
 *
 * @status: the HTTP status; 0: no response was received
 * @body: borrowed; NULL: the reply has no body, or it isn't JSON
 * @data: as passed to ws_call()
 */
typedef void (*WsReplyFunc)(WsCore *core, guint status, const json_t *body, gpointer data);

/** The client of the key-value store; ws-store.h. */
typedef struct _WsStore WsStore;
/** Whether this node is currently allowed to act; ws-membership.h. */
typedef struct _WsAuthority WsAuthority;
/** This node's lease and the leader election; ws-membership.h. */
typedef struct _WsElection WsElection;
/** The known state of the other nodes; ws-membership.h. */
typedef struct _WsPeers WsPeers;
/** The epoch that this node has processed so far; ws-membership.h. */
typedef struct _WsEpochTracker WsEpochTracker;
/** The liveness of machines, and partitioned zones; ws-membership.h. */
typedef struct _WsFailureDetector WsFailureDetector;
/** Assignments that are not committed yet; ws-commit.h. */
typedef struct _WsAssignments WsAssignments;
/** Rentals, returns and terminations of machines; ws-fleet.h. */
typedef struct _WsFleet WsFleet;
/** Planning state that is kept from one plan to the next; ws-scheduling.h. */
typedef struct _WsPlan WsPlan;
/** Queued requests to other nodes; ws-membership.h. */
typedef struct _WsPeerRequests WsPeerRequests;
/** Cancellations that were confirmed to users; ws-membership.h. */
typedef struct _WsCancellations WsCancellations;
/** Commands to workers that are due or in flight; ws-workers.h. */
typedef struct _WsWorkers WsWorkers;
/** Capacity that is reserved for jobs; ws-scheduling.h. */
typedef struct _WsReservations WsReservations;
/** Counts of committed operations, by purpose; ws-store.h. */
typedef struct _WsWriteStats WsWriteStats;
/** Releases from versions before 0.4, without evidence; ws-commit.h. */
typedef struct _WsLegacyReleases WsLegacyReleases;
/** Releases that are not committed yet; ws-commit.h. */
typedef struct _WsReleases WsReleases;
/** Run times measured by job class; ws-commit.h. */
typedef struct _WsEstimator WsEstimator;
/** The garbage collection of finished jobs' records; ws-commit.h. */
typedef struct _WsGarbage WsGarbage;

/**
 * Callbacks from lower packages into higher ones. The core sets them (ws-core.c), so that no
 * package includes a header of a package above it. The package named in parentheses implements the
 * callback.
 */
typedef struct {
  /** Requests the termination of a machine; immediately: without draining it (fleet). */
  void (*request_termination)(WsCore *core, WsMachine *machine, const char *reason,
                              gboolean immediately);
  /** Applies a worker's status; FALSE: it is older than the known status (workers). */
  gboolean (*apply_worker_status)(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat);
  /** Sends the machine's fencing token to its worker (workers). */
  void (*raise_fencing_token)(WsCore *core, WsMachine *machine);
  /** Stops a task so that its capacity can be used for other work (workers). */
  void (*halt_task)(WsCore *core, WsJob *job, WsAssignment *assignment);
  /** Answers another node's request to relay a heartbeat (workers). */
  void (*handle_relay)(WsCore *core, const json_t *message, gpointer request);
  /** Handles a release that another node forwarded to the leader (commit). */
  void (*handle_release)(WsCore *core, const WsRelease *release);
  /** Handles a release without evidence, from a version before 0.4 (commit). */
  void (*handle_legacy_release)(WsCore *core, const WsRelease *release);
  /** Handles an assignment that another node forwarded to the leader (commit). */
  void (*handle_assignment)(WsCore *core, WsJobIndex job, guint task, WsMachineIndex machine);
  /** Handles a reservation that another node forwarded to the leader (scheduling). */
  void (*handle_reservation)(WsCore *core, const WsJob *job, WsMachineIndex machine, guint tasks);
  /** Returns whether any reservation exists that an assignment could violate (scheduling). */
  gboolean (*has_reservations)(const WsCore *core);
  /** Returns whether an assignment leaves capacity reserved for more urgent jobs (scheduling). */
  gboolean (*allows_assignment)(const WsCore *core, const WsJob *job, guint assigned_tasks,
                                WsMachineIndex machine, const WsResources *machine_free,
                                const WsResources *team_use);
  /** Called when an assignment was added to a transaction (scheduling). */
  void (*on_assignment_added)(WsCore *core, const WsJob *job, WsMachineIndex machine);
} WsHandlers;

/**
 * The state machine of one controller. All times are in milliseconds. The core's clock is monotonic
 * and starts at an arbitrary value.
 */
struct _WsCore {
  /* Set when the core is created, never changed. */
  const WsHandlers *handlers;
  const WsSettings *settings;     /**< borrowed */
  const WsProperties *properties; /**< borrowed */
  guint64 incarnation; /**< identifies this run of the node; differs between any two runs */

  /* The current input. */
  gint64 now_ms;       /**< its time on the core's monotonic clock */
  gint64 wall_ms;      /**< its time on the wall clock */
  const char *sender;  /**< the address of the process that sent it; NULL: a tick, or unknown */
  gsize message_bytes; /**< the size of its body */

  /* Outputs and calls; ws-context.c. */
  GQueue outputs;       /**< of WsOutput: not popped yet */
  GHashTable *calls;    /**< by id: calls without a reply so far */
  guint64 last_call_id; /**< the id of the most recent call */

  WsReplica *replica;
  WsRefusals *refusals; /**< messages that this node couldn't read */

  /* The state of each package, opaque to the other packages. */
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
  gboolean replan_is_needed;     /**< an input of planning has changed */
  gint64 next_reconciliation_ms; /**< when the next periodic reconciliation is due */
};

/** Creates the table of outstanding calls. */
void ws_context_init_calls(WsCore *core);

/** Frees the outputs that were not popped and drops all outstanding calls. */
void ws_context_free_calls(WsCore *core);

/** Ends every outstanding call as if no response had been received. Returns whether any existed. */
gboolean ws_context_stop_calls(WsCore *core);

/**
 * Passes a response to the reply function of its call. Returns FALSE if the call is not
 * outstanding.
 *
 * @status: the HTTP status; 0: no response was received, and the body is ignored
 * @body: @length bytes; not kept
 */
gboolean ws_context_handle_reply(WsCore *core, guint64 id, guint status, const char *body,
                                 gsize length);

/**
 * Queues an HTTP request to another process.
 *
 * The reply function is called exactly once, unless the core is freed first. It receives the status
 * and the body of the response (NULL if the body isn't JSON), or status 0 if no response was
 * received within the timeout.
 *
 * The method must be a string literal, since it isn't copied. The other strings are copied. Takes
 * ownership of @body.
 *
 * @address: HOST:PORT
 * @path: begins with a slash
 * @body: NULL: no body
 */
void ws_call(WsCore *core, const char *method, const char *address, const char *path, json_t *body,
             guint timeout_ms, WsReplyFunc reply, gpointer data);

/**
 * Answers a request. Each request must be answered exactly once. Takes ownership of @body.
 *
 * @retry_after_s: the value of the Retry-After header, in seconds; 0: no header
 */
void ws_answer(WsCore *core, gpointer request, guint status, json_t *body, guint retry_after_s);

/** Answers a request with an error. @reason: a message for the client */
void ws_answer_error(WsCore *core, gpointer request, guint status, const char *reason);

/** Answers a request with status 503 and the time after which the client should retry. */
void ws_answer_retry_later(WsCore *core, gpointer request, guint retry_after_s);

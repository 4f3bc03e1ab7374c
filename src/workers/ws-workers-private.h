/**
 * Declarations shared by the modules of src/workers: the state of the package, updates from worker
 * status, relays, and launches. Private to workers.
 */
#pragma once

#include "workers/ws-workers.h"

/** Counts of commands since they were last logged. */
typedef struct _WsCommandStats WsCommandStats;

/** What is counted. */
typedef enum {
  WS_COMMAND_DIRECT_LAUNCH, /**< a launch in a direct call */
  WS_COMMAND_REJECTED,      /**< a direct call answered with 409 */
  WS_COMMAND_UNANSWERED,    /**< a direct call without an answer */
  WS_COMMAND_REAP,
  WS_COMMAND_EVENT_COUNT
} WsCommandEvent;

/** Halt calls in flight for cancelled tasks, and the retry time of each machine. */
typedef struct _WsCancelledTasks WsCancelledTasks;

/** The state of this package. */
struct _WsWorkers {
  guint rpcs_in_flight; /**< calls sent by ws-worker-rpc.c */
  WsCancelledTasks *cancelled_tasks;
  WsCommandStats *command_stats;
};

/** Creates counts of zero. The caller frees them. */
WsCommandStats *ws_command_stats_new(void);

/** Frees the counts. @stats: not NULL */
void ws_command_stats_free(WsCommandStats *stats);

/** Counts one event. */
void ws_command_stats_add(const WsCore *core, WsCommandEvent event);

/**
 * Logs what this node knows of a task that it halts since the records don't assign it: a task that
 * another record assigns is expected here, while one of an unknown job or without any assignment
 * may mean that the replica lacks a record.
 */
void ws_command_log_halt(const WsCore *core, const WsMachine *machine, const WsTaskStatus *task);

/** Logs why the worker may drop its record of the exited task. */
void ws_command_log_reap(const WsCore *core, const WsMachine *machine, const WsHeartbeat *heartbeat,
                         const WsTaskStatus *task);

/** Logs why a task that the worker doesn't report is released, unless its release is pending. */
void ws_command_log_absence(const WsCore *core, const WsMachine *machine,
                            const WsHeartbeat *heartbeat, const WsJob *job,
                            const WsAssignment *assignment);

/** Creates the state of halts, with no call in flight. The caller frees it. */
WsCancelledTasks *ws_cancelled_tasks_new(void);

/** Frees the state of halts. @cancelled_tasks: not NULL */
void ws_cancelled_tasks_free(WsCancelledTasks *cancelled_tasks);

/**
 * Appends a halt to @commands for each task of a cancelled job that the heartbeat shows. Every
 * answer that renews a lease must contain these halts, no matter which node sends it.
 */
void ws_cancelled_tasks_add_halts(const WsCore *core, const WsHeartbeat *heartbeat,
                                  json_t *commands);

/**
 * Updates the machine's incarnation, sequence number, fencing token, endpoint and interruption
 * notice from a heartbeat.
 *
 * Returns FALSE, without any change, if the heartbeat is not newer than the last one applied.
 */
gboolean ws_worker_status_apply_header(WsCore *core, WsMachine *machine,
                                       const WsHeartbeat *heartbeat);

/**
 * Updates the state of each task that the heartbeat shows. The heartbeat must have the current
 * fencing token.
 */
void ws_worker_status_apply_tasks(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat);

/**
 * Returns the assignment that a task in a worker's status belongs to, or NULL if the records don't
 * assign this attempt to this machine.
 *
 * @job: set to the task's job, or NULL if the job is unknown
 */
WsAssignment *ws_worker_status_find_assignment(const WsCore *core, const WsMachine *machine,
                                               const WsTaskStatus *task, WsJob **job);

/**
 * Applies a heartbeat of a machine that this node owns. Returns the answer, a new JSON object. The
 * answer has no commands if the heartbeat is not newer than the last one applied.
 */
json_t *ws_workers_answer_heartbeat(WsCore *core, const WsHeartbeat *heartbeat);

/**
 * Relays a heartbeat to the owner of its machine, and the owner's answer back to the worker.
 *
 * @heartbeat: as the worker sent it; copied
 */
void ws_relay_heartbeat(WsCore *core, WsNodeIndex owner, const char *heartbeat, gpointer request);

/**
 * Sends launches for tasks that are assigned to the machine, if this node may send it commands and
 * not too many calls are in flight. Otherwise the answer to its next heartbeat launches them.
 *
 * @tasks: of WsTaskRef
 */
void ws_worker_rpc_launch(WsCore *core, WsMachine *machine, const GArray *tasks);

/**
 * Returns the grace period in seconds in which a halted task can save a checkpoint; 0: it has
 * nothing to save.
 */
double ws_halt_grace_s(const WsCore *core, const WsJob *job, const WsAssignment *assignment);

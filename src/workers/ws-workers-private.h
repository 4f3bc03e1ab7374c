/**
 * What the modules of src/workers share: the state of the package, the status of workers, relays
 * and launches. Private to workers.
 */
#pragma once

#include "workers/ws-workers.h"

/** Halts of cancelled tasks that are in flight, and when the next ones are due. */
typedef struct _WsCancelledTasks WsCancelledTasks;

/** The state of this package. */
struct _WsWorkers {
  guint rpcs_in_flight; /**< commands of ws-worker-rpc.c */
  WsCancelledTasks *cancelled_tasks;
};

/** Creates the state of halts, with none in flight. The caller frees it. */
WsCancelledTasks *ws_cancelled_tasks_new(void);

/** Frees the state of halts. @cancelled_tasks: not NULL */
void ws_cancelled_tasks_free(WsCancelledTasks *cancelled_tasks);

/**
 * Appends halts to @commands for what the heartbeat shows of cancelled jobs. Any answer that renews
 * a lease has them, whichever node gives it.
 */
void ws_cancelled_tasks_add_halts(const WsCore *core, const WsHeartbeat *heartbeat,
                                  json_t *commands);

/**
 * Notes incarnation, sequence, fencing token, endpoint and interruption notice of a heartbeat.
 *
 * Returns FALSE, with nothing noted, if it is older than one that was noted before.
 */
gboolean ws_worker_status_note_header(WsCore *core, WsMachine *machine,
                                      const WsHeartbeat *heartbeat);

/** Notes the state of each task that the heartbeat shows; it must carry the present token. */
void ws_worker_status_note_tasks(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat);

/**
 * Returns the assignment of which the worker shows the task; NULL: the records have another attempt
 * or another machine.
 *
 * @job: set to the task's job, or NULL if it isn't known
 */
WsAssignment *ws_worker_status_find_assignment(const WsCore *core, const WsMachine *machine,
                                               const WsTaskStatus *task, WsJob **job);

/**
 * Notes a heartbeat of a machine that this node owns. Returns the answer, a new JSON object; it has
 * no commands if the heartbeat is older than one that was noted before.
 */
json_t *ws_workers_answer_heartbeat(WsCore *core, const WsHeartbeat *heartbeat);

/**
 * Passes a heartbeat on to the owner of its machine, and the owner's answer back.
 *
 * @heartbeat: as the worker sent it; copied
 */
void ws_relay_heartbeat(WsCore *core, WsNodeIndex owner, const char *heartbeat, gpointer request);

/**
 * Launches tasks that are assigned to the machine, if a command is possible and not too many are in
 * flight; otherwise the answer to its next heartbeat does.
 *
 * @tasks: of WsTaskRef
 */
void ws_worker_rpc_launch(WsCore *core, WsMachine *machine, const GArray *tasks);

/** The seconds that a task which is halted may take to save; 0: it has nothing to save. */
double ws_halt_grace_s(const WsCore *core, const WsJob *job, const WsAssignment *assignment);

/**
 * The service for workers: heartbeats in, commands out, and what is done about cancelled tasks.
 *
 * Called by the core for each heartbeat. Owns the direct calls to workers and the cancellations
 * that this node knows of.
 */
#pragma once

#include "membership/ws-membership.h"

void ws_workers_handle_heartbeat(WsCore *core, const char *body, gsize length, gpointer request);
/* The answer to a report of a machine that this node owns. */
json_t *ws_workers_answer_heartbeat(WsCore *core, const WsHeartbeat *heartbeat);
/* Believes what a message says of tasks that are there; concludes nothing from absence. */
/* Returns FALSE for a message older than one that was seen before. */
gboolean ws_workers_note_status(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat);

WsCancelledTasks *ws_cancelled_tasks_new(void);
void ws_cancelled_tasks_free(WsCancelledTasks *cancelled_tasks);

/** Adds halts for what the heartbeat shows of cancelled jobs: an answer that renews a lease has
    them, whoever gives it. */
void ws_cancelled_tasks_add_halts(const WsCore *core, const WsHeartbeat *heartbeat,
                                  json_t *commands);

/** Halts what is left of cancelled jobs, and has machines returned that don't confirm in time. */
void ws_cancelled_tasks_enforce(WsCore *core);

/**
 * Direct commands: calls to a worker's own address.
 *
 * They are faster than the answers to reports, but may be carried out minutes later when their
 * answer is lost. A launch without an answer is therefore remembered with its machine as an
 * indeterminate outcome ("doubt"), and nothing on the machine is released for being absent until a
 * higher token or a new session has ended it.
 */

/** Whether the machine has shown our token lately: the others learn it from their next report. */
gboolean ws_worker_rpc_is_possible(const WsCore *core, const WsMachine *machine);

/** Tells the worker our token, so that it drops the answers of whoever has an older one. */
void ws_worker_rpc_raise_fencing_token(WsCore *core, WsMachine *machine);

/** Passes a heartbeat on to the owner of its machine, and the owner's answer back. */
void ws_relay_heartbeat(WsCore *core, WsNodeIndex owner, const char *heartbeat, gpointer request);

/** Answers another node's request to pass a heartbeat on. */
void ws_relay_handle(WsCore *core, const json_t *message, gpointer request);

/** Launches what was newly assigned on this node's machines. */
void ws_workers_launch_assigned(WsCore *core);

/** Launches the tasks (of WsTaskRef) that are assigned to the machine. */
void ws_worker_rpc_launch(WsCore *core, WsMachine *machine, GArray *tasks);

void ws_worker_rpc_halt(WsCore *core, WsJob *job, WsAssignment *assignment);

/** How long a task that is halted may take to save; 0: it has nothing to save. */
double ws_halt_grace_s(const WsCore *core, const WsJob *job, const WsAssignment *assignment);

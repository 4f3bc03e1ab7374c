/**
 * Communication with workers: handles their heartbeats, sends them commands, and halts the tasks of
 * cancelled jobs.
 *
 * A worker sends heartbeats with its status to any node. The owner of its machine answers with
 * commands, and the answer renews the lease of the machine's tasks. The owner also sends commands
 * directly to workers, which is faster than waiting for the next heartbeat. This package owns the
 * calls to workers in flight and the retry times of halts for cancelled jobs.
 */
#pragma once

#include "membership/ws-membership.h"

/** Creates the state of this package, with no calls in flight. */
WsWorkers *ws_workers_new(void);

/** Frees the state of this package. @workers: not NULL */
void ws_workers_free(WsWorkers *workers);

/**
 * Handles a worker's heartbeat. The answer, sent now or later, contains commands or redirects the
 * worker to the owner of its machine. It is 503 if this node may not renew leases now, if it is
 * isolated and the worker is to try another node, or if the machine has been returned. A malformed
 * heartbeat is answered with 400.
 *
 * @body: @length bytes, read before the call returns
 * @request: the handle passed to ws_answer(), which is called exactly once for it
 */
void ws_workers_handle_heartbeat(WsCore *core, const char *body, gsize length, gpointer request);

/**
 * Updates the machine and its tasks from the status with which a worker answered a call.
 *
 * Tasks in the status are considered present. Tasks that are missing from it aren't considered
 * gone. Returns FALSE, without any change, if the status is not newer than the last one applied.
 */
gboolean ws_workers_apply_status(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat);

/** Launches the newly assigned tasks on the machines that this node owns. */
void ws_workers_launch_assigned(WsCore *core);

/** Handles a heartbeat that another node relays, see ws-relay-message.h. */
void ws_relay_handle_request(WsCore *core, const json_t *message, gpointer request);

/** Logs the counts of commands to workers, if the last time was long enough ago. */
void ws_workers_log_command_stats(WsCore *core);

/**
 * Halts the remaining tasks of cancelled jobs. Requests the return of machines that don't confirm
 * the halt in time.
 */
void ws_cancelled_tasks_tick(WsCore *core);

/*
 * Commands sent to a worker's own address.
 *
 * They are faster than commands in the answers to heartbeats, but copies of them may be carried out
 * minutes later, see storage/ws-fencing.h.
 */

/**
 * Returns whether this node may send the worker commands: the worker is up and reachable, and has
 * reported a fencing token of the epoch.
 */
gboolean ws_worker_rpc_is_allowed(const WsCore *core, const WsMachine *machine);

/** Sends the worker the machine's fencing token, so that it refuses commands with an older one. */
void ws_worker_rpc_raise_fencing_token(WsCore *core, WsMachine *machine);

/**
 * Halts the task, with a grace period in which it can save a checkpoint. Does nothing if
 * ws_worker_rpc_is_allowed() is FALSE.
 */
void ws_worker_rpc_halt(WsCore *core, WsJob *job, WsAssignment *assignment);

/**
 * The service for workers: heartbeats in, commands out, and the end of cancelled tasks.
 *
 * A worker sends heartbeats with its status to any node; the owner of its machine answers with
 * commands, and the answer renews the lease of the machine's tasks. The owner also calls workers
 * itself, since that is faster. Owns the calls in flight and what is left to halt of cancelled
 * jobs.
 */
#pragma once

#include "membership/ws-membership.h"

/** Creates the state of this package, with no calls in flight. */
WsWorkers *ws_workers_new(void);

/** Frees the state of this package. @workers: not NULL */
void ws_workers_free(WsWorkers *workers);

/**
 * Handles a worker's heartbeat, which is answered now or later: with commands, with a redirect to
 * the owner of its machine, or, where this node may renew no lease, with 503.
 *
 * @body: @length bytes, read before the call returns; answered with 400 if it is malformed
 * @request: the handle under which ws_answer() answers it, exactly once
 */
void ws_workers_handle_heartbeat(WsCore *core, const char *body, gsize length, gpointer request);

/**
 * Notes the status that a worker has given as the answer to a call.
 *
 * Presence is believed of every status, and nothing is concluded from absence. Returns FALSE, with
 * nothing noted, if the status is older than one that was noted before.
 */
gboolean ws_workers_note_status(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat);

/** Launches what was newly assigned on this node's machines. */
void ws_workers_launch_assigned(WsCore *core);

/** Handles another node's request to pass a heartbeat on, see ws-relay-message.h. */
void ws_relay_handle_request(WsCore *core, const json_t *message, gpointer request);

/** Halts what is left of cancelled jobs, and has machines returned that don't confirm in time. */
void ws_cancelled_tasks_tick(WsCore *core);

/*
 * Commands sent to a worker's own address.
 *
 * They are faster than the answers to heartbeats, but may be carried out minutes later when their
 * answer is lost. A launch without an answer is therefore counted with its machine as
 * indeterminate: nothing on the machine is released for being absent until the worker has shown a
 * higher fencing token or a new incarnation.
 */

/** Whether this node may command the worker: it is up, reached, and knows the present token. */
gboolean ws_worker_rpc_is_allowed(const WsCore *core, const WsMachine *machine);

/** Sends the worker the present fencing token, so that it refuses commands under older ones. */
void ws_worker_rpc_raise_fencing_token(WsCore *core, WsMachine *machine);

/** Halts the task, with the time that it needs to save. Does nothing if no command is possible. */
void ws_worker_rpc_halt(WsCore *core, WsJob *job, WsAssignment *assignment);

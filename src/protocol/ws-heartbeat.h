/**
 * What a worker reports, and what it is told.
 *
 * Encoders return a new JSON object. Called by src/workers, the failure detector and the
 * check of releases without evidence (ws-legacy-releases.c).
 */
#pragma once

#include "protocol/ws-error.h"
#include "protocol/ws-json.h"

/** The states of a task on its machine, in their order. */
typedef enum {
  WS_TASK_ASSIGNED,  /**< recorded; the worker hasn't reported it yet */
  WS_TASK_FETCHING,  /**< its image is being fetched */
  WS_TASK_GATHERING, /**< of a gang: it has its image, and waits for the other tasks */
  WS_TASK_RUNNING,
  WS_TASK_SAVING, /**< it was stopped, and writes its checkpoint */
  WS_TASK_EXITED
} WsTaskState;

/** Why a task has exited. */
typedef enum {
  WS_EXIT_NONE,            /**< it hasn't */
  WS_EXIT_DONE,            /**< completed */
  WS_EXIT_STOPPED,         /**< stopped on request */
  WS_EXIT_ERROR,           /**< failed, or for a reason that this version doesn't know */
  WS_EXIT_LAUNCH_REJECTED, /**< the machine didn't take it */
  WS_EXIT_GANG_PEER_LOST,  /**< of a gang: another of its tasks is gone */
  WS_EXIT_GANG_INCOMPLETE  /**< of a gang: the others didn't come in time */
} WsExitReason;

/** A task's attempt as its worker reports it. */
typedef struct {
  char *job; /**< owned */
  guint task;
  guint64 attempt;
  WsTaskState state;
  WsExitReason exit_reason;
  gboolean is_saved; /**< of a task that was stopped: its progress is in its checkpoint */
} WsTaskStatus;

/** A heartbeat with the status of all tasks. All strings are owned. */
typedef struct {
  char *machine;
  char *endpoint; /**< where the worker takes commands */
  char *type;
  char *zone;
  gboolean is_spot;
  guint64 incarnation;
  guint64 sequence;      /**< grows with each message of the incarnation */
  guint64 fencing_token; /**< the highest that the worker has seen */
  double interruption_s; /**< time until the cloud takes the machine back; negative: no notice */
  GArray *tasks;         /**< of WsTaskStatus */
} WsHeartbeat;

/** Reads a heartbeat, which the caller frees. NULL with @error set: it is invalid. */
WsHeartbeat *ws_heartbeat_parse(const json_t *message, GError **error);

/** Frees the heartbeat with its tasks; NULL is allowed. */
void ws_heartbeat_free(WsHeartbeat *heartbeat);

/** The attempt's status, owned by the heartbeat; NULL: the heartbeat doesn't have it. */
const WsTaskStatus *ws_heartbeat_find_task(const WsHeartbeat *heartbeat, const char *job,
                                           guint task, guint64 attempt);

/**
 * Reads the answer of a machine's worker to a call for its status.
 *
 * Returns NULL if the answer isn't one (@status is 0: none came), is malformed, or is another
 * machine's, as after an address has passed on.
 */
WsHeartbeat *ws_heartbeat_parse_status_reply(guint status, const json_t *body, const char *machine);

/**
 * Reads the answer of a machine's worker to commands. A refusal, for an outdated fencing token or
 * incarnation, carries the worker's status too; otherwise as ws_heartbeat_parse_status_reply().
 */
WsHeartbeat *ws_heartbeat_parse_command_reply(guint status, const json_t *body,
                                              const char *machine);

/** The operations of commands. */
typedef enum {
  WS_OP_LAUNCH,
  WS_OP_HALT, /**< stop, with a checkpoint within the grace period */
  WS_OP_REAP  /**< forget an exited task */
} WsOp;

/** The name of the operation, in commands and in the log; static. */
const char *ws_op_name(WsOp op);

/** Encodes a command. @grace_s: in seconds, of WS_OP_HALT alone */
json_t *ws_command_encode(WsOp op, const char *job, guint task, guint64 attempt, double grace_s);

/** Encodes the answer to a heartbeat. @commands: taken */
json_t *ws_heartbeat_response_encode(guint64 fencing_token, json_t *commands);

/** The commands of an answer to a heartbeat, borrowed; NULL: it has none. */
json_t *ws_heartbeat_response_commands(const json_t *answer);

/** Encodes a call to the worker, which only this incarnation carries out. @commands: taken */
json_t *ws_command_request_encode(guint64 fencing_token, guint64 incarnation, json_t *commands);

/** Encodes the redirection of a worker to a controller. @node: its name; NULL: none is known */
json_t *ws_redirect_encode(const char *node);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsHeartbeat, ws_heartbeat_free)

/**
 * Messages between controllers and workers: heartbeats, task statuses and commands.
 *
 * Encoders return a new JSON object. Callers: src/workers, the failure detector, and the check of
 * releases that have no recorded evidence (ws-legacy-releases.c).
 */
#pragma once

#include "protocol/ws-error.h"
#include "protocol/ws-json.h"

/** States of a task on its machine, in the order in which a task passes through them. */
typedef enum {
  WS_TASK_ASSIGNED,  /**< the assignment is stored; the worker hasn't reported the task yet */
  WS_TASK_FETCHING,  /**< the worker downloads the image */
  WS_TASK_GATHERING, /**< gang only: has its image and waits for the gang's other tasks */
  WS_TASK_RUNNING,
  WS_TASK_SAVING, /**< was stopped and writes its checkpoint */
  WS_TASK_EXITED
} WsTaskState;

/** Reasons for which a task exits. */
typedef enum {
  WS_EXIT_NONE,            /**< the task hasn't exited */
  WS_EXIT_DONE,            /**< completed */
  WS_EXIT_STOPPED,         /**< stopped on request */
  WS_EXIT_ERROR,           /**< failed, or exited for a reason that this version doesn't know */
  WS_EXIT_LAUNCH_REJECTED, /**< the worker rejected the launch */
  WS_EXIT_GANG_PEER_LOST,  /**< gang only: another task of the gang was lost */
  WS_EXIT_GANG_INCOMPLETE  /**< gang only: the other tasks weren't ready within the timeout */
} WsExitReason;

/** Status of one attempt of a task, as reported by the worker. */
typedef struct {
  char *job; /**< owned */
  guint task;
  guint64 attempt;
  WsTaskState state;
  WsExitReason exit_reason;
  gboolean is_saved; /**< stopped task: its progress is in its checkpoint */
} WsTaskStatus;

/** A heartbeat with the status of all tasks on the machine. Owns its strings. */
typedef struct {
  char *machine;
  char *endpoint; /**< address at which the worker accepts commands */
  char *type;
  char *zone;
  gboolean is_spot;
  guint64 incarnation;
  guint64 sequence;      /**< increases with each message of the same incarnation */
  guint64 fencing_token; /**< the highest token that the worker has seen */
  double interruption_s; /**< time until the cloud reclaims the machine; negative: no notice */
  GArray *tasks;         /**< array of WsTaskStatus */
} WsHeartbeat;

/** Parses a heartbeat, which the caller frees. Returns NULL and sets @error if it is invalid. */
WsHeartbeat *ws_heartbeat_parse(const json_t *message, GError **error);

/** Does the same with the text of a message: @length bytes, not kept. */
WsHeartbeat *ws_heartbeat_parse_text(const char *text, gsize length, GError **error);

/** Frees the heartbeat and its task statuses; NULL is allowed. */
void ws_heartbeat_free(WsHeartbeat *heartbeat);

/** Returns the attempt's status, owned by the heartbeat, or NULL if it isn't in the heartbeat. */
const WsTaskStatus *ws_heartbeat_find_task(const WsHeartbeat *heartbeat, const char *job,
                                           guint task, guint64 attempt);

/**
 * Parses a worker's response to a status request into a heartbeat, which the caller frees.
 *
 * Returns NULL if the request failed (@status is 0 if no response came), if the response is
 * malformed, or if another machine sent it, which can happen after an address was reassigned.
 *
 * @machine: name of the machine to which the request was sent
 */
WsHeartbeat *ws_heartbeat_parse_status_response(guint status, const json_t *body,
                                                const char *machine);

/**
 * Parses a worker's response to commands, like ws_heartbeat_parse_status_response(). It also
 * accepts a rejection for an outdated fencing token or incarnation (409), which carries the
 * worker's status.
 */
WsHeartbeat *ws_heartbeat_parse_command_response(guint status, const json_t *body,
                                                 const char *machine);

/** Operations that a command can request. */
typedef enum {
  WS_OP_LAUNCH,
  WS_OP_HALT, /**< stop the task; it may write a checkpoint within the grace period */
  WS_OP_REAP  /**< drop the worker's record of an exited task */
} WsOp;

/** Returns the static name of the operation, as used in commands and in the log. */
const char *ws_op_name(WsOp op);

/** Encodes a command. @grace_s: grace period in seconds, used by WS_OP_HALT only */
json_t *ws_command_encode(WsOp op, const char *job, guint task, guint64 attempt, double grace_s);

/** Describes an encoded command for the log, as "launch req-1/0@2". The caller frees it. */
char *ws_command_describe(const json_t *command);

/** Encodes the response to a heartbeat. Takes ownership of @commands. */
json_t *ws_heartbeat_response_encode(guint64 fencing_token, json_t *commands);

/**
 * Copies a heartbeat response with its unknown members, so that commands can be added. The caller
 * owns the copy. Returns NULL if the response is malformed.
 */
json_t *ws_heartbeat_response_copy(const json_t *response);

/** Returns the commands in a heartbeat response, borrowed from it, or NULL if it has none. */
json_t *ws_heartbeat_response_commands(const json_t *response);

/**
 * Encodes a request with commands that only the given incarnation of the worker executes. Takes
 * ownership of @commands.
 */
json_t *ws_command_request_encode(guint64 fencing_token, guint64 incarnation, json_t *commands);

/**
 * Encodes the response that redirects a worker to the controller that owns its machine.
 *
 * @node: the controller's name; NULL if unknown
 */
json_t *ws_redirect_encode(const char *node);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsHeartbeat, ws_heartbeat_free)

/* What a worker says, and what it is told. */
#pragma once

#include "protocol/ws-json.h"

typedef enum {
  WS_TASK_ASSIGNED, /* recorded here; the worker has not shown it yet */
  WS_TASK_FETCHING,
  WS_TASK_GATHERING, /* of a gang: it has its image, and waits for the other tasks */
  WS_TASK_RUNNING,
  WS_TASK_SAVING,
  WS_TASK_EXITED
} WsTaskState;

typedef enum {
  WS_EXIT_NONE,
  WS_EXIT_DONE,
  WS_EXIT_STOPPED,
  WS_EXIT_ERROR,
  WS_EXIT_REFUSED,
  WS_EXIT_PEERS,     /* of a gang: another of its tasks is gone */
  WS_EXIT_INCOMPLETE /* of a gang: the others didn't come in time */
} WsExit;

typedef struct {
  char *job;
  guint task;
  guint64 attempt;
  WsTaskState state;
  WsExit why;
  gboolean saved; /* of a task that was stopped: its progress is safe */
} WsTaskStatus;

typedef struct {
  char *machine;
  char *endpoint;
  char *type;
  char *zone;
  gboolean spot;
  guint64 incarnation;
  guint64 sequence;
  guint64 fencing_token;
  double interruption_s; /* negative: none */
  GArray *tasks;         /* of WsTaskStatus */
} WsHeartbeat;

/* The attempt as the report shows it; NULL: it doesn't. */
const WsTaskStatus *ws_heartbeat_find_task(const WsHeartbeat *heartbeat, const char *job,
                                           guint task, guint64 attempt);

typedef enum { WS_OP_LAUNCH, WS_OP_HALT, WS_OP_REAP } WsOp;

WsHeartbeat *ws_heartbeat_parse(const json_t *message, char **reason);

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

void ws_heartbeat_free(WsHeartbeat *heartbeat);

json_t *ws_command_encode(WsOp op, const char *job, guint task, guint64 attempt, double grace_s);
json_t *ws_heartbeat_answer_encode(guint64 fencing_token, json_t *commands);
json_t *ws_heartbeat_answer_commands(const json_t *answer); /* borrowed */
json_t *ws_commands_encode(guint64 fencing_token, guint64 incarnation, json_t *commands);
json_t *ws_redirect_encode(const char *node);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsHeartbeat, ws_heartbeat_free)

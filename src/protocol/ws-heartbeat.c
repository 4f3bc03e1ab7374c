/* Parses the heartbeats and statuses of workers; encodes commands and heartbeat responses. */
#include "protocol/ws-heartbeat.h"

#include "protocol/ws-field-names.h"
#include "protocol/ws-job-spec.h"
#include "protocol/ws-status-codes.h"

#include <string.h>

#define MAX_MACHINE_NAME_BYTES 100
/* Value of interruption_s if the cloud has given no interruption notice. */
#define NO_INTERRUPTION_NOTICE_S (-1.0)
/* Characters that a machine name can't have: it is part of store keys and URL paths. */
#define FORBIDDEN_MACHINE_NAME_CHARS " /"

/* Splits a task name of the form JOB/NUMBER. */
static gboolean
parse_task_name(const char *name, char **job, guint *task)
{
  const char *slash = strrchr(name, '/');
  guint64 number;
  if (slash == NULL || slash == name
      || !g_ascii_string_to_unsigned(slash + 1, 10, 0, WS_MAX_TASKS - 1, &number, NULL))
    return FALSE;
  *job = g_strndup(name, (gsize)(slash - name));
  *task = (guint)number;
  return TRUE;
}

static gboolean
parse_task_state(const char *name, WsTaskState *state)
{
  static const struct {
    const char *name;
    WsTaskState state;
  } STATES[] = { { "fetching", WS_TASK_FETCHING },
                 { "gathering", WS_TASK_GATHERING },
                 { "running", WS_TASK_RUNNING },
                 { "flushing", WS_TASK_SAVING },
                 { "exited", WS_TASK_EXITED } };
  for (gsize i = 0; i < G_N_ELEMENTS(STATES); i++)
    if (strcmp(STATES[i].name, name) == 0) {
      *state = STATES[i].state;
      return TRUE;
    }
  return FALSE;
}

/* A reason that this version doesn't know is treated as an error of the task. */
static WsExitReason
parse_exit_reason(const char *name)
{
  static const struct {
    const char *name;
    WsExitReason reason;
  } REASONS[] = { { "done", WS_EXIT_DONE },
                  { "stopped", WS_EXIT_STOPPED },
                  { "full", WS_EXIT_LAUNCH_REJECTED },
                  { "busy", WS_EXIT_LAUNCH_REJECTED },
                  { "no_such", WS_EXIT_LAUNCH_REJECTED },
                  { "peers", WS_EXIT_GANG_PEER_LOST },
                  { "incomplete", WS_EXIT_GANG_INCOMPLETE } };
  for (gsize i = 0; i < G_N_ELEMENTS(REASONS); i++)
    if (g_strcmp0(REASONS[i].name, name) == 0)
      return REASONS[i].reason;
  return WS_EXIT_ERROR;
}

/* Returns the name of the first missing or invalid field, or NULL if all are valid. The functions
   below do the same. */
static const char *
parse_task_status(const json_t *item, WsTaskStatus *task)
{
  const char *name, *state, *reason = NULL;
  if (!json_is_object(item))
    return WS_FIELD_TASKS;
  if (!ws_json_uint64(item, WS_FIELD_ATTEMPT, &task->attempt))
    return WS_FIELD_ATTEMPT;
  if (!ws_json_string(item, WS_FIELD_STATE, &state) || !parse_task_state(state, &task->state))
    return WS_FIELD_STATE;
  if (!ws_json_string_or_null(item, WS_FIELD_EXIT_REASON, &reason))
    return WS_FIELD_EXIT_REASON;
  if (!ws_json_bool_or_null(item, WS_FIELD_IS_SAVED, &task->is_saved))
    return WS_FIELD_IS_SAVED;
  if (!ws_json_string(item, WS_FIELD_TASK, &name)
      || !parse_task_name(name, &task->job, &task->task))
    return WS_FIELD_TASK;
  if (task->state == WS_TASK_EXITED)
    task->exit_reason = parse_exit_reason(reason);
  return NULL;
}

static void
task_status_clear(gpointer data)
{
  g_free(((WsTaskStatus *)data)->job);
}

static const char *
parse_task_statuses(const json_t *message, WsHeartbeat *heartbeat)
{
  const json_t *list = json_object_get(message, WS_FIELD_TASKS);
  if (!json_is_array(list))
    return WS_FIELD_TASKS;
  size_t i;
  const json_t *item;
  json_array_foreach(list, i, item)
  {
    WsTaskStatus task = { 0 };
    const char *invalid = parse_task_status(item, &task);
    if (invalid != NULL)
      return invalid;
    g_array_append_val(heartbeat->tasks, task);
  }
  return NULL;
}

static const char *
parse_fields(const json_t *message, WsHeartbeat *heartbeat)
{
  const char *machine, *endpoint, *type, *zone;
  if (!ws_json_string(message, WS_FIELD_MACHINE, &machine) || *machine == '\0'
      || strlen(machine) > MAX_MACHINE_NAME_BYTES
      || strpbrk(machine, FORBIDDEN_MACHINE_NAME_CHARS) != NULL)
    return WS_FIELD_MACHINE;
  if (!ws_json_string(message, WS_FIELD_ENDPOINT, &endpoint))
    return WS_FIELD_ENDPOINT;
  if (!ws_json_string(message, WS_FIELD_MACHINE_TYPE, &type))
    return WS_FIELD_MACHINE_TYPE;
  if (!ws_json_string(message, WS_FIELD_ZONE, &zone))
    return WS_FIELD_ZONE;
  if (!ws_json_bool(message, WS_FIELD_SPOT, &heartbeat->is_spot))
    return WS_FIELD_SPOT;
  if (!ws_json_uint64(message, WS_FIELD_INCARNATION, &heartbeat->incarnation))
    return WS_FIELD_INCARNATION;
  if (!ws_json_uint64(message, WS_FIELD_SEQUENCE, &heartbeat->sequence))
    return WS_FIELD_SEQUENCE;
  if (!ws_json_uint64(message, WS_FIELD_FENCING_TOKEN, &heartbeat->fencing_token))
    return WS_FIELD_FENCING_TOKEN;
  if (!ws_json_number_or_null(message, WS_FIELD_INTERRUPTION_S, &heartbeat->interruption_s))
    return WS_FIELD_INTERRUPTION_S;
  heartbeat->machine = g_strdup(machine);
  heartbeat->endpoint = g_strdup(endpoint);
  heartbeat->type = g_strdup(type);
  heartbeat->zone = g_strdup(zone);
  return parse_task_statuses(message, heartbeat);
}

WsHeartbeat *
ws_heartbeat_parse(const json_t *message, GError **error)
{
  if (!json_is_object(message)) {
    ws_error_set_not_object(error);
    return NULL;
  }
  g_autoptr(WsHeartbeat) heartbeat = g_new0(WsHeartbeat, 1);
  heartbeat->interruption_s = NO_INTERRUPTION_NOTICE_S;
  heartbeat->tasks = g_array_new(FALSE, TRUE, sizeof(WsTaskStatus));
  g_array_set_clear_func(heartbeat->tasks, task_status_clear);
  const char *invalid = parse_fields(message, heartbeat);
  if (invalid != NULL) {
    ws_error_set_invalid(error, WS_ERROR_INVALID_FIELD, invalid);
    return NULL;
  }
  return g_steal_pointer(&heartbeat);
}

WsHeartbeat *
ws_heartbeat_parse_text(const char *text, gsize length, GError **error)
{
  g_autoptr(json_t) message = ws_json_parse_request(text, length, error);
  return message != NULL ? ws_heartbeat_parse(message, error) : NULL;
}

static WsHeartbeat *
parse_status_from_machine(const json_t *body, const char *machine)
{
  g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse(body, NULL);
  if (heartbeat == NULL || strcmp(heartbeat->machine, machine) != 0)
    return NULL;
  return g_steal_pointer(&heartbeat);
}

WsHeartbeat *
ws_heartbeat_parse_status_response(guint status, const json_t *body, const char *machine)
{
  return status == WS_HTTP_OK ? parse_status_from_machine(body, machine) : NULL;
}

WsHeartbeat *
ws_heartbeat_parse_command_response(guint status, const json_t *body, const char *machine)
{
  return status == WS_HTTP_OK || status == WS_HTTP_CONFLICT
             ? parse_status_from_machine(body, machine)
             : NULL;
}

const WsTaskStatus *
ws_heartbeat_find_task(const WsHeartbeat *heartbeat, const char *job, guint task, guint64 attempt)
{
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const WsTaskStatus *status = &g_array_index(heartbeat->tasks, WsTaskStatus, i);
    if (status->task == task && status->attempt == attempt && strcmp(status->job, job) == 0)
      return status;
  }
  return NULL;
}

void
ws_heartbeat_free(WsHeartbeat *heartbeat)
{
  if (heartbeat == NULL)
    return;
  g_free(heartbeat->machine);
  g_free(heartbeat->endpoint);
  g_free(heartbeat->type);
  g_free(heartbeat->zone);
  g_array_unref(heartbeat->tasks);
  g_free(heartbeat);
}

const char *
ws_op_name(WsOp op)
{
  static const char *const NAMES[]
      = { [WS_OP_LAUNCH] = "launch", [WS_OP_HALT] = "halt", [WS_OP_REAP] = "reap" };
  return NAMES[op];
}

json_t *
ws_command_encode(WsOp op, const char *job, guint task, guint64 attempt, double grace_s)
{
  g_autofree char *name = g_strdup_printf("%s/%u", job, task);
  json_t *command = json_pack("{s:s, s:s, s:I}", WS_FIELD_OPERATION, ws_op_name(op), WS_FIELD_TASK,
                              name, WS_FIELD_ATTEMPT, (json_int_t)attempt);
  if (op == WS_OP_HALT)
    json_object_set_new(command, WS_FIELD_GRACE_S, json_real(grace_s));
  return command;
}

char *
ws_command_describe(const json_t *command)
{
  guint64 attempt = 0;
  (void)ws_json_uint64(command, WS_FIELD_ATTEMPT, &attempt);
  return g_strdup_printf("%s %s@%" G_GUINT64_FORMAT,
                         json_string_value(json_object_get(command, WS_FIELD_OPERATION)),
                         json_string_value(json_object_get(command, WS_FIELD_TASK)), attempt);
}

json_t *
ws_heartbeat_response_encode(guint64 fencing_token, json_t *commands)
{
  return json_pack("{s:I, s:o}", WS_FIELD_FENCING_TOKEN, (json_int_t)fencing_token,
                   WS_FIELD_COMMANDS, commands);
}

json_t *
ws_heartbeat_response_copy(const json_t *response)
{
  guint64 fencing_token;
  json_t *commands = json_object_get(response, WS_FIELD_COMMANDS);
  if (!ws_json_uint64(response, WS_FIELD_FENCING_TOKEN, &fencing_token) || !json_is_array(commands))
    return NULL;
  json_t *copy = json_copy((json_t *)response);
  json_object_set_new(copy, WS_FIELD_COMMANDS, json_copy(commands));
  return copy;
}

json_t *
ws_heartbeat_response_commands(const json_t *response)
{
  return json_object_get(response, WS_FIELD_COMMANDS);
}

json_t *
ws_command_request_encode(guint64 fencing_token, guint64 incarnation, json_t *commands)
{
  return json_pack("{s:I, s:I, s:o}", WS_FIELD_FENCING_TOKEN, (json_int_t)fencing_token,
                   WS_FIELD_INCARNATION, (json_int_t)incarnation, WS_FIELD_COMMANDS, commands);
}

json_t *
ws_redirect_encode(const char *node)
{
  return node == NULL ? json_object() : json_pack("{s:s}", WS_FIELD_REDIRECT, node);
}

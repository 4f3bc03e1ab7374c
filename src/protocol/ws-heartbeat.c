#include "protocol/ws-heartbeat.h"

#include "protocol/ws-job-spec.h"
#include "protocol/ws-field-names.h"

#include <string.h>

/* HTTP statuses of a worker's answer: carried out, and refused as outdated. */
#define STATUS_OK 200
#define STATUS_CONFLICT 409

static gboolean
task_name(const char *name, char **job, guint *task)
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
task_state(const char *word, WsTaskState *state)
{
  static const struct {
    const char *word;
    WsTaskState state;
  } STATES[] = { { "fetching", WS_TASK_FETCHING },
                 { "gathering", WS_TASK_GATHERING },
                 { "running", WS_TASK_RUNNING },
                 { "flushing", WS_TASK_SAVING },
                 { "exited", WS_TASK_EXITED } };
  for (gsize i = 0; i < G_N_ELEMENTS(STATES); i++)
    if (strcmp(STATES[i].word, word) == 0) {
      *state = STATES[i].state;
      return TRUE;
    }
  return FALSE;
}

/* An unknown reason is an end all the same; it is taken for an error of the machine. */
static WsExit
exit_reason(const char *word)
{
  static const struct {
    const char *word;
    WsExit why;
  } REASONS[] = { { "done", WS_EXIT_DONE },
                  { "stopped", WS_EXIT_STOPPED },
                  { "full", WS_EXIT_REFUSED },
                  { "busy", WS_EXIT_REFUSED },
                  { "no_such", WS_EXIT_REFUSED },
                  { "peers", WS_EXIT_PEERS },
                  { "incomplete", WS_EXIT_INCOMPLETE } };
  for (gsize i = 0; i < G_N_ELEMENTS(REASONS); i++)
    if (g_strcmp0(REASONS[i].word, word) == 0)
      return REASONS[i].why;
  return WS_EXIT_ERROR;
}

static gboolean
parse_task(const json_t *item, WsTaskStatus *task)
{
  const char *name, *state, *why = NULL;
  if (!ws_json_string(item, W_TASK, &name) || !ws_json_count(item, W_ATTEMPT, &task->attempt)
      || !ws_json_string(item, W_STATE, &state) || !ws_json_string_or_null(item, W_WHY, &why)
      || !task_state(state, &task->state) || !task_name(name, &task->job, &task->task))
    return FALSE;
  if (task->state == WS_TASK_EXITED)
    task->why = exit_reason(why);
  task->saved = json_is_true(json_object_get(item, W_SAVED));
  return TRUE;
}

static void
clear_task(gpointer data)
{
  g_free(((WsTaskStatus *)data)->job);
}

static const char *
parse_tasks(const json_t *message, WsHeartbeat *heartbeat)
{
  const json_t *list = json_object_get(message, W_TASKS);
  if (!json_is_array(list))
    return W_TASKS;
  size_t i;
  const json_t *item;
  json_array_foreach(list, i, item)
  {
    WsTaskStatus task = { 0 };
    if (!parse_task(item, &task))
      return W_TASKS;
    g_array_append_val(heartbeat->tasks, task);
  }
  return NULL;
}

static const char *
parse_members(const json_t *m, WsHeartbeat *r)
{
  const char *machine, *endpoint, *type, *zone;
  if (!ws_json_string(m, W_MACHINE, &machine) || *machine == '\0' || strlen(machine) > 100
      || strpbrk(machine, " /") != NULL)
    return W_MACHINE;
  if (!ws_json_string(m, "endpoint", &endpoint))
    return "endpoint";
  if (!ws_json_string(m, W_TYPE, &type))
    return W_TYPE;
  if (!ws_json_string(m, W_ZONE, &zone))
    return W_ZONE;
  if (!ws_json_bool(m, W_SPOT, &r->spot))
    return W_SPOT;
  if (!ws_json_count(m, W_INCARNATION, &r->incarnation))
    return W_INCARNATION;
  if (!ws_json_count(m, W_SEQUENCE, &r->sequence))
    return W_SEQUENCE;
  if (!ws_json_count(m, W_FENCING_TOKEN, &r->fencing_token))
    return W_FENCING_TOKEN;
  if (!ws_json_number_or_null(m, W_NOTICE, &r->interruption_s))
    return W_NOTICE;
  r->machine = g_strdup(machine);
  r->endpoint = g_strdup(endpoint);
  r->type = g_strdup(type);
  r->zone = g_strdup(zone);
  return parse_tasks(m, r);
}

WsHeartbeat *
ws_heartbeat_parse(const json_t *message, char **reason)
{
  if (!json_is_object(message)) {
    *reason = g_strdup("not a JSON object");
    return NULL;
  }
  g_autoptr(WsHeartbeat) heartbeat = g_new0(WsHeartbeat, 1);
  heartbeat->interruption_s = -1.0;
  heartbeat->tasks = g_array_new(FALSE, TRUE, sizeof(WsTaskStatus));
  g_array_set_clear_func(heartbeat->tasks, clear_task);
  const char *bad = parse_members(message, heartbeat);
  if (bad != NULL) {
    *reason = g_strdup_printf("%s is missing or invalid", bad);
    return NULL;
  }
  return g_steal_pointer(&heartbeat);
}

static WsHeartbeat *
parse_status_of(const json_t *body, const char *machine)
{
  g_autofree char *reason = NULL;
  g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse(body, &reason);
  if (heartbeat == NULL || strcmp(heartbeat->machine, machine) != 0)
    return NULL;
  return g_steal_pointer(&heartbeat);
}

WsHeartbeat *
ws_heartbeat_parse_status_reply(guint status, const json_t *body, const char *machine)
{
  return status == STATUS_OK ? parse_status_of(body, machine) : NULL;
}

WsHeartbeat *
ws_heartbeat_parse_command_reply(guint status, const json_t *body, const char *machine)
{
  return status == STATUS_OK || status == STATUS_CONFLICT ? parse_status_of(body, machine) : NULL;
}

const WsTaskStatus *
ws_heartbeat_find_task(const WsHeartbeat *heartbeat, const char *job, guint task, guint64 attempt)
{
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const WsTaskStatus *at = &g_array_index(heartbeat->tasks, WsTaskStatus, i);
    if (at->task == task && at->attempt == attempt && strcmp(at->job, job) == 0)
      return at;
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

json_t *
ws_command_encode(WsOp op, const char *job, guint task, guint64 attempt, double grace_s)
{
  static const char *const OPS[] = { "launch", "halt", "reap" };
  g_autofree char *name = g_strdup_printf("%s/%u", job, task);
  json_t *command
      = json_pack("{s:s, s:s, s:I}", W_OP, OPS[op], W_TASK, name, W_ATTEMPT, (json_int_t)attempt);
  if (op == WS_OP_HALT)
    json_object_set_new(command, W_GRACE, json_real(grace_s));
  return command;
}

json_t *
ws_heartbeat_answer_encode(guint64 fencing_token, json_t *commands)
{
  return json_pack("{s:I, s:o}", W_FENCING_TOKEN, (json_int_t)fencing_token, W_COMMANDS, commands);
}

json_t *
ws_heartbeat_answer_commands(const json_t *answer)
{
  return json_object_get(answer, W_COMMANDS);
}

json_t *
ws_commands_encode(guint64 fencing_token, guint64 incarnation, json_t *commands)
{
  return json_pack("{s:I, s:I, s:o}", W_FENCING_TOKEN, (json_int_t)fencing_token, W_INCARNATION,
                   (json_int_t)incarnation, W_COMMANDS, commands);
}

json_t *
ws_redirect_encode(const char *node)
{
  return node == NULL ? json_object() : json_pack("{s:s}", W_REPORT_TO, node);
}

/* Parses the settings file section by section. */
#include "protocol/ws-settings.h"

#include <string.h>

#define MAX_SETTING_VALUE 1e9
/* Sets of nodes are stored as bit masks in an integer. */
#define MAX_NODES 31u
/* Value size that a record of 128 tasks or of 50 machines needs. */
#define MIN_VALUE_KB 8.0
/* Minimum of the announced lower limit of the value size. A record then holds fewer tasks or
   machines, but a value must have space for a job submission, for the resource use of a team and
   for a few tasks. */
#define MIN_NEXT_VALUE_KB 1.0
/* Minimum of the current and of the announced limit: a transaction must have space for a task, its
   job, the resource use of its team and one more operation. */
#define MIN_TXN_OPERATIONS 4
/* Part of the maximum value size that records leave unused: the key-value store may encode a value
   differently and so count more bytes than this program does. */
#define VALUE_SIZE_MARGIN_RATIO 0.03
/* Used if the settings don't have gang_peer_s; the platform's jobs then include no gangs. */
#define DEFAULT_GANG_PEER_S 5.0
/* Kinds of objectives: until tasks start, and until jobs complete. */
#define OBJECTIVE_KIND_TASK_START "wait"
#define OBJECTIVE_KIND_JOB_COMPLETION "finished"
#define BYTES_PER_KB 1024.0
/* Returned if no objective applies to the class. */
#define NO_OBJECTIVE_S (-1.0)

static void
node_free(gpointer data)
{
  WsNode *node = data;
  g_free(node->name);
  g_free(node->zone);
  g_free(node->endpoint);
  g_free(node);
}

static void
team_free(gpointer data)
{
  WsTeamSettings *team = data;
  g_free(team->name);
  g_free(team);
}

static void
objective_free(gpointer data)
{
  WsObjective *objective = data;
  g_free(objective->class_name);
  g_free(objective);
}

static gboolean
copy_string(const json_t *object, const char *name, char **value)
{
  const char *found;
  if (!ws_json_string(object, name, &found) || *found == '\0')
    return FALSE;
  *value = g_strdup(found);
  return TRUE;
}

static gboolean
parse_positive(const json_t *object, const char *name, double *value)
{
  return ws_json_number(object, name, value) && *value > 0.0 && *value < MAX_SETTING_VALUE;
}

static gboolean
add_node(WsSettings *settings, const json_t *object, gboolean is_self)
{
  WsNode *node = g_new0(WsNode, 1);
  g_ptr_array_add(settings->nodes, node);
  return copy_string(object, "node_name", &node->name) && copy_string(object, "zone", &node->zone)
         && (is_self || copy_string(object, "endpoint", &node->endpoint));
}

static gint
compare_node_names(gconstpointer a, gconstpointer b)
{
  return strcmp((*(WsNode *const *)a)->name, (*(WsNode *const *)b)->name);
}

static const char *
parse_nodes(WsSettings *settings, const json_t *message)
{
  const json_t *peers = json_object_get(message, "peers");
  if (!add_node(settings, message, TRUE))
    return "node_name or zone";
  if (!json_is_array(peers))
    return "peers";
  size_t i;
  const json_t *peer;
  json_array_foreach(peers, i, peer)
  {
    if (!add_node(settings, peer, FALSE))
      return "peers";
  }
  if (settings->nodes->len > MAX_NODES)
    return "peers (at most 31 nodes in total)";
  const WsNode *self = g_ptr_array_index(settings->nodes, 0);
  g_ptr_array_sort(settings->nodes, compare_node_names);
  for (WsNodeIndex n = 0; n < settings->nodes->len; n++)
    if (g_ptr_array_index(settings->nodes, n) == self)
      settings->self = n;
  for (WsNodeIndex n = 1; n < settings->nodes->len; n++)
    if (compare_node_names(&settings->nodes->pdata[n - 1], &settings->nodes->pdata[n]) == 0)
      return "peers (duplicate node_name)";
  return NULL;
}

static gboolean
parse_team(WsSettings *settings, const json_t *item)
{
  WsTeamSettings *team = g_new0(WsTeamSettings, 1);
  g_ptr_array_add(settings->teams, team);
  return copy_string(item, "name", &team->name)
         && ws_amount_parse_capacity(item, "cpus", &team->guarantee.cpus)
         && ws_amount_parse_capacity(item, "cpus_max", &team->limit.cpus)
         && ws_amount_parse_capacity(item, "gpus", &team->guarantee.gpus)
         && ws_amount_parse_capacity(item, "gpus_max", &team->limit.gpus);
}

/* Adds an objective for the start of tasks or the completion of jobs. Objectives of other kinds,
   which are meant for the operators, and invalid ones are ignored. */
static void
parse_objective(WsSettings *settings, const json_t *item)
{
  const char *kind;
  WsObjective objective = { 0 };
  if (!ws_json_string(item, "kind", &kind))
    return;
  objective.is_for_task_start = strcmp(kind, OBJECTIVE_KIND_TASK_START) == 0;
  if ((!objective.is_for_task_start && strcmp(kind, OBJECTIVE_KIND_JOB_COMPLETION) != 0)
      || !parse_positive(item, "within_s", &objective.within_s)
      || !copy_string(item, "class", &objective.class_name))
    return;
  g_ptr_array_add(settings->objectives, g_memdup2(&objective, sizeof objective));
}

static const char *
parse_zones_objectives_and_teams(WsSettings *settings, const json_t *params)
{
  const json_t *zones = json_object_get(params, "zones");
  const json_t *teams = json_object_get(params, "teams");
  size_t i;
  const json_t *item;
  if (!json_is_array(zones))
    return "params.zones";
  json_array_foreach(zones, i, item)
  {
    if (!json_is_string(item))
      return "params.zones";
    g_ptr_array_add(settings->zones, g_strdup(json_string_value(item)));
  }
  json_array_foreach(json_object_get(params, "objectives"), i, item)
      parse_objective(settings, item);
  if (!json_is_array(teams))
    return "params.teams";
  json_array_foreach(teams, i, item)
  {
    if (!parse_team(settings, item))
      return "params.teams";
  }
  return NULL;
}

/* Lowers the limit to the announced one, if any. Returns FALSE if the announced one is invalid. */
static gboolean
lower_limit(const json_t *next, const char *name, double min, double *limit)
{
  double announced = 0.0;
  if (ws_json_is_absent(next, name))
    return TRUE;
  if (!parse_positive(next, name, &announced) || announced < min)
    return FALSE;
  *limit = MIN(*limit, announced);
  return TRUE;
}

/* Applies the announced limits immediately: the key-value store starts to enforce them at some
   later time, without notice. */
static const char *
parse_next_limits(WsSettings *settings, const json_t *next)
{
  double value_kb = settings->kv_current_value_kb, ops = (double)settings->kv_max_txn_ops;
  if (next != NULL && !json_is_null(next) && !json_is_object(next))
    return "params.state.next";
  if (!lower_limit(next, "rps", 0.0, &settings->kv_requests_per_s))
    return "params.state.next.rps";
  if (!lower_limit(next, "write_rps", 0.0, &settings->kv_writes_per_s))
    return "params.state.next.write_rps";
  if (!lower_limit(next, "value_kb", MIN_NEXT_VALUE_KB, &value_kb))
    return "params.state.next.value_kb (minimum 1)";
  if (!lower_limit(next, "txn_ops", MIN_TXN_OPERATIONS, &ops))
    return "params.state.next.txn_ops (minimum 4)";
  settings->kv_max_txn_ops = (guint64)ops;
  settings->kv_max_record_bytes
      = (guint64)(value_kb * BYTES_PER_KB * (1.0 - VALUE_SIZE_MARGIN_RATIO));
  return NULL;
}

static const char *
parse_gang_times(WsSettings *settings, const json_t *workers)
{
  double gang_wait_s; /* the settings contain it, but no decision depends on it; only validated */
  settings->gang_peer_s = DEFAULT_GANG_PEER_S;
  if (!ws_json_is_absent(workers, "gang_wait_s")
      && !parse_positive(workers, "gang_wait_s", &gang_wait_s))
    return "params.workers.gang_wait_s";
  if (!ws_json_is_absent(workers, "gang_peer_s")
      && !parse_positive(workers, "gang_peer_s", &settings->gang_peer_s))
    return "params.workers.gang_peer_s";
  return NULL;
}

static const char *
parse_worker_times(WsSettings *settings, const json_t *workers)
{
  if (!parse_positive(workers, "report_s", &settings->report_s))
    return "params.workers.report_s";
  if (!parse_positive(workers, "lease_s", &settings->lease_s))
    return "params.workers.lease_s";
  if (!parse_positive(workers, "cancel_s", &settings->cancel_s))
    return "params.workers.cancel_s";
  return NULL;
}

static const char *
parse_state_limits(WsSettings *settings, const json_t *state)
{
  if (!parse_positive(state, "rps", &settings->kv_requests_per_s))
    return "params.state.rps";
  if (!parse_positive(state, "write_rps", &settings->kv_writes_per_s))
    return "params.state.write_rps";
  if (!parse_positive(state, "value_kb", &settings->kv_current_value_kb)
      || settings->kv_current_value_kb < MIN_VALUE_KB)
    return "params.state.value_kb (minimum 8)";
  if (!ws_json_uint64(state, "txn_ops", &settings->kv_max_txn_ops)
      || settings->kv_max_txn_ops < MIN_TXN_OPERATIONS)
    return "params.state.txn_ops";
  return NULL;
}

static const char *
parse_cloud_limits(WsSettings *settings, const json_t *cloud)
{
  if (!parse_positive(cloud, "rps", &settings->cloud_requests_per_s))
    return "params.cloud.rps";
  if (!parse_positive(cloud, "list_lag_s", &settings->list_lag_s))
    return "params.cloud.list_lag_s";
  return NULL;
}

static const char *
parse_params(WsSettings *settings, const json_t *params)
{
  const json_t *workers = json_object_get(params, "workers");
  const json_t *state = json_object_get(params, "state");
  const json_t *limits = json_object_get(params, "limits");
  const char *invalid = parse_zones_objectives_and_teams(settings, params);
  if (invalid == NULL)
    invalid = parse_gang_times(settings, workers);
  if (invalid == NULL)
    invalid = parse_worker_times(settings, workers);
  if (invalid == NULL)
    invalid = parse_state_limits(settings, state);
  if (invalid == NULL)
    invalid = parse_cloud_limits(settings, json_object_get(params, "cloud"));
  if (invalid == NULL && !ws_json_uint64(limits, "max_sockets", &settings->max_sockets))
    invalid = "params.limits.max_sockets";
  if (invalid == NULL)
    invalid = parse_next_limits(settings, json_object_get(state, "next"));
  return invalid;
}

/* Returns the name of the first missing or invalid setting, or NULL if all are valid. The functions
   that it calls do the same. */
static const char *
parse_message(WsSettings *settings, const json_t *message)
{
  const json_t *services = json_object_get(message, "services");
  const char *invalid = parse_nodes(settings, message);
  if (invalid != NULL)
    return invalid;
  if (!copy_string(message, "api_addr", &settings->api_addr))
    return "api_addr";
  if (!copy_string(message, "mesh_addr", &settings->peer_addr))
    return "mesh_addr";
  if (!copy_string(services, "cloud", &settings->cloud_addr))
    return "services.cloud";
  if (!copy_string(services, "state", &settings->kv_addr))
    return "services.state";
  return parse_params(settings, json_object_get(message, "params"));
}

WsSettings *
ws_settings_parse(const json_t *message, GError **error)
{
  if (!json_is_object(message)) {
    ws_error_set_not_object(error);
    return NULL;
  }
  g_autoptr(WsSettings) settings = g_new0(WsSettings, 1);
  settings->nodes = g_ptr_array_new_with_free_func(node_free);
  settings->zones = g_ptr_array_new_with_free_func(g_free);
  settings->objectives = g_ptr_array_new_with_free_func(objective_free);
  settings->teams = g_ptr_array_new_with_free_func(team_free);
  const char *invalid = parse_message(settings, message);
  if (invalid != NULL) {
    ws_error_set_invalid(error, WS_ERROR_INVALID_SETTING, invalid);
    return NULL;
  }
  return g_steal_pointer(&settings);
}

gboolean
ws_team_is_within_limit(const WsTeamSettings *team, const WsResources *use)
{
  return (team->limit.cpus == 0 || use->cpus <= team->limit.cpus)
         && (team->limit.gpus == 0 || use->gpus <= team->limit.gpus);
}

gboolean
ws_team_has_capacity(const WsSettings *settings, WsTeamIndex team, const WsResources *use,
                     const WsResources *need)
{
  WsResources total = *use;
  ws_resources_add(&total, need, 1);
  return ws_team_is_within_limit(g_ptr_array_index(settings->teams, team), &total);
}

void
ws_settings_free(WsSettings *settings)
{
  if (settings == NULL)
    return;
  g_ptr_array_unref(settings->nodes);
  g_ptr_array_unref(settings->zones);
  g_ptr_array_unref(settings->teams);
  g_ptr_array_unref(settings->objectives);
  g_free(settings->api_addr);
  g_free(settings->peer_addr);
  g_free(settings->cloud_addr);
  g_free(settings->kv_addr);
  g_free(settings);
}

const WsNode *
ws_settings_node(const WsSettings *settings, WsNodeIndex node)
{
  return g_ptr_array_index(settings->nodes, node);
}

WsNodeIndex
ws_settings_find_node(const WsSettings *settings, const char *name)
{
  for (WsNodeIndex n = 0; name != NULL && n < settings->nodes->len; n++)
    if (strcmp(ws_settings_node(settings, n)->name, name) == 0)
      return n;
  return WS_NO_NODE;
}

/* Returns the shortest time among the class's objectives for the start of tasks (is_for_task_start)
   or the completion of jobs, or NO_OBJECTIVE_S if there is none. */
static double
shortest_objective_s(const WsSettings *settings, const char *class_name, gboolean is_for_task_start)
{
  double within_s = NO_OBJECTIVE_S;
  for (guint i = 0; i < settings->objectives->len; i++) {
    const WsObjective *objective = g_ptr_array_index(settings->objectives, i);
    if (objective->is_for_task_start == is_for_task_start
        && strcmp(objective->class_name, class_name) == 0
        && (within_s < 0.0 || objective->within_s < within_s))
      within_s = objective->within_s;
  }
  return within_s;
}

double
ws_settings_completion_objective_s(const WsSettings *settings, const char *class_name)
{
  return shortest_objective_s(settings, class_name, FALSE);
}

double
ws_settings_start_objective_s(const WsSettings *settings, const char *class_name)
{
  return shortest_objective_s(settings, class_name, TRUE);
}

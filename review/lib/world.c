#include "world.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define STEP_MS 10
#define FETCH_MS 1000
#define SICK_MS 200 /* a task that fails runs so long */
#define REPORT_TIMEOUT_MS 4000
#define MIN_REPORT_GAP_MS 500
#define SUBMIT_TIMEOUT_MS 5000
#define POLL_TIMEOUT_MS 2000
#define POLL_EVERY_MS 5000

gint64
world_ms(const World *world)
{
  return clock_ms() - world->start_ms;
}

static void
note_va(World *world, const char *prefix, const char *format, va_list arguments)
{
  g_autofree char *text = g_strdup_vprintf(format, arguments);
  fprintf(world->record, "%8.3f %s%s\n", (double)world_ms(world) / 1000.0, prefix, text);
  fflush(world->record);
}

void
world_note(World *world, const char *format, ...)
{
  va_list arguments;
  va_start(arguments, format);
  note_va(world, "", format, arguments);
  va_end(arguments);
}

void
world_violation(World *world, const char *rule, const char *format, ...)
{
  va_list arguments;
  g_autofree char *prefix = g_strdup_printf("RULE BROKEN %s: ", rule);
  va_start(arguments, format);
  note_va(world, prefix, format, arguments);
  va_end(arguments);
  g_string_append_printf(world->violations, "%s ", rule);
}

/* The zones: those of the controllers, each once, then those without one. Returns their number. */
static guint
list_zones(const Plan *plan, const char **zones)
{
  guint count = 0;
  for (guint n = 0; n < plan->nodes; n++) {
    gboolean is_new = TRUE;
    for (guint k = 0; k < count; k++)
      is_new = is_new && strcmp(zones[k], plan->zones[n]) != 0;
    if (is_new)
      zones[count++] = plan->zones[n];
  }
  for (guint i = 0; i < MAX_NODES && plan->more_zones[i] != NULL; i++)
    zones[count++] = plan->more_zones[i];
  return count;
}

static json_t *
zones_as_json(const Plan *plan)
{
  const char *zones[2 * MAX_NODES];
  guint count = list_zones(plan, zones);
  json_t *list = json_array();
  for (guint i = 0; i < count; i++)
    json_array_append_new(list, json_string(zones[i]));
  return list;
}

/* Controllers. */

static json_t *
node_settings(const World *world, guint self)
{
  const Plan *plan = world->plan;
  json_t *peers = json_array(), *zones = zones_as_json(plan);
  for (guint n = 0; n < plan->nodes; n++) {
    if (n == self)
      continue;
    g_autofree char *endpoint
        = g_strdup_printf("127.0.0.1:%u", proxy_port(world->nodes[self].to_peers[n]));
    json_array_append_new(peers, json_pack("{s:s, s:s, s:s}", "node_name", world->nodes[n].name,
                                           "zone", plan->zones[n], "endpoint", endpoint));
  }
  const Node *node = &world->nodes[self];
  g_autofree char *api = g_strdup_printf("127.0.0.1:%u", node->api_port);
  g_autofree char *mesh = g_strdup_printf("127.0.0.1:%u", node->mesh_port);
  g_autofree char *cloud = g_strdup_printf("127.0.0.1:%u", proxy_port(node->to_cloud));
  g_autofree char *state = g_strdup_printf("127.0.0.1:%u", proxy_port(node->to_state));
  json_t *teams = json_loads(plan->teams, 0, NULL);
  json_t *params = json_pack(
      "{s:i, s:o, s:o, s:[], s:{s:f,s:f,s:f,s:f,s:f}, s:{s:f,s:f,s:f,s:i}, s:{s:f,s:f},"
      " s:{s:f,s:f,s:i}, s:f}",
      "initial_size", (int)plan->nodes, "zones", zones, "teams", teams, "objectives", "workers",
      "report_s", plan->report_s, "lease_s", plan->lease_s, "gang_wait_s", 35.0, "gang_peer_s", 5.0,
      "cancel_s", plan->cancel_s, "state", "rps", plan->rps, "write_rps", plan->write_rps,
      "value_kb", plan->value_kb, "txn_ops", (int)plan->txn_ops, "cloud", "rps", plan->cloud_rps,
      "list_lag_s", plan->list_lag_s, "limits", "cpu_share", plan->cpu_share, "memory_mb",
      plan->memory_mb, "max_sockets", (int)plan->max_sockets, "clock_error_ms", 25.0);
  return json_pack("{s:s, s:s, s:s, s:s, s:o, s:{s:s,s:s}, s:o}", "node_name", node->name, "zone",
                   node->zone, "api_addr", api, "mesh_addr", mesh, "peers", peers, "services",
                   "cloud", cloud, "state", state, "params", params);
}

static void
child_setup(gpointer data)
{
  (void)data;
  (void)prctl(PR_SET_PDEATHSIG, SIGKILL); /* ends with this process, whatever happens */
}

static void
start_node(World *world, Node *node)
{
  g_autoptr(GPtrArray) arguments = g_ptr_array_new();
  g_autoptr(GError) error = NULL;
  g_autofree char *log_path = g_strdup_printf("%s/%s.log", world->folder, node->name);
  for (char **word = world->run; *word != NULL; word++)
    g_ptr_array_add(arguments, *word);
  g_ptr_array_add(arguments, node->settings);
  g_ptr_array_add(arguments, NULL);
  FILE *log = fopen(log_path, "a");
  if (log == NULL
      || !g_spawn_async_with_fds(NULL, (char **)arguments->pdata, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                                 child_setup, NULL, &node->pid, -1, -1, fileno(log), &error)) {
    world_note(world, "controller %s can't be started", node->name);
    world_end(world, 2);
    return;
  }
  fclose(log);
  node->starts++;
  node->restart_ms = 0;
  world_note(world, "controller %s started", node->name);
}

void
world_kill_node(Node *node, gboolean restart)
{
  World *world = node->world;
  if (node->pid == 0)
    return;
  kill(node->pid, SIGKILL);
  waitpid(node->pid, NULL, 0);
  node->pid = 0;
  node->restart_ms = restart ? clock_ms() + (gint64)(world->plan->restart_s * 1000.0) : G_MAXINT64;
  world_note(world, "controller %s killed", node->name);
}

static void
on_probe(guint status, const json_t *body, gpointer data)
{
  (void)body;
  Node *node = data;
  node->is_probing = FALSE;
  node->good = status == 200 ? node->good + 1 : 0;
  node->bad = status == 200 ? 0 : node->bad + 1;
  gboolean was = node->is_healthy;
  if (node->bad >= 2)
    node->is_healthy = FALSE;
  if (node->good >= 2 || (node->good >= 1 && !node->was_healthy))
    node->is_healthy = node->was_healthy = TRUE;
  if (was != node->is_healthy)
    world_note(node->world, "load balancer: %s is %s", node->name,
               node->is_healthy ? "healthy" : "unhealthy");
}

static gboolean
on_probe_due(gpointer data)
{
  World *world = data;
  for (guint n = 0; n < world->plan->nodes; n++) {
    Node *node = &world->nodes[n];
    if (node->is_probing)
      continue;
    if (node->is_cut) {
      on_probe(0, NULL, node);
      continue;
    }
    node->is_probing = TRUE;
    call_once(node->api_port, "GET", "/ready", NULL, 1000, on_probe, node);
  }
  return G_SOURCE_CONTINUE;
}

static void
step_nodes(World *world)
{
  for (guint n = 0; n < world->plan->nodes; n++) {
    Node *node = &world->nodes[n];
    int status;
    if (node->pid != 0 && waitpid(node->pid, &status, WNOHANG) == node->pid) {
      node->pid = 0;
      node->ended_by_itself++;
      node->restart_ms = clock_ms() + (gint64)(world->plan->restart_s * 1000.0);
      world_note(world, "controller %s ended by itself, status %d", node->name, status);
    }
    if (node->pid == 0 && clock_ms() >= node->restart_ms)
      start_node(world, node);
  }
}

void
world_cut_zone(World *world, const char *zone)
{
  world_note(world, "zone %s is %s", zone != NULL ? zone : world->cut_zone,
             zone != NULL ? "cut off from everything" : "connected again");
  world->cut_zone = zone;
  for (guint n = 0; n < world->plan->nodes; n++) {
    Node *node = &world->nodes[n];
    node->is_cut = g_strcmp0(node->zone, zone) == 0;
    proxy_hold(node->to_state, node->is_cut);
    proxy_hold(node->to_cloud, node->is_cut);
  }
  for (guint n = 0; n < world->plan->nodes; n++)
    for (guint k = 0; k < world->plan->nodes; k++)
      proxy_hold(world->nodes[n].to_peers[k], world->nodes[n].is_cut != world->nodes[k].is_cut);
  for (guint m = 0; m < world->machines->len; m++) {
    Machine *machine = g_ptr_array_index(world->machines, m);
    if (!machine->is_up || machine->is_gone || machine->hung_until_ms > 0)
      continue;
    if (zone != NULL && strcmp(machine->zone, zone) == 0)
      listener_silence(machine->listener);
    else
      listener_resume(machine->listener);
  }
}

gboolean
world_all_ready(const World *world)
{
  for (guint n = 0; n < world->plan->nodes; n++)
    if (!world->nodes[n].is_healthy)
      return FALSE;
  return TRUE;
}

/* Machines and their workers. */

gboolean
task_is_on_machine(const Task *task)
{
  return strcmp(task->state, "running") == 0 || strcmp(task->state, "flushing") == 0;
}

static gboolean
is_exited(const Task *task)
{
  return strcmp(task->state, "exited") == 0;
}

static void
task_free(gpointer data)
{
  g_free(((Task *)data)->job);
  g_free(data);
}

static double
job_number(const Job *job, const char *field)
{
  return json_number_value(json_object_get(job->body, field));
}

static const char *
job_text(const Job *job, const char *field)
{
  return json_string_value(json_object_get(job->body, field));
}

static json_t *
report_of(Machine *machine)
{
  json_t *tasks = json_array();
  for (guint i = 0; i < machine->tasks->len; i++) {
    const Task *task = g_ptr_array_index(machine->tasks, i);
    g_autofree char *name = g_strdup_printf("%s/%u", task->job, task->number);
    json_t *item = json_pack("{s:s, s:I, s:s}", "kus", name, "pokus", (json_int_t)task->attempt,
                             "stav", task->state);
    if (task->why != NULL)
      json_object_set_new(item, "duvod", json_string(task->why));
    if (task->stored)
      json_object_set_new(item, "stored", json_true());
    json_array_append_new(tasks, item);
  }
  g_autofree char *endpoint = g_strdup_printf("127.0.0.1:%u", listener_port(machine->listener));
  json_t *notice = machine->notice_ms > 0
                       ? json_real(MAX(0.0, (double)(machine->notice_ms - clock_ms()) / 1000.0))
                       : json_null();
  return json_pack("{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:o, s:o}", "stroj", machine->name,
                   "endpoint", endpoint, "typ", machine->world->plan->sku.sku, "hala",
                   machine->zone, "vypujcky", machine->spot, "smena", (json_int_t)machine->session,
                   "poradi", (json_int_t)++machine->sequence, "pecet", (json_int_t)machine->token,
                   "vypoved_s", notice, "kusy", tasks);
}

static void
report_soon(Machine *machine)
{
  machine->next_report_ms
      = MIN(machine->next_report_ms, MAX(clock_ms(), machine->last_report_ms + MIN_REPORT_GAP_MS));
}

static Task *
find_task(const Machine *machine, const char *job, guint number, guint64 attempt)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    Task *task = g_ptr_array_index(machine->tasks, i);
    if (task->number == number && (attempt == 0 || task->attempt == attempt)
        && strcmp(task->job, job) == 0)
      return task;
  }
  return NULL;
}

static gboolean
has_room(const Machine *machine, const Job *job)
{
  const World *world = machine->world;
  double cpus = 0.0, gpus = 0.0, mem_gb = 0.0;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const Task *task = g_ptr_array_index(machine->tasks, i);
    const Job *other = g_hash_table_lookup(world->jobs_by_id, task->job);
    if (is_exited(task) || other == NULL)
      continue;
    cpus += job_number(other, "cpus");
    gpus += job_number(other, "accelerators");
    mem_gb += job_number(other, "mem_gb");
  }
  const Sku *sku = &world->plan->sku;
  return cpus + job_number(job, "cpus") <= sku->cpus + 1e-6
         && gpus + job_number(job, "accelerators") <= sku->gpus + 1e-6
         && mem_gb + job_number(job, "mem_gb") <= sku->mem_gb + 1e-6;
}

static void
launch(Machine *machine, const char *id, guint number, guint64 attempt)
{
  World *world = machine->world;
  const Job *job = g_hash_table_lookup(world->jobs_by_id, id);
  if (find_task(machine, id, number, attempt) != NULL)
    return;
  Task *task = g_new0(Task, 1);
  *task = (Task){ .job = g_strdup(id),
                  .number = number,
                  .attempt = attempt,
                  .state = "exited",
                  .next_ms = G_MAXINT64 };
  if (job == NULL || !job->is_submitted || number >= job_number(job, "kusy")) {
    task->why = "no_such";
  } else if (find_task(machine, id, number, 0) != NULL
             && !is_exited(find_task(machine, id, number, 0))) {
    task->why = "busy";
  } else if (!has_room(machine, job)) {
    task->why = "full";
  } else {
    const char *image = job_text(job, "obraz");
    gint64 *ready = g_hash_table_lookup(machine->images, image);
    if (ready == NULL) {
      ready = g_new(gint64, 1);
      *ready = clock_ms() + FETCH_MS;
      g_hash_table_insert(machine->images, g_strdup(image), ready);
    }
    task->state = "fetching";
    task->next_ms = *ready;
  }
  world_note(world, "%s: launch %s/%u attempt %" G_GUINT64_FORMAT ": %s", machine->name, id, number,
             attempt, task->why != NULL ? task->why : task->state);
  g_ptr_array_add(machine->tasks, task);
  report_soon(machine);
}

static void
halt(Machine *machine, Task *task, double grace_s)
{
  const Job *job = g_hash_table_lookup(machine->world->jobs_by_id, task->job);
  gboolean can_save = job_number(job, "zaloha_s") > 0.0 && grace_s >= job_number(job, "ulozeni_s");
  if (can_save && strcmp(task->state, "flushing") == 0)
    return;
  world_note(machine->world, "%s: halt %s/%u attempt %" G_GUINT64_FORMAT, machine->name, task->job,
             task->number, task->attempt);
  if (can_save && strcmp(task->state, "running") == 0) {
    task->state = "flushing";
    task->next_ms = clock_ms() + (gint64)(job_number(job, "ulozeni_s") * 1000.0);
  } else {
    task->state = "exited";
    task->why = "stopped";
  }
  report_soon(machine);
}

static void
execute(Machine *machine, const json_t *commands)
{
  size_t i;
  const json_t *command;
  json_array_foreach(commands, i, command)
  {
    const char *op = json_string_value(json_object_get(command, "ukon"));
    const char *name = json_string_value(json_object_get(command, "kus"));
    guint64 attempt = (guint64)json_integer_value(json_object_get(command, "pokus"));
    const char *slash = strrchr(name, '/');
    g_autofree char *job = g_strndup(name, (gsize)(slash - name));
    guint number = (guint)atoi(slash + 1);
    Task *task = find_task(machine, job, number, attempt);
    if (strcmp(op, "launch") == 0) {
      launch(machine, job, number, attempt);
    } else if (strcmp(op, "halt") == 0 && task != NULL && !is_exited(task)) {
      halt(machine, task, json_number_value(json_object_get(command, "lhuta_s")));
    } else if (strcmp(op, "reap") == 0 && task != NULL && is_exited(task)) {
      g_ptr_array_remove(machine->tasks, task);
      report_soon(machine);
    }
  }
}

static void
raise_token(Machine *machine, guint64 token)
{
  if (token <= machine->token)
    return;
  machine->token = token;
  report_soon(machine);
}

static void
serve_worker(Exchange *exchange, const char *method, const char *path, const json_t *body,
             gpointer data)
{
  (void)method;
  Machine *machine = data;
  guint status = 200;
  if (strcmp(path, "/commands") == 0) {
    const json_t *token = json_object_get(body, "pecet"), *session = json_object_get(body, "smena");
    if (!json_is_integer(token) || !json_is_integer(session)) {
      exchange_reply(exchange, 400, NULL);
      return;
    }
    if ((guint64)json_integer_value(token) < machine->token
        || (guint64)json_integer_value(session) != machine->session) {
      status = 409;
    } else {
      raise_token(machine, (guint64)json_integer_value(token));
      execute(machine, json_object_get(body, "prikazy"));
    }
  } else if (strcmp(path, "/status") != 0) {
    exchange_reply(exchange, 404, NULL);
    return;
  }
  exchange_reply(exchange, status, report_of(machine));
}

static void
forget_tasks(Machine *machine, const char *why)
{
  if (machine->tasks->len > 0)
    world_note(machine->world, "%s: %u tasks gone: %s", machine->name, machine->tasks->len, why);
  g_ptr_array_set_size(machine->tasks, 0);
}

static void
machine_off(Machine *machine, const char *why)
{
  if (machine->is_gone)
    return;
  world_note(machine->world, "%s: %s", machine->name, why);
  machine->is_gone = TRUE;
  machine->gone_ms = clock_ms();
  forget_tasks(machine, why);
  if (machine->listener != NULL)
    listener_silence(machine->listener);
  if (machine->link != NULL)
    link_abandon(machine->link);
  machine->link = NULL;
  machine->is_reporting = FALSE;
}

void
world_machine_dies(Machine *machine)
{
  machine->is_dead = TRUE;
  machine_off(machine, "stopped with all that was on it");
}

void
world_machine_taken(Machine *machine)
{
  machine_off(machine, "taken by the cloud without a notice");
}

static void
next_node(Machine *machine, guint node, gint64 after_ms)
{
  if (machine->link != NULL)
    link_free(machine->link);
  machine->link = NULL;
  machine->node = node;
  machine->next_report_ms = clock_ms() + after_ms;
}

static guint
find_node(const World *world, const char *name)
{
  for (guint n = 0; name != NULL && n < world->plan->nodes; n++)
    if (strcmp(world->nodes[n].name, name) == 0)
      return n;
  return world->plan->nodes;
}

static void
on_report_answered(guint status, const json_t *body, gpointer data)
{
  Machine *machine = data;
  World *world = machine->world;
  guint following = (machine->node + 1) % world->plan->nodes;
  machine->is_reporting = FALSE;
  if (status == 421) {
    guint named = find_node(world, json_string_value(json_object_get(body, "hlasit_komu")));
    if (named < world->plan->nodes && named != machine->node)
      next_node(machine, named, 100);
    else
      next_node(machine, following, 1000);
    return;
  }
  if (status != 200) {
    next_node(machine, following, 1000);
    return;
  }
  double jitter = g_random_double_range(0.75, 1.25);
  machine->next_report_ms = clock_ms() + (gint64)(world->plan->report_s * 1000.0 * jitter);
  const json_t *token = json_object_get(body, "pecet");
  if (machine->sent_session != machine->session || !json_is_integer(token)
      || (guint64)json_integer_value(token) < machine->token)
    return;
  machine->renewed_ms = machine->sent_ms;
  machine->answered++;
  raise_token(machine, (guint64)json_integer_value(token));
  execute(machine, json_object_get(body, "prikazy"));
}

static gboolean
is_cut_from(const Machine *machine, const Node *node)
{
  const char *zone = machine->world->cut_zone;
  return zone != NULL && (strcmp(machine->zone, zone) == 0) != (strcmp(node->zone, zone) == 0);
}

/* The report gets no answer within the time that a worker waits. */
static gboolean
on_report_lost(gpointer data)
{
  Machine *machine = data;
  if (!machine->is_gone)
    on_report_answered(0, NULL, machine);
  return G_SOURCE_REMOVE;
}

static void
send_report(Machine *machine)
{
  World *world = machine->world;
  if (machine->link == NULL)
    machine->link = link_new(world->nodes[machine->node].api_port);
  machine->is_reporting = TRUE;
  machine->sent_ms = machine->last_report_ms = clock_ms();
  machine->sent_session = machine->session;
  machine->reports++;
  machine->next_report_ms = G_MAXINT64;
  if (is_cut_from(machine, &world->nodes[machine->node])) {
    g_timeout_add(REPORT_TIMEOUT_MS, on_report_lost, machine);
    return;
  }
  link_call(machine->link, "POST", "/v1/report", report_of(machine), REPORT_TIMEOUT_MS,
            on_report_answered, machine);
}

static double
team_use(const World *world, const char *team, const char *field)
{
  double sum = 0.0;
  for (guint m = 0; m < world->machines->len; m++) {
    const Machine *machine = g_ptr_array_index(world->machines, m);
    for (guint i = 0; i < machine->tasks->len; i++) {
      const Task *task = g_ptr_array_index(machine->tasks, i);
      const Job *job = g_hash_table_lookup(world->jobs_by_id, task->job);
      if (task_is_on_machine(task) && strcmp(job_text(job, "dilna"), team) == 0)
        sum += job_number(job, field);
    }
  }
  return sum;
}

static void
check_quota(World *world, const char *name)
{
  json_t *teams = json_loads(world->plan->teams, 0, NULL);
  size_t i;
  const json_t *team;
  json_array_foreach(teams, i, team)
  {
    if (strcmp(json_string_value(json_object_get(team, "name")), name) != 0)
      continue;
    double cpus_max = json_number_value(json_object_get(team, "cpus_max"));
    double gpus_max = json_number_value(json_object_get(team, "gpus_max"));
    if (gpus_max > 0.0 && team_use(world, name, "accelerators") > gpus_max + 1e-6)
      world_violation(world, "quota", "team %s uses %.1f accelerators", name,
                      team_use(world, name, "accelerators"));
    if (cpus_max > 0.0 && team_use(world, name, "cpus") > cpus_max + 1e-6)
      world_violation(world, "quota", "team %s uses %.1f CPUs", name,
                      team_use(world, name, "cpus"));
  }
  json_decref(teams);
}

/* A task has its image: it starts. */
static void
start_task(Machine *machine, Task *task)
{
  World *world = machine->world;
  Job *job = g_hash_table_lookup(world->jobs_by_id, task->job);
  task->state = "running";
  for (guint m = 0; m < world->machines->len; m++) {
    const Machine *other = g_ptr_array_index(world->machines, m);
    for (guint i = 0; i < other->tasks->len; i++) {
      const Task *running = g_ptr_array_index(other->tasks, i);
      if (other != machine && running->number == task->number && task_is_on_machine(running)
          && strcmp(running->job, task->job) == 0)
        world_violation(world, "ran_twice", "%s/%u starts on %s while it is on %s", task->job,
                        task->number, machine->name, other->name);
    }
  }
  if (job->cancelled_ms > 0
      && clock_ms() > job->cancelled_ms + (gint64)(world->plan->cancel_s * 1000.0))
    world_violation(world, "ran_cancelled", "%s/%u starts on %s", task->job, task->number,
                    machine->name);
  job->starts++;
  if (job->first_start_ms == 0)
    job->first_start_ms = clock_ms();
  if (job->starts <= 20)
    world_note(world, "%s: %s/%u runs, attempt %" G_GUINT64_FORMAT, machine->name, task->job,
               task->number, task->attempt);
  task->next_ms = job->run_s >= 0.0 ? clock_ms() + (gint64)(job->run_s * 1000.0) : G_MAXINT64;
  if (job->completed != NULL && job->completed[task->number] != 0)
    task->next_ms = clock_ms();
  if (machine->is_sick || job->is_broken) {
    machine->sick_starts++;
    task->next_ms = clock_ms() + SICK_MS;
  }
  check_quota(world, job_text(job, "dilna"));
  report_soon(machine);
}

static void
finish_task(Machine *machine, Task *task)
{
  Job *job = g_hash_table_lookup(machine->world->jobs_by_id, task->job);
  gboolean was_saving = strcmp(task->state, "flushing") == 0;
  gboolean has_failed = !was_saving && (machine->is_sick || job->is_broken);
  task->state = "exited";
  task->why = was_saving ? "stopped" : (has_failed ? "error" : "done");
  task->stored = was_saving;
  task->next_ms = G_MAXINT64;
  if (!was_saving && !has_failed && job->completed[task->number] == 0) {
    job->completed[task->number] = 1;
    job->completed_count++;
  }
  report_soon(machine);
}

static void
step_tasks(Machine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    Task *task = g_ptr_array_index(machine->tasks, i);
    if (clock_ms() < task->next_ms || is_exited(task))
      continue;
    if (strcmp(task->state, "fetching") == 0)
      start_task(machine, task);
    else
      finish_task(machine, task);
  }
}

static void
check_cancelled(Machine *machine)
{
  World *world = machine->world;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const Task *task = g_ptr_array_index(machine->tasks, i);
    Job *job = g_hash_table_lookup(world->jobs_by_id, task->job);
    if (!task_is_on_machine(task) || job == NULL || job->cancelled_ms == 0
        || clock_ms() <= job->cancelled_ms + (gint64)(world->plan->cancel_s * 1000.0))
      continue;
    world_violation(world, "ran_cancelled", "%s/%u is on %s %.3f s after its user was told",
                    task->job, task->number, machine->name,
                    (double)(clock_ms() - job->cancelled_ms) / 1000.0);
    job->cancelled_ms = G_MAXINT64 / 2; /* said once */
  }
}

static void
boot(Machine *machine)
{
  World *world = machine->world;
  machine->is_up = TRUE;
  machine->session = 1;
  machine->renewed_ms = clock_ms();
  machine->listener = listener_new(serve_worker, machine);
  if (g_strcmp0(world->cut_zone, machine->zone) == 0)
    listener_silence(machine->listener);
  machine->node = g_random_int_range(0, (gint32)world->plan->nodes);
  machine->next_report_ms = clock_ms();
  world_note(world, "%s: up", machine->name);
}

static void
step_machine(Machine *machine)
{
  World *world = machine->world;
  if (machine->is_gone)
    return;
  if (!machine->is_up) {
    if (clock_ms() >= machine->boot_ms)
      boot(machine);
    return;
  }
  if (machine->notice_ms > 0 && clock_ms() >= machine->notice_ms) {
    machine_off(machine, "taken by the cloud");
    return;
  }
  check_cancelled(machine);
  if (clock_ms() < machine->hung_until_ms)
    return;
  if (machine->hung_until_ms > 0) {
    machine->hung_until_ms = 0;
    world_note(world, "%s: goes on", machine->name);
    listener_resume(machine->listener);
  }
  if (clock_ms() - machine->renewed_ms > (gint64)(world->plan->lease_s * 1000.0)) {
    world_note(world, "%s: lease ended, session %" G_GUINT64_FORMAT, machine->name,
               machine->session + 1);
    forget_tasks(machine, "lease ended");
    machine->session++;
    machine->renewed_ms = clock_ms();
    report_soon(machine);
  }
  step_tasks(machine);
  if (!machine->is_reporting && clock_ms() >= machine->next_report_ms)
    send_report(machine);
}

guint
world_running(const World *world, const Job *job)
{
  guint count = 0;
  for (guint m = 0; m < world->machines->len; m++) {
    const Machine *machine = g_ptr_array_index(world->machines, m);
    for (guint i = 0; i < machine->tasks->len; i++) {
      const Task *task = g_ptr_array_index(machine->tasks, i);
      count += task_is_on_machine(task) && strcmp(task->job, job->id) == 0 ? 1 : 0;
    }
  }
  return count;
}

gboolean
world_has_room(const World *world, const Job *job)
{
  const char *zone = job_text(job, "hala");
  for (guint m = 0; m < world->machines->len; m++) {
    const Machine *machine = g_ptr_array_index(world->machines, m);
    if (machine->is_up && !machine->is_gone && machine->hung_until_ms == 0
        && machine->notice_ms == 0 && (zone == NULL || strcmp(zone, machine->zone) == 0)
        && (!machine->spot || json_is_true(json_object_get(job->body, "vypujcky")))
        && has_room(machine, job))
      return TRUE;
  }
  return FALSE;
}

guint
world_tasks_of(const World *world, const Job *job)
{
  guint count = 0;
  for (guint m = 0; m < world->machines->len; m++) {
    const Machine *machine = g_ptr_array_index(world->machines, m);
    for (guint i = 0; i < machine->tasks->len; i++)
      count += strcmp(((const Task *)g_ptr_array_index(machine->tasks, i))->job, job->id) == 0;
  }
  return count;
}

void
world_watch_room(Job *job)
{
  if (job == NULL)
    return;
  const World *world = job->world;
  gboolean waits = job->is_accepted && job->starts == 0 && !job->is_cancelling
                   && world_tasks_of(world, job) == 0 && world_has_room(world, job);
  if (!waits)
    job->room_since_ms = 0;
  else if (job->room_since_ms == 0)
    job->room_since_ms = clock_ms();
  if (job->room_since_ms > 0)
    job->room_longest_ms = MAX(job->room_longest_ms, clock_ms() - job->room_since_ms);
}

guint
world_up_machines(const World *world)
{
  guint count = 0;
  for (guint m = 0; m < world->machines->len; m++) {
    const Machine *machine = g_ptr_array_index(world->machines, m);
    count += machine->is_up && !machine->is_gone ? 1 : 0;
  }
  return count;
}

/* The cloud. */

static Machine *
find_machine(const World *world, const char *name)
{
  for (guint m = 0; m < world->machines->len; m++) {
    Machine *machine = g_ptr_array_index(world->machines, m);
    if (strcmp(machine->name, name) == 0)
      return machine;
  }
  return NULL;
}

static guint
count_rented(const World *world, const char *zone, gboolean spot)
{
  guint count = 0;
  for (guint m = 0; m < world->machines->len; m++) {
    const Machine *machine = g_ptr_array_index(world->machines, m);
    count += !machine->is_gone && machine->spot == spot && strcmp(machine->zone, zone) == 0 ? 1 : 0;
  }
  return count;
}

static const char *
known_zone(const World *world, const char *name)
{
  const char *zones[2 * MAX_NODES];
  guint count = list_zones(world->plan, zones);
  for (guint i = 0; name != NULL && i < count; i++)
    if (strcmp(zones[i], name) == 0)
      return zones[i];
  return NULL;
}

static void
rent(World *world, Exchange *exchange, const json_t *body)
{
  const char *request = json_string_value(json_object_get(body, "objednavka"));
  const char *zone = known_zone(world, json_string_value(json_object_get(body, "hala")));
  gboolean spot = json_is_true(json_object_get(body, "vypujcky"));
  json_int_t wanted = json_integer_value(json_object_get(body, "how_many"));
  json_t *names = request != NULL ? g_hash_table_lookup(world->rentals, request) : NULL;
  if (request == NULL || zone == NULL || wanted < 1 || wanted > 50) {
    exchange_reply(exchange, 400, NULL);
    return;
  }
  if (names == NULL) {
    guint capacity = spot ? world->plan->spot_capacity : world->plan->capacity;
    names = json_array();
    for (; wanted > 0 && count_rented(world, zone, spot) < capacity; wanted--) {
      Machine *machine = g_new0(Machine, 1);
      machine->world = world;
      machine->name = g_strdup_printf("m-%06u", world->machines->len + 1);
      machine->zone = zone;
      machine->spot = spot;
      machine->rented_ms = clock_ms();
      machine->boot_ms
          = clock_ms() + (gint64)((double)world->boot_ms * g_random_double_range(0.6, 1.5));
      machine->next_report_ms = G_MAXINT64;
      machine->tasks = g_ptr_array_new_with_free_func(task_free);
      machine->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
      g_ptr_array_add(world->machines, machine);
      json_array_append_new(names, json_string(machine->name));
    }
    world_note(world, "cloud: %s rents %zu machines in %s, %s", request, json_array_size(names),
               zone, spot ? "spot" : "ordinary");
    if (json_array_size(names) == 0) {
      json_decref(names);
      exchange_reply(exchange, 503, json_pack("{s:s}", "error", "no capacity"));
      return;
    }
    g_hash_table_insert(world->rentals, g_strdup(request), names);
  }
  exchange_reply(exchange, 200, json_pack("{s:O}", "stroje", names));
}

static json_t *
list_machines(const World *world, const char *path)
{
  json_t *list = json_array();
  const char *from = strstr(path, "from=");
  g_autofree char *after = from != NULL ? g_strndup(from + 5, strcspn(from + 5, "&")) : NULL;
  gint64 lag_ms = (gint64)(world->plan->list_lag_s * 1000.0);
  gint64 at_ms = clock_ms() - lag_ms;
  gboolean more = FALSE;
  for (guint m = 0; m < world->machines->len; m++) {
    const Machine *machine = g_ptr_array_index(world->machines, m);
    gboolean is_listed = machine->rented_ms <= at_ms
                         && (!machine->is_gone || machine->gone_ms > at_ms
                             || (machine->is_dead && !machine->is_returned));
    if (!is_listed || (after != NULL && strcmp(machine->name, after) <= 0))
      continue;
    if (json_array_size(list) >= 500) {
      more = TRUE;
      break;
    }
    gboolean has_failed = machine->is_dead && machine->gone_ms <= clock_ms() - 30000;
    gboolean was_up = machine->is_up && machine->boot_ms <= at_ms;
    g_autofree char *endpoint = g_strdup_printf(
        "127.0.0.1:%u",
        machine->listener != NULL ? listener_port(machine->listener) : listener_port(world->cloud));
    json_t *item = json_pack("{s:s, s:s, s:s, s:b, s:s, s:f}", "id", machine->name, "typ",
                             world->plan->sku.sku, "hala", machine->zone, "vypujcky", machine->spot,
                             "stav", has_failed ? "failed" : (was_up ? "running" : "starting"),
                             "age_s", (double)(at_ms - machine->rented_ms) / 1000.0);
    if (machine->listener != NULL)
      json_object_set_new(item, "endpoint", json_string(endpoint));
    json_array_append_new(list, item);
  }
  return json_pack("{s:o, s:b}", "stroje", list, "more", more);
}

static void
serve_cloud(Exchange *exchange, const char *method, const char *path, const json_t *body,
            gpointer data)
{
  World *world = data;
  const Sku *sku = &world->plan->sku;
  (void)method;
  if (world->cloud_is_out) {
    world_note(world, "cloud: %s gets 503", path);
    exchange_reply(exchange, 503, json_pack("{s:s}", "error", "trouble"));
    return;
  }
  gint64 now_ms = clock_ms();
  world->cloud_tokens
      = MIN(2.0 * world->plan->cloud_rps,
            world->cloud_tokens
                + (double)(now_ms - world->cloud_refilled_ms) / 1000.0 * world->plan->cloud_rps);
  world->cloud_refilled_ms = now_ms;
  if (world->cloud_tokens < 1.0) {
    exchange_reply(exchange, 429, NULL);
    return;
  }
  world->cloud_tokens -= 1.0;
  if (strcmp(path, "/catalog") == 0) {
    json_t *zones = sku->zones[0] == NULL ? zones_as_json(world->plan) : json_array();
    for (guint i = 0; i < MAX_NODES && sku->zones[i] != NULL; i++)
      json_array_append_new(zones, json_string(sku->zones[i]));
    exchange_reply(exchange, 200,
                   json_pack("{s:[{s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:o}]}", "typy", "sku",
                             sku->sku, "cpus", sku->cpus, "accelerators", sku->gpus, "mem_gb",
                             sku->mem_gb, "local_gb", 120.0, "pull_gb_per_s", 1.0, "price", 7.31,
                             "low_price", 3.42, "boot_s", sku->boot_s, "haly", zones));
  } else if (strcmp(path, "/machines") == 0) {
    rent(world, exchange, body);
  } else if (strcmp(path, "/machines/return") == 0) {
    size_t i;
    const json_t *name;
    json_array_foreach(json_object_get(body, "stroje"), i, name)
    {
      Machine *machine = find_machine(world, json_string_value(name));
      if (machine == NULL)
        continue;
      world_note(world, "cloud: %s is returned", machine->name);
      machine->is_returned = TRUE;
      machine_off(machine, "returned");
    }
    exchange_reply(exchange, 200, json_object());
  } else if (g_str_has_prefix(path, "/machines?")) {
    exchange_reply(exchange, 200, list_machines(world, path));
  } else {
    exchange_reply(exchange, 400, NULL);
  }
}

/* Users. */

json_t *
world_job(const char *id, const char *team, const char *kind, const char *priority, guint tasks,
          double cpus, double gpus, double mem_gb)
{
  json_t *body = json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:s, s:f}", "id", id,
                           "trida", "class", "dilna", team, "druh", kind, "prednost", priority,
                           "kusy", (int)tasks, "cpus", cpus, "accelerators", gpus, "mem_gb", mem_gb,
                           "obraz", "img-01", "pull_gb", 1.0);
  json_object_set_new(body, "typy", json_null());
  json_object_set_new(body, "hala", json_null());
  json_object_set_new(body, "one_zone", json_false());
  json_object_set_new(body, "scatter", json_false());
  json_object_set_new(body, "vypujcky", json_false());
  json_object_set_new(body, "odhad_s", json_real(0.0));
  json_object_set_new(body, "zaloha_s", json_real(0.0));
  json_object_set_new(body, "ulozeni_s", json_real(0.0));
  json_object_set_new(body, "termin_s", json_null());
  return body;
}

Job *
world_submit(World *world, json_t *body, double run_s)
{
  Job *job = g_new0(Job, 1);
  job->world = world;
  job->id = g_strdup(json_string_value(json_object_get(body, "id")));
  job->body = body;
  job->run_s = run_s;
  job->is_submitted = TRUE;
  job->submitted_ms = clock_ms();
  job->next_ms = job->submitted_ms;
  job->completed = g_new0(guint8, (gsize)json_integer_value(json_object_get(body, "kusy")) + 1);
  g_ptr_array_add(world->jobs, job);
  g_hash_table_insert(world->jobs_by_id, job->id, job);
  return job;
}

void
world_cancel(Job *job)
{
  job->is_cancelling = TRUE;
  job->next_ms = clock_ms();
}

/* The load balancer's choice: the next healthy node; any node if none is healthy. */
static Node *
choose_node(World *world)
{
  for (guint i = 0; i < world->plan->nodes; i++) {
    Node *node = &world->nodes[world->next_user_node++ % world->plan->nodes];
    if (node->is_healthy && !node->is_cut)
      return node;
  }
  return NULL;
}

static gboolean
is_final(const char *state)
{
  return g_strcmp0(state, "done") == 0 || g_strcmp0(state, "cancelled") == 0;
}

static void
told(Job *job, const char *state)
{
  World *world = job->world;
  if (is_final(job->told) && g_strcmp0(job->told, state) != 0)
    world_violation(world, "went_back", "%s was %s, is %s", job->id, job->told, state);
  if (g_strcmp0(state, "done") == 0 && job->completed_count < job_number(job, "kusy"))
    world_violation(world, "not_done", "%s is called done with %u tasks", job->id,
                    job->completed_count);
  if (g_strcmp0(state, "cancelled") == 0 && job->cancel_asked_ms == 0)
    world_violation(world, "went_back", "%s is called cancelled, its user didn't", job->id);
  if (g_strcmp0(job->told, state) != 0)
    world_note(world, "user of %s is told: %s", job->id, state);
  if (g_strcmp0(state, "cancelled") == 0 && job->cancelled_ms == 0)
    job->cancelled_ms = clock_ms();
  if (g_strcmp0(state, "done") == 0 && job->done_ms == 0)
    job->done_ms = clock_ms();
  g_free(job->told);
  job->told = g_strdup(state);
}

static void
on_user_answered(guint status, const json_t *body, gpointer data)
{
  Job *job = data;
  World *world = job->world;
  const char *state = json_string_value(json_object_get(body, "stav"));
  job->is_in_flight = FALSE;
  if (status == 200 || status == 201)
    job->last_answer_ms = clock_ms();
  if (!job->is_accepted) {
    world_note(world, "submission of %s: status %u", job->id, status);
    job->next_ms = clock_ms() + 1000;
    if (status == 200 || status == 201) {
      job->is_accepted = TRUE;
      job->accepted_ms = clock_ms();
    } else if (status == 400 || status == 422) {
      job->is_refused = TRUE;
      job->refusal = status;
      return;
    }
  } else {
    job->polls++;
    if (status != 200) {
      job->failed_polls++;
      world_note(world, "%s of %s: status %u", job->is_cancelling ? "cancellation" : "poll",
                 job->id, status);
    }
    job->next_ms
        = clock_ms()
          + (job->is_cancelling
                 ? 1000
                 : (gint64)(POLL_EVERY_MS / world->poll_factor * g_random_double_range(0.8, 1.2)));
    if (status == 404)
      world_violation(world, "forgotten", "%s is accepted and gets 404", job->id);
  }
  if ((status == 200 || status == 201) && state != NULL)
    told(job, state);
  if (is_final(job->told))
    job->next_ms = clock_ms() + POLL_EVERY_MS;
}

static void
step_job(Job *job)
{
  World *world = job->world;
  if (job->is_in_flight || job->is_refused || clock_ms() < job->next_ms)
    return;
  Node *node = choose_node(world);
  if (node == NULL) {
    job->next_ms = clock_ms() + 1000;
    if (job->is_accepted)
      job->failed_polls++;
    return;
  }
  job->is_in_flight = TRUE;
  if (!job->is_accepted) {
    call_once(node->api_port, "POST", "/api/jobs", json_incref(job->body), SUBMIT_TIMEOUT_MS,
              on_user_answered, job);
    return;
  }
  gboolean cancels = job->is_cancelling && !is_final(job->told);
  if (cancels && job->cancel_asked_ms == 0) {
    job->cancel_asked_ms = clock_ms();
    world_note(world, "user of %s asks to cancel it", job->id);
  }
  g_autofree char *path = g_strdup_printf("/api/jobs/%s%s", job->id, cancels ? "/withdraw" : "");
  call_once(node->api_port, cancels ? "POST" : "GET", path, NULL,
            cancels ? SUBMIT_TIMEOUT_MS : POLL_TIMEOUT_MS, on_user_answered, job);
}

/* The run. */

static gboolean
on_step(gpointer data)
{
  World *world = data;
  state_tick(world->state);
  step_nodes(world);
  for (guint m = 0; m < world->machines->len; m++)
    step_machine(g_ptr_array_index(world->machines, m));
  for (guint j = 0; j < world->jobs->len; j++)
    step_job(g_ptr_array_index(world->jobs, j));
  world->step(world);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_signal(gpointer data)
{
  world_end(data, 2);
  return G_SOURCE_CONTINUE;
}

World *
world_new(const Plan *plan, int argc, char **argv)
{
  if (argc < 4) {
    fprintf(stderr, "usage: %s RECORD FOLDER COMMAND...\n", argv[0]);
    exit(2);
  }
  World *world = g_new0(World, 1);
  world->plan = plan;
  world->record = fopen(argv[1], "w");
  if (world->record == NULL)
    exit(2);
  world->folder = argv[2];
  world->run = argv + 3;
  world->start_ms = clock_ms();
  world->poll_factor = 1.0;
  world->boot_ms = (gint64)(plan->sku.up_s * 1000.0);
  world->violations = g_string_new(NULL);
  world->loop = g_main_loop_new(NULL, FALSE);
  world->state
      = state_new(plan->rps, plan->write_rps, plan->txn_ops, (gsize)(plan->value_kb * 1024.0));
  world->cloud = listener_new(serve_cloud, world);
  world->cloud_refilled_ms = clock_ms();
  world->machines = g_ptr_array_new();
  world->rentals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  world->jobs = g_ptr_array_new();
  world->jobs_by_id = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint n = 0; n < plan->nodes; n++) {
    Node *node = &world->nodes[n];
    node->world = world;
    node->name = g_strdup_printf("uzel-%u", n);
    node->zone = plan->zones[n];
    node->api_port = free_port();
    node->mesh_port = free_port();
  }
  for (guint n = 0; n < plan->nodes; n++) {
    Node *node = &world->nodes[n];
    node->to_state = proxy_new(listener_port(world->state->listener));
    node->to_cloud = proxy_new(listener_port(world->cloud));
    for (guint k = 0; k < plan->nodes; k++)
      node->to_peers[k] = proxy_new(world->nodes[k].mesh_port);
  }
  for (guint n = 0; n < plan->nodes; n++) {
    Node *node = &world->nodes[n];
    json_t *settings = node_settings(world, n);
    node->settings = g_strdup_printf("%s/%s.json", world->folder, node->name);
    if (settings == NULL || json_dump_file(settings, node->settings, JSON_INDENT(1)) != 0)
      exit(2);
    json_decref(settings);
  }
  g_timeout_add(1000, on_probe_due, world);
  return world;
}

int
world_run(World *world, void (*step)(World *world))
{
  world->step = step;
  g_unix_signal_add(SIGTERM, on_signal, world);
  g_unix_signal_add(SIGINT, on_signal, world);
  g_timeout_add(STEP_MS, on_step, world);
  g_main_loop_run(world->loop);
  return world->verdict;
}

void
world_end(World *world, int verdict)
{
  for (guint n = 0; n < world->plan->nodes; n++) {
    Node *node = &world->nodes[n];
    if (node->pid != 0) {
      kill(node->pid, SIGKILL);
      waitpid(node->pid, NULL, 0);
    }
    node->pid = 0;
    node->restart_ms = G_MAXINT64;
  }
  world->verdict = verdict;
  world_note(world, "verdict %d%s%s", verdict, world->violations->len > 0 ? ", rules broken: " : "",
             world->violations->str);
  g_main_loop_quit(world->loop);
}

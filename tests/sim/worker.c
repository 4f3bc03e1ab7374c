/**
 * A simulated worker: it executes the commands launch, halt and reap, and drops its tasks when its
 * lease expires.
 */
#include "sim/worker.h"

#include <stdlib.h>
#include <string.h>

#define IMAGE_FETCH_MS 2000
/* Time until a task starts whose image the machine has already. */
#define CACHED_IMAGE_MS 20

static void
task_clear(gpointer data)
{
  g_free(((SimTask *)data)->job);
}

SimWorker *
sim_worker_new(const char *name, const char *type, const char *zone, gboolean spot, gint64 now_ms)
{
  SimWorker *worker = g_new0(SimWorker, 1);
  worker->name = g_strdup(name);
  worker->type = type;
  worker->zone = zone;
  worker->spot = spot;
  worker->incarnation = 1;
  worker->renewed_ms = now_ms;
  worker->tasks = g_array_new(FALSE, TRUE, sizeof(SimTask));
  g_array_set_clear_func(worker->tasks, task_clear);
  worker->images = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return worker;
}

void
sim_worker_free(SimWorker *worker)
{
  g_free(worker->name);
  g_array_unref(worker->tasks);
  g_hash_table_unref(worker->images);
  g_free(worker);
}

void
sim_worker_add_image(SimWorker *worker, const char *job)
{
  g_hash_table_add(worker->images, g_strdup(job));
}

void
sim_worker_begin_anew(SimWorker *worker, gint64 now_ms)
{
  g_array_set_size(worker->tasks, 0);
  worker->incarnation = 1;
  worker->sequence = 0;
  worker->fencing_token = 0;
  worker->renewed_ms = now_ms;
}

SimTask *
sim_worker_find(SimWorker *worker, const char *job, guint task)
{
  for (guint i = 0; i < worker->tasks->len; i++) {
    SimTask *found = &g_array_index(worker->tasks, SimTask, i);
    if (found->task == task && strcmp(found->job, job) == 0)
      return found;
  }
  return NULL;
}

json_t *
sim_worker_heartbeat(SimWorker *worker, gint64 now_ms)
{
  json_t *tasks = json_array();
  for (guint i = 0; i < worker->tasks->len; i++) {
    const SimTask *task = &g_array_index(worker->tasks, SimTask, i);
    g_autofree char *name = g_strdup_printf("%s/%u", task->job, task->task);
    json_t *item = json_pack("{s:s, s:I, s:s}", "kus", name, "pokus", (json_int_t)task->attempt,
                             "stav", task->state);
    if (task->saved)
      json_object_set_new(item, "stored", json_true());
    if (task->why != NULL)
      json_object_set_new(item, "duvod", json_string(task->why));
    json_array_append_new(tasks, item);
  }
  g_autofree char *endpoint = g_strdup_printf("w-%s:1", worker->name);
  json_t *notice = worker->interruption_ms > 0
                       ? json_real((double)(worker->interruption_ms - now_ms) / 1000.0)
                       : json_null();
  return json_pack("{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:o, s:o}", "stroj", worker->name,
                   "endpoint", endpoint, "typ", worker->type, "hala", worker->zone, "vypujcky",
                   worker->spot, "smena", (json_int_t)worker->incarnation, "poradi",
                   (json_int_t)++worker->sequence, "pecet", (json_int_t)worker->fencing_token,
                   "vypoved_s", notice, "kusy", tasks);
}

gboolean
sim_task_occupies_slot(const SimTask *task)
{
  return strcmp(task->state, "fetching") != 0 && strcmp(task->state, "exited") != 0;
}

/* Counts the tasks that haven't exited, including those that fetch their image. */
static guint
count_unexited_tasks(const SimWorker *worker)
{
  guint count = 0;
  for (guint i = 0; i < worker->tasks->len; i++)
    count += strcmp(g_array_index(worker->tasks, SimTask, i).state, "exited") != 0 ? 1 : 0;
  return count;
}

/* Each job has an image of its own. A machine that has fetched it keeps it. */
static gint64
fetch_time_ms(const SimWorker *worker, const char *job)
{
  return g_hash_table_contains(worker->images, job) ? CACHED_IMAGE_MS : IMAGE_FETCH_MS;
}

static void
launch_task(SimWorker *worker, gint64 now_ms, const char *job, guint number, guint64 attempt,
            SimDescribeTask describe, gpointer user_data)
{
  double run_s;
  SimTask *existing = sim_worker_find(worker, job, number);
  SimTask task = { .job = g_strdup(job),
                   .task = number,
                   .attempt = attempt,
                   .state = "fetching",
                   .next_step_ms = now_ms + fetch_time_ms(worker, job) };
  if (existing != NULL && existing->attempt == attempt) {
    g_free(task.job);
    return;
  }
  if (existing != NULL || !describe(user_data, job, number, &run_s)) {
    task.state = "exited";
    task.why = existing != NULL ? "busy" : "no_such";
  } else if (count_unexited_tasks(worker) >= SIM_MACHINE_SLOTS) {
    task.state = "exited";
    task.why = "full";
  }
  g_array_append_val(worker->tasks, task);
}

/* Stops a task. If the grace period suffices to save, a running task of a gang starts saving, and
   one that is already saving continues. */
static void
halt_task(SimTask *task, gint64 now_ms, double grace_s)
{
  gboolean may_save = task->save_ms > 0 && grace_s * 1000.0 >= (double)task->save_ms;
  if (may_save && strcmp(task->state, "flushing") == 0)
    return;
  if (may_save && strcmp(task->state, "running") == 0) {
    task->state = "flushing";
    task->next_step_ms = now_ms + task->save_ms;
    return;
  }
  task->state = "exited";
  task->why = "stopped";
}

static void
execute_command(SimWorker *worker, gint64 now_ms, const json_t *command, SimDescribeTask describe,
                gpointer user_data)
{
  const char *op = json_string_value(json_object_get(command, "ukon"));
  const char *name = json_string_value(json_object_get(command, "kus"));
  guint64 attempt = (guint64)json_integer_value(json_object_get(command, "pokus"));
  const char *slash = strchr(name, '/');
  g_autofree char *job = g_strndup(name, (gsize)(slash - name));
  guint number = (guint)atoi(slash + 1);
  if (strcmp(op, "launch") == 0) {
    launch_task(worker, now_ms, job, number, attempt, describe, user_data);
    return;
  }
  for (guint i = 0; i < worker->tasks->len; i++) {
    SimTask *task = &g_array_index(worker->tasks, SimTask, i);
    if (task->task != number || task->attempt != attempt || strcmp(task->job, job) != 0)
      continue;
    gboolean exited = strcmp(task->state, "exited") == 0;
    if (strcmp(op, "reap") == 0 && exited) {
      g_array_remove_index(worker->tasks, i);
    } else if (strcmp(op, "halt") == 0 && !exited) {
      halt_task(task, now_ms, json_number_value(json_object_get(command, "lhuta_s")));
    }
    return;
  }
}

static void
execute_commands(SimWorker *worker, gint64 now_ms, const json_t *message, SimDescribeTask describe,
                 gpointer user_data)
{
  size_t i;
  const json_t *command;
  json_array_foreach(json_object_get(message, "prikazy"), i, command)
      execute_command(worker, now_ms, command, describe, user_data);
}

void
sim_worker_handle_answer(SimWorker *worker, gint64 now_ms, gint64 sent_ms, guint64 incarnation,
                         const json_t *answer, SimDescribeTask describe, gpointer user_data)
{
  const json_t *fencing_token = json_object_get(answer, "pecet");
  if (incarnation != worker->incarnation || !json_is_integer(fencing_token)
      || (guint64)json_integer_value(fencing_token) < worker->fencing_token)
    return;
  worker->fencing_token = (guint64)json_integer_value(fencing_token);
  worker->renewed_ms = sent_ms;
  execute_commands(worker, now_ms, answer, describe, user_data);
}

guint
sim_worker_handle_commands(SimWorker *worker, gint64 now_ms, const json_t *message, json_t **report,
                           SimDescribeTask describe, gpointer user_data)
{
  guint64 fencing_token = (guint64)json_integer_value(json_object_get(message, "pecet"));
  guint64 incarnation = (guint64)json_integer_value(json_object_get(message, "smena"));
  guint status
      = fencing_token < worker->fencing_token || incarnation != worker->incarnation ? 409 : 200;
  if (status == 200) {
    worker->fencing_token = fencing_token;
    execute_commands(worker, now_ms, message, describe, user_data);
  }
  *report = sim_worker_heartbeat(worker, now_ms);
  return status;
}

void
sim_worker_check_lease(SimWorker *worker, gint64 now_ms, gint64 lease_ms)
{
  if (now_ms - worker->renewed_ms <= lease_ms)
    return;
  g_array_set_size(worker->tasks, 0);
  worker->incarnation++;
  worker->renewed_ms = now_ms;
}

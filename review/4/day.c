#include "../world-2/world.h"

/* One controller is restarted while one-task jobs come. Afterwards each accepted job that doesn't
   run must not be left waiting for 90 s while a machine that fits has room. */
#define HISTORY 110000u /* jobs that ended before this day: eleven days at 7 a minute */
#define BACK_AFTER_MS 8000
#define WAIT_BOUND_S 90.0
#define END_S 116.5

static guint submitted, team;
static double day_from;
static const char *const TEAMS[] = { "slevarna", "frezarna", "expedice", "lakovna", "kontrola" };

static json_t *
odlitek(void)
{
  return json_pack(
      "{s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:s, s:f, s:n, s:n, s:b, s:b, s:b, s:f, s:f, s:f, "
      "s:n}",
      "trida", "odlitek", "dilna", TEAMS[team++ % 5], "druh", "sweep", "prednost", "standard",
      "kusy", 1, "cpus", 10.0, "accelerators", 1.0, "mem_gb", 36.0, "obraz", "img-01", "pull_gb",
      0.3, "typy", "hala", "one_zone", 0, "scatter", 0, "vypujcky", 1, "odhad_s", 70.0, "zaloha_s",
      0.0, "ulozeni_s", 0.0, "termin_s");
}

typedef struct {
  Job *job;
  gboolean is_over;
  double waits_since; /* it is on no machine, and there has been room for it all the time since */
} Watched;

static GPtrArray *watched;
static double trouble_over;

static gboolean
on_submit(gpointer data)
{
  (void)data;
  guint number;
  g_autofree char *id = NULL;
  do { /* ids come in no order */
    g_free(id);
    number = (guint)g_random_int_range(0, 1000000);
    id = g_strdup_printf("w/job/req-%06u", number);
  } while (g_tree_lookup(kv, id) != NULL);
  submitted++;
  Watched *entry = g_new0(Watched, 1);
  entry->job = new_job(number, odlitek(), g_random_double_range(25, 35), FALSE);
  g_ptr_array_add(watched, entry);
  submit(entry->job);
  g_timeout_add(now() < day_from + 27 ? 250 : 2000, on_submit, NULL);
  return G_SOURCE_REMOVE;
}

/* Whether a machine that is up has room for one more task. The teams are far below their limits. */
static Machine *
machine_with_room(const Job *job)
{
  for (guint i = 0; i < machines->len; i++) {
    Machine *machine = machines->pdata[i];
    if (machine->is_up && !machine->is_gone && !machine->is_silent && has_room(machine, job))
      return machine;
  }
  return NULL;
}

static gboolean
is_on_a_machine(const Job *job)
{
  for (guint i = 0; i < machines->len; i++) {
    const Machine *machine = machines->pdata[i];
    for (guint t = 0; !machine->is_gone && t < machine->tasks->len; t++) {
      const Task *task = machine->tasks->pdata[t];
      if (strcmp(task->job, job->id) == 0
          && (strcmp(task->state, "exited") != 0 || strcmp(task->why, "done") == 0))
        return TRUE;
    }
  }
  return FALSE;
}

static guint broken, over;
static gboolean
on_look(gpointer data)
{
  (void)data;
  for (guint i = 0; i < watched->len; i++) {
    Watched *entry = watched->pdata[i];
    g_autofree char *key = g_strdup_printf("%s/0", entry->job->id);
    if (entry->is_over || !entry->job->is_accepted)
      continue;
    if (g_hash_table_contains(done_tasks, key)) {
      entry->is_over = TRUE;
      over++;
    } else if (is_on_a_machine(entry->job) || machine_with_room(entry->job) == NULL) {
      entry->waits_since = 0;
    } else if (entry->waits_since == 0) {
      entry->waits_since = now();
    } else if (now() - MAX(entry->waits_since, trouble_over) > WAIT_BOUND_S) {
      entry->is_over = TRUE;
      broken++;
      rec("BROKEN waiting: job %s was accepted, is on no machine since %.1f, and %s has room",
          entry->job->id, entry->waits_since, machine_with_room(entry->job)->name);
      g_autofree char *path = g_strdup_printf("/api/jobs/%s", entry->job->id);
      for (guint n = 0; n < node_count; n++)
        user_send(n, "GET", path, NULL, entry->job, 2000, NULL);
    }
  }
  return G_SOURCE_CONTINUE;
}

static gboolean
on_kill(gpointer data)
{
  kill_node(GPOINTER_TO_UINT(data));
  return G_SOURCE_REMOVE;
}

static gboolean
on_start(gpointer data)
{
  start_node(GPOINTER_TO_UINT(data));
  trouble_over = now();
  return G_SOURCE_REMOVE;
}

static gboolean
on_end(gpointer data)
{
  (void)data;
  g_main_loop_quit(loop);
  return G_SOURCE_REMOVE;
}

static gboolean
on_day(gpointer data)
{
  (void)data;
  on_submit(NULL);
  g_timeout_add(250, on_look, NULL);
  if (trouble) {
    /* Any controller but the one that leads just now, as the store's record says. */
    const Item *leader = g_tree_lookup(kv, "w/leader");
    const char *name
        = leader != NULL ? json_string_value(json_object_get(leader->value, "node")) : NULL;
    guint node = g_strcmp0(name, nodes[0].name) == 0 ? 1 : 0;
    g_timeout_add(700, on_kill, GUINT_TO_POINTER(node));
    g_timeout_add(700 + BACK_AFTER_MS, on_start, GUINT_TO_POINTER(node));
  }
  return G_SOURCE_REMOVE;
}

/* Before the day: one job runs to its end. Then the store is filled with as many jobs that have
   ended as some days bring, each with the record that the service wrote for that one. */
static gboolean
on_first_job(gpointer data)
{
  Job *first = data;
  json_t *ended = final_record(first);
  if (ended == NULL)
    return now() < 20 ? G_SOURCE_CONTINUE : (g_main_loop_quit(loop), G_SOURCE_REMOVE);
  for (guint i = 0; i < node_count; i++)
    kill_node(i);
  add_history(ended, HISTORY);
  for (guint i = 0; i < node_count; i++)
    start_node(i);
  day_from = now();
  g_timeout_add(5000, on_day, NULL);
  g_timeout_add((guint)((END_S - day_from) * 1000), on_end, NULL);
  return G_SOURCE_REMOVE;
}

static gboolean
on_ready_for_first(gpointer data)
{
  (void)data;
  Job *first = new_job(1, odlitek(), 0.5, FALSE);
  submit(first);
  g_timeout_add(100, on_first_job, first);
  return G_SOURCE_REMOVE;
}

int
main(int argc, char **argv)
{
  static const char *const ZONES[] = { "vltava", "sazava", "lipno", NULL };
  json_t *params = json_loads(
      "{\"initial_size\":3,\"zones\":[\"lipno\",\"sazava\",\"vltava\"],\"teams\":["
      "{\"name\":\"slevarna\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":16.0,\"gpus_max\":56.0},"
      "{\"name\":\"frezarna\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":24.0,\"gpus_max\":32.0},"
      "{\"name\":\"expedice\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":8.0,\"gpus_max\":100.0},"
      "{\"name\":\"lakovna\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":24.0,\"gpus_max\":72.0},"
      "{\"name\":\"kontrola\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":16.0,\"gpus_max\":70.0}],"
      "\"objectives\":[{\"kind\":\"wait\",\"class\":\"odlitek\",\"within_s\":18.0,\"share\":0.9},"
      "{\"kind\":\"finished\",\"class\":\"odlitek\",\"within_s\":200.0,\"share\":0.9}],\"workers\":"
      "{\"report_s\":2.0,\"lease_s\":14.0,\"gang_wait_s\":30.0,"
      "\"gang_peer_s\":6.0,\"cancel_s\":44.0},\"state\":{\"rps\":70.0,\"write_rps\":25.0,"
      "\"value_kb\":8.0,\"txn_ops\":20},\"cloud\":{\"rps\":3.0,\"list_lag_s\":10.0},\"limits\":{"
      "\"cpu_share\":0.12,\"memory_mb\":72.0,\"max_sockets\":1500},\"clock_error_ms\":5.0}",
      0, NULL);
  watched = g_ptr_array_new();
  world_init(argc, argv, 3, ZONES, params);
  for (guint i = 0; i < 48; i++)
    add_machine(ZONES[i % 3], FALSE, 0.1);
  for (guint i = 0; i < 3; i++)
    start_node(i);
  g_timeout_add(1500, on_ready_for_first, NULL);
  g_main_loop_run(loop);
  rec("%u jobs submitted, %u task starts, %u jobs over, %u left waiting, ran_twice %u times",
      submitted, launches_run, over, broken, ran_twice);
  gboolean could_run = over > 60 && reap_nodes() == 0;
  world_end();
  return broken > 0 ? 1 : could_run ? 0 : 2;
}

/**
 * The replica: a node's own writes and the watch in any order, rereads, damaged records, and teams'
 * use.
 */
#include "storage/ws-records.h"
#include "storage/ws-team-use.h"
#include "ws-gen.h"
#include "ws-site.h"
#include "ws-suite.h"

#include <string.h>

typedef struct {
  char *key;
  json_t *value;
  guint64 version;
} Event;

static void
event_clear(gpointer data)
{
  Event *event = data;
  g_free(event->key);
  json_decref(event->value);
}

static json_t *
chunk_value(GRand *rand)
{
  g_autofree char *machine = g_strdup_printf("m-%d", g_rand_int_range(rand, 0, 3));
  json_t *on = json_array();
  for (gint task = 0; task < 4; task++)
    if (g_rand_boolean(rand))
      json_array_append_new(
          on, json_pack("[i, s, i, i]", task, machine, g_rand_int_range(rand, 1, 9), 1000));
  return json_pack("{s:i, s:o, s:s}", "a", 9, "on", on, "d", "00000000000000000000000000000000");
}

static json_t *
job_value(void)
{
  g_autoptr(GRand) rand = g_rand_new_with_seed(1);
  json_t *spec = ws_gen_submission(rand);
  json_object_set_new(spec, "id", json_string("req-1"));
  json_object_set_new(spec, "dilna", json_string("red"));
  json_object_set_new(spec, "kusy", json_integer(4));
  return json_pack("{s:s, s:i, s:s, s:o}", "s", "active", "at", 5, "home", "n1", "spec", spec);
}

static GArray *
history(GRand *rand)
{
  GArray *events = g_array_new(FALSE, TRUE, sizeof(Event));
  g_array_set_clear_func(events, event_clear);
  Event job = { g_strdup("w/job/req-1"), job_value(), 1 };
  g_array_append_val(events, job);
  for (guint64 version = 2; version < 30; version++) {
    gboolean removed = g_rand_int_range(rand, 0, 4) == 0;
    Event event = { 0 };
    event.version = version;
    if (g_rand_boolean(rand)) {
      event.key = g_strdup("w/task/req-1/0");
      event.value = removed ? NULL : chunk_value(rand);
    } else {
      event.key = g_strdup_printf("w/mark/m-%d", g_rand_int_range(rand, 0, 3));
      event.value = removed ? NULL : ws_mark_encode("idle", FALSE);
    }
    g_array_append_val(events, event);
  }
  return events;
}

static void
assert_sums(const WsReplica *replica)
{
  const WsJob *job = ws_replica_find_job(replica, "req-1");
  guint linked = 0;
  for (guint i = 0; i < replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(replica, i);
    linked += machine->tasks->len;
    g_assert_cmpint(machine->used.cpus, ==, job->spec->need.cpus * machine->tasks->len);
  }
  g_assert_cmpuint(linked, ==, job->assigned_count);
}

/* A node's own writes come early and again through the watch: the replica ends up the same, and
   what is on each machine always adds up. */
static void
early_and_again(GRand *rand)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  g_autoptr(GArray) events = history(rand);
  WsReplica *plain = ws_replica_new(settings), *early = ws_replica_new(settings);
  for (guint i = 0; i < events->len; i++) {
    const Event *event = &g_array_index(events, Event, i);
    ws_replica_apply(plain, event->key, event->value, event->version);
    ws_replica_advance(plain, event->version);
    guint ahead = i + (guint)g_rand_int_range(rand, 0, 4);
    ahead = MIN(ahead, events->len - 1);
    const Event *own = &g_array_index(events, Event, ahead);
    if (i > 0)
      ws_replica_apply(early, own->key, own->value, own->version);
    ws_replica_apply(early, event->key, event->value, event->version);
    ws_replica_advance(early, event->version);
    assert_sums(early);
  }
  for (guint m = 0; m < 3; m++) {
    g_autofree char *name = g_strdup_printf("m-%u", m);
    WsMachine *a = ws_replica_ensure_machine(plain, name),
              *b = ws_replica_ensure_machine(early, name);
    g_assert_cmpint(a->is_marked, ==, b->is_marked);
    g_assert_cmpint(a->used.cpus, ==, b->used.cpus);
  }
  g_assert_cmpuint(ws_replica_version(plain, "w/task/req-1/0"), ==,
                   ws_replica_version(early, "w/task/req-1/0"));
  ws_replica_free(plain);
  ws_replica_free(early);
}

static void
test_early(void)
{
  ws_check_cases(200, 1, early_and_again);
}

/* After the state was read again, keys that are no longer there are gone. */
static void
test_forget(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  g_autoptr(json_t) mark = ws_mark_encode("idle", FALSE);
  g_autoptr(GHashTable) read = g_hash_table_new(g_str_hash, g_str_equal);
  WsReplica *replica = ws_replica_new(settings);
  ws_replica_apply(replica, "w/mark/m-1", mark, 4);
  ws_replica_apply(replica, "w/mark/m-2", mark, 5);
  ws_replica_apply(replica, "w/mark/m-3", mark, 9);
  g_hash_table_add(read, (gpointer) "w/mark/m-2");
  ws_replica_remove_missing(replica, read, 7);
  g_assert_false(ws_replica_find_machine(replica, "m-1")->is_marked);
  g_assert_true(ws_replica_find_machine(replica, "m-2")->is_marked);
  g_assert_true(ws_replica_find_machine(replica, "m-3")->is_marked); /* newer than what was read */
  g_assert_cmpuint(ws_replica_version(replica, "w/mark/m-1"), ==, 0);
  ws_replica_free(replica);
}

static guint warnings;

static GLogWriterOutput
count_warnings(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data)
{
  (void)fields;
  (void)count;
  (void)data;
  warnings += (level & G_LOG_LEVEL_WARNING) != 0 ? 1 : 0;
  return G_LOG_WRITER_HANDLED;
}

static void
test_damaged(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  g_autoptr(json_t) job = job_value();
  g_autoptr(json_t) damaged = json_pack("{s:i, s:[[i]], s:s}", "a", 1, "on", 1, "d", "00");
  WsReplica *replica = ws_replica_new(settings);
  ws_replica_apply(replica, "w/job/req-1", job, 1);
  warnings = 0;
  ws_replica_apply(replica, "w/task/req-1/0", damaged, 2);
  g_assert_cmpuint(warnings, ==, 1);
  g_assert_cmpuint(ws_replica_find_job(replica, "req-1")->assigned_count, ==, 0);
  ws_replica_free(replica);
}

static void
add_teams(WsSettings *settings, guint count)
{
  for (guint i = 0; i < count; i++) {
    WsTeamSettings *team = g_new0(WsTeamSettings, 1);
    team->name = g_strdup_printf("generated-team-%04u", i);
    g_ptr_array_add(settings->teams, team);
  }
}

/* What teams use is read as it was written, however many there are, and no record comes near the
   largest value; one from before the records changed counts until there is a newer one. */
static void
test_team_use(void)
{
  g_autoptr(GRand) rand = g_rand_new_with_seed(41);
  for (guint round = 0; round < 20; round++) {
    g_autoptr(WsSettings) settings = ws_test_settings(0);
    settings->kv_current_value_kb = 8.0;
    add_teams(settings, (guint)g_rand_int_range(rand, 0, 400));
    WsReplica *replica = ws_replica_new(settings);
    g_autofree WsResources *use = g_new0(WsResources, settings->teams->len);
    for (guint t = 0; t < settings->teams->len; t++)
      use[t] = (WsResources){ .cpus = g_rand_int(rand), .gpus = g_rand_int(rand) };
    g_autoptr(json_t) old = json_pack("{s:i, s:i}", "c", 1, "g", 2);
    ws_replica_apply(replica, "w/team/red", old, 1);
    g_assert_cmpint(replica->team_use[0].gpus, ==, 2);
    for (guint group = 0; group < ws_team_use_group_count(settings); group++) {
      g_autofree char *key = ws_team_use_key(group);
      g_autoptr(json_t) value = ws_team_use_encode(settings, group, use);
      g_autofree char *text = json_dumps(value, JSON_COMPACT);
      g_assert_cmpuint(strlen(text), <, 8 * 1024 * 3 / 4);
      ws_replica_apply(replica, key, value, 2 + group);
    }
    ws_replica_apply(replica, "w/team/red", old, 1000);
    for (guint t = 0; t < settings->teams->len; t++) {
      g_assert_cmpint(replica->team_use[t].cpus, ==, use[t].cpus);
      g_assert_cmpint(replica->team_use[t].gpus, ==, use[t].gpus);
    }
    ws_replica_free(replica);
  }
}

static const WsTest TESTS[] = {
  { "/storage/early", test_early },
  { "/storage/forget", test_forget },
  { "/storage/damaged", test_damaged },
  { "/storage/team-use", test_team_use },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  g_log_set_writer_func(count_warnings, NULL, NULL);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

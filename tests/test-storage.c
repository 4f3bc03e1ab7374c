/**
 * The replica: own writes that are applied before the watch delivers them, keys that are missing
 * from a full read, damaged records, and the records of teams' resource use.
 */
#include "storage/ws-records.h"
#include "storage/ws-team-use.h"
#include "ws-random-input.h"
#include "ws-test-settings.h"
#include "ws-suite.h"

#include <string.h>

typedef struct {
  char *key;
  json_t *value;
  guint64 version;
} KeyChange;

static void
key_change_clear(gpointer data)
{
  KeyChange *change = data;
  g_free(change->key);
  json_decref(change->value);
}

static json_t *
random_chunk_record(GRand *rand)
{
  g_autofree char *machine = g_strdup_printf("m-%d", g_rand_int_range(rand, 0, 3));
  json_t *assignments = json_array();
  for (gint task = 0; task < 4; task++)
    if (g_rand_boolean(rand))
      json_array_append_new(assignments, json_pack("[i, s, i, i]", task, machine,
                                                   g_rand_int_range(rand, 1, 9), 1000));
  return json_pack("{s:i, s:o, s:s}", "a", 9, "on", assignments, "d",
                   "00000000000000000000000000000000");
}

static json_t *
job_record(void)
{
  g_autoptr(GRand) rand = g_rand_new_with_seed(1);
  json_t *spec = ws_gen_submission(rand);
  json_object_set_new(spec, "id", json_string("req-1"));
  json_object_set_new(spec, "dilna", json_string("red"));
  json_object_set_new(spec, "kusy", json_integer(4));
  return json_pack("{s:s, s:i, s:s, s:o}", "s", "active", "at", 5, "home", "n1", "spec", spec);
}

static GArray *
random_history(GRand *rand)
{
  GArray *changes = g_array_new(FALSE, TRUE, sizeof(KeyChange));
  g_array_set_clear_func(changes, key_change_clear);
  KeyChange job = { g_strdup("w/job/req-1"), job_record(), 1 };
  g_array_append_val(changes, job);
  for (guint64 version = 2; version < 30; version++) {
    gboolean removed = g_rand_int_range(rand, 0, 4) == 0;
    KeyChange change = { 0 };
    change.version = version;
    if (g_rand_boolean(rand)) {
      change.key = g_strdup("w/task/req-1/0");
      change.value = removed ? NULL : random_chunk_record(rand);
    } else {
      change.key = g_strdup_printf("w/mark/m-%d", g_rand_int_range(rand, 0, 3));
      change.value = removed ? NULL : ws_mark_encode("idle", FALSE);
    }
    g_array_append_val(changes, change);
  }
  return changes;
}

static void
assert_machine_sums_match_assignments(const WsReplica *replica)
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

/* Guards against a replica that diverges when a node applies its own writes early and the watch
   delivers older versions, and the same ones again, later. The final state must equal that of a
   replica that gets changes only from the watch, and the sums per machine must match the
   assignments after each step. */
static void
check_early_own_writes(GRand *rand)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  g_autoptr(GArray) changes = random_history(rand);
  WsReplica *watch_only = ws_replica_new(settings), *with_early_writes = ws_replica_new(settings);
  for (guint i = 0; i < changes->len; i++) {
    const KeyChange *change = &g_array_index(changes, KeyChange, i);
    ws_replica_apply(watch_only, change->key, change->value, change->version);
    ws_replica_advance(watch_only, change->version);
    guint ahead = i + (guint)g_rand_int_range(rand, 0, 4);
    ahead = MIN(ahead, changes->len - 1);
    const KeyChange *own = &g_array_index(changes, KeyChange, ahead);
    if (i > 0)
      ws_replica_apply(with_early_writes, own->key, own->value, own->version);
    ws_replica_apply(with_early_writes, change->key, change->value, change->version);
    ws_replica_advance(with_early_writes, change->version);
    assert_machine_sums_match_assignments(with_early_writes);
  }
  for (guint m = 0; m < 3; m++) {
    g_autofree char *name = g_strdup_printf("m-%u", m);
    WsMachine *expected = ws_replica_ensure_machine(watch_only, name),
              *actual = ws_replica_ensure_machine(with_early_writes, name);
    g_assert_cmpint(expected->is_marked, ==, actual->is_marked);
    g_assert_cmpint(expected->used.cpus, ==, actual->used.cpus);
  }
  g_assert_cmpuint(ws_replica_version(watch_only, "w/task/req-1/0"), ==,
                   ws_replica_version(with_early_writes, "w/task/req-1/0"));
  ws_replica_free(watch_only);
  ws_replica_free(with_early_writes);
}

static void
test_early_own_writes_and_watch_give_same_state(void)
{
  ws_check_cases(200, 1, check_early_own_writes);
}

/* A full read at revision 7 removes keys that it did not find, unless they are newer. */
static void
test_full_read_removes_missing_older_keys(void)
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
  g_assert_true(ws_replica_find_machine(replica, "m-3")->is_marked); /* newer than the read */
  g_assert_cmpuint(ws_replica_version(replica, "w/mark/m-1"), ==, 0);
  ws_replica_free(replica);
}

static guint logged_warnings;

static GLogWriterOutput
count_warnings(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data)
{
  (void)fields;
  (void)count;
  (void)data;
  logged_warnings += (level & G_LOG_LEVEL_WARNING) != 0 ? 1 : 0;
  return G_LOG_WRITER_HANDLED;
}

static void
test_damaged_chunk_is_logged_and_ignored(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  g_autoptr(json_t) job = job_record();
  g_autoptr(json_t) damaged = json_pack("{s:i, s:[[i]], s:s}", "a", 1, "on", 1, "d", "00");
  WsReplica *replica = ws_replica_new(settings);
  ws_replica_apply(replica, "w/job/req-1", job, 1);
  logged_warnings = 0;
  ws_replica_apply(replica, "w/task/req-1/0", damaged, 2);
  g_assert_cmpuint(logged_warnings, ==, 1);
  g_assert_cmpuint(ws_replica_find_job(replica, "req-1")->assigned_count, ==, 0);
  ws_replica_free(replica);
}

/* Guards against a version that is recorded without its value: the version of a chunk that was read
   before its job's record must be applied when it arrives again. */
static void
test_chunk_read_before_its_job_is_applied_later(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  g_autoptr(json_t) job = job_record();
  g_autoptr(json_t) chunk = json_pack("{s:i, s:[[i, s, i]], s:s}", "a", 3, "on", 0, "m-1", 3, "d",
                                      "00000000000000000000000000000000");
  WsReplica *replica = ws_replica_new(settings);
  g_assert_false(ws_replica_apply(replica, "w/task/req-1/0", chunk, 8));
  g_assert_cmpuint(ws_replica_version(replica, "w/task/req-1/0"), ==, 0);
  g_assert_true(ws_replica_apply(replica, "w/job/req-1", job, 7));
  g_assert_true(ws_replica_apply(replica, "w/task/req-1/0", chunk, 8));
  g_assert_cmpuint(ws_replica_version(replica, "w/task/req-1/0"), ==, 8);
  g_assert_cmpuint(ws_replica_find_job(replica, "req-1")->assigned_count, ==, 1);
  g_assert_false(ws_replica_apply(replica, "w/task/req-1/0", chunk, 8));
  ws_replica_free(replica);
}

/* Guards against a removed record that comes back: a node's own write, whose confirmation arrives
   after the watch has delivered the write and a later removal. */
static void
test_late_confirmation_does_not_restore_removed_key(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  g_autoptr(json_t) mark = ws_mark_encode("idle", FALSE);
  WsReplica *replica = ws_replica_new(settings);
  ws_replica_apply(replica, "w/mark/m-1", mark, 4);
  ws_replica_apply(replica, "w/mark/m-1", NULL, 5);
  ws_replica_advance(replica, 5);
  g_assert_false(ws_replica_apply(replica, "w/mark/m-1", mark, 4));
  g_assert_false(ws_replica_find_machine(replica, "m-1")->is_marked);
  g_assert_cmpuint(ws_replica_version(replica, "w/mark/m-1"), ==, 0);
  g_assert_true(ws_replica_apply(replica, "w/mark/m-1", mark, 6));
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

/* For any number of teams, the resource use is read back as it was written, and each record stays
   below 3/4 of the store's largest value. The record of a single team, from versions before 0.2, is
   used only until the record of the team's group has been read. */
static void
test_team_use_is_read_as_written(void)
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
  { "/storage/early", test_early_own_writes_and_watch_give_same_state },
  { "/storage/forget", test_full_read_removes_missing_older_keys },
  { "/storage/damaged", test_damaged_chunk_is_logged_and_ignored },
  { "/storage/chunk-before-job", test_chunk_read_before_its_job_is_applied_later },
  { "/storage/late-confirmation", test_late_confirmation_does_not_restore_removed_key },
  { "/storage/team-use", test_team_use_is_read_as_written },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  g_log_set_writer_func(count_warnings, NULL, NULL);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

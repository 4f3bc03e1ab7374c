/**
 * Upgrades: this version and the production version use the same records and messages. Also
 * tests lowered limits of the store. The records in this file were written by the encoders of the
 * production version, commit ee59907.
 */
#include "commit/ws-release-order.h"
#include "sim/fixture.h"
#include "sim/fault-injection.h"
#include "storage/ws-team-use.h"
#include "ws-test-settings.h"
#include "ws-suite.h"

#include <string.h>

#define LOWERED_TXN_OPERATIONS 5
#define LOWERED_RECORD_BYTES 1900

static const struct {
  const char *key;
  const char *value;
} RECORDS[] = {
  { "w/catalog", "{\"typy\":[{\"sku\":\"g4\",\"cpus\":32.0,\"accelerators\":4.0,\"mem_gb\":64.0,"
                 "\"local_gb\":100.0,\"pull_gb_per_s\":1.0,\"price\":8.0,\"low_price\":3.0,"
                 "\"boot_s\":8.0,\"haly\":[\"a\",\"b\",\"c\"]}]}" },
  { "w/epoch", "{\"number\":1,\"leader\":\"n0\",\"members\":[{\"node\":\"n0\",\"incarnation\":"
               "1000001},{\"node\":\"n1\",\"incarnation\":1000002},{\"node\":\"n2\","
               "\"incarnation\":1000003}]}" },
  { "w/job/req-000000", "{\"s\":\"done\",\"n\":1}" },
  { "w/job/req-000001",
    "{\"s\":\"active\",\"at\":1004055,\"home\":\"\",\"spec\":{\"id\":\"req-000001\",\"trida\":"
    "\"batch\",\"dilna\":\"red\",\"druh\":\"sweep\",\"prednost\":\"standard\",\"kusy\":5,\"cpus\":"
    "8.0,\"accelerators\":1.0,\"mem_gb\":16.0,\"obraz\":\"img-1\",\"pull_gb\":2.0,\"typy\":null,"
    "\"hala\":null,\"one_zone\":false,\"scatter\":false,\"vypujcky\":true,\"odhad_s\":30.0,"
    "\"zaloha_s\":0.0,\"ulozeni_s\":0.0,\"termin_s\":null}}" },
  { "w/job/req-000003", "{\"s\":\"cancelled\",\"n\":2}" },
  { "w/leader", "{\"incarnation\":1000001,\"node\":\"n0\"}" },
  { "w/lot/r-1-1",
    "{\"type\":\"g4\",\"zone\":\"a\",\"spot\":true,\"at\":1004304,\"names\":[\"m-000000\"]}" },
  { "w/lot/r-1-2",
    "{\"type\":\"g4\",\"zone\":\"b\",\"spot\":false,\"at\":1004558,\"names\":[\"m-000001\"]}" },
  { "w/mark/m-000000", "{\"why\":\"notice\",\"now\":false}" },
  { "w/member/n0", "{\"incarnation\":1000001}" },
  { "w/member/n1", "{\"incarnation\":1000002}" },
  { "w/rent/r-1-4", "{\"type\":\"g4\",\"zone\":\"a\",\"spot\":true,\"count\":1}" },
  { "w/task/req-000001/0",
    "{\"a\":5,\"on\":[[0,\"m-000001\",1,1011506],[1,\"m-000000\",2,1016404],[2,\"m-000000\",3,"
    "1016404],[3,\"m-000000\",4,1016404],[4,\"m-000000\",5,1016404]],\"d\":"
    "\"00000000000000000000000000000000\"}" },
  { "w/team-use/0", "{\"red\":{\"c\":40000,\"g\":5000},\"blue\":{\"c\":0,\"g\":0}}" },
};

static WsReplica *
replica_with_stored_records(const WsSettings *settings)
{
  WsReplica *replica = ws_replica_new(settings);
  for (guint i = 0; i < G_N_ELEMENTS(RECORDS); i++) {
    g_autoptr(json_t) value = ws_json_parse(RECORDS[i].value, strlen(RECORDS[i].value));
    g_assert_nonnull(value);
    ws_replica_apply(replica, RECORDS[i].key, value, 10 + i);
  }
  return replica;
}

static const char *
stored_record(const char *key)
{
  for (guint i = 0; i < G_N_ELEMENTS(RECORDS); i++)
    if (strcmp(RECORDS[i].key, key) == 0)
      return RECORDS[i].value;
  g_assert_not_reached();
}

/* This version reads every record that the production version has stored. */
static void
test_reads_stored_records(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(1);
  WsReplica *replica = replica_with_stored_records(settings);
  const WsJob *job = ws_replica_find_job(replica, "req-000001");
  const WsMachine *machine = ws_replica_find_machine(replica, "m-000000");
  g_assert_cmpint(ws_replica_find_job(replica, "req-000000")->state, ==, WS_JOB_DONE);
  g_assert_cmpint(ws_replica_find_job(replica, "req-000003")->state, ==, WS_JOB_CANCELLED);
  g_assert_cmpuint(job->assigned_count, ==, 5);
  g_assert_cmpuint(ws_job_assignment(job, 4)->attempt, ==, 5);
  g_assert_cmpint(ws_job_assignment(job, 4)->assigned_ms, ==, 1016404);
  g_assert_cmpuint(machine->tasks->len, ==, 4);
  g_assert_true(machine->is_recorded && machine->is_marked && !machine->mark_is_immediate);
  g_assert_cmpint(replica->team_use[0].gpus, ==, 5000);
  g_assert_cmpuint(replica->rental_intents->len, ==, 1);
  g_assert_cmpuint(replica->members->len, ==, 2);
  g_assert_cmpuint(replica->leader_node, ==, 0);
  g_assert_cmpuint(replica->epoch.members->len, ==, 3);
  ws_replica_free(replica);
}

static void
assert_encoded_as(json_t *value /* takes ownership */, const char *key)
{
  g_autofree char *text = ws_json_serialize(value);
  g_assert_cmpstr(text, ==, stored_record(key));
  json_decref(value);
}

/* A member record has a field more, which the production version ignores as any unknown field. */
static void
assert_member_encoded_with_additions(const WsMember *member)
{
  json_t *value = ws_member_encode(member->incarnation);
  g_assert_true(json_is_true(json_object_get(value, "token_ranges")));
  json_object_del(value, "token_ranges");
  assert_encoded_as(value, "w/member/n1");
}

/* During an upgrade the production version may read what this version writes. So this version
   encodes each record byte for byte as the production version does. */
static void
test_encodes_records_byte_for_byte(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(1);
  WsReplica *replica = replica_with_stored_records(settings);
  const WsJob *job = ws_replica_find_job(replica, "req-000001");
  assert_encoded_as(ws_job_encode(job, WS_JOB_ACTIVE, ""), "w/job/req-000001");
  assert_encoded_as(ws_job_encode_final(ws_replica_find_job(replica, "req-000000"), WS_JOB_DONE),
                    "w/job/req-000000");
  assert_encoded_as(ws_chunk_encode(ws_job_chunk(job, 0), replica), "w/task/req-000001/0");
  assert_encoded_as(ws_team_use_encode(settings, 0, replica->team_use), "w/team-use/0");
  assert_encoded_as(ws_epoch_encode(&replica->epoch, settings), "w/epoch");
  assert_encoded_as(ws_rental_batch_encode(g_ptr_array_index(replica->rental_batches, 0), replica),
                    "w/lot/r-1-1");
  assert_encoded_as(ws_rental_intent_encode(g_ptr_array_index(replica->rental_intents, 0)),
                    "w/rent/r-1-4");
  assert_encoded_as(ws_mark_encode("notice", FALSE), "w/mark/m-000000");
  assert_encoded_as(ws_leader_encode(replica->leader_incarnation, "n0"), "w/leader");
  const WsMember *member = &g_array_index(replica->members, WsMember, 1);
  assert_member_encoded_with_additions(member);
  ws_replica_free(replica);
}

/* A team's use is stored in the same record whether or not lower limits are announced, so that both
   versions update the same record. */
static void
test_team_use_record_is_independent_of_limits(void)
{
  g_autoptr(json_t) message = ws_test_settings_message(0);
  json_t *state = json_object_get(json_object_get(message, "params"), "state");
  json_object_set_new(state, "next", json_pack("{s:f, s:i}", "value_kb", 1.0, "txn_ops", 4));
  g_autoptr(GError) error = NULL;
  g_autoptr(WsSettings) announced_settings = ws_settings_parse(message, &error);
  g_autoptr(WsSettings) current_settings = ws_test_settings(0);
  g_assert_nonnull(announced_settings);
  g_assert_cmpuint(ws_team_use_group_count(announced_settings), ==,
                   ws_team_use_group_count(current_settings));
  for (guint team = 0; team < announced_settings->teams->len; team++)
    g_assert_cmpuint(ws_team_use_group(announced_settings, team), ==,
                     ws_team_use_group(current_settings, team));
}

/* This version accepts the peer messages of the production version and acts on them. */
static void
test_accepts_peer_messages(void)
{
  static const struct {
    const char *path;
    const char *body;
  } MESSAGES[] = {
    { "/gossip", "{\"node\":\"n1\",\"epoch\":1,\"store\":true,\"reaches\":7,\"wants_epoch\":false,"
                 "\"unheard\":false,\"base\":1,\"rev\":2,\"ack\":2,\"incarnation\":1000002,"
                 "\"loaded\":true,\"untold\":0,\"machines\":[{\"name\":\"m-000000\",\"up\":true,"
                 "\"endpoint\":\"w-m-000000:1\",\"notice\":false,\"images\":[\"img-1\"]}]}" },
    { "/ask", "{\"releases\":[[\"req-1\",0,1,true]],\"epoch\":1}" },
    { "/ask", "{\"marks\":[[\"m-1\",\"notice\",false]],\"epoch\":1}" },
    { "/cancelled", "{\"node\":\"n2\",\"jobs\":[[\"req-000003\",7]]}" },
  };
  Fixture *fixture = fixture_new_with_job(TRUE);
  for (guint i = 0; i < G_N_ELEMENTS(MESSAGES); i++) {
    json_t *body = ws_json_parse(MESSAGES[i].body, strlen(MESSAGES[i].body));
    if (json_object_get(body, "epoch") != NULL) /* the production version sends the one in force */
      json_object_set_new(body, "epoch", json_integer((json_int_t)EPOCH_NUMBER(1)));
    fixture_send_peer_message(fixture, MESSAGES[i].path, body);
    g_assert_cmpuint(fixture->status, ==, 200);
  }
  fixture_run(fixture, 1.0);
  g_assert_true(sim_store_has(fixture->store, "w/mark/m-1"));
  fixture_send_request(fixture, "GET", "/api/jobs/req-1", NULL);
  g_assert_cmpstr(json_string_value(json_object_get(fixture->answer, "stav")), ==, "done");
  fixture_free(fixture);
}

/* The gossip of this version has every field of the production version's gossip, with the same
   type, and one more field, which the production version ignores. */
static void
test_gossip_is_compatible(void)
{
  static const char PRODUCTION[]
      = "{\"node\":\"n1\",\"epoch\":1,\"store\":true,\"reaches\":7,\"wants_epoch\":false,"
        "\"unheard\":false,\"base\":1,\"rev\":2,\"ack\":2,\"incarnation\":1000002,\"loaded\":true,"
        "\"untold\":0,\"machines\":[]}";
  Fixture *fixture = fixture_new_with_job(TRUE);
  g_autoptr(json_t) production = ws_json_parse(PRODUCTION, strlen(PRODUCTION));
  fixture_send_peer_message(fixture, "/gossip", json_incref(production));
  const char *name;
  json_t *value;
  json_object_foreach(production, name, value)
  {
    const json_t *current_value = json_object_get(fixture->answer, name);
    g_assert_nonnull(current_value);
    g_assert_true(json_is_boolean(value) ? json_is_boolean(current_value)
                                         : json_typeof(current_value) == json_typeof(value));
  }
  g_assert_cmpuint(json_object_size(fixture->answer), ==, json_object_size(production) + 1);
  fixture_free(fixture);
}

/* Lowered limits of the store. */

static WsChunk *
generate_chunk(GRand *rand, WsReplica *replica, guint tasks)
{
  WsChunk *chunk = ws_chunk_copy(NULL);
  for (guint task = 0; task < tasks; task++) {
    g_autofree char *name = g_strdup_printf("m-%06d", g_rand_int_range(rand, 0, 1000000));
    WsAssignment assignment
        = { .task = task, .attempt = ++chunk->last_attempt, .assigned_ms = 1234567890123 };
    assignment.machine = ws_replica_ensure_machine(replica, name)->index;
    ws_chunk_add(chunk, &assignment);
  }
  return chunk;
}

/* A chunk that ws_chunk_fits_record() accepts fits the record limit, and one that it rejects has at
   least the limit's length. Free slots are reported only for a chunk that fits, and no more than a
   record has space for. */
static void
test_chunks_fit_record_limit(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  settings->kv_max_record_bytes = LOWERED_RECORD_BYTES;
  for (guint32 seed = 1; seed <= 128; seed++) {
    g_test_message("seed %u", seed);
    g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
    WsReplica *replica = ws_replica_new(settings);
    WsChunk *chunk = generate_chunk(rand, replica, seed);
    g_autoptr(json_t) value = ws_chunk_encode(chunk, replica);
    g_autofree char *text = ws_json_serialize(value);
    gboolean fits = ws_chunk_fits_record(chunk, replica);
    g_assert_true(!fits || strlen(text) <= LOWERED_RECORD_BYTES);
    g_assert_true(fits
                  || strlen(text) + 1 > LOWERED_RECORD_BYTES); /* one comma too many is counted */
    g_assert_true(ws_chunk_free_slots(chunk, replica) == 0 || ws_chunk_fits_record(chunk, replica));
    g_assert_cmpuint(ws_chunk_free_slots(chunk, replica), <=, LOWERED_RECORD_BYTES / 20);
    ws_chunk_free(chunk);
    ws_replica_free(replica);
  }
}

/* Long machine names limit how many machines a rental batch record contains: the record stays
   within the limit. */
static void
test_rental_batches_fit_record_limit(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  settings->kv_max_record_bytes = LOWERED_RECORD_BYTES;
  WsReplica *replica = ws_replica_new(settings);
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(guint));
  WsRentalBatch rental_batch = {
    .type = (char *)"g4", .zone = (char *)"a", .rented_ms = 1234567890123, .machines = machines
  };
  for (guint i = 0;; i++) {
    g_autofree char *name = g_strdup_printf("machine-with-a-long-name-%060u", i);
    if (!ws_rental_batch_has_space(&rental_batch, replica, name))
      break;
    guint index = ws_replica_ensure_machine(replica, name)->index;
    g_array_append_val(machines, index);
  }
  g_autoptr(json_t) value = ws_rental_batch_encode(&rental_batch, replica);
  g_autofree char *text = ws_json_serialize(value);
  g_assert_cmpuint(strlen(text), <=, LOWERED_RECORD_BYTES);
  g_assert_cmpuint(machines->len, >, 15);
  g_assert_cmpuint(ws_rental_batch_max_machines(settings), ==, 50);
  ws_replica_free(replica);
}

/* Announced lower limits take effect at a random time during faults. The store rejects no
   transaction for its size, and all jobs complete: sim_expect_recovery() checks both. */
static void
test_announced_limits_take_effect_at_runtime(void)
{
  for (guint32 seed = 900; seed < 900 + sim_seed_count(12); seed++) {
    g_test_message("seed %u", seed);
    Sim *sim = sim_new(seed);
    sim_announce_limits(sim, LOWERED_TXN_OPERATIONS, LOWERED_RECORD_BYTES);
    sim_run(sim, 3.0);
    sim_add_load(sim, 1);
    sim_run(sim, g_rand_double_range(sim_rand(sim), 0.0, 20.0));
    sim_lower_limits(sim, LOWERED_TXN_OPERATIONS, LOWERED_RECORD_BYTES);
    sim_add_load(sim, 1);
    sim_inject_random_faults(sim);
    sim_expect_recovery(sim);
    sim_free(sim);
  }
}

static void
add_pending_release(GHashTable *pending, const WsChunk *chunk, guint task)
{
  WsPendingRelease *pending_release = g_new0(WsPendingRelease, 1);
  pending_release->release
      = (WsRelease){ .task = task, .attempt = ws_chunk_find(chunk, task)->attempt };
  g_hash_table_insert(pending, GUINT_TO_POINTER(task + 1), pending_release);
}

/* A chunk record that the production version wrote exceeds the lower limit. Its releases are held
   back until the assignments that remain fit the limit, and are then written together. */
static void
test_oversized_records_are_reduced_at_once(void)
{
  g_autoptr(GRand) rand = g_rand_new_with_seed(920);
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  settings->kv_max_record_bytes = LOWERED_RECORD_BYTES;
  WsReplica *replica = replica_with_stored_records(settings);
  g_autoptr(json_t) value
      = ws_json_parse(stored_record("w/job/req-000001"), strlen(stored_record("w/job/req-000001")));
  json_object_set_new(json_object_get(value, "spec"), "kusy", json_integer(WS_CHUNK_TASKS));
  ws_replica_apply(replica, "w/job/req-7", value, 100);
  WsJob *job = ws_replica_find_job(replica, "req-7");
  WsChunk *chunk = generate_chunk(rand, replica, WS_CHUNK_TASKS);
  ws_replica_replace_chunk(replica, job, 0, chunk);
  g_assert_false(ws_chunk_fits_record(chunk, replica));
  WsCore core = { .settings = settings, .replica = replica };
  g_autoptr(GHashTable) pending = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  guint last_task = 0;
  for (; last_task < WS_CHUNK_TASKS; last_task++) {
    add_pending_release(pending, chunk, last_task);
    ((WsPendingRelease *)g_hash_table_lookup(pending, GUINT_TO_POINTER(last_task + 1)))->release.job
        = job->index;
    g_autoptr(GArray) releases = ws_releases_sort(&core, pending);
    g_assert_true(releases->len == 0 || releases->len == last_task + 1);
    if (releases->len > 0)
      break;
  }
  g_assert_cmpuint(last_task, >, 10);
  g_assert_cmpuint(last_task, <, 64);
  ws_replica_free(replica);
}

/* A repeated submission of a job that the production version has accepted isn't rejected, even if
   this version would reject the job as a new one. */
static void
test_job_accepted_by_old_version_is_never_rejected(void)
{
  Fixture *fixture = fixture_new_with_machine(TRUE);
  fixture->settings->kv_max_record_bytes = 300;
  fixture_send_request(fixture, "POST", "/api/jobs", fixture_submission());
  g_assert_cmpuint(fixture->status, ==, 422);
  fixture->hold_watch = TRUE; /* the record written below doesn't reach the replica */
  fixture_run(fixture, 10.0);
  g_autoptr(json_t) submission = fixture_submission();
  fixture_write_key(
      fixture, "w/job/req-1",
      json_pack("{s:s, s:i, s:s, s:O}", "s", "active", "at", 1, "home", "", "spec", submission));
  fixture_request(fixture, WS_LISTENER_API, "POST", "/api/jobs", json_incref(submission));
  fixture_release_watch(fixture);
  fixture_run(fixture, 1.5);
  g_assert_cmpuint(fixture->status, !=, 422);
  fixture_free(fixture);
}

/* When lower limits take effect without announcement, only transactions that the store rejects for
   their size are delayed. */
static void
test_unannounced_limits_delay_only_oversized_transactions(void)
{
  Sim *sim = sim_new_with_load(930);
  sim_lower_limits(sim, 2, LOWERED_RECORD_BYTES); /* two operations: a job and its team's use */
  sim_add_load(sim, 1);
  sim_run_until_jobs_end(sim, 300);
  g_assert_cmpuint(sim_count_open_jobs(sim), ==, 0);
  g_assert_cmpuint(sim_count_rejected_for_size(sim), >, 0);
  g_assert_cmpuint(sim_count_rejected_for_size(sim), <, 200);
  sim_free(sim);
}

static const WsTest TESTS[] = {
  { "/upgrade/reads-stored-records", test_reads_stored_records },
  { "/upgrade/writes-records-byte-for-byte", test_encodes_records_byte_for_byte },
  { "/upgrade/team-record-is-independent-of-limits",
    test_team_use_record_is_independent_of_limits },
  { "/upgrade/accepts-peer-messages", test_accepts_peer_messages },
  { "/upgrade/gossip-is-compatible", test_gossip_is_compatible },
  { "/upgrade/chunks-fit-record-limit", test_chunks_fit_record_limit },
  { "/upgrade/rental-batches-fit-record-limit", test_rental_batches_fit_record_limit },
  { "/upgrade/limits-lowered-at-runtime", test_announced_limits_take_effect_at_runtime },
  { "/upgrade/oversized-records-are-reduced-at-once", test_oversized_records_are_reduced_at_once },
  { "/upgrade/accepted-job-is-never-rejected", test_job_accepted_by_old_version_is_never_rejected },
  { "/upgrade/unannounced-limits-delay-only-what-is-refused",
    test_unannounced_limits_delay_only_oversized_transactions },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

/**
 * The parsers and encoders of src/protocol, with generated, damaged and fixed messages.
 */
#include "protocol/ws-cloud.h"
#include "protocol/ws-heartbeat.h"
#include "protocol/ws-job-summary.h"
#include "protocol/ws-settings.h"
#include "ws-test-settings.h"
#include "ws-random-input.h"

#include <string.h>

static void
check_submission_round_trip(GRand *rand)
{
  g_autoptr(json_t) message = ws_gen_submission(rand);
  g_autoptr(GError) error = NULL;
  g_autoptr(WsJobSpec) first = ws_job_spec_parse(message, &error);
  g_assert_nonnull(first);
  g_autoptr(json_t) encoded = ws_job_spec_encode(first);
  g_autoptr(WsJobSpec) second = ws_job_spec_parse(encoded, &error);
  g_assert_nonnull(second);
  g_autoptr(json_t) again = ws_job_spec_encode(second);
  g_assert_true(json_equal(encoded, again));
  g_assert_cmpint(json_integer_value(json_object_get(encoded, "kusy")), ==, first->tasks);
  g_assert_cmpfloat_with_epsilon(json_number_value(json_object_get(message, "cpus")),
                                 (double)first->need.cpus / 1000.0, 1e-6);
}

/* A submission without a required member, or with an invalid value for it, is rejected with an
   error that names the member. */
static void
check_damaged_submission_is_rejected(GRand *rand)
{
  static const char *const REQUIRED[]
      = { "id",       "trida",   "dilna",    "druh",      "prednost",    "kusy",
          "cpus",     "mem_gb",  "obraz",    "pull_gb",   "one_zone",    "scatter",
          "vypujcky", "odhad_s", "zaloha_s", "ulozeni_s", "accelerators" };
  g_autoptr(json_t) message = ws_gen_submission(rand);
  const char *name = REQUIRED[g_rand_int_range(rand, 0, G_N_ELEMENTS(REQUIRED))];
  switch (g_rand_int_range(rand, 0, 4)) {
  case 0:
    json_object_del(message, name);
    break;
  case 1:
    json_object_set_new(message, name, json_null());
    break;
  case 2:
    json_object_set_new(message, name, json_integer(-1));
    break;
  default:
    json_object_set_new(message, name, json_array());
  }
  g_autoptr(GError) error = NULL;
  g_assert_null(ws_job_spec_parse(message, &error));
  g_assert_error(error, WS_ERROR, WS_ERROR_INVALID_FIELD);
  g_assert_nonnull(strstr(error->message, name));
}

static void
test_submissions_round_trip_and_damaged_ones_are_rejected(void)
{
  ws_check_cases(300, 1, check_submission_round_trip);
  ws_check_cases(300, 1000, check_damaged_submission_is_rejected);
}

static void
test_submission_edge_cases_are_accepted_or_rejected(void)
{
  g_autoptr(GRand) rand = g_rand_new_with_seed(5);
  g_autoptr(json_t) message = ws_gen_submission(rand);
  g_autoptr(GError) error = NULL;
  /* Nullable members may be missing, and unknown members are ignored. */
  json_object_del(message, "typy");
  json_object_del(message, "hala");
  json_object_del(message, "termin_s");
  json_object_set_new(message, "novinka", json_true());
  g_autoptr(WsJobSpec) submission = ws_job_spec_parse(message, &error);
  g_assert_nonnull(submission);
  g_assert_cmpfloat(submission->deadline_s, <, 0.0);
  json_object_set_new(message, "kusy", json_integer(100001));
  g_assert_null(ws_job_spec_parse(message, &error));
  g_autoptr(GError) list_error = NULL;
  g_autoptr(json_t) list = json_array();
  g_assert_null(ws_job_spec_parse(list, &list_error));
  g_assert_error(list_error, WS_ERROR, WS_ERROR_MALFORMED);
  static const char *const INVALID_IDS[]
      = { "", "req-", "job-1", "req-a/b", "req-a b", "req-../x" };
  for (guint i = 0; i < G_N_ELEMENTS(INVALID_IDS); i++)
    g_assert_false(ws_job_id_is_valid(INVALID_IDS[i]));
  g_assert_true(ws_job_id_is_valid("req-000412"));
}

/* Amounts are integers in thousandths, so sums are exact: three times 0.1 fit into 0.3. */
static void
test_resource_sums_are_exact(void)
{
  WsResources sum = { 0 }, tenth = { 100, 100, 100 }, limit = { 300, 300, 300 };
  ws_resources_add(&sum, &tenth, 3);
  g_assert_true(ws_resources_fit(&sum, &limit));
  ws_resources_add(&sum, &tenth, 1);
  g_assert_false(ws_resources_fit(&sum, &limit));
}

static const char HEARTBEAT[]
    = "{\"stroj\":\"m-000231\",\"endpoint\":\"10.1.0.232:9000\",\"typ\":\"g8\",\"hala\":\"a\","
      "\"vypujcky\":true,\"smena\":1,\"poradi\":88,\"pecet\":41,\"vypoved_s\":null,"
      "\"kusy\":[{\"kus\":\"req-000412/3\",\"pokus\":2,\"stav\":\"running\"},"
      "{\"kus\":\"req-000398/0\",\"pokus\":1,\"stav\":\"exited\",\"duvod\":\"done\"}]}";

static void
test_heartbeat_is_parsed(void)
{
  g_autoptr(json_t) message = ws_json_parse(HEARTBEAT, strlen(HEARTBEAT));
  g_autoptr(GError) error = NULL;
  g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse(message, &error);
  g_assert_nonnull(heartbeat);
  g_assert_cmpuint(heartbeat->fencing_token, ==, 41);
  g_assert_cmpuint(heartbeat->tasks->len, ==, 2);
  const WsTaskStatus *first = &g_array_index(heartbeat->tasks, WsTaskStatus, 0);
  g_assert_cmpstr(first->job, ==, "req-000412");
  g_assert_cmpuint(first->task, ==, 3);
  g_assert_cmpint(first->state, ==, WS_TASK_RUNNING);
  g_assert_cmpint(g_array_index(heartbeat->tasks, WsTaskStatus, 1).exit_reason, ==, WS_EXIT_DONE);
}

/* A response with status 200 from the expected machine is accepted as the worker's status. A
   rejection (409) is accepted only as the response to commands. */
static void
test_worker_response_is_accepted_only_with_status_of_machine(void)
{
  static const struct {
    guint status;
    const char *machine;
    gboolean is_status_response;
    gboolean is_command_response;
  } CASES[] = { { 200, "m-000231", TRUE, TRUE },   { 409, "m-000231", FALSE, TRUE },
                { 0, "m-000231", FALSE, FALSE },   { 503, "m-000231", FALSE, FALSE },
                { 200, "m-000232", FALSE, FALSE }, { 409, "m-000232", FALSE, FALSE } };
  g_autoptr(json_t) body = ws_json_parse(HEARTBEAT, strlen(HEARTBEAT));
  for (guint i = 0; i < G_N_ELEMENTS(CASES); i++) {
    g_autoptr(WsHeartbeat) status
        = ws_heartbeat_parse_status_response(CASES[i].status, body, CASES[i].machine);
    g_autoptr(WsHeartbeat) command
        = ws_heartbeat_parse_command_response(CASES[i].status, body, CASES[i].machine);
    g_assert_true((status != NULL) == CASES[i].is_status_response);
    g_assert_true((command != NULL) == CASES[i].is_command_response);
  }
  g_assert_null(ws_heartbeat_parse_status_response(200, NULL, "m-000231"));
}

static void
test_job_summary_is_encoded_for_each_state(void)
{
  static const struct {
    WsReportedJobState state;
    gboolean with_tasks;
    const char *text;
  } CASES[] = { { WS_REPORTED_STATE_QUEUED, FALSE, "{\"id\":\"j\",\"stav\":\"queued\"}" },
                { WS_REPORTED_STATE_RUNNING, TRUE,
                  "{\"id\":\"j\",\"stav\":\"running\",\"done\":3,\"running\":2}" },
                { WS_REPORTED_STATE_DONE, FALSE, "{\"id\":\"j\",\"stav\":\"done\"}" },
                { WS_REPORTED_STATE_CANCELLED, FALSE, "{\"id\":\"j\",\"stav\":\"cancelled\"}" } };
  for (guint i = 0; i < G_N_ELEMENTS(CASES); i++) {
    WsJobSummary summary = { "j", CASES[i].state, 3, 2 };
    g_autoptr(json_t) message = ws_job_summary_encode(&summary, CASES[i].with_tasks);
    g_autofree char *text = ws_json_serialize(message);
    g_assert_cmpstr(text, ==, CASES[i].text);
  }
}

static void
test_rental_response_is_mapped_to_result(void)
{
  static const struct {
    guint status;
    const char *body;
    WsRentalResult result;
  } CASES[] = { { 200, "{\"stroje\":[\"m-1\",\"m-2\"]}", WS_RENTAL_RENTED },
                { 200, "{\"stroje\":[1]}", WS_RENTAL_FAILED },
                { 200, "{}", WS_RENTAL_FAILED },
                { 400, "{}", WS_RENTAL_REJECTED },
                { 503, "{\"error\":\"no capacity\"}", WS_RENTAL_NO_CAPACITY },
                { 503, "{\"error\":\"down\"}", WS_RENTAL_FAILED },
                { 503, "", WS_RENTAL_FAILED },
                { 500, "{\"error\":\"no capacity\"}", WS_RENTAL_FAILED },
                { 0, "", WS_RENTAL_FAILED } };
  for (guint i = 0; i < G_N_ELEMENTS(CASES); i++) {
    g_autoptr(json_t) body = ws_json_parse(CASES[i].body, strlen(CASES[i].body));
    g_autoptr(GPtrArray) names = NULL;
    g_assert_cmpint(ws_rental_response_parse(CASES[i].status, body, &names), ==, CASES[i].result);
    g_assert_true((names != NULL) == (CASES[i].result == WS_RENTAL_RENTED));
    if (names != NULL)
      g_assert_cmpuint(names->len, ==, 2);
  }
}

/* Random changes of bytes never crash the parser: it returns either a heartbeat or an error. */
static void
check_damaged_heartbeat(GRand *rand)
{
  char text[sizeof HEARTBEAT];
  memcpy(text, HEARTBEAT, sizeof HEARTBEAT);
  for (gint i = g_rand_int_range(rand, 1, 6); i > 0; i--)
    text[g_rand_int_range(rand, 0, sizeof HEARTBEAT - 1)] = (char)g_rand_int_range(rand, 32, 127);
  g_autoptr(json_t) message = ws_json_parse(text, strlen(text));
  g_autoptr(GError) error = NULL;
  g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse(message, &error);
  g_assert_true((heartbeat == NULL) == (error != NULL));
}

static void
test_damaged_heartbeats_are_parsed_or_rejected(void)
{
  ws_check_cases(2000, 1, check_damaged_heartbeat);
}

static void
test_halt_command_is_encoded(void)
{
  g_autoptr(json_t) command = ws_command_encode(WS_OP_HALT, "req-1", 7, 3, 2.5);
  g_autofree char *text = ws_json_serialize(command);
  g_assert_cmpstr(text, ==, "{\"ukon\":\"halt\",\"kus\":\"req-1/7\",\"pokus\":3,\"lhuta_s\":2.5}");
}

static void
test_catalog_is_parsed_and_malformed_lists_are_rejected(void)
{
  static const char CATALOG[]
      = "{\"typy\":[{\"sku\":\"g8\",\"cpus\":96,\"accelerators\":8,\"mem_gb\":768,"
        "\"local_gb\":200,\"pull_gb_per_s\":1.0,\"price\":12.0,\"low_price\":4.5,\"boot_s\":45,"
        "\"haly\":[\"a\",\"b\"]}]}";
  g_autoptr(json_t) message = ws_json_parse(CATALOG, strlen(CATALOG));
  g_autoptr(GPtrArray) types = ws_catalog_parse(message);
  g_assert_cmpuint(types->len, ==, 1);
  g_assert_cmpint(((WsType *)g_ptr_array_index(types, 0))->capacity.gpus, ==, 8000);
  g_autoptr(json_t) damaged = json_pack("{s:[{s:s}]}", "typy", "sku", "g8");
  g_assert_null(ws_catalog_parse(damaged));
  gboolean more;
  g_assert_null(ws_machine_list_parse(damaged, &more));
  g_assert_null(ws_rental_machines_parse(damaged));
}

/* Announced limits (state.next) apply at once if they are lower than the current ones. Invalid
   ones, and invalid gang times, are rejected with an error that names the setting. */
static void
test_announced_limits_apply_and_invalid_settings_are_named(void)
{
  static const struct {
    const char *section;
    const char *json;
    const char *error_prefix; /* NULL if the settings are valid */
  } CASES[] = {
    { "state", "{\"next\":{\"value_kb\":2.0,\"txn_ops\":5,\"write_rps\":18.0}}", NULL },
    { "state", "{\"next\":{\"value_kb\":64.0,\"txn_ops\":500}}", NULL },
    { "state", "{\"next\":{}}", NULL },
    { "state", "{\"next\":null}", NULL },
    { "state", "{\"next\":7}", "params.state.next" },
    { "state", "{\"next\":{\"value_kb\":0.5}}", "params.state.next.value_kb" },
    { "state", "{\"next\":{\"txn_ops\":3}}", "params.state.next.txn_ops" },
    { "state", "{\"next\":{\"txn_ops\":\"5\"}}", "params.state.next.txn_ops" },
    { "state", "{\"next\":{\"write_rps\":0.0}}", "params.state.next.write_rps" },
    { "state", "{\"next\":{\"rps\":-1.0}}", "params.state.next.rps" },
    { "workers", "{\"gang_wait_s\":20.0,\"gang_peer_s\":3.0}", NULL },
    { "workers", "{\"gang_wait_s\":0.0}", "params.workers.gang_wait_s" },
    { "workers", "{\"gang_peer_s\":true}", "params.workers.gang_peer_s" },
  };
  for (guint i = 0; i < G_N_ELEMENTS(CASES); i++) {
    g_autoptr(json_t) message = ws_test_settings_message(0);
    g_autoptr(json_t) more = ws_json_parse(CASES[i].json, strlen(CASES[i].json));
    json_object_update(json_object_get(json_object_get(message, "params"), CASES[i].section), more);
    g_autoptr(GError) error = NULL;
    g_autoptr(WsSettings) settings = ws_settings_parse(message, &error);
    g_assert_true((settings == NULL) == (CASES[i].error_prefix != NULL));
    if (settings == NULL) {
      g_assert_error(error, WS_ERROR, WS_ERROR_INVALID_SETTING);
      g_assert_true(g_str_has_prefix(error->message, CASES[i].error_prefix));
    }
    if (i == 0) {
      g_assert_cmpuint(settings->kv_max_txn_ops, ==, 5);
      g_assert_cmpuint(settings->kv_max_record_bytes, <=, 2048);
      g_assert_cmpfloat(settings->kv_writes_per_s, ==, 18.0);
      g_assert_cmpfloat(settings->kv_current_value_kb, ==, 16.0);
    }
    if (i == 1)
      g_assert_cmpuint(settings->kv_max_txn_ops, ==, 16);
  }
}

/* The states and exit reasons of gang tasks are parsed. An unknown exit reason is read as an error
   of the task, and the heartbeat is still accepted. */
static void
test_gang_states_and_exit_reasons_are_parsed(void)
{
  static const struct {
    const char *state;
    const char *exit_reason_name;
    WsTaskState expected_state;
    WsExitReason expected_reason;
  } CASES[] = { { "gathering", NULL, WS_TASK_GATHERING, WS_EXIT_NONE },
                { "exited", "peers", WS_TASK_EXITED, WS_EXIT_GANG_PEER_LOST },
                { "exited", "incomplete", WS_TASK_EXITED, WS_EXIT_GANG_INCOMPLETE },
                { "exited", "surprise", WS_TASK_EXITED, WS_EXIT_ERROR } };
  for (guint i = 0; i < G_N_ELEMENTS(CASES); i++) {
    g_autoptr(json_t) message = ws_json_parse(HEARTBEAT, strlen(HEARTBEAT));
    json_t *task = json_array_get(json_object_get(message, "kusy"), 0);
    json_object_set_new(task, "stav", json_string(CASES[i].state));
    json_object_set_new(task, "duvod",
                        CASES[i].exit_reason_name != NULL ? json_string(CASES[i].exit_reason_name)
                                                          : json_null());
    json_object_set_new(task, "stored", json_boolean(i == 1));
    g_autoptr(GError) error = NULL;
    g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse(message, &error);
    g_assert_nonnull(heartbeat);
    const WsTaskStatus *first = &g_array_index(heartbeat->tasks, WsTaskStatus, 0);
    g_assert_cmpint(first->state, ==, CASES[i].expected_state);
    g_assert_cmpint(first->exit_reason, ==, CASES[i].expected_reason);
    g_assert_true(first->is_saved == (i == 1));
  }
}

int
main(int argc, char **argv)
{
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/protocol/submissions",
                  test_submissions_round_trip_and_damaged_ones_are_rejected);
  g_test_add_func("/protocol/submission-edges",
                  test_submission_edge_cases_are_accepted_or_rejected);
  g_test_add_func("/protocol/amounts", test_resource_sums_are_exact);
  g_test_add_func("/protocol/heartbeat", test_heartbeat_is_parsed);
  g_test_add_func("/protocol/worker-replies",
                  test_worker_response_is_accepted_only_with_status_of_machine);
  g_test_add_func("/protocol/job-summary", test_job_summary_is_encoded_for_each_state);
  g_test_add_func("/protocol/rental-replies", test_rental_response_is_mapped_to_result);
  g_test_add_func("/protocol/damaged-heartbeats", test_damaged_heartbeats_are_parsed_or_rejected);
  g_test_add_func("/protocol/commands", test_halt_command_is_encoded);
  g_test_add_func("/protocol/cloud", test_catalog_is_parsed_and_malformed_lists_are_rejected);
  g_test_add_func("/protocol/announced-limits",
                  test_announced_limits_apply_and_invalid_settings_are_named);
  g_test_add_func("/protocol/gang-states", test_gang_states_and_exit_reasons_are_parsed);
  return g_test_run();
}

/**
 * Tests of gangs with one controller and a scripted worker: admission, halts and placement.
 */
#include "gangs/gangs.h"
#include "protocol/ws-json.h"
#include "sim/fixture.h"

#include <string.h>

static json_t *
gang_submission(guint tasks)
{
  json_t *submission = fixture_submission();
  json_object_set_new(submission, "druh", json_string("group"));
  json_object_set_new(submission, "kusy", json_integer(tasks));
  json_object_set_new(submission, "zaloha_s", json_real(20.0));
  json_object_set_new(submission, "ulozeni_s", json_real(3.0));
  return submission;
}

void
test_invalid_gangs_are_rejected(void)
{
  static const struct {
    const char *field;
    gboolean value;
    guint tasks;
    guint status;
  } CASES[] = { { "one_zone", TRUE, 2, 201 },  { "one_zone", TRUE, 7, 422 },
                { "scatter", TRUE, 2, 201 },   { "druh", FALSE, 2, 400 },
                { "one_zone", FALSE, 6, 201 }, { "one_zone", FALSE, 200, 422 } };
  for (guint i = 0; i < G_N_ELEMENTS(CASES); i++) {
    Fixture *fixture = fixture_new_with_machine(TRUE);
    json_t *submission = gang_submission(CASES[i].tasks);
    json_object_set_new(submission, CASES[i].field, json_boolean(CASES[i].value));
    fixture_send_request(fixture, "POST", "/api/jobs", submission);
    g_assert_cmpuint(fixture->status, ==, CASES[i].status);
    fixture_free(fixture);
  }
  Fixture *fixture = fixture_new_with_machine(TRUE);
  json_t *contradictory = gang_submission(2);
  json_object_set_new(contradictory, "one_zone", json_true());
  json_object_set_new(contradictory, "scatter", json_true());
  fixture_send_request(fixture, "POST", "/api/jobs", contradictory);
  g_assert_cmpuint(fixture->status, ==, 422);
  fixture_free(fixture);
}

static json_t *
two_task_states(const char *first, const char *why, const char *second)
{
  return json_pack("[{s:s, s:i, s:s, s:s?}, {s:s, s:i, s:s}]", "kus", "req-1/0", "pokus", 1, "stav",
                   first, "duvod", why, "kus", "req-1/1", "pokus", 1, "stav", second);
}

/* Returns the grace period of the halt for the task (NULL: for any task) in the last answer, or a
   negative number if the answer has no such halt. */
static double
halt_grace_s(const Fixture *fixture, const char *task)
{
  size_t i;
  const json_t *command;
  json_array_foreach(json_object_get(fixture->answer, "prikazy"), i, command)
  {
    if (strcmp(json_string_value(json_object_get(command, "ukon")), "halt") == 0
        && (task == NULL || strcmp(json_string_value(json_object_get(command, "kus")), task) == 0))
      return json_number_value(json_object_get(command, "lhuta_s"));
  }
  return -1.0;
}

static Fixture *
fixture_with_gang(void)
{
  Fixture *fixture = fixture_new_with_machine(TRUE);
  fixture_send_request(fixture, "POST", "/api/jobs", gang_submission(2));
  g_assert_cmpuint(fixture->status, ==, 201);
  fixture_run(fixture, 1.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  return fixture;
}

/* When a task of a gang exits with an error, the progress of the other tasks is lost as well, so
   they are halted without a grace period for saving it. */
void
test_loss_halts_all_without_grace(void)
{
  Fixture *fixture = fixture_with_gang();
  fixture_send_heartbeat(fixture, 1, two_task_states("running", NULL, "running"));
  g_assert_cmpfloat(halt_grace_s(fixture, "req-1/1"), <, 0.0);
  fixture_send_heartbeat(fixture, 1, two_task_states("exited", "error", "running"));
  fixture_run(fixture, 0.5);
  fixture_send_heartbeat(fixture, 1, two_task_states("exited", "error", "running"));
  g_assert_cmpfloat(halt_grace_s(fixture, "req-1/1"), ==, 0.0);
  fixture_free(fixture);
}

/* The completion of one task completes the whole gang, in one record. A cancellation that arrives
   afterwards has no effect. */
void
test_one_completion_completes_all(void)
{
  Fixture *fixture = fixture_with_gang();
  fixture_send_heartbeat(fixture, 1, two_task_states("exited", "done", "running"));
  fixture_run(fixture, 0.5);
  fixture_send_request(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
  g_assert_cmpstr(json_string_value(json_object_get(fixture->answer, "stav")), ==, "done");
  const json_t *use = sim_store_get(fixture->store, "w/team-use/0");
  g_assert_cmpint(json_integer_value(json_object_get(json_object_get(use, "red"), "g")), ==, 0);
  fixture_free(fixture);
}

/* Tasks that exit because their gang wasn't complete in time, or because a task on another machine
   was lost, don't show a fault of their own machine: it isn't marked for termination. */
void
test_peer_exit_reasons_mark_no_machine(void)
{
  static const char *const EXIT_REASONS[] = { "peers", "incomplete" };
  for (guint k = 0; k < 2 * G_N_ELEMENTS(EXIT_REASONS); k++) {
    Fixture *fixture = fixture_with_gang();
    fixture_send_heartbeat(fixture, 1, two_task_states("exited", EXIT_REASONS[k % 2], "running"));
    fixture_run(fixture, 0.5);
    fixture_send_heartbeat(fixture, 1, json_array());
    fixture_run(fixture, 3.0);
    g_assert_false(sim_store_has(fixture->store, "w/mark/m-1"));
    g_assert_true(fixture_task_is_assigned(fixture));
    fixture_free(fixture);
  }
}

/* A gang that must be in one zone is placed in a zone with capacity for all its tasks, even if the
   best machine for its first task is in another zone. */
void
test_placed_in_zone_with_capacity(void)
{
  static const char *const MACHINES[] = { "m-2", "m-3" };
  Fixture *fixture = fixture_new_with_machine(TRUE);
  fixture->zone = "b";
  for (guint i = 0; i < 2 * G_N_ELEMENTS(MACHINES); i++)
    fixture_send_request(
        fixture, "POST", "/v1/report",
        fixture_heartbeat(fixture, MACHINES[i / 2], i % 2, ++fixture->sequence, json_array()));
  json_t *submission = gang_submission(GANG_TASKS);
  json_object_set_new(submission, "one_zone", json_true());
  fixture_send_request(fixture, "POST", "/api/jobs", submission);
  fixture_run(fixture, 1.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  g_autofree char *record = ws_json_serialize(sim_store_get(fixture->store, "w/task/req-1/0"));
  g_assert_null(strstr(record, "m-1"));
  fixture_free(fixture);
}

/* Sends a heartbeat of the machine that reports all tasks assigned to it as running.
   @has_interruption_notice: whether it also reports an interruption notice. */
static void
report_running(Fixture *fixture, const char *machine, gboolean has_interruption_notice)
{
  json_t *tasks = json_array();
  size_t i;
  const json_t *item;
  json_array_foreach(fixture_assignments(fixture, "req-1"), i, item)
  {
    g_autofree char *name = g_strdup_printf("req-1/%" JSON_INTEGER_FORMAT,
                                            json_integer_value(json_array_get(item, 0)));
    if (strcmp(json_string_value(json_array_get(item, 1)), machine) == 0)
      json_array_append_new(
          tasks, json_pack("{s:s, s:i, s:s}", "kus", name, "pokus", 1, "stav", "running"));
  }
  g_assert_cmpuint(json_array_size(tasks), >, 0);
  json_t *report = fixture_heartbeat(fixture, machine, 1, ++fixture->sequence, tasks);
  if (has_interruption_notice)
    json_object_set_new(report, "vypoved_s", json_real(20.0));
  fixture_send_request(fixture, "POST", "/v1/report", report);
}

static guint
count_machines_of(const Fixture *fixture, const char *job)
{
  g_autoptr(GHashTable) machines = g_hash_table_new(g_str_hash, g_str_equal);
  size_t i;
  const json_t *item;
  json_array_foreach(fixture_assignments(fixture, job), i, item)
  {
    g_hash_table_add(machines, (gpointer)json_string_value(json_array_get(item, 1)));
  }
  return g_hash_table_size(machines);
}

/* A gang whose image is on no machine is spread over several machines, which fetch the image in
   parallel. The next gang with that image is packed on one machine that has it cached. */
void
test_spread_while_image_is_missing(void)
{
  Fixture *fixture = fixture_new_with_machine(TRUE);
  fixture_remove_quotas(fixture);
  for (guint i = 0; i < 2; i++)
    fixture_send_request(fixture, "POST", "/v1/report",
                         fixture_heartbeat(fixture, "m-2", i, ++fixture->sequence, json_array()));
  fixture_send_request(fixture, "POST", "/api/jobs", gang_submission(2));
  fixture_run(fixture, 1.0);
  g_assert_cmpuint(count_machines_of(fixture, "req-1"), ==, 2);
  report_running(fixture, "m-1", FALSE);
  report_running(fixture, "m-2", FALSE);
  json_t *next = gang_submission(2);
  json_object_set_new(next, "id", json_string("req-2"));
  fixture_send_request(fixture, "POST", "/api/jobs", next);
  fixture_run(fixture, 1.0);
  g_assert_cmpuint(count_machines_of(fixture, "req-2"), ==, 1);
  fixture_free(fixture);
}

/* A gang runs on two machines, and the first one receives an interruption notice. While the second
   one is unreachable no orderly stop begins, since the tasks on the first one would lose their
   progress for nothing. Once it is reachable all tasks are halted, with enough time to save their
   progress and to wait for each other. */
void
test_no_stop_while_machine_is_unreachable(void)
{
  Fixture *fixture = fixture_new_with_machine(TRUE);
  fixture->spot = TRUE;
  fixture_send_request(fixture, "POST", "/v1/report",
                       fixture_heartbeat(fixture, "m-2", 0, ++fixture->sequence, json_array()));
  fixture_send_request(fixture, "POST", "/v1/report",
                       fixture_heartbeat(fixture, "m-2", 1, ++fixture->sequence, json_array()));
  json_t *submission = gang_submission(GANG_TASKS);
  json_object_set_new(submission, "vypujcky", json_true());
  fixture_send_request(fixture, "POST", "/api/jobs", submission);
  fixture_run(fixture, 1.0);
  report_running(fixture, "m-1", FALSE);
  report_running(fixture, "m-2", FALSE);
  for (guint i = 0; i < 3; i++) {
    fixture_run(fixture, 1.5);
    report_running(fixture, "m-1", i > 0);
    g_assert_cmpfloat(halt_grace_s(fixture, NULL), <, 0.0);
  }
  g_assert_true(sim_store_has(fixture->store, "w/mark/m-1"));
  report_running(fixture, "m-2", FALSE);
  fixture_run(fixture, 0.5);
  report_running(fixture, "m-2", FALSE);
  g_assert_cmpfloat(halt_grace_s(fixture, NULL), >=, 3.0 + fixture->settings->gang_peer_s);
  report_running(fixture, "m-1", TRUE);
  g_assert_cmpfloat(halt_grace_s(fixture, NULL), >=, 3.0 + fixture->settings->gang_peer_s);
  fixture_free(fixture);
}

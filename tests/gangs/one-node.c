/**
 * Gangs with one controller and a scripted worker: admission, halts and placement.
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
  json_t *torn = gang_submission(2);
  json_object_set_new(torn, "one_zone", json_true());
  json_object_set_new(torn, "scatter", json_true());
  fixture_send_request(fixture, "POST", "/api/jobs", torn);
  g_assert_cmpuint(fixture->status, ==, 422);
  fixture_free(fixture);
}

static json_t *
two_tasks(const char *first, const char *why, const char *second)
{
  return json_pack("[{s:s, s:i, s:s, s:s?}, {s:s, s:i, s:s}]", "kus", "req-1/0", "pokus", 1, "stav",
                   first, "duvod", why, "kus", "req-1/1", "pokus", 1, "stav", second);
}

/* The grace of the halt in the last answer for the task, NULL for any; negative: it has none. */
static double
halt_grace(const Fixture *fixture, const char *task)
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

/* What the others of a lost task have is lost too: they are halted without time to save. */
void
test_loss_halts_all_without_grace(void)
{
  Fixture *fixture = fixture_with_gang();
  fixture_send_heartbeat(fixture, 1, two_tasks("running", NULL, "running"));
  g_assert_cmpfloat(halt_grace(fixture, "req-1/1"), <, 0.0);
  fixture_send_heartbeat(fixture, 1, two_tasks("exited", "error", "running"));
  fixture_run(fixture, 0.5);
  fixture_send_heartbeat(fixture, 1, two_tasks("exited", "error", "running"));
  g_assert_cmpfloat(halt_grace(fixture, "req-1/1"), ==, 0.0);
  fixture_free(fixture);
}

/* One task that is done is the end of all, in one record; a cancellation comes too late then. */
void
test_one_completion_completes_all(void)
{
  Fixture *fixture = fixture_with_gang();
  fixture_send_heartbeat(fixture, 1, two_tasks("exited", "done", "running"));
  fixture_run(fixture, 0.5);
  fixture_send_request(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
  g_assert_cmpstr(json_string_value(json_object_get(fixture->answer, "stav")), ==, "done");
  const json_t *use = sim_store_get(fixture->store, "w/team-use/0");
  g_assert_cmpint(json_integer_value(json_object_get(json_object_get(use, "red"), "g")), ==, 0);
  fixture_free(fixture);
}

/* A gang that isn't complete in time, or lost a task elsewhere, says nothing against the machine.
 */
void
test_peer_exit_reasons_mark_no_machine(void)
{
  static const char *const WHY[] = { "peers", "incomplete" };
  for (guint k = 0; k < 2 * G_N_ELEMENTS(WHY); k++) {
    Fixture *fixture = fixture_with_gang();
    fixture_send_heartbeat(fixture, 1, two_tasks("exited", WHY[k % 2], "running"));
    fixture_run(fixture, 0.5);
    fixture_send_heartbeat(fixture, 1, json_array());
    fixture_run(fixture, 3.0);
    g_assert_false(sim_store_has(fixture->store, "w/mark/m-1"));
    g_assert_true(fixture_task_is_assigned(fixture));
    fixture_free(fixture);
  }
}

/* A gang that must be in one zone goes where there is capacity for all of it, also when the machine
   that suits its first task best is elsewhere. */
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

/* A heartbeat of a machine on which the tasks that it has on record run. */
static void
report_running(Fixture *fixture, const char *machine, gboolean is_noticed)
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
  if (is_noticed)
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

/* A gang whose image no machine has is spread, so that it's there for the next one, which is packed
   where the image is. */
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

/* A gang on two machines, of which the first is to be taken back. While the second one can't be
   reached no stop is begun, since the others would lose what they have for nothing; then all are
   halted, with the time that they need to save and to wait for each other. */
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
    g_assert_cmpfloat(halt_grace(fixture, NULL), <, 0.0);
  }
  g_assert_true(sim_store_has(fixture->store, "w/mark/m-1"));
  report_running(fixture, "m-2", FALSE);
  fixture_run(fixture, 0.5);
  report_running(fixture, "m-2", FALSE);
  g_assert_cmpfloat(halt_grace(fixture, NULL), >=, 3.0 + fixture->settings->gang_peer_s);
  report_running(fixture, "m-1", TRUE);
  g_assert_cmpfloat(halt_grace(fixture, NULL), >=, 3.0 + fixture->settings->gang_peer_s);
  fixture_free(fixture);
}

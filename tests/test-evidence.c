/**
 * Releases of tasks, and what has happened since they were concluded.
 *
 * A release is written only while the evidence that it rests on still holds: an incident broke
 * ran_twice when a former owner's release was written after the next owner had launched the same
 * attempt.
 */
#include "coordination/ws-epoch.h"
#include "evidence/evidence.h"
#include "sim/fixture.h"
#include "ws-site.h"
#include "ws-suite.h"

#define NEW_EPOCH_S 1.5
#define WRITE_S 2.0
#define REPEATED_EVERY_S 2.0

/* Whether the machine is n1's while the first nodes are members, so many of them. */
static gboolean
is_of_n1(const Fixture *fixture, const char *machine, guint members)
{
  WsEpoch epoch;
  ws_epoch_init(&epoch);
  for (guint node = 0; node < members; node++) {
    WsMember member = { node, 1 };
    g_array_append_val(epoch.members, member);
  }
  gboolean is = ws_epoch_owner(&epoch, machine, fixture->settings) == 1;
  ws_epoch_clear(&epoch);
  return is;
}

/* A machine that is n1's wherever n1 is a member beside n0. */
static char *
name_of_machine_of_n1(const Fixture *fixture)
{
  for (guint i = 0;; i++) {
    char *name = g_strdup_printf("m-%u", i);
    if (is_of_n1(fixture, name, 2) && is_of_n1(fixture, name, 3))
      return name;
    g_free(name);
  }
}

typedef struct {
  Fixture *fixture;
  char *machine;
  guint64 sequence;
} Scenario;

static void
send_heartbeat(Scenario *scenario, guint64 fencing_token, json_t *tasks /* taken */)
{
  fixture_post_heartbeat(scenario->fixture, scenario->machine, fencing_token, ++scenario->sequence,
                         tasks);
}

static json_t *
task_in_state(const char *state)
{
  return json_pack("[{s:s, s:i, s:s}]", "kus", "req-1/0", "pokus", 1, "stav", state);
}

/* The task of one job is assigned to the machine by n0, which leads, and its launch was lost. */
static void
scenario_begin(Scenario *scenario)
{
  *scenario = (Scenario){ .fixture = fixture_new(TRUE) };
  scenario->machine = name_of_machine_of_n1(scenario->fixture);
  send_heartbeat(scenario, 0, json_array());
  fixture_run(scenario->fixture, 0.3);
  send_heartbeat(scenario, 1, json_array());
  fixture_run(scenario->fixture, 0.3);
  fixture_send_request(scenario->fixture, "POST", "/api/jobs", fixture_submission());
  fixture_run(scenario->fixture, 1.0);
  g_assert_true(fixture_task_is_assigned(scenario->fixture));
}

static void
scenario_end(Scenario *scenario)
{
  fixture_free(scenario->fixture);
  g_free(scenario->machine);
}

static guint64
epoch_number(const Fixture *fixture)
{
  return (guint64)json_integer_value(
      json_object_get(sim_store_get(fixture->store, "w/epoch"), "number"));
}

/* n1 joins or leaves, and n0 writes the next epoch. */
static void
change_epoch(Scenario *scenario, gboolean has_n1)
{
  guint64 before = epoch_number(scenario->fixture);
  fixture_write_key(scenario->fixture, "w/member/n1",
                    has_n1 ? json_pack("{s:i}", "incarnation", 1) : NULL);
  fixture_run(scenario->fixture, NEW_EPOCH_S);
  g_assert_cmpuint(epoch_number(scenario->fixture), ==, before + 1);
}

/* n1 says what it knew of the task under the fencing token: that it is absent, or its machine
 * returned. */
static json_t *
release_of_n1(const Scenario *scenario, guint64 epoch, const char *kind, guint64 seen_under)
{
  return json_pack("{s:I, s:[[s, i, i, b, s, s, I, i]]}", "epoch", (json_int_t)epoch, "releases",
                   "req-1", 0, 1, 0, scenario->machine, kind, (json_int_t)seen_under, 1);
}

/* The same, said by a version that doesn't say what it rests on. */
static json_t *
legacy_release_of_n1(guint64 epoch)
{
  return json_pack("{s:I, s:[[s, i, i, b]]}", "epoch", (json_int_t)epoch, "releases", "req-1", 0, 1,
                   0);
}

/* Whether the task's first attempt is still on record. */
static gboolean
is_first_attempt_on_record(const Scenario *scenario)
{
  const json_t *on = fixture_assignments(scenario->fixture, "req-1");
  return json_integer_value(json_array_get(json_array_get(on, 0), 2)) == 1;
}

/* A second for the transaction that is to be held. */
static void
wait_for_held_call(Fixture *fixture)
{
  for (guint i = 0; i < 20 && fixture->held_call == 0; i++)
    fixture_run(fixture, 0.05);
}

/* Somebody writes that the task's second attempt is on the machine. */
static void
assign_second_attempt(Fixture *fixture, const char *machine)
{
  fixture_write_key(fixture, "w/task/req-1/0",
                    json_pack("{s:i, s:[[i, s, i, i]], s:s}", "a", 2, "on", 0, machine, 2, 1000,
                              "d", "00000000000000000000000000000000"));
}

/* The machine is n0's now, and hears that it is to launch the task. */
static void
launch_as_n0(Scenario *scenario)
{
  guint64 fencing_token = epoch_number(scenario->fixture);
  send_heartbeat(scenario, fencing_token - 1, json_array());
  send_heartbeat(scenario, fencing_token, json_array());
  g_assert_true(fixture_has_command(scenario->fixture, "launch"));
  send_heartbeat(scenario, fencing_token, task_in_state("fetching"));
}

/* The leader has taken its owner's release, whose write comes to nothing; the owner ends, and the
   leader, now the owner, launches the task again: what it took before must not be written then. */
static void
write_pending_release(gboolean has_evidence)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  scenario.fixture->hold_assignment = TRUE;
  fixture_request(scenario.fixture, WS_LISTENER_MESH, "POST", "/ask",
                  has_evidence ? release_of_n1(&scenario, 2, "absent", 2)
                               : legacy_release_of_n1(2));
  wait_for_held_call(scenario.fixture);
  change_epoch(&scenario, FALSE);
  launch_as_n0(&scenario);
  if (scenario.fixture->held_call != 0)
    fixture_reply(scenario.fixture, scenario.fixture->held_call, 409, NULL);
  fixture_run(scenario.fixture, WRITE_S);
  g_assert_true(is_first_attempt_on_record(&scenario));
  scenario_end(&scenario);
}

static void
test_pending_release_expires_with_ownership(void)
{
  write_pending_release(TRUE);
}

static void
test_pending_legacy_release_expires_with_ownership(void)
{
  write_pending_release(FALSE);
}

/* n1 concluded under its old epoch that the task is gone, lost its place to n0, which launched the
   task, and is back: it sends what it concluded then under the present epoch. */
static void
send_release_of_former_owner(gboolean has_evidence)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  change_epoch(&scenario, FALSE);
  launch_as_n0(&scenario);
  change_epoch(&scenario, TRUE);
  fixture_request(scenario.fixture, WS_LISTENER_MESH, "POST", "/ask",
                  has_evidence ? release_of_n1(&scenario, 4, "absent", 2)
                               : legacy_release_of_n1(4));
  fixture_run(scenario.fixture, WRITE_S);
  g_assert_true(is_first_attempt_on_record(&scenario));
  scenario_end(&scenario);
}

static void
test_no_release_by_former_owner(void)
{
  send_release_of_former_owner(TRUE);
}

static void
test_no_legacy_release_by_former_owner(void)
{
  send_release_of_former_owner(FALSE);
}

/* The cloud's word holds whoever owns the machine since. */
static void
test_returned_machine_is_released_in_any_epoch(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  change_epoch(&scenario, FALSE);
  change_epoch(&scenario, TRUE);
  fixture_request(scenario.fixture, WS_LISTENER_MESH, "POST", "/ask",
                  release_of_n1(&scenario, 4, "returned", 1));
  fixture_run(scenario.fixture, WRITE_S);
  g_assert_false(is_first_attempt_on_record(&scenario));
  scenario_end(&scenario);
}

/* A version that doesn't say what a release rests on is believed where nobody else has had the
   right to launch the attempt: it was assigned to a machine that the sender's version has owned
   since. */
static void
test_legacy_release_by_only_owner_holds(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  Fixture *fixture = scenario.fixture;
  assign_second_attempt(fixture, scenario.machine);
  fixture_run(fixture, 1.0);
  fixture_request(fixture, WS_LISTENER_MESH, "POST", "/ask",
                  json_pack("{s:i, s:[[s, i, i, b]]}", "epoch", 2, "releases", "req-1", 0, 2, 0));
  fixture_run(fixture, 0.4);
  g_assert_cmpstr(json_string_value(
                      json_array_get(json_array_get(fixture_assignments(fixture, "req-1"), 0), 1)),
                  !=, scenario.machine);
  scenario_end(&scenario);
}

/* Otherwise the worker is asked, and an end that it still holds is proof, with whatever reason. */
static void
test_legacy_release_needs_current_worker_status(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  Fixture *fixture = scenario.fixture;
  for (guint64 fencing_token = 1; fencing_token <= 2;
       fencing_token++) { /* only what is said under our fencing token counts */
    json_t *tasks = json_pack("[{s:s, s:i, s:s, s:s}]", "kus", "req-1/0", "pokus", 1, "stav",
                              "exited", "duvod", "error");
    json_decref(fixture->status_report);
    fixture->status_report
        = fixture_heartbeat(fixture, scenario.machine, fencing_token, 100 + fencing_token, tasks);
    fixture_run(fixture, WRITE_S);
    fixture_request(fixture, WS_LISTENER_MESH, "POST", "/ask", legacy_release_of_n1(2));
    fixture_run(fixture, 0.4);
    g_assert_true(is_first_attempt_on_record(&scenario) == (fencing_token == 1));
  }
  scenario_end(&scenario);
}

/* What can't be proven and is repeated for a lease isn't lost: the machine is returned. */
static void
test_unproven_legacy_release_terminates_machine(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  Fixture *fixture = scenario.fixture;
  g_autofree char *mark = g_strdup_printf("w/mark/%s", scenario.machine);
  guint repeats = (guint)(fixture->settings->lease_s / REPEATED_EVERY_S) + 1;
  for (guint i = 0; i < repeats; i++) {
    g_assert_false(sim_store_has(fixture->store, mark));
    fixture_request(fixture, WS_LISTENER_MESH, "POST", "/ask", legacy_release_of_n1(2));
    fixture_run(fixture, REPEATED_EVERY_S);
  }
  fixture_request(fixture, WS_LISTENER_MESH, "POST", "/ask", legacy_release_of_n1(2));
  fixture_run(fixture, 1.0);
  g_assert_true(sim_store_has(fixture->store, mark));
  g_assert_true(is_first_attempt_on_record(&scenario));
  scenario_end(&scenario);
}

/* The task failed, its release is on its way, and the machine begins a new incarnation without it:
   the owner launches nothing that it is about to release. */
static void
test_no_launch_while_release_is_pending(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  Fixture *fixture = scenario.fixture;
  fixture->hold_assignment = TRUE;
  send_heartbeat(&scenario, 1,
                 json_pack("[{s:s, s:i, s:s, s:s}]", "kus", "req-1/0", "pokus", 1, "stav", "exited",
                           "duvod", "error"));
  wait_for_held_call(fixture);
  g_assert_cmpuint(fixture->held_call, !=, 0);
  json_t *anew = fixture_heartbeat(fixture, scenario.machine, 1, ++scenario.sequence, json_array());
  json_object_set_new(anew, "smena", json_integer(2));
  fixture_post(fixture, "/v1/report", anew);
  g_assert_cmpuint(fixture->status, ==, 200);
  g_assert_false(fixture_has_command(fixture, "launch"));
  fixture_reply(fixture, fixture->held_call, 409, NULL);
  fixture_run(fixture, WRITE_S);
  g_assert_false(is_first_attempt_on_record(&scenario));
  scenario_end(&scenario);
}

/* What an owner concludes while it remains the owner is written in a later epoch too. */
static void
test_release_holds_for_same_owner(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  fixture_write_key(scenario.fixture, "w/member/n2", json_pack("{s:i}", "incarnation", 1));
  fixture_run(scenario.fixture, NEW_EPOCH_S);
  g_assert_cmpuint(epoch_number(scenario.fixture), ==, 3);
  fixture_request(scenario.fixture, WS_LISTENER_MESH, "POST", "/ask",
                  release_of_n1(&scenario, 3, "absent", 2));
  fixture_run(scenario.fixture, WRITE_S);
  g_assert_false(is_first_attempt_on_record(&scenario));
  scenario_end(&scenario);
}

/* The watch brings nothing while somebody else's last transaction under the old epoch moves the
   task to another machine; then n0's own next epoch is in force, which it knows at once. */
static void
fall_behind_own_epoch(Scenario *scenario)
{
  Fixture *fixture = scenario->fixture;
  fixture->hold_watch = TRUE;
  fixture_write_key(fixture, "w/unused", json_object()); /* answers the watch that is open */
  fixture_run(fixture, 1.0);
  g_assert_cmpuint(fixture->held_watch, !=, 0);
  assign_second_attempt(fixture, "m-elsewhere");
  fixture_send_peer_message(
      fixture, "/gossip",
      json_pack("{s:s, s:i, s:b, s:i, s:b, s:b, s:i, s:i, s:i, s:i, s:b, s:i, s:[]}", "node", "n1",
                "epoch", 1, "store", 1, "reaches", 7, "wants_epoch", 1, "unheard", 0, "base", 0,
                "rev", 0, "ack", 0, "incarnation", 1, "loaded", 1, "untold", 0, "machines"));
  fixture_run(fixture, 0.5);
  g_assert_cmpuint(epoch_number(fixture), ==, 2);
}

/* A leader whose replica is older than its own epoch launches nothing by it: the attempt may have
   been taken elsewhere meanwhile. */
static void
test_no_launch_before_caught_up_with_epoch(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  fall_behind_own_epoch(&scenario);
  send_heartbeat(&scenario, 1, json_array());
  send_heartbeat(&scenario, 2, json_array());
  g_assert_cmpuint(scenario.fixture->status, ==, 200);
  g_assert_false(fixture_has_command(scenario.fixture, "launch"));
  fixture_release_watch(scenario.fixture);
  fixture_run(scenario.fixture, 1.0);
  send_heartbeat(&scenario, 2, json_array());
  g_assert_false(fixture_has_command(scenario.fixture, "launch"));
  scenario_end(&scenario);
}

/* Nor does it halt or reap what it doesn't know: that may have been assigned meanwhile. */
static void
test_no_halt_before_caught_up_with_epoch(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  fall_behind_own_epoch(&scenario);
  static const char *const STATES[] = { "running", "exited" };
  for (guint i = 0; i < G_N_ELEMENTS(STATES); i++) {
    json_t *tasks = task_in_state(STATES[i]);
    json_object_set_new(json_array_get(tasks, 0), "pokus", json_integer(3));
    json_object_set_new(json_array_get(tasks, 0), "duvod", json_string("done"));
    send_heartbeat(&scenario, 2, json_deep_copy(tasks));
    g_assert_cmpuint(scenario.fixture->status, ==, 200);
    g_assert_false(fixture_has_command(scenario.fixture, "halt"));
    g_assert_false(fixture_has_command(scenario.fixture, "reap"));
    json_decref(tasks);
  }
  fixture_release_watch(scenario.fixture);
  fixture_run(scenario.fixture, 1.0);
  send_heartbeat(&scenario, 2,
                 task_in_state("running")); /* this attempt isn't on the records any more */
  g_assert_true(fixture_has_command(scenario.fixture, "halt"));
  scenario_end(&scenario);
}

static const WsTest TESTS[] = {
  { "/evidence/pending-release-expires-with-ownership",
    test_pending_release_expires_with_ownership },
  { "/evidence/pending-legacy-release-expires-with-ownership",
    test_pending_legacy_release_expires_with_ownership },
  { "/evidence/no-release-by-former-owner", test_no_release_by_former_owner },
  { "/evidence/no-legacy-release-by-former-owner", test_no_legacy_release_by_former_owner },
  { "/evidence/no-launch-while-release-is-pending", test_no_launch_while_release_is_pending },
  { "/evidence/release-holds-for-same-owner", test_release_holds_for_same_owner },
  { "/evidence/no-launch-before-caught-up-with-epoch", test_no_launch_before_caught_up_with_epoch },
  { "/evidence/no-halt-before-caught-up-with-epoch", test_no_halt_before_caught_up_with_epoch },
  { "/evidence/returned-machine-is-released-in-any-epoch",
    test_returned_machine_is_released_in_any_epoch },
  { "/evidence/legacy-release-by-only-owner-holds", test_legacy_release_by_only_owner_holds },
  { "/evidence/legacy-release-needs-current-worker-status",
    test_legacy_release_needs_current_worker_status },
  { "/evidence/unproven-legacy-release-terminates-machine",
    test_unproven_legacy_release_terminates_machine },
  { "/evidence/release-holds-exactly-under-one-owner", test_release_holds_exactly_under_one_owner },
  { "/evidence/release-encoding-round-trip", test_release_encoding_round_trip },
  { "/evidence/flapping", test_flapping },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

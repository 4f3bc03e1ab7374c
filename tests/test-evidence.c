/**
 * Releases of tasks whose evidence may be outdated when they are committed.
 *
 * A release must be committed only while its evidence is valid. These tests guard against a task
 * that runs twice (the ran_twice violation): a former owner's release was committed after the
 * machine's next owner had launched the same attempt, so the task was assigned again while it ran.
 */
#include "context/ws-context.h"
#include "coordination/ws-epoch.h"
#include "evidence/evidence.h"
#include "sim/fixture.h"
#include "ws-test-settings.h"
#include "ws-suite.h"

#define EPOCH_CHANGE_WAIT_S 1.5
#define COMMIT_WAIT_S 2.0
#define LEGACY_RELEASE_INTERVAL_S 2.0

/* Returns whether n1 owns the machine if the first @members nodes are the members. */
static gboolean
is_owned_by_n1(const Fixture *fixture, const char *machine, guint members)
{
  WsEpoch epoch;
  ws_epoch_init(&epoch);
  for (guint node = 0; node < members; node++) {
    WsMember member = { node, 1 };
    g_array_append_val(epoch.members, member);
  }
  gboolean is_owner = ws_epoch_owner(&epoch, machine, fixture->settings) == 1;
  ws_epoch_clear(&epoch);
  return is_owner;
}

/* Returns the name of a machine that n1 owns whenever n0 and n1 are members, with or without n2. */
static char *
find_machine_owned_by_n1(const Fixture *fixture)
{
  for (guint i = 0;; i++) {
    char *name = g_strdup_printf("m-%u", i);
    if (is_owned_by_n1(fixture, name, 2) && is_owned_by_n1(fixture, name, 3))
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
send_heartbeat(Scenario *scenario, guint64 fencing_token, json_t *tasks /* takes ownership */)
{
  fixture_post_heartbeat(scenario->fixture, scenario->machine, fencing_token, ++scenario->sequence,
                         tasks);
}

static json_t *
task_in_state(const char *state)
{
  return json_pack("[{s:s, s:i, s:s}]", "kus", "req-1/0", "pokus", 1, "stav", state);
}

/* Sets up a cluster in which n0 leads and has assigned the only task of a job to the machine. The
   machine hasn't received the launch command. */
static void
scenario_begin(Scenario *scenario)
{
  *scenario = (Scenario){ .fixture = fixture_new(TRUE) };
  scenario->machine = find_machine_owned_by_n1(scenario->fixture);
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

/* Makes n1 join or leave, and waits until n0 has written the next epoch. */
static void
change_epoch(Scenario *scenario, gboolean has_n1)
{
  guint64 before = epoch_number(scenario->fixture);
  fixture_write_key(scenario->fixture, "w/member/n1",
                    has_n1 ? json_pack("{s:i}", "incarnation", 1) : NULL);
  fixture_run(scenario->fixture, EPOCH_CHANGE_WAIT_S);
  g_assert_cmpuint(epoch_number(scenario->fixture), ==, before + 1);
}

/* Returns a peer message in which n1 releases the task. The evidence (@kind: "absent" or
   "returned") was observed in the epoch @evidence_epoch. */
static json_t *
release_message_from_n1(const Scenario *scenario, guint64 epoch, const char *kind,
                        guint64 evidence_epoch)
{
  return json_pack("{s:I, s:[[s, i, i, b, s, s, I, i]]}", "epoch", (json_int_t)epoch, "releases",
                   "req-1", 0, 1, 0, scenario->machine, kind, (json_int_t)evidence_epoch, 1);
}

/* Returns the same message from a version before 0.4, without evidence. */
static json_t *
legacy_release_message_from_n1(guint64 epoch)
{
  return json_pack("{s:I, s:[[s, i, i, b]]}", "epoch", (json_int_t)epoch, "releases", "req-1", 0, 1,
                   0);
}

/* Returns whether the task's first attempt is still recorded as assigned. */
static gboolean
is_first_attempt_assigned(const Scenario *scenario)
{
  const json_t *assignments = fixture_assignments(scenario->fixture, "req-1");
  return json_integer_value(json_array_get(json_array_get(assignments, 0), 2)) == 1;
}

/* Waits up to one second until the fixture holds back the transaction. */
static void
wait_for_held_call(Fixture *fixture)
{
  for (guint i = 0; i < 20 && fixture->held_call == 0; i++)
    fixture_run(fixture, 0.05);
}

/* Writes, as another node, a record that assigns the task's second attempt to the machine. */
static void
assign_second_attempt(Fixture *fixture, const char *machine)
{
  fixture_write_key(fixture, "w/task/req-1/0",
                    json_pack("{s:i, s:[[i, s, i, i]], s:s}", "a", 2, "on", 0, machine, 2, 1000,
                              "d", "00000000000000000000000000000000"));
}

/* Has the machine, now owned by n0, receive the command to launch the task. */
static void
launch_as_n0(Scenario *scenario)
{
  guint64 fencing_token = epoch_number(scenario->fixture);
  send_heartbeat(scenario, fencing_token - 1, json_array());
  send_heartbeat(scenario, fencing_token, json_array());
  g_assert_true(fixture_has_command(scenario->fixture, "launch"));
  send_heartbeat(scenario, fencing_token, task_in_state("fetching"));
}

/* The leader n0 accepts a release from the machine's owner n1, but its transaction is held back and
   then conflicts. n1 leaves, and n0, now the owner, launches the task again. The release must not
   be committed any more. */
static void
check_pending_release_after_owner_change(gboolean has_evidence)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  scenario.fixture->hold_assignment = TRUE;
  fixture_request(scenario.fixture, WS_LISTENER_PEERS, "POST", "/ask",
                  has_evidence ? release_message_from_n1(&scenario, 2, "absent", 2)
                               : legacy_release_message_from_n1(2));
  wait_for_held_call(scenario.fixture);
  change_epoch(&scenario, FALSE);
  launch_as_n0(&scenario);
  if (scenario.fixture->held_call != 0)
    fixture_reply(scenario.fixture, scenario.fixture->held_call, 409, NULL);
  fixture_run(scenario.fixture, COMMIT_WAIT_S);
  g_assert_true(is_first_attempt_assigned(&scenario));
  scenario_end(&scenario);
}

static void
test_pending_release_expires_with_ownership(void)
{
  check_pending_release_after_owner_change(TRUE);
}

static void
test_pending_legacy_release_expires_with_ownership(void)
{
  check_pending_release_after_owner_change(FALSE);
}

/* n1 observes in an early epoch that the task is absent, then leaves. n0 becomes the owner and
   launches the task. n1 joins again and sends the outdated release in the current epoch. The
   release must not be committed. */
static void
check_release_by_former_owner(gboolean has_evidence)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  change_epoch(&scenario, FALSE);
  launch_as_n0(&scenario);
  change_epoch(&scenario, TRUE);
  fixture_request(scenario.fixture, WS_LISTENER_PEERS, "POST", "/ask",
                  has_evidence ? release_message_from_n1(&scenario, 4, "absent", 2)
                               : legacy_release_message_from_n1(4));
  fixture_run(scenario.fixture, COMMIT_WAIT_S);
  g_assert_true(is_first_attempt_assigned(&scenario));
  scenario_end(&scenario);
}

static void
test_release_by_former_owner_is_not_committed(void)
{
  check_release_by_former_owner(TRUE);
}

static void
test_legacy_release_by_former_owner_is_not_committed(void)
{
  check_release_by_former_owner(FALSE);
}

/* The cloud's confirmation of a return is valid evidence, even after a change of the owner. */
static void
test_returned_machine_is_released_in_any_epoch(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  change_epoch(&scenario, FALSE);
  change_epoch(&scenario, TRUE);
  fixture_request(scenario.fixture, WS_LISTENER_PEERS, "POST", "/ask",
                  release_message_from_n1(&scenario, 4, "returned", 1));
  fixture_run(scenario.fixture, COMMIT_WAIT_S);
  g_assert_false(is_first_attempt_assigned(&scenario));
  scenario_end(&scenario);
}

/* A release without evidence is accepted if no other node can have launched the attempt: the
   machine has had the same owner since the attempt was assigned. */
static void
test_legacy_release_by_only_owner_is_accepted(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  Fixture *fixture = scenario.fixture;
  assign_second_attempt(fixture, scenario.machine);
  fixture_run(fixture, 1.0);
  fixture_request(fixture, WS_LISTENER_PEERS, "POST", "/ask",
                  json_pack("{s:i, s:[[s, i, i, b]]}", "epoch", 2, "releases", "req-1", 0, 2, 0));
  fixture_run(fixture, 0.4);
  g_assert_cmpstr(json_string_value(
                      json_array_get(json_array_get(fixture_assignments(fixture, "req-1"), 0), 1)),
                  !=, scenario.machine);
  scenario_end(&scenario);
}

/* If a release without evidence can't be accepted at once, the leader probes the worker. An exit in
   the worker's status is evidence regardless of the exit reason, but only in a status under the
   current fencing token. */
static void
test_legacy_release_needs_current_worker_status(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  Fixture *fixture = scenario.fixture;
  for (guint64 fencing_token = 1; fencing_token <= 2;
       fencing_token++) { /* only a status under the current token is evidence */
    json_t *tasks = json_pack("[{s:s, s:i, s:s, s:s}]", "kus", "req-1/0", "pokus", 1, "stav",
                              "exited", "duvod", "error");
    json_decref(fixture->status_report);
    fixture->status_report
        = fixture_heartbeat(fixture, scenario.machine, fencing_token, 100 + fencing_token, tasks);
    fixture_run(fixture, COMMIT_WAIT_S);
    fixture_request(fixture, WS_LISTENER_PEERS, "POST", "/ask", legacy_release_message_from_n1(2));
    fixture_run(fixture, 0.4);
    g_assert_true(is_first_attempt_assigned(&scenario) == (fencing_token == 1));
  }
  scenario_end(&scenario);
}

/* If a release without evidence is repeated for a whole lease and can't be confirmed, the machine
   is terminated, and the task isn't released until then. */
static void
test_unproven_legacy_release_terminates_machine(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  Fixture *fixture = scenario.fixture;
  g_autofree char *mark = g_strdup_printf("w/mark/%s", scenario.machine);
  guint repeats = (guint)(fixture->settings->lease_s / LEGACY_RELEASE_INTERVAL_S) + 1;
  for (guint i = 0; i < repeats; i++) {
    g_assert_false(sim_store_has(fixture->store, mark));
    fixture_request(fixture, WS_LISTENER_PEERS, "POST", "/ask", legacy_release_message_from_n1(2));
    fixture_run(fixture, LEGACY_RELEASE_INTERVAL_S);
  }
  fixture_request(fixture, WS_LISTENER_PEERS, "POST", "/ask", legacy_release_message_from_n1(2));
  fixture_run(fixture, 1.0);
  g_assert_true(sim_store_has(fixture->store, mark));
  g_assert_true(is_first_attempt_assigned(&scenario));
  scenario_end(&scenario);
}

/* The task has failed and its release is not committed yet when the worker restarts and no longer
   reports the task. The owner must not launch an attempt that it is about to release. */
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
  json_t *restarted
      = fixture_heartbeat(fixture, scenario.machine, 1, ++scenario.sequence, json_array());
  json_object_set_new(restarted, "smena", json_integer(2));
  fixture_post(fixture, "/v1/report", restarted);
  g_assert_cmpuint(fixture->status, ==, 200);
  g_assert_false(fixture_has_command(fixture, "launch"));
  fixture_reply(fixture, fixture->held_call, 409, NULL);
  fixture_run(fixture, COMMIT_WAIT_S);
  g_assert_false(is_first_attempt_assigned(&scenario));
  scenario_end(&scenario);
}

/* A release is still committed in a later epoch if the machine's owner is the same. */
static void
test_release_stays_valid_for_same_owner(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  change_epoch(&scenario, TRUE);
  fixture_write_key(scenario.fixture, "w/member/n2", json_pack("{s:i}", "incarnation", 1));
  fixture_run(scenario.fixture, EPOCH_CHANGE_WAIT_S);
  g_assert_cmpuint(epoch_number(scenario.fixture), ==, 3);
  fixture_request(scenario.fixture, WS_LISTENER_PEERS, "POST", "/ask",
                  release_message_from_n1(&scenario, 3, "absent", 2));
  fixture_run(scenario.fixture, COMMIT_WAIT_S);
  g_assert_false(is_first_attempt_assigned(&scenario));
  scenario_end(&scenario);
}

/* Makes n0 enter a new epoch while its replica is older. The watch is held back while another
   node's last transaction of the old epoch moves the task to another machine. Then n0 writes the
   next epoch and enters it at once, without the watch. */
static void
fall_behind_own_epoch(Scenario *scenario)
{
  Fixture *fixture = scenario->fixture;
  fixture->hold_watch = TRUE;
  fixture_write_key(fixture, "w/unused", json_object()); /* completes the open watch request */
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

/* A leader whose replica is older than its epoch must not launch tasks: an attempt may have been
   replaced by one on another machine in the meantime. */
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

/* Answers the watch that is held back with an earlier assignment of the task to the machine, as if
   the answer had been under way since before the epoch. */
static void
deliver_assignment_before_epoch(const Scenario *scenario)
{
  Fixture *fixture = scenario->fixture;
  guint64 version = 1 + ws_replica_version(fixture->core->replica, "w/task/req-1/0");
  g_autoptr(json_t) answer = json_pack(
      "{s:I, s:[{s:s, s:{s:i, s:[[i, s, i]], s:s}, s:I}]}", "zmena", (json_int_t)version, "log",
      "set", "w/task/req-1/0", "value", "a", 2, "on", 0, scenario->machine, 2, "d",
      "00000000000000000000000000000000", "verze", (json_int_t)version);
  fixture_reply(fixture, fixture->held_watch, 200, answer);
  fixture_handle_outputs(fixture);
}

/* Such a leader must not launch them by direct commands either. */
static void
test_no_direct_launch_before_caught_up_with_epoch(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  fall_behind_own_epoch(&scenario);
  send_heartbeat(&scenario, 1, json_array());
  send_heartbeat(&scenario, 2, json_array());
  guint commands = scenario.fixture->direct_commands;
  deliver_assignment_before_epoch(&scenario);
  g_assert_cmpuint(scenario.fixture->direct_commands, ==, commands);
  fixture_release_watch(scenario.fixture);
  fixture_run(scenario.fixture, 1.0);
  g_assert_cmpuint(scenario.fixture->direct_commands, ==, commands);
  scenario_end(&scenario);
}

/* Such a leader must not halt or reap tasks that it doesn't know either, since they may have been
   assigned in the meantime. */
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
  send_heartbeat(&scenario, 2, task_in_state("running")); /* this attempt is no longer recorded */
  g_assert_true(fixture_has_command(scenario.fixture, "halt"));
  scenario_end(&scenario);
}

static const WsTest TESTS[] = {
  { "/evidence/pending-release-expires-with-ownership",
    test_pending_release_expires_with_ownership },
  { "/evidence/pending-legacy-release-expires-with-ownership",
    test_pending_legacy_release_expires_with_ownership },
  { "/evidence/no-release-by-former-owner", test_release_by_former_owner_is_not_committed },
  { "/evidence/no-legacy-release-by-former-owner",
    test_legacy_release_by_former_owner_is_not_committed },
  { "/evidence/no-launch-while-release-is-pending", test_no_launch_while_release_is_pending },
  { "/evidence/release-holds-for-same-owner", test_release_stays_valid_for_same_owner },
  { "/evidence/no-launch-before-caught-up-with-epoch", test_no_launch_before_caught_up_with_epoch },
  { "/evidence/no-direct-launch-before-caught-up-with-epoch",
    test_no_direct_launch_before_caught_up_with_epoch },
  { "/evidence/no-halt-before-caught-up-with-epoch", test_no_halt_before_caught_up_with_epoch },
  { "/evidence/returned-machine-is-released-in-any-epoch",
    test_returned_machine_is_released_in_any_epoch },
  { "/evidence/legacy-release-by-only-owner-holds", test_legacy_release_by_only_owner_is_accepted },
  { "/evidence/legacy-release-needs-current-worker-status",
    test_legacy_release_needs_current_worker_status },
  { "/evidence/unproven-legacy-release-terminates-machine",
    test_unproven_legacy_release_terminates_machine },
  { "/evidence/release-holds-exactly-under-one-owner",
    test_release_is_valid_exactly_while_owner_is_same },
  { "/evidence/release-encoding-round-trip", test_release_encoding_round_trip },
  { "/evidence/flapping", test_cluster_recovers_from_repeated_lease_loss },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

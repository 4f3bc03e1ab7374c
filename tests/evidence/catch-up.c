/**
 * A leader whose replica is older than its epoch neither launches nor halts tasks.
 */
#include "context/ws-context.h"
#include "evidence/evidence.h"
#include "evidence/scenario.h"

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
  scenario_assign_second_attempt(fixture, "m-elsewhere");
  fixture_send_peer_message(
      fixture, "/gossip",
      json_pack("{s:s, s:i, s:b, s:i, s:b, s:b, s:i, s:i, s:i, s:i, s:b, s:i, s:[]}", "node", "n1",
                "epoch", (int)EPOCH_NUMBER(1), "store", 1, "reaches", 7, "wants_epoch", 1,
                "unheard", 0, "base", 0, "rev", 0, "ack", 0, "incarnation", 1, "loaded", 1,
                "untold", 0, "machines"));
  fixture_run(fixture, 0.5);
  g_assert_cmpuint(scenario_epoch(fixture), ==, EPOCH_NUMBER(2));
}

/* A leader whose replica is older than its epoch must not launch tasks: an attempt may have been
   replaced by one on another machine in the meantime. */
void
test_no_launch_before_caught_up_with_epoch(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  fall_behind_own_epoch(&scenario);
  scenario_send_heartbeat(&scenario, 1, json_array());
  scenario_send_heartbeat(&scenario, FIRST_TOKEN(2), json_array());
  g_assert_cmpuint(scenario.fixture->status, ==, 200);
  g_assert_false(fixture_has_command(scenario.fixture, "launch"));
  fixture_release_watch(scenario.fixture);
  fixture_run(scenario.fixture, 1.0);
  scenario_send_heartbeat(&scenario, FIRST_TOKEN(2), json_array());
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
void
test_no_direct_launch_before_caught_up_with_epoch(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  fall_behind_own_epoch(&scenario);
  scenario_send_heartbeat(&scenario, 1, json_array());
  scenario_send_heartbeat(&scenario, FIRST_TOKEN(2), json_array());
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
void
test_no_halt_before_caught_up_with_epoch(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  fall_behind_own_epoch(&scenario);
  static const char *const STATES[] = { "running", "exited" };
  for (guint i = 0; i < G_N_ELEMENTS(STATES); i++) {
    json_t *tasks = scenario_task_in_state(STATES[i]);
    json_object_set_new(json_array_get(tasks, 0), "pokus", json_integer(3));
    json_object_set_new(json_array_get(tasks, 0), "duvod", json_string("done"));
    scenario_send_heartbeat(&scenario, FIRST_TOKEN(2), json_deep_copy(tasks));
    g_assert_cmpuint(scenario.fixture->status, ==, 200);
    g_assert_false(fixture_has_command(scenario.fixture, "halt"));
    g_assert_false(fixture_has_command(scenario.fixture, "reap"));
    json_decref(tasks);
  }
  fixture_release_watch(scenario.fixture);
  fixture_run(scenario.fixture, 1.0);
  scenario_send_heartbeat(
      &scenario, FIRST_TOKEN(2),
      scenario_task_in_state("running")); /* this attempt is no longer recorded */
  g_assert_true(fixture_has_command(scenario.fixture, "halt"));
  scenario_end(&scenario);
}

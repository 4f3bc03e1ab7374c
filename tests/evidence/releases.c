/**
 * Releases with evidence are committed only while it is valid.
 */
#include "evidence/evidence.h"
#include "evidence/scenario.h"
#include "storage/ws-cluster-records.h"

/* Waits up to one second until the fixture holds back the transaction. */
static void
wait_for_held_call(Fixture *fixture)
{
  for (guint i = 0; i < 20 && fixture->held_call == 0; i++)
    fixture_run(fixture, 0.05);
}

/* Has the machine, now owned by n0, receive the command to launch the task. */
static void
launch_as_n0(Scenario *scenario)
{
  guint64 fencing_token = scenario_epoch(scenario->fixture) - WS_EPOCH_TOKENS + 1;
  scenario_send_heartbeat(scenario, fencing_token - 1, json_array());
  scenario_send_heartbeat(scenario, fencing_token, json_array());
  g_assert_true(fixture_has_command(scenario->fixture, "launch"));
  scenario_send_heartbeat(scenario, fencing_token, scenario_task_in_state("fetching"));
}

/* The leader n0 accepts a release from the machine's owner n1, but its transaction is held back and
   then conflicts. n1 leaves, and n0, now the owner, launches the task again. The release must not
   be committed any more. */
static void
check_pending_release_after_owner_change(gboolean has_evidence)
{
  Scenario scenario;
  scenario_begin(&scenario);
  scenario_change_epoch(&scenario, TRUE);
  scenario.fixture->hold_assignment = TRUE;
  fixture_request(
      scenario.fixture, WS_LISTENER_PEERS, "POST", "/ask",
      has_evidence ? scenario_release_message(&scenario, EPOCH_NUMBER(2), "absent", EPOCH_NUMBER(2))
                   : scenario_legacy_release_message(EPOCH_NUMBER(2)));
  wait_for_held_call(scenario.fixture);
  scenario_change_epoch(&scenario, FALSE);
  launch_as_n0(&scenario);
  if (scenario.fixture->held_call != 0)
    fixture_reply(scenario.fixture, scenario.fixture->held_call, 409, NULL);
  fixture_run(scenario.fixture, COMMIT_WAIT_S);
  g_assert_true(scenario_first_attempt_is_assigned(&scenario));
  scenario_end(&scenario);
}

void
test_pending_release_expires_with_ownership(void)
{
  check_pending_release_after_owner_change(TRUE);
}

void
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
  scenario_change_epoch(&scenario, TRUE);
  scenario_change_epoch(&scenario, FALSE);
  launch_as_n0(&scenario);
  scenario_change_epoch(&scenario, TRUE);
  fixture_request(
      scenario.fixture, WS_LISTENER_PEERS, "POST", "/ask",
      has_evidence ? scenario_release_message(&scenario, EPOCH_NUMBER(4), "absent", EPOCH_NUMBER(2))
                   : scenario_legacy_release_message(EPOCH_NUMBER(4)));
  fixture_run(scenario.fixture, COMMIT_WAIT_S);
  g_assert_true(scenario_first_attempt_is_assigned(&scenario));
  scenario_end(&scenario);
}

void
test_release_by_former_owner_is_not_committed(void)
{
  check_release_by_former_owner(TRUE);
}

void
test_legacy_release_by_former_owner_is_not_committed(void)
{
  check_release_by_former_owner(FALSE);
}

/* The cloud's confirmation of a return is valid evidence, even after a change of the owner. */
void
test_returned_machine_is_released_in_any_epoch(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  scenario_change_epoch(&scenario, TRUE);
  scenario_change_epoch(&scenario, FALSE);
  scenario_change_epoch(&scenario, TRUE);
  fixture_request(
      scenario.fixture, WS_LISTENER_PEERS, "POST", "/ask",
      scenario_release_message(&scenario, EPOCH_NUMBER(4), "returned", EPOCH_NUMBER(1)));
  fixture_run(scenario.fixture, COMMIT_WAIT_S);
  g_assert_false(scenario_first_attempt_is_assigned(&scenario));
  scenario_end(&scenario);
}

/* The task has failed and its release is not committed yet when the worker restarts and no longer
   reports the task. The owner must not launch an attempt that it is about to release. */
void
test_no_launch_while_release_is_pending(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  Fixture *fixture = scenario.fixture;
  fixture->hold_assignment = TRUE;
  scenario_send_heartbeat(&scenario, 1,
                          json_pack("[{s:s, s:i, s:s, s:s}]", "kus", "req-1/0", "pokus", 1, "stav",
                                    "exited", "duvod", "error"));
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
  g_assert_false(scenario_first_attempt_is_assigned(&scenario));
  scenario_end(&scenario);
}

/* A release is still committed in a later epoch if the machine's owner is the same. */
void
test_release_stays_valid_for_same_owner(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  scenario_change_epoch(&scenario, TRUE);
  fixture_write_key(scenario.fixture, "w/member/n2", ws_member_encode(1));
  fixture_run(scenario.fixture, EPOCH_CHANGE_WAIT_S);
  g_assert_cmpuint(scenario_epoch(scenario.fixture), ==, EPOCH_NUMBER(3));
  fixture_request(scenario.fixture, WS_LISTENER_PEERS, "POST", "/ask",
                  scenario_release_message(&scenario, EPOCH_NUMBER(3), "absent", EPOCH_NUMBER(2)));
  fixture_run(scenario.fixture, COMMIT_WAIT_S);
  g_assert_false(scenario_first_attempt_is_assigned(&scenario));
  scenario_end(&scenario);
}

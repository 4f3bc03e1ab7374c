/**
 * What is written, and under which lease, epoch and fencing token.
 */
#include "regressions/regressions.h"

/* Every write of assignments carries the epoch, the job and the team as conditions. */
void
test_assignment_writes_are_conditional(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  static const char *const KEYS[] = { "w/epoch", "w/job/req-1", "w/task/req-1/0", "w/team-use/0" };
  g_assert_true(transaction_has_condition(fixture->assignment_transaction, "w/lot/a-1-0-1"));
  fixture_send_heartbeat(fixture, 1, one_task_in_state("exited", "error"));
  for (guint k = 0; k < G_N_ELEMENTS(KEYS); k++)
    g_assert_true(transaction_has_condition(fixture->last_transaction, KEYS[k]));
  fixture_free(fixture);
}

/* The end of a task is written before the worker may forget it. */
void
test_end_is_stored_before_reap(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, 1, one_task_in_state("exited", "done"));
  g_assert_false(fixture_has_command(fixture, "reap"));
  fixture_send_request(fixture, "GET", "/api/jobs/req-1", NULL);
  g_assert_cmpstr(json_string_value(json_object_get(fixture->answer, "stav")), ==, "done");
  fixture_send_heartbeat(fixture, 1, one_task_in_state("exited", "done"));
  g_assert_true(fixture_has_command(fixture, "reap"));
  fixture_free(fixture);
}

/* A heartbeat without our fencing token may be a late copy: completions in it don't count. */
void
test_no_release_without_current_fencing_token(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, 0, one_task_in_state("exited", "done"));
  fixture_send_request(fixture, "GET", "/api/jobs/req-1", NULL);
  g_assert_cmpstr(json_string_value(json_object_get(fixture->answer, "stav")), !=, "done");
  fixture_free(fixture);
}

/* An older message is answered, but changes nothing and orders nothing. */
void
test_stale_sequence_changes_nothing(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, 1, one_task_in_state("running", ""));
  fixture_send_request(fixture, "POST", "/v1/report",
                       fixture_heartbeat(fixture, "m-1", 1, 1, json_array()));
  g_assert_cmpuint(fixture->status, ==, 200);
  g_assert_false(fixture_has_command(fixture, "launch"));
  fixture_free(fixture);
}

/* A cancelled task whose direct launch had no answer isn't released for being absent, nor may the
   worker forget an attempt, until the worker has seen a higher fencing token. */
void
test_no_release_while_launch_is_indeterminate(void)
{
  Fixture *fixture = fixture_new_with_job(FALSE);
  fixture_send_request(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
  g_assert_cmpuint(fixture->status, ==, 200);
  fixture_send_heartbeat(fixture, 1, json_array());
  fixture_run(fixture, 1.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  for (guint i = 0; i < 8; i++) {
    fixture_send_heartbeat(fixture, 1, json_array());
    fixture_run(fixture, 1.5);
  }
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_send_heartbeat(fixture, 2, json_array()); /* the leader has raised the token meanwhile */
  fixture_run(fixture, 1.0);
  g_assert_false(fixture_task_is_assigned(fixture));
  fixture_free(fixture);
}

/* A machine that cannot be reached doesn't learn a higher fencing token: no epoch is begun to
   settle its indeterminate launch. Epochs followed one another every 10 s during a partition. */
void
test_no_epoch_for_unreachable_machine(void)
{
  Fixture *fixture = fixture_new_with_job(FALSE);
  fixture_run(fixture, 30.0);
  g_assert_cmpint(
      json_integer_value(json_object_get(sim_store_get(fixture->store, "w/epoch"), "number")), ==,
      1);
  fixture_free(fixture);
}

void
test_no_reap_while_launch_is_indeterminate(void)
{
  Fixture *fixture = fixture_new_with_job(FALSE);
  fixture_send_heartbeat(fixture, 1, one_task_in_state("exited", "done"));
  fixture_send_heartbeat(fixture, 1, one_task_in_state("exited", "done"));
  g_assert_false(fixture_has_command(fixture, "reap"));
  fixture_free(fixture);
}

/* After an acknowledged launch the same absence releases it at once, if the heartbeat carries our
   fencing token. */
void
test_absence_releases_after_acknowledged_launch(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_request(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
  fixture_send_heartbeat(fixture, 0, json_array());
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_send_heartbeat(fixture, 1, json_array());
  fixture_run(fixture, 1.0);
  g_assert_false(fixture_task_is_assigned(fixture));
  fixture_free(fixture);
}

/* A higher fencing token than ours means that we don't know the newest epoch. */
void
test_no_renewal_under_newer_fencing_token(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, 9, json_array());
  g_assert_cmpuint(fixture->status, ==, 503);
  fixture_free(fixture);
}

/* The leader asks again for a task whose assignment is on its way, on another machine, and then
   that transaction fails: the task must still be assigned once. It was assigned twice in one
   transaction, which broke ran_twice on a rough day of dvorak-lodni. */
void
test_task_is_assigned_once(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_request(fixture, "POST", "/v1/report",
                       fixture_heartbeat(fixture, "m-2", 0, 1, json_array()));
  fixture_send_request(fixture, "POST", "/v1/report",
                       fixture_heartbeat(fixture, "m-2", 1, 2, json_array()));
  json_t *second = fixture_submission_with_id("req-2");
  fixture->hold_assignment = TRUE;
  fixture_send_request(fixture, "POST", "/api/jobs", second);
  g_assert_cmpuint(fixture->held_call, !=, 0);
  fixture_request(fixture, WS_LISTENER_MESH, "POST", "/ask",
                  json_pack("{s:i, s:[[s, i, s], [s, i, s]], s:[]}", "epoch", 1, "picks", "req-2",
                            0, "m-1", "req-2", 0, "m-2", "stops"));
  fixture_reply(fixture, fixture->held_call, 409, NULL);
  fixture_handle_outputs(fixture);
  fixture_run(fixture, 1.0);
  const json_t *record = sim_store_get(fixture->store, "w/task/req-2/0");
  g_assert_cmpuint(json_array_size(json_object_get(record, "on")), ==, 1);
  fixture_free(fixture);
}

/* The tasks of a gang share their attempt, and when one ends early the others are stopped. */
void
test_gang_shares_attempt_and_halts_together(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  json_t *gang = fixture_submission_with_id("req-2");
  json_object_set_new(gang, "druh", json_string("group"));
  json_object_set_new(gang, "kusy", json_integer(2));
  fixture_send_request(fixture, "POST", "/api/jobs", gang);
  fixture_run(fixture, 1.0);
  const json_t *on = fixture_assignments(fixture, "req-2");
  g_assert_cmpuint(json_array_size(on), ==, 2);
  for (guint i = 0; i < 2; i++)
    g_assert_cmpint(json_integer_value(json_array_get(json_array_get(on, i), 2)), ==, 1);
  for (guint i = 0; i < 2; i++)
    fixture_send_heartbeat(fixture, 1,
                           json_pack("[{s:s, s:i, s:s, s:s}, {s:s, s:i, s:s}]", "kus", "req-2/0",
                                     "pokus", 1, "stav", "exited", "duvod", "error", "kus",
                                     "req-2/1", "pokus", 1, "stav", "running"));
  g_assert_true(fixture_has_command(fixture, "halt"));
  fixture_free(fixture);
}

/* A late transaction of an earlier run must not replace the member's record, so it's written on a
   condition; and a node whose record is gone all the same writes it again. */
void
test_member_record_is_conditional_and_restored(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  g_assert_true(transaction_has_condition(fixture->member_transaction, "w/member/n0"));
  fixture_write_key(fixture, "w/member/n0", NULL);
  fixture_run(fixture, 2.5);
  g_assert_true(sim_store_has(fixture->store, "w/member/n0"));
  fixture_free(fixture);
}

/* What is recorded for a machine that no rental batch names any more is released once its lease
   must be over: two jobs waited for ever for a machine that had been returned. */
void
test_unrecorded_machine_is_released_after_lease(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_write_key(fixture, "w/lot/a-1-0-1", NULL);
  fixture_run(fixture, 10.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_run(fixture, 6.0);
  g_assert_cmpuint(json_array_size(fixture_assignments(fixture, "req-1")), ==, 0);
  fixture_free(fixture);
}

/* A new leader assigns nothing before its replica has reached the epoch that it wrote: what was
   written until then may have come and gone again, and conditions on its absence would hold. */
void
test_new_leader_reads_before_assignment(void)
{
  Fixture *fixture = fixture_new_with_machine(TRUE);
  fixture->hold_watch = TRUE;
  fixture_restart(fixture);
  fixture_send_heartbeat(fixture, 2, json_array());
  fixture_send_request(fixture, "POST", "/api/jobs", fixture_submission());
  fixture_run(fixture, 2.0);
  g_assert_false(fixture_task_is_assigned(fixture));
  fixture_release_watch(fixture);
  fixture_send_heartbeat(fixture, 2, json_array());
  fixture_run(fixture, 1.5);
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_free(fixture);
}

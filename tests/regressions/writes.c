/**
 * Which records are written, and under which lease, epoch and fencing token.
 */
#include "regressions/regressions.h"

/* Every transaction that changes assignments is conditional on the records of the epoch, the job,
   the chunk of tasks and the team's resource use; one that assigns tasks also on the machine's
   record. */
void
test_assignment_writes_are_conditional(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  static const char *const CONDITION_KEYS[]
      = { "w/epoch", "w/job/req-1", "w/task/req-1/0", "w/team-use/0" };
  g_assert_true(transaction_has_condition(fixture->assignment_transaction, "w/lot/a-1000000-0-1"));
  fixture_send_heartbeat(fixture, 1, heartbeat_task_in_state("exited", "error"));
  for (guint k = 0; k < G_N_ELEMENTS(CONDITION_KEYS); k++)
    g_assert_true(transaction_has_condition(fixture->last_transaction, CONDITION_KEYS[k]));
  fixture_free(fixture);
}

/* The completion of a task is stored before the worker gets the command to reap the task, that is,
   to discard its own record of it. */
void
test_end_is_stored_before_reap(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, 1, heartbeat_task_in_state("exited", "done"));
  g_assert_false(fixture_has_command(fixture, "reap"));
  fixture_send_request(fixture, "GET", "/api/jobs/req-1", NULL);
  g_assert_cmpstr(json_string_value(json_object_get(fixture->answer, "stav")), ==, "done");
  fixture_send_heartbeat(fixture, 1, heartbeat_task_in_state("exited", "done"));
  g_assert_true(fixture_has_command(fixture, "reap"));
  fixture_free(fixture);
}

/* A heartbeat without the current fencing token may be a delayed duplicate: completions in it are
   ignored. */
void
test_no_release_without_current_fencing_token(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, 0, heartbeat_task_in_state("exited", "done"));
  fixture_send_request(fixture, "GET", "/api/jobs/req-1", NULL);
  g_assert_cmpstr(json_string_value(json_object_get(fixture->answer, "stav")), !=, "done");
  fixture_free(fixture);
}

/* A heartbeat with an old sequence number is answered, but changes no state, and the answer has no
   commands. */
void
test_stale_sequence_changes_nothing(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, 1, heartbeat_task_in_state("running", ""));
  fixture_send_request(fixture, "POST", "/v1/report",
                       fixture_heartbeat(fixture, "m-1", 1, 1, json_array()));
  g_assert_cmpuint(fixture->status, ==, 200);
  g_assert_false(fixture_has_command(fixture, "launch"));
  fixture_free(fixture);
}

/* A copy of a direct launch may be carried out later, whether or not the launch was answered.
   Absence of the cancelled task from heartbeats doesn't release it until the worker has shown a
   higher fencing token, since the worker rejects the copy from then on. */
void
test_no_release_while_copy_may_start(void)
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
  g_assert_cmpuint(fixture_answered_token(fixture), ==, 2);
  fixture_send_heartbeat(fixture, 2, json_array());
  fixture_run(fixture, 1.0);
  g_assert_false(fixture_task_is_assigned(fixture));
  fixture_free(fixture);
}

/* No epoch is started for the unanswered launch of an unreachable machine, since its worker can't
   receive a higher fencing token. Otherwise a new epoch started every 10 s during a partition.
   Where the epoch has one token: /late-copies/single-token-starts-no-epoch-for-unreachable-machine.
 */
void
test_no_epoch_for_unreachable_machine(void)
{
  Fixture *fixture = fixture_new_with_job(FALSE);
  fixture_run(fixture, 30.0);
  g_assert_cmpint(
      json_integer_value(json_object_get(sim_store_get(fixture->store, "w/epoch"), "number")), ==,
      EPOCH_NUMBER(1));
  fixture_free(fixture);
}

/* The worker gets no command to reap an attempt that was launched by a direct call, unless the
   answer raises its fencing token above that of the launch: without a record of the attempt, the
   worker would carry out a copy of the launch. */
void
test_no_reap_without_higher_fencing_token(void)
{
  static const gboolean IS_ANSWERED[] = { FALSE, TRUE };
  for (guint i = 0; i < G_N_ELEMENTS(IS_ANSWERED); i++) {
    Fixture *fixture = fixture_new_with_job(IS_ANSWERED[i]);
    fixture_send_heartbeat(fixture, 1, heartbeat_task_in_state("exited", "done"));
    g_assert_false(fixture_has_command(fixture, "reap"));
    fixture_send_heartbeat(fixture, 1, heartbeat_task_in_state("exited", "done"));
    g_assert_true(fixture_has_command(fixture, "reap"));
    g_assert_cmpuint(fixture_answered_token(fixture), ==, 2);
    fixture_free(fixture);
  }
}

/* Absence of the cancelled task has its worker's fencing token raised above that of the direct
   launch, and releases the task with the first heartbeat that has the higher token. */
void
test_absence_releases_under_higher_fencing_token(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_request(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
  fixture_send_heartbeat(fixture, 0, json_array());
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_send_heartbeat(fixture, 1, json_array());
  g_assert_cmpuint(fixture_answered_token(fixture), ==, 2);
  fixture_run(fixture, 1.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_send_heartbeat(fixture, 2, json_array());
  fixture_run(fixture, 1.0);
  g_assert_false(fixture_task_is_assigned(fixture));
  fixture_free(fixture);
}

/* A heartbeat with a higher fencing token shows that this node doesn't know the newest epoch: the
   node doesn't renew the worker's lease. */
void
test_no_renewal_under_newer_fencing_token(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, FIRST_TOKEN(2), json_array());
  g_assert_cmpuint(fixture->status, ==, 503);
  fixture_free(fixture);
}

/* The leader requests the assignment of a task again, on another machine, while the transaction
   that assigns it is in flight; then that transaction fails. The task must still be assigned only
   once: it was assigned twice in one transaction, which violated the invariant ran_twice. */
void
test_task_is_assigned_once(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_request(fixture, "POST", "/v1/report",
                       fixture_heartbeat(fixture, "m-2", 0, 1, json_array()));
  fixture_send_request(fixture, "POST", "/v1/report",
                       fixture_heartbeat(fixture, "m-2", 1, 2, json_array()));
  json_t *second_job = fixture_submission_with_id("req-2");
  fixture->hold_assignment = TRUE;
  fixture_send_request(fixture, "POST", "/api/jobs", second_job);
  g_assert_cmpuint(fixture->held_call, !=, 0);
  fixture_request(fixture, WS_LISTENER_PEERS, "POST", "/ask",
                  json_pack("{s:i, s:[[s, i, s], [s, i, s]], s:[]}", "epoch", (int)EPOCH_NUMBER(1),
                            "picks", "req-2", 0, "m-1", "req-2", 0, "m-2", "stops"));
  fixture_reply(fixture, fixture->held_call, 409, NULL);
  fixture_handle_outputs(fixture);
  fixture_run(fixture, 1.0);
  const json_t *record = sim_store_get(fixture->store, "w/task/req-2/0");
  g_assert_cmpuint(json_array_size(json_object_get(record, "on")), ==, 1);
  fixture_free(fixture);
}

/* The tasks of a gang have the same attempt number, and when one task fails the others are halted.
 */
void
test_gang_shares_attempt_and_halts_together(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  json_t *gang = fixture_submission_with_id("req-2");
  json_object_set_new(gang, "druh", json_string("group"));
  json_object_set_new(gang, "kusy", json_integer(2));
  fixture_send_request(fixture, "POST", "/api/jobs", gang);
  fixture_run(fixture, 1.0);
  const json_t *assignments = fixture_assignments(fixture, "req-2");
  g_assert_cmpuint(json_array_size(assignments), ==, 2);
  for (guint i = 0; i < 2; i++)
    g_assert_cmpint(json_integer_value(json_array_get(json_array_get(assignments, i), 2)), ==, 1);
  for (guint i = 0; i < 2; i++)
    fixture_send_heartbeat(fixture, 1,
                           json_pack("[{s:s, s:i, s:s, s:s}, {s:s, s:i, s:s}]", "kus", "req-2/0",
                                     "pokus", 1, "stav", "exited", "duvod", "error", "kus",
                                     "req-2/1", "pokus", 1, "stav", "running"));
  g_assert_true(fixture_has_command(fixture, "halt"));
  fixture_free(fixture);
}

/* A node writes its member record conditionally, so that a delayed transaction of an earlier run
   can't replace the record of the current one. If its record is removed, the node writes it again.
 */
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

/* The tasks on a machine that is no longer in any rental batch are released once the machine's
   lease must have expired. Without this, two jobs waited indefinitely for a returned machine. */
void
test_unrecorded_machine_is_released_after_lease(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_write_key(fixture, "w/lot/a-1000000-0-1", NULL);
  fixture_run(fixture, 10.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_run(fixture, 6.0);
  g_assert_cmpuint(json_array_size(fixture_assignments(fixture, "req-1")), ==, 0);
  fixture_free(fixture);
}

/* A new leader assigns no task before its replica has reached the revision of the epoch that it
   wrote. A record that was written and removed before that revision is missing from the replica, so
   conditions on the record's absence would be met although the decision is stale. */
void
test_new_leader_reads_before_assignment(void)
{
  Fixture *fixture = fixture_new_with_machine(TRUE);
  fixture->hold_watch = TRUE;
  fixture_restart(fixture);
  fixture_send_heartbeat(fixture, FIRST_TOKEN(2), json_array());
  fixture_send_request(fixture, "POST", "/api/jobs", fixture_submission());
  fixture_run(fixture, 2.0);
  g_assert_false(fixture_task_is_assigned(fixture));
  fixture_release_watch(fixture);
  fixture_send_heartbeat(fixture, FIRST_TOKEN(2), json_array());
  fixture_run(fixture, 1.5);
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_free(fixture);
}

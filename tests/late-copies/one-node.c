/**
 * One controller and scripted workers: which fencing token its commands and answers carry.
 */
#include "late-copies/late-copies.h"

#include "context/ws-context.h"
#include "sim/fixture.h"
#include "storage/ws-cluster-records.h"

#define COMMIT_WAIT_S 1.0
#define OUTBOUND_MARGIN_S 4.0
#define FENCE_WAIT_S 12
#define PEER_TIMEOUT_S 8.0 /* n0 has entered the epoch with n1, and no longer reaches it */
#define HELD_EXITS_BEFORE_BUMP 101

/* The task list of a heartbeat with an attempt of the task req-1/0 that has exited with an error.
 */
static json_t *
exited_attempt(guint64 attempt)
{
  return json_pack("[{s:s, s:I, s:s, s:s}]", "kus", "req-1/0", "pokus", (json_int_t)attempt, "stav",
                   "exited", "duvod", "error");
}

static guint64
direct_call_token(const Fixture *fixture)
{
  return (guint64)json_integer_value(json_object_get(fixture->direct_call, "pecet"));
}

/* The operation of the i-th command of the last direct call. */
static const char *
direct_operation(const Fixture *fixture, guint i)
{
  const json_t *commands = json_object_get(fixture->direct_call, "prikazy");
  return json_string_value(json_object_get(json_array_get(commands, i), "ukon"));
}

static guint64
epoch_number(const Fixture *fixture)
{
  return (guint64)json_integer_value(
      json_object_get(sim_store_get(fixture->store, "w/epoch"), "number"));
}

/* The worker's reply to the halts must mean that no copy can start the cancelled task. */
void
test_owner_halts_under_higher_token(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  g_assert_cmpuint(direct_call_token(fixture), ==, 1);
  fixture_send_request(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
  g_assert_cmpstr(direct_operation(fixture, 0), ==, "halt");
  g_assert_cmpuint(direct_call_token(fixture), ==, 2);
  fixture_free(fixture);
}

/* The new attempt would come back as busy while the worker holds the first one. */
void
test_launch_reaps_held_exit_under_higher_token(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, 1, exited_attempt(1));
  guint calls = fixture->direct_commands;
  fixture_write_key(fixture, "w/task/req-1/0",
                    json_pack("{s:i, s:[[i, s, i, i]], s:s}", "a", 2, "on", 0, "m-1", 2, 1000, "d",
                              "00000000000000000000000000000000"));
  fixture_run(fixture, COMMIT_WAIT_S);
  g_assert_cmpuint(fixture->direct_commands, ==, calls + 1);
  g_assert_cmpstr(direct_operation(fixture, 0), ==, "reap");
  g_assert_cmpstr(direct_operation(fixture, 1), ==, "launch");
  g_assert_cmpuint(direct_call_token(fixture), ==, 2);
  fixture_free(fixture);
}

/* The token was raised while the call was on its way; it is sent again once. */
void
test_rejected_launch_is_sent_again(void)
{
  Fixture *fixture = fixture_new_with_machine(TRUE);
  fixture->command_report = fixture_heartbeat(fixture, "m-1", 5, 100, json_array());
  fixture_send_request(fixture, "POST", "/api/jobs", fixture_submission());
  fixture_run(fixture, COMMIT_WAIT_S);
  g_assert_cmpuint(fixture->direct_commands, ==, 2);
  g_assert_cmpuint(direct_call_token(fixture), ==, 5);
  g_assert_cmpstr(direct_operation(fixture, 0), ==, "launch");
  fixture_free(fixture);
}

/* It would carry out any copy; its heartbeat is older than the last one. */
void
test_restarted_worker_gets_higher_token(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_post_heartbeat(fixture, "m-1", 0, 1, json_array());
  g_assert_cmpuint(fixture->status, ==, 200);
  g_assert_cmpuint(fixture_answered_token(fixture), ==, 2);
  g_assert_false(fixture_has_command(fixture, "launch"));
  fixture_free(fixture);
}

/* Earlier heartbeats of the restarted worker were lost. */
void
test_restarted_worker_with_newer_heartbeat_gets_higher_token(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, 0, json_array());
  g_assert_cmpuint(fixture_answered_token(fixture), ==, 2);
  fixture_free(fixture);
}

/* The worker drops a lower token, and refuses its owner's commands after a higher one. */
void
test_answer_without_owner_keeps_token(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture->peers_unreachable = TRUE;
  fixture_write_key(fixture, "w/member/n1", ws_member_encode(1));
  fixture_run(fixture, PEER_TIMEOUT_S);
  guint64 token = FIRST_TOKEN(2) + 7;
  guint answered = 0;
  for (guint i = 0; i < 20; i++) {
    g_autofree char *name = g_strdup_printf("m-%u", i);
    if (ws_epoch_owner(&fixture->core->replica->epoch, name, fixture->settings) != 1)
      continue;
    fixture_post_heartbeat(fixture, name, token, 1, json_array());
    g_assert_cmpuint(fixture->status, ==, 200);
    g_assert_cmpuint(fixture_answered_token(fixture), ==, token);
    fixture_post_heartbeat(fixture, name, 1, 2, json_array());
    g_assert_cmpuint(fixture_answered_token(fixture), ==, FIRST_TOKEN(2));
    answered++;
  }
  g_assert_cmpuint(answered, >, 0);
  fixture_free(fixture);
}

/* The first machine of n0's other than @except, which may be NULL. The caller frees the name. */
static char *
find_machine_of_n0(const Fixture *fixture, const char *except)
{
  for (guint i = 0;; i++) {
    char *name = g_strdup_printf("m-%u", i);
    if (ws_epoch_owner(&fixture->core->replica->epoch, name, fixture->settings) == 0
        && g_strcmp0(name, except) != 0)
      return name;
    g_free(name);
  }
}

/* A cluster with a member that doesn't know ranges of tokens. Returns a machine of n0's that has
   had a direct launch; the caller frees the name. */
static char *
begin_single_token(Fixture *fixture)
{
  fixture_write_key(fixture, "w/member/n1", json_pack("{s:i}", "incarnation", 1));
  fixture_run(fixture, 1.5);
  g_assert_cmpuint(epoch_number(fixture), ==, EPOCH_NUMBER(1) + 1);
  char *name = find_machine_of_n0(fixture, NULL);
  fixture_post_heartbeat(fixture, name, 0, 1, json_array());
  fixture_run(fixture, 0.3);
  fixture_post_heartbeat(fixture, name, epoch_number(fixture), 2, json_array());
  fixture_run(fixture, 0.3);
  fixture_send_request(fixture, "POST", "/api/jobs", fixture_submission());
  fixture_write_key(fixture, "w/task/req-1/0",
                    json_pack("{s:i, s:[[i, s, i, i]], s:s}", "a", 1, "on", 0, name, 1, 1000, "d",
                              "00000000000000000000000000000000"));
  fixture_run(fixture, COMMIT_WAIT_S);
  g_assert_cmpuint(direct_call_token(fixture), ==, epoch_number(fixture));
  return name;
}

/* No token of this epoch refuses the copies of the launch. */
void
test_single_token_reaps_in_next_epoch(void)
{
  Fixture *fixture = fixture_new(TRUE);
  g_autofree char *name = begin_single_token(fixture);
  guint64 number = epoch_number(fixture);
  fixture_post_heartbeat(fixture, name, number, 3, exited_attempt(1));
  fixture_run(fixture, COMMIT_WAIT_S);
  fixture_post_heartbeat(fixture, name, number, 4, exited_attempt(1));
  g_assert_false(fixture_has_command(fixture, "reap"));
  g_assert_cmpuint(fixture_answered_token(fixture), ==, number);
  fixture_write_key(fixture, "w/member/n1", json_pack("{s:i}", "incarnation", 2));
  fixture_run(fixture, 1.5);
  g_assert_cmpuint(epoch_number(fixture), ==, number + 1);
  fixture_post_heartbeat(fixture, name, number, 5, exited_attempt(1));
  g_assert_false(fixture_has_command(fixture, "reap"));
  fixture_post_heartbeat(fixture, name, number + 1, 6, exited_attempt(1));
  g_assert_true(fixture_has_command(fixture, "reap"));
  fixture_free(fixture);
}

static json_t *
many_exits(guint count)
{
  json_t *tasks = json_array();
  for (guint i = 0; i < count; i++) {
    g_autofree char *task = g_strdup_printf("req-9/%u", i);
    json_array_append_new(tasks, json_pack("{s:s, s:i, s:s, s:s}", "kus", task, "pokus", 1, "stav",
                                           "exited", "duvod", "done"));
  }
  return tasks;
}

/* One held exit isn't worth an epoch; many are, before they fill the heartbeats. */
void
test_single_token_bumps_epoch_for_many_exits(void)
{
  Fixture *fixture = fixture_new(TRUE);
  g_autofree char *name = begin_single_token(fixture);
  guint64 number = epoch_number(fixture);
  guint64 sequence = 2;
  for (; sequence < 14; sequence++) {
    fixture_post_heartbeat(fixture, name, number, sequence + 1, exited_attempt(1));
    fixture_run(fixture, COMMIT_WAIT_S);
  }
  g_assert_cmpuint(epoch_number(fixture), ==, number);
  fixture_post_heartbeat(fixture, name, number, sequence + 1, many_exits(HELD_EXITS_BEFORE_BUMP));
  fixture_run(fixture, COMMIT_WAIT_S);
  g_assert_cmpuint(epoch_number(fixture), ==, number + 1);
  fixture_free(fixture);
}

/* What waits for the token must not wait for ever. */
void
test_worker_without_raised_token_is_terminated(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->properties->idle_timeout_s = 600.0;
  guint heartbeats = (guint)((fixture->settings->lease_s + OUTBOUND_MARGIN_S) / COMMIT_WAIT_S);
  for (guint i = 0; i < heartbeats; i++) {
    fixture_send_heartbeat(fixture, 1, exited_attempt(1));
    fixture_run(fixture, COMMIT_WAIT_S);
  }
  const json_t *mark = sim_store_get(fixture->store, "w/mark/m-1");
  g_assert_cmpstr(json_string_value(json_object_get(mark, "why")), ==, "deaf");
  fixture_free(fixture);
}

/* The token of a new epoch wouldn't reach it; while its heartbeats arrive, one is started. */
void
test_single_token_starts_no_epoch_for_unreachable_machine(void)
{
  static const guint HEARTBEATS[] = { 1, FENCE_WAIT_S }; /* in FENCE_WAIT_S seconds */
  for (guint i = 0; i < G_N_ELEMENTS(HEARTBEATS); i++) {
    Fixture *fixture = fixture_new(FALSE);
    fixture->settings->cancel_s = 600.0; /* the machine isn't returned for the cancelled task */
    g_autofree char *name = begin_single_token(fixture);
    guint64 number = epoch_number(fixture);
    fixture_send_request(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
    for (guint k = 0; k < HEARTBEATS[i]; k++) {
      fixture_post_heartbeat(fixture, name, number, 3 + k, json_array());
      fixture_run(fixture, COMMIT_WAIT_S);
    }
    fixture_run(fixture, (FENCE_WAIT_S - HEARTBEATS[i]) * COMMIT_WAIT_S);
    g_assert_cmpuint(epoch_number(fixture), ==, i == 0 ? number : number + 1);
    fixture_free(fixture);
  }
}

/* It has the image, but would reject the next attempt. */
void
test_single_token_avoids_machine_with_held_exit(void)
{
  Fixture *fixture = fixture_new(FALSE);
  g_autofree char *name = begin_single_token(fixture);
  guint64 number = epoch_number(fixture);
  json_t *running = json_pack("[{s:s, s:i, s:s}]", "kus", "req-1/0", "pokus", 1, "stav", "running");
  fixture_post_heartbeat(fixture, name, number, 3, running);
  g_autofree char *other = find_machine_of_n0(fixture, name);
  fixture_post_heartbeat(fixture, other, 0, 1, json_array());
  fixture_run(fixture, 0.3);
  fixture_post_heartbeat(fixture, other, number, 2, json_array());
  fixture_run(fixture, 0.3);
  json_t *stopped = json_pack("[{s:s, s:i, s:s, s:s}]", "kus", "req-1/0", "pokus", 1, "stav",
                              "exited", "duvod", "stopped");
  fixture_post_heartbeat(fixture, name, number, 4, stopped);
  fixture_run(fixture, COMMIT_WAIT_S);
  const json_t *assignment = json_array_get(fixture_assignments(fixture, "req-1"), 0);
  g_assert_cmpstr(json_string_value(json_array_get(assignment, 1)), ==, other);
  fixture_free(fixture);
}

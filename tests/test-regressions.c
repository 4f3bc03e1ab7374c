/* One controller and one scripted worker: the guards that random schedules rarely lean on. Each
   test fails when its guard is taken out. */
#include "protocol/ws-json.h"
#include "sim/fixture.h"
#include "ws-suite.h"

#include <string.h>

static json_t *
one_task(const char *state, const char *why)
{
  return json_pack("[{s:s, s:i, s:s, s:s}]", "kus", "req-1/0", "pokus", 1, "stav", state, "duvod",
                   why);
}

/* Whether the list of the transaction has an item whose field names the key. */
static gboolean
names_key(const json_t *txn, const char *list, const char *field, const char *key)
{
  size_t i;
  const json_t *item;
  json_array_foreach(json_object_get(txn, list), i, item)
  {
    if (g_strcmp0(json_string_value(json_object_get(item, field)), key) == 0)
      return TRUE;
  }
  return FALSE;
}

static gboolean
has_condition(const json_t *txn, const char *key)
{
  return names_key(txn, "if", "k", key);
}

/* Every write of assignments carries the epoch, the job and the team as conditions. */
static void
test_assignment_writes_are_conditional(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  static const char *const KEYS[] = { "w/epoch", "w/job/req-1", "w/task/req-1/0", "w/team-use/0" };
  g_assert_true(has_condition(fixture->assignment_transaction, "w/lot/a-1-0-1"));
  fixture_send_heartbeat(fixture, 1, one_task("exited", "error"));
  for (guint k = 0; k < G_N_ELEMENTS(KEYS); k++)
    g_assert_true(has_condition(fixture->last_transaction, KEYS[k]));
  fixture_free(fixture);
}

/* The end of a task is written before the worker may forget it. */
static void
test_end_is_stored_before_reap(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, 1, one_task("exited", "done"));
  g_assert_false(fixture_has_command(fixture, "reap"));
  fixture_call(fixture, "GET", "/api/jobs/req-1", NULL);
  g_assert_cmpstr(json_string_value(json_object_get(fixture->answer, "stav")), ==, "done");
  fixture_send_heartbeat(fixture, 1, one_task("exited", "done"));
  g_assert_true(fixture_has_command(fixture, "reap"));
  fixture_free(fixture);
}

/* A report without our token may be a late copy: its ends are not believed. */
static void
test_no_release_without_current_fencing_token(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, 0, one_task("exited", "done"));
  fixture_call(fixture, "GET", "/api/jobs/req-1", NULL);
  g_assert_cmpstr(json_string_value(json_object_get(fixture->answer, "stav")), !=, "done");
  fixture_free(fixture);
}

/* An older message is answered, but changes nothing and orders nothing. */
static void
test_stale_sequence_changes_nothing(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_heartbeat(fixture, 1, one_task("running", ""));
  fixture_call(fixture, "POST", "/v1/report",
               fixture_heartbeat(fixture, "m-1", 1, 1, json_array()));
  g_assert_cmpuint(fixture->status, ==, 200);
  g_assert_false(fixture_has_command(fixture, "launch"));
  fixture_free(fixture);
}

/* A cancelled task whose direct launch had no answer isn't released for being absent, nor may the
   worker forget an attempt, until the worker has seen a higher token. */
static void
test_no_release_while_launch_is_indeterminate(void)
{
  Fixture *fixture = fixture_new_with_job(FALSE);
  fixture_call(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
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

/* A machine that isn't heard doesn't learn a higher token: no epoch is begun for its doubt. They
   followed one another every 10 s while a zone was cut off. */
static void
test_no_epoch_for_unreachable_machine(void)
{
  Fixture *fixture = fixture_new_with_job(FALSE);
  fixture_run(fixture, 30.0);
  g_assert_cmpint(
      json_integer_value(json_object_get(sim_store_get(fixture->store, "w/epoch"), "number")), ==,
      1);
  fixture_free(fixture);
}

static void
test_no_reap_while_launch_is_indeterminate(void)
{
  Fixture *fixture = fixture_new_with_job(FALSE);
  fixture_send_heartbeat(fixture, 1, one_task("exited", "done"));
  fixture_send_heartbeat(fixture, 1, one_task("exited", "done"));
  g_assert_false(fixture_has_command(fixture, "reap"));
  fixture_free(fixture);
}

/* Without doubt the same absence releases it at once, if the report carries our token. */
static void
test_absence_releases_after_acknowledged_launch(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_call(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
  fixture_send_heartbeat(fixture, 0, json_array());
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_send_heartbeat(fixture, 1, json_array());
  fixture_run(fixture, 1.0);
  g_assert_false(fixture_task_is_assigned(fixture));
  fixture_free(fixture);
}

/* A higher token than ours means that we don't know the newest epoch. */
static void
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
static void
test_task_is_assigned_once(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_call(fixture, "POST", "/v1/report",
               fixture_heartbeat(fixture, "m-2", 0, 1, json_array()));
  fixture_call(fixture, "POST", "/v1/report",
               fixture_heartbeat(fixture, "m-2", 1, 2, json_array()));
  json_t *second = fixture_submission();
  json_object_set_new(second, "id", json_string("req-2"));
  fixture->hold_assignment = TRUE;
  fixture_call(fixture, "POST", "/api/jobs", second);
  g_assert_cmpuint(fixture->held_call, !=, 0);
  fixture_request(fixture, WS_DOOR_MESH, "POST", "/ask",
                  json_pack("{s:i, s:[[s, i, s], [s, i, s]], s:[]}", "epoch", 1, "picks", "req-2",
                            0, "m-1", "req-2", 0, "m-2", "stops"));
  fixture_reply(fixture, fixture->held_call, 409, NULL);
  fixture_pump(fixture);
  fixture_run(fixture, 1.0);
  const json_t *record = sim_store_get(fixture->store, "w/task/req-2/0");
  g_assert_cmpuint(json_array_size(json_object_get(record, "on")), ==, 1);
  fixture_free(fixture);
}

/* The tasks of a gang share their attempt, and when one ends early the others are stopped. */
static void
test_gang_shares_attempt_and_halts_together(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  json_t *gang = fixture_submission();
  json_object_set_new(gang, "id", json_string("req-2"));
  json_object_set_new(gang, "druh", json_string("group"));
  json_object_set_new(gang, "kusy", json_integer(2));
  fixture_call(fixture, "POST", "/api/jobs", gang);
  fixture_run(fixture, 1.0);
  const json_t *on = json_object_get(sim_store_get(fixture->store, "w/task/req-2/0"), "on");
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
static void
test_member_record_is_conditional_and_restored(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  g_assert_true(has_condition(fixture->member_transaction, "w/member/n0"));
  fixture_write_key(fixture, "w/member/n0", NULL);
  fixture_run(fixture, 2.5);
  g_assert_true(sim_store_has(fixture->store, "w/member/n0"));
  fixture_free(fixture);
}

/* A late report of a machine that was returned must not bring it back as a new one. */
static void
test_returned_machine_is_not_recorded_again(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_write_key(fixture, "w/lot/a-1-0-1", NULL);
  fixture_run(fixture, 0.5);
  fixture_send_heartbeat(fixture, 1, json_array());
  g_assert_cmpuint(fixture->status, ==, 503);
  fixture_run(fixture, 1.0);
  g_assert_false(sim_store_has(fixture->store, "w/lot/a-1-0-1"));
  fixture_free(fixture);
}

/* A copy of an old report, from a machine that was returned before this run of the controller
   began, names an old token: nothing is recorded for it. The machine itself would show ours next
   time. */
static void
test_stale_token_records_no_machine(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_post_heartbeat(fixture, "m-9", 0, 5, json_array());
  fixture_run(fixture, 2.0);
  fixture_post_heartbeat(fixture, "m-9", 0, 6, json_array());
  fixture_run(fixture, 2.0);
  g_assert_false(sim_store_lists_name(fixture->store, "w/lot/", "m-9"));
  fixture_post_heartbeat(fixture, "m-9", 1, 7, json_array());
  fixture_run(fixture, 1.0);
  g_assert_true(sim_store_lists_name(fixture->store, "w/lot/", "m-9"));
  fixture_free(fixture);
}

/* When the ends of many tasks come at once, as after a cut, the assignment of a critical task isn't
   written after all of them. */
static void
test_critical_assignment_precedes_releases(void)
{
  enum { JOBS = 12 };
  Fixture *fixture = fixture_new(TRUE);
  for (guint64 sequence = 1; sequence <= 2 + JOBS; sequence++) {
    for (guint m = 0; m < JOBS; m++) {
      g_autofree char *machine = g_strdup_printf("m-1%u", m);
      fixture_post_heartbeat(fixture, machine, sequence == 1 ? 0 : 1, sequence, json_array());
    }
    fixture_run(fixture, 0.5);
    if (sequence <= 2)
      continue;
    guint number = (guint)sequence - 3;
    g_autofree char *id = g_strdup_printf("req-1%u", number);
    json_t *job = fixture_submission();
    json_object_set_new(job, "id", json_string(id));
    json_object_set_new(job, "dilna", json_string(number < 5 ? "red" : "blue"));
    json_object_set_new(job, "cpus", json_real(20.0)); /* one on each machine */
    fixture_call(fixture, "POST", "/api/jobs", job);
  }
  fixture_run(fixture, 1.0);
  fixture->hold_assignment = TRUE;
  for (guint number = 0; number < JOBS; number++) {
    g_autofree char *key = g_strdup_printf("w/task/req-1%u/0", number);
    g_autofree char *task = g_strdup_printf("req-1%u/0", number);
    const json_t *on = json_object_get(sim_store_get(fixture->store, key), "on");
    g_assert_cmpuint(json_array_size(on), ==, 1);
    fixture_post_heartbeat(fixture, json_string_value(json_array_get(json_array_get(on, 0), 1)), 1,
                           100,
                           json_pack("[{s:s, s:i, s:s, s:s}]", "kus", task, "pokus", 1, "stav",
                                     "exited", "duvod", "done"));
  }
  json_t *critical = fixture_submission();
  json_object_set_new(critical, "id", json_string("req-9"));
  json_object_set_new(critical, "prednost", json_string("critical"));
  fixture_call(fixture, "POST", "/api/jobs", critical);
  json_t *before = fixture->last_transaction;
  fixture_reply(fixture, fixture->held_call, 409, NULL);
  fixture_pump(fixture);
  for (guint i = 0; i < 20 && fixture->last_transaction == before; i++)
    fixture_run(fixture, 0.05);
  g_assert_true(names_key(fixture->last_transaction, "apply", "set", "w/task/req-9/0"));
  fixture_free(fixture);
}

/* Reports of sixteen machines, less the first few, passed on by another node or sent here. */
static void
report_all(Fixture *fixture, guint first, guint64 fencing_token, guint64 sequence,
           gboolean is_relayed)
{
  for (guint m = first; m < 16; m++) {
    g_autofree char *name = g_strdup_printf("m-1%02u", m);
    if (!is_relayed) {
      fixture_post_heartbeat(fixture, name, fencing_token, sequence, json_array());
      continue;
    }
    g_autoptr(json_t) report
        = fixture_heartbeat(fixture, name, fencing_token, sequence, json_array());
    g_autofree char *report_text = ws_json_text(report);
    fixture_request(fixture, WS_DOOR_MESH, "POST", "/relay",
                    json_pack("{s:i, s:s, s:s}", "epoch", 1, "owner", "n0", "report", report_text));
  }
}

/* A node that no worker reaches doesn't take those that the others have not passed on for dead:
   with hundreds of machines 290 live ones were returned. Once it is reached, it does. */
static void
test_no_termination_by_unreachable_node(void)
{
  Fixture *fixture = fixture_new(TRUE);
  guint64 sequence = 0;
  for (guint i = 0; i < 3; i++) {
    report_all(fixture, 0, i == 0 ? 0 : 1, ++sequence, FALSE);
    fixture_run(fixture, 1.5);
  }
  for (guint i = 0; i < 5; i++) {
    report_all(fixture, 2, 1, ++sequence, TRUE);
    fixture_run(fixture, 1.5);
  }
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 0);
  report_all(fixture, 2, 1, ++sequence, FALSE);
  fixture_run(fixture, 1.2);
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 2);
  fixture_free(fixture);
}

/* Behind a cut some machines were heard a little earlier than the others. They aren't taken for
   dead while it doesn't show yet that all are silent: 90 were returned whose tasks went on. */
static void
test_no_termination_while_partition_emerges(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture->zone = "b";
  fixture->spot = TRUE;
  report_all(fixture, 0, 0, 1, FALSE);
  fixture_run(fixture, 1.5);
  report_all(fixture, 0, 1, 2, FALSE);
  fixture_run(fixture, 2.3);
  report_all(fixture, 8, 1, 3, FALSE);
  fixture->peers_unreachable = TRUE;
  fixture->zone = "a";
  for (guint64 sequence = 1; sequence <= 11; sequence++) {
    fixture_post_heartbeat(fixture, "m-1", sequence == 1 ? 0 : 1, sequence, json_array());
    fixture_run(fixture, 1.0);
  }
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 0);
  fixture_free(fixture);
}

/* Where reports come 5 s apart, a machine that showed an old token last time hasn't had the time to
   show ours after 4 s: it's used all the same. After several epochs in a row the whole fleet looked
   deaf. */
static void
test_slow_heartbeats_keep_machine_eligible(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->settings->report_s = 5.0;
  fixture->settings->lease_s = 26.0;
  fixture_send_heartbeat(fixture, 0, one_task("running", ""));
  fixture_run(fixture, 4.5);
  json_t *second = fixture_submission();
  json_object_set_new(second, "id", json_string("req-2"));
  fixture_call(fixture, "POST", "/api/jobs", second);
  fixture_run(fixture, 0.5);
  g_assert_true(sim_store_has(fixture->store, "w/task/req-2/0"));
  fixture_free(fixture);
}

/* What is silent behind a cut doesn't make a machine elsewhere wait, that died meanwhile: dozens
   were given up only after a lease. */
static void
test_death_outside_partition_is_detected(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture->zone = "b";
  for (guint64 sequence = 1; sequence <= 2; sequence++) {
    report_all(fixture, 0, sequence == 1 ? 0 : 1, sequence, FALSE);
    fixture->zone = "a";
    fixture_post_heartbeat(fixture, "m-2", sequence == 1 ? 0 : 1, sequence, json_array());
    fixture->zone = "b";
    fixture_run(fixture, 1.5);
  }
  fixture->peers_unreachable = TRUE;
  fixture->zone = "a";
  for (guint64 sequence = 1; sequence <= 8; sequence++) {
    fixture_post_heartbeat(fixture, "m-1", sequence == 1 ? 0 : 1, sequence, json_array());
    fixture_run(fixture, 1.0);
  }
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 1);
  g_assert_true(sim_store_has(fixture->store, "w/mark/m-2"));
  fixture_free(fixture);
}

/* A zone in which no controller is counts as cut off when most of its machines are silent together:
   none is rented there, and they are given up only after several leases. On a rough day 85 were
   marked and returned in the middle of a cut, which took the changes that waiting work needed. */
static void
test_zone_without_controller_has_grace_period(void)
{
  Fixture *fixture = fixture_new(TRUE);
  g_ptr_array_add(fixture->settings->zones, g_strdup("d"));
  fixture_restart(fixture);
  fixture->zone = "d";
  for (guint64 sequence = 1; sequence <= 3; sequence++) {
    report_all(fixture, 0, sequence == 1 ? 1 : 2, sequence, FALSE);
    fixture_run(fixture, 1.5);
  }
  fixture_run(fixture, 2.0 * fixture->settings->lease_s);
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 0);
  fixture_run(fixture, 2.0 * fixture->settings->lease_s);
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 16);
  fixture_free(fixture);
}

/* Six tasks on six machines of the zone, and the controller begins anew. */
static Fixture *
restarted_fixture(const char *zone, gboolean peers_silent)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture->zone = zone;
  fixture->spot = TRUE;
  for (guint64 sequence = 1; sequence <= 3; sequence++) {
    report_all(fixture, 0, sequence == 1 ? 0 : 1, sequence, FALSE);
    fixture_run(fixture, 1.5);
  }
  json_t *job = fixture_submission();
  json_object_set_new(job, "kusy", json_integer(6));
  json_object_set_new(job, "cpus", json_real(32.0));
  json_object_set_new(job, "vypujcky", json_true());
  fixture_call(fixture, "POST", "/api/jobs", job);
  fixture_run(fixture, 1.0);
  g_assert_cmpuint(
      json_array_size(json_object_get(sim_store_get(fixture->store, "w/task/req-1/0"), "on")), ==,
      6);
  fixture->peers_unreachable = peers_silent;
  fixture_restart(fixture);
  return fixture;
}

/* A controller that begins beside a cut has never heard the machines behind it. They aren't taken
   for dead all the same: 148 were returned whose tasks went on. */
static void
test_no_termination_after_restart_in_partition(void)
{
  Fixture *fixture = restarted_fixture("b", TRUE);
  fixture_run(fixture, 40.0);
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 0);
  fixture_free(fixture);
}

/* Where nothing is cut off, they have the time to wait for their old node in vain and to find this
   one; then they are given up. */
static void
test_new_owner_waits_before_termination(void)
{
  Fixture *fixture = restarted_fixture("a", FALSE);
  fixture_run(fixture, 14.5); /* the first of them are in the lease of its last run */
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 0);
  fixture_run(fixture, 6.0);
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 16);
  fixture_free(fixture);
}

/* A node that stood still while its clocks ran on takes nothing for granted: it answers no worker
   and marks nothing, before it has renewed its lease and read. */
static void
test_stalled_node_renews_before_it_answers(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->now_ms += 30000;
  fixture_post_heartbeat(fixture, "m-1", 1, 50, one_task("running", ""));
  g_assert_cmpuint(fixture->status, ==, 503);
  fixture_run(fixture, 2.0);
  fixture_post_heartbeat(fixture, "m-1", 1, 51, one_task("running", ""));
  g_assert_cmpuint(fixture->status, ==, 200);
  fixture_run(fixture, 2.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 0);
  fixture_free(fixture);
}

/* A machine that is empty during an outage isn't idle: nothing could be placed on it. */
static void
test_no_idle_timeout_during_outage(void)
{
  Fixture *fixture = fixture_new(TRUE);
  for (guint64 sequence = 1; sequence <= 30; sequence++) {
    fixture->store_unavailable = fixture->peers_unreachable = sequence >= 6 && sequence < 20;
    fixture_post_heartbeat(fixture, "m-2", sequence == 1 ? 0 : 1, sequence, json_array());
    fixture_run(fixture, 1.0);
  }
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 0);
  for (guint64 sequence = 31; sequence <= 50; sequence++) {
    fixture_post_heartbeat(fixture, "m-2", 1, sequence, json_array());
    fixture_run(fixture, 1.0);
  }
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 1);
  fixture_free(fixture);
}

/* A peer's word that a job is cancelled counts whatever the records say: its task is halted, and
   not launched again in a new session. What can't be understood changes nothing. */
static void
test_peer_cancellation_halts_task(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_peer_message(fixture, "/cancelled",
                            json_pack("{s:s, s:[[s]]}", "node", "n1", "jobs", "req-1"));
  g_assert_cmpuint(fixture->status, ==, 400);
  fixture_send_peer_message(fixture, "/cancelled",
                            json_pack("{s:s, s:[[s, i]]}", "node", "n9", "jobs", "req-1", 0));
  g_assert_cmpuint(fixture->status, ==, 400);
  fixture_send_heartbeat(fixture, 1, one_task("running", ""));
  g_assert_false(fixture_has_command(fixture, "halt"));
  fixture_send_peer_message(fixture, "/cancelled",
                            json_pack("{s:s, s:[[s, i]]}", "node", "n1", "jobs", "req-1", 0));
  g_assert_cmpuint(fixture->status, ==, 200);
  fixture_send_heartbeat(fixture, 1, one_task("running", ""));
  g_assert_true(fixture_has_command(fixture, "halt"));
  fixture_send_heartbeat(fixture, 1, json_array());
  g_assert_false(fixture_has_command(fixture, "launch"));
  fixture_free(fixture);
}

/* Peers are told until each has acknowledged it, and then no more. */
static void
test_cancellation_is_redelivered_until_acknowledged(void)
{
  Fixture *fixture = fixture_new_with_job(FALSE);
  fixture_call(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
  g_assert_cmpuint(fixture->cancellations_sent, ==, 2);
  fixture_run(fixture, 3.0);
  g_assert_cmpuint(fixture->cancellations_sent, >=, 8);
  fixture->peers_acknowledge = TRUE;
  fixture_run(fixture, 1.0);
  guint told = fixture->cancellations_sent;
  fixture_run(fixture, 3.0);
  g_assert_cmpuint(fixture->cancellations_sent, ==, told);
  fixture_free(fixture);
}

static guint
status_of_report(Fixture *fixture, const char *machine, guint64 sequence)
{
  fixture_post_heartbeat(fixture, machine, 1, sequence, json_array());
  return fixture->status;
}

/* A node without state service and peers, which machines of other zones reach, stops renewing in
   time for what may have been confirmed without it: also those that come back to it. */
static void
test_isolated_node_stops_lease_renewal(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->zone = "b";
  g_assert_cmpuint(status_of_report(fixture, "m-2", 1), ==, 200);
  fixture->store_unavailable = fixture->peers_unreachable = TRUE;
  fixture_run(fixture, 5.0);
  g_assert_cmpuint(status_of_report(fixture, "m-2", 2), ==, 503);
  g_assert_cmpuint(status_of_report(fixture, "m-2", 3), ==, 200); /* it has found nobody else */
  fixture_run(fixture, 13.0);
  g_assert_cmpuint(status_of_report(fixture, "m-2", 4), ==, 503);
  g_assert_cmpuint(status_of_report(fixture, "m-2", 5), ==, 503);
  fixture_free(fixture);
}

/* If only its own zone reaches it, the zone is what is cut off, and its answers keep tasks alive.
 */
static void
test_partitioned_zone_keeps_lease_renewal(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->store_unavailable = fixture->peers_unreachable = TRUE;
  fixture_run(fixture, 25.0);
  fixture_send_heartbeat(fixture, 1, one_task("running", ""));
  g_assert_cmpuint(fixture->status, ==, 200);
  fixture_free(fixture);
}

/* In an outage for everybody tasks are launched (again) only when the peers have told all that they
   knew, and leases aren't renewed for ever before that. */
static void
test_no_launch_before_cancellations_are_acknowledged(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->unacknowledged_by_peers = 1;
  fixture->store_unavailable = fixture->peers_lack_store = TRUE;
  fixture_run(fixture, 5.0);
  fixture_send_heartbeat(fixture, 1, json_array());
  g_assert_cmpuint(fixture->status, ==, 200);
  g_assert_false(fixture_has_command(fixture, "launch"));
  fixture_run(fixture, 13.0);
  fixture_send_heartbeat(fixture, 1, one_task("running", ""));
  g_assert_cmpuint(fixture->status, ==, 503);
  fixture->unacknowledged_by_peers = 0;
  fixture_run(fixture, 2.0);
  fixture_send_heartbeat(fixture, 1, json_array());
  g_assert_cmpuint(fixture->status, ==, 200);
  g_assert_true(fixture_has_command(fixture, "launch"));
  fixture_free(fixture);
}

/* A machine that doesn't confirm a cancellation while the state service takes no mark is returned
   without one, and its record is mended afterwards: nothing leaks. */
static void
test_return_without_mark_leaks_nothing(void)
{
  Fixture *fixture = fixture_new_with_job(FALSE);
  fixture->cloud_confirms_returns = TRUE;
  fixture_call(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
  fixture->store_unavailable = fixture->peers_lack_store = TRUE;
  fixture_run(fixture, 16.0);
  g_assert_cmpuint(fixture->returns_requested, ==, 0);
  fixture_run(fixture, 6.0);
  g_assert_cmpuint(fixture->returns_requested, ==, 1);
  g_assert_true(sim_store_lists_name(fixture->store, "w/lot/", "m-1"));
  fixture->store_unavailable = fixture->peers_lack_store = FALSE;
  fixture_run(fixture, 8.0);
  g_assert_false(sim_store_lists_name(fixture->store, "w/lot/", "m-1"));
  g_assert_cmpuint(sim_store_count(fixture->store, "w/mark/"), ==, 0);
  g_assert_false(fixture_task_is_assigned(fixture));
  fixture_free(fixture);
}

/* Where a smaller type has room for it, a task leaves the larger machine to larger tasks: each
   small one kept a large one out, on a day of armor-releves with half of the processors unused. */
static void
test_small_task_leaves_large_machine_free(void)
{
  Fixture *fixture = fixture_new_with_two_types();
  for (guint64 sequence = 1; sequence <= 2; sequence++) {
    fixture_post_heartbeat(fixture, "m-1", sequence - 1, sequence, json_array());
    json_t *small = fixture_heartbeat(fixture, "m-2", sequence - 1, sequence, json_array());
    json_object_set_new(small, "typ", json_string("g1"));
    fixture_post(fixture, "/v1/report", small);
    fixture_run(fixture, 0.5);
  }
  fixture_call(fixture, "POST", "/api/jobs", fixture_submission());
  fixture_run(fixture, 1.0);
  const json_t *on = json_object_get(sim_store_get(fixture->store, "w/task/req-1/0"), "on");
  g_assert_cmpstr(json_string_value(json_array_get(json_array_get(on, 0), 1)), ==, "m-2");
  fixture_free(fixture);
}

/* Whether an urgent task of seconds has a large one stopped that fills the only machine, if that
   has run for so long. */
static gboolean
is_stopped_after(double run_s)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture_send_heartbeat(fixture, 0, json_array());
  fixture_send_heartbeat(fixture, 1, json_array());
  json_t *large = fixture_submission();
  json_object_set_new(large, "cpus", json_real(32.0));
  fixture_call(fixture, "POST", "/api/jobs", large);
  fixture_run(fixture, 1.0);
  for (guint second = 0; second < run_s; second++) {
    fixture_send_heartbeat(fixture, 1, one_task("running", ""));
    fixture_run(fixture, 0.7);
  }
  json_t *urgent = fixture_submission();
  json_object_set_new(urgent, "id", json_string("req-2"));
  json_object_set_new(urgent, "prednost", json_string("urgent"));
  json_object_set_new(urgent, "odhad_s", json_real(10.0));
  fixture_call(fixture, "POST", "/api/jobs", urgent);
  fixture_run(fixture, 1.0);
  fixture_send_heartbeat(fixture, 1, one_task("running", ""));
  gboolean is_stopped = fixture_has_command(fixture, "halt");
  fixture_free(fixture);
  return is_stopped;
}

/* Minutes of a large task's work aren't thrown away for seconds of a small one's: nearly a third of
   what was paid for on armor-releves went that way. */
static void
test_no_preemption_of_long_work_for_short_task(void)
{
  g_assert_true(is_stopped_after(1.0));
  g_assert_false(is_stopped_after(20.0));
}

/* What is recorded for a machine that no rental batch names any more is released once its lease
   must be over: two jobs waited for ever for a machine that had been returned. */
static void
test_unrecorded_machine_is_released_after_lease(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_write_key(fixture, "w/lot/a-1-0-1", NULL);
  fixture_run(fixture, 10.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_run(fixture, 6.0);
  g_assert_cmpuint(
      json_array_size(json_object_get(sim_store_get(fixture->store, "w/task/req-1/0"), "on")), ==,
      0);
  fixture_free(fixture);
}

/* A new leader assigns nothing before its replica has reached the epoch that it wrote: what was
   written until then may have come and gone again, and conditions on its absence would hold. */
static void
test_new_leader_reads_before_assignment(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture_send_heartbeat(fixture, 0, json_array());
  fixture_send_heartbeat(fixture, 1, json_array());
  fixture->hold_watch = TRUE;
  fixture_restart(fixture);
  fixture_send_heartbeat(fixture, 2, json_array());
  fixture_call(fixture, "POST", "/api/jobs", fixture_submission());
  fixture_run(fixture, 2.0);
  g_assert_false(fixture_task_is_assigned(fixture));
  fixture_release_watch(fixture);
  fixture_send_heartbeat(fixture, 2, json_array());
  fixture_run(fixture, 1.5);
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_free(fixture);
}

/* Empty machines report until they have shown the token. */
static void
show_machines(Fixture *fixture, const char *const *names, guint count)
{
  for (guint64 sequence = 1; sequence <= 2; sequence++)
    for (guint m = 0; m < count; m++) {
      fixture_post_heartbeat(fixture, names[m], sequence - 1, sequence, json_array());
      fixture_run(fixture, 0.3);
    }
}

/* Whether a less urgent task of a team at its limit is stopped for an urgent job of the team that
   is bound to the zone; all machines are in zone a. */
static gboolean
is_stopped_for_zone(const char *zone)
{
  static const char *const MACHINES[] = { "m-1", "m-2" };
  Fixture *fixture = fixture_new(TRUE);
  show_machines(fixture, MACHINES, G_N_ELEMENTS(MACHINES));
  json_t *filling = fixture_submission();
  json_object_set_new(filling, "kusy", json_integer(6));
  json_object_set_new(filling, "prednost", json_string("best_effort"));
  fixture_call(fixture, "POST", "/api/jobs", filling);
  fixture_run(fixture, 1.5);
  const json_t *record = sim_store_get(fixture->store, "w/task/req-1/0");
  g_assert_cmpuint(json_array_size(json_object_get(record, "on")), ==, 6);
  guint commands = fixture->direct_commands;
  json_t *urgent = fixture_submission();
  json_object_set_new(urgent, "id", json_string("req-2"));
  json_object_set_new(urgent, "prednost", json_string("urgent"));
  json_object_set_new(urgent, "hala", json_string(zone));
  fixture_call(fixture, "POST", "/api/jobs", urgent);
  fixture_run(fixture, 1.0);
  gboolean is_stopped = fixture->direct_commands > commands;
  fixture_free(fixture);
  return is_stopped;
}

/* Nothing is stopped for a job that couldn't start with what the stop frees: tasks of a team at its
   limit were stopped and placed again, over and over, for a job bound to a zone without a machine.
 */
static void
test_no_preemption_without_usable_slot(void)
{
  g_assert_true(is_stopped_for_zone("a"));
  g_assert_false(is_stopped_for_zone("b"));
}

/* What was freed for a job isn't given to a less urgent one, until it is clear that the job doesn't
   take it: two nodes took it from each other in turn, and neither job ran. */
static void
test_reservation_holds_until_declined(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture_send_heartbeat(fixture, 0, json_array());
  fixture_send_heartbeat(fixture, 1, json_array());
  json_t *urgent = fixture_submission();
  json_object_set_new(urgent, "id", json_string("req-2"));
  json_object_set_new(urgent, "prednost", json_string("urgent"));
  json_object_set_new(urgent, "kusy", json_integer(4));
  json_object_set_new(urgent, "hala", json_string("b"));
  fixture_call(fixture, "POST", "/api/jobs", urgent);
  fixture_send_peer_message(
      fixture, "/ask",
      json_pack("{s:i, s:[[s, i, s]]}", "epoch", 1, "reservations", "req-2", 4, "m-1"));
  json_t *best_effort = fixture_submission();
  json_object_set_new(best_effort, "prednost", json_string("best_effort"));
  fixture_call(fixture, "POST", "/api/jobs", best_effort);
  fixture_run(fixture, 1.5);
  g_assert_false(fixture_task_is_assigned(fixture));
  fixture_send_heartbeat(fixture, 1, json_array());
  fixture_run(fixture, 3.0);
  fixture_send_heartbeat(fixture, 1, json_array());
  fixture_run(fixture, 1.5);
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_free(fixture);
}

#define MANY 8

/* The record of the only task of job number i. */
static const json_t *
only_assignment(const Fixture *fixture, guint i)
{
  g_autofree char *key = g_strdup_printf("w/task/req-%u/0", i);
  return json_array_get(json_object_get(sim_store_get(fixture->store, key), "on"), 0);
}

static guint
count_done(const Fixture *fixture)
{
  guint count = 0;
  for (guint i = 1; i <= MANY; i++) {
    g_autofree char *key = g_strdup_printf("w/job/req-%u", i);
    const json_t *job = sim_store_get(fixture->store, key);
    count += g_strcmp0(json_string_value(json_object_get(job, "s")), "done") == 0 ? 1 : 0;
  }
  return count;
}

static void
submit_number(Fixture *fixture, guint i)
{
  g_autofree char *id = g_strdup_printf("req-%u", i);
  json_t *job = fixture_submission();
  json_object_set_new(job, "id", json_string(id));
  fixture_post(fixture, "/api/jobs", job);
}

/* Every task of the machine is done. */
static void
report_ends(Fixture *fixture, const char *machine)
{
  json_t *tasks = json_array();
  for (guint i = 1; i <= MANY; i++) {
    g_autofree char *name = g_strdup_printf("req-%u/0", i);
    if (g_strcmp0(json_string_value(json_array_get(only_assignment(fixture, i), 1)), machine) == 0)
      json_array_append_new(tasks, json_pack("{s:s, s:i, s:s, s:s}", "kus", name, "pokus", 1,
                                             "stav", "exited", "duvod", "done"));
  }
  fixture_post_heartbeat(fixture, machine, 1, 9, tasks);
}

/* Where a transaction holds few changes, the ends of tasks don't fill one after another while a job
   waits beside free room: 13 to 26 jobs waited so on a day of armor-releves. */
static void
test_releases_leave_space_for_assignments(void)
{
  static const char *const MACHINES[] = { "m-1", "m-2", "m-3" };
  Fixture *fixture = fixture_new(TRUE);
  fixture->settings->state_txn_ops = 3; /* the teams' use and two jobs that end */
  fixture_lift_quotas(fixture);
  show_machines(fixture, MACHINES, G_N_ELEMENTS(MACHINES));
  for (guint i = 1; i <= MANY; i++)
    submit_number(fixture, i);
  fixture_run(fixture, 2.0);
  for (guint i = 1; i <= MANY; i++)
    g_assert_nonnull(only_assignment(fixture, i));
  for (guint m = 0; m < G_N_ELEMENTS(MACHINES); m++)
    report_ends(fixture, MACHINES[m]);
  submit_number(fixture, MANY + 1);
  for (guint i = 0; i < 100 && only_assignment(fixture, MANY + 1) == NULL; i++)
    fixture_run(fixture, 0.05);
  g_assert_nonnull(only_assignment(fixture, MANY + 1));
  g_assert_cmpuint(count_done(fixture), <, MANY);
  fixture_run(fixture, 3.0);
  g_assert_cmpuint(count_done(fixture), ==, MANY);
  fixture_free(fixture);
}

static const WsTest TESTS[] = {
  { "/regressions/assignment-writes-are-conditional", test_assignment_writes_are_conditional },
  { "/regressions/end-is-stored-before-reap", test_end_is_stored_before_reap },
  { "/regressions/no-release-without-current-fencing-token",
    test_no_release_without_current_fencing_token },
  { "/regressions/stale-sequence-changes-nothing", test_stale_sequence_changes_nothing },
  { "/regressions/no-release-while-launch-is-indeterminate",
    test_no_release_while_launch_is_indeterminate },
  { "/regressions/no-epoch-for-unreachable-machine", test_no_epoch_for_unreachable_machine },
  { "/regressions/no-reap-while-launch-is-indeterminate",
    test_no_reap_while_launch_is_indeterminate },
  { "/regressions/absence-releases-after-acknowledged-launch",
    test_absence_releases_after_acknowledged_launch },
  { "/regressions/no-renewal-under-newer-fencing-token",
    test_no_renewal_under_newer_fencing_token },
  { "/regressions/task-is-assigned-once", test_task_is_assigned_once },
  { "/regressions/gang-shares-attempt-and-halts-together",
    test_gang_shares_attempt_and_halts_together },
  { "/regressions/member-record-is-conditional-and-restored",
    test_member_record_is_conditional_and_restored },
  { "/regressions/returned-machine-is-not-recorded-again",
    test_returned_machine_is_not_recorded_again },
  { "/regressions/stale-token-records-no-machine", test_stale_token_records_no_machine },
  { "/regressions/critical-assignment-precedes-releases",
    test_critical_assignment_precedes_releases },
  { "/regressions/no-termination-by-unreachable-node", test_no_termination_by_unreachable_node },
  { "/regressions/slow-heartbeats-keep-machine-eligible",
    test_slow_heartbeats_keep_machine_eligible },
  { "/regressions/no-termination-while-partition-emerges",
    test_no_termination_while_partition_emerges },
  { "/regressions/death-outside-partition-is-detected", test_death_outside_partition_is_detected },
  { "/regressions/no-termination-after-restart-in-partition",
    test_no_termination_after_restart_in_partition },
  { "/regressions/zone-without-controller-has-grace-period",
    test_zone_without_controller_has_grace_period },
  { "/regressions/new-owner-waits-before-termination", test_new_owner_waits_before_termination },
  { "/regressions/stalled-node-renews-before-it-answers",
    test_stalled_node_renews_before_it_answers },
  { "/regressions/no-idle-timeout-during-outage", test_no_idle_timeout_during_outage },
  { "/regressions/peer-cancellation-halts-task", test_peer_cancellation_halts_task },
  { "/regressions/cancellation-is-redelivered-until-acknowledged",
    test_cancellation_is_redelivered_until_acknowledged },
  { "/regressions/isolated-node-stops-lease-renewal", test_isolated_node_stops_lease_renewal },
  { "/regressions/partitioned-zone-keeps-lease-renewal",
    test_partitioned_zone_keeps_lease_renewal },
  { "/regressions/no-launch-before-cancellations-are-acknowledged",
    test_no_launch_before_cancellations_are_acknowledged },
  { "/regressions/return-without-mark-leaks-nothing", test_return_without_mark_leaks_nothing },
  { "/regressions/small-task-leaves-large-machine-free",
    test_small_task_leaves_large_machine_free },
  { "/regressions/no-preemption-of-long-work-for-short-task",
    test_no_preemption_of_long_work_for_short_task },
  { "/regressions/unrecorded-machine-is-released-after-lease",
    test_unrecorded_machine_is_released_after_lease },
  { "/regressions/new-leader-reads-before-assignment", test_new_leader_reads_before_assignment },
  { "/regressions/releases-leave-space-for-assignments",
    test_releases_leave_space_for_assignments },
  { "/regressions/no-preemption-without-usable-slot", test_no_preemption_without_usable_slot },
  { "/regressions/reservation-holds-until-declined", test_reservation_holds_until_declined },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

/**
 * Which machines are recorded, declared dead and terminated, and which are not, in partitions,
 * outages and after restarts.
 */
#include "regressions/regressions.h"

/* A late heartbeat of a machine that was returned must not bring it back as a new one. */
void
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

/* A copy of an old heartbeat, from a machine that was returned before this run of the controller
   began, names an old fencing token: nothing is recorded for it. The machine itself would show ours
   next time. */
void
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

/* A node that no worker reaches doesn't declare machines dead whose heartbeats no other node
   relays: with hundreds of machines 290 live ones were returned. Once it is reached, it does. */
void
test_no_termination_by_unreachable_node(void)
{
  Fixture *fixture = fixture_new(TRUE);
  guint64 sequence = 0;
  for (guint i = 0; i < 3; i++) {
    send_all_heartbeats(fixture, 0, i == 0 ? 0 : 1, ++sequence, FALSE);
    fixture_run(fixture, 1.5);
  }
  for (guint i = 0; i < 5; i++) {
    send_all_heartbeats(fixture, 2, 1, ++sequence, TRUE);
    fixture_run(fixture, 1.5);
  }
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  send_all_heartbeats(fixture, 2, 1, ++sequence, FALSE);
  fixture_run(fixture, 1.2);
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 2);
  fixture_free(fixture);
}

/* The last heartbeats from behind a partition arrive at slightly different times. The machines
   aren't declared dead before it shows that all are silent: 90 were returned whose tasks went on.
 */
void
test_no_termination_while_partition_emerges(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture->zone = "b";
  fixture->spot = TRUE;
  send_all_heartbeats(fixture, 0, 0, 1, FALSE);
  fixture_run(fixture, 1.5);
  send_all_heartbeats(fixture, 0, 1, 2, FALSE);
  fixture_run(fixture, 2.3);
  send_all_heartbeats(fixture, 8, 1, 3, FALSE);
  fixture->peers_unreachable = TRUE;
  fixture->zone = "a";
  for (guint64 sequence = 1; sequence <= 11; sequence++) {
    fixture_post_heartbeat(fixture, "m-1", sequence == 1 ? 0 : 1, sequence, json_array());
    fixture_run(fixture, 1.0);
  }
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  fixture_free(fixture);
}

/* Where heartbeats come 5 s apart, a machine that showed an old fencing token last time hasn't had
   the time to show ours after 4 s: it's used all the same. After several epochs in a row the whole
   fleet looked unreachable. */
void
test_slow_heartbeats_keep_machine_eligible(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->settings->report_s = 5.0;
  fixture->settings->lease_s = 26.0;
  fixture_send_heartbeat(fixture, 0, one_task_in_state("running", ""));
  fixture_run(fixture, 4.5);
  json_t *second = fixture_submission_with_id("req-2");
  fixture_send_request(fixture, "POST", "/api/jobs", second);
  fixture_run(fixture, 0.5);
  g_assert_true(sim_store_has(fixture->store, "w/task/req-2/0"));
  fixture_free(fixture);
}

/* Machines that are silent behind a partition don't delay the detection of one that died elsewhere:
   dozens were declared dead only after a lease. */
void
test_death_outside_partition_is_detected(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture->zone = "b";
  for (guint64 sequence = 1; sequence <= 2; sequence++) {
    send_all_heartbeats(fixture, 0, sequence == 1 ? 0 : 1, sequence, FALSE);
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
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 1);
  g_assert_true(sim_store_has(fixture->store, "w/mark/m-2"));
  fixture_free(fixture);
}

/* A zone without a controller counts as partitioned when most of its machines are silent together:
   none is rented there, and they are declared dead only after several leases. Once 85 were
   marked and returned in the middle of a partition, which took the changes that waiting work
   needed. */
void
test_zone_without_controller_has_grace_period(void)
{
  Fixture *fixture = fixture_new(TRUE);
  g_ptr_array_add(fixture->settings->zones, g_strdup("d"));
  fixture_restart(fixture);
  fixture->zone = "d";
  for (guint64 sequence = 1; sequence <= 3; sequence++) {
    send_all_heartbeats(fixture, 0, sequence == 1 ? 1 : 2, sequence, FALSE);
    fixture_run(fixture, 1.5);
  }
  fixture_run(fixture, 2.0 * fixture->settings->lease_s);
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  fixture_run(fixture, 2.0 * fixture->settings->lease_s);
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 16);
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
    send_all_heartbeats(fixture, 0, sequence == 1 ? 0 : 1, sequence, FALSE);
    fixture_run(fixture, 1.5);
  }
  json_t *job = fixture_submission();
  json_object_set_new(job, "kusy", json_integer(6));
  json_object_set_new(job, "cpus", json_real(32.0));
  json_object_set_new(job, "vypujcky", json_true());
  fixture_send_request(fixture, "POST", "/api/jobs", job);
  fixture_run(fixture, 1.0);
  g_assert_cmpuint(json_array_size(fixture_assignments(fixture, "req-1")), ==, 6);
  fixture->peers_unreachable = peers_silent;
  fixture_restart(fixture);
  return fixture;
}

/* A controller that starts during a partition has never heard the machines behind it. They aren't
   declared dead all the same: 148 were returned whose tasks went on. */
void
test_no_termination_after_restart_in_partition(void)
{
  Fixture *fixture = restarted_fixture("b", TRUE);
  fixture_run(fixture, 40.0);
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  fixture_free(fixture);
}

/* Without a partition they have the time to wait for their old node in vain and to find this one;
   then they are declared dead. */
void
test_new_owner_waits_before_termination(void)
{
  Fixture *fixture = restarted_fixture("a", FALSE);
  fixture_run(fixture, 14.5); /* the first of them are in the lease of its last run */
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  fixture_run(fixture, 6.0);
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 16);
  fixture_free(fixture);
}

/* A node whose process was paused while its clocks ran on takes nothing for granted: it answers no
   worker and marks nothing, before it has renewed its lease and read. */
void
test_stalled_node_renews_before_it_answers(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->now_ms += 30000;
  fixture_post_heartbeat(fixture, "m-1", 1, 50, one_task_in_state("running", ""));
  g_assert_cmpuint(fixture->status, ==, 503);
  fixture_run(fixture, 2.0);
  fixture_post_heartbeat(fixture, "m-1", 1, 51, one_task_in_state("running", ""));
  g_assert_cmpuint(fixture->status, ==, 200);
  fixture_run(fixture, 2.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  fixture_free(fixture);
}

/* A machine that is empty during an outage isn't idle: nothing could be placed on it. */
void
test_no_idle_timeout_during_outage(void)
{
  Fixture *fixture = fixture_new(TRUE);
  for (guint64 sequence = 1; sequence <= 30; sequence++) {
    fixture->store_unavailable = fixture->peers_unreachable = sequence >= 6 && sequence < 20;
    fixture_post_heartbeat(fixture, "m-2", sequence == 1 ? 0 : 1, sequence, json_array());
    fixture_run(fixture, 1.0);
  }
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  for (guint64 sequence = 31; sequence <= 50; sequence++) {
    fixture_post_heartbeat(fixture, "m-2", 1, sequence, json_array());
    fixture_run(fixture, 1.0);
  }
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 1);
  fixture_free(fixture);
}

/**
 * Cancellations that only some nodes know of, and the renewal of leases meanwhile.
 */
#include "regressions/regressions.h"

/* A peer's word that a job is cancelled counts whatever the records say: its task is halted, and
   not launched again by a new incarnation. What can't be understood changes nothing. */
void
test_peer_cancellation_halts_task(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_send_peer_message(fixture, "/cancelled",
                            json_pack("{s:s, s:[[s]]}", "node", "n1", "jobs", "req-1"));
  g_assert_cmpuint(fixture->status, ==, 400);
  fixture_send_peer_message(fixture, "/cancelled",
                            json_pack("{s:s, s:[[s, i]]}", "node", "n9", "jobs", "req-1", 0));
  g_assert_cmpuint(fixture->status, ==, 400);
  fixture_send_heartbeat(fixture, 1, one_task_in_state("running", ""));
  g_assert_false(fixture_has_command(fixture, "halt"));
  fixture_send_peer_message(fixture, "/cancelled",
                            json_pack("{s:s, s:[[s, i]]}", "node", "n1", "jobs", "req-1", 0));
  g_assert_cmpuint(fixture->status, ==, 200);
  fixture_send_heartbeat(fixture, 1, one_task_in_state("running", ""));
  g_assert_true(fixture_has_command(fixture, "halt"));
  fixture_send_heartbeat(fixture, 1, json_array());
  g_assert_false(fixture_has_command(fixture, "launch"));
  fixture_free(fixture);
}

/* A cancellation is sent to the peers until each has acknowledged it, and then no more. */
void
test_cancellation_is_redelivered_until_acknowledged(void)
{
  Fixture *fixture = fixture_new_with_job(FALSE);
  fixture_send_request(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
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
status_of_heartbeat(Fixture *fixture, const char *machine, guint64 sequence)
{
  fixture_post_heartbeat(fixture, machine, 1, sequence, json_array());
  return fixture->status;
}

/* A node that reaches neither the store nor peers, while machines of other zones reach it, stops
   renewing their leases before cancellations that it cannot know of are due; also of those that
   come back. */
void
test_isolated_node_stops_lease_renewal(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->zone = "b";
  g_assert_cmpuint(status_of_heartbeat(fixture, "m-2", 1), ==, 200);
  fixture->store_unavailable = fixture->peers_unreachable = TRUE;
  fixture_run(fixture, 5.0);
  g_assert_cmpuint(status_of_heartbeat(fixture, "m-2", 2), ==, 503);
  g_assert_cmpuint(status_of_heartbeat(fixture, "m-2", 3), ==, 200); /* it has found nobody else */
  fixture_run(fixture, 13.0);
  g_assert_cmpuint(status_of_heartbeat(fixture, "m-2", 4), ==, 503);
  g_assert_cmpuint(status_of_heartbeat(fixture, "m-2", 5), ==, 503);
  fixture_free(fixture);
}

/* If only its own zone reaches it, the zone is partitioned, and its answers keep tasks alive. */
void
test_partitioned_zone_keeps_lease_renewal(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->store_unavailable = fixture->peers_unreachable = TRUE;
  fixture_run(fixture, 25.0);
  fixture_send_heartbeat(fixture, 1, one_task_in_state("running", ""));
  g_assert_cmpuint(fixture->status, ==, 200);
  fixture_free(fixture);
}

/* In an outage for all nodes tasks are launched (again) only when the peers' cancellations are all
   acknowledged, and leases aren't renewed for ever before that. */
void
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
  fixture_send_heartbeat(fixture, 1, one_task_in_state("running", ""));
  g_assert_cmpuint(fixture->status, ==, 503);
  fixture->unacknowledged_by_peers = 0;
  fixture_run(fixture, 2.0);
  fixture_send_heartbeat(fixture, 1, json_array());
  g_assert_cmpuint(fixture->status, ==, 200);
  g_assert_true(fixture_has_command(fixture, "launch"));
  fixture_free(fixture);
}

/* A machine that doesn't confirm a cancellation while the store takes no mark is returned
   without one, and its record is mended afterwards: nothing leaks. */
void
test_return_without_mark_leaks_nothing(void)
{
  Fixture *fixture = fixture_new_with_job(FALSE);
  fixture->cloud_confirms_returns = TRUE;
  fixture_send_request(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
  fixture->store_unavailable = fixture->peers_lack_store = TRUE;
  fixture_run(fixture, 16.0);
  g_assert_cmpuint(fixture->returns_requested, ==, 0);
  fixture_run(fixture, 6.0);
  g_assert_cmpuint(fixture->returns_requested, ==, 1);
  g_assert_true(sim_store_lists_name(fixture->store, "w/lot/", "m-1"));
  fixture->store_unavailable = fixture->peers_lack_store = FALSE;
  fixture_run(fixture, 8.0);
  g_assert_false(sim_store_lists_name(fixture->store, "w/lot/", "m-1"));
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  g_assert_false(fixture_task_is_assigned(fixture));
  fixture_free(fixture);
}

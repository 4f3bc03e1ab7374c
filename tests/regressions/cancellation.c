/**
 * Cancellations that only some nodes know, and the renewal of worker leases until all nodes do.
 */
#include "regressions/regressions.h"

/* A peer's cancellation takes effect regardless of the job's record: the task is halted, and isn't
   launched again on a new incarnation of the worker. A malformed cancellation, or one from an
   unknown node, is rejected and changes nothing. */
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
  fixture_send_heartbeat(fixture, 1, heartbeat_task_in_state("running", ""));
  g_assert_false(fixture_has_command(fixture, "halt"));
  fixture_send_peer_message(fixture, "/cancelled",
                            json_pack("{s:s, s:[[s, i]]}", "node", "n1", "jobs", "req-1", 0));
  g_assert_cmpuint(fixture->status, ==, 200);
  fixture_send_heartbeat(fixture, 1, heartbeat_task_in_state("running", ""));
  g_assert_true(fixture_has_command(fixture, "halt"));
  fixture_send_heartbeat(fixture, 1, json_array());
  g_assert_false(fixture_has_command(fixture, "launch"));
  fixture_free(fixture);
}

/* A cancellation is sent to each peer until the peer has acknowledged it, and not after that. */
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
  guint sent_when_acknowledged = fixture->cancellations_sent;
  fixture_run(fixture, 3.0);
  g_assert_cmpuint(fixture->cancellations_sent, ==, sent_when_acknowledged);
  fixture_free(fixture);
}

static guint
heartbeat_status(Fixture *fixture, const char *machine, guint64 sequence)
{
  fixture_post_heartbeat(fixture, machine, 1, sequence, json_array());
  return fixture->status;
}

/* A node reaches neither the store nor its peers, while workers of other zones reach it. It can't
   know new cancellations, so it stops renewing these workers' leases in time for the tasks of a
   cancelled job to end within cancel_s, even if a worker that it rejected contacts it again. */
void
test_isolated_node_stops_lease_renewal(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->zone = "b";
  g_assert_cmpuint(heartbeat_status(fixture, "m-2", 1), ==, 200);
  fixture->store_unavailable = fixture->peers_unreachable = TRUE;
  fixture_run(fixture, 5.0);
  g_assert_cmpuint(heartbeat_status(fixture, "m-2", 2), ==, 503);
  g_assert_cmpuint(heartbeat_status(fixture, "m-2", 3), ==, 200); /* no other node was found */
  fixture_run(fixture, 13.0);
  g_assert_cmpuint(heartbeat_status(fixture, "m-2", 4), ==, 503);
  g_assert_cmpuint(heartbeat_status(fixture, "m-2", 5), ==, 503);
  fixture_free(fixture);
}

/* A node that only workers of its own zone reach is in a partitioned zone: it continues to renew
   their leases, so that their tasks keep running. */
void
test_partitioned_zone_keeps_lease_renewal(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->store_unavailable = fixture->peers_unreachable = TRUE;
  fixture_run(fixture, 25.0);
  fixture_send_heartbeat(fixture, 1, heartbeat_task_in_state("running", ""));
  g_assert_cmpuint(fixture->status, ==, 200);
  fixture_free(fixture);
}

/* During a store outage that affects all nodes, a node launches tasks only when every peer has had
   its cancellations acknowledged. Until then it renews leases only as long as they end in time for
   cancel_s. */
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
  fixture_send_heartbeat(fixture, 1, heartbeat_task_in_state("running", ""));
  g_assert_cmpuint(fixture->status, ==, 503);
  fixture->unacknowledged_by_peers = 0;
  fixture_run(fixture, 2.0);
  fixture_send_heartbeat(fixture, 1, json_array());
  g_assert_cmpuint(fixture->status, ==, 200);
  g_assert_true(fixture_has_command(fixture, "launch"));
  fixture_free(fixture);
}

/* A machine doesn't confirm that a cancelled task has ended, and the store is unavailable, so that
   no termination mark can be written. The machine is returned without a mark, and its records are
   removed after the outage: neither a machine nor a record leaks. */
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

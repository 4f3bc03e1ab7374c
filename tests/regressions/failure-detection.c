/**
 * Which machines are recorded, declared dead and terminated during partitions, outages and after
 * restarts, and which are not.
 */
#include "context/ws-context.h"
#include "regressions/regressions.h"
#include "storage/ws-cluster-records.h"

/* A delayed heartbeat of a returned machine must not record it again as a new machine. */
void
test_returned_machine_is_not_recorded_again(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture_write_key(fixture, "w/lot/a-1000000-0-1", NULL);
  fixture_run(fixture, 0.5);
  fixture_send_heartbeat(fixture, 1, json_array());
  g_assert_cmpuint(fixture->status, ==, 503);
  fixture_run(fixture, 1.0);
  g_assert_false(sim_store_has(fixture->store, "w/lot/a-1000000-0-1"));
  fixture_free(fixture);
}

/* A duplicate of an old heartbeat, from a machine that was returned before this run of the
   controller, has an old fencing token, also when repeated: the machine isn't recorded. A live
   machine has the current token in its next heartbeat, and is recorded then. */
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

/* A node that receives no heartbeats directly doesn't declare a machine dead because no other node
   relays its heartbeats: in a cluster of hundreds of machines, 290 live machines were returned.
   Once workers reach the node again, it declares silent machines dead. */
void
test_no_termination_by_unreachable_node(void)
{
  Fixture *fixture = fixture_new(TRUE);
  guint64 sequence = 0;
  for (guint i = 0; i < 3; i++) {
    send_machine_heartbeats(fixture, 0, i == 0 ? 0 : 1, ++sequence, FALSE);
    fixture_run(fixture, 1.5);
  }
  for (guint i = 0; i < 5; i++) {
    send_machine_heartbeats(fixture, 2, 1, ++sequence, TRUE);
    fixture_run(fixture, 1.5);
  }
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  send_machine_heartbeats(fixture, 2, 1, ++sequence, FALSE);
  fixture_run(fixture, 1.2);
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 2);
  fixture_free(fixture);
}

/* When a partition begins, the last heartbeats from the zone arrive at slightly different times.
   The machines that fall silent first must not be declared dead before the partition is detected:
   90 machines were returned while their tasks were running. */
void
test_no_termination_while_partition_emerges(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture->zone = "b";
  fixture->spot = TRUE;
  send_machine_heartbeats(fixture, 0, 0, 1, FALSE);
  fixture_run(fixture, 1.5);
  send_machine_heartbeats(fixture, 0, 1, 2, FALSE);
  fixture_run(fixture, 2.3);
  send_machine_heartbeats(fixture, 8, 1, 3, FALSE);
  fixture->peers_unreachable = TRUE;
  fixture->zone = "a";
  for (guint64 sequence = 1; sequence <= 11; sequence++) {
    fixture_post_heartbeat(fixture, "m-1", sequence == 1 ? 0 : 1, sequence, json_array());
    fixture_run(fixture, 1.0);
  }
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  fixture_free(fixture);
}

/* With a heartbeat interval of 5 s, a machine whose last heartbeat had an old fencing token can't
   have shown the current one 4 s later; it stays eligible for assignments. Otherwise, after several
   epochs in quick succession, all machines were treated as unreachable. */
void
test_slow_heartbeats_keep_machine_eligible(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->settings->report_s = 5.0;
  fixture->settings->lease_s = 26.0;
  fixture_send_heartbeat(fixture, 0, heartbeat_task_in_state("running", ""));
  fixture_run(fixture, 4.5);
  json_t *second = fixture_submission_with_id("req-2");
  fixture_send_request(fixture, "POST", "/api/jobs", second);
  fixture_run(fixture, 0.5);
  g_assert_true(sim_store_has(fixture->store, "w/task/req-2/0"));
  fixture_free(fixture);
}

/* Silent machines in a partitioned zone don't delay the detection of a machine that died in another
   zone: dozens of dead machines were detected only after a whole lease. */
void
test_death_outside_partition_is_detected(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture->zone = "b";
  for (guint64 sequence = 1; sequence <= 2; sequence++) {
    send_machine_heartbeats(fixture, 0, sequence == 1 ? 0 : 1, sequence, FALSE);
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

/* A zone without a controller is treated as partitioned when most of its machines are silent at the
   same time: no machine is rented there, and its machines are declared dead only after several
   leases. Otherwise 85 machines were marked and returned during a partition, and these writes used
   up the write budget that waiting jobs needed. */
void
test_zone_without_controller_has_grace_period(void)
{
  Fixture *fixture = fixture_new(TRUE);
  g_ptr_array_add(fixture->settings->zones, g_strdup("d"));
  fixture_restart(fixture);
  fixture->zone = "d";
  for (guint64 sequence = 1; sequence <= 3; sequence++) {
    send_machine_heartbeats(fixture, 0, sequence == 1 ? 1 : FIRST_TOKEN(2), sequence, FALSE);
    fixture_run(fixture, 1.5);
  }
  fixture_run(fixture, 2.0 * fixture->settings->lease_s);
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  fixture_run(fixture, 2.0 * fixture->settings->lease_s);
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 16);
  fixture_free(fixture);
}

/* A controller that was restarted while six tasks run on six machines of the zone. */
static Fixture *
fixture_restarted_with_tasks(const char *zone, gboolean peers_unreachable)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture->zone = zone;
  fixture->spot = TRUE;
  for (guint64 sequence = 1; sequence <= 3; sequence++) {
    send_machine_heartbeats(fixture, 0, sequence == 1 ? 0 : 1, sequence, FALSE);
    fixture_run(fixture, 1.5);
  }
  json_t *job = fixture_submission();
  json_object_set_new(job, "kusy", json_integer(6));
  json_object_set_new(job, "cpus", json_real(32.0));
  json_object_set_new(job, "vypujcky", json_true());
  fixture_send_request(fixture, "POST", "/api/jobs", job);
  fixture_run(fixture, 1.0);
  g_assert_cmpuint(json_array_size(fixture_assignments(fixture, "req-1")), ==, 6);
  fixture->peers_unreachable = peers_unreachable;
  fixture_restart(fixture);
  return fixture;
}

/* A controller that starts during a partition has never received a heartbeat from the machines in
   the partitioned zone. It must not declare them dead: 148 machines were returned while their tasks
   were running. */
void
test_no_termination_after_restart_in_partition(void)
{
  Fixture *fixture = fixture_restarted_with_tasks("b", TRUE);
  fixture_run(fixture, 40.0);
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  fixture_free(fixture);
}

/* Without a partition, a new owner gives workers time to get timeouts from their previous node
   and to find the new one; only then does it declare silent machines dead. */
void
test_new_owner_waits_before_termination(void)
{
  Fixture *fixture = fixture_restarted_with_tasks("a", FALSE);
  fixture_run(fixture, 14.5); /* includes the rest of the lease held before the restart */
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  fixture_run(fixture, 6.0);
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 16);
  fixture_free(fixture);
}

/* After its process was paused while its clocks ran on, a node neither accepts heartbeats nor marks
   machines until it has renewed its lease and read the store. */
void
test_stalled_node_renews_before_it_answers(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  fixture->now_ms += 30000;
  fixture_post_heartbeat(fixture, "m-1", 1, 50, heartbeat_task_in_state("running", ""));
  g_assert_cmpuint(fixture->status, ==, 503);
  fixture_run(fixture, 2.0);
  fixture_post_heartbeat(fixture, "m-1", 1, 51, heartbeat_task_in_state("running", ""));
  g_assert_cmpuint(fixture->status, ==, 200);
  fixture_run(fixture, 2.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/mark/"), ==, 0);
  fixture_free(fixture);
}

/* The time of an outage doesn't count towards a machine's idle timeout, since no task could be
   placed on it meanwhile. */
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

/* Returns the name of a machine that the node owns in the current epoch. The caller frees it. */
static char *
find_machine_of_node(const Fixture *fixture, WsNodeIndex node)
{
  for (guint i = 0;; i++) {
    char *name = g_strdup_printf("m-%u", i);
    if (ws_epoch_owner(&fixture->core->replica->epoch, name, fixture->settings) == node)
      return name;
    g_free(name);
  }
}

/* Gossip of the node n1, whose announcements have the revisions above @base. */
static json_t *
gossip_from_n1(guint base, json_t *machines /* takes ownership */)
{
  return json_pack("{s:s, s:i, s:b, s:i, s:b, s:b, s:i, s:i, s:i, s:i, s:b, s:i, s:o}", "node",
                   "n1", "epoch", (int)EPOCH_NUMBER(2), "store", 1, "reaches", 7, "wants_epoch", 0,
                   "unheard", 0, "base", base, "rev", 1, "ack", 0, "incarnation", 1, "loaded", 1,
                   "untold", 0, "machines", machines);
}

/* Guards against a machine that counts as down for as long as its owner has nothing new to
   announce: the announcement was acknowledged, but dropped, since the watch had not delivered the
   machine's rental batch. Jobs waited although the machine had free capacity. */
void
test_machine_announced_before_its_record_is_up(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture->peers_unreachable = TRUE; /* only the gossip below */
  fixture_write_key(fixture, "w/member/n1", ws_member_encode(1));
  fixture_run(fixture, 1.5);
  g_autofree char *name = find_machine_of_node(fixture, 1);
  fixture_send_peer_message(
      fixture, "/gossip",
      gossip_from_n1(0, json_pack("[{s:s, s:b, s:s, s:b, s:[]}]", "name", name, "up", 1, "endpoint",
                                  "w-1:1", "notice", 0, "images")));
  fixture_write_key(fixture, "w/lot/l-1",
                    json_pack("{s:s, s:s, s:b, s:i, s:[s]}", "type", "g4", "zone", "a", "spot", 0,
                              "at", 1, "names", name));
  fixture_send_peer_message(fixture, "/gossip", gossip_from_n1(1, json_array()));
  fixture_send_request(fixture, "POST", "/api/jobs", fixture_submission());
  const json_t *job = sim_store_get(fixture->store, "w/job/req-1");
  g_assert_cmpstr(json_string_value(json_object_get(job, "home")), ==, "n1");
  fixture_free(fixture);
}

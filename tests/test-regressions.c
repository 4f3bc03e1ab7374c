/**
 * Registers the regression tests in the order in which they run. The tests themselves are in
 * regressions/, one file for each subject.
 */
#include "regressions/regressions.h"
#include "ws-suite.h"

static const WsTest TESTS[] = {
  { "/regressions/assignment-writes-are-conditional", test_assignment_writes_are_conditional },
  { "/regressions/end-is-stored-before-reap", test_end_is_stored_before_reap },
  { "/regressions/no-release-without-current-fencing-token",
    test_no_release_without_current_fencing_token },
  { "/regressions/stale-sequence-changes-nothing", test_stale_sequence_changes_nothing },
  { "/regressions/no-release-while-copy-may-start", test_no_release_while_copy_may_start },
  { "/regressions/no-epoch-for-unreachable-machine", test_no_epoch_for_unreachable_machine },
  { "/regressions/no-reap-without-higher-fencing-token",
    test_no_reap_without_higher_fencing_token },
  { "/regressions/absence-releases-under-higher-fencing-token",
    test_absence_releases_under_higher_fencing_token },
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
  { "/regressions/machine-announced-before-its-record-is-up",
    test_machine_announced_before_its_record_is_up },
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

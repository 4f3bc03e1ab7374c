/**
 * Regression tests with one controller and scripted workers. They cover invariants that random
 * schedules rarely exercise. Each test is named after its invariant, and fails if the code that
 * enforces the invariant is removed from the controller.
 */
#pragma once

#include "protocol/ws-json.h"
#include "sim/fixture.h"

/** The task list of a heartbeat that reports the first attempt of task req-1/0 in this state. */
json_t *heartbeat_task_in_state(const char *state, const char *reason);

/** Whether an item of the transaction's list has the key as the value of the field. */
gboolean transaction_list_has_key(const json_t *txn, const char *list, const char *field,
                                  const char *key);

/** Whether one of the transaction's conditions refers to the key. */
gboolean transaction_has_condition(const json_t *txn, const char *key);

/**
 * Sends a heartbeat for each of the machines numbered @first_machine to 15: directly, or relayed by
 * another node.
 */
void send_machine_heartbeats(Fixture *fixture, guint first_machine, guint64 fencing_token,
                             guint64 sequence, gboolean is_relayed);

/** Sends heartbeats of idle machines until each has shown the current fencing token. */
void register_machines(Fixture *fixture, const char *const *names, guint count);

/* writes.c */
void test_assignment_writes_are_conditional(void);
void test_end_is_stored_before_reap(void);
void test_no_release_without_current_fencing_token(void);
void test_stale_sequence_changes_nothing(void);
void test_no_release_while_copy_may_start(void);
void test_no_epoch_for_unreachable_machine(void);
void test_no_reap_without_higher_fencing_token(void);
void test_absence_releases_under_higher_fencing_token(void);
void test_no_renewal_under_newer_fencing_token(void);
void test_task_is_assigned_once(void);
void test_gang_shares_attempt_and_halts_together(void);
void test_member_record_is_conditional_and_restored(void);
void test_unrecorded_machine_is_released_after_lease(void);
void test_new_leader_reads_before_assignment(void);

/* failure-detection.c */
void test_returned_machine_is_not_recorded_again(void);
void test_stale_token_records_no_machine(void);
void test_no_termination_by_unreachable_node(void);
void test_no_termination_while_partition_emerges(void);
void test_slow_heartbeats_keep_machine_eligible(void);
void test_death_outside_partition_is_detected(void);
void test_zone_without_controller_has_grace_period(void);
void test_no_termination_after_restart_in_partition(void);
void test_new_owner_waits_before_termination(void);
void test_stalled_node_renews_before_it_answers(void);
void test_no_idle_timeout_during_outage(void);
void test_machine_announced_before_its_record_is_up(void);

/* cancellation.c */
void test_peer_cancellation_halts_task(void);
void test_cancellation_is_redelivered_until_acknowledged(void);
void test_isolated_node_stops_lease_renewal(void);
void test_partitioned_zone_keeps_lease_renewal(void);
void test_no_launch_before_cancellations_are_acknowledged(void);
void test_return_without_mark_leaks_nothing(void);

/* scheduling.c */
void test_critical_assignment_precedes_releases(void);
void test_small_task_leaves_large_machine_free(void);
void test_no_preemption_of_long_work_for_short_task(void);
void test_no_preemption_without_usable_slot(void);
void test_reservation_holds_until_declined(void);
void test_releases_leave_space_for_assignments(void);

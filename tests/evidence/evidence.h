/**
 * The tests of the program test-evidence, one file for each subject.
 */
#pragma once

/* validity.c */
void test_release_is_valid_exactly_while_owner_is_same(void);
void test_release_encoding_round_trip(void);

/* lease-loss.c */
void test_cluster_recovers_from_repeated_lease_loss(void);

/* releases.c */
void test_pending_release_expires_with_ownership(void);
void test_pending_legacy_release_expires_with_ownership(void);
void test_release_by_former_owner_is_not_committed(void);
void test_legacy_release_by_former_owner_is_not_committed(void);
void test_returned_machine_is_released_in_any_epoch(void);
void test_no_launch_while_release_is_pending(void);
void test_release_stays_valid_for_same_owner(void);

/* legacy-releases.c */
void test_legacy_release_by_only_owner_is_accepted(void);
void test_legacy_release_needs_current_worker_status(void);
void test_unproven_legacy_release_terminates_machine(void);

/* catch-up.c */
void test_no_launch_before_caught_up_with_epoch(void);
void test_no_direct_launch_before_caught_up_with_epoch(void);
void test_no_halt_before_caught_up_with_epoch(void);

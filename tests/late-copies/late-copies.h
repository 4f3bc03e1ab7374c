/**
 * The tests of the program test-late-copies, one file for each harness.
 */
#pragma once

/* drawn.c */
void test_failed_and_cancelled_tasks_survive_late_copies(void);
void test_restarts_survive_late_copies(void);
void test_single_tokens_survive_late_copies(void);

/* cases.c */
void test_moved_task_is_not_started_by_copy(void);
void test_cancelled_task_is_not_started_by_copy(void);
void test_copy_to_machine_that_is_back(void);
void test_copy_after_controller_is_back(void);
void test_copy_under_single_token(void);

/* one-node.c */
void test_owner_halts_under_higher_token(void);
void test_launch_reaps_held_exit_under_higher_token(void);
void test_rejected_launch_is_sent_again(void);
void test_restarted_worker_gets_higher_token(void);
void test_restarted_worker_with_newer_heartbeat_gets_higher_token(void);
void test_answer_without_owner_keeps_token(void);
void test_worker_without_raised_token_is_terminated(void);
void test_single_token_reaps_in_next_epoch(void);
void test_single_token_bumps_epoch_for_many_exits(void);
void test_single_token_avoids_machine_with_held_exit(void);
void test_single_token_starts_no_epoch_for_unreachable_machine(void);

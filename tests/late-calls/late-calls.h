/**
 * The tests of the program test-late-calls.
 */
#pragma once

void test_held_launch_after_cancellation(void);
void test_held_launch_to_stalled_machine(void);
void test_held_launch_after_owner_change(void);
void test_held_launch_to_reset_machine(void);
void test_held_launch_before_first_report(void);
void test_late_rental_after_timeout(void);
void test_late_rental_after_leader_change(void);
void test_late_rental_after_all_controllers_ended(void);
void test_late_rental_after_refusal(void);
void test_late_return_after_timeout(void);
void test_late_return_after_leader_change(void);
void test_late_return_after_all_controllers_ended(void);
void test_unknown_task_of_machine_that_is_back_is_removed(void);
void test_machine_back_within_a_second(void);

void test_drawn_held_launches(void);
void test_drawn_late_cloud_calls(void);

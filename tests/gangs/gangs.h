/**
 * The gang tests. Either all tasks of a gang run at the same time or none does, under any fault of
 * machines and controllers.
 */
#pragma once

#include <glib.h>

/** Number of tasks of a test gang: more than fit on one machine. */
#define GANG_TASKS 6

/* phase.c */
void test_phase_follows_from_task_states(void);

/* simulated.c */
void test_tasks_start_together(void);
void test_machine_loss_restarts_whole_gang(void);
void test_short_stall_restarts_once(void);
void test_interruption_notice_saves_progress(void);
void test_gang_recovers_from_leader_crashes(void);
void test_cancellation_in_any_phase_ends_gang(void);
void test_gang_recovers_from_partition(void);
void test_gang_starts_among_small_jobs(void);
void test_recovery_from_random_faults(void);
void test_checker_detects_two_attempts(void);

/* one-node.c */
void test_invalid_gangs_are_rejected(void);
void test_loss_halts_all_without_grace(void);
void test_one_completion_completes_all(void);
void test_peer_exit_reasons_mark_no_machine(void);
void test_placed_in_zone_with_capacity(void);
void test_spread_while_image_is_missing(void);
void test_no_stop_while_machine_is_unreachable(void);

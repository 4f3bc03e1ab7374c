/**
 * The tests of the program test-late-copies, one file for each harness.
 */
#pragma once

/* simulated.c */
void test_failed_and_cancelled_tasks_survive_late_copies(void);

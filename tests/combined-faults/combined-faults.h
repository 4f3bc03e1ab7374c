/**
 * The tests of combined faults that are in files of their own.
 */
#pragma once

/** Adds a test for each case of cancellation.c. */
void add_cancellation_tests(void);

/* checker.c */
void test_checker_detects_duplicate_run(void);
void test_checker_detects_exceeded_quota(void);
void test_checker_detects_wrong_placement(void);
void test_checker_detects_run_after_cancellation(void);
void test_checker_detects_forgotten_job(void);

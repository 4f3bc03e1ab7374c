/**
 * The tests of the program test-load, one file for each harness.
 */
#pragma once

/* one-node.c */
void test_no_halt_of_job_accepted_during_load(void);
void test_no_second_attempt_of_job_accepted_during_load(void);
void test_no_halt_of_job_accepted_during_reload(void);
void test_not_loaded_before_last_page_revision(void);

/* simulated.c */
void test_restarts_during_submissions_recover(void);
void test_failovers_during_submissions_recover(void);
void test_compactions_during_submissions_recover(void);
void test_random_faults_during_loads_recover(void);
void test_restarted_node_joins_once(void);

/**
 * Reading the stored state page by page while other clients change it: at the start of a
 * controller, and again after the store has compacted the revision of its watch.
 */
#include "load/load.h"
#include "ws-suite.h"

static const WsTest TESTS[] = {
  { "/load/no-halt-of-job-accepted-during-load", test_no_halt_of_job_accepted_during_load },
  { "/load/no-second-attempt-of-job-accepted-during-load",
    test_no_second_attempt_of_job_accepted_during_load },
  { "/load/no-halt-of-job-accepted-during-reload", test_no_halt_of_job_accepted_during_reload },
  { "/load/not-loaded-before-last-page-revision", test_not_loaded_before_last_page_revision },
  { "/load/drawn-restarts", test_restarts_during_submissions_recover },
  { "/load/drawn-failovers", test_failovers_during_submissions_recover },
  { "/load/drawn-compactions", test_compactions_during_submissions_recover },
  { "/load/drawn-faults", test_random_faults_during_loads_recover },
  { "/load/drawn-single-restart", test_restarted_node_joins_once },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

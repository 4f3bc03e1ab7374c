/**
 * Calls that were carried out and answered, and arrive again later.
 */
#include "late-copies/late-copies.h"
#include "ws-suite.h"

static const WsTest TESTS[] = {
  { "/late-copies/moved-task-is-not-started-by-copy", test_moved_task_is_not_started_by_copy },
  { "/late-copies/cancelled-task-is-not-started-by-copy",
    test_cancelled_task_is_not_started_by_copy },
  { "/late-copies/machine-is-back", test_copy_to_machine_that_is_back },
  { "/late-copies/controller-is-back", test_copy_after_controller_is_back },
  { "/late-copies/single-token", test_copy_under_single_token },
  { "/late-copies/owner-halts-under-higher-token", test_owner_halts_under_higher_token },
  { "/late-copies/launch-reaps-held-exit-under-higher-token",
    test_launch_reaps_held_exit_under_higher_token },
  { "/late-copies/rejected-launch-is-sent-again", test_rejected_launch_is_sent_again },
  { "/late-copies/restarted-worker-gets-higher-token", test_restarted_worker_gets_higher_token },
  { "/late-copies/restarted-worker-with-newer-heartbeat-gets-higher-token",
    test_restarted_worker_with_newer_heartbeat_gets_higher_token },
  { "/late-copies/answer-without-owner-keeps-token", test_answer_without_owner_keeps_token },
  { "/late-copies/worker-without-raised-token-is-terminated",
    test_worker_without_raised_token_is_terminated },
  { "/late-copies/single-token-reaps-in-next-epoch", test_single_token_reaps_in_next_epoch },
  { "/late-copies/single-token-bumps-epoch-for-many-exits",
    test_single_token_bumps_epoch_for_many_exits },
  { "/late-copies/single-token-starts-no-epoch-for-unreachable-machine",
    test_single_token_starts_no_epoch_for_unreachable_machine },
  { "/late-copies/single-token-avoids-machine-with-held-exit",
    test_single_token_avoids_machine_with_held_exit },
  { "/late-copies/drawn", test_failed_and_cancelled_tasks_survive_late_copies },
  { "/late-copies/drawn-restarts", test_restarts_survive_late_copies },
  { "/late-copies/drawn-single-tokens", test_single_tokens_survive_late_copies },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

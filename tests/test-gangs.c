/**
 * The list of the gang tests, in the order in which they run. The tests are in gangs/, by subject.
 */
#include "gangs/gangs.h"
#include "ws-suite.h"

static const WsTest TESTS[] = {
  { "/gangs/phase-follows-from-task-states", test_phase_follows_from_task_states },
  { "/gangs/invalid-gangs-are-rejected", test_invalid_gangs_are_rejected },
  { "/gangs/loss-halts-all-without-grace", test_loss_halts_all_without_grace },
  { "/gangs/one-completion-completes-all", test_one_completion_completes_all },
  { "/gangs/peer-exit-reasons-mark-no-machine", test_peer_exit_reasons_mark_no_machine },
  { "/gangs/placed-in-zone-with-capacity", test_placed_in_zone_with_capacity },
  { "/gangs/spread-while-image-is-missing", test_spread_while_image_is_missing },
  { "/gangs/checker-detects-two-attempts", test_checker_detects_two_attempts },
  { "/gangs/tasks-start-together", test_tasks_start_together },
  { "/gangs/machine-loss-restarts-whole-gang", test_machine_loss_restarts_whole_gang },
  { "/gangs/short-stall-restarts-once", test_short_stall_restarts_once },
  { "/gangs/interruption-notice-saves-progress", test_interruption_notice_saves_progress },
  { "/gangs/no-stop-while-machine-is-unreachable", test_no_stop_while_machine_is_unreachable },
  { "/gangs/leader-crashes-at-any-step", test_gang_recovers_from_leader_crashes },
  { "/gangs/cancelled-in-any-phase", test_cancellation_in_any_phase_ends_gang },
  { "/gangs/partition-through-gang", test_gang_recovers_from_partition },
  { "/gangs/starts-among-small-jobs", test_gang_starts_among_small_jobs },
  { "/gangs/drawn", test_recovery_from_random_faults },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

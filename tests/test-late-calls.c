/**
 * Launches that are held up past the time for cancelling, and rentals and returns that are carried
 * out late.
 */
#include "late-calls/late-calls.h"
#include "ws-suite.h"

static const WsTest TESTS[] = {
  { "/late-calls/held-launch-after-cancellation", test_held_launch_after_cancellation },
  { "/late-calls/held-launch-to-stalled-machine", test_held_launch_to_stalled_machine },
  { "/late-calls/held-launch-after-owner-change", test_held_launch_after_owner_change },
  { "/late-calls/held-launch-to-reset-machine", test_held_launch_to_reset_machine },
  { "/first-report/no-start-by-held-launch", test_held_launch_before_first_report },
  { "/late-calls/late-rental-after-timeout", test_late_rental_after_timeout },
  { "/late-calls/late-rental-after-leader-change", test_late_rental_after_leader_change },
  { "/late-calls/late-rental-after-all-controllers-ended",
    test_late_rental_after_all_controllers_ended },
  { "/late-calls/late-rental-after-refusal", test_late_rental_after_refusal },
  { "/late-calls/late-return-after-timeout", test_late_return_after_timeout },
  { "/late-calls/late-return-after-leader-change", test_late_return_after_leader_change },
  { "/late-calls/late-return-after-all-controllers-ended",
    test_late_return_after_all_controllers_ended },
  { "/late-calls/unknown-task-of-machine-that-is-back-is-removed",
    test_unknown_task_of_machine_that_is_back_is_removed },
  { "/late-calls/machine-back-within-a-second", test_machine_back_within_a_second },
  { "/late-calls/drawn-held-launches", test_drawn_held_launches },
  { "/late-calls/drawn-late-cloud-calls", test_drawn_late_cloud_calls },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

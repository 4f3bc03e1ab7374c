/**
 * Releases of tasks whose evidence may be outdated when they are committed.
 *
 * A release must be committed only while its evidence is valid. These tests guard against a task
 * that runs twice (the ran_twice violation): a former owner's release was committed after the
 * machine's next owner had launched the same attempt, so the task was assigned again while it ran.
 */
#include "evidence/evidence.h"
#include "ws-suite.h"

static const WsTest TESTS[] = {
  { "/evidence/pending-release-expires-with-ownership",
    test_pending_release_expires_with_ownership },
  { "/evidence/pending-legacy-release-expires-with-ownership",
    test_pending_legacy_release_expires_with_ownership },
  { "/evidence/no-release-by-former-owner", test_release_by_former_owner_is_not_committed },
  { "/evidence/no-legacy-release-by-former-owner",
    test_legacy_release_by_former_owner_is_not_committed },
  { "/evidence/no-launch-while-release-is-pending", test_no_launch_while_release_is_pending },
  { "/evidence/release-holds-for-same-owner", test_release_stays_valid_for_same_owner },
  { "/evidence/no-launch-before-caught-up-with-epoch", test_no_launch_before_caught_up_with_epoch },
  { "/evidence/no-direct-launch-before-caught-up-with-epoch",
    test_no_direct_launch_before_caught_up_with_epoch },
  { "/evidence/no-halt-before-caught-up-with-epoch", test_no_halt_before_caught_up_with_epoch },
  { "/evidence/returned-machine-is-released-in-any-epoch",
    test_returned_machine_is_released_in_any_epoch },
  { "/evidence/legacy-release-by-only-owner-holds", test_legacy_release_by_only_owner_is_accepted },
  { "/evidence/legacy-release-needs-current-worker-status",
    test_legacy_release_needs_current_worker_status },
  { "/evidence/unproven-legacy-release-terminates-machine",
    test_unproven_legacy_release_terminates_machine },
  { "/evidence/release-holds-exactly-under-one-owner",
    test_release_is_valid_exactly_while_owner_is_same },
  { "/evidence/release-encoding-round-trip", test_release_encoding_round_trip },
  { "/evidence/flapping", test_cluster_recovers_from_repeated_lease_loss },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

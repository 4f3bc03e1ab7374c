/**
 * Calls that were carried out and answered, and arrive again later.
 */
#include "late-copies/late-copies.h"
#include "ws-suite.h"

static const WsTest TESTS[] = {
  { "/late-copies/drawn", test_failed_and_cancelled_tasks_survive_late_copies },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

/**
 * The operators' properties file: what is accepted, what is rejected, and termination budgets.
 */
#include "protocol/ws-properties.h"

#include <string.h>

static gboolean
parse(const char *text, WsProperties **properties, GError **error)
{
  g_autoptr(GPtrArray) zones = g_ptr_array_new();
  g_ptr_array_add(zones, (gpointer) "a");
  g_ptr_array_add(zones, (gpointer) "b");
  *properties = ws_properties_new();
  return ws_properties_parse(*properties, text, zones, error);
}

static void
test_good(void)
{
  g_autoptr(WsProperties) properties = NULL;
  g_autoptr(GError) error = NULL;
  g_assert_true(parse("# a comment\ngiveback.hold_s = 7.5\nbudget.g8.a.minAvailable=50%\n"
                      "budget.g8.b.maxUnavailable=2\n",
                      &properties, &error));
  g_assert_cmpfloat(properties->idle_timeout_s, ==, 7.5);
  g_assert_cmpuint(properties->budgets->len, ==, 2);
}

static void
test_bad(void)
{
  static const struct {
    const char *text;
    const char *key;
  } CASES[] = { { "giveback.hold_s=0\n", "giveback.hold_s" },
                { "giveback.hold_s=soon\n", "giveback.hold_s" },
                { "giveback.hodl_s=3\n", "giveback.hodl_s" },
                { "giveback.backoff_min_s=9\ngiveback.backoff_max_s=3\n", "backoff_max_s" },
                { "budget.g8.c.minAvailable=1\n", "budget.g8.c.minAvailable" },
                { "budget.g8.a.minAvailable=101%\n", "budget.g8.a.minAvailable" },
                { "budget.g8.a.minAvailable=-1\n", "budget.g8.a.minAvailable" },
                { "budget.g8.a.most=1\n", "budget.g8.a.most" },
                { "budget.g8.a.minAvailable=1\nbudget.g8.a.maxUnavailable=1\n", "budget.g8.a" },
                { "[other]\nx=1\n", "other" } };
  for (guint i = 0; i < G_N_ELEMENTS(CASES); i++) {
    g_autoptr(WsProperties) properties = NULL;
    g_autoptr(GError) error = NULL;
    g_assert_false(parse(CASES[i].text, &properties, &error));
    g_assert_true(error->domain == WS_ERROR);
    g_assert_nonnull(strstr(error->message, CASES[i].key));
  }
}

/* Percentages are rounded so that a budget is never exceeded. */
static void
test_budget(void)
{
  WsDisruptionBudget budget = { .is_minimum = TRUE, .value = 3 };
  g_assert_cmpuint(ws_budget_max_unavailable(&budget, 5), ==, 2);
  g_assert_cmpuint(ws_budget_max_unavailable(&budget, 2), ==, 0);
  budget = (WsDisruptionBudget){ .is_minimum = TRUE, .is_percent = TRUE, .value = 100 };
  g_assert_cmpuint(ws_budget_max_unavailable(&budget, 5), ==, 0);
  budget.value = 50;
  g_assert_cmpuint(ws_budget_max_unavailable(&budget, 5), ==, 2);
  budget = (WsDisruptionBudget){ .value = 2 };
  g_assert_cmpuint(ws_budget_max_unavailable(&budget, 5), ==, 2);
  budget = (WsDisruptionBudget){ .is_percent = TRUE, .value = 50 };
  g_assert_cmpuint(ws_budget_max_unavailable(&budget, 5), ==, 2);
  budget.value = 0;
  g_assert_cmpuint(ws_budget_max_unavailable(&budget, 5), ==, 0);
}

int
main(int argc, char **argv)
{
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/properties/good", test_good);
  g_test_add_func("/properties/bad", test_bad);
  g_test_add_func("/properties/budget", test_budget);
  return g_test_run();
}

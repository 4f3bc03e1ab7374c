/**
 * Helpers for the main functions of the test programs.
 */
#pragma once

#include <glib.h>

/** A test without data, and its GLib test path. */
typedef struct {
  const char *path;
  void (*run)(void);
} WsTest;

/** Initializes GLib's tests. Warnings aren't fatal, because controllers log them under faults. */
static inline void
ws_suite_init(int *argc, char ***argv)
{
  g_test_init(argc, argv, NULL);
  g_log_set_always_fatal(G_LOG_LEVEL_ERROR);
}

/** Adds the tests, in the order of the table. */
static inline void
ws_suite_add(const WsTest *tests, gsize count)
{
  for (gsize i = 0; i < count; i++)
    g_test_add_func(tests[i].path, tests[i].run);
}

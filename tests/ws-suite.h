/**
 * What the main functions of test programs share.
 */
#pragma once

#include <glib.h>

/** A test without data, and the path that names it. */
typedef struct {
  const char *path;
  void (*run)(void);
} WsTest;

/** Begins the program. Warnings, which controllers under faults do log, don't end it. */
static inline void
ws_suite_init(int *argc, char ***argv)
{
  g_test_init(argc, argv, NULL);
  g_log_set_always_fatal(G_LOG_LEVEL_ERROR);
}

/** Adds the tests, which run in the order of the table. */
static inline void
ws_suite_add(const WsTest *tests, gsize count)
{
  for (gsize i = 0; i < count; i++)
    g_test_add_func(tests[i].path, tests[i].run);
}

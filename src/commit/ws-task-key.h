/**
 * The key of a task in hash tables, for pending assignments and releases.
 */
#pragma once

#include "protocol/ws-job-spec.h"

#include <glib.h>

/** The key of the task, by its number within the job. Never NULL. */
static inline gpointer
ws_task_key(WsJobIndex job, guint task)
{
  return GSIZE_TO_POINTER((gsize)job * WS_MAX_TASKS + task + 1);
}

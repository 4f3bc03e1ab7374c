/**
 * The hash table key of a task, used for pending assignments and releases.
 */
#pragma once

#include "protocol/ws-job-spec.h"

#include <glib.h>

/** Returns the key of a task. Never NULL. @task: number of the task within the job */
static inline gpointer
ws_task_key(WsJobIndex job, guint task)
{
  return GSIZE_TO_POINTER((gsize)job * WS_MAX_TASKS + task + 1);
}

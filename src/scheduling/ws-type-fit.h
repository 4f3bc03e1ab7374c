/**
 * The smallest machine type in the cloud's catalog that fits a task. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/** Returns the CPUs of the smallest machine type that fits a task, or G_MAXINT64 if none does. */
gint64 ws_type_smallest_fitting_cpus(const WsReplica *replica, const WsJobSpec *spec);

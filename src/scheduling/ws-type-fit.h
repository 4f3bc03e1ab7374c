/**
 * The smallest machine type of the cloud's catalog that a task fits. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/** Processors of the smallest type that fits one task; G_MAXINT64 if none does. */
gint64 ws_type_smallest_fitting_cpus(const WsReplica *replica, const WsJobSpec *spec);

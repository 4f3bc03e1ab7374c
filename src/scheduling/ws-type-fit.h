/**
 * Which machine types of the cloud's catalog a task fits. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/** Whether the job allows the type and one task fits an empty machine of it. */
gboolean ws_type_fits(const WsType *type, const WsJobSpec *spec);

/** Processors of the smallest type that fits one task; G_MAXINT64 if none does. */
gint64 ws_type_smallest_fitting_cpus(const WsReplica *replica, const WsJobSpec *spec);

/**
 * The state of planning between two plans, for ws-plan.c and ws-coordinator.c. Private to
 * scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/** What one plan leaves for the next. Times are in ms of the clock of core->now. */
struct _WsPlan {
  gint64 next_ms; /**< no plan before this time */
  gboolean escalation_is_in_flight;
  guint64 plan_count;
  guint64 machines_examined; /**< by all plans */
};

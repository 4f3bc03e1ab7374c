/**
 * The planning state that is kept between plans, for ws-plan.c and ws-coordinator.c. Private to
 * scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/** The planning state that is kept between plans. Times are in ms, on the clock of core->now_ms. */
struct _WsPlan {
  gint64 next_ms;                   /**< no plan is made before this time */
  gboolean escalation_is_in_flight; /**< whether a transaction that escalates jobs is pending */
  guint64 plan_count;               /**< number of plans made */
  guint64 machines_examined;        /**< by all plans together */
};

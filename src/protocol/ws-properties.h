/**
 * The operators' properties file. docs/operations.md describes its keys.
 */
#pragma once

#include "protocol/ws-error.h"

/**
 * A disruption budget: limits how many machines of a type in a zone may be unavailable at once.
 * Owns its strings.
 */
typedef struct {
  char *type;
  char *zone;
  gboolean is_minimum; /**< limit is minAvailable; otherwise maxUnavailable */
  gboolean is_percent; /**< value is a percentage of the machines; otherwise a count */
  guint value;
} WsDisruptionBudget;

/** The operators' properties. */
typedef struct {
  double idle_timeout_s; /**< how long a machine stays idle before it is returned to the cloud */
  double backoff_min_s;  /**< initial back-off after a rejected return or a postponed stop */
  double backoff_max_s;  /**< maximum back-off */
  guint headroom_tasks;  /**< spare capacity to keep rented, in tasks of the largest size seen */
  GPtrArray *budgets;    /**< array of WsDisruptionBudget */
} WsProperties;

/** Returns the default properties, which the caller frees. */
WsProperties *ws_properties_new(void);

/**
 * Sets the properties that the text contains; the others keep their values. If the text is invalid,
 * returns FALSE and sets @error; the properties are then undefined and can only be freed.
 *
 * @zones: array of char *, the zones that budgets may name; not kept
 */
gboolean ws_properties_parse(WsProperties *properties, const char *text, GPtrArray *zones,
                             GError **error);

/** Frees the properties; NULL is allowed. */
void ws_properties_free(WsProperties *properties);

/** Returns how many of @total machines may be unavailable at once under the budget. */
guint ws_budget_max_unavailable(const WsDisruptionBudget *budget, guint total);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsProperties, ws_properties_free)

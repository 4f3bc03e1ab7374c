/**
 * The operators' own settings: a properties file, whose keys are described in docs/operations.md.
 */
#pragma once

#include "protocol/ws-error.h"

/** How many machines of a type in a zone may be unavailable at once. All strings are owned. */
typedef struct {
  char *type;
  char *zone;
  gboolean is_minimum; /**< minAvailable, else maxUnavailable */
  gboolean is_percent; /**< the value is a percentage of the machines, else a number of them */
  guint value;
} WsDisruptionBudget;

/** The operators' settings. */
typedef struct {
  double idle_timeout_s; /**< how long a machine is idle before it is given up */
  double backoff_min_s;  /**< first pause after a refused return or a put-off stop */
  double backoff_max_s;  /**< longest such pause */
  guint headroom_tasks;  /**< capacity for so many of the largest tasks seen is kept rented */
  GPtrArray *budgets;    /**< of WsDisruptionBudget */
} WsProperties;

/** The defaults. The caller frees them. */
WsProperties *ws_properties_new(void);

/**
 * Sets what the text says. FALSE with @error set: the text is invalid; the properties are then
 * undefined, but can be freed.
 *
 * @zones: of char *, the zones that budgets may name; not kept
 */
gboolean ws_properties_parse(WsProperties *properties, const char *text, GPtrArray *zones,
                             GError **error);

/** Frees the properties; NULL is allowed. */
void ws_properties_free(WsProperties *properties);

/** How many of @total machines may be unavailable at once. */
guint ws_budget_max_unavailable(const WsDisruptionBudget *budget, guint total);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsProperties, ws_properties_free)

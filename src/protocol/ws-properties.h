/* Operators' own settings: a properties file, read with GKeyFile under an implied group. */
#pragma once

#include "protocol/ws-error.h"

typedef struct {
  char *type;
  char *zone;
  gboolean is_minimum; /* minAvailable, else maxUnavailable */
  gboolean is_percent;
  guint value;
} WsBudget;

typedef struct {
  double idle_timeout_s;
  double backoff_min_s;
  double backoff_max_s;
  guint headroom_tasks; /* room for this many of the largest tasks seen is kept rented */
  GPtrArray *budgets;   /* of WsBudget */
} WsProperties;

WsProperties *ws_properties_new(void);
/* zones: the names that budgets may use. FALSE and a line naming the key. */
gboolean ws_properties_parse(WsProperties *properties, const char *text, GPtrArray *zones,
                             GError **error);
void ws_properties_free(WsProperties *properties);

/* How many machines may be unavailable at once, out of total. */
guint ws_budget_allowed(const WsBudget *budget, guint total);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsProperties, ws_properties_free)

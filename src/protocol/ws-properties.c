/* Parses the properties file, with GKeyFile. */
#include "protocol/ws-properties.h"

#include <string.h>

/* GKeyFile needs a group, and the file has none: this one is put before its text. */
#define GROUP "wrenshore"

#define DEFAULT_IDLE_TIMEOUT_S 20.0
#define DEFAULT_BACKOFF_MIN_S 1.0
#define DEFAULT_BACKOFF_MAX_S 30.0
#define DEFAULT_HEADROOM_TASKS 1

#define MAX_SECONDS 3600.0
#define MAX_HEADROOM_TASKS 1000
#define MAX_BUDGET_MACHINES 1000000
#define MAX_PERCENT 100u

/* budget.TYPE.ZONE.LIMIT */
#define BUDGET_KEY_PARTS 4
#define LIMIT_MIN_AVAILABLE "minAvailable"
#define LIMIT_MAX_UNAVAILABLE "maxUnavailable"

static void
budget_free(gpointer data)
{
  WsDisruptionBudget *budget = data;
  g_free(budget->type);
  g_free(budget->zone);
  g_free(budget);
}

WsProperties *
ws_properties_new(void)
{
  WsProperties *properties = g_new0(WsProperties, 1);
  properties->idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S;
  properties->backoff_min_s = DEFAULT_BACKOFF_MIN_S;
  properties->backoff_max_s = DEFAULT_BACKOFF_MAX_S;
  properties->headroom_tasks = DEFAULT_HEADROOM_TASKS;
  properties->budgets = g_ptr_array_new_with_free_func(budget_free);
  return properties;
}

void
ws_properties_free(WsProperties *properties)
{
  if (properties == NULL)
    return;
  g_ptr_array_unref(properties->budgets);
  g_free(properties);
}

static gboolean
parse_seconds(const char *text, double *value)
{
  char *end;
  *value = g_ascii_strtod(text, &end);
  return end != text && *end == '\0' && *value > 0.0 && *value <= MAX_SECONDS;
}

static gboolean
parse_count(const char *text, guint max, guint *value)
{
  guint64 number;
  if (!g_ascii_string_to_unsigned(text, 10, 0, max, &number, NULL))
    return FALSE;
  *value = (guint)number;
  return TRUE;
}

static gboolean
parse_amount(const char *text, WsDisruptionBudget *budget)
{
  gsize length = strlen(text);
  budget->is_percent = length > 1 && text[length - 1] == '%';
  g_autofree char *digits = g_strndup(text, budget->is_percent ? length - 1 : length);
  return parse_count(digits, budget->is_percent ? MAX_PERCENT : MAX_BUDGET_MACHINES,
                     &budget->value);
}

static gboolean
contains_zone(GPtrArray *zones, const char *zone)
{
  return g_ptr_array_find_with_equal_func(zones, zone, g_str_equal, NULL);
}

static gboolean
has_budget(const WsProperties *properties, const char *type, const char *zone)
{
  for (guint i = 0; i < properties->budgets->len; i++) {
    const WsDisruptionBudget *budget = g_ptr_array_index(properties->budgets, i);
    if (strcmp(budget->type, type) == 0 && strcmp(budget->zone, zone) == 0)
      return TRUE;
  }
  return FALSE;
}

/* Returns what is wrong with the key or its value, as does parse_key(); NULL: nothing. */
static const char *
parse_budget(WsProperties *properties, const char *key, const char *value, GPtrArray *zones)
{
  g_auto(GStrv) parts = g_strsplit(key, ".", -1);
  if (g_strv_length(parts) != BUDGET_KEY_PARTS)
    return "unknown key";
  const char *limit = parts[3];
  gboolean is_minimum = strcmp(limit, LIMIT_MIN_AVAILABLE) == 0;
  if (!is_minimum && strcmp(limit, LIMIT_MAX_UNAVAILABLE) != 0)
    return "unknown key";
  const char *type = parts[1], *zone = parts[2];
  if (!contains_zone(zones, zone))
    return "unknown zone";
  if (has_budget(properties, type, zone))
    return "minAvailable and maxUnavailable can't both be given for a type and zone";
  WsDisruptionBudget *budget = g_new0(WsDisruptionBudget, 1);
  budget->type = g_strdup(type);
  budget->zone = g_strdup(zone);
  budget->is_minimum = is_minimum;
  g_ptr_array_add(properties->budgets, budget);
  return parse_amount(value, budget) ? NULL : "not a count or a percentage";
}

static const char *
parse_key(WsProperties *properties, const char *key, const char *value, GPtrArray *zones)
{
  const char *const not_seconds = "not a number of seconds above 0 and up to 3600";
  if (strcmp(key, "giveback.hold_s") == 0)
    return parse_seconds(value, &properties->idle_timeout_s) ? NULL : not_seconds;
  if (strcmp(key, "giveback.backoff_min_s") == 0)
    return parse_seconds(value, &properties->backoff_min_s) ? NULL : not_seconds;
  if (strcmp(key, "giveback.backoff_max_s") == 0)
    return parse_seconds(value, &properties->backoff_max_s) ? NULL : not_seconds;
  if (strcmp(key, "fleet.spare_tasks") == 0)
    return parse_count(value, MAX_HEADROOM_TASKS, &properties->headroom_tasks)
               ? NULL
               : "not a count up to 1000";
  if (g_str_has_prefix(key, "budget."))
    return parse_budget(properties, key, value, zones);
  return "unknown key";
}

/* Loads the text as a file without groups. */
static gboolean
load_key_file(GKeyFile *file, const char *text, GError **error)
{
  g_autoptr(GError) cause = NULL;
  g_autofree char *grouped = g_strconcat("[" GROUP "]\n", text, NULL);
  if (!g_key_file_load_from_data(file, grouped, strlen(grouped), G_KEY_FILE_NONE, &cause)) {
    g_set_error_literal(error, WS_ERROR, WS_ERROR_MALFORMED, cause->message);
    return FALSE;
  }
  gsize groups = 0;
  g_auto(GStrv) names = g_key_file_get_groups(file, &groups);
  if (groups != 1) {
    g_set_error(error, WS_ERROR, WS_ERROR_MALFORMED, "%s: groups are not used here",
                names[groups - 1]);
    return FALSE;
  }
  return TRUE;
}

gboolean
ws_properties_parse(WsProperties *properties, const char *text, GPtrArray *zones, GError **error)
{
  g_autoptr(GKeyFile) file = g_key_file_new();
  if (!load_key_file(file, text, error))
    return FALSE;
  g_auto(GStrv) keys = g_key_file_get_keys(file, GROUP, NULL, NULL);
  for (char **key = keys; *key != NULL; key++) {
    g_autofree char *value = g_key_file_get_string(file, GROUP, *key, NULL);
    const char *problem
        = value == NULL ? "not readable" : parse_key(properties, *key, value, zones);
    if (problem != NULL) {
      g_set_error(error, WS_ERROR, WS_ERROR_INVALID_PROPERTY, "%s: %s", *key, problem);
      return FALSE;
    }
  }
  if (properties->backoff_max_s < properties->backoff_min_s) {
    g_set_error_literal(error, WS_ERROR, WS_ERROR_INVALID_PROPERTY,
                        "giveback.backoff_max_s: below giveback.backoff_min_s");
    return FALSE;
  }
  return TRUE;
}

/* Percentages are rounded towards fewer unavailable machines. */
guint
ws_budget_max_unavailable(const WsDisruptionBudget *budget, guint total)
{
  if (!budget->is_minimum)
    return budget->is_percent ? total * budget->value / MAX_PERCENT : budget->value;
  guint minimum = budget->is_percent ? (total * budget->value + MAX_PERCENT - 1) / MAX_PERCENT
                                     : budget->value;
  return total > minimum ? total - minimum : 0;
}

#include "protocol/ws-cloud.h"

#include "protocol/ws-field-names.h"

#include <math.h>
#include <string.h>

/* HTTP statuses of the cloud's answers. */
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_UNAVAILABLE 503

static void
type_free(gpointer data)
{
  WsType *type = data;
  g_free(type->name);
  g_strfreev(type->zones);
  g_free(type);
}

static void
listed_free(gpointer data)
{
  WsListedMachine *listed = data;
  g_free(listed->id);
  g_free(listed->endpoint);
  g_free(listed->type);
  g_free(listed->zone);
  g_free(listed);
}

static gboolean
capacity(const json_t *item, const char *name, gint64 *value)
{
  double number;
  if (!ws_json_number(item, name, &number) || !(number >= 0.0 && number < 1e9))
    return FALSE;
  *value = (gint64)floor(number * 1000.0 + 1e-6);
  return TRUE;
}

static char **
strings(const json_t *list)
{
  if (!json_is_array(list))
    return NULL;
  g_autoptr(GStrvBuilder) builder = g_strv_builder_new();
  size_t i;
  const json_t *item;
  json_array_foreach(list, i, item)
  {
    if (!json_is_string(item))
      return NULL;
    g_strv_builder_add(builder, json_string_value(item));
  }
  return g_strv_builder_end(builder);
}

static gboolean
parse_type(const json_t *item, WsType *type)
{
  const char *name;
  if (!ws_json_string(item, W_NAME, &name) || !capacity(item, "cpus", &type->capacity.cpus)
      || !capacity(item, W_GPUS, &type->capacity.gpus)
      || !capacity(item, "mem_gb", &type->capacity.memory)
      || !ws_json_number(item, W_CACHE_GB, &type->cache_gb)
      || !ws_json_number(item, W_FETCH_RATE, &type->fetch_gb_per_s)
      || !ws_json_number(item, "price", &type->price)
      || !ws_json_number(item, W_SPOT_PRICE, &type->spot_price)
      || !ws_json_number(item, "boot_s", &type->boot_s)
      || (type->zones = strings(json_object_get(item, "haly"))) == NULL)
    return FALSE;
  type->name = g_strdup(name);
  return TRUE;
}

GPtrArray *
ws_catalog_parse(const json_t *message)
{
  const json_t *list = json_object_get(message, W_TYPES);
  if (!json_is_array(list))
    return NULL;
  g_autoptr(GPtrArray) types = g_ptr_array_new_with_free_func(type_free);
  size_t i;
  const json_t *item;
  json_array_foreach(list, i, item)
  {
    WsType *type = g_new0(WsType, 1);
    g_ptr_array_add(types, type);
    if (!parse_type(item, type))
      return NULL;
  }
  return g_steal_pointer(&types);
}

static gboolean
parse_listed(const json_t *item, WsListedMachine *listed)
{
  const char *id, *endpoint = NULL, *type, *zone, *state;
  if (!ws_json_string(item, "id", &id) || !ws_json_string_or_null(item, "endpoint", &endpoint)
      || !ws_json_string(item, W_TYPE, &type) || !ws_json_string(item, W_ZONE, &zone)
      || !ws_json_bool(item, W_SPOT, &listed->spot) || !ws_json_string(item, W_STATE, &state)
      || !ws_json_number(item, "age_s", &listed->age_s))
    return FALSE;
  listed->id = g_strdup(id);
  listed->endpoint = g_strdup(endpoint);
  listed->type = g_strdup(type);
  listed->zone = g_strdup(zone);
  listed->failed = g_strcmp0(state, "failed") == 0;
  return TRUE;
}

GPtrArray *
ws_listing_parse(const json_t *message, gboolean *more)
{
  const json_t *list = json_object_get(message, W_MACHINES);
  if (!json_is_array(list) || !ws_json_bool(message, "more", more))
    return NULL;
  g_autoptr(GPtrArray) machines = g_ptr_array_new_with_free_func(listed_free);
  size_t i;
  const json_t *item;
  json_array_foreach(list, i, item)
  {
    WsListedMachine *listed = g_new0(WsListedMachine, 1);
    g_ptr_array_add(machines, listed);
    if (!parse_listed(item, listed))
      return NULL;
  }
  return g_steal_pointer(&machines);
}

GPtrArray *
ws_names_parse(const json_t *message)
{
  g_auto(GStrv) names = strings(json_object_get(message, W_MACHINES));
  if (names == NULL)
    return NULL;
  GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
  for (char **name = names; *name != NULL; name++)
    g_ptr_array_add(list, g_strdup(*name));
  return list;
}

static gboolean
has_no_capacity(const json_t *body)
{
  const char *error;
  return ws_json_string(body, "error", &error) && strcmp(error, "no capacity") == 0;
}

WsRentalResult
ws_rental_reply_parse(guint status, const json_t *body, GPtrArray **names)
{
  *names = status == STATUS_OK ? ws_names_parse(body) : NULL;
  if (*names != NULL)
    return WS_RENTAL_RENTED;
  if (status == STATUS_BAD_REQUEST)
    return WS_RENTAL_REFUSED;
  if (status == STATUS_UNAVAILABLE && has_no_capacity(body))
    return WS_RENTAL_NO_CAPACITY;
  return WS_RENTAL_FAILED;
}

json_t *
ws_rental_encode(const char *request, const char *type, const char *zone, gboolean spot,
                 guint count)
{
  return json_pack("{s:s, s:s, s:s, s:b, s:i}", W_REQUEST, request, W_TYPE, type, W_ZONE, zone,
                   W_SPOT, spot, "how_many", (int)count);
}

json_t *
ws_return_encode(GPtrArray *machines)
{
  json_t *list = json_array();
  for (guint i = 0; i < machines->len; i++)
    json_array_append_new(list, json_string(g_ptr_array_index(machines, i)));
  return json_pack("{s:o}", W_MACHINES, list);
}

/* Parses the responses of the cloud API and encodes the requests to it. */
#include "protocol/ws-cloud.h"

#include "protocol/ws-field-names.h"
#include "protocol/ws-status-codes.h"

#include <math.h>
#include <string.h>

/* State of a listed machine that will never come up. */
#define MACHINE_STATE_FAILED "failed"
/* Member of an error response, and its value when the cloud is out of capacity. */
#define CLOUD_FIELD_ERROR "error"
#define CLOUD_ERROR_NO_CAPACITY "no capacity"

static void
type_free(gpointer data)
{
  WsType *type = data;
  g_free(type->name);
  g_strfreev(type->zones);
  g_free(type);
}

static void
listed_machine_free(gpointer data)
{
  WsListedMachine *listed = data;
  g_free(listed->id);
  g_free(listed->endpoint);
  g_free(listed->type);
  g_free(listed->zone);
  g_free(listed);
}

typedef gboolean (*ParseItemFunc)(const json_t *item, gpointer parsed);

/* Parses each item of a JSON array into a new structure of item_size bytes. Returns NULL if the
   value is not an array or if an item is invalid. */
static GPtrArray *
parse_list(const json_t *list, gsize item_size, GDestroyNotify free_item, ParseItemFunc parse_item)
{
  if (!json_is_array(list))
    return NULL;
  g_autoptr(GPtrArray) parsed = g_ptr_array_new_with_free_func(free_item);
  size_t i;
  const json_t *item;
  json_array_foreach(list, i, item)
  {
    gpointer entry = g_malloc0(item_size);
    g_ptr_array_add(parsed, entry);
    if (!parse_item(item, entry))
      return NULL;
  }
  return g_steal_pointer(&parsed);
}

static gboolean
parse_type(const json_t *item, gpointer parsed)
{
  WsType *type = parsed;
  const char *name;
  if (!ws_json_string(item, WS_FIELD_TYPE_NAME, &name)
      || !ws_amount_parse_capacity(item, WS_FIELD_CPUS, &type->capacity.cpus)
      || !ws_amount_parse_capacity(item, WS_FIELD_GPUS, &type->capacity.gpus)
      || !ws_amount_parse_capacity(item, WS_FIELD_MEMORY_GB, &type->capacity.memory)
      || !ws_json_number(item, WS_FIELD_CACHE_GB, &type->cache_gb)
      || !ws_json_number(item, WS_FIELD_FETCH_GB_PER_S, &type->fetch_gb_per_s)
      || !ws_json_number(item, WS_FIELD_PRICE, &type->price)
      || !ws_json_number(item, WS_FIELD_SPOT_PRICE, &type->spot_price)
      || !ws_json_number(item, WS_FIELD_BOOT_S, &type->boot_s)
      || (type->zones = ws_json_string_list(json_object_get(item, WS_FIELD_ZONES))) == NULL)
    return FALSE;
  type->name = g_strdup(name);
  return TRUE;
}

GPtrArray *
ws_catalog_parse(const json_t *message)
{
  return parse_list(json_object_get(message, WS_FIELD_MACHINE_TYPES), sizeof(WsType), type_free,
                    parse_type);
}

static gboolean
parse_listed_machine(const json_t *item, gpointer parsed)
{
  WsListedMachine *listed = parsed;
  const char *id, *endpoint = NULL, *type, *zone, *state;
  if (!ws_json_string(item, WS_FIELD_ID, &id)
      || !ws_json_string_or_null(item, WS_FIELD_ENDPOINT, &endpoint)
      || !ws_json_string(item, WS_FIELD_MACHINE_TYPE, &type)
      || !ws_json_string(item, WS_FIELD_ZONE, &zone)
      || !ws_json_bool(item, WS_FIELD_SPOT, &listed->is_spot)
      || !ws_json_string(item, WS_FIELD_STATE, &state)
      || !ws_json_number(item, WS_FIELD_AGE_S, &listed->age_s))
    return FALSE;
  listed->id = g_strdup(id);
  listed->endpoint = g_strdup(endpoint);
  listed->type = g_strdup(type);
  listed->zone = g_strdup(zone);
  listed->has_failed = g_strcmp0(state, MACHINE_STATE_FAILED) == 0;
  return TRUE;
}

GPtrArray *
ws_machine_list_parse(const json_t *message, gboolean *more)
{
  const json_t *list = json_object_get(message, WS_FIELD_MACHINES);
  if (!json_is_array(list) || !ws_json_bool(message, WS_FIELD_HAS_MORE, more))
    return NULL;
  return parse_list(list, sizeof(WsListedMachine), listed_machine_free, parse_listed_machine);
}

GPtrArray *
ws_rental_machines_parse(const json_t *message)
{
  g_auto(GStrv) names = ws_json_string_list(json_object_get(message, WS_FIELD_MACHINES));
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
  return ws_json_string(body, CLOUD_FIELD_ERROR, &error)
         && strcmp(error, CLOUD_ERROR_NO_CAPACITY) == 0;
}

WsRentalResult
ws_rental_response_parse(guint status, const json_t *body, GPtrArray **names)
{
  *names = status == WS_HTTP_OK ? ws_rental_machines_parse(body) : NULL;
  if (*names != NULL)
    return WS_RENTAL_RENTED;
  if (status == WS_HTTP_BAD_REQUEST)
    return WS_RENTAL_REJECTED;
  if (status == WS_HTTP_SERVICE_UNAVAILABLE && has_no_capacity(body))
    return WS_RENTAL_NO_CAPACITY;
  return WS_RENTAL_FAILED;
}

json_t *
ws_rental_encode(const char *request, const char *type, const char *zone, gboolean spot,
                 guint count)
{
  return json_pack("{s:s, s:s, s:s, s:b, s:i}", WS_FIELD_IDEMPOTENCY_KEY, request,
                   WS_FIELD_MACHINE_TYPE, type, WS_FIELD_ZONE, zone, WS_FIELD_SPOT, spot,
                   WS_FIELD_MACHINE_COUNT, (int)count);
}

json_t *
ws_machine_return_encode(const GPtrArray *machines)
{
  json_t *list = json_array();
  for (guint i = 0; i < machines->len; i++)
    json_array_append_new(list, json_string(g_ptr_array_index(machines, i)));
  return json_pack("{s:o}", WS_FIELD_MACHINES, list);
}

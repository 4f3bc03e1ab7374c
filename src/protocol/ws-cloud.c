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

/* Parses the valid items of a JSON array into new structures of item_size bytes. Returns NULL if
   the value is not an array. */
static GPtrArray *
parse_list(const json_t *list, gsize item_size, GDestroyNotify free_item, ParseItemFunc parse_item)
{
  if (!json_is_array(list))
    return NULL;
  GPtrArray *parsed = g_ptr_array_new_with_free_func(free_item);
  size_t i;
  const json_t *item;
  json_array_foreach(list, i, item)
  {
    gpointer entry = g_malloc0(item_size);
    if (parse_item(item, entry))
      g_ptr_array_add(parsed, entry);
    else
      free_item(entry);
  }
  return parsed;
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

/* A catalog without one of its types would say that jobs for this type can never run, so it is
   valid only as a whole. */
GPtrArray *
ws_catalog_parse(const json_t *message)
{
  const json_t *list = json_object_get(message, WS_FIELD_MACHINE_TYPES);
  g_autoptr(GPtrArray) types = parse_list(list, sizeof(WsType), type_free, parse_type);
  return types != NULL && types->len == json_array_size(list) ? g_steal_pointer(&types) : NULL;
}

static json_t *
encode_type(const WsType *type)
{
  json_t *zones = json_array();
  for (char **zone = type->zones; *zone != NULL; zone++)
    json_array_append_new(zones, json_string(*zone));
  return json_pack("{s:s, s:o, s:o, s:o, s:f, s:f, s:f, s:f, s:f, s:o}",               //
                   WS_FIELD_TYPE_NAME, type->name,                                     //
                   WS_FIELD_CPUS, ws_amount_encode(type->capacity.cpus),               //
                   WS_FIELD_GPUS, ws_amount_encode(type->capacity.gpus),               //
                   WS_FIELD_MEMORY_GB, ws_amount_encode(type->capacity.memory),        //
                   WS_FIELD_CACHE_GB, type->cache_gb,                                  //
                   WS_FIELD_FETCH_GB_PER_S, type->fetch_gb_per_s,                      //
                   WS_FIELD_PRICE, type->price, WS_FIELD_SPOT_PRICE, type->spot_price, //
                   WS_FIELD_BOOT_S, type->boot_s, WS_FIELD_ZONES, zones);
}

json_t *
ws_catalog_encode(const GPtrArray *types)
{
  json_t *list = json_array();
  for (guint i = 0; i < types->len; i++)
    json_array_append_new(list, encode_type(g_ptr_array_index(types, i)));
  return json_pack("{s:o}", WS_FIELD_MACHINE_TYPES, list);
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

/* Malformed entries are left out, since nothing is concluded from a machine's absence from the
   list. If there are only malformed ones, the list is malformed. */
GPtrArray *
ws_machine_list_parse(const json_t *message, gboolean *has_more)
{
  const json_t *list = json_object_get(message, WS_FIELD_MACHINES);
  if (!ws_json_bool(message, WS_FIELD_HAS_MORE, has_more))
    return NULL;
  g_autoptr(GPtrArray) machines
      = parse_list(list, sizeof(WsListedMachine), listed_machine_free, parse_listed_machine);
  gboolean is_readable = machines != NULL && (machines->len > 0 || json_array_size(list) == 0);
  return is_readable ? g_steal_pointer(&machines) : NULL;
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
ws_rental_encode(const char *idempotency_key, const char *type, const char *zone, gboolean spot,
                 guint count)
{
  return json_pack("{s:s, s:s, s:s, s:b, s:i}", WS_FIELD_IDEMPOTENCY_KEY, idempotency_key,
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

/* The records of rental batches, rental intents and termination marks. */
#include "storage/ws-machine-records.h"

#include <string.h>

/* Stored field names. */
#define FIELD_TYPE "type"
#define FIELD_ZONE "zone"
#define FIELD_SPOT "spot"
#define FIELD_RENTED "at"
#define FIELD_MACHINES "names"
#define FIELD_COUNT "count"
#define FIELD_REASON "why"
#define FIELD_IS_IMMEDIATE "now"

/* The size of a rental batch's record without its type, its zone and the names of its machines. */
#define BYTES_AROUND_BATCH 90
/* Quotation marks and comma around a name, and an ordinary name. */
#define BYTES_AROUND_NAME 3
#define BYTES_OF_ORDINARY_NAME 20
#define MAX_MACHINES_PER_BATCH 50

static const char *
machine_name(const WsRentalBatch *rental_batch, const WsReplica *replica, guint position)
{
  WsMachineIndex machine = g_array_index(rental_batch->machines, WsMachineIndex, position);
  return ws_replica_machine(replica, machine)->name;
}

gboolean
ws_rental_batch_has_space(const WsRentalBatch *rental_batch, const WsReplica *replica,
                          const char *machine)
{
  gsize bytes = BYTES_AROUND_BATCH + strlen(rental_batch->type) + strlen(rental_batch->zone)
                + strlen(machine) + BYTES_AROUND_NAME;
  for (guint i = 0; i < rental_batch->machines->len; i++)
    bytes += strlen(machine_name(rental_batch, replica, i)) + BYTES_AROUND_NAME;
  return bytes <= replica->settings->kv_max_record_bytes;
}

guint
ws_rental_batch_max_machines(const WsSettings *settings)
{
  gsize bytes = (gsize)settings->kv_max_record_bytes - (gsize)2 * BYTES_AROUND_BATCH;
  return MIN((guint)(bytes / (BYTES_AROUND_NAME + BYTES_OF_ORDINARY_NAME)), MAX_MACHINES_PER_BATCH);
}

json_t *
ws_rental_batch_encode(const WsRentalBatch *rental_batch, const WsReplica *replica)
{
  json_t *names = json_array();
  for (guint i = 0; i < rental_batch->machines->len; i++)
    json_array_append_new(names, json_string(machine_name(rental_batch, replica, i)));
  return json_pack("{s:s, s:s, s:b, s:I, s:o}", FIELD_TYPE, rental_batch->type, FIELD_ZONE,
                   rental_batch->zone, FIELD_SPOT, rental_batch->is_spot, FIELD_RENTED,
                   (json_int_t)rental_batch->rented_ms, FIELD_MACHINES, names);
}

/* What machines are rented: fields that batches and intents share. */
typedef struct {
  const char *type;
  const char *zone;
  gboolean is_spot;
} Offer;

static gboolean
parse_offer(const json_t *value, Offer *offer)
{
  return ws_json_string(value, FIELD_TYPE, &offer->type)
         && ws_json_string(value, FIELD_ZONE, &offer->zone)
         && ws_json_bool(value, FIELD_SPOT, &offer->is_spot);
}

WsRentalBatch *
ws_rental_batch_parse(WsReplica *replica, const char *name, const json_t *value)
{
  Offer offer;
  guint64 rented_ms;
  if (!parse_offer(value, &offer) || !ws_json_uint64(value, FIELD_RENTED, &rented_ms))
    return NULL;
  WsRentalBatch *rental_batch = g_new0(WsRentalBatch, 1);
  rental_batch->name = g_strdup(name);
  rental_batch->type = g_strdup(offer.type);
  rental_batch->zone = g_strdup(offer.zone);
  rental_batch->is_spot = offer.is_spot;
  rental_batch->rented_ms = (gint64)rented_ms;
  rental_batch->machines = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  size_t i;
  const json_t *item;
  json_array_foreach(json_object_get(value, FIELD_MACHINES), i, item)
  {
    if (!json_is_string(item))
      continue;
    WsMachineIndex machine = ws_replica_ensure_machine(replica, json_string_value(item))->index;
    g_array_append_val(rental_batch->machines, machine);
  }
  return rental_batch;
}

json_t *
ws_rental_intent_encode(const WsRentalIntent *intent)
{
  return json_pack("{s:s, s:s, s:b, s:i}", FIELD_TYPE, intent->type, FIELD_ZONE, intent->zone,
                   FIELD_SPOT, intent->is_spot, FIELD_COUNT, (int)intent->count);
}

WsRentalIntent *
ws_rental_intent_parse(const char *request, const json_t *value)
{
  Offer offer;
  guint64 count;
  if (!parse_offer(value, &offer) || !ws_json_uint64(value, FIELD_COUNT, &count))
    return NULL;
  WsRentalIntent *intent = g_new0(WsRentalIntent, 1);
  intent->request = g_strdup(request);
  intent->type = g_strdup(offer.type);
  intent->zone = g_strdup(offer.zone);
  intent->is_spot = offer.is_spot;
  intent->count = (guint)count;
  return intent;
}

json_t *
ws_mark_encode(const char *reason, gboolean is_immediate)
{
  return json_pack("{s:s, s:b}", FIELD_REASON, reason, FIELD_IS_IMMEDIATE, is_immediate);
}

void
ws_mark_parse(const json_t *value, const char **reason, gboolean *is_immediate)
{
  (void)ws_json_string(value, FIELD_REASON, reason);
  (void)ws_json_bool(value, FIELD_IS_IMMEDIATE, is_immediate);
}

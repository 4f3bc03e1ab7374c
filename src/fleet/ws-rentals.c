/**
 * Scale out: an intent is written to the store, the rental request is sent to the cloud, and a
 * rental batch with the new machines replaces the intent.
 */
#include "fleet/ws-fleet-private.h"

#include "protocol/ws-status-codes.h"
#include "store/ws-store.h"

#include <string.h>

#define MIN_CAPACITY_BACKOFF_MS 5000
#define MAX_CAPACITY_BACKOFF_MS 40000
/* A rental that fails for lack of capacity costs two writes to the store: the intent and its
   deletion. Failed rentals of all kinds of machines together use no more than this share of the
   store's write rate limit. */
#define FAILED_RENTALS_WRITE_SHARE 0.03
#define WRITES_PER_FAILED_RENTAL 2.0
/* Spot and on-demand machines are different kinds. */
#define KINDS_PER_TYPE_AND_ZONE 2.0
#define RENTAL_RETRY_MS 1500
#define RENTAL_TIMEOUT_MS 4000

/* Bits of kind_key(): spot flag in bit 0, zone from bit 1, type from bit 16. */
#define KIND_ZONE_SHIFT 1u
#define KIND_TYPE_SHIFT 16u

/* Back-off of a kind of machine that the cloud lacked capacity for. */
typedef struct {
  gint64 until_ms; /* the kind isn't requested before this time */
  guint backoff_ms;
} CapacityBackoff;

struct _WsRentals {
  GHashTable *backoffs;       /* kind_key() -> CapacityBackoff */
  guint64 last_request;       /* number of the last rental request in this run */
  WsTxn *intents;             /* the transaction being assembled, or NULL */
  gboolean intents_in_flight; /* a transaction of intents is in flight */
  GHashTable
      *requests_in_flight;    /* names of requests sent to the cloud whose intents aren't closed */
  GHashTable *next_try_times; /* name of a request -> time of its next try (gint64) */
};

WsRentals *
ws_rentals_new(void)
{
  WsRentals *rentals = g_new0(WsRentals, 1);
  rentals->backoffs = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  rentals->requests_in_flight = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  rentals->next_try_times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return rentals;
}

void
ws_rentals_free(WsRentals *rentals)
{
  g_hash_table_unref(rentals->backoffs);
  g_hash_table_unref(rentals->requests_in_flight);
  g_hash_table_unref(rentals->next_try_times);
  g_free(rentals);
}

static gpointer
kind_key(WsTypeIndex type, WsZoneIndex zone, gboolean spot)
{
  return GUINT_TO_POINTER(type << KIND_TYPE_SHIFT | zone << KIND_ZONE_SHIFT | (spot ? 1u : 0u));
}

gboolean
ws_rentals_is_backing_off(const WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot)
{
  const CapacityBackoff *backoff
      = g_hash_table_lookup(core->fleet->rentals->backoffs, kind_key(type, zone, spot));
  return backoff != NULL && core->now_ms < backoff->until_ms;
}

/* Returns the factor that lengthens the capacity back-off. It is above 1 if the store's write rate
   limit is low in relation to the number of kinds of machines. */
static double
capacity_backoff_factor(const WsCore *core)
{
  double kinds = 0.0;
  for (WsTypeIndex t = 0; core->replica->catalog != NULL && t < core->replica->catalog->len; t++)
    kinds += KINDS_PER_TYPE_AND_ZONE * g_strv_length(ws_replica_type(core->replica, t)->zones);
  double per_second = FAILED_RENTALS_WRITE_SHARE * core->settings->kv_writes_per_s;
  double period_ms = 1000.0 * WRITES_PER_FAILED_RENTAL * kinds / per_second;
  return MAX(1.0, period_ms / MAX_CAPACITY_BACKOFF_MS);
}

void
ws_rentals_update_backoff(WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot,
                          gboolean enough)
{
  gpointer key = kind_key(type, zone, spot);
  if (enough) {
    g_hash_table_remove(core->fleet->rentals->backoffs, key);
    return;
  }
  CapacityBackoff *backoff = g_hash_table_lookup(core->fleet->rentals->backoffs, key);
  if (backoff == NULL) {
    backoff = g_new0(CapacityBackoff, 1);
    g_hash_table_insert(core->fleet->rentals->backoffs, key, backoff);
  }
  double factor = capacity_backoff_factor(core);
  backoff->backoff_ms = CLAMP(backoff->backoff_ms * 2, (guint)(MIN_CAPACITY_BACKOFF_MS * factor),
                              (guint)(MAX_CAPACITY_BACKOFF_MS * factor));
  backoff->until_ms = core->now_ms + backoff->backoff_ms;
}

static void
on_intents_written(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)result;
  (void)data;
  core->fleet->rentals->intents_in_flight = FALSE;
}

/* Whether an intent hasn't been sent to the cloud yet, for example because of the cloud's rate
   limit. Meanwhile no intent is added and demand accumulates, since a few large requests get the
   machines sooner than many small ones. */
static gboolean
has_unsent_intent(const WsCore *core)
{
  for (guint i = 0; i < core->replica->rental_intents->len; i++) {
    const WsRentalIntent *intent = g_ptr_array_index(core->replica->rental_intents, i);
    if (!g_hash_table_contains(core->fleet->rentals->requests_in_flight, intent->request))
      return TRUE;
  }
  return FALSE;
}

static void
add_intent(WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot, guint machines)
{
  WsRentals *rentals = core->fleet->rentals;
  g_autofree char *request = g_strdup_printf("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                                             core->replica->epoch.number, ++rentals->last_request);
  g_autofree char *key = ws_key(WS_KEY_PREFIX_RENTAL_INTENT, request);
  WsRentalIntent intent = { .type = ws_replica_type(core->replica, type)->name,
                            .zone = g_ptr_array_index(core->settings->zones, zone),
                            .is_spot = spot,
                            .count = machines };
  g_info("scale out: requesting %u %s machines of type %s in %s", intent.count,
         spot ? "spot" : "ordinary", intent.type, intent.zone);
  ws_txn_compare_version(rentals->intents, key, 0);
  ws_txn_put(rentals->intents, key, ws_rental_intent_encode(&intent));
}

void
ws_rentals_request(WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot, guint machines)
{
  WsRentals *rentals = core->fleet->rentals;
  if (rentals->intents_in_flight || has_unsent_intent(core))
    return;
  if (rentals->intents == NULL) {
    rentals->intents = ws_txn_new();
    ws_txn_compare(rentals->intents, core->replica, WS_KEY_EPOCH);
  }
  guint max_machines = ws_rental_batch_max_machines(core->settings);
  for (guint left = machines;
       left > 0 && ws_txn_operation_count(rentals->intents) < core->settings->kv_max_txn_ops;
       left -= MIN(left, max_machines))
    add_intent(core, type, zone, spot, MIN(left, max_machines));
}

void
ws_rentals_record_intents(WsCore *core)
{
  WsRentals *rentals = core->fleet->rentals;
  if (rentals->intents == NULL)
    return;
  rentals->intents_in_flight = TRUE;
  ws_txn_commit(core, g_steal_pointer(&rentals->intents), WS_REQUEST_SCHEDULING, on_intents_written,
                NULL);
}

static WsRentalIntent *
find_intent(const WsCore *core, const char *request)
{
  for (guint i = 0; i < core->replica->rental_intents->len; i++) {
    WsRentalIntent *intent = g_ptr_array_index(core->replica->rental_intents, i);
    if (strcmp(intent->request, request) == 0)
      return intent;
  }
  return NULL;
}

static void
schedule_retry(WsCore *core, const char *request)
{
  gint64 *at_ms = g_new(gint64, 1);
  *at_ms = core->now_ms + RENTAL_RETRY_MS;
  g_hash_table_insert(core->fleet->rentals->next_try_times, g_strdup(request), at_ms);
}

static void
on_intent_closed(WsCore *core, WsTxnResult result, gpointer data)
{
  g_autofree char *request = data;
  if (result != WS_TXN_COMMITTED)
    schedule_retry(core, request);
  g_hash_table_remove(core->fleet->rentals->requests_in_flight, request);
  core->replan_is_needed = TRUE;
}

/* Adds the rental batch with this number to the transaction, with the machines from index @first in
   @names on, as many as fit into one record. Returns how many names were consumed. */
static guint
add_rental_batch(WsCore *core, WsTxn *txn, const WsRentalIntent *intent, guint number,
                 GPtrArray *names, guint first)
{
  g_autofree char *name
      = number == 0 ? g_strdup(intent->request) : g_strdup_printf("%s.%u", intent->request, number);
  g_autofree char *key = ws_key(WS_KEY_PREFIX_RENTAL_BATCH, name);
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  WsRentalBatch rental_batch = { .type = intent->type,
                                 .zone = intent->zone,
                                 .is_spot = intent->is_spot,
                                 .rented_ms = core->wall_ms,
                                 .machines = machines };
  guint next = first;
  for (; next < names->len; next++) {
    const char *machine = g_ptr_array_index(names, next);
    WsMachineIndex index = ws_replica_ensure_machine(core->replica, machine)->index;
    if (ws_returns_is_confirmed(core, machine))
      continue;
    if (!ws_rental_batch_has_space(&rental_batch, core->replica, machine))
      break;
    g_array_append_val(machines, index);
  }
  if (machines->len > 0)
    ws_txn_put(txn, key, ws_rental_batch_encode(&rental_batch, core->replica));
  return next - first;
}

/* Replaces the intent by a rental batch with the machines in one transaction, or by several batches
   if the machines' names don't fit into one record. Machines that don't fit into the transaction
   are recorded later from the cloud's list.
   @names: names of the rented machines; NULL: none was rented */
static void
close_intent(WsCore *core, const WsRentalIntent *intent, GPtrArray *names)
{
  g_autofree char *key = ws_key(WS_KEY_PREFIX_RENTAL_INTENT, intent->request);
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  /* Without this comparison, a transaction that is committed late, after machines of the rental
     batch have been returned, would record these machines again. */
  ws_txn_compare(txn, core->replica, key);
  ws_txn_delete(txn, key);
  guint consumed = 0, added = 1;
  for (guint number = 0; names != NULL && added > 0 && consumed < names->len
                         && ws_txn_operation_count(txn) < core->settings->kv_max_txn_ops;
       number++) {
    added = add_rental_batch(core, txn, intent, number, names, consumed);
    consumed += added;
  }
  ws_txn_commit(core, txn, WS_REQUEST_SCHEDULING, on_intent_closed, g_strdup(intent->request));
}

static void
on_rental_reply(WsCore *core, guint status, const json_t *body, gpointer data)
{
  g_autofree char *request = data;
  const WsRentalIntent *intent = find_intent(core, request);
  g_autoptr(GPtrArray) names = NULL;
  WsRentalResult result = ws_rental_response_parse(status, body, &names);
  if (status == WS_HTTP_OK && body != NULL && names == NULL)
    ws_refusals_record_field(core, WS_READER_CLOUD_REPLY, "the rented machines");
  if (intent == NULL || result == WS_RENTAL_FAILED) {
    schedule_retry(core, request);
    g_hash_table_remove(core->fleet->rentals->requests_in_flight, request);
    return;
  }
  WsZoneIndex zone = ws_replica_find_zone(core->replica, intent->zone);
  guint count = names != NULL ? names->len : 0;
  ws_rentals_update_backoff(core, ws_replica_find_type(core->replica, intent->type), zone,
                            intent->is_spot, count >= intent->count);
  g_info("scale out: the cloud rented %u of %u %s machines in %s", count, intent->count,
         intent->is_spot ? "spot" : "ordinary", intent->zone);
  close_intent(core, intent, names);
}

static void
send_rental(WsCore *core, const WsRentalIntent *intent)
{
  WsRentals *rentals = core->fleet->rentals;
  const gint64 *retry_ms = g_hash_table_lookup(rentals->next_try_times, intent->request);
  if (g_hash_table_contains(rentals->requests_in_flight, intent->request)
      || (retry_ms != NULL && core->now_ms < *retry_ms) || !ws_fleet_take_call_budget(core))
    return;
  g_hash_table_add(rentals->requests_in_flight, g_strdup(intent->request));
  ws_call(
      core, "POST", core->settings->cloud_addr, "/machines",
      ws_rental_encode(intent->request, intent->type, intent->zone, intent->is_spot, intent->count),
      RENTAL_TIMEOUT_MS, on_rental_reply, g_strdup(intent->request));
}

void
ws_rentals_tick(WsCore *core)
{
  for (guint i = 0; i < core->replica->rental_intents->len; i++)
    send_rental(core, g_ptr_array_index(core->replica->rental_intents, i));
}

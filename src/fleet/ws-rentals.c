#include "fleet/ws-fleet.h"

#include "store/ws-store.h"

#include <string.h>

#define MIN_CAPACITY_BACKOFF_MS 5000
#define MAX_CAPACITY_BACKOFF_MS 40000
/* Asking in vain costs two changes of the state service: the intent, and its end. Asking for all
   kinds of machines takes no more than this part of the changes. */
#define VAIN_RENTALS_PART 0.03
#define OPERATIONS_PER_RENTAL 2.0
#define RETRY_MS 1500

/* Until when a kind of machine isn't asked for, since the cloud had none. */
typedef struct {
  gint64 until_ms;
  guint backoff_ms;
} CapacityBackoff;

struct _WsRentals {
  GHashTable *backoffs; /* kind -> CapacityBackoff */
  guint64 requests;
  WsTxn *intent; /* being put together */
  gboolean intending;
  GHashTable *renting; /* requests on their way */
  GHashTable *retries; /* request -> time */
};

WsRentals *
ws_rentals_new(void)
{
  WsRentals *rentals = g_new0(WsRentals, 1);
  rentals->backoffs = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  rentals->renting = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  rentals->retries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return rentals;
}

void
ws_rentals_free(WsRentals *rentals)
{
  g_hash_table_unref(rentals->backoffs);
  g_hash_table_unref(rentals->renting);
  g_hash_table_unref(rentals->retries);
  g_free(rentals);
}

static gpointer
kind(WsTypeIndex type, WsZoneIndex zone, gboolean spot)
{
  return GUINT_TO_POINTER(type << 16 | zone << 1 | (spot ? 1u : 0u));
}

gboolean
ws_rentals_no_capacity(const WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot)
{
  const CapacityBackoff *backoff
      = g_hash_table_lookup(core->rentals->backoffs, kind(type, zone, spot));
  return backoff != NULL && core->now < backoff->until_ms;
}

/* How many times longer than usual the back-off is where changes are few and kinds are many. */
static double
backoff_factor(const WsCore *core)
{
  double kinds = 0.0;
  for (guint t = 0; core->replica->catalog != NULL && t < core->replica->catalog->len; t++)
    kinds += 2.0 * g_strv_length(ws_replica_type(core->replica, t)->zones);
  double per_second = VAIN_RENTALS_PART * core->settings->state_write_rps;
  double period_ms = 1000.0 * OPERATIONS_PER_RENTAL * kinds / per_second;
  return MAX(1.0, period_ms / MAX_CAPACITY_BACKOFF_MS);
}

void
ws_rentals_note_capacity(WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot,
                         gboolean enough)
{
  gpointer key = kind(type, zone, spot);
  if (enough) {
    g_hash_table_remove(core->rentals->backoffs, key);
    return;
  }
  CapacityBackoff *backoff = g_hash_table_lookup(core->rentals->backoffs, key);
  if (backoff == NULL) {
    backoff = g_new0(CapacityBackoff, 1);
    g_hash_table_insert(core->rentals->backoffs, key, backoff);
  }
  double factor = backoff_factor(core);
  backoff->backoff_ms = CLAMP(backoff->backoff_ms * 2, (guint)(MIN_CAPACITY_BACKOFF_MS * factor),
                              (guint)(MAX_CAPACITY_BACKOFF_MS * factor));
  backoff->until_ms = core->now + backoff->backoff_ms;
}

static void
on_intended(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)result;
  (void)data;
  core->rentals->intending = FALSE;
}

/* While a rental waits for its turn at the cloud, what else is needed gathers: fewer and larger
   requests get the machines sooner than many small ones. */
static gboolean
has_unsent(const WsCore *core)
{
  for (guint i = 0; i < core->replica->rents->len; i++) {
    const WsRentalIntent *rent = g_ptr_array_index(core->replica->rents, i);
    if (!g_hash_table_contains(core->rentals->renting, rent->request))
      return TRUE;
  }
  return FALSE;
}

static void
intend_one(WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot, guint machines)
{
  WsRentals *rentals = core->rentals;
  g_autofree char *request = g_strdup_printf("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                                             core->replica->epoch.number, ++rentals->requests);
  g_autofree char *key = ws_key(WS_KEYS_RENTAL_INTENT, request);
  WsRentalIntent rent = { .type = ws_replica_type(core->replica, type)->name,
                          .zone = g_ptr_array_index(core->settings->zones, zone),
                          .spot = spot,
                          .count = machines };
  g_info("renting %u %s machines of type %s in %s", rent.count, spot ? "spot" : "ordinary",
         rent.type, rent.zone);
  ws_txn_compare_version(rentals->intent, key, 0);
  ws_txn_put(rentals->intent, key, ws_rental_intent_encode(&rent));
}

void
ws_rentals_request(WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot, guint machines)
{
  WsRentals *rentals = core->rentals;
  if (rentals->intending || has_unsent(core))
    return;
  if (rentals->intent == NULL) {
    rentals->intent = ws_txn_new();
    ws_txn_compare(rentals->intent, core->replica, WS_KEY_EPOCH);
  }
  guint most = ws_rental_batch_max_machines(core->settings);
  for (guint left = machines;
       left > 0 && ws_txn_operation_count(rentals->intent) < core->settings->state_txn_ops;
       left -= MIN(left, most))
    intend_one(core, type, zone, spot, MIN(left, most));
}

void
ws_rentals_record_intents(WsCore *core)
{
  WsRentals *rentals = core->rentals;
  if (rentals->intent == NULL)
    return;
  rentals->intending = TRUE;
  ws_txn_commit(core, g_steal_pointer(&rentals->intent), WS_REQUEST_TASK, on_intended, NULL);
}

static WsRentalIntent *
find_rent(const WsCore *core, const char *request)
{
  for (guint i = 0; i < core->replica->rents->len; i++) {
    WsRentalIntent *rent = g_ptr_array_index(core->replica->rents, i);
    if (strcmp(rent->request, request) == 0)
      return rent;
  }
  return NULL;
}

static void
retry_rent(WsCore *core, const char *request)
{
  gint64 *at_ms = g_new(gint64, 1);
  *at_ms = core->now + RETRY_MS;
  g_hash_table_insert(core->rentals->retries, g_strdup(request), at_ms);
}

static void
on_rent_closed(WsCore *core, WsTxnResult result, gpointer data)
{
  char *request = data;
  if (result != WS_TXN_COMMITTED)
    retry_rent(core, request);
  g_hash_table_remove(core->rentals->renting, request);
  core->replan_is_needed = TRUE;
  g_free(request);
}

/* Adds the first machines of the names to the transaction as one rental batch. Returns how many
   names were used up. */
static guint
add_rental_batch(WsCore *core, WsTxn *txn, const WsRentalIntent *rent, guint number,
                 GPtrArray *names, guint first)
{
  g_autofree char *name
      = number == 0 ? g_strdup(rent->request) : g_strdup_printf("%s.%u", rent->request, number);
  g_autofree char *key = ws_key(WS_KEYS_RENTAL_BATCH, name);
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(guint));
  WsRentalBatch rental_batch = { .type = rent->type,
                                 .zone = rent->zone,
                                 .spot = rent->spot,
                                 .rented_ms = core->wall,
                                 .machines = machines };
  guint next = first;
  for (; next < names->len; next++) {
    const char *machine = g_ptr_array_index(names, next);
    guint index = ws_replica_get_machine(core->replica, machine)->index;
    if (ws_returns_is_confirmed(core, machine))
      continue;
    if (!ws_rental_batch_has_place(&rental_batch, core->replica, machine))
      break;
    g_array_append_val(machines, index);
  }
  if (machines->len > 0)
    ws_txn_put(txn, key, ws_rental_batch_encode(&rental_batch, core->replica));
  return next - first;
}

/* The intent goes and the machines get their rental batch in one transaction; more rental batches
   than one, where their names are long. What doesn't fit is found in the cloud's list. */
static void
close_rent(WsCore *core, const WsRentalIntent *rent, GPtrArray *names)
{
  g_autofree char *key = ws_key(WS_KEYS_RENTAL_INTENT, rent->request);
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  /* Carried out late, after the rental batch has shrunk, it would bring returned machines back. */
  ws_txn_compare(txn, core->replica, key);
  ws_txn_delete(txn, key);
  guint used = 0, step = 1;
  for (guint number = 0; names != NULL && step > 0 && used < names->len
                         && ws_txn_operation_count(txn) < core->settings->state_txn_ops;
       number++) {
    step = add_rental_batch(core, txn, rent, number, names, used);
    used += step;
  }
  ws_txn_commit(core, txn, WS_REQUEST_TASK, on_rent_closed, g_strdup(rent->request));
}

static void
on_rented(WsCore *core, guint status, const json_t *body, gpointer data)
{
  g_autofree char *request = data;
  const WsRentalIntent *rent = find_rent(core, request);
  g_autoptr(GPtrArray) names = status == 200 ? ws_names_parse(body) : NULL;
  gboolean no_capacity
      = status == 503
        && g_strcmp0(json_string_value(json_object_get(body, "error")), "no capacity") == 0;
  if (rent == NULL || (names == NULL && !no_capacity && status != 400)) {
    retry_rent(core, request);
    g_hash_table_remove(core->rentals->renting, request);
    return;
  }
  WsZoneIndex zone = ws_replica_find_zone(core->replica, rent->zone);
  guint count = names != NULL ? names->len : 0;
  ws_rentals_note_capacity(core, ws_replica_find_type(core->replica, rent->type), zone, rent->spot,
                           count >= rent->count);
  g_info("the cloud rented %u of %u %s machines in %s", count, rent->count,
         rent->spot ? "spot" : "ordinary", rent->zone);
  close_rent(core, rent, names);
}

static void
send_rent(WsCore *core, const WsRentalIntent *rent)
{
  WsRentals *rentals = core->rentals;
  const gint64 *retry_ms = g_hash_table_lookup(rentals->retries, rent->request);
  if (g_hash_table_contains(rentals->renting, rent->request)
      || (retry_ms != NULL && core->now < *retry_ms) || !ws_fleet_take_call_budget(core))
    return;
  g_hash_table_add(rentals->renting, g_strdup(rent->request));
  ws_call(core, "POST", core->settings->cloud_addr, "/machines",
          ws_rental_encode(rent->request, rent->type, rent->zone, rent->spot, rent->count), 4000,
          on_rented, g_strdup(rent->request));
}

void
ws_rentals_tick(WsCore *core)
{
  for (guint i = 0; i < core->replica->rents->len; i++)
    send_rent(core, g_ptr_array_index(core->replica->rents, i));
}

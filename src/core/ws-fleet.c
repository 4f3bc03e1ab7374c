/* The cloud, which only the leader calls: prices, rentals, lists and returns.

   A rental is intended in the state service before the cloud is asked, and every machine has a
   record from the moment it is known until the cloud has confirmed its return. So a new leader
   knows what to ask again and what is still charged. */
#include "core/ws-core-private.h"

#include <string.h>

#define CATALOG_MS 60000
#define FIRST_NO_CAPACITY_MS 5000
#define MOST_NO_CAPACITY_MS 40000
/* Asking in vain costs two changes of the state service: the intent, and its end. Asking for all
   kinds of machines takes no more than this part of the changes. */
#define VAIN_RENTALS_PART 0.03
#define CHANGES_A_RENTAL 2.0
#define RETRY_MS 1500
/* As many as the cloud gives at once. */
#define MOST_A_RENTAL 50
#define MOST_A_RETURN 100
#define BOOT_PATIENCE 2.0

typedef struct {
  gint64 until_ms;
  guint backoff_ms;
} Scarce;

struct _WsFleet {
  WsRate rate;
  GHashTable *scarce;   /* kind -> Scarce */
  GHashTable *gone;     /* names whose return was confirmed */
  GHashTable *unmarked; /* names returned, or to be returned, without a mark */
  guint64 requests;
  gint64 catalog_ms;
  gboolean catalog_asked;
  gint64 list_ms;
  gboolean listing;
  char *list_after;
  gboolean returning;
  gint64 return_ms;
  guint return_backoff_ms;
  gboolean clearing;
  WsTxn *intent; /* being drafted */
  gboolean intending;
  guint64 adopted;        /* lots of machines that weren't expected */
  GHashTable *renting;    /* requests on their way */
  GHashTable *rent_retry; /* request -> time */
};

WsFleet *
ws_fleet_new(const WsSettings *settings)
{
  WsFleet *fleet = g_new0(WsFleet, 1);
  ws_rate_init(&fleet->rate, settings->cloud_rps * 0.9, settings->cloud_rps * 1.8);
  fleet->scarce = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  fleet->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  fleet->unmarked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  fleet->renting = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  fleet->rent_retry = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return fleet;
}

void
ws_fleet_free(WsFleet *fleet)
{
  g_hash_table_unref(fleet->scarce);
  g_hash_table_unref(fleet->gone);
  g_hash_table_unref(fleet->unmarked);
  g_hash_table_unref(fleet->renting);
  g_hash_table_unref(fleet->rent_retry);
  g_free(fleet->list_after);
  g_free(fleet);
}

/* Late reports and old lists still show machines that were returned; names are never used again. */
gboolean
ws_fleet_gone(const WsCore *core, const char *name)
{
  const WsMachine *machine = ws_replica_find_machine(core->replica, name);
  return (machine != NULL && machine->gone) || g_hash_table_contains(core->fleet->gone, name);
}

/* Where the cloud had nothing to rent. */

static gpointer
kind(guint type, guint zone, gboolean spot)
{
  return GUINT_TO_POINTER(type << 16 | zone << 1 | (spot ? 1u : 0u));
}

gboolean
ws_fleet_no_capacity(const WsCore *core, guint type, guint zone, gboolean spot)
{
  const Scarce *scarce = g_hash_table_lookup(core->fleet->scarce, kind(type, zone, spot));
  return scarce != NULL && core->now < scarce->until_ms;
}

/* How many times longer than usual the back-off is where changes are few and kinds are many. */
static double
backoff_factor(const WsCore *core)
{
  double kinds = 0.0;
  for (guint t = 0; core->replica->catalog != NULL && t < core->replica->catalog->len; t++)
    kinds += 2.0 * g_strv_length(ws_replica_type(core->replica, t)->zones);
  double per_second = VAIN_RENTALS_PART * core->settings->state_write_rps;
  double period_ms = 1000.0 * CHANGES_A_RENTAL * kinds / per_second;
  return MAX(1.0, period_ms / MOST_NO_CAPACITY_MS);
}

static void
note_capacity(WsCore *core, guint type, guint zone, gboolean spot, gboolean enough)
{
  gpointer key = kind(type, zone, spot);
  if (enough) {
    g_hash_table_remove(core->fleet->scarce, key);
    return;
  }
  Scarce *scarce = g_hash_table_lookup(core->fleet->scarce, key);
  if (scarce == NULL) {
    scarce = g_new0(Scarce, 1);
    g_hash_table_insert(core->fleet->scarce, key, scarce);
  }
  double factor = backoff_factor(core);
  scarce->backoff_ms = CLAMP(scarce->backoff_ms * 2, (guint)(FIRST_NO_CAPACITY_MS * factor),
                             (guint)(MOST_NO_CAPACITY_MS * factor));
  scarce->until_ms = core->now + scarce->backoff_ms;
}

/* Machines that weren't expected get a lot of their own: those of a kind share one. */

static void
on_adopted(WsCore *core, WsTxnResult result, gpointer data)
{
  g_autoptr(GArray) machines = data;
  for (guint i = 0; i < machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, g_array_index(machines, guint, i));
    machine->marking = FALSE;
    if (result == WS_TXN_OK)
      g_info("machine %s wasn't expected; it is used or given back", machine->name);
    else
      machine->adopt = TRUE;
  }
  core->plan_due = TRUE;
}

void
ws_fleet_adopt(WsCore *core, WsMachine *machine, gint64 at_ms)
{
  if (machine->marking || machine->type_name == NULL || machine->zone == WS_NONE
      || ws_fleet_gone(core, machine->name) || !ws_entitled(core))
    return;
  machine->adopt = TRUE;
  machine->at_ms = at_ms;
}

static gboolean
belongs(const WsLot *lot, const WsMachine *machine)
{
  return strcmp(lot->type, machine->type_name) == 0 && lot->spot == machine->spot;
}

/* All machines of the kind that wait for a lot. */
static WsLot *
gather_lot(WsCore *core, const WsMachine *first, GArray *machines)
{
  const char *zone = g_ptr_array_index(core->settings->zones, first->zone);
  WsLot *lot = g_new0(WsLot, 1);
  lot->name
      = g_strdup_printf("a-%" G_GUINT64_FORMAT "-%u-%" G_GUINT64_FORMAT,
                        core->replica->epoch.number, core->settings->self, ++core->fleet->adopted);
  lot->type = g_strdup(first->type_name);
  lot->zone = g_strdup(zone);
  lot->spot = first->spot;
  lot->at_ms = first->at_ms;
  lot->machines = g_array_new(FALSE, FALSE, sizeof(guint));
  for (guint i = first->index; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (!machine->adopt || machine->zone != first->zone || !belongs(lot, machine)
        || lot->machines->len >= MOST_A_RENTAL)
      continue;
    machine->adopt = FALSE;
    machine->marking = TRUE;
    machine->marking_ms = core->now;
    g_array_append_val(lot->machines, machine->index);
    g_array_append_val(machines, machine->index);
  }
  return lot;
}

void
ws_fleet_adopt_tick(WsCore *core)
{
  if (!ws_entitled(core) || !ws_store_ok(core))
    return;
  WsTxn *txn = ws_txn_new();
  GArray *machines = g_array_new(FALSE, FALSE, sizeof(guint));
  ws_txn_if(txn, core->replica, WS_KEY_EPOCH);
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->stored || ws_fleet_gone(core, machine->name))
      machine->adopt = FALSE;
    if (!machine->adopt || ws_txn_ops(txn) >= core->settings->state_txn_ops)
      continue;
    WsLot *lot = gather_lot(core, machine, machines);
    g_autofree char *key = ws_key(WS_KEYS_LOT, lot->name);
    ws_txn_if_version(txn, key, 0);
    ws_txn_set(txn, key, ws_lot_encode(lot, core->replica));
    ws_lot_free(lot);
  }
  if (machines->len > 0) {
    ws_txn_commit(core, txn, WS_FIRST_REST, on_adopted, machines);
    return;
  }
  ws_txn_free(txn);
  g_array_unref(machines);
}

/* Prices. */

static void
on_catalog_kept(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  core->plan_due = TRUE;
  if (result != WS_TXN_OK)
    core->fleet->catalog_ms = core->now + RETRY_MS;
}

static void
on_catalog(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsFleet *fleet = core->fleet;
  GPtrArray *catalog = status == 200 ? ws_catalog_parse(body) : NULL;
  fleet->catalog_asked = FALSE;
  fleet->catalog_ms = core->now + (catalog != NULL ? CATALOG_MS : RETRY_MS);
  if (catalog == NULL) {
    g_info("the cloud gave no catalog (status %u)", status);
    return;
  }
  g_ptr_array_unref(catalog);
  WsTxn *txn = ws_txn_new();
  ws_txn_if(txn, core->replica, WS_KEY_EPOCH);
  ws_txn_set(txn, WS_KEY_CATALOG, json_incref((json_t *)body));
  ws_txn_commit(core, txn, WS_FIRST_TASK, on_catalog_kept, NULL);
}

static void
keep_catalog(WsCore *core)
{
  WsFleet *fleet = core->fleet;
  if (fleet->catalog_asked || core->now < fleet->catalog_ms
      || !ws_rate_take(&fleet->rate, 1.0, core->now))
    return;
  fleet->catalog_asked = TRUE;
  ws_call(core, "GET", core->settings->cloud_addr, "/catalog", NULL, 3000, on_catalog, NULL);
}

/* Rentals: intent, request, records. */

static void
on_intended(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)result;
  (void)data;
  core->fleet->intending = FALSE;
}

/* While a rental waits for its turn at the cloud, what else is needed gathers: fewer and larger
   requests get the machines sooner than many small ones. */
static gboolean
has_unsent(const WsCore *core)
{
  for (guint i = 0; i < core->replica->rents->len; i++) {
    const WsRent *rent = g_ptr_array_index(core->replica->rents, i);
    if (!g_hash_table_contains(core->fleet->renting, rent->request))
      return TRUE;
  }
  return FALSE;
}

static void
intend_one(WsCore *core, guint type, guint zone, gboolean spot, guint machines)
{
  WsFleet *fleet = core->fleet;
  g_autofree char *request = g_strdup_printf("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                                             core->replica->epoch.number, ++fleet->requests);
  g_autofree char *key = ws_key(WS_KEYS_RENT, request);
  WsRent rent = { .type = ws_replica_type(core->replica, type)->name,
                  .zone = g_ptr_array_index(core->settings->zones, zone),
                  .spot = spot,
                  .count = machines };
  g_info("renting %u %s machines of type %s in %s", rent.count, spot ? "spot" : "ordinary",
         rent.type, rent.zone);
  ws_txn_if_version(fleet->intent, key, 0);
  ws_txn_set(fleet->intent, key, ws_rent_encode(&rent));
}

void
ws_fleet_need(WsCore *core, guint type, guint zone, gboolean spot, guint machines)
{
  WsFleet *fleet = core->fleet;
  if (fleet->intending || has_unsent(core))
    return;
  if (fleet->intent == NULL) {
    fleet->intent = ws_txn_new();
    ws_txn_if(fleet->intent, core->replica, WS_KEY_EPOCH);
  }
  for (guint left = machines; left > 0 && ws_txn_ops(fleet->intent) < core->settings->state_txn_ops;
       left -= MIN(left, MOST_A_RENTAL))
    intend_one(core, type, zone, spot, MIN(left, MOST_A_RENTAL));
}
void
ws_fleet_intend(WsCore *core)
{
  WsFleet *fleet = core->fleet;
  if (fleet->intent == NULL)
    return;
  fleet->intending = TRUE;
  ws_txn_commit(core, g_steal_pointer(&fleet->intent), WS_FIRST_TASK, on_intended, NULL);
}

static WsRent *
find_rent(const WsCore *core, const char *request)
{
  for (guint i = 0; i < core->replica->rents->len; i++) {
    WsRent *rent = g_ptr_array_index(core->replica->rents, i);
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
  g_hash_table_insert(core->fleet->rent_retry, g_strdup(request), at_ms);
}

static void
on_rent_closed(WsCore *core, WsTxnResult result, gpointer data)
{
  char *request = data;
  if (result != WS_TXN_OK)
    retry_rent(core, request);
  g_hash_table_remove(core->fleet->renting, request);
  core->plan_due = TRUE;
  g_free(request);
}

/* The intent goes and the machines get their lot in one transaction. */
static void
close_rent(WsCore *core, const WsRent *rent, GPtrArray *names)
{
  g_autofree char *key = ws_key(WS_KEYS_RENT, rent->request);
  g_autofree char *lot_key = ws_key(WS_KEYS_LOT, rent->request);
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(guint));
  for (guint i = 0; names != NULL && i < names->len; i++) {
    const char *name = g_ptr_array_index(names, i);
    guint machine = ws_replica_get_machine(core->replica, name)->index;
    if (!ws_fleet_gone(core, name))
      g_array_append_val(machines, machine);
  }
  WsLot lot = { .type = rent->type,
                .zone = rent->zone,
                .spot = rent->spot,
                .at_ms = core->wall,
                .machines = machines };
  WsTxn *txn = ws_txn_new();
  ws_txn_if(txn, core->replica, WS_KEY_EPOCH);
  /* Carried out late, after the lot has shrunk, it would bring returned machines back. */
  ws_txn_if(txn, core->replica, key);
  ws_txn_remove(txn, key);
  if (machines->len > 0)
    ws_txn_set(txn, lot_key, ws_lot_encode(&lot, core->replica));
  ws_txn_commit(core, txn, WS_FIRST_TASK, on_rent_closed, g_strdup(rent->request));
}

static void
on_rented(WsCore *core, guint status, const json_t *body, gpointer data)
{
  g_autofree char *request = data;
  const WsRent *rent = find_rent(core, request);
  g_autoptr(GPtrArray) names = status == 200 ? ws_names_parse(body) : NULL;
  gboolean scarce
      = status == 503
        && g_strcmp0(json_string_value(json_object_get(body, "error")), "no capacity") == 0;
  if (rent == NULL || (names == NULL && !scarce && status != 400)) {
    retry_rent(core, request);
    g_hash_table_remove(core->fleet->renting, request);
    return;
  }
  guint zone = ws_replica_find_zone(core->replica, rent->zone);
  guint count = names != NULL ? names->len : 0;
  note_capacity(core, ws_replica_find_type(core->replica, rent->type), zone, rent->spot,
                count >= rent->count);
  g_info("the cloud rented %u of %u %s machines in %s", count, rent->count,
         rent->spot ? "spot" : "ordinary", rent->zone);
  close_rent(core, rent, names);
}

static void
send_rent(WsCore *core, const WsRent *rent)
{
  WsFleet *fleet = core->fleet;
  const gint64 *retry_ms = g_hash_table_lookup(fleet->rent_retry, rent->request);
  if (g_hash_table_contains(fleet->renting, rent->request)
      || (retry_ms != NULL && core->now < *retry_ms) || !ws_rate_take(&fleet->rate, 1.0, core->now))
    return;
  g_hash_table_add(fleet->renting, g_strdup(rent->request));
  ws_call(core, "POST", core->settings->cloud_addr, "/machines",
          ws_rental_encode(rent->request, rent->type, rent->zone, rent->spot, rent->count), 4000,
          on_rented, g_strdup(rent->request));
}

/* Lists: what is there and has no record, or has failed. */

static void
take_listed(WsCore *core, const WsListed *listed)
{
  if (ws_fleet_gone(core, listed->id))
    return;
  WsMachine *machine = ws_replica_get_machine(core->replica, listed->id);
  if (!machine->stored) {
    /* A list may be old, also older than the one before: a machine that was returned by an earlier
       leader would be taken for a new one. */
    if (machine->listed_ms == 0)
      machine->listed_ms = core->now;
    if (core->now - machine->listed_ms < (gint64)(core->settings->list_lag_s * 3000.0))
      return;
    ws_replica_describe_machine(core->replica, machine, listed->type, listed->zone, listed->spot);
    ws_fleet_adopt(core, machine, core->wall - (gint64)(listed->age_s * 1000.0));
    return;
  }
  if (machine->endpoint == NULL && listed->endpoint != NULL)
    machine->endpoint = g_strdup(listed->endpoint);
  if (listed->failed && !ws_machine_up(core, machine))
    ws_termination_mark(core, machine, "failed", TRUE);
}

static void
on_list(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsFleet *fleet = core->fleet;
  gboolean more = FALSE;
  g_autoptr(GPtrArray) machines = status == 200 ? ws_listing_parse(body, &more) : NULL;
  fleet->listing = FALSE;
  fleet->list_ms = core->now + (gint64)(core->settings->list_lag_s * 1000.0);
  g_clear_pointer(&fleet->list_after, g_free);
  if (machines == NULL || !ws_is_leader(core))
    return;
  for (guint i = 0; i < machines->len; i++)
    take_listed(core, g_ptr_array_index(machines, i));
  if (more && machines->len > 0) {
    fleet->list_after = g_strdup(((WsListed *)g_ptr_array_index(machines, machines->len - 1))->id);
    fleet->list_ms = core->now;
  }
}

static void
keep_list(WsCore *core)
{
  WsFleet *fleet = core->fleet;
  if (fleet->listing || core->now < fleet->list_ms || !ws_rate_take(&fleet->rate, 1.0, core->now))
    return;
  fleet->listing = TRUE;
  g_autofree char *path = fleet->list_after == NULL
                              ? g_strdup("/machines?page=500")
                              : g_strdup_printf("/machines?from=%s&page=500", fleet->list_after);
  ws_call(core, "GET", core->settings->cloud_addr, path, NULL, 4000, on_list, NULL);
}

/* Returns, and the end of marks. */

static void
on_cleared(WsCore *core, WsTxnResult result, gpointer data)
{
  g_autoptr(GArray) machines = data;
  core->fleet->clearing = FALSE;
  for (guint i = 0; i < machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, g_array_index(machines, guint, i));
    machine->marking = FALSE;
    if (result == WS_TXN_OK)
      g_info("machine %s is returned and its mark cleared", machine->name);
  }
}

static gboolean
is_in(const GArray *machines, guint machine)
{
  for (guint i = 0; i < machines->len; i++)
    if (g_array_index(machines, guint, i) == machine)
      return TRUE;
  return FALSE;
}

/* The lot without the machines, or its end. */
static void
shrink_lot(WsCore *core, WsTxn *txn, const WsLot *lot, const GArray *without)
{
  g_autofree char *key = ws_key(WS_KEYS_LOT, lot->name);
  g_autoptr(GArray) left = g_array_new(FALSE, FALSE, sizeof(guint));
  for (guint i = 0; i < lot->machines->len; i++) {
    guint machine = g_array_index(lot->machines, guint, i);
    if (!is_in(without, machine))
      g_array_append_val(left, machine);
  }
  if (left->len == lot->machines->len)
    return;
  WsLot smaller = *lot;
  smaller.machines = left;
  ws_txn_if(txn, core->replica, key);
  if (left->len > 0)
    ws_txn_set(txn, key, ws_lot_encode(&smaller, core->replica));
  else
    ws_txn_remove(txn, key);
}

/* How many lots would change. */
static guint
lots_of(const WsCore *core, const GArray *machines)
{
  guint count = 0;
  for (guint i = 0; i < core->replica->lots->len; i++) {
    const WsLot *lot = g_ptr_array_index(core->replica->lots, i);
    gboolean any = FALSE;
    for (guint k = 0; k < lot->machines->len && !any; k++)
      any = is_in(machines, g_array_index(lot->machines, guint, k));
    count += any ? 1 : 0;
  }
  return count;
}

/* Marks that are over go with their machines' place in their lots, many in one transaction. */
static void
clear_marks(WsCore *core, GArray *machines /* taken */)
{
  while (machines->len > 1
         && machines->len + lots_of(core, machines) > core->settings->state_txn_ops)
    g_array_set_size(machines, machines->len - 1);
  WsTxn *txn = ws_txn_new();
  ws_txn_if(txn, core->replica, WS_KEY_EPOCH);
  for (guint i = 0; i < machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, g_array_index(machines, guint, i));
    g_autofree char *mark = ws_key(WS_KEYS_MARK, machine->name);
    machine->marking = TRUE;
    machine->marking_ms = core->now;
    ws_txn_remove(txn, mark);
  }
  for (guint i = 0; i < core->replica->lots->len; i++)
    shrink_lot(core, txn, g_ptr_array_index(core->replica->lots, i), machines);
  core->fleet->clearing = TRUE;
  ws_txn_commit(core, txn, WS_FIRST_REST, on_cleared, machines);
}

/* A machine that the cloud has taken back is gone with everything on it. */
static void
release_all(WsCore *core, WsMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    WsJob *job = ws_replica_job(core->replica, ref->job);
    const WsAssignment *a = ws_job_assignment(job, ref->task);
    if (a != NULL)
      ws_assign_release(core, job, a, FALSE);
  }
}

/* From its mark on a machine gets nothing new; what was assigned to it before, also by a
   transaction that had no answer, is known once the watch has passed the mark. A machine was
   returned as empty whose tasks had just been assigned. */
static gboolean
knows_what_is_on(const WsCore *core, const WsMachine *machine)
{
  g_autofree char *key = ws_key(WS_KEYS_MARK, machine->name);
  return core->replica->revision >= ws_replica_version(core->replica, key);
}

/* Whatever is on record for a machine that no lot names any more, and that hasn't been heard for as
   long as its lease, waits for nothing. */
static gboolean
is_lost(const WsCore *core, const WsMachine *machine)
{
  gint64 since_ms = MAX(machine->heard_ms, core->epoch_ms);
  return !machine->stored && !machine->marked && machine->tasks->len > 0
         && (double)(core->now - since_ms) > core->settings->lease_s * 1000.0;
}

static void
keep_marks(WsCore *core)
{
  GArray *over = g_array_new(FALSE, FALSE, sizeof(guint));
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (is_lost(core, machine))
      release_all(core, machine);
    if (!machine->marked || machine->marking || !ws_fleet_gone(core, machine->name)
        || !knows_what_is_on(core, machine))
      continue;
    release_all(core, machine);
    if (machine->tasks->len == 0 && over->len < core->settings->state_txn_ops)
      g_array_append_val(over, machine->index);
  }
  if (over->len > 0 && !core->fleet->clearing)
    clear_marks(core, over);
  else
    g_array_unref(over);
}

/* What was returned can be rented again. */
static void
note_returned(WsCore *core, const char *name)
{
  const WsMachine *machine = ws_replica_find_machine(core->replica, name);
  g_hash_table_add(core->fleet->gone, g_strdup(name));
  if (machine != NULL && machine->type != WS_NONE && machine->zone != WS_NONE)
    note_capacity(core, machine->type, machine->zone, machine->spot, TRUE);
}

static void
on_returned(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)body;
  GPtrArray *names = data;
  WsFleet *fleet = core->fleet;
  fleet->returning = FALSE;
  if (status == 200) {
    fleet->return_backoff_ms = 0;
    for (guint i = 0; i < names->len; i++)
      note_returned(core, g_ptr_array_index(names, i));
  } else {
    guint least = (guint)(core->properties->backoff_min_s * 1000.0);
    guint most = (guint)(core->properties->backoff_max_s * 1000.0);
    fleet->return_backoff_ms = CLAMP(fleet->return_backoff_ms * 2, least, most);
    fleet->return_ms = core->now + fleet->return_backoff_ms;
    g_info("the cloud took no return (status %u): again in %u ms", status,
           fleet->return_backoff_ms);
  }
  g_ptr_array_unref(names);
}

static void
send_return(WsCore *core, GPtrArray *names /* taken */)
{
  WsFleet *fleet = core->fleet;
  if (names->len == 0 || fleet->returning || core->now < fleet->return_ms
      || !ws_rate_take(&fleet->rate, 1.0, core->now)) {
    g_ptr_array_unref(names);
    return;
  }
  fleet->returning = TRUE;
  ws_call(core, "POST", core->settings->cloud_addr, "/machines/return", ws_return_encode(names),
          4000, on_returned, names);
}

void
ws_fleet_return_unmarked(WsCore *core, const WsMachine *machine)
{
  if (g_hash_table_add(core->fleet->unmarked, g_strdup(machine->name)))
    g_message("machine %s holds a cancelled task and the state service takes no mark: it is"
              " returned without one",
              machine->name);
}

/* The record is mended as soon as the state service is back: the mark follows the return, and goes
   the ordinary way with the machine's place in its lot. If this process ends before, the machine is
   silent with tasks on record, and is found by that. */
static void
keep_unmarked(WsCore *core)
{
  GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init(&iter, core->fleet->unmarked);
  while (g_hash_table_iter_next(&iter, &name, NULL)) {
    WsMachine *machine = ws_replica_find_machine(core->replica, name);
    if (machine == NULL || machine->gone)
      g_hash_table_iter_remove(&iter);
    else if (!ws_fleet_gone(core, name) && names->len < MOST_A_RETURN)
      g_ptr_array_add(names, g_strdup(name));
    else if (ws_fleet_gone(core, name) && machine->stored && !machine->mark_now
             && ws_entitled(core))
      ws_termination_mark(core, machine, "cancelled", TRUE);
  }
  send_return(core, names);
}

static void
keep_returns(WsCore *core)
{
  GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->marked && !ws_fleet_gone(core, machine->name)
        && (machine->mark_now || (machine->tasks->len == 0 && knows_what_is_on(core, machine)))
        && names->len < MOST_A_RETURN)
      g_ptr_array_add(names, g_strdup(machine->name));
  }
  send_return(core, names);
}

/* A machine that doesn't come up is charged all the same. After an epoch begins, the workers of
   those that are up have a lease to find their owner, and the owners to tell of them. */
static void
keep_boots(WsCore *core)
{
  gint64 patience_ms = (gint64)(core->settings->lease_s * 1000.0);
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (!machine->stored || machine->marked || machine->heard_ms > 0 || machine->type == WS_NONE
        || machine->tasks->len > 0 || core->now - core->epoch_ms < patience_ms
        || ws_zone_partitioned(core, machine->zone))
      continue;
    double boot_s = ws_replica_type(core->replica, machine->type)->boot_s;
    if ((double)(core->wall - machine->at_ms) / 1000.0 > BOOT_PATIENCE * boot_s + 5.0)
      ws_termination_mark(core, machine, "never up", TRUE);
  }
}

void
ws_fleet_tick(WsCore *core)
{
  keep_unmarked(core);
  if (!ws_is_leader(core) || !ws_store_ok(core))
    return;
  keep_marks(core);
  keep_returns(core);
  keep_catalog(core);
  for (guint i = 0; i < core->replica->rents->len; i++)
    send_rent(core, g_ptr_array_index(core->replica->rents, i));
  keep_list(core);
  if (core->replica->catalog != NULL)
    keep_boots(core);
}

#include "fleet/ws-fleet.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"

#include <string.h>

struct _WsCloudList {
  gint64 next_ms;
  gboolean listing;
  char *after;
  guint64 batches; /* of machines that weren't expected */
};

WsCloudList *
ws_cloud_list_new(void)
{
  return g_new0(WsCloudList, 1);
}

void
ws_cloud_list_free(WsCloudList *list)
{
  g_free(list->after);
  g_free(list);
}

/* Machines that weren't expected get a rental batch of their own: those of a kind share one. */

static void
on_recorded(WsCore *core, WsTxnResult result, gpointer data)
{
  g_autoptr(GArray) machines = data;
  for (guint i = 0; i < machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, g_array_index(machines, guint, i));
    machine->fleet.mark_is_pending = FALSE;
    if (result == WS_TXN_COMMITTED)
      g_info("machine %s wasn't expected; it is used or given back", machine->name);
    else
      machine->fleet.needs_record = TRUE;
  }
  core->replan_is_needed = TRUE;
}

void
ws_cloud_list_reconcile(WsCore *core, WsMachine *machine, gint64 at_ms)
{
  if (machine->fleet.mark_is_pending || machine->type_name == NULL || machine->zone == WS_NO_ZONE
      || ws_returns_is_confirmed(core, machine->name) || !ws_is_active_member(core))
    return;
  machine->fleet.needs_record = TRUE;
  machine->rented_ms = at_ms;
}

static gboolean
belongs(const WsRentalBatch *rental_batch, const WsMachine *machine)
{
  return strcmp(rental_batch->type, machine->type_name) == 0 && rental_batch->spot == machine->spot;
}

/* All machines of the kind that wait for a rental batch. */
static WsRentalBatch *
gather_rental_batch(WsCore *core, const WsMachine *first, GArray *machines)
{
  const char *zone = g_ptr_array_index(core->settings->zones, first->zone);
  WsRentalBatch *rental_batch = g_new0(WsRentalBatch, 1);
  rental_batch->name = g_strdup_printf("a-%" G_GUINT64_FORMAT "-%u-%" G_GUINT64_FORMAT,
                                       core->replica->epoch.number, core->settings->self,
                                       ++core->cloud_list->batches);
  rental_batch->type = g_strdup(first->type_name);
  rental_batch->zone = g_strdup(zone);
  rental_batch->spot = first->spot;
  rental_batch->rented_ms = first->rented_ms;
  rental_batch->machines = g_array_new(FALSE, FALSE, sizeof(guint));
  for (guint i = first->index; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (!machine->fleet.needs_record || machine->zone != first->zone
        || !belongs(rental_batch, machine)
        || rental_batch->machines->len >= ws_rental_batch_max_machines(core->settings)
        || !ws_rental_batch_has_place(rental_batch, core->replica, machine->name))
      continue;
    machine->fleet.needs_record = FALSE;
    machine->fleet.mark_is_pending = TRUE;
    machine->fleet.mark_pending_ms = core->now;
    g_array_append_val(rental_batch->machines, machine->index);
    g_array_append_val(machines, machine->index);
  }
  return rental_batch;
}

void
ws_cloud_list_reconcile_tick(WsCore *core)
{
  if (!ws_is_active_member(core) || !ws_store_is_available(core))
    return;
  WsTxn *txn = ws_txn_new();
  GArray *machines = g_array_new(FALSE, FALSE, sizeof(guint));
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->is_recorded || ws_returns_is_confirmed(core, machine->name))
      machine->fleet.needs_record = FALSE;
    if (!machine->fleet.needs_record
        || ws_txn_operation_count(txn) >= core->settings->state_txn_ops)
      continue;
    WsRentalBatch *rental_batch = gather_rental_batch(core, machine, machines);
    g_autofree char *key = ws_key(WS_KEYS_RENTAL_BATCH, rental_batch->name);
    ws_txn_compare_version(txn, key, 0);
    ws_txn_put(txn, key, ws_rental_batch_encode(rental_batch, core->replica));
    ws_rental_batch_free(rental_batch);
  }
  if (machines->len > 0) {
    ws_txn_commit(core, txn, WS_REQUEST_OTHER, on_recorded, machines);
    return;
  }
  ws_txn_free(txn);
  g_array_unref(machines);
}

static void
take_listed(WsCore *core, const WsListedMachine *listed)
{
  if (ws_returns_is_confirmed(core, listed->id))
    return;
  WsMachine *machine = ws_replica_get_machine(core->replica, listed->id);
  if (!machine->is_recorded) {
    /* A list may be old, also older than the one before: a machine that was returned by an earlier
       leader would be taken for a new one. */
    if (machine->fleet.listed_ms == 0)
      machine->fleet.listed_ms = core->now;
    if (core->now - machine->fleet.listed_ms < (gint64)(core->settings->list_lag_s * 3000.0))
      return;
    ws_replica_describe_machine(core->replica, machine, listed->type, listed->zone, listed->spot);
    ws_cloud_list_reconcile(core, machine, core->wall - (gint64)(listed->age_s * 1000.0));
    return;
  }
  if (machine->worker.endpoint == NULL && listed->endpoint != NULL)
    machine->worker.endpoint = g_strdup(listed->endpoint);
  if (listed->failed && !ws_machine_is_up(core, machine))
    ws_termination_request_mark(core, machine, "failed", TRUE);
}

static void
on_list(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsCloudList *list = core->cloud_list;
  gboolean more = FALSE;
  g_autoptr(GPtrArray) machines = status == 200 ? ws_listing_parse(body, &more) : NULL;
  list->listing = FALSE;
  list->next_ms = core->now + (gint64)(core->settings->list_lag_s * 1000.0);
  g_clear_pointer(&list->after, g_free);
  if (machines == NULL || !ws_is_leader(core))
    return;
  for (guint i = 0; i < machines->len; i++)
    take_listed(core, g_ptr_array_index(machines, i));
  if (more && machines->len > 0) {
    list->after = g_strdup(((WsListedMachine *)g_ptr_array_index(machines, machines->len - 1))->id);
    list->next_ms = core->now;
  }
}

void
ws_cloud_list_tick(WsCore *core)
{
  WsCloudList *list = core->cloud_list;
  if (list->listing || core->now < list->next_ms || !ws_fleet_take_call_budget(core))
    return;
  list->listing = TRUE;
  g_autofree char *path = list->after == NULL
                              ? g_strdup("/machines?page=500")
                              : g_strdup_printf("/machines?from=%s&page=500", list->after);
  ws_call(core, "GET", core->settings->cloud_addr, path, NULL, 4000, on_list, NULL);
}

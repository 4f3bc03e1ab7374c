/**
 * Reconciles the records with the cloud's list of machines, page by page. Machines without a record
 * are recorded in additional rental batches and are then used or returned like all other machines.
 */
#include "fleet/ws-fleet-private.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"
#include "protocol/ws-status-codes.h"
#include "storage/ws-mark-reasons.h"

#include <string.h>

#define LIST_TIMEOUT_MS 4000
#define MACHINES_PER_LIST_PAGE 500u
/* A machine without a record gets one only after it has been listed for this multiple of the time
   by which lists may lag behind (list_lag_s). A list may be older than the previous one and may
   still show a machine that an earlier leader has returned. */
#define UNRECORDED_GRACE_LAG_FACTOR 3.0

struct _WsCloudList {
  gint64 next_call_ms;
  gboolean call_in_flight;
  char *last_id;      /* last machine of the previous page; NULL: the first page is next */
  guint64 last_batch; /* number of the last rental batch that this module created in this run */
};

WsCloudList *
ws_cloud_list_new(void)
{
  return g_new0(WsCloudList, 1);
}

void
ws_cloud_list_free(WsCloudList *list)
{
  g_free(list->last_id);
  g_free(list);
}

static void
on_recorded(WsCore *core, WsTxnResult result, gpointer data)
{
  g_autoptr(GArray) machines = data;
  for (guint i = 0; i < machines->len; i++) {
    WsMachine *machine
        = ws_replica_machine(core->replica, g_array_index(machines, WsMachineIndex, i));
    machine->fleet.record_write_is_pending = FALSE;
    if (result == WS_TXN_COMMITTED)
      g_info("machine %s had no record: recorded in a new rental batch", machine->name);
    else
      machine->fleet.needs_record = TRUE;
  }
  core->replan_is_needed = TRUE;
}

void
ws_cloud_list_schedule_record(WsCore *core, WsMachine *machine, gint64 at_ms)
{
  if (machine->fleet.record_write_is_pending || machine->type_name == NULL
      || machine->zone == WS_NO_ZONE || ws_returns_is_confirmed(core, machine->name)
      || !ws_is_active_member(core))
    return;
  machine->fleet.needs_record = TRUE;
  machine->rented_ms = at_ms;
}

static gboolean
matches_type_and_price_model(const WsRentalBatch *rental_batch, const WsMachine *machine)
{
  return strcmp(rental_batch->type, machine->type_name) == 0
         && rental_batch->is_spot == machine->is_spot;
}

static WsRentalBatch *
new_rental_batch(WsCore *core, const WsMachine *first)
{
  WsRentalBatch *rental_batch = g_new0(WsRentalBatch, 1);
  rental_batch->name = g_strdup_printf("a-%" G_GUINT64_FORMAT "-%u-%" G_GUINT64_FORMAT,
                                       core->replica->epoch.number, core->settings->self,
                                       ++core->fleet->cloud_list->last_batch);
  rental_batch->type = g_strdup(first->type_name);
  rental_batch->zone = g_strdup(g_ptr_array_index(core->settings->zones, first->zone));
  rental_batch->is_spot = first->is_spot;
  rental_batch->rented_ms = first->rented_ms;
  rental_batch->machines = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  return rental_batch;
}

/* Returns a new rental batch with the machines that wait for a record and have the same type and
   zone as @first and the same price model (spot or on-demand). Appends them to @machines. */
static WsRentalBatch *
fill_rental_batch(WsCore *core, const WsMachine *first, GArray *machines)
{
  WsRentalBatch *rental_batch = new_rental_batch(core, first);
  for (WsMachineIndex i = first->index; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (!machine->fleet.needs_record || machine->zone != first->zone
        || !matches_type_and_price_model(rental_batch, machine)
        || rental_batch->machines->len >= ws_rental_batch_max_machines(core->settings)
        || !ws_rental_batch_has_space(rental_batch, core->replica, machine->name))
      continue;
    machine->fleet.needs_record = FALSE;
    machine->fleet.record_write_is_pending = TRUE;
    machine->fleet.record_write_pending_since_ms = core->now_ms;
    g_array_append_val(rental_batch->machines, machine->index);
    g_array_append_val(machines, machine->index);
  }
  return rental_batch;
}

/* Adds a rental batch for @first and similar machines to the transaction, and appends the machines
   to @machines. */
static void
record_rental_batch(WsCore *core, WsTxn *txn, const WsMachine *first, GArray *machines)
{
  g_autoptr(WsRentalBatch) rental_batch = fill_rental_batch(core, first, machines);
  g_autofree char *key = ws_key(WS_KEY_PREFIX_RENTAL_BATCH, rental_batch->name);
  ws_txn_compare_version(txn, key, 0);
  ws_txn_put(txn, key, ws_rental_batch_encode(rental_batch, core->replica));
}

void
ws_cloud_list_reconcile_tick(WsCore *core)
{
  if (!ws_is_active_member(core) || !ws_store_is_available(core))
    return;
  g_autoptr(WsTxn) txn = ws_txn_new();
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  for (WsMachineIndex i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->is_recorded || ws_returns_is_confirmed(core, machine->name))
      machine->fleet.needs_record = FALSE;
    if (machine->fleet.needs_record && ws_txn_operation_count(txn) < core->settings->kv_max_txn_ops)
      record_rental_batch(core, txn, machine, machines);
  }
  if (machines->len > 0)
    ws_txn_commit(core, g_steal_pointer(&txn), WS_REQUEST_BACKGROUND, on_recorded,
                  g_steal_pointer(&machines));
}

/* Returns for how long a machine without a record must have been listed before it gets one. */
static gint64
unrecorded_grace_ms(const WsCore *core)
{
  return (gint64)(core->settings->list_lag_s * (UNRECORDED_GRACE_LAG_FACTOR * 1000.0));
}

static void
handle_unrecorded(WsCore *core, WsMachine *machine, const WsListedMachine *listed)
{
  if (machine->fleet.unrecorded_since_ms == 0)
    machine->fleet.unrecorded_since_ms = core->now_ms;
  if (core->now_ms - machine->fleet.unrecorded_since_ms < unrecorded_grace_ms(core))
    return;
  ws_replica_set_machine_attributes(core->replica, machine, listed->type, listed->zone,
                                    listed->is_spot);
  ws_cloud_list_schedule_record(core, machine, core->wall_ms - (gint64)(listed->age_s * 1000.0));
}

static void
handle_recorded(WsCore *core, WsMachine *machine, const WsListedMachine *listed)
{
  if (machine->worker.endpoint == NULL && listed->endpoint != NULL)
    machine->worker.endpoint = g_strdup(listed->endpoint);
  if (listed->has_failed && !ws_machine_is_up(core, machine))
    ws_termination_request_mark(core, machine, WS_MARK_REASON_FAILED, TRUE);
}

static void
handle_listed(WsCore *core, const WsListedMachine *listed)
{
  if (ws_returns_is_confirmed(core, listed->id))
    return;
  WsMachine *machine = ws_replica_ensure_machine(core->replica, listed->id);
  if (machine->is_recorded)
    handle_recorded(core, machine, listed);
  else
    handle_unrecorded(core, machine, listed);
}

static void
on_list_reply(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsCloudList *list = core->fleet->cloud_list;
  gboolean has_more = FALSE;
  g_autoptr(GPtrArray) machines
      = status == WS_HTTP_OK ? ws_machine_list_parse(body, &has_more) : NULL;
  list->call_in_flight = FALSE;
  list->next_call_ms = core->now_ms + (gint64)(core->settings->list_lag_s * 1000.0);
  g_clear_pointer(&list->last_id, g_free);
  if (machines == NULL && status == WS_HTTP_OK && body != NULL)
    ws_refusals_record_field(core, WS_READER_CLOUD_REPLY, "the machine list");
  if (machines == NULL || !ws_is_leader(core))
    return;
  for (guint i = 0; i < machines->len; i++)
    handle_listed(core, g_ptr_array_index(machines, i));
  if (has_more && machines->len > 0) {
    const WsListedMachine *last = g_ptr_array_index(machines, machines->len - 1);
    list->last_id = g_strdup(last->id);
    list->next_call_ms = core->now_ms;
  }
}

void
ws_cloud_list_tick(WsCore *core)
{
  WsCloudList *list = core->fleet->cloud_list;
  if (list->call_in_flight || core->now_ms < list->next_call_ms || !ws_fleet_take_call_budget(core))
    return;
  list->call_in_flight = TRUE;
  g_autofree char *path
      = list->last_id == NULL
            ? g_strdup_printf("/machines?page=%u", MACHINES_PER_LIST_PAGE)
            : g_strdup_printf("/machines?from=%s&page=%u", list->last_id, MACHINES_PER_LIST_PAGE);
  ws_call(core, "GET", core->settings->cloud_addr, path, NULL, LIST_TIMEOUT_MS, on_list_reply,
          NULL);
}

/**
 * The tick of the fleet, the budget of calls within the cloud's rate limit, the refresh of the
 * cloud's catalog, and the termination of machines that don't boot.
 */
#include "fleet/ws-fleet-private.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"
#include "protocol/ws-status-codes.h"
#include "storage/ws-mark-reasons.h"

#define CATALOG_REFRESH_MS 60000
#define CATALOG_RETRY_MS 1500
#define CATALOG_TIMEOUT_MS 3000
/* A machine has failed to boot after this multiple of its type's boot time plus a margin. */
#define BOOT_TIMEOUT_FACTOR 2.0
#define BOOT_TIMEOUT_MARGIN_S 5.0
/* The share of the cloud's rate limit that is used, and the largest burst of calls, given as the
   time in which it accumulates. */
#define CLOUD_RATE_SHARE 0.9
#define CLOUD_RATE_BURST_S 2.0

WsFleet *
ws_fleet_new(const WsSettings *settings)
{
  WsFleet *fleet = g_new0(WsFleet, 1);
  double per_second = settings->cloud_requests_per_s * CLOUD_RATE_SHARE;
  ws_token_bucket_init(&fleet->calls, per_second, per_second * CLOUD_RATE_BURST_S);
  fleet->rentals = ws_rentals_new();
  fleet->returns = ws_returns_new();
  fleet->cloud_list = ws_cloud_list_new();
  fleet->termination = ws_termination_new();
  return fleet;
}

void
ws_fleet_free(WsFleet *fleet)
{
  ws_rentals_free(fleet->rentals);
  ws_returns_free(fleet->returns);
  ws_cloud_list_free(fleet->cloud_list);
  ws_termination_free(fleet->termination);
  g_free(fleet);
}

gboolean
ws_fleet_take_call_budget(WsCore *core)
{
  return ws_token_bucket_take(&core->fleet->calls, 1.0, core->now_ms);
}

guint
ws_fleet_next_backoff_ms(const WsCore *core, guint backoff_ms)
{
  guint min_ms = (guint)(core->properties->backoff_min_s * 1000.0);
  guint max_ms = (guint)(core->properties->backoff_max_s * 1000.0);
  return CLAMP(backoff_ms * 2, min_ms, max_ms);
}

static void
on_catalog_stored(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  core->replan_is_needed = TRUE;
  if (result != WS_TXN_COMMITTED)
    core->fleet->next_catalog_ms = core->now_ms + CATALOG_RETRY_MS;
}

static void
on_catalog_reply(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsFleet *fleet = core->fleet;
  g_autoptr(GPtrArray) catalog = status == WS_HTTP_OK ? ws_catalog_parse(body) : NULL;
  fleet->catalog_in_flight = FALSE;
  fleet->next_catalog_ms = core->now_ms + (catalog != NULL ? CATALOG_REFRESH_MS : CATALOG_RETRY_MS);
  if (catalog == NULL) {
    if (status == WS_HTTP_OK && body != NULL)
      ws_refusals_record_field(core, WS_READER_CLOUD_REPLY, "a type of the catalog");
    g_info("no valid catalog from the cloud (status %u), retrying", status);
    return;
  }
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  ws_txn_put(txn, WS_KEY_CATALOG, ws_catalog_encode(catalog));
  ws_txn_commit(core, txn, WS_REQUEST_SCHEDULING, on_catalog_stored, NULL);
}

static void
refresh_catalog(WsCore *core)
{
  WsFleet *fleet = core->fleet;
  if (fleet->catalog_in_flight || core->now_ms < fleet->next_catalog_ms
      || !ws_fleet_take_call_budget(core))
    return;
  fleet->catalog_in_flight = TRUE;
  ws_call(core, "GET", core->settings->cloud_addr, "/catalog", NULL, CATALOG_TIMEOUT_MS,
          on_catalog_reply, NULL);
}

/* Whether the machine is empty, has never sent a heartbeat, and its zone isn't partitioned. */
static gboolean
has_never_been_up(const WsCore *core, const WsMachine *machine)
{
  return machine->is_recorded && !machine->is_marked && machine->worker.last_contact_ms <= 0
         && machine->type != WS_NO_TYPE && machine->tasks->len == 0
         && !ws_zone_is_partitioned(core, machine->zone);
}

double
ws_fleet_machine_age_s(const WsCore *core, const WsMachine *machine)
{
  return (double)(core->wall_ms - machine->rented_ms) / 1000.0;
}

/* Terminates machines that haven't booted in time, since the cloud charges for them nevertheless.
   Waits for the duration of one lease after the start of an epoch, so that workers that are up can
   find their new owners and the owners can announce them to this node. */
static void
terminate_unbooted_machines(WsCore *core)
{
  gint64 lease_ms = (gint64)(core->settings->lease_s * 1000.0);
  if (core->now_ms - ws_epoch_known_since_ms(core) < lease_ms)
    return;
  for (WsMachineIndex i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (!has_never_been_up(core, machine))
      continue;
    double boot_s = ws_replica_type(core->replica, machine->type)->boot_s;
    if (ws_fleet_machine_age_s(core, machine)
        > BOOT_TIMEOUT_FACTOR * boot_s + BOOT_TIMEOUT_MARGIN_S)
      ws_termination_request_mark(core, machine, WS_MARK_REASON_NEVER_UP, TRUE);
  }
}

void
ws_fleet_tick(WsCore *core)
{
  ws_returns_tick_unmarked(core);
  if (!ws_is_leader(core) || !ws_store_is_available(core))
    return;
  ws_returns_tick(core);
  refresh_catalog(core);
  ws_rentals_tick(core);
  ws_cloud_list_tick(core);
  if (core->replica->catalog != NULL)
    terminate_unbooted_machines(core);
}

#include "fleet/ws-fleet.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"

#define CATALOG_MS 60000
#define RETRY_MS 1500
#define BOOT_PATIENCE 2.0
/* What is counted on of the cloud's limit of calls, whose bursts are two seconds' worth. */
#define USED_CALLS_PART 0.9
#define BURST_S 2.0

struct _WsFleet {
  WsRate calls;
  gint64 catalog_ms;
  gboolean catalog_asked;
};

WsFleet *
ws_fleet_new(const WsSettings *settings)
{
  WsFleet *fleet = g_new0(WsFleet, 1);
  double per_second = settings->cloud_rps * USED_CALLS_PART;
  ws_rate_init(&fleet->calls, per_second, per_second * BURST_S);
  return fleet;
}

void
ws_fleet_free(WsFleet *fleet)
{
  g_free(fleet);
}

gboolean
ws_fleet_take_call_budget(WsCore *core)
{
  return ws_rate_take(&core->fleet->calls, 1.0, core->now);
}

/* Prices. */

static void
on_catalog_kept(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  core->replan_is_needed = TRUE;
  if (result != WS_TXN_COMMITTED)
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
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  ws_txn_put(txn, WS_KEY_CATALOG, json_incref((json_t *)body));
  ws_txn_commit(core, txn, WS_REQUEST_TASK, on_catalog_kept, NULL);
}

static void
keep_catalog(WsCore *core)
{
  WsFleet *fleet = core->fleet;
  if (fleet->catalog_asked || core->now < fleet->catalog_ms || !ws_fleet_take_call_budget(core))
    return;
  fleet->catalog_asked = TRUE;
  ws_call(core, "GET", core->settings->cloud_addr, "/catalog", NULL, 3000, on_catalog, NULL);
}

/* A machine that doesn't come up is charged all the same. After an epoch begins, the workers of
   those that are up have a lease to find their owner, and the owners to tell of them. */
static void
keep_boots(WsCore *core)
{
  gint64 patience_ms = (gint64)(core->settings->lease_s * 1000.0);
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (!machine->is_recorded || machine->is_marked || machine->worker.heard_ms > 0
        || machine->type == WS_NO_TYPE || machine->tasks->len > 0
        || core->now - ws_epoch_known_since_ms(core) < patience_ms
        || ws_zone_is_partitioned(core, machine->zone))
      continue;
    double boot_s = ws_replica_type(core->replica, machine->type)->boot_s;
    if ((double)(core->wall - machine->rented_ms) / 1000.0 > BOOT_PATIENCE * boot_s + 5.0)
      ws_termination_request_mark(core, machine, "never up", TRUE);
  }
}

void
ws_fleet_tick(WsCore *core)
{
  ws_returns_tick_unmarked(core);
  if (!ws_is_leader(core) || !ws_store_is_available(core))
    return;
  ws_returns_tick(core);
  keep_catalog(core);
  ws_rentals_tick(core);
  ws_cloud_list_tick(core);
  if (core->replica->catalog != NULL)
    keep_boots(core);
}

/* The client of the key-value store: calls its parts, and refreshes the replica after an outage. */
#include "store/ws-store.h"

#include "store/ws-store-private.h"

WsStore *
ws_store_new(const WsSettings *settings)
{
  WsStore *store = g_new0(WsStore, 1);
  ws_store_requests_init(&store->requests, settings);
  ws_store_reads_init(&store->reads);
  return store;
}

void
ws_store_free(WsStore *store)
{
  ws_store_requests_clear(&store->requests);
  ws_store_reads_clear(&store->reads);
  ws_store_load_clear(&store->load);
  g_free(store);
}

gboolean
ws_store_is_current(const WsCore *core)
{
  return ws_store_is_loaded(core) && !core->store->is_stale && ws_store_is_available(core);
}

void
ws_store_pump(WsCore *core)
{
  ws_store_reads_send(core);
  ws_store_watch_open(core);
  ws_store_requests_send(core);
}

static void
on_catch_up_read(WsCore *core, gboolean is_current, gpointer data)
{
  (void)data;
  core->store->is_catching_up = FALSE;
  if (is_current && ws_store_is_available(core))
    core->store->is_stale = FALSE;
}

/* Other nodes may have written while this node could not reach the store. The replica therefore
   counts as stale after an outage until a linearizable read has succeeded. */
static void
catch_up_after_outage(WsCore *core)
{
  WsStore *store = core->store;
  if (!ws_store_is_available(core)) {
    store->is_stale = TRUE;
    return;
  }
  if (!store->is_stale || store->is_catching_up || !ws_store_is_loaded(core))
    return;
  store->is_catching_up = TRUE;
  ws_store_linearizable_read(core, on_catch_up_read, NULL);
}

void
ws_store_tick(WsCore *core, gboolean is_leader)
{
  ws_store_requests_set_shares(core, is_leader);
  ws_store_load_tick(core);
  ws_store_reads_finish(core);
  catch_up_after_outage(core);
}

gboolean
ws_store_stop(WsCore *core)
{
  gboolean had_requests = ws_store_requests_stop(core);
  gboolean had_reads = ws_store_reads_stop(core);
  return had_requests || had_reads;
}

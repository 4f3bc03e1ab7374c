/* The watch: a long poll for changes after the replica's revision. */
#include "store/ws-store-private.h"

#include "protocol/ws-kv.h"

#define WATCH_LONG_POLL_MS 8000
#define WATCH_TIMEOUT_MARGIN_MS 2000
#define WATCH_TIMEOUT_MS (WATCH_LONG_POLL_MS + WATCH_TIMEOUT_MARGIN_MS)
#define WATCH_RETRY_DELAY_MS 300
/* The watch may use one in this many of the node's requests. Between two long polls, changes
   accumulate in the store. */
#define REQUESTS_PER_WATCH 3.0

static void
apply_events(WsCore *core, const GArray *events)
{
  for (guint i = 0; i < events->len; i++) {
    const WsKvItem *event = &g_array_index(events, WsKvItem, i);
    if (event->key != NULL)
      ws_replica_apply(core->replica, event->key, event->value, event->version);
    core->replan_is_needed = TRUE;
  }
}

static void
on_events(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsStore *store = core->store;
  store->watch.is_open = FALSE;
  if (status == WS_KV_COMPACTED) {
    g_info("watch failed: its revision was compacted; reloading the replica");
    ws_store_load_restart(core);
    return;
  }
  g_autoptr(WsKvPage) page = status == WS_KV_OK ? ws_kv_watch_parse(body) : NULL;
  if (page == NULL) {
    if (status == WS_KV_OK && body != NULL)
      ws_refusals_record_field(core, WS_READER_STORE_REPLY, "an event of the watch");
    store->watch.retry_ms = core->now_ms + WATCH_RETRY_DELAY_MS;
    return;
  }
  apply_events(core, page->items);
  ws_replica_advance(core->replica, page->revision);
  ws_store_load_catch_up(core);
  ws_store_reads_finish(core);
}

/* The minimum interval between two long polls doesn't apply while a linearizable read waits for the
   replica. */
static gboolean
watch_is_due(const WsCore *core)
{
  const WsStoreWatch *watch = &core->store->watch;
  double interval_ms
      = REQUESTS_PER_WATCH * 1000.0 / core->store->requests.request_budget.per_second;
  return core->now_ms >= watch->retry_ms
         && (core->store->reads.waiting->len > 0
             || core->now_ms >= watch->opened_ms + (gint64)interval_ms);
}

void
ws_store_watch_open(WsCore *core)
{
  WsStoreWatch *watch = &core->store->watch;
  WsLoadPhase phase = core->store->load.phase;
  if (watch->is_open || phase < WS_LOAD_CATCHING_UP || !watch_is_due(core))
    return;
  watch->is_open = TRUE;
  watch->opened_ms = core->now_ms;
  /* A load that is catching up doesn't wait for a further change. */
  guint long_poll_ms = phase == WS_LOAD_COMPLETE ? WATCH_LONG_POLL_MS : 0;
  g_autofree char *path = ws_kv_watch_path(WS_KEY_PREFIX, core->replica->revision, long_poll_ms);
  ws_store_get(core, path, WATCH_TIMEOUT_MS, on_events, NULL);
}

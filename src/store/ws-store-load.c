/* The load of the replica: reads all keys page by page. Changes made during the load arrive through
   the watch, which starts at the revision of the first page. Until the watch has reached the
   revision of the last page, the replica mixes records of different revisions and counts as not
   loaded. */
#include "store/ws-store-private.h"

#include "protocol/ws-kv.h"

#define LOAD_PAGE_KEYS 1000
#define LOAD_PAGE_TIMEOUT_MS 3000
#define LOAD_RETRY_DELAY_MS 300

static void load_page(WsCore *core);

void
ws_store_load_clear(WsStoreLoad *load)
{
  g_clear_pointer(&load->keys, g_hash_table_unref);
  g_clear_pointer(&load->last_key, g_free);
}

gboolean
ws_store_is_loaded(const WsCore *core)
{
  return core->store->load.phase == WS_LOAD_COMPLETE;
}

void
ws_store_load_restart(WsCore *core)
{
  core->store->load.phase = WS_LOAD_NEEDED;
}

static void
finish_reading(WsCore *core)
{
  WsStoreLoad *load = &core->store->load;
  ws_replica_remove_missing(core->replica, load->keys, load->revision);
  ws_replica_advance(core->replica, load->revision);
  core->replica->is_loading = FALSE;
  load->phase = WS_LOAD_CATCHING_UP;
  ws_store_load_catch_up(core);
}

void
ws_store_load_catch_up(WsCore *core)
{
  WsStoreLoad *load = &core->store->load;
  if (load->phase != WS_LOAD_CATCHING_UP || core->replica->revision < load->last_revision)
    return;
  load->phase = WS_LOAD_COMPLETE;
  core->replan_is_needed = TRUE;
  g_info("replica loaded: revision %" G_GUINT64_FORMAT
         ", %u active jobs, %u machines; %u pages, the last one at revision %" G_GUINT64_FORMAT,
         load->revision, core->replica->active_jobs->len, core->replica->machines->len,
         load->page_count, load->last_revision);
}

static void
apply_page(WsCore *core, const WsKvPage *page)
{
  WsStoreLoad *load = &core->store->load;
  if (load->last_key == NULL)
    load->revision = page->revision;
  load->last_revision = page->revision;
  load->page_count++;
  for (guint i = 0; i < page->items->len; i++) {
    const WsKvItem *item = &g_array_index(page->items, WsKvItem, i);
    ws_replica_apply(core->replica, item->key, item->value, item->version);
    g_hash_table_add(load->keys, g_strdup(item->key));
    g_free(load->last_key);
    load->last_key = g_strdup(item->key);
  }
}

static void
on_page(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsStoreLoad *load = &core->store->load;
  g_autoptr(WsKvPage) page = status == WS_KV_OK ? ws_kv_page_parse(body) : NULL;
  if (page == NULL) {
    if (status == WS_KV_OK && body != NULL)
      ws_refusals_record_field(core, WS_READER_STORE_REPLY, "an item of the page");
    load->phase = WS_LOAD_NEEDED;
    load->retry_ms = core->now_ms + LOAD_RETRY_DELAY_MS;
    return;
  }
  apply_page(core, page);
  if (page->is_last)
    finish_reading(core);
  else
    load_page(core);
}

static void
load_page(WsCore *core)
{
  g_autofree char *path
      = ws_kv_page_path(WS_KEY_PREFIX, core->store->load.last_key, LOAD_PAGE_KEYS);
  ws_store_get(core, path, LOAD_PAGE_TIMEOUT_MS, on_page, NULL);
}

void
ws_store_load_tick(WsCore *core)
{
  WsStoreLoad *load = &core->store->load;
  if (load->phase != WS_LOAD_NEEDED || core->store->watch.is_open || core->now_ms < load->retry_ms)
    return;
  load->phase = WS_LOAD_READING;
  core->replica->is_loading = TRUE;
  ws_store_load_clear(load);
  load->page_count = 0;
  load->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  load_page(core);
}

/* The state service: paced calls, the replica's watch, and reads that are known to be current. */
#include "store/ws-store.h"

#include "protocol/ws-kv.h"

#define WATCH_WAIT_MS 8000
#define READ_TIMEOUT_MS 1500
#define LOAD_PAGE_SIZE 1000
/* No key begins like this: a page of it has the store's revision and nothing else. */
#define NO_KEYS_PREFIX WS_PREFIX "~"
/* The budget of the state service is split unevenly, for the leader writes nearly everything:
   assignments and releases, machines, rentals, marks. What is left is for submissions, withdrawals,
   leases and letters, and seldom asked for: together the shares are more than the whole. Every node
   reads alike. A call that is refused for its rate is sent again after a moment. */
#define LEADER_WRITE_SHARE 0.75
#define FOLLOWERS_WRITE_SHARE 0.4
#define LEADER_READ_SHARE 0.34
#define TOTAL_READ_SHARE 0.95
#define BURST_S 0.6
#define RATE_LIMITED_PAUSE_MS 120
#define MAX_RATE_LIMITED_TRIES 5

typedef struct {
  const char *method;
  char *path;
  json_t *body;
  guint write_count;
  guint timeout_ms;
  WsReplyFunc reply;
  gpointer data;
  WsRequestClass first;
  guint tries;
} StoreRequest;

typedef struct {
  WsReadFunc done;
  gpointer data;
  gint64 asked_ms;
  guint64 revision; /* to wait for */
} PendingRead;

struct _WsStore {
  GQueue request_queues[WS_REQUEST_CLASSES];
  WsRate request_rate;
  WsRate write_rate;
  gint64
      rate_limited_until_ms; /* until when nothing is sent, since the last call was one too many */
  gint64 watch_interval_ms;
  gint64 watch_opened_ms;
  gint64 watch_retry_ms;
  gboolean is_watching;
  gboolean is_loaded;
  gboolean is_loading;
  gint64 load_retry_ms;
  guint64 load_revision; /* of the first page */
  GHashTable *load_keys;
  char *load_last;
  gint64 unavailable_since_ms; /* since when there are only bad ones; 0: not so */
  gboolean is_stale;           /* it was bad, and nothing has been read since */
  gboolean is_catching_up;
  GArray *unsent_reads;  /* of Read: not yet sent */
  GArray *sent_reads;    /* of Read: the read is on its way */
  GArray *waiting_reads; /* of Read: the replica must reach a revision */
  gboolean is_reading;
};

WsStore *
ws_store_new(const WsSettings *settings)
{
  WsStore *store = g_new0(WsStore, 1);
  ws_rate_init(&store->request_rate, 1.0, settings->state_rps * BURST_S);
  ws_rate_init(&store->write_rate, 1.0, settings->state_write_rps * BURST_S);
  store->unsent_reads = g_array_new(FALSE, FALSE, sizeof(PendingRead));
  store->sent_reads = g_array_new(FALSE, FALSE, sizeof(PendingRead));
  store->waiting_reads = g_array_new(FALSE, FALSE, sizeof(PendingRead));
  return store;
}

static void
store_request_free(gpointer data)
{
  StoreRequest *request = data;
  g_free(request->path);
  json_decref(request->body);
  g_free(request);
}

void
ws_store_free(WsStore *store)
{
  for (guint i = 0; i < WS_REQUEST_CLASSES; i++)
    g_queue_clear_full(&store->request_queues[i], store_request_free);
  g_array_unref(store->unsent_reads);
  g_array_unref(store->sent_reads);
  g_array_unref(store->waiting_reads);
  g_clear_pointer(&store->load_keys, g_hash_table_unref);
  g_free(store->load_last);
  g_free(store);
}

gboolean
ws_store_is_loaded(const WsCore *core)
{
  return core->store->is_loaded;
}

/* Good until nothing but bad answers, or none, came for a while. */
gboolean
ws_store_is_available(const WsCore *core)
{
  return core->store->unavailable_since_ms == 0
         || core->now - core->store->unavailable_since_ms < 700;
}

gboolean
ws_store_is_current(const WsCore *core)
{
  return core->store->is_loaded && !core->store->is_stale && ws_store_is_available(core);
}

gint64
ws_store_unavailable_since_ms(const WsCore *core)
{
  return core->store->unavailable_since_ms;
}

gboolean
ws_store_has_write_budget(WsCore *core, guint changes)
{
  return ws_rate_ready(&core->store->write_rate, changes, core->now);
}

void
ws_store_request(WsCore *core, WsRequestClass first, const char *method, const char *path,
                 json_t *body, guint write_count, guint timeout_ms, WsReplyFunc reply,
                 gpointer data)
{
  StoreRequest *request = g_new0(StoreRequest, 1);
  *request = (StoreRequest){ method, g_strdup(path), body, write_count, timeout_ms, reply,
                             data,   first,          0 };
  g_queue_push_tail(&core->store->request_queues[first], request);
}

static void
note_availability(WsCore *core, guint status)
{
  WsStore *store = core->store;
  if (status == 200 || status == 404 || status == 409 || status == 410) {
    store->unavailable_since_ms = 0;
  } else if (status != 429 && status != 400 && store->unavailable_since_ms == 0) {
    store->unavailable_since_ms = core->now;
  }
}

static void
on_reply(WsCore *core, guint status, const json_t *body, gpointer data)
{
  StoreRequest *request = data;
  WsStore *store = core->store;
  note_availability(core, status);
  if (status == 429 && ++request->tries < MAX_RATE_LIMITED_TRIES) {
    store->rate_limited_until_ms = core->now + RATE_LIMITED_PAUSE_MS;
    g_queue_push_head(&store->request_queues[request->first], request);
    return;
  }
  request->reply(core, status, body, request->data);
  store_request_free(request);
}

static void
send_request(WsCore *core, StoreRequest *request)
{
  ws_call(core, request->method, core->settings->state_addr, request->path,
          json_incref(request->body), request->timeout_ms, on_reply, request);
}

/* Reads that are known to be current. */

void
ws_store_linearizable_read(WsCore *core, WsReadFunc done, gpointer data)
{
  PendingRead read = { done, data, core->now, 0 };
  g_array_append_val(core->store->unsent_reads, read);
}

static void
finish_reads(WsCore *core, GArray *reads, gboolean current)
{
  for (guint i = 0; i < reads->len; i++) {
    const PendingRead *read = &g_array_index(reads, PendingRead, i);
    read->done(core, current, read->data);
  }
  g_array_unref(reads);
}

static GArray *
take_reads(GArray **reads)
{
  GArray *taken = *reads;
  *reads = g_array_new(FALSE, FALSE, sizeof(PendingRead));
  return taken;
}

static void
finish_reached_reads(WsCore *core)
{
  GArray *reached = g_array_new(FALSE, FALSE, sizeof(PendingRead));
  GArray *late = g_array_new(FALSE, FALSE, sizeof(PendingRead));
  GArray *waiting_reads = core->store->waiting_reads;
  for (guint i = waiting_reads->len; i-- > 0;) {
    PendingRead read = g_array_index(waiting_reads, PendingRead, i);
    gboolean is_reached = read.revision <= core->replica->revision;
    if (!is_reached && core->now - read.asked_ms <= READ_TIMEOUT_MS)
      continue;
    if (is_reached)
      g_array_append_val(reached, read);
    else
      g_array_append_val(late, read);
    g_array_remove_index(waiting_reads, i);
  }
  finish_reads(core, reached, TRUE);
  finish_reads(core, late, FALSE);
}

static void
on_read_revision(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsStore *store = core->store;
  guint64 revision;
  store->is_reading = FALSE;
  if (status != 200 || !ws_kv_revision_parse(body, &revision)) {
    finish_reads(core, take_reads(&store->sent_reads), FALSE);
    return;
  }
  for (guint i = 0; i < store->sent_reads->len; i++) {
    PendingRead read = g_array_index(store->sent_reads, PendingRead, i);
    read.revision = revision;
    g_array_append_val(store->waiting_reads, read);
  }
  g_array_set_size(store->sent_reads, 0);
  finish_reached_reads(core);
}

/* One read serves everybody who asked before it was sent. */
static void
send_read(WsCore *core)
{
  WsStore *store = core->store;
  if (store->unsent_reads->len == 0 || store->is_reading)
    return;
  if (!store->is_loaded || !ws_store_is_available(core)) {
    finish_reads(core, take_reads(&store->unsent_reads), FALSE);
    return;
  }
  store->is_reading = TRUE;
  g_array_append_vals(store->sent_reads, store->unsent_reads->data, store->unsent_reads->len);
  g_array_set_size(store->unsent_reads, 0);
  g_autofree char *path = ws_kv_page_path(NO_KEYS_PREFIX, NULL, 1);
  ws_store_request(core, WS_REQUEST_READ, "GET", path, NULL, 0, 800, on_read_revision, NULL);
}

/* The replica. */

static void
retry_load_later(WsCore *core)
{
  core->store->is_loading = FALSE;
  core->store->load_retry_ms = core->now + 300;
}

static void load_page(WsCore *core);

static void
finish_loading(WsCore *core)
{
  WsStore *store = core->store;
  ws_replica_forget_missing(core->replica, store->load_keys, store->load_revision);
  ws_replica_advance(core->replica, store->load_revision);
  store->is_loading = FALSE;
  store->is_loaded = TRUE;
  core->replica->is_loading = FALSE;
  core->replan_is_needed = TRUE;
  g_info("state read: revision %" G_GUINT64_FORMAT ", %u jobs open, %u machines",
         store->load_revision, core->replica->active->len, core->replica->machines->len);
}

static void
on_page(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsStore *store = core->store;
  g_autoptr(WsKvPage) page = status == 200 ? ws_kv_page_parse(body) : NULL;
  if (page == NULL) {
    retry_load_later(core);
    return;
  }
  if (store->load_last == NULL)
    store->load_revision = page->revision;
  for (guint i = 0; i < page->items->len; i++) {
    const WsKvItem *item = &g_array_index(page->items, WsKvItem, i);
    ws_replica_apply(core->replica, item->key, item->value, item->version);
    g_hash_table_add(store->load_keys, g_strdup(item->key));
    g_free(store->load_last);
    store->load_last = g_strdup(item->key);
  }
  if (page->is_last)
    finish_loading(core);
  else
    load_page(core);
}

static void
load_page(WsCore *core)
{
  g_autofree char *path = ws_kv_page_path(WS_PREFIX, core->store->load_last, LOAD_PAGE_SIZE);
  ws_store_request(core, WS_REQUEST_READ, "GET", path, NULL, 0, 3000, on_page, NULL);
}

static void
start_loading(WsCore *core)
{
  WsStore *store = core->store;
  store->is_loading = TRUE;
  core->replica->is_loading = TRUE;
  g_clear_pointer(&store->load_last, g_free);
  g_clear_pointer(&store->load_keys, g_hash_table_unref);
  store->load_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  load_page(core);
}

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
on_watch(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsStore *store = core->store;
  store->is_watching = FALSE;
  if (status == 410) {
    g_info("the watch is too far behind: reading the state again");
    store->is_loaded = FALSE;
    return;
  }
  g_autoptr(WsKvPage) page = status == 200 ? ws_kv_watch_parse(body) : NULL;
  if (page == NULL) {
    store->watch_retry_ms = core->now + 300;
    return;
  }
  apply_events(core, page->items);
  ws_replica_advance(core->replica, page->revision);
  finish_reached_reads(core);
}

static void
set_rate_shares(WsCore *core, gboolean leads)
{
  WsStore *store = core->store;
  guint others = MAX(core->settings->nodes->len - 1, 1u);
  double reads_share = leads ? LEADER_READ_SHARE : (TOTAL_READ_SHARE - LEADER_READ_SHARE) / others;
  double write_rate_share = leads ? LEADER_WRITE_SHARE : FOLLOWERS_WRITE_SHARE / others;
  store->request_rate.per_second = core->settings->state_rps * reads_share;
  store->write_rate.per_second = core->settings->state_write_rps * write_rate_share;
  store->write_rate.burst = MAX(store->write_rate.per_second * BURST_S, 4.0);
  /* Changes gather while the watch is closed: it takes at most a third of the requests. */
  store->watch_interval_ms = (gint64)(3000.0 / store->request_rate.per_second);
}

static void
open_watch(WsCore *core)
{
  WsStore *store = core->store;
  if (store->is_watching || !store->is_loaded || core->now < store->watch_retry_ms)
    return;
  if (store->waiting_reads->len == 0
      && core->now < store->watch_opened_ms + store->watch_interval_ms)
    return;
  store->is_watching = TRUE;
  store->watch_opened_ms = core->now;
  g_autofree char *path = ws_kv_watch_path(WS_PREFIX, core->replica->revision, WATCH_WAIT_MS);
  ws_store_request(core, WS_REQUEST_READ, "GET", path, NULL, 0, WATCH_WAIT_MS + 2000, on_watch,
                   NULL);
}

/* Users, leases and reads don't wait behind the debt of a large transaction of tasks. */
static gboolean
may_send(WsCore *core, WsRequestClass first, guint write_count)
{
  WsStore *store = core->store;
  if (first <= WS_REQUEST_USER)
    return ws_rate_ready(&store->request_rate, 1.0, core->now)
           && (write_count == 0 || ws_rate_borrow(&store->write_rate, write_count, core->now))
           && ws_rate_take(&store->request_rate, 1.0, core->now);
  return ws_rate_ready(&store->request_rate, 1.0, core->now)
         && ws_rate_take(&store->write_rate, write_count, core->now)
         && ws_rate_take(&store->request_rate, 1.0, core->now);
}

/* Strictly by urgency: a write that waits for its budget also holds back what is less urgent. */
static void
send_due_requests(WsCore *core)
{
  WsStore *store = core->store;
  if (core->now < store->rate_limited_until_ms)
    return;
  for (guint i = 0; i < WS_REQUEST_CLASSES; i++) {
    StoreRequest *request;
    while ((request = g_queue_peek_head(&store->request_queues[i])) != NULL) {
      if (!may_send(core, (WsRequestClass)i, request->write_count))
        return;
      send_request(core, g_queue_pop_head(&store->request_queues[i]));
    }
  }
}

void
ws_store_pump(WsCore *core)
{
  send_read(core);
  open_watch(core);
  send_due_requests(core);
}

static void
on_caught_up(WsCore *core, gboolean current, gpointer data)
{
  (void)data;
  core->store->is_catching_up = FALSE;
  core->store->is_stale = core->store->is_stale && !(current && ws_store_is_available(core));
}

/* While this node had no answers others may have had theirs: what it knows is old until it has
   read once more. */
static void
catch_up_after_outage(WsCore *core)
{
  WsStore *store = core->store;
  store->is_stale = store->is_stale || !ws_store_is_available(core);
  if (!store->is_stale || store->is_catching_up || !store->is_loaded
      || !ws_store_is_available(core))
    return;
  store->is_catching_up = TRUE;
  ws_store_linearizable_read(core, on_caught_up, NULL);
}

void
ws_store_tick(WsCore *core, gboolean leads)
{
  WsStore *store = core->store;
  set_rate_shares(core, leads);
  if (!store->is_loaded && !store->is_loading && !store->is_watching
      && core->now >= store->load_retry_ms)
    start_loading(core);
  finish_reached_reads(core);
  catch_up_after_outage(core);
}

gboolean
ws_store_stop(WsCore *core)
{
  WsStore *store = core->store;
  gboolean any = store->unsent_reads->len + store->sent_reads->len + store->waiting_reads->len > 0;
  for (guint i = 0; i < WS_REQUEST_CLASSES; i++) {
    StoreRequest *request;
    while ((request = g_queue_pop_head(&store->request_queues[i])) != NULL) {
      request->reply(core, 0, NULL, request->data);
      store_request_free(request);
      any = TRUE;
    }
  }
  finish_reads(core, take_reads(&store->unsent_reads), FALSE);
  finish_reads(core, take_reads(&store->sent_reads), FALSE);
  finish_reads(core, take_reads(&store->waiting_reads), FALSE);
  return any;
}

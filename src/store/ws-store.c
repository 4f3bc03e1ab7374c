/* The state service: paced calls, the replica's watch, and reads that are known to be current. */
#include "store/ws-store.h"

#include "membership/ws-membership.h"
#include "protocol/ws-field-names.h"

#define LONG_WAIT_MS 8000
#define GIVE_UP_MS 1500
/* The budget of the state service is split unevenly, for the leader writes nearly everything:
   assignments and releases, machines, rentals, marks. What is left is for submissions, withdrawals,
   leases and letters, and seldom asked for: together the shares are more than the whole. Every node
   reads alike. A call that is refused for its rate is sent again after a moment. */
#define LEADER_WRITES 0.75
#define OTHER_WRITES 0.4
#define LEADER_READS 0.34
#define ALL_READS 0.95
#define BURST_S 0.6
#define TOO_MANY_PAUSE_MS 120
#define TOO_MANY_TRIES 5

typedef struct {
  const char *method;
  char *path;
  json_t *body;
  guint writes;
  guint timeout_ms;
  WsReply reply;
  gpointer data;
  WsFirst first;
  guint tries;
} Queued;

typedef struct {
  WsReadDone done;
  gpointer data;
  gint64 asked_ms;
  guint64 revision; /* to wait for */
} Read;

struct _WsStore {
  GQueue queues[WS_FIRST_LEVELS];
  WsRate requests;
  WsRate writes;
  gint64 too_many_ms; /* until when nothing is sent, since the last call was one too many */
  gint64 watch_pause_ms;
  gint64 watch_opened_ms;
  gint64 watch_retry_ms;
  gboolean watching;
  gboolean loaded;
  gboolean loading;
  gint64 load_retry_ms;
  guint64 load_revision; /* of the first page */
  GHashTable *load_keys;
  char *load_last;
  gint64 bad_ms;  /* since when there are only bad ones; 0: not so */
  gboolean stale; /* it was bad, and nothing has been read since */
  gboolean catching_up;
  GArray *asked;   /* of Read: not yet sent */
  GArray *sent;    /* of Read: the read is on its way */
  GArray *waiting; /* of Read: the replica must reach a revision */
  gboolean reading;
};

WsStore *
ws_store_new(const WsSettings *settings)
{
  WsStore *store = g_new0(WsStore, 1);
  ws_rate_init(&store->requests, 1.0, settings->state_rps * BURST_S);
  ws_rate_init(&store->writes, 1.0, settings->state_write_rps * BURST_S);
  store->asked = g_array_new(FALSE, FALSE, sizeof(Read));
  store->sent = g_array_new(FALSE, FALSE, sizeof(Read));
  store->waiting = g_array_new(FALSE, FALSE, sizeof(Read));
  return store;
}

static void
queued_free(gpointer data)
{
  Queued *queued = data;
  g_free(queued->path);
  json_decref(queued->body);
  g_free(queued);
}

void
ws_store_free(WsStore *store)
{
  for (guint i = 0; i < WS_FIRST_LEVELS; i++)
    g_queue_clear_full(&store->queues[i], queued_free);
  g_array_unref(store->asked);
  g_array_unref(store->sent);
  g_array_unref(store->waiting);
  g_clear_pointer(&store->load_keys, g_hash_table_unref);
  g_free(store->load_last);
  g_free(store);
}

gboolean
ws_store_loaded(const WsCore *core)
{
  return core->store->loaded;
}

/* Good until nothing but bad answers, or none, came for a while. */
gboolean
ws_store_ok(const WsCore *core)
{
  return core->store->bad_ms == 0 || core->now - core->store->bad_ms < 700;
}

gboolean
ws_store_current(const WsCore *core)
{
  return core->store->loaded && !core->store->stale && ws_store_ok(core);
}

gint64
ws_store_bad_since(const WsCore *core)
{
  return core->store->bad_ms;
}

gboolean
ws_store_may_write(WsCore *core, guint changes)
{
  return ws_rate_ready(&core->store->writes, changes, core->now);
}

void
ws_store_call(WsCore *core, WsFirst first, const char *method, const char *path, json_t *body,
              guint writes, guint timeout_ms, WsReply reply, gpointer data)
{
  Queued *queued = g_new0(Queued, 1);
  *queued = (Queued){ method, g_strdup(path), body, writes, timeout_ms, reply, data, first, 0 };
  g_queue_push_tail(&core->store->queues[first], queued);
}

static void
note_health(WsCore *core, guint status)
{
  WsStore *store = core->store;
  if (status == 200 || status == 404 || status == 409 || status == 410) {
    store->bad_ms = 0;
  } else if (status != 429 && status != 400 && store->bad_ms == 0) {
    store->bad_ms = core->now;
  }
}

static void
on_reply(WsCore *core, guint status, const json_t *body, gpointer data)
{
  Queued *queued = data;
  WsStore *store = core->store;
  note_health(core, status);
  if (status == 429 && ++queued->tries < TOO_MANY_TRIES) {
    store->too_many_ms = core->now + TOO_MANY_PAUSE_MS;
    g_queue_push_head(&store->queues[queued->first], queued);
    return;
  }
  queued->reply(core, status, body, queued->data);
  queued_free(queued);
}

static void
send(WsCore *core, Queued *queued)
{
  ws_call(core, queued->method, core->settings->state_addr, queued->path, json_incref(queued->body),
          queued->timeout_ms, on_reply, queued);
}

/* Reads that are known to be current. */

void
ws_store_read(WsCore *core, WsReadDone done, gpointer data)
{
  Read read = { done, data, core->now, 0 };
  g_array_append_val(core->store->asked, read);
}

static void
finish(WsCore *core, GArray *reads, gboolean current)
{
  for (guint i = 0; i < reads->len; i++) {
    const Read *read = &g_array_index(reads, Read, i);
    read->done(core, current, read->data);
  }
  g_array_unref(reads);
}

static GArray *
take(GArray **reads)
{
  GArray *taken = *reads;
  *reads = g_array_new(FALSE, FALSE, sizeof(Read));
  return taken;
}

static void
finish_reached(WsCore *core)
{
  GArray *reached = g_array_new(FALSE, FALSE, sizeof(Read));
  GArray *late = g_array_new(FALSE, FALSE, sizeof(Read));
  GArray *waiting = core->store->waiting;
  for (guint i = waiting->len; i-- > 0;) {
    Read read = g_array_index(waiting, Read, i);
    gboolean is_reached = read.revision <= core->replica->revision;
    if (!is_reached && core->now - read.asked_ms <= GIVE_UP_MS)
      continue;
    if (is_reached)
      g_array_append_val(reached, read);
    else
      g_array_append_val(late, read);
    g_array_remove_index(waiting, i);
  }
  finish(core, reached, TRUE);
  finish(core, late, FALSE);
}

static void
on_read(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsStore *store = core->store;
  guint64 revision;
  store->reading = FALSE;
  if (status != 200 || !ws_json_count(body, W_REVISION, &revision)) {
    finish(core, take(&store->sent), FALSE);
    return;
  }
  for (guint i = 0; i < store->sent->len; i++) {
    Read read = g_array_index(store->sent, Read, i);
    read.revision = revision;
    g_array_append_val(store->waiting, read);
  }
  g_array_set_size(store->sent, 0);
  finish_reached(core);
}

/* One read serves everybody who asked before it was sent. */
static void
read_tick(WsCore *core)
{
  WsStore *store = core->store;
  if (store->asked->len == 0 || store->reading)
    return;
  if (!store->loaded || !ws_store_ok(core)) {
    finish(core, take(&store->asked), FALSE);
    return;
  }
  store->reading = TRUE;
  g_array_append_vals(store->sent, store->asked->data, store->asked->len);
  g_array_set_size(store->asked, 0);
  ws_store_call(core, WS_FIRST_READ, "GET", "/kv?starts=" WS_PREFIX "~&page=1", NULL, 0, 800,
                on_read, NULL);
}

/* The replica. */

static void
fail_load(WsCore *core)
{
  core->store->loading = FALSE;
  core->store->load_retry_ms = core->now + 300;
}

static void load_page(WsCore *core);

static void
finish_load(WsCore *core)
{
  WsStore *store = core->store;
  ws_replica_forget_missing(core->replica, store->load_keys, store->load_revision);
  ws_replica_advance(core->replica, store->load_revision);
  store->loading = FALSE;
  store->loaded = TRUE;
  core->replica->is_loading = FALSE;
  core->plan_due = TRUE;
  g_info("state read: revision %" G_GUINT64_FORMAT ", %u jobs open, %u machines",
         store->load_revision, core->replica->active->len, core->replica->machines->len);
}

static void
on_page(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsStore *store = core->store;
  guint64 revision;
  gboolean more;
  size_t i;
  const json_t *item;
  const json_t *items = json_object_get(body, "pairs");
  if (status != 200 || !ws_json_count(body, W_REVISION, &revision)
      || !ws_json_bool(body, "more", &more) || !json_is_array(items)) {
    fail_load(core);
    return;
  }
  if (store->load_last == NULL)
    store->load_revision = revision;
  json_array_foreach(items, i, item)
  {
    const char *key;
    guint64 version;
    if (!ws_json_string(item, "k", &key) || !ws_json_count(item, W_VERSION, &version))
      continue;
    ws_replica_apply(core->replica, key, json_object_get(item, "value"), version);
    g_hash_table_add(store->load_keys, g_strdup(key));
    g_free(store->load_last);
    store->load_last = g_strdup(key);
  }
  if (more && json_array_size(items) > 0)
    load_page(core);
  else
    finish_load(core);
}

static void
load_page(WsCore *core)
{
  g_autofree char *path
      = core->store->load_last == NULL
            ? g_strdup("/kv?starts=" WS_PREFIX "&page=1000")
            : g_strdup_printf("/kv?starts=" WS_PREFIX "&from=%s&page=1000", core->store->load_last);
  ws_store_call(core, WS_FIRST_READ, "GET", path, NULL, 0, 3000, on_page, NULL);
}

static void
start_load(WsCore *core)
{
  WsStore *store = core->store;
  store->loading = TRUE;
  core->replica->is_loading = TRUE;
  g_clear_pointer(&store->load_last, g_free);
  g_clear_pointer(&store->load_keys, g_hash_table_unref);
  store->load_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  load_page(core);
}

static void
apply_event(WsCore *core, const json_t *event)
{
  const char *key;
  guint64 version;
  if (!ws_json_count(event, W_VERSION, &version))
    return;
  if (ws_json_string(event, "set", &key))
    ws_replica_apply(core->replica, key, json_object_get(event, "value"), version);
  else if (ws_json_string(event, "remove", &key))
    ws_replica_apply(core->replica, key, NULL, version);
  core->plan_due = TRUE;
}

static void
on_watch(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsStore *store = core->store;
  guint64 revision;
  store->watching = FALSE;
  if (status == 410) {
    g_info("the watch is too far behind: reading the state again");
    store->loaded = FALSE;
    return;
  }
  if (status != 200 || !ws_json_count(body, W_REVISION, &revision)) {
    store->watch_retry_ms = core->now + 300;
    return;
  }
  size_t i;
  const json_t *event;
  json_array_foreach(json_object_get(body, "log"), i, event) apply_event(core, event);
  ws_replica_advance(core->replica, revision);
  finish_reached(core);
}

static void
set_shares(WsCore *core)
{
  WsStore *store = core->store;
  guint others = MAX(core->settings->nodes->len - 1, 1u);
  gboolean leads = ws_is_leader(core);
  double reads = leads ? LEADER_READS : (ALL_READS - LEADER_READS) / others;
  double writes = leads ? LEADER_WRITES : OTHER_WRITES / others;
  store->requests.per_second = core->settings->state_rps * reads;
  store->writes.per_second = core->settings->state_write_rps * writes;
  store->writes.burst = MAX(store->writes.per_second * BURST_S, 4.0);
  /* Changes gather while the watch is closed: it takes at most a third of the requests. */
  store->watch_pause_ms = (gint64)(3000.0 / store->requests.per_second);
}

static void
watch_tick(WsCore *core)
{
  WsStore *store = core->store;
  if (store->watching || !store->loaded || core->now < store->watch_retry_ms)
    return;
  if (store->waiting->len == 0 && core->now < store->watch_opened_ms + store->watch_pause_ms)
    return;
  store->watching = TRUE;
  store->watch_opened_ms = core->now;
  g_autofree char *path
      = g_strdup_printf("/follow?starts=" WS_PREFIX "&from=%" G_GUINT64_FORMAT "&wait_ms=%d",
                        core->replica->revision, LONG_WAIT_MS);
  ws_store_call(core, WS_FIRST_READ, "GET", path, NULL, 0, LONG_WAIT_MS + 2000, on_watch, NULL);
}

/* Users, leases and reads don't wait behind the debt of a large transaction of tasks. */
static gboolean
may_send(WsCore *core, WsFirst first, guint writes)
{
  WsStore *store = core->store;
  if (first <= WS_FIRST_USER)
    return ws_rate_ready(&store->requests, 1.0, core->now)
           && (writes == 0 || ws_rate_borrow(&store->writes, writes, core->now))
           && ws_rate_take(&store->requests, 1.0, core->now);
  return ws_rate_ready(&store->requests, 1.0, core->now)
         && ws_rate_take(&store->writes, writes, core->now)
         && ws_rate_take(&store->requests, 1.0, core->now);
}

/* Strictly by urgency: a write that waits for its budget also holds back what is less urgent. */
static void
send_queued(WsCore *core)
{
  WsStore *store = core->store;
  if (core->now < store->too_many_ms)
    return;
  for (guint i = 0; i < WS_FIRST_LEVELS; i++) {
    Queued *queued;
    while ((queued = g_queue_peek_head(&store->queues[i])) != NULL) {
      if (!may_send(core, (WsFirst)i, queued->writes))
        return;
      send(core, g_queue_pop_head(&store->queues[i]));
    }
  }
}

void
ws_store_pump(WsCore *core)
{
  read_tick(core);
  watch_tick(core);
  send_queued(core);
}

static void
on_caught_up(WsCore *core, gboolean current, gpointer data)
{
  (void)data;
  core->store->catching_up = FALSE;
  core->store->stale = core->store->stale && !(current && ws_store_ok(core));
}

/* While this node had no answers others may have had theirs: what it knows is old until it has
   read once more. */
static void
catch_up(WsCore *core)
{
  WsStore *store = core->store;
  store->stale = store->stale || !ws_store_ok(core);
  if (!store->stale || store->catching_up || !store->loaded || !ws_store_ok(core))
    return;
  store->catching_up = TRUE;
  ws_store_read(core, on_caught_up, NULL);
}

void
ws_store_tick(WsCore *core)
{
  WsStore *store = core->store;
  set_shares(core);
  if (!store->loaded && !store->loading && !store->watching && core->now >= store->load_retry_ms)
    start_load(core);
  finish_reached(core);
  catch_up(core);
}

gboolean
ws_store_stop(WsCore *core)
{
  WsStore *store = core->store;
  gboolean any = store->asked->len + store->sent->len + store->waiting->len > 0;
  for (guint i = 0; i < WS_FIRST_LEVELS; i++) {
    Queued *queued;
    while ((queued = g_queue_pop_head(&store->queues[i])) != NULL) {
      queued->reply(core, 0, NULL, queued->data);
      queued_free(queued);
      any = TRUE;
    }
  }
  finish(core, take(&store->asked), FALSE);
  finish(core, take(&store->sent), FALSE);
  finish(core, take(&store->waiting), FALSE);
  return any;
}

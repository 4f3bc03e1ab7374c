#include "state.h"

#include <stdlib.h>
#include <string.h>

#define LOG_LENGTH 10000
#define PAGE_ITEMS 1000
#define PAGE_BYTES (512 * 1024)
#define TXN_BYTES 65536

typedef struct {
  json_t *value;
  guint64 version, lease;
} Entry;

typedef struct {
  gint64 ttl_ms, expires_ms;
} Lease;

typedef struct {
  guint64 from;
  char *prefix;
  gint64 until_ms;
  Exchange *exchange;
} Watch;

static void
entry_free(gpointer data)
{
  json_decref(((Entry *)data)->value);
  g_free(data);
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp(a, b);
}

static void
log_event(State *state, json_t *event)
{
  g_queue_push_tail(state->log, event);
  if (g_queue_get_length(state->log) > LOG_LENGTH)
    json_decref(g_queue_pop_head(state->log));
}

static void
put_entry(State *state, const char *key, json_t *value, guint64 lease)
{
  Entry *entry = g_new0(Entry, 1);
  *entry = (Entry){ json_incref(value), state->revision, lease };
  g_tree_replace(state->entries, g_strdup(key), entry);
  log_event(state, json_pack("{s:s, s:O, s:I}", "set", key, "value", value, "verze",
                             (json_int_t)state->revision));
}

static void
remove_entry(State *state, const char *key)
{
  if (g_tree_lookup(state->entries, key) == NULL)
    return;
  log_event(state, json_pack("{s:s, s:I}", "remove", key, "verze", (json_int_t)state->revision));
  g_tree_remove(state->entries, key);
}

static const char *
event_key(const json_t *event)
{
  const json_t *set = json_object_get(event, "set");
  return json_string_value(set != NULL ? set : json_object_get(event, "remove"));
}

static guint64
event_version(const json_t *event)
{
  return (guint64)json_integer_value(json_object_get(event, "verze"));
}

/* Returns the events after @from with the prefix; NULL if there is none. */
static json_t *
events_since(const State *state, guint64 from, const char *prefix)
{
  json_t *events = json_array();
  const GList *item = state->log->tail;
  while (item != NULL && event_version(item->data) > from)
    item = item->prev;
  for (item = item != NULL ? item->next : state->log->head; item != NULL; item = item->next)
    if (g_str_has_prefix(event_key(item->data), prefix))
      json_array_append(events, item->data);
  if (json_array_size(events) > 0)
    return events;
  json_decref(events);
  return NULL;
}

static gboolean
answer_watch(State *state, const Watch *watch, gint64 now_ms)
{
  json_t *events = events_since(state, watch->from, watch->prefix);
  if (events == NULL && now_ms < watch->until_ms)
    return FALSE;
  exchange_reply(watch->exchange, 200,
                 json_pack("{s:I, s:o}", "zmena", (json_int_t)state->revision, "log",
                           events != NULL ? events : json_array()));
  return TRUE;
}

typedef struct {
  guint64 lease;
  GPtrArray *keys;
} LeaseKeys;

static gboolean
collect_lease_key(gpointer key, gpointer value, gpointer data)
{
  LeaseKeys *keys = data;
  if (((Entry *)value)->lease == keys->lease)
    g_ptr_array_add(keys->keys, g_strdup(key));
  return FALSE;
}

static void
end_lease(State *state, guint64 lease)
{
  g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
  LeaseKeys found = { lease, keys };
  g_tree_foreach(state->entries, collect_lease_key, &found);
  if (keys->len > 0)
    state->revision++;
  for (guint i = 0; i < keys->len; i++)
    remove_entry(state, g_ptr_array_index(keys, i));
}

void
state_tick(State *state)
{
  gint64 now_ms = clock_ms();
  GHashTableIter iter;
  gpointer key, value;
  g_autoptr(GArray) ended = g_array_new(FALSE, FALSE, sizeof(guint64));
  g_hash_table_iter_init(&iter, state->leases);
  while (g_hash_table_iter_next(&iter, &key, &value)) {
    Lease *lease = value;
    if (state->is_out)
      lease->expires_ms = now_ms + lease->ttl_ms;
    if (now_ms < lease->expires_ms)
      continue;
    g_array_append_vals(ended, key, 1);
    g_hash_table_iter_remove(&iter);
  }
  for (guint i = 0; i < ended->len; i++)
    end_lease(state, g_array_index(ended, guint64, i));
  if (state->is_out)
    return;
  for (guint i = state->watches->len; i-- > 0;) {
    Watch *watch = g_ptr_array_index(state->watches, i);
    if (answer_watch(state, watch, now_ms)) {
      g_ptr_array_remove_index_fast(state->watches, i);
      g_free(watch->prefix);
      g_free(watch);
    }
  }
}

static guint64
version_of(const State *state, const char *key)
{
  const Entry *entry = g_tree_lookup(state->entries, key);
  return entry != NULL ? entry->version : 0;
}

static const char *
find_malformed(const State *state, const json_t *body)
{
  size_t i;
  const json_t *item;
  char *text = json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY);
  gsize length = text != NULL ? strlen(text) : 0;
  free(text);
  if (length == 0 || length > TXN_BYTES)
    return "not JSON, or longer than 64 KiB";
  if (json_array_size(json_object_get(body, "apply")) > state->txn_ops)
    return "too many operations";
  if (json_array_size(json_object_get(body, "if")) > (size_t)4 * state->txn_ops)
    return "too many conditions";
  json_array_foreach(json_object_get(body, "apply"), i, item)
  {
    const json_t *value = json_object_get(item, "value");
    char *written = value != NULL ? json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
    gsize size = written != NULL ? strlen(written) : 0;
    free(written);
    guint64 lease = (guint64)json_integer_value(json_object_get(item, "najem"));
    if (size > state->value_bytes)
      return "value too large";
    if (lease != 0 && !g_hash_table_contains(state->leases, &lease))
      return "no such lease";
  }
  return NULL;
}

static json_t *
commit(State *state, const json_t *body, guint *status)
{
  size_t i;
  const json_t *item;
  const char *malformed = find_malformed(state, body);
  if (malformed != NULL) {
    *status = 400;
    state->rejected++;
    return json_pack("{s:s}", "error", malformed);
  }
  json_t *failed = json_array();
  json_array_foreach(json_object_get(body, "if"), i, item)
  {
    const char *key = json_string_value(json_object_get(item, "k"));
    if (version_of(state, key) != (guint64)json_integer_value(json_object_get(item, "verze")))
      json_array_append_new(failed, json_string(key));
  }
  if (json_array_size(failed) > 0) {
    *status = 409;
    return json_pack("{s:o, s:I}", "failed", failed, "zmena", (json_int_t)state->revision);
  }
  json_decref(failed);
  const json_t *changes = json_object_get(body, "apply");
  state->revision += json_array_size(changes) > 0 ? 1 : 0;
  json_array_foreach(changes, i, item)
  {
    const char *key = json_string_value(json_object_get(item, "set"));
    if (key != NULL)
      put_entry(state, key, json_object_get(item, "value"),
                (guint64)json_integer_value(json_object_get(item, "najem")));
    else
      remove_entry(state, json_string_value(json_object_get(item, "remove")));
  }
  *status = 200;
  return json_pack("{s:I}", "zmena", (json_int_t)state->revision);
}

static char *
query_parameter(const char *path, const char *name)
{
  g_autofree char *marked = g_strconcat(name, "=", NULL);
  const char *at = strchr(path, '?');
  while (at != NULL) {
    at++;
    if (g_str_has_prefix(at, marked)) {
      const char *value = at + strlen(marked);
      return g_strndup(value, strcspn(value, "&"));
    }
    at = strchr(at, '&');
  }
  return NULL;
}

static json_t *
list_pairs(const State *state, const char *path)
{
  g_autofree char *prefix = query_parameter(path, "starts");
  g_autofree char *from = query_parameter(path, "from");
  g_autofree char *page = query_parameter(path, "page");
  guint max = page != NULL ? MIN((guint)atoi(page), PAGE_ITEMS) : PAGE_ITEMS;
  const char *begin = prefix != NULL ? prefix : "";
  gboolean more = FALSE;
  gsize bytes = 0;
  json_t *pairs = json_array();
  GTreeNode *node = from != NULL ? g_tree_upper_bound(state->entries, from)
                                 : g_tree_lower_bound(state->entries, begin);
  for (; node != NULL; node = g_tree_node_next(node)) {
    const char *key = g_tree_node_key(node);
    const Entry *entry = g_tree_node_value(node);
    if (!g_str_has_prefix(key, begin)) {
      if (strcmp(key, begin) < 0)
        continue;
      break;
    }
    char *text = json_dumps(entry->value, JSON_COMPACT | JSON_ENCODE_ANY);
    bytes += strlen(text) + strlen(key) + 40;
    free(text);
    if (json_array_size(pairs) >= max || bytes > PAGE_BYTES) {
      more = TRUE;
      break;
    }
    json_array_append_new(pairs, json_pack("{s:s, s:O, s:I}", "k", key, "value", entry->value,
                                           "verze", (json_int_t)entry->version));
  }
  return json_pack("{s:o, s:b, s:I}", "pairs", pairs, "more", more, "zmena",
                   (json_int_t)state->revision);
}

static void
follow(State *state, Exchange *exchange, const char *path)
{
  g_autofree char *from = query_parameter(path, "from");
  g_autofree char *wait = query_parameter(path, "wait_ms");
  Watch *watch = g_new0(Watch, 1);
  watch->from = from != NULL ? strtoull(from, NULL, 10) : 0;
  watch->prefix = query_parameter(path, "starts");
  watch->prefix = watch->prefix != NULL ? watch->prefix : g_strdup("");
  watch->until_ms = clock_ms() + (wait != NULL ? MIN(atoi(wait), 60000) : 0);
  watch->exchange = exchange;
  if (g_queue_get_length(state->log) >= LOG_LENGTH
      && watch->from + 1 < event_version(g_queue_peek_head(state->log))) {
    exchange_reply(exchange, 410, json_pack("{s:s}", "error", "too old"));
    g_free(watch->prefix);
    g_free(watch);
    return;
  }
  g_ptr_array_add(state->watches, watch);
}

static json_t *
create_lease(State *state, const json_t *body)
{
  guint64 *id = g_new(guint64, 1);
  Lease *lease = g_new0(Lease, 1);
  *id = ++state->next_lease;
  lease->ttl_ms = json_integer_value(json_object_get(body, "ttl_ms"));
  lease->expires_ms = clock_ms() + lease->ttl_ms;
  g_hash_table_insert(state->leases, id, lease);
  return json_pack("{s:I}", "najem", (json_int_t)*id);
}

static gboolean
take_tokens(State *state, guint writes)
{
  gint64 now_ms = clock_ms();
  double seconds = (double)(now_ms - state->refilled_ms) / 1000.0;
  state->refilled_ms = now_ms;
  state->request_tokens = MIN(state->rps, state->request_tokens + seconds * state->rps);
  state->write_tokens = MIN(state->write_rps, state->write_tokens + seconds * state->write_rps);
  if (state->request_tokens < 1.0 || state->write_tokens < writes)
    return FALSE;
  state->request_tokens -= 1.0;
  state->write_tokens -= writes;
  return TRUE;
}

static void
lease_request(State *state, Exchange *exchange, const char *method, const char *path)
{
  guint64 id = strtoull(path + strlen("/holds/"), NULL, 10);
  Lease *lease = g_hash_table_lookup(state->leases, &id);
  if (lease != NULL && strcmp(method, "DELETE") == 0) {
    g_hash_table_remove(state->leases, &id);
    end_lease(state, id);
  } else if (lease != NULL) {
    lease->expires_ms = clock_ms() + lease->ttl_ms;
  }
  exchange_reply(exchange, lease != NULL ? 200 : 404, NULL);
}

static void
serve(Exchange *exchange, const char *method, const char *path, const json_t *body, gpointer data)
{
  State *state = data;
  guint status = 200;
  gboolean is_multi = strcmp(path, "/multi") == 0;
  state->requests++;
  if (state->is_out) {
    exchange_reply(exchange, 503, NULL);
    return;
  }
  if (!take_tokens(state, is_multi ? (guint)json_array_size(json_object_get(body, "apply")) : 0)) {
    exchange_reply(exchange, 429, NULL);
    return;
  }
  if (is_multi) {
    json_t *answer = commit(state, body, &status);
    exchange_reply(exchange, status, answer);
    state_tick(state);
  } else if (g_str_has_prefix(path, "/follow?")) {
    follow(state, exchange, path);
    state_tick(state);
  } else if (g_str_has_prefix(path, "/kv?")) {
    exchange_reply(exchange, 200, list_pairs(state, path));
  } else if (g_str_has_prefix(path, "/kv/")) {
    const Entry *entry = g_tree_lookup(state->entries, path + strlen("/kv/"));
    exchange_reply(exchange, entry != NULL ? 200 : 404,
                   entry != NULL ? json_pack("{s:s, s:O, s:I}", "k", path + strlen("/kv/"), "value",
                                             entry->value, "verze", (json_int_t)entry->version)
                                 : json_pack("{s:I}", "zmena", (json_int_t)state->revision));
  } else if (strcmp(path, "/holds") == 0) {
    exchange_reply(exchange, 200, create_lease(state, body));
  } else if (g_str_has_prefix(path, "/holds/")) {
    lease_request(state, exchange, method, path);
  } else {
    exchange_reply(exchange, 400, json_pack("{s:s}", "error", "unknown path"));
  }
}

State *
state_new(double rps, double write_rps, guint txn_ops, gsize value_bytes)
{
  State *state = g_new0(State, 1);
  state->entries = g_tree_new_full(compare_keys, NULL, g_free, entry_free);
  state->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  state->log = g_queue_new();
  state->watches = g_ptr_array_new();
  state->rps = state->request_tokens = rps;
  state->write_rps = state->write_tokens = write_rps;
  state->refilled_ms = clock_ms();
  state->txn_ops = txn_ops;
  state->value_bytes = value_bytes;
  state->listener = listener_new(serve, state);
  return state;
}

void
state_put(State *state, const char *key, json_t *value)
{
  state->revision++;
  put_entry(state, key, value, 0);
  json_decref(value);
}

const json_t *
state_get(const State *state, const char *key)
{
  const Entry *entry = g_tree_lookup(state->entries, key);
  return entry != NULL ? entry->value : NULL;
}

guint
state_count(const State *state, const char *prefix)
{
  guint count = 0;
  for (GTreeNode *node = g_tree_lower_bound(state->entries, prefix);
       node != NULL && g_str_has_prefix(g_tree_node_key(node), prefix);
       node = g_tree_node_next(node))
    count++;
  return count;
}

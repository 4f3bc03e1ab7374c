/**
 * The key-value store of the simulated cluster: conditional transactions, leases and watches.
 */
#include "sim/store.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
  json_t *value;
  guint64 version;
  guint64 lease;
} Entry;

typedef struct {
  gint64 ttl_ms;
  gint64 expires_ms;
} Lease;

/* A watch that awaits a revision above @from. */
typedef struct {
  guint64 from;
  gint64 until_ms;
  SimStoreReply reply;
  gpointer data;
} Watch;

struct _SimStore {
  GTree *entries;
  GHashTable *leases;
  GPtrArray *log; /* of json_t events */
  GArray *watches;
  guint64 revision;
  guint64 compacted_revision; /* changes up to it are no longer in the log */
  guint max_page_items;       /* 0: no limit but that of the request */
  guint max_log_length;       /* 0: no limit */
  guint64 next_lease;
  gint64 ticked_ms;
  guint max_operations;
  gsize max_value_bytes;
  guint rejected_for_size;
};

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
event_free(gpointer data)
{
  json_decref(data);
}

SimStore *
sim_store_new(void)
{
  SimStore *store = g_new0(SimStore, 1);
  store->max_operations = 16; /* as in ws_test_settings_message() */
  store->max_value_bytes = (gsize)16 * 1024;
  store->entries = g_tree_new_full(compare_keys, NULL, g_free, entry_free);
  store->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  store->log = g_ptr_array_new_with_free_func(event_free);
  store->watches = g_array_new(FALSE, FALSE, sizeof(Watch));
  return store;
}

void
sim_store_free(SimStore *store)
{
  for (guint i = 0; i < store->watches->len; i++) {
    const Watch *watch = &g_array_index(store->watches, Watch, i);
    watch->reply(watch->data, 503, json_object());
  }
  g_tree_unref(store->entries);
  g_hash_table_unref(store->leases);
  g_ptr_array_unref(store->log);
  g_array_unref(store->watches);
  g_free(store);
}

/* Adds an event to the log, and forgets the oldest ones beyond the limit. */
static void
append_to_log(SimStore *store, json_t *event /* takes ownership */)
{
  g_ptr_array_add(store->log, event);
  while (store->max_log_length > 0 && store->log->len > store->max_log_length) {
    const json_t *oldest = g_ptr_array_index(store->log, 0);
    store->compacted_revision = (guint64)json_integer_value(json_object_get(oldest, "verze"));
    g_ptr_array_remove_index(store->log, 0);
  }
}

static void
put_entry(SimStore *store, const char *key, json_t *value, guint64 lease)
{
  Entry *entry = g_new0(Entry, 1);
  *entry = (Entry){ json_incref(value), store->revision, lease };
  g_tree_replace(store->entries, g_strdup(key), entry);
  append_to_log(store, json_pack("{s:s, s:O, s:I}", "set", key, "value", value, "verze",
                                 (json_int_t)store->revision));
}

static void
remove_entry(SimStore *store, const char *key)
{
  if (g_tree_lookup(store->entries, key) == NULL)
    return;
  append_to_log(store,
                json_pack("{s:s, s:I}", "remove", key, "verze", (json_int_t)store->revision));
  g_tree_remove(store->entries, key);
}

static json_t *
events_since(const SimStore *store, guint64 from)
{
  json_t *events = json_array();
  for (guint i = 0; i < store->log->len; i++) {
    json_t *event = g_ptr_array_index(store->log, i);
    if ((guint64)json_integer_value(json_object_get(event, "verze")) > from)
      json_array_append(events, event);
  }
  return json_pack("{s:I, s:o}", "zmena", (json_int_t)store->revision, "log", events);
}

static void
answer_watches(SimStore *store, gint64 now_ms, gboolean is_unavailable)
{
  for (guint i = store->watches->len; i-- > 0;) {
    Watch watch = g_array_index(store->watches, Watch, i);
    if (is_unavailable || (watch.from >= store->revision && now_ms < watch.until_ms))
      continue;
    g_array_remove_index(store->watches, i);
    if (watch.from < store->compacted_revision)
      watch.reply(watch.data, 410, json_object());
    else
      watch.reply(watch.data, 200, events_since(store, watch.from));
  }
}

/* The keys that are attached to a lease. */
typedef struct {
  guint64 lease;
  GPtrArray *keys;
} LeaseKeys;

static gboolean
collect_lease_key(gpointer key, gpointer value, gpointer data)
{
  LeaseKeys *lease_keys = data;
  if (((Entry *)value)->lease == lease_keys->lease)
    g_ptr_array_add(lease_keys->keys, g_strdup(key));
  return FALSE;
}

static void
end_lease(SimStore *store, guint64 lease)
{
  g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
  LeaseKeys lease_keys = { lease, keys };
  g_tree_foreach(store->entries, collect_lease_key, &lease_keys);
  if (keys->len > 0)
    store->revision++;
  for (guint i = 0; i < keys->len; i++)
    remove_entry(store, g_ptr_array_index(keys, i));
}

void
sim_store_tick(SimStore *store, gint64 now_ms, gboolean is_unavailable)
{
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init(&iter, store->leases);
  while (g_hash_table_iter_next(&iter, &key, &value)) {
    Lease *lease = value;
    if (is_unavailable)
      lease->expires_ms = now_ms + lease->ttl_ms;
    if (now_ms < lease->expires_ms)
      continue;
    guint64 ended = *(guint64 *)key;
    g_hash_table_iter_remove(&iter);
    end_lease(store, ended);
  }
  answer_watches(store, now_ms, is_unavailable);
}

static guint64
version_of(const SimStore *store, const char *key)
{
  const Entry *entry = g_tree_lookup(store->entries, key);
  return entry != NULL ? entry->version : 0;
}

/* The reason why the transaction is too large, or NULL. */
static const char *
find_oversize(const SimStore *store, const json_t *body)
{
  size_t i;
  const json_t *item;
  g_autofree char *text = json_dumps(body, JSON_COMPACT);
  if (strlen(text) > 65536)
    return "longer than 64 KiB";
  if (json_array_size(json_object_get(body, "apply")) > store->max_operations)
    return "too many operations";
  if (json_array_size(json_object_get(body, "if")) > 4 * (size_t)store->max_operations)
    return "too many conditions";
  json_array_foreach(json_object_get(body, "apply"), i, item)
  {
    const json_t *value = json_object_get(item, "value");
    g_autofree char *written = value != NULL ? json_dumps(value, JSON_COMPACT) : NULL;
    if (written != NULL && strlen(written) > store->max_value_bytes)
      return "a value is too large";
  }
  return NULL;
}

/* The key of the first condition that doesn't hold, or NULL. */
static const char *
find_failed_condition(const SimStore *store, const json_t *body)
{
  size_t i;
  const json_t *item;
  json_array_foreach(json_object_get(body, "if"), i, item)
  {
    const char *key = json_string_value(json_object_get(item, "k"));
    if (version_of(store, key) != (guint64)json_integer_value(json_object_get(item, "verze")))
      return key;
  }
  return NULL;
}

static gboolean
has_unknown_lease(const SimStore *store, const json_t *changes)
{
  size_t i;
  const json_t *item;
  json_array_foreach(changes, i, item)
  {
    guint64 lease = (guint64)json_integer_value(json_object_get(item, "najem"));
    if (lease != 0 && !g_hash_table_contains(store->leases, &lease))
      return TRUE;
  }
  return FALSE;
}

static void
apply_changes(SimStore *store, const json_t *changes)
{
  size_t i;
  const json_t *item;
  store->revision += json_array_size(changes) > 0 ? 1 : 0;
  json_array_foreach(changes, i, item)
  {
    const char *key = json_string_value(json_object_get(item, "set"));
    if (key != NULL)
      put_entry(store, key, json_object_get(item, "value"),
                (guint64)json_integer_value(json_object_get(item, "najem")));
    else
      remove_entry(store, json_string_value(json_object_get(item, "remove")));
  }
}

static json_t *
commit_transaction(SimStore *store, const json_t *body, guint *status)
{
  const json_t *changes = json_object_get(body, "apply");
  const char *failed = find_failed_condition(store, body);
  if (failed != NULL) {
    *status = 409;
    return json_pack("{s:[s], s:I}", "failed", failed, "zmena", (json_int_t)store->revision);
  }
  if (has_unknown_lease(store, changes)) {
    *status = 400;
    return json_pack("{s:s}", "error", "no such lease");
  }
  const char *oversize = find_oversize(store, body);
  if (oversize != NULL) {
    store->rejected_for_size++;
    *status = 400;
    return json_pack("{s:s}", "error", oversize);
  }
  apply_changes(store, changes);
  *status = 200;
  return json_pack("{s:I}", "zmena", (json_int_t)store->revision);
}

/* A parameter of the query, or NULL. */
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

/* The first entries with a prefix whose keys sort after @from; pairs is NULL to count them only. */
typedef struct {
  const char *prefix;
  const char *from;
  guint max_count; /* 0: no limit */
  json_t *pairs;
  guint count;
  gboolean has_more; /* there are entries beyond the limit */
} Listing;

static gboolean
list_entry(gpointer key, gpointer value, gpointer data)
{
  Listing *listing = data;
  const Entry *entry = value;
  if (!g_str_has_prefix(key, listing->prefix)
      || (listing->from != NULL && strcmp(key, listing->from) <= 0))
    return FALSE;
  listing->has_more = listing->max_count > 0 && listing->count == listing->max_count;
  if (listing->has_more)
    return TRUE;
  listing->count++;
  if (listing->pairs != NULL)
    json_array_append_new(listing->pairs,
                          json_pack("{s:s, s:O, s:I}", "k", key, "value", entry->value, "verze",
                                    (json_int_t)entry->version));
  return FALSE;
}

static json_t *
list_pairs(SimStore *store, const char *path)
{
  g_autofree char *prefix = query_parameter(path, "starts");
  g_autofree char *from = query_parameter(path, "from");
  Listing listing = {
    .prefix = prefix, .from = from, .max_count = store->max_page_items, .pairs = json_array()
  };
  g_tree_foreach(store->entries, list_entry, &listing);
  return json_pack("{s:o, s:b, s:I}", "pairs", listing.pairs, "more", listing.has_more, "zmena",
                   (json_int_t)store->revision);
}

static void
add_watch(SimStore *store, gint64 now_ms, const char *path, SimStoreReply reply, gpointer data)
{
  g_autofree char *from = query_parameter(path, "from");
  g_autofree char *wait = query_parameter(path, "wait_ms");
  Watch watch = { g_ascii_strtoull(from, NULL, 10), now_ms + atoi(wait), reply, data };
  g_array_append_val(store->watches, watch);
}

static json_t *
create_lease(SimStore *store, gint64 now_ms, const json_t *body)
{
  guint64 *id = g_new(guint64, 1);
  *id = ++store->next_lease;
  Lease *lease = g_new0(Lease, 1);
  lease->ttl_ms = json_integer_value(json_object_get(body, "ttl_ms"));
  lease->expires_ms = now_ms + lease->ttl_ms;
  g_hash_table_insert(store->leases, id, lease);
  return json_pack("{s:I}", "najem", (json_int_t)*id);
}

void
sim_store_request(SimStore *store, gint64 now_ms, const char *method, const char *path,
                  const json_t *body, SimStoreReply reply, gpointer data)
{
  guint status = 200;
  (void)method;
  if (g_str_has_prefix(path, "/follow")) {
    add_watch(store, now_ms, path, reply, data);
  } else if (g_str_has_prefix(path, "/kv?")) {
    reply(data, 200, list_pairs(store, path));
  } else if (strcmp(path, "/multi") == 0) {
    json_t *answer = commit_transaction(store, body, &status);
    reply(data, status, answer);
  } else if (strcmp(path, "/holds") == 0) {
    reply(data, 200, create_lease(store, now_ms, body));
  } else if (g_str_has_suffix(path, "/renew")) {
    guint64 id = g_ascii_strtoull(path + strlen("/holds/"), NULL, 10);
    Lease *lease = g_hash_table_lookup(store->leases, &id);
    if (lease != NULL)
      lease->expires_ms = now_ms + lease->ttl_ms;
    reply(data, lease != NULL ? 200 : 404, json_object());
  } else {
    g_error("the simulated store has no path %s", path);
  }
}

void
sim_store_set_limits(SimStore *store, guint max_operations, gsize max_value_bytes)
{
  store->max_operations = max_operations;
  store->max_value_bytes = max_value_bytes;
}

void
sim_store_set_max_page_items(SimStore *store, guint max_page_items)
{
  store->max_page_items = max_page_items;
}

void
sim_store_set_max_log_length(SimStore *store, guint max_log_length)
{
  store->max_log_length = max_log_length;
}

void
sim_store_compact(SimStore *store)
{
  store->compacted_revision = store->revision;
  g_ptr_array_set_size(store->log, 0);
}

guint
sim_store_count_rejected_for_size(const SimStore *store)
{
  return store->rejected_for_size;
}

guint
sim_store_count_keys(const SimStore *store, const char *prefix)
{
  Listing listing = { .prefix = prefix };
  g_tree_foreach(store->entries, list_entry, &listing);
  return listing.count;
}

typedef struct {
  const char *prefix;
  const char *name;
  gboolean found;
} Search;

static gboolean
search_entry(gpointer key, gpointer value, gpointer data)
{
  Search *search = data;
  size_t i;
  const json_t *name;
  if (!g_str_has_prefix(key, search->prefix))
    return FALSE;
  json_array_foreach(json_object_get(((Entry *)value)->value, "names"), i, name)
  {
    search->found = search->found || strcmp(json_string_value(name), search->name) == 0;
  }
  return search->found;
}

gboolean
sim_store_lists_name(const SimStore *store, const char *prefix, const char *name)
{
  Search search = { prefix, name, FALSE };
  g_tree_foreach(store->entries, search_entry, &search);
  return search.found;
}

gboolean
sim_store_has(const SimStore *store, const char *key)
{
  return g_tree_lookup(store->entries, key) != NULL;
}

const json_t *
sim_store_get(const SimStore *store, const char *key)
{
  const Entry *entry = g_tree_lookup(store->entries, key);
  return entry != NULL ? entry->value : NULL;
}

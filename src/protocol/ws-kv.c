/* Parses and encodes the messages of the key-value store's HTTP interface. */
#include "protocol/ws-kv.h"

#include "protocol/ws-field-names.h"

#define KV_FIELD_TXN_CONDITIONS "if"
#define KV_FIELD_CONDITION_KEY "k"
#define KV_FIELD_TXN_OPERATIONS "apply"
#define KV_FIELD_PUT_KEY "set"
#define KV_FIELD_DELETE_KEY "remove"
#define KV_FIELD_VALUE "value"
#define KV_FIELD_PAGE_ITEMS "pairs"
#define KV_FIELD_ITEM_KEY "k"
#define KV_FIELD_HAS_MORE_PAGES "more"
#define KV_FIELD_WATCH_EVENTS "log"
#define KV_FIELD_LEASE_TTL_MS "ttl_ms"
#define KV_FIELD_ERROR "error"
#define KV_ERROR_LEASE_EXPIRED "no such lease"

char *
ws_kv_page_path(const char *prefix, const char *after, guint page_size)
{
  if (after == NULL)
    return g_strdup_printf("/kv?starts=%s&page=%u", prefix, page_size);
  return g_strdup_printf("/kv?starts=%s&from=%s&page=%u", prefix, after, page_size);
}

char *
ws_kv_watch_path(const char *prefix, guint64 revision, guint wait_ms)
{
  return g_strdup_printf("/follow?starts=%s&from=%" G_GUINT64_FORMAT "&wait_ms=%u", prefix,
                         revision, wait_ms);
}

char *
ws_kv_lease_renewal_path(guint64 lease)
{
  return g_strdup_printf(WS_KV_LEASES_PATH "/%" G_GUINT64_FORMAT "/renew", lease);
}

gboolean
ws_kv_revision_parse(const json_t *message, guint64 *revision)
{
  return ws_json_uint64(message, WS_FIELD_REVISION, revision);
}

static WsKvPage *
page_new(guint64 revision)
{
  WsKvPage *page = g_new0(WsKvPage, 1);
  page->revision = revision;
  page->items = g_array_new(FALSE, FALSE, sizeof(WsKvItem));
  page->is_last = TRUE;
  return page;
}

void
ws_kv_page_free(WsKvPage *page)
{
  g_array_unref(page->items);
  g_free(page);
}

static gboolean
parse_page_item(const json_t *entry, WsKvItem *item)
{
  item->value = json_object_get(entry, KV_FIELD_VALUE);
  return item->value != NULL && ws_json_string(entry, KV_FIELD_ITEM_KEY, &item->key)
         && ws_json_uint64(entry, WS_FIELD_VERSION, &item->version);
}

/* An event that neither puts nor deletes a key has no key. */
static gboolean
parse_watch_event(const json_t *event, WsKvItem *item)
{
  if (!ws_json_uint64(event, WS_FIELD_VERSION, &item->version))
    return FALSE;
  if (json_object_get(event, KV_FIELD_PUT_KEY) != NULL) {
    item->value = json_object_get(event, KV_FIELD_VALUE);
    return item->value != NULL && ws_json_string(event, KV_FIELD_PUT_KEY, &item->key);
  }
  return json_object_get(event, KV_FIELD_DELETE_KEY) == NULL
         || ws_json_string(event, KV_FIELD_DELETE_KEY, &item->key);
}

/* Parses the list into the items of the page. Returns FALSE if the list or one of its entries is
   malformed: an entry that is left out would say that its key is absent or unchanged. */
static gboolean
parse_items(const json_t *list, gboolean (*parse)(const json_t *, WsKvItem *), WsKvPage *page)
{
  size_t i;
  const json_t *entry;
  json_array_foreach(list, i, entry)
  {
    WsKvItem item = { 0 };
    if (!parse(entry, &item))
      return FALSE;
    g_array_append_val(page->items, item);
  }
  return json_is_array(list);
}

WsKvPage *
ws_kv_page_parse(const json_t *message)
{
  guint64 revision;
  gboolean has_more;
  if (!ws_kv_revision_parse(message, &revision)
      || !ws_json_bool(message, KV_FIELD_HAS_MORE_PAGES, &has_more))
    return NULL;
  g_autoptr(WsKvPage) page = page_new(revision);
  if (!parse_items(json_object_get(message, KV_FIELD_PAGE_ITEMS), parse_page_item, page))
    return NULL;
  page->is_last = !has_more || page->items->len == 0;
  return g_steal_pointer(&page);
}

WsKvPage *
ws_kv_watch_parse(const json_t *message)
{
  guint64 revision;
  if (!ws_kv_revision_parse(message, &revision))
    return NULL;
  g_autoptr(WsKvPage) page = page_new(revision);
  if (!parse_items(json_object_get(message, KV_FIELD_WATCH_EVENTS), parse_watch_event, page))
    return NULL;
  return g_steal_pointer(&page);
}

json_t *
ws_kv_lease_request_encode(guint ttl_ms)
{
  return json_pack("{s:i}", KV_FIELD_LEASE_TTL_MS, (int)ttl_ms);
}

gboolean
ws_kv_lease_parse(const json_t *message, guint64 *lease)
{
  return ws_json_uint64(message, WS_FIELD_LEASE, lease);
}

static json_t *
condition_encode(const WsKvCondition *condition)
{
  return json_pack("{s:s, s:I}", KV_FIELD_CONDITION_KEY, condition->key, WS_FIELD_VERSION,
                   (json_int_t)condition->version);
}

static json_t *
operation_encode(const WsKvOperation *operation)
{
  if (operation->value == NULL)
    return json_pack("{s:s}", KV_FIELD_DELETE_KEY, operation->key);
  json_t *put
      = json_pack("{s:s, s:O}", KV_FIELD_PUT_KEY, operation->key, KV_FIELD_VALUE, operation->value);
  if (operation->lease != 0)
    json_object_set_new(put, WS_FIELD_LEASE, json_integer((json_int_t)operation->lease));
  return put;
}

json_t *
ws_kv_txn_encode(const GArray *conditions, const GArray *operations)
{
  json_t *encoded_conditions = json_array();
  for (guint i = 0; i < conditions->len; i++)
    json_array_append_new(encoded_conditions,
                          condition_encode(&g_array_index(conditions, WsKvCondition, i)));
  json_t *encoded_operations = json_array();
  for (guint i = 0; i < operations->len; i++)
    json_array_append_new(encoded_operations,
                          operation_encode(&g_array_index(operations, WsKvOperation, i)));
  return json_pack("{s:o, s:o}", KV_FIELD_TXN_CONDITIONS, encoded_conditions,
                   KV_FIELD_TXN_OPERATIONS, encoded_operations);
}

const char *
ws_kv_error_parse(const json_t *message)
{
  const char *error = NULL;
  (void)ws_json_string(message, KV_FIELD_ERROR, &error);
  return error;
}

gboolean
ws_kv_error_is_lease_expired(const json_t *message)
{
  return g_strcmp0(ws_kv_error_parse(message), KV_ERROR_LEASE_EXPIRED) == 0;
}

void
ws_kv_condition_clear(WsKvCondition *condition)
{
  g_free(condition->key);
}

void
ws_kv_operation_clear(WsKvOperation *operation)
{
  g_free(operation->key);
  json_decref(operation->value);
}

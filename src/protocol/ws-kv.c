/* Parses and encodes the messages of the key-value store. */
#include "protocol/ws-kv.h"

#include "protocol/ws-field-names.h"

#define FIELD_CONDITIONS "if"
#define FIELD_CONDITION_KEY "k"
#define FIELD_OPERATIONS "apply"
#define FIELD_PUT "set"
#define FIELD_DELETE "remove"
#define FIELD_VALUE "value"
#define FIELD_ITEMS "pairs"
#define FIELD_ITEM_KEY "k"
#define FIELD_HAS_MORE "more"
#define FIELD_EVENTS "log"
#define FIELD_TTL_MS "ttl_ms"
#define FIELD_ERROR "error"
#define ERROR_LEASE_ENDED "no such lease"

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

WsKvPage *
ws_kv_page_parse(const json_t *message)
{
  guint64 revision;
  gboolean has_more;
  const json_t *items = json_object_get(message, FIELD_ITEMS);
  if (!ws_kv_revision_parse(message, &revision) || !ws_json_bool(message, FIELD_HAS_MORE, &has_more)
      || !json_is_array(items))
    return NULL;
  WsKvPage *page = page_new(revision);
  page->is_last = !has_more || json_array_size(items) == 0;
  size_t i;
  const json_t *entry;
  json_array_foreach(items, i, entry)
  {
    WsKvItem item = { .value = json_object_get(entry, FIELD_VALUE) };
    if (ws_json_string(entry, FIELD_ITEM_KEY, &item.key)
        && ws_json_uint64(entry, WS_FIELD_VERSION, &item.version))
      g_array_append_val(page->items, item);
  }
  return page;
}

static gboolean
event_parse(const json_t *event, WsKvItem *item)
{
  if (!ws_json_uint64(event, WS_FIELD_VERSION, &item->version))
    return FALSE;
  if (ws_json_string(event, FIELD_PUT, &item->key))
    item->value = json_object_get(event, FIELD_VALUE);
  else
    (void)ws_json_string(event, FIELD_DELETE, &item->key);
  return TRUE;
}

WsKvPage *
ws_kv_watch_parse(const json_t *message)
{
  guint64 revision;
  if (!ws_kv_revision_parse(message, &revision))
    return NULL;
  WsKvPage *page = page_new(revision);
  size_t i;
  const json_t *event;
  json_array_foreach(json_object_get(message, FIELD_EVENTS), i, event)
  {
    WsKvItem item = { 0 };
    if (event_parse(event, &item))
      g_array_append_val(page->items, item);
  }
  return page;
}

json_t *
ws_kv_lease_request_encode(guint ttl_ms)
{
  return json_pack("{s:i}", FIELD_TTL_MS, (int)ttl_ms);
}

gboolean
ws_kv_lease_parse(const json_t *message, guint64 *lease)
{
  return ws_json_uint64(message, WS_FIELD_LEASE, lease);
}

static json_t *
condition_encode(const WsKvCondition *condition)
{
  return json_pack("{s:s, s:I}", FIELD_CONDITION_KEY, condition->key, WS_FIELD_VERSION,
                   (json_int_t)condition->version);
}

static json_t *
operation_encode(const WsKvOperation *operation)
{
  if (operation->value == NULL)
    return json_pack("{s:s}", FIELD_DELETE, operation->key);
  json_t *put = json_pack("{s:s, s:O}", FIELD_PUT, operation->key, FIELD_VALUE, operation->value);
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
  return json_pack("{s:o, s:o}", FIELD_CONDITIONS, encoded_conditions, FIELD_OPERATIONS,
                   encoded_operations);
}

const char *
ws_kv_error_parse(const json_t *message)
{
  const char *error = NULL;
  (void)ws_json_string(message, FIELD_ERROR, &error);
  return error;
}

gboolean
ws_kv_error_is_lease_expired(const json_t *message)
{
  return g_strcmp0(ws_kv_error_parse(message), ERROR_LEASE_ENDED) == 0;
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

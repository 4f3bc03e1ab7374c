/* Transactions of the key-value store: builds them and maps each response to a WsTxnResult. */
#include "store/ws-store-private.h"

#include "protocol/ws-kv.h"

#include <string.h>

#define TXN_TIMEOUT_MS 1500

struct _WsTxn {
  GArray *conditions; /* of WsKvCondition */
  GArray *operations; /* of WsKvOperation */
  WsTxnFunc done;
  gpointer data;
};

WsTxn *
ws_txn_new(void)
{
  WsTxn *txn = g_new0(WsTxn, 1);
  txn->conditions = g_array_new(FALSE, FALSE, sizeof(WsKvCondition));
  g_array_set_clear_func(txn->conditions, (GDestroyNotify)ws_kv_condition_clear);
  txn->operations = g_array_new(FALSE, FALSE, sizeof(WsKvOperation));
  g_array_set_clear_func(txn->operations, (GDestroyNotify)ws_kv_operation_clear);
  return txn;
}

void
ws_txn_free(WsTxn *txn)
{
  g_array_unref(txn->conditions);
  g_array_unref(txn->operations);
  g_free(txn);
}

void
ws_txn_compare_version(WsTxn *txn, const char *key, guint64 version)
{
  WsKvCondition condition = { g_strdup(key), version };
  g_array_append_val(txn->conditions, condition);
}

void
ws_txn_compare(WsTxn *txn, const WsReplica *replica, const char *key)
{
  ws_txn_compare_version(txn, key, ws_replica_version(replica, key));
}

void
ws_txn_put(WsTxn *txn, const char *key, json_t *value)
{
  ws_txn_put_leased(txn, key, value, 0);
}

void
ws_txn_put_leased(WsTxn *txn, const char *key, json_t *value, guint64 lease)
{
  WsKvOperation operation = { g_strdup(key), value, lease };
  g_array_append_val(txn->operations, operation);
}

void
ws_txn_delete(WsTxn *txn, const char *key)
{
  ws_txn_put_leased(txn, key, NULL, 0);
}

guint
ws_txn_operation_count(const WsTxn *txn)
{
  return txn->operations->len;
}

static void
apply_operations(WsCore *core, const WsTxn *txn, guint64 revision)
{
  for (guint i = 0; i < txn->operations->len; i++) {
    const WsKvOperation *operation = &g_array_index(txn->operations, WsKvOperation, i);
    ws_replica_apply(core->replica, operation->key, operation->value, revision);
    ws_write_stats_add(core, operation->key);
  }
}

/* Logs each limit that the transaction exceeds, which would be a bug in this program. */
static void
log_exceeded_limits(const WsCore *core, const WsTxn *txn)
{
  if (ws_txn_operation_count(txn) > core->settings->kv_max_txn_ops)
    g_warning("transaction exceeds the store's operation limit: %u operations",
              ws_txn_operation_count(txn));
  for (guint i = 0; i < txn->operations->len; i++) {
    const WsKvOperation *operation = &g_array_index(txn->operations, WsKvOperation, i);
    g_autofree char *text = ws_json_serialize(operation->value);
    if (text != NULL && strlen(text) > core->settings->kv_max_record_bytes)
      g_warning("record %s exceeds the store's size limit: %zu bytes", operation->key,
                strlen(text));
  }
}

static WsTxnResult
classify_rejection(const WsCore *core, const WsTxn *txn, const json_t *body)
{
  if (ws_kv_error_is_lease_expired(body)) {
    g_info("leased write rejected: the lease has expired");
    return WS_TXN_UNAVAILABLE;
  }
  const char *error = ws_kv_error_parse(body);
  g_warning("the key-value store rejected a transaction: %s",
            error != NULL ? error : "no reason given");
  log_exceeded_limits(core, txn);
  return WS_TXN_INVALID;
}

static void
on_reply(WsCore *core, guint status, const json_t *body, gpointer data)
{
  g_autoptr(WsTxn) txn = data;
  guint64 revision;
  WsTxnResult result = WS_TXN_INDETERMINATE;
  if (status == WS_KV_OK && ws_store_read_revision(core, body, &revision)) {
    apply_operations(core, txn, revision);
    result = WS_TXN_COMMITTED;
  } else if (status == WS_KV_CONFLICT) {
    result = WS_TXN_CONFLICT;
  } else if (status == WS_KV_RATE_LIMITED || status == WS_KV_UNAVAILABLE) {
    result = WS_TXN_UNAVAILABLE;
  } else if (status == WS_KV_INVALID) {
    result = classify_rejection(core, txn, body);
  }
  txn->done(core, result, txn->data);
}

void
ws_txn_commit(WsCore *core, WsTxn *txn, WsRequestClass request_class, WsTxnFunc done, gpointer data)
{
  txn->done = done;
  txn->data = data;
  ws_store_post(core, request_class, WS_KV_TXN_PATH,
                ws_kv_txn_encode(txn->conditions, txn->operations), ws_txn_operation_count(txn),
                TXN_TIMEOUT_MS, on_reply, txn);
}

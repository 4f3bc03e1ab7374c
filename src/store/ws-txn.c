#include "store/ws-store.h"

#include "store/ws-write-stats.h"
#include "protocol/ws-field-names.h"

#include <string.h>

struct _WsTxn {
  json_t *conditions;
  json_t *changes;
  WsTxnFunc done;
  gpointer data;
};

WsTxn *
ws_txn_new(void)
{
  WsTxn *txn = g_new0(WsTxn, 1);
  txn->conditions = json_array();
  txn->changes = json_array();
  return txn;
}

void
ws_txn_free(WsTxn *txn)
{
  json_decref(txn->conditions);
  json_decref(txn->changes);
  g_free(txn);
}

void
ws_txn_compare_version(WsTxn *txn, const char *key, guint64 version)
{
  json_array_append_new(txn->conditions,
                        json_pack("{s:s, s:I}", "k", key, W_VERSION, (json_int_t)version));
}

void
ws_txn_compare(WsTxn *txn, const WsReplica *replica, const char *key)
{
  ws_txn_compare_version(txn, key, ws_replica_version(replica, key));
}

void
ws_txn_put(WsTxn *txn, const char *key, json_t *value)
{
  json_array_append_new(txn->changes, json_pack("{s:s, s:o}", "set", key, "value", value));
}

void
ws_txn_put_leased(WsTxn *txn, const char *key, json_t *value, guint64 lease)
{
  json_array_append_new(txn->changes, json_pack("{s:s, s:o, s:I}", "set", key, "value", value,
                                                W_LEASE, (json_int_t)lease));
}

void
ws_txn_delete(WsTxn *txn, const char *key)
{
  json_array_append_new(txn->changes, json_pack("{s:s}", "remove", key));
}

guint
ws_txn_operation_count(const WsTxn *txn)
{
  return (guint)json_array_size(txn->changes);
}

static void
apply_changes(WsCore *core, const WsTxn *txn, guint64 revision)
{
  size_t i;
  const json_t *change;
  json_array_foreach(txn->changes, i, change)
  {
    const char *key;
    if (!ws_json_string(change, "set", &key) && !ws_json_string(change, "remove", &key))
      continue;
    ws_replica_apply(core->replica, key, json_object_get(change, "value"), revision);
    ws_write_stats_add(core, key);
  }
}

/* Names what the state service refuses for its size: a fault of this program. */
static void
warn_of_size(const WsCore *core, const WsTxn *txn)
{
  size_t i;
  const json_t *change;
  if (ws_txn_operation_count(txn) > core->settings->state_txn_ops)
    g_warning("a transaction has %u changes", ws_txn_operation_count(txn));
  json_array_foreach(txn->changes, i, change)
  {
    const char *key;
    g_autofree char *text = ws_json_text(json_object_get(change, "value"));
    if (text != NULL && ws_json_string(change, "set", &key)
        && strlen(text) > core->settings->state_record_bytes)
      g_warning("the record %s has %zu bytes", key, strlen(text));
  }
}

static void
on_reply(WsCore *core, guint status, const json_t *body, gpointer data)
{
  WsTxn *txn = data;
  guint64 revision;
  WsTxnResult result = WS_TXN_INDETERMINATE;
  if (status == 200 && ws_json_count(body, W_REVISION, &revision)) {
    apply_changes(core, txn, revision);
    result = WS_TXN_COMMITTED;
  } else if (status == 409) {
    result = WS_TXN_CONFLICT;
  } else if (status == 400 || status == 429 || status == 503) {
    result = WS_TXN_UNAVAILABLE;
    const char *error = "nothing said";
    (void)ws_json_string(body, "error", &error);
    if (status == 400 && strcmp(error, "no such lease") == 0)
      g_info("a write came after its lease had ended");
    else if (status == 400) {
      result = WS_TXN_INVALID;
      g_warning("the state service refused a transaction: %s", error);
      warn_of_size(core, txn);
    }
  }
  txn->done(core, result, txn->data);
  ws_txn_free(txn);
}

void
ws_txn_commit(WsCore *core, WsTxn *txn, WsRequestClass first, WsTxnFunc done, gpointer data)
{
  txn->done = done;
  txn->data = data;
  json_t *message = json_pack("{s:O, s:O}", "if", txn->conditions, "apply", txn->changes);
  ws_store_request(core, first, "POST", "/multi", message, ws_txn_operation_count(txn), 1500,
                   on_reply, txn);
}

/* A large job ends with more records of tasks than one transaction can remove. The leader removes
   what is left of ended jobs, a transaction at a time. */
#include "core/ws-core-private.h"

#include <string.h>

#define PAUSE_MS 8000

/* Whether the key is a record of tasks of a job that has ended. */
static gboolean
is_left_over(const WsBook *book, const char *key)
{
  if (!g_str_has_prefix(key, WS_KEYS_TASKS))
    return FALSE;
  const char *name = key + strlen(WS_KEYS_TASKS);
  g_autofree char *id = g_strndup(name, strcspn(name, "/"));
  const WsJob *job = ws_book_find_job(book, id);
  return job != NULL && job->spec == NULL;
}

static void
on_swept(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  core->sweep_ms = core->now + (result == WS_TXN_OK ? PAUSE_MS / 16 : PAUSE_MS);
}

void
ws_sweep_tick(WsCore *core)
{
  if (!ws_is_leader(core) || core->now < core->sweep_ms || !ws_store_ok(core))
    return;
  core->sweep_ms = core->now + PAUSE_MS;
  WsTxn *txn = ws_txn_new();
  GHashTableIter iter;
  gpointer key, value;
  ws_txn_if(txn, core->book, WS_KEY_EPOCH);
  g_hash_table_iter_init(&iter, core->book->versions);
  while (g_hash_table_iter_next(&iter, &key, &value)
         && ws_txn_ops(txn) < core->settings->state_txn_ops)
    if (((WsKeyVersion *)value)->present && is_left_over(core->book, key))
      ws_txn_remove(txn, key);
  if (ws_txn_ops(txn) > 0)
    ws_txn_commit(core, txn, WS_FIRST_REST, on_swept, NULL);
  else
    ws_txn_free(txn);
}

/* Garbage collection of finished jobs' chunks.

   The end of a job is written with one operation, on its own record; the records of its chunks stay
   behind as garbage. The leader deletes them, a transaction at a time, when no assignment and no
   release waits for the write budget, or when too many have accumulated. */
#include "commit/ws-commit.h"

#include "store/ws-store.h"

#include <string.h>

#define IDLE_PAUSE_MS 3000
#define BUSY_PAUSE_MS 500
/* Beyond this, garbage is deleted even when the leader is not idle, since every start reads it. */
#define MAX_GARBAGE_RECORDS 2000

struct _WsGarbage {
  gint64 next_ms;
};

WsGarbage *
ws_garbage_new(void)
{
  return g_new0(WsGarbage, 1);
}

void
ws_garbage_free(WsGarbage *garbage)
{
  g_free(garbage);
}

/* Whether the key is of a chunk of a finished job. */
static gboolean
is_garbage(const WsReplica *replica, const char *key)
{
  if (!g_str_has_prefix(key, WS_KEYS_CHUNK))
    return FALSE;
  const char *name = key + strlen(WS_KEYS_CHUNK);
  g_autofree char *id = g_strndup(name, strcspn(name, "/"));
  const WsJob *job = ws_replica_find_job(replica, id);
  return job != NULL && job->spec == NULL;
}

static void
on_collected(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  core->garbage->next_ms = core->now + (result == WS_TXN_COMMITTED ? BUSY_PAUSE_MS : IDLE_PAUSE_MS);
}

/* Adds deletions up to the limit of a transaction. Returns the number of all garbage records. */
static guint
delete_garbage(const WsCore *core, WsTxn *txn)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init(&iter, core->replica->versions);
  while (g_hash_table_iter_next(&iter, &key, &value)) {
    if (!((const WsKeyVersion *)value)->is_present || !is_garbage(core->replica, key))
      continue;
    count++;
    if (ws_txn_operation_count(txn) < core->settings->kv_max_txn_ops)
      ws_txn_delete(txn, key);
  }
  return count;
}

/* Whether nothing else waits for the write budget, and half a transaction fits into it. */
static gboolean
writing_is_idle(WsCore *core)
{
  return !ws_assignments_have_backlog(core)
         && ws_store_has_write_budget(core, core->settings->kv_max_txn_ops / 2);
}

void
ws_garbage_tick(WsCore *core)
{
  if (!ws_is_leader(core) || core->now < core->garbage->next_ms || !ws_store_is_available(core))
    return;
  g_autoptr(WsTxn) txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  guint count = delete_garbage(core, txn);
  gboolean may_write = count > MAX_GARBAGE_RECORDS || writing_is_idle(core);
  core->garbage->next_ms = core->now + (count > 0 ? BUSY_PAUSE_MS : IDLE_PAUSE_MS);
  if (count > 0 && may_write)
    ws_txn_commit(core, g_steal_pointer(&txn), WS_REQUEST_BACKGROUND, on_collected, NULL);
}

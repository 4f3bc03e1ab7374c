/* Garbage collection of the chunk records of finished jobs.

   The end of a job is committed with a single operation on the job's own record, which leaves its
   chunk records behind as garbage. The leader deletes them, one transaction at a time, when no
   assignment or release is waiting for the write budget, or when too many have accumulated. */
#include "commit/ws-commit.h"

#include "store/ws-store.h"

#include <string.h>

/* Time until the next check if there is no garbage or the deletion failed. */
#define IDLE_CHECK_INTERVAL_MS 3000
/* Time until the next check otherwise. */
#define ACTIVE_CHECK_INTERVAL_MS 500
/* Above this limit garbage is deleted even under load, since every starting node has to read it. */
#define MAX_GARBAGE_RECORDS 2000

struct _WsGarbage {
  gint64 next_check_ms;
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

/* Returns whether the key belongs to a chunk of a finished job. */
static gboolean
is_garbage(const WsReplica *replica, const char *key)
{
  if (!g_str_has_prefix(key, WS_KEY_PREFIX_CHUNK))
    return FALSE;
  const char *name = key + strlen(WS_KEY_PREFIX_CHUNK);
  g_autofree char *id = g_strndup(name, strcspn(name, "/"));
  const WsJob *job = ws_replica_find_job(replica, id);
  return job != NULL && job->spec == NULL;
}

static void
on_garbage_deleted(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  core->garbage->next_check_ms
      = core->now_ms
        + (result == WS_TXN_COMMITTED ? ACTIVE_CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS);
}

/* Adds deletions up to the operation limit. Returns the total number of garbage records. */
static guint
add_garbage_deletions(const WsCore *core, WsTxn *txn)
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

/* Returns whether no other change is waiting and the write budget allows half of the maximal number
   of operations. */
static gboolean
has_spare_write_budget(WsCore *core)
{
  return !ws_assignments_have_backlog(core)
         && ws_store_has_write_budget(core, core->settings->kv_max_txn_ops / 2);
}

void
ws_garbage_tick(WsCore *core)
{
  if (!ws_is_leader(core) || core->now_ms < core->garbage->next_check_ms
      || !ws_store_is_available(core))
    return;
  g_autoptr(WsTxn) txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  guint count = add_garbage_deletions(core, txn);
  gboolean may_write = count > MAX_GARBAGE_RECORDS || has_spare_write_budget(core);
  core->garbage->next_check_ms
      = core->now_ms + (count > 0 ? ACTIVE_CHECK_INTERVAL_MS : IDLE_CHECK_INTERVAL_MS);
  if (count > 0 && may_write)
    ws_txn_commit(core, g_steal_pointer(&txn), WS_REQUEST_BACKGROUND, on_garbage_deleted, NULL);
}

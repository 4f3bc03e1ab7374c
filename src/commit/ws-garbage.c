/* Garbage collection of ended jobs' records of tasks.

   A job ends with one change, of its own record; its records of tasks stay behind and mean nothing
   any more. The leader removes them, a transaction at a time, when no assignment and no end of a
   task waits for the budget of changes, or when too many have gathered. */
#include "commit/ws-commit.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"

#include <string.h>

#define PAUSE_MS 3000
#define BUSY_PAUSE_MS 500
/* So many are left only while there is other work: they are read at every start. */
#define MAX_LEFTOVER_RECORDS 2000

/* Whether the key is a record of tasks of a job that has ended. */
static gboolean
is_left_over(const WsReplica *replica, const char *key)
{
  if (!g_str_has_prefix(key, WS_KEYS_TASKS))
    return FALSE;
  const char *name = key + strlen(WS_KEYS_TASKS);
  g_autofree char *id = g_strndup(name, strcspn(name, "/"));
  const WsJob *job = ws_replica_find_job(replica, id);
  return job != NULL && job->spec == NULL;
}

static void
on_collected(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  core->garbage_ms = core->now + (result == WS_TXN_COMMITTED ? BUSY_PAUSE_MS : PAUSE_MS);
}

/* Returns how many there are; as many as a transaction takes are added to it. */
static guint
add_left_over(const WsCore *core, WsTxn *txn)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init(&iter, core->replica->versions);
  while (g_hash_table_iter_next(&iter, &key, &value)) {
    if (!((const WsKeyVersion *)value)->present || !is_left_over(core->replica, key))
      continue;
    count++;
    if (ws_txn_operation_count(txn) < core->settings->state_txn_ops)
      ws_txn_delete(txn, key);
  }
  return count;
}

void
ws_garbage_tick(WsCore *core)
{
  if (!ws_is_leader(core) || core->now < core->garbage_ms || !ws_store_is_available(core))
    return;
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  guint count = add_left_over(core, txn);
  gboolean may_write = count > MAX_LEFTOVER_RECORDS
                       || (!ws_assignments_have_backlog(core)
                           && ws_store_has_write_budget(core, core->settings->state_txn_ops / 2));
  core->garbage_ms = core->now + (count > 0 ? BUSY_PAUSE_MS : PAUSE_MS);
  if (count > 0 && may_write)
    ws_txn_commit(core, txn, WS_REQUEST_OTHER, on_collected, NULL);
  else
    ws_txn_free(txn);
}

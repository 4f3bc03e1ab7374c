#include "fleet/ws-fleet.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"
#include "commit/ws-commit.h"

#include <string.h>

#define MAX_MACHINES_PER_RETURN 100

struct _WsReturns {
  GHashTable *confirmed; /* names of machines */
  GHashTable *unmarked;  /* names returned, or to be returned, without a mark */
  gboolean returning;
  gint64 next_ms;
  guint backoff_ms;
  gboolean clearing;
};

WsReturns *
ws_returns_new(void)
{
  WsReturns *returns = g_new0(WsReturns, 1);
  returns->confirmed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  returns->unmarked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  return returns;
}

void
ws_returns_free(WsReturns *returns)
{
  g_hash_table_unref(returns->confirmed);
  g_hash_table_unref(returns->unmarked);
  g_free(returns);
}

/* Late reports and old lists still show machines that were returned; names are never used again. */
gboolean
ws_returns_is_confirmed(const WsCore *core, const char *name)
{
  const WsMachine *machine = ws_replica_find_machine(core->replica, name);
  return (machine != NULL && machine->is_returned)
         || g_hash_table_contains(core->returns->confirmed, name);
}

static void
on_cleared(WsCore *core, WsTxnResult result, gpointer data)
{
  g_autoptr(GArray) machines = data;
  core->returns->clearing = FALSE;
  for (guint i = 0; i < machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, g_array_index(machines, guint, i));
    machine->fleet.mark_is_pending = FALSE;
    if (result == WS_TXN_COMMITTED)
      g_info("machine %s is returned and its mark cleared", machine->name);
  }
}

static gboolean
is_in(const GArray *machines, WsMachineIndex machine)
{
  for (guint i = 0; i < machines->len; i++)
    if (g_array_index(machines, guint, i) == machine)
      return TRUE;
  return FALSE;
}

/* The rental batch without the machines, or its end. */
static void
shrink_rental_batch(WsCore *core, WsTxn *txn, const WsRentalBatch *rental_batch,
                    const GArray *without)
{
  g_autofree char *key = ws_key(WS_KEYS_RENTAL_BATCH, rental_batch->name);
  g_autoptr(GArray) left = g_array_new(FALSE, FALSE, sizeof(guint));
  for (guint i = 0; i < rental_batch->machines->len; i++) {
    WsMachineIndex machine = g_array_index(rental_batch->machines, guint, i);
    if (!is_in(without, machine))
      g_array_append_val(left, machine);
  }
  if (left->len == rental_batch->machines->len)
    return;
  WsRentalBatch smaller = *rental_batch;
  smaller.machines = left;
  ws_txn_compare(txn, core->replica, key);
  if (left->len > 0)
    ws_txn_put(txn, key, ws_rental_batch_encode(&smaller, core->replica));
  else
    ws_txn_delete(txn, key);
}

/* How many rental batches would change. */
static guint
count_batches_of(const WsCore *core, const GArray *machines)
{
  guint count = 0;
  for (guint i = 0; i < core->replica->rental_batches->len; i++) {
    const WsRentalBatch *rental_batch = g_ptr_array_index(core->replica->rental_batches, i);
    gboolean any = FALSE;
    for (guint k = 0; k < rental_batch->machines->len && !any; k++)
      any = is_in(machines, g_array_index(rental_batch->machines, guint, k));
    count += any ? 1 : 0;
  }
  return count;
}

/* Marks that are over go with their machines' place in their rental batches, many in one
 * transaction. */
static void
clear_marks(WsCore *core, GArray *machines /* taken */)
{
  while (machines->len > 1
         && machines->len + count_batches_of(core, machines) > core->settings->state_txn_ops)
    g_array_set_size(machines, machines->len - 1);
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  for (guint i = 0; i < machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, g_array_index(machines, guint, i));
    g_autofree char *mark = ws_key(WS_KEYS_MARK, machine->name);
    machine->fleet.mark_is_pending = TRUE;
    machine->fleet.mark_pending_ms = core->now;
    ws_txn_delete(txn, mark);
  }
  for (guint i = 0; i < core->replica->rental_batches->len; i++)
    shrink_rental_batch(core, txn, g_ptr_array_index(core->replica->rental_batches, i), machines);
  core->returns->clearing = TRUE;
  ws_txn_commit(core, txn, WS_REQUEST_OTHER, on_cleared, machines);
}

/* A machine that the cloud has taken back is gone with everything on it. */
static void
release_all(WsCore *core, WsMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    WsJob *job = ws_replica_job(core->replica, ref->job);
    const WsAssignment *assignment = ws_job_assignment(job, ref->task);
    if (assignment != NULL)
      ws_releases_add_reported(core, job, assignment, WS_EVIDENCE_RETURNED, FALSE);
  }
}

/* From its mark on a machine gets nothing new; what was assigned to it before, also by a
   transaction that had no answer, is known once the watch has passed the mark. A machine was
   returned as empty whose tasks had just been assigned. */
static gboolean
knows_what_is_on(const WsCore *core, const WsMachine *machine)
{
  g_autofree char *key = ws_key(WS_KEYS_MARK, machine->name);
  return core->replica->revision >= ws_replica_version(core->replica, key);
}

/* Whatever is on record for a machine that no rental batch names any more, and that hasn't been
   heard for as long as its lease, waits for nothing. Only the cloud's confirmed return takes a
   machine out of its rental batch, and nothing is assigned to one that is in none. */
static gboolean
is_lost(const WsCore *core, const WsMachine *machine)
{
  gint64 since_ms = MAX(machine->worker.heard_ms, ws_epoch_known_since_ms(core));
  return !machine->is_recorded && !machine->is_marked && machine->tasks->len > 0
         && (double)(core->now - since_ms) > core->settings->lease_s * 1000.0;
}

static void
keep_marks(WsCore *core)
{
  GArray *over = g_array_new(FALSE, FALSE, sizeof(guint));
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (is_lost(core, machine))
      release_all(core, machine);
    if (!machine->is_marked || machine->fleet.mark_is_pending
        || !ws_returns_is_confirmed(core, machine->name) || !knows_what_is_on(core, machine))
      continue;
    release_all(core, machine);
    if (machine->tasks->len == 0 && over->len < core->settings->state_txn_ops)
      g_array_append_val(over, machine->index);
  }
  if (over->len > 0 && !core->returns->clearing)
    clear_marks(core, over);
  else
    g_array_unref(over);
}

/* What was returned can be rented again. */
static void
note_returned(WsCore *core, const char *name)
{
  const WsMachine *machine = ws_replica_find_machine(core->replica, name);
  g_hash_table_add(core->returns->confirmed, g_strdup(name));
  if (machine != NULL && machine->type != WS_NO_TYPE && machine->zone != WS_NO_ZONE)
    ws_rentals_note_capacity(core, machine->type, machine->zone, machine->spot, TRUE);
}

static void
on_returned(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)body;
  GPtrArray *names = data;
  WsReturns *returns = core->returns;
  returns->returning = FALSE;
  if (status == 200) {
    returns->backoff_ms = 0;
    for (guint i = 0; i < names->len; i++)
      note_returned(core, g_ptr_array_index(names, i));
  } else {
    guint least = (guint)(core->properties->backoff_min_s * 1000.0);
    guint most = (guint)(core->properties->backoff_max_s * 1000.0);
    returns->backoff_ms = CLAMP(returns->backoff_ms * 2, least, most);
    returns->next_ms = core->now + returns->backoff_ms;
    g_info("the cloud took no return (status %u): again in %u ms", status, returns->backoff_ms);
  }
  g_ptr_array_unref(names);
}

static void
send_return(WsCore *core, GPtrArray *names /* taken */)
{
  WsReturns *returns = core->returns;
  if (names->len == 0 || returns->returning || core->now < returns->next_ms
      || !ws_fleet_take_call_budget(core)) {
    g_ptr_array_unref(names);
    return;
  }
  returns->returning = TRUE;
  ws_call(core, "POST", core->settings->cloud_addr, "/machines/return", ws_return_encode(names),
          4000, on_returned, names);
}

void
ws_returns_request_unmarked(WsCore *core, const WsMachine *machine)
{
  if (g_hash_table_add(core->returns->unmarked, g_strdup(machine->name)))
    g_message("machine %s holds a cancelled task and the state service takes no mark: it is"
              " returned without one",
              machine->name);
}

/* The record is mended as soon as the state service is back: the mark follows the return, and goes
   the ordinary way with the machine's place in its rental batch. If this process ends before, the
   machine is silent with tasks on record, and is found by that. */
void
ws_returns_tick_unmarked(WsCore *core)
{
  GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init(&iter, core->returns->unmarked);
  while (g_hash_table_iter_next(&iter, &name, NULL)) {
    WsMachine *machine = ws_replica_find_machine(core->replica, name);
    if (machine == NULL || machine->is_returned)
      g_hash_table_iter_remove(&iter);
    else if (!ws_returns_is_confirmed(core, name) && names->len < MAX_MACHINES_PER_RETURN)
      g_ptr_array_add(names, g_strdup(name));
    else if (ws_returns_is_confirmed(core, name) && machine->is_recorded
             && !machine->mark_is_immediate && ws_is_active_member(core))
      ws_termination_request_mark(core, machine, "cancelled", TRUE);
  }
  send_return(core, names);
}

static void
keep_returns(WsCore *core)
{
  GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->is_marked && !ws_returns_is_confirmed(core, machine->name)
        && (machine->mark_is_immediate
            || (machine->tasks->len == 0 && knows_what_is_on(core, machine)))
        && names->len < MAX_MACHINES_PER_RETURN)
      g_ptr_array_add(names, g_strdup(machine->name));
  }
  send_return(core, names);
}

void
ws_returns_tick(WsCore *core)
{
  keep_marks(core);
  keep_returns(core);
}

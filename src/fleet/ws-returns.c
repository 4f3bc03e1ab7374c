/**
 * Scale in: returns of marked machines to the cloud, the release of what the records have there,
 * and the end of their marks.
 */
#include "fleet/ws-fleet-private.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"
#include "commit/ws-releases.h"
#include "storage/ws-mark-reasons.h"

#include <string.h>

#define MAX_MACHINES_PER_RETURN 100
#define RETURN_TIMEOUT_MS 4000

struct _WsReturns {
  GHashTable *confirmed;   /* names of machines */
  GHashTable *unmarked;    /* names of machines that are or were returned without a mark */
  gboolean call_in_flight; /* to the cloud */
  gint64 next_call_ms;
  guint backoff_ms;
  gboolean is_clearing; /* a transaction that clears marks is in flight */
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

/* Late heartbeats and old lists still show machines that were returned; names are never used again.
 */
gboolean
ws_returns_is_confirmed(const WsCore *core, const char *name)
{
  const WsMachine *machine = ws_replica_find_machine(core->replica, name);
  return (machine != NULL && machine->is_returned)
         || g_hash_table_contains(core->fleet->returns->confirmed, name);
}

static void
on_marks_cleared(WsCore *core, WsTxnResult result, gpointer data)
{
  g_autoptr(GArray) machines = data;
  core->fleet->returns->is_clearing = FALSE;
  for (guint i = 0; i < machines->len; i++) {
    WsMachine *machine
        = ws_replica_machine(core->replica, g_array_index(machines, WsMachineIndex, i));
    machine->fleet.mark_is_pending = FALSE;
    if (result == WS_TXN_COMMITTED)
      g_info("machine %s is returned and its mark cleared", machine->name);
  }
}

static gboolean
contains_machine(const GArray *machines, WsMachineIndex machine)
{
  for (guint i = 0; i < machines->len; i++)
    if (g_array_index(machines, WsMachineIndex, i) == machine)
      return TRUE;
  return FALSE;
}

/* Writes the rental batch without the machines, or deletes it. */
static void
shrink_rental_batch(WsCore *core, WsTxn *txn, const WsRentalBatch *rental_batch,
                    const GArray *removed)
{
  g_autofree char *key = ws_key(WS_KEYS_RENTAL_BATCH, rental_batch->name);
  g_autoptr(GArray) left = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  for (guint i = 0; i < rental_batch->machines->len; i++) {
    WsMachineIndex machine = g_array_index(rental_batch->machines, WsMachineIndex, i);
    if (!contains_machine(removed, machine))
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
      any = contains_machine(machines, g_array_index(rental_batch->machines, WsMachineIndex, k));
    count += any ? 1 : 0;
  }
  return count;
}

/* Clears the marks together with the machines' places in their rental batches, as many as fit into
   one transaction. */
static void
clear_marks(WsCore *core, GArray *machines /* taken */)
{
  while (machines->len > 1
         && machines->len + count_batches_of(core, machines) > core->settings->state_txn_ops)
    g_array_set_size(machines, machines->len - 1);
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  for (guint i = 0; i < machines->len; i++) {
    WsMachine *machine
        = ws_replica_machine(core->replica, g_array_index(machines, WsMachineIndex, i));
    g_autofree char *mark = ws_key(WS_KEYS_MARK, machine->name);
    machine->fleet.mark_is_pending = TRUE;
    machine->fleet.mark_pending_ms = core->now;
    ws_txn_delete(txn, mark);
  }
  for (guint i = 0; i < core->replica->rental_batches->len; i++)
    shrink_rental_batch(core, txn, g_ptr_array_index(core->replica->rental_batches, i), machines);
  core->fleet->returns->is_clearing = TRUE;
  ws_txn_commit(core, txn, WS_REQUEST_OTHER, on_marks_cleared, machines);
}

/* The cloud has confirmed the return: the machine is gone with everything on it. */
static void
release_tasks(WsCore *core, WsMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    WsJob *job = ws_replica_job(core->replica, ref->job);
    const WsAssignment *assignment = ws_job_assignment(job, ref->task);
    if (assignment != NULL)
      ws_releases_add_reported(core, job, assignment, WS_EVIDENCE_RETURNED, FALSE);
  }
}

/* Whether the replica has all that was assigned to the machine: from its mark on it gets nothing
   new, and what was assigned before, also by an indeterminate transaction, is known once the watch
   has passed the mark. A machine was returned as empty whose tasks had just been assigned. */
static gboolean
knows_assignments(const WsCore *core, const WsMachine *machine)
{
  g_autofree char *key = ws_key(WS_KEYS_MARK, machine->name);
  return core->replica->revision >= ws_replica_version(core->replica, key);
}

/* Whether tasks are recorded on a machine that no rental batch names any more and that hasn't sent
   a heartbeat for as long as its lease. Only the cloud's confirmed return takes a machine out of
   its rental batch, and nothing is assigned to one that is in none: so the tasks are gone. */
static gboolean
is_orphaned(const WsCore *core, const WsMachine *machine)
{
  gint64 since_ms = MAX(machine->worker.heard_ms, core->epoch_known_ms);
  return !machine->is_recorded && !machine->is_marked && machine->tasks->len > 0
         && (double)(core->now - since_ms) > core->settings->lease_s * 1000.0;
}

/* Releases the tasks of returned machines, and clears the marks of those that are empty. */
static void
finish_returns(WsCore *core)
{
  g_autoptr(GArray) empty = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  for (WsMachineIndex i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (is_orphaned(core, machine))
      release_tasks(core, machine);
    if (!machine->is_marked || machine->fleet.mark_is_pending
        || !ws_returns_is_confirmed(core, machine->name) || !knows_assignments(core, machine))
      continue;
    release_tasks(core, machine);
    if (machine->tasks->len == 0 && empty->len < core->settings->state_txn_ops)
      g_array_append_val(empty, machine->index);
  }
  if (empty->len > 0 && !core->fleet->returns->is_clearing)
    clear_marks(core, g_steal_pointer(&empty));
}

/* The cloud has capacity for what was returned. */
static void
note_returned(WsCore *core, const char *name)
{
  const WsMachine *machine = ws_replica_find_machine(core->replica, name);
  g_hash_table_add(core->fleet->returns->confirmed, g_strdup(name));
  if (machine != NULL && machine->type != WS_NO_TYPE && machine->zone != WS_NO_ZONE)
    ws_rentals_note_capacity(core, machine->type, machine->zone, machine->spot, TRUE);
}

static void
on_returned(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)body;
  g_autoptr(GPtrArray) names = data;
  WsReturns *returns = core->fleet->returns;
  returns->call_in_flight = FALSE;
  if (status == 200) {
    returns->backoff_ms = 0;
    for (guint i = 0; i < names->len; i++)
      note_returned(core, g_ptr_array_index(names, i));
  } else {
    returns->backoff_ms = ws_fleet_next_backoff_ms(core, returns->backoff_ms);
    returns->next_call_ms = core->now + returns->backoff_ms;
    g_info("scale in: the cloud refused a return (status %u): retry in %u ms", status,
           returns->backoff_ms);
  }
}

static void
send_return(WsCore *core, GPtrArray *machine_names /* taken */)
{
  WsReturns *returns = core->fleet->returns;
  g_autoptr(GPtrArray) names = machine_names;
  if (names->len == 0 || returns->call_in_flight || core->now < returns->next_call_ms
      || !ws_fleet_take_call_budget(core))
    return;
  json_t *body = ws_return_encode(names);
  returns->call_in_flight = TRUE;
  ws_call(core, "POST", core->settings->cloud_addr, "/machines/return", body, RETURN_TIMEOUT_MS,
          on_returned, g_steal_pointer(&names));
}

void
ws_returns_request_unmarked(WsCore *core, const WsMachine *machine)
{
  if (g_hash_table_add(core->fleet->returns->unmarked, g_strdup(machine->name)))
    g_message("machine %s has a task of a cancelled job and the store takes no mark: it is"
              " returned without one",
              machine->name);
}

/* The records are repaired as soon as the store is available: the mark follows the return, and is
   cleared with the machine's place in its rental batch as always. If this process ends before, the
   machine is silent with tasks on record, which the failure detector finds. */
void
ws_returns_tick_unmarked(WsCore *core)
{
  GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init(&iter, core->fleet->returns->unmarked);
  while (g_hash_table_iter_next(&iter, &name, NULL)) {
    WsMachine *machine = ws_replica_find_machine(core->replica, name);
    if (machine == NULL || machine->is_returned)
      g_hash_table_iter_remove(&iter);
    else if (!ws_returns_is_confirmed(core, name) && names->len < MAX_MACHINES_PER_RETURN)
      g_ptr_array_add(names, g_strdup(name));
    else if (ws_returns_is_confirmed(core, name) && machine->is_recorded
             && !machine->mark_is_immediate && ws_is_active_member(core))
      ws_termination_request_mark(core, machine, WS_MARK_CANCELLED, TRUE);
  }
  send_return(core, names);
}

static gboolean
is_to_be_returned(const WsCore *core, const WsMachine *machine)
{
  if (!machine->is_marked || ws_returns_is_confirmed(core, machine->name))
    return FALSE;
  return machine->mark_is_immediate
         || (machine->tasks->len == 0 && knows_assignments(core, machine));
}

static void
return_marked(WsCore *core)
{
  GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
  for (WsMachineIndex i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (names->len < MAX_MACHINES_PER_RETURN && is_to_be_returned(core, machine))
      g_ptr_array_add(names, g_strdup(machine->name));
  }
  send_return(core, names);
}

void
ws_returns_tick(WsCore *core)
{
  finish_returns(core);
  return_marked(core);
}

/**
 * Completes the termination of returned machines: releases the tasks that are still recorded on
 * them, then clears their termination marks and removes them from their rental batches.
 */
#include "fleet/ws-fleet-private.h"

#include "store/ws-store.h"
#include "commit/ws-commit.h"

static void
on_marks_cleared(WsCore *core, WsTxnResult result, gpointer data)
{
  g_autoptr(GArray) machines = data;
  core->fleet->is_clearing_marks = FALSE;
  for (guint i = 0; i < machines->len; i++) {
    WsMachine *machine
        = ws_replica_machine(core->replica, g_array_index(machines, WsMachineIndex, i));
    machine->fleet.record_write_is_pending = FALSE;
    if (result == WS_TXN_COMMITTED)
      g_info("machine %s returned, termination mark cleared", machine->name);
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

/* Adds to the transaction the rental batch without the @removed machines, or its deletion if no
   machine remains. Does nothing if the batch has none of these machines. */
static void
remove_from_rental_batch(WsCore *core, WsTxn *txn, const WsRentalBatch *rental_batch,
                         const GArray *removed)
{
  g_autofree char *key = ws_key(WS_KEY_PREFIX_RENTAL_BATCH, rental_batch->name);
  g_autoptr(GArray) remaining = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  for (guint i = 0; i < rental_batch->machines->len; i++) {
    WsMachineIndex machine = g_array_index(rental_batch->machines, WsMachineIndex, i);
    if (!contains_machine(removed, machine))
      g_array_append_val(remaining, machine);
  }
  if (remaining->len == rental_batch->machines->len)
    return;
  WsRentalBatch smaller = *rental_batch;
  smaller.machines = remaining;
  ws_txn_compare(txn, core->replica, key);
  if (remaining->len > 0)
    ws_txn_put(txn, key, ws_rental_batch_encode(&smaller, core->replica));
  else
    ws_txn_delete(txn, key);
}

static gboolean
batch_contains_any(const WsRentalBatch *rental_batch, const GArray *machines)
{
  for (guint i = 0; i < rental_batch->machines->len; i++)
    if (contains_machine(machines, g_array_index(rental_batch->machines, WsMachineIndex, i)))
      return TRUE;
  return FALSE;
}

/* Returns the number of rental batches that contain any of the machines. */
static guint
count_batches_with_any(const WsCore *core, const GArray *machines)
{
  guint count = 0;
  for (guint i = 0; i < core->replica->rental_batches->len; i++)
    if (batch_contains_any(g_ptr_array_index(core->replica->rental_batches, i), machines))
      count++;
  return count;
}

/* Clears the marks of the machines and removes the machines from their rental batches, in one
   transaction. Machines that don't fit into the transaction are left for a later tick. Takes
   ownership of @machines. */
static void
clear_marks(WsCore *core, GArray *machines)
{
  while (machines->len > 1
         && machines->len + count_batches_with_any(core, machines) > core->settings->kv_max_txn_ops)
    g_array_set_size(machines, machines->len - 1);
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  for (guint i = 0; i < machines->len; i++) {
    WsMachine *machine
        = ws_replica_machine(core->replica, g_array_index(machines, WsMachineIndex, i));
    g_autofree char *mark = ws_key(WS_KEY_PREFIX_MARK, machine->name);
    machine->fleet.record_write_is_pending = TRUE;
    machine->fleet.record_write_pending_since_ms = core->now_ms;
    ws_txn_delete(txn, mark);
  }
  for (guint i = 0; i < core->replica->rental_batches->len; i++)
    remove_from_rental_batch(core, txn, g_ptr_array_index(core->replica->rental_batches, i),
                             machines);
  core->fleet->is_clearing_marks = TRUE;
  ws_txn_commit(core, txn, WS_REQUEST_BACKGROUND, on_marks_cleared, machines);
}

/* Releases all tasks recorded on the machine, which no longer exists. */
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

/* Whether the machine has recorded tasks, although it is in no rental batch and has sent no
   heartbeat for the duration of a lease. Such tasks are gone: a machine is removed from its rental
   batch only after the cloud has confirmed its return, and no task is assigned to a machine without
   a rental batch. */
static gboolean
has_orphaned_tasks(const WsCore *core, const WsMachine *machine)
{
  gint64 since_ms = MAX(machine->worker.last_contact_ms, ws_epoch_known_since_ms(core));
  return !machine->is_recorded && !machine->is_marked && machine->tasks->len > 0
         && (double)(core->now_ms - since_ms) > core->settings->lease_s * 1000.0;
}

void
ws_mark_cleanup_tick(WsCore *core)
{
  g_autoptr(GArray) empty = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  for (WsMachineIndex i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (has_orphaned_tasks(core, machine))
      release_tasks(core, machine);
    if (!machine->is_marked || machine->fleet.record_write_is_pending
        || !ws_returns_is_confirmed(core, machine->name)
        || !ws_returns_has_all_assignments(core, machine))
      continue;
    release_tasks(core, machine);
    if (machine->tasks->len == 0 && empty->len < core->settings->kv_max_txn_ops)
      g_array_append_val(empty, machine->index);
  }
  if (empty->len > 0 && !core->fleet->is_clearing_marks)
    clear_marks(core, g_steal_pointer(&empty));
}

/* The replica's machines: creation, ownership, and how records of machines are applied. */
#include "storage/ws-machine-records.h"
#include "storage/ws-replica-internal.h"

#include <string.h>

void
ws_machine_free(WsMachine *machine)
{
  g_free(machine->type_name);
  g_free(machine->worker.endpoint);
  g_free(machine->mark_reason);
  g_array_unref(machine->tasks);
  g_array_unref(machine->worker.images);
  g_array_unref(machine->worker.held_exits);
  g_free(machine);
}

void
ws_replica_update_owner(WsReplica *replica, WsMachine *machine, const WsEpoch *previous)
{
  WsNodeIndex owner = ws_epoch_owner(&replica->epoch, machine->name, replica->settings);
  if (previous == NULL || owner != machine->owner
      || !ws_epoch_member_continues(previous, &replica->epoch, owner)) {
    machine->owner_since_epoch = replica->epoch.number;
    machine->owner_since_epoch_version = ws_replica_version(replica, WS_KEY_EPOCH);
  }
  machine->owner = owner;
}

WsMachine *
ws_replica_ensure_machine(WsReplica *replica, const char *name)
{
  WsMachine *machine = ws_replica_find_machine(replica, name);
  if (machine != NULL)
    return machine;
  machine = g_new0(WsMachine, 1);
  char *copy = g_strdup(name);
  machine->name = copy;
  replica->longest_name_bytes = MAX(replica->longest_name_bytes, strlen(copy));
  machine->index = replica->machines->len;
  machine->type = WS_NO_TYPE;
  machine->zone = WS_NO_ZONE;
  machine->fleet.last_failed_job = WS_NO_JOB;
  machine->worker.handled_owner = WS_NO_NODE;
  machine->tasks = g_array_new(FALSE, FALSE, sizeof(WsTaskRef));
  machine->worker.images = g_array_new(FALSE, FALSE, sizeof(WsImageIndex));
  machine->worker.held_exits = g_array_new(FALSE, FALSE, sizeof(WsHeldExit));
  g_ptr_array_add(replica->machines, machine);
  g_hash_table_insert(replica->machine_index, copy, machine);
  ws_replica_update_owner(replica, machine, NULL);
  return machine;
}

void
ws_replica_set_machine_attributes(WsReplica *replica, WsMachine *machine, const char *type,
                                  const char *zone, gboolean spot)
{
  if (g_strcmp0(machine->type_name, type) != 0) {
    g_free(machine->type_name);
    machine->type_name = g_strdup(type);
  }
  machine->type = ws_replica_find_type(replica, type);
  machine->zone = ws_replica_find_zone(replica, zone);
  machine->is_spot = spot;
}

static void
attach_batch_to_machines(WsReplica *replica, const WsRentalBatch *rental_batch)
{
  for (guint i = 0; i < rental_batch->machines->len; i++) {
    WsMachineIndex index = g_array_index(rental_batch->machines, WsMachineIndex, i);
    WsMachine *machine = ws_replica_machine(replica, index);
    ws_replica_set_machine_attributes(replica, machine, rental_batch->type, rental_batch->zone,
                                      rental_batch->is_spot);
    machine->is_recorded = TRUE;
    machine->rental_batches++;
    machine->rental_batch = g_intern_string(rental_batch->name);
    machine->rented_ms = rental_batch->rented_ms;
  }
}

static void
detach_batch_from_machines(WsReplica *replica, const WsRentalBatch *rental_batch)
{
  for (guint i = 0; i < rental_batch->machines->len; i++) {
    WsMachineIndex index = g_array_index(rental_batch->machines, WsMachineIndex, i);
    WsMachine *machine = ws_replica_machine(replica, index);
    machine->rental_batches--;
    if (machine->rental_batches > 0)
      continue;
    machine->is_recorded = FALSE;
    machine->is_returned = TRUE;
  }
}

static void
remove_rental_batch(WsReplica *replica, const char *name)
{
  for (guint i = 0; i < replica->rental_batches->len; i++) {
    const WsRentalBatch *rental_batch = g_ptr_array_index(replica->rental_batches, i);
    if (strcmp(rental_batch->name, name) != 0)
      continue;
    detach_batch_from_machines(replica, rental_batch);
    g_ptr_array_remove_index_fast(replica->rental_batches, i);
    return;
  }
}

void
ws_replica_apply_rental_batch(WsReplica *replica, const char *name, const json_t *value)
{
  WsRentalBatch *rental_batch = NULL;
  if (value != NULL) {
    rental_batch = ws_rental_batch_parse(replica, name, value);
    if (rental_batch == NULL) {
      g_warning("record of rental batch %s is damaged", name);
      return;
    }
    /* Must precede the removal of the old batch; otherwise a machine in both would be set as
       returned. */
    attach_batch_to_machines(replica, rental_batch);
  }
  remove_rental_batch(replica, name);
  if (rental_batch != NULL)
    g_ptr_array_add(replica->rental_batches, rental_batch);
}

void
ws_replica_apply_mark(WsReplica *replica, const char *name, const json_t *value)
{
  WsMachine *machine = ws_replica_ensure_machine(replica, name);
  const char *reason = "";
  machine->is_marked = value != NULL;
  machine->mark_is_immediate = FALSE;
  machine->fleet.record_write_is_pending = FALSE;
  g_clear_pointer(&machine->mark_reason, g_free);
  if (value == NULL)
    return;
  ws_mark_parse(value, &reason, &machine->mark_is_immediate);
  machine->mark_reason = g_strdup(reason);
}

static void
remove_rental_intent(WsReplica *replica, const char *request)
{
  for (guint i = 0; i < replica->rental_intents->len; i++) {
    const WsRentalIntent *intent = g_ptr_array_index(replica->rental_intents, i);
    if (strcmp(intent->request, request) == 0) {
      g_ptr_array_remove_index(replica->rental_intents, i);
      return;
    }
  }
}

void
ws_replica_apply_rental_intent(WsReplica *replica, const char *request, const json_t *value)
{
  remove_rental_intent(replica, request);
  if (value == NULL)
    return;
  WsRentalIntent *intent = ws_rental_intent_parse(request, value);
  if (intent != NULL)
    g_ptr_array_add(replica->rental_intents, intent);
  else
    g_warning("record of rental intent %s is damaged", request);
}

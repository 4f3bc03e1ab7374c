/**
 * Scale in: returns marked machines to the cloud and, during an outage of the store, unmarked ones.
 */
#include "fleet/ws-fleet-private.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"
#include "protocol/ws-status-codes.h"
#include "storage/ws-mark-reasons.h"

#define MAX_MACHINES_PER_RETURN 100
#define RETURN_TIMEOUT_MS 4000

struct _WsReturns {
  GHashTable *confirmed; /* names of machines whose return the cloud has confirmed */
  GHashTable *unmarked;  /* names of machines to be returned, or already returned, without a mark */
  gboolean call_in_flight; /* a return request to the cloud is in flight */
  gint64 next_call_ms;
  guint backoff_ms;
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

/* Delayed heartbeats and outdated lists may still show a returned machine, so confirmed returns are
   remembered by name. The cloud never reuses a name. */
gboolean
ws_returns_is_confirmed(const WsCore *core, const char *name)
{
  const WsMachine *machine = ws_replica_find_machine(core->replica, name);
  return (machine != NULL && machine->is_returned)
         || g_hash_table_contains(core->fleet->returns->confirmed, name);
}

/* Records the confirmed return, and ends the capacity back-off of the machine's kind, since the
   cloud has capacity for it again. */
static void
record_return(WsCore *core, const char *name)
{
  const WsMachine *machine = ws_replica_find_machine(core->replica, name);
  g_hash_table_add(core->fleet->returns->confirmed, g_strdup(name));
  if (machine != NULL && machine->type != WS_NO_TYPE && machine->zone != WS_NO_ZONE)
    ws_rentals_update_backoff(core, machine->type, machine->zone, machine->is_spot, TRUE);
}

static void
on_return_reply(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)body;
  g_autoptr(GPtrArray) names = data;
  WsReturns *returns = core->fleet->returns;
  returns->call_in_flight = FALSE;
  if (status != WS_HTTP_OK) {
    returns->backoff_ms = ws_fleet_next_backoff_ms(core, returns->backoff_ms);
    returns->next_call_ms = core->now_ms + returns->backoff_ms;
    g_info("scale in: return request to the cloud failed (status %u), retry in %u ms", status,
           returns->backoff_ms);
    return;
  }
  returns->backoff_ms = 0;
  for (guint i = 0; i < names->len; i++)
    record_return(core, g_ptr_array_index(names, i));
}

/* Requests the return of the machines unless a call is in flight, a back-off hasn't ended, or no
   call is left in the budget. Takes ownership of @machine_names. */
static void
send_return(WsCore *core, GPtrArray *machine_names)
{
  WsReturns *returns = core->fleet->returns;
  g_autoptr(GPtrArray) names = machine_names;
  if (names->len == 0 || returns->call_in_flight || core->now_ms < returns->next_call_ms
      || !ws_fleet_take_call_budget(core))
    return;
  json_t *body = ws_machine_return_encode(names);
  returns->call_in_flight = TRUE;
  ws_call(core, "POST", core->settings->cloud_addr, "/machines/return", body, RETURN_TIMEOUT_MS,
          on_return_reply, g_steal_pointer(&names));
}

void
ws_returns_request_unmarked(WsCore *core, const WsMachine *machine)
{
  if (g_hash_table_add(core->fleet->returns->unmarked, g_strdup(machine->name)))
    g_message("machine %s has a task of a cancelled job and the store is unavailable: returning it"
              " without a termination mark",
              machine->name);
}

/* Returns machines without a mark. Once the store is available the mark is written after the return
   and is cleared in the usual way, which corrects the records. If this process ends before that,
   the failure detector finds the machine, which sends no heartbeats but has recorded tasks. */
void
ws_returns_tick_unmarked(WsCore *core)
{
  GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init(&iter, core->fleet->returns->unmarked);
  while (g_hash_table_iter_next(&iter, &name, NULL)) {
    WsMachine *machine = ws_replica_find_machine(core->replica, name);
    gboolean is_confirmed = ws_returns_is_confirmed(core, name);
    if (machine == NULL || machine->is_returned)
      g_hash_table_iter_remove(&iter);
    else if (!is_confirmed && names->len < MAX_MACHINES_PER_RETURN)
      g_ptr_array_add(names, g_strdup(name));
    else if (is_confirmed && machine->is_recorded && !machine->mark_is_immediate
             && ws_is_active_member(core))
      ws_termination_request_mark(core, machine, WS_MARK_REASON_CANCELLED, TRUE);
  }
  send_return(core, names);
}

/* Whether the replica has every assignment to the marked machine. No task is assigned to the
   machine after its mark was written. Earlier assignments, including those of indeterminate
   transactions, are in the replica once the watch has passed the mark's revision. Without this
   check a machine whose tasks had just been assigned was returned as empty. */
gboolean
ws_returns_has_all_assignments(const WsCore *core, const WsMachine *machine)
{
  g_autofree char *key = ws_key(WS_KEY_PREFIX_MARK, machine->name);
  return core->replica->revision >= ws_replica_version(core->replica, key);
}

static gboolean
is_to_be_returned(const WsCore *core, const WsMachine *machine)
{
  if (!machine->is_marked || ws_returns_is_confirmed(core, machine->name))
    return FALSE;
  return machine->mark_is_immediate
         || (machine->tasks->len == 0 && ws_returns_has_all_assignments(core, machine));
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
  ws_mark_cleanup_tick(core);
  return_marked(core);
}

/* Node termination: idle timeout, mark, close, drain, return, clear.

   The owner selects a machine that was empty for the idle timeout and, if the budget allows it,
   writes the mark; from then on the machine is closed. The leader returns what is marked and empty
   (see ws-returns.c) and clears the mark once the cloud has confirmed. Marks outlive every
   controller, so whoever leads goes on with them. */
#include "fleet/ws-fleet.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"
#include "scheduling/ws-scheduling.h"

#include <string.h>

#define FORWARDED_MARK_TIMEOUT_MS 5000

static const WsBudget *
budget_for(const WsCore *core, const WsMachine *machine)
{
  for (guint i = 0; i < core->properties->budgets->len; i++) {
    const WsBudget *budget = g_ptr_array_index(core->properties->budgets, i);
    if (g_strcmp0(budget->type, machine->type_name) == 0
        && ws_replica_find_zone(core->replica, budget->zone) == machine->zone)
      return budget;
  }
  return NULL;
}

/* Silent and marked machines are unavailable. */
static gboolean
budget_allows(const WsCore *core, const WsMachine *machine)
{
  const WsBudget *budget = budget_for(core, machine);
  guint total = 0, unavailable = 0;
  if (budget == NULL)
    return TRUE;
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *other = ws_replica_machine(core->replica, i);
    if (!other->is_recorded || other == machine || other->zone != machine->zone
        || g_strcmp0(other->type_name, machine->type_name) != 0)
      continue;
    total++;
    unavailable
        += other->is_marked || other->fleet.mark_is_pending || !ws_machine_is_up(core, other) ? 1
                                                                                              : 0;
  }
  return unavailable + 1 <= ws_budget_allowed(budget, total + 1);
}

/* A cut makes every machine of the zone unavailable; nothing is given back there until it heals.
   From inside, the zone is cut as soon as another member can't be reached from it. */
static gboolean
zone_is_whole(const WsCore *core, WsZoneIndex zone)
{
  const GArray *members = core->replica->epoch.members;
  if (ws_zone_is_partitioned(core, zone))
    return FALSE;
  for (guint i = 0; i < members->len; i++) {
    WsNodeIndex node = g_array_index(members, WsMember, i).node;
    if (ws_replica_find_zone(core->replica, ws_settings_node(core->settings, node)->zone) != zone)
      continue;
    for (guint k = 0; k < members->len; k++) {
      guint other = g_array_index(members, WsMember, k).node;
      if (!ws_peer_is_reachable(core, node) || !ws_peer_link_is_up(core, node, other))
        return FALSE;
    }
  }
  return TRUE;
}

typedef struct {
  WsMachineIndex machine;
  char *why;
  gboolean now;
} Marking;

struct _WsTermination {
  GArray *wanted;  /* of Marking: the leader writes them, many in one transaction */
  GArray *writing; /* of Marking */
};

static void
marking_clear(gpointer data)
{
  g_free(((Marking *)data)->why);
}

static GArray *
markings_new(void)
{
  GArray *markings = g_array_new(FALSE, FALSE, sizeof(Marking));
  g_array_set_clear_func(markings, marking_clear);
  return markings;
}

WsTermination *
ws_termination_new(void)
{
  WsTermination *termination = g_new0(WsTermination, 1);
  termination->wanted = markings_new();
  termination->writing = markings_new();
  return termination;
}

void
ws_termination_free(WsTermination *termination)
{
  g_array_unref(termination->wanted);
  g_array_unref(termination->writing);
  g_free(termination);
}

static void
on_marked(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  GArray *writing = core->termination->writing;
  for (guint i = 0; i < writing->len; i++) {
    const Marking *marking = &g_array_index(writing, Marking, i);
    WsMachine *machine = ws_replica_machine(core->replica, marking->machine);
    machine->fleet.mark_is_pending = FALSE;
    if (result == WS_TXN_COMMITTED)
      g_info("machine %s (%s, %s, %u tasks) is marked: %s", machine->name,
             machine->spot ? "spot" : "ordinary",
             machine->zone != WS_NO_ZONE
                 ? (char *)g_ptr_array_index(core->settings->zones, machine->zone)
                 : "no zone",
             machine->tasks->len, marking->why);
  }
  g_array_set_size(writing, 0);
  core->replan_is_needed = TRUE;
}

/* An owner's choice is forwarded to the leader, who alone writes marks. */
void
ws_termination_request_mark(WsCore *core, WsMachine *machine, const char *why, gboolean now)
{
  if (machine->fleet.mark_is_pending || (machine->is_marked && (!now || machine->mark_is_immediate))
      || !ws_store_is_available(core))
    return;
  /* Owners take a returned machine for silent until its mark is cleared. */
  if (machine->is_marked && ws_returns_is_confirmed(core, machine->name))
    return;
  machine->fleet.mark_is_pending = TRUE;
  machine->fleet.mark_pending_ms = core->now;
  if (!ws_is_leader(core)) {
    ws_peer_request_mark(core, machine, why, now);
    return;
  }
  Marking marking = { machine->index, g_strdup(why), now };
  g_array_append_val(core->termination->wanted, marking);
}

void
ws_termination_pump(WsCore *core)
{
  WsTermination *termination = core->termination;
  if (termination->wanted->len == 0 || termination->writing->len > 0)
    return;
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  while (termination->wanted->len > 0
         && ws_txn_operation_count(txn) < core->settings->state_txn_ops) {
    Marking marking = g_array_index(termination->wanted, Marking, 0);
    WsMachine *machine = ws_replica_machine(core->replica, marking.machine);
    /* Two owners may have chosen at once what the budget allows only one of. */
    if (!machine->is_recorded || !ws_is_leader(core)
        || (!marking.now && strcmp(marking.why, "notice") != 0 && !budget_allows(core, machine))) {
      machine->fleet.mark_is_pending = FALSE;
      g_array_remove_index(termination->wanted, 0);
      continue;
    }
    g_autofree char *key = ws_key(WS_KEYS_MARK, machine->name);
    ws_txn_compare(txn, core->replica, key);
    ws_txn_put(txn, key, ws_mark_encode(marking.why, marking.now));
    marking.why = g_strdup(marking.why);
    g_array_append_val(termination->writing, marking);
    g_array_remove_index(termination->wanted, 0);
  }
  if (termination->writing->len > 0)
    ws_txn_commit(core, txn, WS_REQUEST_TASK, on_marked, NULL);
  else
    ws_txn_free(txn);
}

/* Stops go one at a time per service, and back off while one of its tasks is down already. */
gboolean
ws_termination_may_stop(WsCore *core, WsMachine *machine, WsJob *job,
                        const WsAssignment *assignment)
{
  if (job->spec->kind != WS_KIND_SERVICE || assignment->state < WS_TASK_RUNNING)
    return TRUE;
  if (core->now < machine->fleet.stop_after_ms)
    return FALSE;
  guint down = job->tasks - job->assigned_count;
  if (down == 0) {
    machine->fleet.stop_backoff_ms = 0;
    machine->fleet.stop_after_ms = core->now + (gint64)(core->properties->backoff_min_s * 1000.0);
    return TRUE;
  }
  guint least = (guint)(core->properties->backoff_min_s * 1000.0);
  guint most = (guint)(core->properties->backoff_max_s * 1000.0);
  machine->fleet.stop_backoff_ms = CLAMP(machine->fleet.stop_backoff_ms * 2, least, most);
  machine->fleet.stop_after_ms = core->now + machine->fleet.stop_backoff_ms;
  g_debug("the stop of a task of %s on %s backs off for %u ms", job->id, machine->name,
          machine->fleet.stop_backoff_ms);
  return FALSE;
}

gboolean
ws_termination_is_allowed(const WsCore *core, const WsMachine *machine)
{
  return zone_is_whole(core, machine->zone) && budget_allows(core, machine)
         && (machine->spot || ws_headroom_remains_without(core, machine));
}

/* While the state service is away nothing is placed: a machine that is empty then isn't idle.
   Dozens were given back at the end of an outage, with hundreds of jobs waiting. */
static void
mark_if_idle(WsCore *core, WsMachine *machine)
{
  if (machine->tasks->len > 0 || !ws_machine_is_up(core, machine) || !ws_store_is_available(core)) {
    machine->fleet.empty_ms = 0;
    return;
  }
  if (machine->fleet.empty_ms == 0)
    machine->fleet.empty_ms = core->now;
  if (core->now - machine->fleet.empty_ms < (gint64)(core->properties->idle_timeout_s * 1000.0))
    return;
  if (ws_termination_is_allowed(core, machine))
    ws_termination_request_mark(core, machine, "idle", FALSE);
}

static void
tend(WsCore *core, WsMachine *machine)
{
  if (machine->worker.interruption_ms > 0 && !machine->is_marked)
    ws_termination_request_mark(core, machine, "notice", FALSE);
  else if (machine->fleet.failed_jobs >= 2 && !machine->is_marked)
    ws_termination_request_mark(core, machine, "faulty", FALSE);
  else if (!machine->is_marked)
    mark_if_idle(core, machine);
}

void
ws_termination_tick(WsCore *core)
{
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    /* Nothing came of it. Also on machines that this node no longer owns: one that had asked for a
       mark and then led refused everybody else's marks of that machine, and it was never returned.
     */
    if (machine->fleet.mark_is_pending
        && core->now - machine->fleet.mark_pending_ms > FORWARDED_MARK_TIMEOUT_MS)
      machine->fleet.mark_is_pending = FALSE;
    if (machine->is_recorded && ws_owns_machine(core, machine))
      tend(core, machine);
  }
  ws_consolidation_tick(core);
}

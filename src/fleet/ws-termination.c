/**
 * Node termination: idle timeout, termination mark, drain, return, clearing of the mark.
 *
 * The owner selects a machine that has been empty for the idle timeout and, if the disruption
 * budget allows it, requests the mark from the leader. A marked machine gets no new tasks. The
 * leader returns machines that are marked and empty (see ws-returns.c) and clears the marks after
 * the cloud has confirmed the return. Marks are stored, so a new leader continues the termination.
 */
#include "fleet/ws-fleet-private.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"
#include "storage/ws-mark-reasons.h"

#include <string.h>

/* A pending write of a machine's records, e.g. of a requested mark, counts as lost after this time
   and may be requested again. */
#define RECORD_WRITE_TIMEOUT_MS 5000

static const WsDisruptionBudget *
find_budget(const WsCore *core, const WsMachine *machine)
{
  for (guint i = 0; i < core->properties->budgets->len; i++) {
    const WsDisruptionBudget *budget = g_ptr_array_index(core->properties->budgets, i);
    if (g_strcmp0(budget->type, machine->type_name) == 0
        && ws_replica_find_zone(core->replica, budget->zone) == machine->zone)
      return budget;
  }
  return NULL;
}

static gboolean
is_unavailable(const WsCore *core, const WsMachine *machine)
{
  return machine->is_marked || machine->fleet.record_write_is_pending
         || !ws_machine_is_up(core, machine);
}

/* Whether the disruption budget of the machine's type and zone allows this machine to become
   unavailable in addition to the ones that are. */
static gboolean
budget_allows(const WsCore *core, const WsMachine *machine)
{
  const WsDisruptionBudget *budget = find_budget(core, machine);
  guint total = 0, unavailable = 0;
  if (budget == NULL)
    return TRUE;
  for (WsMachineIndex i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *other = ws_replica_machine(core->replica, i);
    if (!other->is_recorded || other == machine || other->zone != machine->zone
        || g_strcmp0(other->type_name, machine->type_name) != 0)
      continue;
    total++;
    unavailable += is_unavailable(core, other) ? 1 : 0;
  }
  return unavailable + 1 <= ws_budget_max_unavailable(budget, total + 1);
}

/* Whether every member in the zone is reachable and its links to all other members are up. A
   partition makes every machine of the zone unavailable, so no machine is terminated there until
   the partition heals. */
static gboolean
zone_is_connected(const WsCore *core, WsZoneIndex zone)
{
  const GArray *members = core->replica->epoch.members;
  if (ws_zone_is_partitioned(core, zone))
    return FALSE;
  for (guint i = 0; i < members->len; i++) {
    WsNodeIndex node = g_array_index(members, WsMember, i).node;
    if (ws_replica_find_zone(core->replica, ws_settings_node(core->settings, node)->zone) != zone)
      continue;
    for (guint k = 0; k < members->len; k++) {
      WsNodeIndex other = g_array_index(members, WsMember, k).node;
      if (!ws_peer_is_reachable(core, node) || !ws_peer_link_is_up(core, node, other))
        return FALSE;
    }
  }
  return TRUE;
}

typedef struct {
  WsMachineIndex machine;
  char *reason;
  gboolean immediately; /* the machine is returned without being drained */
} MarkRequest;

struct _WsTermination {
  GArray *requested; /* of MarkRequest: waiting; the leader writes many in one transaction */
  GArray *writing;   /* of MarkRequest: in the transaction in flight */
};

static void
clear_mark_request(gpointer data)
{
  g_free(((MarkRequest *)data)->reason);
}

static GArray *
mark_requests_new(void)
{
  GArray *requests = g_array_new(FALSE, FALSE, sizeof(MarkRequest));
  g_array_set_clear_func(requests, clear_mark_request);
  return requests;
}

WsTermination *
ws_termination_new(void)
{
  WsTermination *termination = g_new0(WsTermination, 1);
  termination->requested = mark_requests_new();
  termination->writing = mark_requests_new();
  return termination;
}

void
ws_termination_free(WsTermination *termination)
{
  g_array_unref(termination->requested);
  g_array_unref(termination->writing);
  g_free(termination);
}

static void
log_mark(const WsCore *core, const WsMachine *machine, const char *reason)
{
  const char *zone = machine->zone != WS_NO_ZONE
                         ? g_ptr_array_index(core->settings->zones, machine->zone)
                         : "no zone";
  g_info("machine %s (%s, %s, %u tasks) marked for termination: %s", machine->name,
         machine->is_spot ? "spot" : "ordinary", zone, machine->tasks->len, reason);
}

static void
on_marks_written(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  GArray *writing = core->fleet->termination->writing;
  for (guint i = 0; i < writing->len; i++) {
    const MarkRequest *request = &g_array_index(writing, MarkRequest, i);
    WsMachine *machine = ws_replica_machine(core->replica, request->machine);
    machine->fleet.record_write_is_pending = FALSE;
    if (result == WS_TXN_COMMITTED)
      log_mark(core, machine, request->reason);
  }
  g_array_set_size(writing, 0);
  core->replan_is_needed = TRUE;
}

static gboolean
has_mark(const WsMachine *machine, gboolean immediately)
{
  return machine->is_marked && (!immediately || machine->mark_is_immediate);
}

void
ws_termination_request_mark(WsCore *core, WsMachine *machine, const char *reason,
                            gboolean immediately)
{
  if (machine->fleet.record_write_is_pending || has_mark(machine, immediately)
      || !ws_store_is_available(core))
    return;
  /* Until the mark of a returned machine is cleared, the failure detector of its owner suspects the
     machine and requests another mark, which isn't needed. */
  if (machine->is_marked && ws_returns_is_confirmed(core, machine->name))
    return;
  machine->fleet.record_write_is_pending = TRUE;
  machine->fleet.record_write_pending_since_ms = core->now_ms;
  if (!ws_is_leader(core)) {
    ws_peer_request_mark(core, machine, reason, immediately);
    return;
  }
  MarkRequest request = { machine->index, g_strdup(reason), immediately };
  g_array_append_val(core->fleet->termination->requested, request);
}

/* Whether the leader may still write the mark. Two owners may have requested marks at the same time
   when the disruption budget allows only one. */
static gboolean
mark_is_still_allowed(const WsCore *core, const WsMachine *machine, const MarkRequest *request)
{
  if (!machine->is_recorded || !ws_is_leader(core))
    return FALSE;
  return request->immediately || strcmp(request->reason, WS_MARK_REASON_INTERRUPTION) == 0
         || budget_allows(core, machine);
}

/* Moves the first request into the transaction, or drops it if it is no longer allowed. */
static void
add_first_request(WsCore *core, WsTxn *txn)
{
  WsTermination *termination = core->fleet->termination;
  MarkRequest request = g_array_index(termination->requested, MarkRequest, 0);
  WsMachine *machine = ws_replica_machine(core->replica, request.machine);
  if (mark_is_still_allowed(core, machine, &request)) {
    g_autofree char *key = ws_key(WS_KEY_PREFIX_MARK, machine->name);
    ws_txn_compare(txn, core->replica, key);
    ws_txn_put(txn, key, ws_mark_encode(request.reason, request.immediately));
    request.reason = g_strdup(request.reason);
    g_array_append_val(termination->writing, request);
  } else {
    machine->fleet.record_write_is_pending = FALSE;
  }
  g_array_remove_index(termination->requested, 0);
}

void
ws_termination_pump(WsCore *core)
{
  WsTermination *termination = core->fleet->termination;
  if (termination->requested->len == 0 || termination->writing->len > 0)
    return;
  g_autoptr(WsTxn) txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  while (termination->requested->len > 0
         && ws_txn_operation_count(txn) < core->settings->kv_max_txn_ops)
    add_first_request(core, txn);
  if (termination->writing->len > 0)
    ws_txn_commit(core, g_steal_pointer(&txn), WS_REQUEST_SCHEDULING, on_marks_written, NULL);
}

gboolean
ws_termination_may_stop_task(WsCore *core, WsMachine *machine, WsJob *job,
                             const WsAssignment *assignment)
{
  if (job->spec->kind != WS_KIND_SERVICE || assignment->state < WS_TASK_RUNNING)
    return TRUE;
  if (core->now_ms < machine->fleet.stop_after_ms)
    return FALSE;
  if (job->assigned_count == job->tasks) {
    machine->fleet.stop_backoff_ms = 0;
    machine->fleet.stop_after_ms
        = core->now_ms + (gint64)(core->properties->backoff_min_s * 1000.0);
    return TRUE;
  }
  machine->fleet.stop_backoff_ms = ws_fleet_next_backoff_ms(core, machine->fleet.stop_backoff_ms);
  machine->fleet.stop_after_ms = core->now_ms + machine->fleet.stop_backoff_ms;
  g_debug("drain: stop of a task of service %s on machine %s backs off for %u ms", job->id,
          machine->name, machine->fleet.stop_backoff_ms);
  return FALSE;
}

gboolean
ws_termination_is_allowed(const WsCore *core, const WsMachine *machine)
{
  return zone_is_connected(core, machine->zone) && budget_allows(core, machine)
         && (machine->is_spot || ws_headroom_suffices_without(core, machine));
}

/* Requests a mark for a machine that has been empty for the idle timeout. The duration of a store
   outage isn't counted, since no task is placed during one. When it was counted, dozens of machines
   were returned at the end of an outage while hundreds of jobs waited. */
static void
request_mark_if_idle(WsCore *core, WsMachine *machine)
{
  if (machine->tasks->len > 0 || !ws_machine_is_up(core, machine) || !ws_store_is_available(core)) {
    machine->fleet.empty_since_ms = 0;
    return;
  }
  if (machine->fleet.empty_since_ms == 0)
    machine->fleet.empty_since_ms = core->now_ms;
  if (core->now_ms - machine->fleet.empty_since_ms
      < (gint64)(core->properties->idle_timeout_s * 1000.0))
    return;
  if (ws_termination_is_allowed(core, machine))
    ws_termination_request_mark(core, machine, WS_MARK_REASON_IDLE, FALSE);
}

static void
request_mark_if_due(WsCore *core, WsMachine *machine)
{
  if (machine->is_marked)
    return;
  if (machine->worker.interruption_ms > 0)
    ws_termination_request_mark(core, machine, WS_MARK_REASON_INTERRUPTION, FALSE);
  else if (ws_machine_is_faulty(machine))
    ws_termination_request_mark(core, machine, WS_MARK_REASON_FAULTY, FALSE);
  else
    request_mark_if_idle(core, machine);
}

void
ws_termination_tick(WsCore *core)
{
  for (WsMachineIndex i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    /* A pending request expires also for machines that this node no longer owns. Otherwise a node
       that had requested a mark and then became leader refused all further requests for that
       machine, and the machine was never returned. */
    if (machine->fleet.record_write_is_pending
        && core->now_ms - machine->fleet.record_write_pending_since_ms > RECORD_WRITE_TIMEOUT_MS)
      machine->fleet.record_write_is_pending = FALSE;
    if (machine->is_recorded && ws_owns_machine(core, machine))
      request_mark_if_due(core, machine);
  }
  ws_consolidation_tick(core);
}

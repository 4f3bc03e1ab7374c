/* The choice of a job's coordinating node, and the escalation of jobs to the leader. */
#include "scheduling/ws-coordinator.h"

#include "scheduling/ws-capacity-map.h"
#include "scheduling/ws-plan.h"
#include "membership/ws-membership.h"
#include "storage/ws-constraints.h"
#include "store/ws-store.h"

/* How long a task may remain unplaced in the shard before the job is escalated. */
#define ESCALATION_DELAY_MS 600
#define MAX_ESCALATIONS_PER_TRANSACTION 4

WsNodeIndex
ws_coordinator_current(const WsReplica *replica, const WsJob *job)
{
  return job->coordinator != WS_NO_NODE && ws_epoch_has_node(&replica->epoch, job->coordinator)
             ? job->coordinator
             : replica->epoch.leader;
}

/* Returns the number of tasks that fit the free capacity of each node's shard, as an array by node.
   The caller frees it. */
static gint64 *
count_slots_by_node(WsCore *core, const WsJobSpec *spec)
{
  WsCapacityMap map;
  ws_capacity_map_init(&map, core, &spec->need);
  gint64 *slots = g_new0(gint64, core->settings->nodes->len);
  WsZoneIndex zone = ws_replica_find_zone(core->replica, spec->zone);
  for (guint i = 0; i < map.open->len; i++) {
    WsMachineIndex index = g_array_index(map.open, WsMachineIndex, i);
    const WsMachine *machine = ws_replica_machine(core->replica, index);
    if (!ws_constraints_allow_machine(core->replica, spec, zone, machine))
      continue;
    for (WsResources free = ws_capacity_map_at(&map, index)->free;
         ws_resources_fit(&spec->need, &free); ws_resources_add(&free, &spec->need, -1))
      if (++slots[machine->owner] > WS_MAX_TASKS)
        break;
  }
  ws_capacity_map_clear(&map);
  return slots;
}

/* Whether only the leader may plan the job. An attempt of a gang must be planned and written by one
   node. Jobs that must be spread over zones, or stay in one zone, need a view of all machines. */
static gboolean
needs_leader(const WsJobSpec *spec)
{
  return spec->must_spread || spec->needs_one_zone || spec->kind == WS_KIND_GANG;
}

WsNodeIndex
ws_coordinator_choose(WsCore *core, const WsJobSpec *spec)
{
  if (!ws_is_active_member(core) || core->replica->catalog == NULL || needs_leader(spec))
    return WS_NO_NODE;
  g_autofree gint64 *slots = count_slots_by_node(core, spec);
  WsNodeIndex best = 0;
  for (WsNodeIndex node = 1; node < core->settings->nodes->len; node++)
    if (slots[node] > slots[best])
      best = node;
  return slots[best] >= (gint64)spec->tasks ? best : WS_NO_NODE;
}

static void
on_escalation_finished(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)result;
  (void)data;
  core->plan->escalation_is_in_flight = FALSE;
  core->replan_is_needed = TRUE;
}

static gboolean
is_escalation_due(const WsCore *core, const WsJob *job)
{
  return job->state == WS_JOB_ACTIVE && job->coordinator == core->settings->self
         && job->status.unplaced_since_ms != 0
         && core->now_ms - job->status.unplaced_since_ms >= ESCALATION_DELAY_MS;
}

/* Adds to the transaction an update of the job's record that leaves the job without a coordinating
   node. */
static void
add_escalation(WsCore *core, WsTxn *txn, const WsJob *job)
{
  g_autofree char *key = ws_key_job(job->id);
  ws_txn_compare(txn, core->replica, key);
  ws_txn_put(txn, key, ws_job_encode(job, WS_JOB_ACTIVE, ""));
  g_info("job %s doesn't fit this node's shard: escalated to the leader", job->id);
}

void
ws_coordinator_escalate(WsCore *core)
{
  const GPtrArray *active = core->replica->active_jobs;
  if (core->plan->escalation_is_in_flight)
    return;
  g_autoptr(WsTxn) txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  for (guint i = 0;
       i < active->len && ws_txn_operation_count(txn) < MAX_ESCALATIONS_PER_TRANSACTION; i++) {
    const WsJob *job = g_ptr_array_index(active, i);
    if (is_escalation_due(core, job))
      add_escalation(core, txn, job);
  }
  core->plan->escalation_is_in_flight = ws_txn_operation_count(txn) > 0;
  if (core->plan->escalation_is_in_flight)
    ws_txn_commit(core, g_steal_pointer(&txn), WS_REQUEST_SCHEDULING, on_escalation_finished, NULL);
}

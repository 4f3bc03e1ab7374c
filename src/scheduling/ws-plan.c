/* Planning: when a plan is made, and for which jobs.

   A node plans the jobs that it coordinates, on the machines of its own shard; the leader also
   plans the jobs that fit no shard, on any machine. Where two nodes plan with the same capacity
   only one of them gets it, since the leader checks each assignment before it writes it. */
#include "scheduling/ws-plan.h"

#include "scheduling/ws-coordinator.h"
#include "scheduling/ws-placement.h"
#include "scheduling/ws-queue.h"
#include "scheduling/ws-stop-requests.h"
#include "commit/ws-commit.h"
#include "membership/ws-membership.h"
#include "store/ws-store.h"

#define MIN_PAUSE_MS 100
/* The pause after a plan grows with its cost, so that plans take a small part of the processor
   whatever the size of the cluster. */
#define MACHINES_EXAMINED_PER_PAUSE_MS 40
/* Bounds the cost of a plan with jobs of many thousands of tasks. It must not be much lower: if a
   plan after a start leaves out waiting tasks, too few machines are rented. */
#define MAX_TASKS_PER_PLAN 4000
/* The urgency of jobs changes with time alone, but slowly: so long after the pause a plan is made
   even if nothing else has changed. */
#define PERIODIC_PLAN_DELAY_MS 900

WsPlan *
ws_plan_new(void)
{
  return g_new0(WsPlan, 1);
}

void
ws_plan_free(WsPlan *plan)
{
  g_free(plan);
}

guint64
ws_plan_count(const WsCore *core)
{
  return core->plan->plan_count;
}

guint64
ws_plan_machines_examined(const WsCore *core)
{
  return core->plan->machines_examined;
}

static gboolean
has_unassigned_tasks(const WsJob *job)
{
  return job->completed_count + job->assigned_count < job->tasks;
}

/* Whether this node has anything to place. Most of the time it hasn't, and no plan is made. */
static gboolean
has_work(const WsCore *core)
{
  for (guint i = 0; i < core->replica->active_jobs->len; i++) {
    const WsJob *job = g_ptr_array_index(core->replica->active_jobs, i);
    if (job->state == WS_JOB_ACTIVE && has_unassigned_tasks(job)
        && ws_coordinator_current(core->replica, job) == core->settings->self)
      return TRUE;
  }
  return FALSE;
}

static gboolean
is_to_be_placed(const WsCore *core, const WsJob *job)
{
  return has_unassigned_tasks(job) && core->now >= job->status.retry_ms
         && ws_coordinator_current(core->replica, job) == core->settings->self;
}

/* Of each resource, the least that any task which is to be placed needs. */
static WsResources
find_min_need(const WsCore *core, const GArray *queue)
{
  WsResources min_need = { G_MAXINT64, G_MAXINT64, G_MAXINT64 };
  for (guint i = 0; i < queue->len; i++) {
    const WsJob *job = g_array_index(queue, WsQueueEntry, i).job;
    if (!is_to_be_placed(core, job))
      continue;
    min_need.cpus = MIN(min_need.cpus, job->spec->need.cpus);
    min_need.gpus = MIN(min_need.gpus, job->spec->need.gpus);
    min_need.memory = MIN(min_need.memory, job->spec->need.memory);
  }
  return min_need;
}

static void
place_queue(WsPlacement *placement, const GArray *queue)
{
  guint left = MAX_TASKS_PER_PLAN;
  for (guint i = 0; i < queue->len && left > 0; i++) {
    const WsQueueEntry *entry = &g_array_index(queue, WsQueueEntry, i);
    /* An overdue job takes precedence with its protected tasks only: its other tasks would be
       preempted again and again by the more urgent jobs that come after it in the queue. */
    guint max_tasks = left;
    if (entry->is_overdue)
      max_tasks = MIN(left, ws_queue_count_protected_tasks(entry->job));
    if (is_to_be_placed(placement->core, entry->job))
      left -= ws_placement_place_job(placement, entry->job, max_tasks);
  }
}

/* Repeats the requests to stop tasks that are still running. */
static void
resend_stop_requests(const WsPlacement *placement)
{
  const GArray *machines = placement->map.freeing;
  for (guint i = 0; i < machines->len; i++)
    ws_stop_requests_send(
        placement->core,
        ws_replica_machine(placement->core->replica, g_array_index(machines, WsMachineIndex, i)));
}

static void
make_plan(WsCore *core)
{
  g_autoptr(GArray) queue = ws_queue_build(core);
  WsResources min_need = find_min_need(core, queue);
  WsPlacement placement;
  ws_placement_init(&placement, core, &min_need);
  place_queue(&placement, queue);
  resend_stop_requests(&placement);
  guint cost = placement.map.machines_examined;
  core->plan->machines_examined += cost;
  core->plan->plan_count++;
  core->plan->next_ms = core->now + MIN_PAUSE_MS + cost / MACHINES_EXAMINED_PER_PAUSE_MS;
  ws_placement_finish(&placement);
}

static gboolean
is_due(const WsCore *core)
{
  gint64 next_ms = core->plan->next_ms;
  return core->now >= next_ms
         && (core->replan_is_needed || core->now >= next_ms + PERIODIC_PLAN_DELAY_MS);
}

static gboolean
is_possible(const WsCore *core)
{
  return ws_is_active_member(core) && core->replica->catalog != NULL
         && ws_assignments_are_idle(core) && ws_store_is_available(core);
}

void
ws_plan_tick(WsCore *core)
{
  if (!is_due(core) || !is_possible(core))
    return;
  core->replan_is_needed = FALSE;
  core->plan->next_ms = core->now + MIN_PAUSE_MS;
  if (ws_is_leader(core) || has_work(core))
    make_plan(core);
  ws_coordinator_escalate(core);
}

/* Planning: when a plan is made, and for which jobs.

   A node plans the jobs that it coordinates, on the machines of its own shard. The leader also
   plans the jobs that fit no single shard, on any machine. If two nodes plan with the same
   capacity, only one of them gets it, since the leader checks each assignment before writing it. */
#include "scheduling/ws-plan.h"

#include "scheduling/ws-coordinator.h"
#include "scheduling/ws-placement.h"
#include "scheduling/ws-queue.h"
#include "scheduling/ws-stop-requests.h"
#include "commit/ws-commit.h"
#include "membership/ws-membership.h"
#include "store/ws-store.h"

/* The minimum pause after a plan. */
#define MIN_PLAN_PAUSE_MS 100
/* The pause after a plan grows by 1 ms for this many examined machines, so that planning uses a
   small share of the CPU time at any cluster size. */
#define MACHINES_EXAMINED_PER_PLAN_PAUSE_MS 40
/* Bounds the cost of a plan when jobs have many thousands of tasks. It must not be much lower: if
   a plan after a start leaves out waiting tasks, too few machines are rented. */
#define MAX_TASKS_PER_PLAN 4000
/* The time after the pause until a plan is made even if nothing has changed, since the urgency of
   jobs also changes with time, though slowly. */
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

/* Whether this node has tasks to place. Usually it has none, and makes no plan unless it is the
   leader. */
static gboolean
has_tasks_to_place(const WsCore *core)
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
  return has_unassigned_tasks(job) && core->now_ms >= job->status.retry_ms
         && ws_coordinator_current(core->replica, job) == core->settings->self;
}

/* Returns the smallest need of any task to be placed, separately for each resource. */
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
    /* Only the protected tasks of an overdue job are placed at its place in the queue: its other
       tasks would be preempted repeatedly by more urgent jobs that come later in the queue. */
    guint max_tasks = left;
    if (entry->is_overdue)
      max_tasks = MIN(left, ws_queue_count_protected_tasks(entry->job));
    if (is_to_be_placed(placement->core, entry->job))
      left -= ws_placement_place_job(placement, entry->job, max_tasks);
  }
}

/* Repeats the stop requests for tasks that are still running. */
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
  core->plan->next_ms
      = core->now_ms + MIN_PLAN_PAUSE_MS + cost / MACHINES_EXAMINED_PER_PLAN_PAUSE_MS;
  ws_placement_finish(&placement);
}

static gboolean
is_plan_due(const WsCore *core)
{
  gint64 next_ms = core->plan->next_ms;
  return core->now_ms >= next_ms
         && (core->replan_is_needed || core->now_ms >= next_ms + PERIODIC_PLAN_DELAY_MS);
}

static gboolean
is_plan_possible(const WsCore *core)
{
  return ws_is_active_member(core) && core->replica->catalog != NULL
         && ws_assignments_are_idle(core) && ws_store_is_available(core);
}

void
ws_plan_tick(WsCore *core)
{
  if (!is_plan_due(core) || !is_plan_possible(core))
    return;
  core->replan_is_needed = FALSE;
  core->plan->next_ms = core->now_ms + MIN_PLAN_PAUSE_MS;
  if (ws_is_leader(core) || has_tasks_to_place(core))
    make_plan(core);
  ws_coordinator_escalate(core);
}

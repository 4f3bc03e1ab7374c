/**
 * Consolidation: terminates a machine that is at most half used if all its tasks belong to services
 * and fit on other machines. Such a machine is drained and returned like an idle one.
 *
 * Each move interrupts a service briefly. So tasks move only to machines that have the image
 * cached, only while no task waits for capacity, and only from a few machines at a time. No two of
 * these machines have tasks of the same service.
 */
#include "fleet/ws-fleet-private.h"

#include "membership/ws-membership.h"
#include "commit/ws-commit.h"
#include "storage/ws-constraints.h"
#include "storage/ws-mark-reasons.h"

/* A machine is underused if at most 1/2 of its CPUs and of its accelerators is in use. */
#define UNDERUSED_DIVISOR 2
/* Limit of candidates per tick that turn out not to be movable or may not be terminated, since each
   of them is compared with all machines. */
#define MAX_FAILED_CANDIDATES 4
/* One machine is consolidated at a time, plus one for each group of this many recorded machines. */
#define MACHINES_PER_EXTRA_SOURCE 50
/* Duration of each node's turn. The node selects machines only in the first half of it. */
#define CONSOLIDATION_TURN_MS 2000
/* No machine is consolidated for this time after the start of an epoch. */
#define EPOCH_SETTLING_TIME_MS 15000

/* The moves planned in one tick. */
typedef struct {
  WsResources *incoming; /* by WsMachineIndex: needed by the tasks planned to move there */
  gboolean *is_source;   /* by WsMachineIndex */
  GHashTable *jobs;      /* set of WsJobIndex: jobs with a task that moves */
  guint source_count;
} MovePlan;

/* Whether no task waits for a machine, no termination is under way, and the epoch didn't start
   recently. */
static gboolean
fleet_is_settled(const WsCore *core)
{
  for (guint i = 0; i < core->replica->active_jobs->len; i++) {
    const WsJob *job = g_ptr_array_index(core->replica->active_jobs, i);
    if (job->state == WS_JOB_ACTIVE && job->assigned_count + job->completed_count < job->tasks)
      return FALSE;
  }
  for (WsMachineIndex i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->is_recorded && (machine->is_marked || machine->fleet.record_write_is_pending))
      return FALSE;
  }
  return core->now_ms - ws_epoch_known_since_ms(core) > EPOCH_SETTLING_TIME_MS;
}

/* Whether the job's zone constraints allow one of its tasks to move between the zones. */
static gboolean
zone_constraints_allow_move(const WsCore *core, const WsJob *job, WsZoneIndex from, WsZoneIndex to)
{
  guint zones = core->settings->zones->len;
  g_autofree guint *counts = g_new0(guint, zones);
  ws_job_count_tasks_by_zone(core->replica, job, counts);
  if (counts[from] > 0)
    counts[from]--;
  return ws_constraints_allow_zone(job, counts, zones, to);
}

static gboolean
may_be_target(const WsCore *core, const MovePlan *plan, const WsMachine *machine,
              const WsMachine *target, const WsJob *job)
{
  if (target == machine || !target->is_recorded || target->is_marked
      || plan->is_source[target->index] || target->worker.interruption_ms != 0
      || target->tasks->len == 0 || !ws_machine_has_image(target, job->image)
      || !ws_machine_is_up(core, target)
      || !ws_constraints_allow_machine(core->replica, job->spec, job->zone, target))
    return FALSE;
  WsResources available = ws_replica_type(core->replica, target->type)->capacity;
  ws_resources_add(&available, &target->used, -1);
  ws_resources_add(&available, &plan->incoming[target->index], -1);
  return ws_resources_fit(&job->spec->need, &available)
         && zone_constraints_allow_move(core, job, machine->zone, target->zone);
}

/* Whether all tasks of the machine may move: each is a running task of a service of which no task
   on another machine moves, and no task is planned to move to this machine. */
static gboolean
may_be_source(const WsCore *core, const MovePlan *plan, const WsMachine *machine)
{
  const WsResources *incoming = &plan->incoming[machine->index];
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *job = ws_replica_job(core->replica, ref->job);
    const WsAssignment *assignment = ws_job_assignment(job, ref->task);
    if (job->spec->kind != WS_KIND_SERVICE || assignment == NULL
        || assignment->state != WS_TASK_RUNNING
        || g_hash_table_contains(plan->jobs, GUINT_TO_POINTER(job->index)))
      return FALSE;
  }
  return machine->tasks->len > 0 && incoming->cpus == 0 && incoming->gpus == 0;
}

static const WsMachine *
find_target(const WsCore *core, const MovePlan *plan, const WsMachine *machine, const WsJob *job)
{
  for (WsMachineIndex m = 0; m < core->replica->machines->len; m++) {
    const WsMachine *target = ws_replica_machine(core->replica, m);
    if (may_be_target(core, plan, machine, target, job))
      return target;
  }
  return NULL;
}

/* Plans a target for each task of the machine. Returns FALSE if a task has no target. In that case
   the targets planned for the other tasks aren't undone: their capacity stays reserved until the
   next tick. */
static gboolean
plan_moves(const WsCore *core, MovePlan *plan, const WsMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *job = ws_replica_job(core->replica, ref->job);
    const WsMachine *target = find_target(core, plan, machine, job);
    if (target == NULL)
      return FALSE;
    ws_resources_add(&plan->incoming[target->index], &job->spec->need, 1);
  }
  return TRUE;
}

static void
consolidate(WsCore *core, MovePlan *plan, WsMachine *machine)
{
  plan->is_source[machine->index] = TRUE;
  plan->source_count++;
  for (guint i = 0; i < machine->tasks->len; i++)
    g_hash_table_add(plan->jobs, GUINT_TO_POINTER(g_array_index(machine->tasks, WsTaskRef, i).job));
  ws_termination_request_mark(core, machine, WS_MARK_REASON_CONSOLIDATION, FALSE);
}

/* Whether the machine is an on-demand (not spot) machine, is up, isn't marked, and is underused. */
static gboolean
is_underused(const WsCore *core, const WsMachine *machine)
{
  const WsResources *capacity = &ws_replica_type(core->replica, machine->type)->capacity;
  return machine->is_recorded && machine->type != WS_NO_TYPE && !machine->is_marked
         && !machine->is_spot && ws_machine_is_up(core, machine)
         && UNDERUSED_DIVISOR * machine->used.cpus <= capacity->cpus
         && UNDERUSED_DIVISOR * machine->used.gpus <= capacity->gpus;
}

/* Whether the machine has been underused for the idle timeout. */
static gboolean
consolidation_is_due(const WsCore *core, WsMachine *machine)
{
  if (!is_underused(core, machine)) {
    machine->fleet.underused_since_ms = 0;
    return FALSE;
  }
  if (machine->fleet.underused_since_ms == 0)
    machine->fleet.underused_since_ms = core->now_ms;
  return core->now_ms - machine->fleet.underused_since_ms
         >= (gint64)(core->properties->idle_timeout_s * 1000.0);
}

static guint
count_recorded(const WsCore *core)
{
  guint count = 0;
  for (WsMachineIndex i = 0; i < core->replica->machines->len; i++)
    count += ws_replica_machine(core->replica, i)->is_recorded ? 1 : 0;
  return count;
}

static void
consolidate_owned_machines(WsCore *core, MovePlan *plan)
{
  guint count = core->replica->machines->len;
  guint max_sources = count_recorded(core) / MACHINES_PER_EXTRA_SOURCE;
  guint failed = 0;
  for (guint i = 0; i < count; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (!machine->is_recorded || machine->type == WS_NO_TYPE || !ws_owns_machine(core, machine)
        || !consolidation_is_due(core, machine) || failed >= MAX_FAILED_CANDIDATES
        || !may_be_source(core, plan, machine) || plan->source_count > max_sources)
      continue;
    if (plan_moves(core, plan, machine) && ws_termination_is_allowed(core, machine)) {
      consolidate(core, plan, machine);
      continue;
    }
    failed++;
    machine->fleet.underused_since_ms = core->now_ms; /* other candidates are tried first */
  }
}

/* Whether it is this node's turn to select machines, by the wall clock. Without turns, three nodes
   that planned at the same time relied on the same free capacity, and a task of a service waited
   half a minute for a new machine. */
static gboolean
is_our_turn(const WsCore *core)
{
  const GArray *members = core->replica->epoch.members;
  if (members->len == 0 || core->wall_ms % CONSOLIDATION_TURN_MS >= CONSOLIDATION_TURN_MS / 2)
    return FALSE;
  guint turn = (guint)(core->wall_ms / CONSOLIDATION_TURN_MS % members->len);
  return g_array_index(members, WsMember, turn).node == core->settings->self;
}

void
ws_consolidation_tick(WsCore *core)
{
  if (core->replica->catalog == NULL || !is_our_turn(core) || !fleet_is_settled(core))
    return;
  guint count = MAX(core->replica->machines->len, 1u);
  MovePlan plan
      = { g_new0(WsResources, count), g_new0(gboolean, count), g_hash_table_new(NULL, NULL), 0 };
  consolidate_owned_machines(core, &plan);
  g_free(plan.incoming);
  g_free(plan.is_source);
  g_hash_table_unref(plan.jobs);
}

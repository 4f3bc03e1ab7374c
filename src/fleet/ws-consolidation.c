/* Consolidation: a machine that holds only a few services, whose work fits on others, is given back
   by the same path as an empty one. The move costs its people a moment, so it is done only where
   the image is there already, when nothing waits for room, and for few machines at a time, of which
   no two hold tasks of the same service. */
#include "fleet/ws-fleet.h"

#include "membership/ws-membership.h"
#include "commit/ws-commit.h"
#include "storage/ws-constraints.h"

/* Machines looked at in one tick, beside those that are consolidated: each is held against all
 * others. */
#define MOST_LOOKS 4
/* One in so many machines is consolidated at a time. */
#define MACHINES_PER_CONSOLIDATION 50
/* How long each node's turn is; in its first half it may begin. */
#define TURN_MS 2000

/* What is consolidated together, in thought. */
typedef struct {
  WsResources *taken; /* by machine: what moves there */
  gboolean *closing;  /* by machine */
  GHashTable *jobs;   /* index of each whose task moves */
  guint machines;     /* so many */
} Batch;

static gboolean
is_quiet(const WsCore *core)
{
  for (guint i = 0; i < core->replica->active->len; i++) {
    const WsJob *job = g_ptr_array_index(core->replica->active, i);
    if (job->state == WS_JOB_ACTIVE && job->assigned_count + job->completed_count < job->tasks)
      return FALSE;
  }
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->is_recorded && (machine->is_marked || machine->fleet.mark_is_pending))
      return FALSE;
  }
  return core->now - ws_epoch_known_since_ms(core) > 15000;
}

/* Whether the rules on zones let a task of the job move. */
static gboolean
may_move(const WsCore *core, const WsJob *job, WsNodeIndex from, guint to)
{
  guint zones = core->settings->zones->len;
  g_autofree guint *counts = g_new0(guint, zones);
  ws_job_count_zones(core->replica, job, counts);
  if (counts[from] > 0)
    counts[from]--;
  return ws_constraints_allow_zone(job, counts, zones, to);
}

static gboolean
is_target(const WsCore *core, const Batch *batch, const WsMachine *machine, const WsMachine *target,
          const WsJob *job)
{
  if (target == machine || !target->is_recorded || target->is_marked
      || batch->closing[target->index] || target->worker.interruption_ms != 0
      || target->tasks->len == 0 || !ws_machine_has_image(target, job->image)
      || !ws_machine_is_up(core, target)
      || !ws_constraints_allow_machine(core->replica, job->spec, job->zone, target))
    return FALSE;
  WsResources room = ws_replica_type(core->replica, target->type)->capacity;
  ws_resources_add(&room, &target->used, -1);
  ws_resources_add(&room, &batch->taken[target->index], -1);
  return ws_resources_fit(&job->spec->need, &room)
         && may_move(core, job, machine->zone, target->zone);
}

/* Whether its tasks may move, and none of a service of which one moves already; nothing that moves
   is to come here. */
static gboolean
may_close(const WsCore *core, const Batch *batch, const WsMachine *machine)
{
  const WsResources *moved = &batch->taken[machine->index];
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *job = ws_replica_job(core->replica, ref->job);
    const WsAssignment *assignment = ws_job_assignment(job, ref->task);
    if (job->spec->kind != WS_KIND_SERVICE || assignment == NULL
        || assignment->state != WS_TASK_RUNNING
        || g_hash_table_contains(batch->jobs, GUINT_TO_POINTER(job->index)))
      return FALSE;
  }
  return machine->tasks->len > 0 && moved->cpus == 0 && moved->gpus == 0;
}

static const WsMachine *
find_target(const WsCore *core, const Batch *batch, const WsMachine *machine, const WsJob *job)
{
  for (guint m = 0; m < core->replica->machines->len; m++) {
    const WsMachine *target = ws_replica_machine(core->replica, m);
    if (is_target(core, batch, machine, target, job))
      return target;
  }
  return NULL;
}

/* Gives each task a place elsewhere, in thought; what was given stays taken if that fails. */
static gboolean
fits_elsewhere(const WsCore *core, Batch *batch, const WsMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *job = ws_replica_job(core->replica, ref->job);
    const WsMachine *target = find_target(core, batch, machine, job);
    if (target == NULL)
      return FALSE;
    ws_resources_add(&batch->taken[target->index], &job->spec->need, 1);
  }
  return TRUE;
}

static void
consolidate(WsCore *core, Batch *batch, WsMachine *machine)
{
  batch->closing[machine->index] = TRUE;
  batch->machines++;
  for (guint i = 0; i < machine->tasks->len; i++)
    g_hash_table_add(batch->jobs,
                     GUINT_TO_POINTER(g_array_index(machine->tasks, WsTaskRef, i).job));
  ws_termination_request_mark(core, machine, "merge", FALSE);
}

static gboolean
is_sparse(const WsCore *core, const WsMachine *machine)
{
  const WsResources *room = &ws_replica_type(core->replica, machine->type)->capacity;
  return machine->is_recorded && machine->type != WS_NO_TYPE && !machine->is_marked
         && !machine->spot && ws_machine_is_up(core, machine)
         && 2 * machine->used.cpus <= room->cpus && 2 * machine->used.gpus <= room->gpus;
}

/* Whether the machine has been sparse for the hold. */
static gboolean
is_due(const WsCore *core, WsMachine *machine)
{
  if (!is_sparse(core, machine)) {
    machine->fleet.underused_ms = 0;
    return FALSE;
  }
  if (machine->fleet.underused_ms == 0)
    machine->fleet.underused_ms = core->now;
  return core->now - machine->fleet.underused_ms
         >= (gint64)(core->properties->idle_timeout_s * 1000.0);
}

static void
consolidate_some(WsCore *core, Batch *batch)
{
  guint count = core->replica->machines->len, stored = 0, looked = 0;
  for (guint i = 0; i < count; i++)
    stored += ws_replica_machine(core->replica, i)->is_recorded ? 1 : 0;
  for (guint i = 0; i < count; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (!machine->is_recorded || machine->type == WS_NO_TYPE || !ws_owns_machine(core, machine)
        || !is_due(core, machine) || looked >= MOST_LOOKS || !may_close(core, batch, machine)
        || batch->machines > stored / MACHINES_PER_CONSOLIDATION)
      continue;
    if (fits_elsewhere(core, batch, machine) && ws_termination_is_allowed(core, machine)) {
      consolidate(core, batch, machine);
      continue;
    }
    looked++;
    machine->fleet.underused_ms = core->now; /* the others have their turn first */
  }
}

/* Nodes take turns by the time of day: three that began at the same moment all counted on the same
   room, and a service's task waited half a minute for a new machine. */
static gboolean
is_our_turn(const WsCore *core)
{
  const GArray *members = core->replica->epoch.members;
  if (members->len == 0 || core->wall % TURN_MS >= TURN_MS / 2)
    return FALSE;
  guint turn = (guint)(core->wall / TURN_MS % members->len);
  return g_array_index(members, WsMember, turn).node == core->settings->self;
}

void
ws_consolidation_tick(WsCore *core)
{
  if (core->replica->catalog == NULL || !is_our_turn(core) || !is_quiet(core))
    return;
  guint count = MAX(core->replica->machines->len, 1u);
  Batch batch
      = { g_new0(WsResources, count), g_new0(gboolean, count), g_hash_table_new(NULL, NULL), 0 };
  consolidate_some(core, &batch);
  g_free(batch.taken);
  g_free(batch.closing);
  g_hash_table_unref(batch.jobs);
}

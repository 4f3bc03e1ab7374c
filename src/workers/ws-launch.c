/**
 * Launches new assignments on the machines that this node owns, as soon as they appear in the
 * replica. Any node may have made the assignments.
 */
#include "workers/ws-workers-private.h"

typedef struct {
  WsJobIndex job;
  guint task;
  WsMachineIndex machine;
} Launch;

static gint
compare_machines(gconstpointer a, gconstpointer b)
{
  const Launch *first = a, *second = b;
  return first->machine < second->machine ? -1 : first->machine > second->machine;
}

/* Empties the replica's list of new assignments. Returns an array of Launch with the assignments on
   machines that this node owns. */
static GArray *
take_launches(WsCore *core)
{
  GArray *assigned = core->replica->new_assignments;
  GArray *launches = g_array_new(FALSE, FALSE, sizeof(Launch));
  for (guint i = 0; i < assigned->len; i++) {
    const WsTaskRef *ref = &g_array_index(assigned, WsTaskRef, i);
    const WsJob *job = ws_replica_job(core->replica, ref->job);
    const WsAssignment *assignment = job->spec != NULL ? ws_job_assignment(job, ref->task) : NULL;
    if (assignment == NULL || assignment->state != WS_TASK_ASSIGNED
        || !ws_owns_machine(core, ws_replica_machine(core->replica, assignment->machine)))
      continue;
    Launch launch = { ref->job, ref->task, assignment->machine };
    g_array_append_val(launches, launch);
  }
  g_array_set_size(assigned, 0);
  return launches;
}

static void
log_launch(const WsCore *core, const Launch *launch, const WsMachine *machine)
{
  const WsJob *job = ws_replica_job(core->replica, launch->job);
  const WsAssignment *assignment = ws_job_assignment(job, launch->task);
  g_info("task %s/%u assigned to machine %s: attempt %" G_GUINT64_FORMAT
         ", chunk record version %" G_GUINT64_FORMAT,
         job->id, launch->task, machine->name, assignment->attempt, assignment->assigned_version);
}

/* Launches all tasks on the machine of the launch at index @first. Returns the index of the first
   launch on the next machine. @launches: sorted by machine */
static guint
launch_on_machine(WsCore *core, const GArray *launches, guint first)
{
  g_autoptr(GArray) tasks = g_array_new(FALSE, FALSE, sizeof(WsTaskRef));
  WsMachineIndex index = g_array_index(launches, Launch, first).machine;
  WsMachine *machine = ws_replica_machine(core->replica, index);
  guint i = first;
  for (; i < launches->len && g_array_index(launches, Launch, i).machine == index; i++) {
    const Launch *launch = &g_array_index(launches, Launch, i);
    WsTaskRef ref = { launch->job, launch->task };
    g_array_append_val(tasks, ref);
    log_launch(core, launch, machine);
  }
  ws_worker_rpc_launch(core, machine, tasks);
  return i;
}

void
ws_workers_launch_assigned(WsCore *core)
{
  if (core->replica->new_assignments->len == 0)
    return;
  g_autoptr(GArray) launches = take_launches(core);
  g_array_sort(launches, compare_machines);
  guint i = 0;
  while (i < launches->len)
    i = launch_on_machine(core, launches, i);
}

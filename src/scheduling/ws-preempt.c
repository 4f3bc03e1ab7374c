/* Preemption: which tasks may be stopped for a more urgent job, and which are cheapest to stop. */
#include "scheduling/ws-preempt.h"

#include "scheduling/ws-queue.h"

#include "membership/ws-membership.h"
#include "commit/ws-commit.h"
#include "workers/ws-workers.h"

/* The work lost by a victim may be at most this multiple of the work that is done in its place. */
#define MAX_LOST_WORK_RATIO 2.0
/* A job within its team's guarantee may stop a task of the same priority only if the task has run
   for less than this many milliseconds per second of its estimated run time. */
#define MAX_LOST_MS_PER_ESTIMATED_S 500.0
/* The cost if there are too few victims on the machine. */
#define IMPOSSIBLE_COST_S (-1.0)
/* The fixed cost of each stop, in addition to the lost work. */
#define STOP_COST_S 5.0

static gboolean
is_beyond_guarantee(const WsCore *core, const WsJob *victim)
{
  const WsTeamSettings *team = g_ptr_array_index(core->settings->teams, victim->team);
  WsResources use = core->replica->team_use[victim->team];
  ws_resources_add(&use, &victim->spec->need, -1);
  return (team->guarantee.gpus > 0 && use.gpus >= team->guarantee.gpus)
         || (team->guarantee.cpus > 0 && use.cpus >= team->guarantee.cpus)
         || (team->guarantee.gpus == 0 && team->guarantee.cpus == 0);
}

/* Whether the victim is protected from starvation. While a job that was accepted more than
   WS_QUEUE_MAX_START_DELAY_S ago hasn't completed a task, its first tasks aren't stopped: otherwise
   a steady flow of more urgent jobs could keep a job that has started late from making progress. */
static gboolean
is_protected_from_preemption(const WsCore *core, const WsJob *victim, guint victim_tasks)
{
  return core->wall_ms - victim->accepted_ms > (gint64)(WS_QUEUE_MAX_START_DELAY_S * 1000.0)
         && victim->completed_count == 0 && victim_tasks <= ws_queue_count_protected_tasks(victim);
}

gboolean
ws_preempt_allowed_at_task_count(const WsCore *core, const WsJob *job, const WsJob *victim,
                                 guint victim_tasks)
{
  if (victim->state != WS_JOB_ACTIVE || victim->spec->kind != WS_KIND_ARRAY)
    return FALSE;
  if (job->spec->priority != WS_CRITICAL
      && is_protected_from_preemption(core, victim, victim_tasks))
    return FALSE;
  /* The queue orders jobs by guarantee before priority. If a job stopped tasks of a job that is
     ahead of it in the queue, the freed slot would be assigned to those tasks again, and neither
     job would progress. */
  if (victim->status.is_guaranteed && !job->status.is_guaranteed
      && job->spec->priority != WS_CRITICAL)
    return FALSE;
  if (job->spec->priority < victim->spec->priority)
    return TRUE;
  /* A job may use its guarantee to preempt only jobs outside theirs: two jobs that are both within
     their guarantees would preempt each other in turn. */
  return job->status.is_guaranteed && !victim->status.is_guaranteed && job->team != victim->team
         && is_beyond_guarantee(core, victim);
}

gboolean
ws_preempt_allowed(const WsCore *core, const WsJob *job, const WsJob *victim)
{
  return ws_preempt_allowed_at_task_count(core, job, victim, victim->assigned_count);
}

/* Whether the lost work is at most MAX_LOST_WORK_RATIO times the work that would be done in its
   place, so that a large task that has run for minutes isn't stopped for small tasks that take
   seconds. */
static gboolean
is_loss_acceptable(const WsCore *core, const WsJob *job, const WsJob *victim,
                   const WsAssignment *assignment)
{
  gint64 left = job->tasks - job->completed_count - job->assigned_count;
  gint64 cpus = MIN(left * job->spec->need.cpus, victim->spec->need.cpus);
  double gain = (double)cpus * MAX(ws_estimator_run_time_s(core, job), 1.0);
  double lost = (double)victim->spec->need.cpus * (double)(core->wall_ms - assignment->assigned_ms)
                / 1000.0;
  return lost <= MAX_LOST_WORK_RATIO * gain;
}

/* Whether the gain outweighs the lost work. A job that preempts because of its guarantee doesn't
   stop a task of the same priority that is half done, since that slot will be free soon. */
static gboolean
is_preemption_worthwhile(const WsCore *core, const WsJob *job, const WsJob *victim,
                         const WsAssignment *assignment)
{
  if (job->spec->priority < victim->spec->priority)
    return job->spec->priority == WS_CRITICAL || is_loss_acceptable(core, job, victim, assignment);
  return (double)(core->wall_ms - assignment->assigned_ms)
         < MAX_LOST_MS_PER_ESTIMATED_S * victim->spec->estimate_s;
}

/* Returns the cheapest victim on the machine that isn't being stopped yet, or NULL. The cheapest
   one is the task that was assigned last; only tasks assigned before @assigned_before_ms are
   considered. Sets @victim_job to the job of the victim. */
static WsAssignment *
find_cheapest_victim(const WsCore *core, const WsJob *job, const WsMachine *machine,
                     gint64 assigned_before_ms, WsJob **victim_job)
{
  WsAssignment *best = NULL;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    WsJob *victim = ws_replica_job(core->replica, ref->job);
    WsAssignment *assignment = ws_job_assignment(victim, ref->task);
    if (assignment == NULL || assignment->is_stop_requested
        || assignment->assigned_ms >= assigned_before_ms || !ws_preempt_allowed(core, job, victim)
        || !is_preemption_worthwhile(core, job, victim, assignment))
      continue;
    if (best == NULL || assignment->assigned_ms > best->assigned_ms) {
      best = assignment;
      *victim_job = victim;
    }
  }
  return best;
}

double
ws_preempt_cost(const WsCore *core, const WsJob *job, const WsMachine *machine,
                const WsMachineCapacity *capacity)
{
  WsResources available = capacity->free;
  double cost = 0.0;
  gint64 assigned_before_ms = G_MAXINT64;
  ws_resources_add(&available, &capacity->freeing, 1);
  while (!ws_resources_fit(&job->spec->need, &available)) {
    WsJob *victim = NULL;
    const WsAssignment *assignment
        = find_cheapest_victim(core, job, machine, assigned_before_ms, &victim);
    if (assignment == NULL)
      return IMPOSSIBLE_COST_S;
    assigned_before_ms = assignment->assigned_ms;
    ws_resources_add(&available, &victim->spec->need, 1);
    cost += STOP_COST_S + (double)(core->wall_ms - assignment->assigned_ms) / 1000.0;
  }
  return cost;
}

void
ws_preempt_on_machine(WsCore *core, const WsJob *job, WsMachine *machine,
                      WsMachineCapacity *capacity)
{
  WsResources available = capacity->free;
  ws_resources_add(&available, &capacity->freeing, 1);
  while (!ws_resources_fit(&job->spec->need, &available)) {
    WsJob *victim = NULL;
    WsAssignment *assignment = find_cheapest_victim(core, job, machine, G_MAXINT64, &victim);
    if (assignment == NULL)
      return;
    assignment->is_stop_requested = TRUE;
    ws_resources_add(&available, &victim->spec->need, 1);
    ws_resources_add(&capacity->freeing, &victim->spec->need, 1);
    if (ws_owns_machine(core, machine))
      ws_worker_rpc_halt(core, victim, assignment);
  }
}

/* A task of the job's own team that may be stopped for the job. */
typedef struct {
  WsJob *job;
  WsAssignment *assignment;
} TeamVictim;

static gint
compare_youngest_first(gconstpointer a, gconstpointer b)
{
  const TeamVictim *first = a, *second = b;
  gint64 difference_ms = second->assignment->assigned_ms - first->assignment->assigned_ms;
  return difference_ms < 0 ? -1 : difference_ms > 0;
}

/* Adds the tasks of the candidate that may be stopped to @victims, and the resources of those that
   are already being stopped to @freeing. */
static void
add_team_victims(const WsCore *core, const WsJob *job, WsJob *candidate, GArray *victims,
                 WsResources *freeing)
{
  gboolean is_cancelled = ws_cancellations_has_job(core, candidate);
  gboolean may_stop = !is_cancelled && ws_preempt_allowed(core, job, candidate);
  WsAssignmentIter iter;
  ws_assignment_iter_init(&iter, candidate);
  WsAssignment *assignment;
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL) {
    TeamVictim victim = { candidate, assignment };
    if (is_cancelled || assignment->is_stop_requested)
      ws_resources_add(freeing, &candidate->spec->need, 1);
    else if (may_stop)
      g_array_append_val(victims, victim);
  }
}

/* Moves the youngest victim whose stop would free a slot for the job to the front. Returns FALSE if
   there is none. */
static gboolean
move_fitting_victim_to_front(const WsCore *core, GArray *victims, WsPreemptFitFunc fits,
                             gpointer data)
{
  for (guint i = 0; i < victims->len; i++) {
    TeamVictim victim = g_array_index(victims, TeamVictim, i);
    const WsMachine *machine = ws_replica_machine(core->replica, victim.assignment->machine);
    if (!fits(machine, &victim.job->spec->need, data))
      continue;
    g_array_remove_index(victims, i);
    g_array_prepend_val(victims, victim);
    return TRUE;
  }
  return FALSE;
}

/* Returns how many of the victims must stop until the team's limit allows a task of the job, or 0
   if stopping all of them isn't enough. */
static guint
count_victims_needed(const WsCore *core, const WsJob *job, const WsResources *team_use,
                     const GArray *victims)
{
  WsResources use_left = *team_use;
  for (guint i = 0; i < victims->len; i++) {
    const TeamVictim *victim = &g_array_index(victims, TeamVictim, i);
    ws_resources_add(&use_left, &victim->job->spec->need, -1);
    if (ws_team_has_capacity(core->settings, job->team, &use_left, &job->spec->need))
      return i + 1;
  }
  return 0;
}

static void
stop_victims(WsCore *core, const GArray *victims, guint count, GArray *machines)
{
  for (guint i = 0; i < count; i++) {
    const TeamVictim *victim = &g_array_index(victims, TeamVictim, i);
    victim->assignment->is_stop_requested = TRUE;
    g_array_append_val(machines, victim->assignment->machine);
    if (ws_owns_machine(core, ws_replica_machine(core->replica, victim->assignment->machine)))
      ws_worker_rpc_halt(core, victim->job, victim->assignment);
  }
}

WsTeamPreemptResult
ws_preempt_in_team(WsCore *core, const WsJob *job, const WsResources *team_use, gboolean has_slot,
                   WsPreemptFitFunc fits, gpointer data, GArray *machines)
{
  g_autoptr(GArray) victims = g_array_new(FALSE, FALSE, sizeof(TeamVictim));
  WsResources freeing = { 0 }, use_left = *team_use;
  for (guint i = 0; i < core->replica->active_jobs->len; i++) {
    WsJob *candidate = g_ptr_array_index(core->replica->active_jobs, i);
    if (candidate->team == job->team && candidate->spec != NULL)
      add_team_victims(core, job, candidate, victims, &freeing);
  }
  ws_resources_add(&use_left, &freeing, -1);
  if (ws_team_has_capacity(core->settings, job->team, &use_left, &job->spec->need))
    return WS_TEAM_CAPACITY_FREEING;
  g_array_sort(victims, compare_youngest_first);
  if (count_victims_needed(core, job, &use_left, victims) == 0)
    return WS_TEAM_LIMIT_REACHED;
  if (!has_slot && !move_fitting_victim_to_front(core, victims, fits, data))
    return WS_TEAM_NO_SLOT;
  stop_victims(core, victims, count_victims_needed(core, job, &use_left, victims), machines);
  return WS_TEAM_CAPACITY_FREEING;
}

/* Which tasks may be stopped to make room, and which are cheapest to stop. */
#include "scheduling/ws-scheduling.h"

#include "membership/ws-membership.h"
#include "commit/ws-commit.h"
#include "workers/ws-workers.h"

/* How many times what is done in its place a victim may lose. */
#define MAX_LOST_MACHINES 2.0

static gboolean
beyond_guarantee(const WsCore *core, const WsJob *victim)
{
  const WsTeamSettings *team = g_ptr_array_index(core->settings->teams, victim->team);
  WsResources use = core->replica->team_use[victim->team];
  ws_resources_add(&use, &victim->spec->need, -1);
  return (team->guarantee.gpus > 0 && use.gpus >= team->guarantee.gpus)
         || (team->guarantee.cpus > 0 && use.cpus >= team->guarantee.cpus)
         || (team->guarantee.gpus == 0 && team->guarantee.cpus == 0);
}

/* A job that begins at last, after others went before it for long, isn't stopped again at once:
   otherwise work that is more urgent and never ends would keep it from ever beginning. */
static gboolean
begins_at_last(const WsCore *core, const WsJob *victim, guint victim_tasks_on)
{
  return core->wall - victim->accepted_ms > (gint64)(WS_BEGIN_WITHIN_S * 1000.0)
         && victim->completed_count == 0 && victim_tasks_on <= ws_queue_protected_tasks(victim);
}

gboolean
ws_preempt_outranks(const WsCore *core, const WsJob *job, const WsJob *victim,
                    guint victim_tasks_on)
{
  /* Stopping a service's task is noticed at once, and a gang's would stop its whole gang. */
  if (victim->state != WS_JOB_ACTIVE || victim->spec->kind != WS_KIND_ARRAY)
    return FALSE;
  if (job->spec->priority != WS_CRITICAL && begins_at_last(core, victim, victim_tasks_on))
    return FALSE;
  /* The queue places guarantees before priorities. A job that stopped what is placed before it
     would see it take the same place again, over and over, and neither would run. */
  if (victim->status.is_guaranteed && !job->status.is_guaranteed
      && job->spec->priority != WS_CRITICAL)
    return FALSE;
  if (job->spec->priority < victim->spec->priority)
    return TRUE;
  /* Never between two that are both guaranteed: they would take the place from each other in turn.
   */
  return job->status.is_guaranteed && !victim->status.is_guaranteed && job->team != victim->team
         && beyond_guarantee(core, victim);
}

gboolean
ws_preempt_allowed(const WsCore *core, const WsJob *job, const WsJob *victim)
{
  return ws_preempt_outranks(core, job, victim, victim->assigned_count);
}

/* What is lost of the victim's work is no more than a few times what would be done in its place: a
   large task that has run for minutes isn't stopped for small ones of seconds. */
static gboolean
loses_little(const WsCore *core, const WsJob *job, const WsJob *victim,
             const WsAssignment *assignment)
{
  gint64 left = job->tasks - job->completed_count - job->assigned_count;
  gint64 cpus = MIN(left * job->spec->need.cpus, victim->spec->need.cpus);
  double gain = (double)cpus * MAX(ws_estimator_run_s(core, job), 1.0);
  double lost
      = (double)victim->spec->need.cpus * (double)(core->wall - assignment->assigned_ms) / 1000.0;
  return lost <= MAX_LOST_MACHINES * gain;
}

/* A guarantee among equals isn't worth work that is half done: its place is soon free. */
static gboolean
is_worth(const WsCore *core, const WsJob *job, const WsJob *victim, const WsAssignment *assignment)
{
  if (job->spec->priority < victim->spec->priority)
    return job->spec->priority == WS_CRITICAL || loses_little(core, job, victim, assignment);
  return (double)(core->wall - assignment->assigned_ms) < 500.0 * victim->spec->estimate_s;
}

/* The cheapest task on the machine that may be stopped and is not yet: the youngest one. */
static WsAssignment *
cheapest(const WsCore *core, const WsJob *job, const WsMachine *machine, gint64 younger_than_ms,
         WsJob **owner)
{
  WsAssignment *best = NULL;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    WsJob *victim = ws_replica_job(core->replica, ref->job);
    WsAssignment *assignment = ws_job_assignment(victim, ref->task);
    if (assignment == NULL || assignment->is_stop_requested
        || assignment->assigned_ms >= younger_than_ms || !ws_preempt_allowed(core, job, victim)
        || !is_worth(core, job, victim, assignment))
      continue;
    if (best == NULL || assignment->assigned_ms > best->assigned_ms) {
      best = assignment;
      *owner = victim;
    }
  }
  return best;
}

double
ws_preempt_cost(const WsCore *core, const WsJob *job, const WsMachine *machine, const WsSlot *slot)
{
  WsResources room = slot->free;
  double cost = 0.0;
  gint64 younger_than_ms = G_MAXINT64;
  ws_resources_add(&room, &slot->coming, 1);
  while (!ws_resources_fit(&job->spec->need, &room)) {
    WsJob *victim = NULL;
    const WsAssignment *assignment = cheapest(core, job, machine, younger_than_ms, &victim);
    if (assignment == NULL)
      return -1.0;
    younger_than_ms = assignment->assigned_ms;
    ws_resources_add(&room, &victim->spec->need, 1);
    cost += 5.0 + (double)(core->wall - assignment->assigned_ms) / 1000.0;
  }
  return cost;
}

void
ws_preempt(WsCore *core, const WsJob *job, WsMachine *machine, WsSlot *slot)
{
  WsResources room = slot->free;
  ws_resources_add(&room, &slot->coming, 1);
  while (!ws_resources_fit(&job->spec->need, &room)) {
    WsJob *victim = NULL;
    WsAssignment *assignment = cheapest(core, job, machine, G_MAXINT64, &victim);
    if (assignment == NULL)
      return;
    assignment->is_stop_requested = TRUE;
    ws_resources_add(&room, &victim->spec->need, 1);
    ws_resources_add(&slot->coming, &victim->spec->need, 1);
    if (ws_owns_machine(core, machine))
      ws_worker_rpc_halt(core, victim, assignment);
  }
}

/* A task of the job's own team that may be stopped for it. */
typedef struct {
  WsJob *job;
  WsAssignment *assignment;
} TeamVictim;

static gint
youngest_first(gconstpointer a, gconstpointer b)
{
  const TeamVictim *first = a, *second = b;
  gint64 difference_ms = second->assignment->assigned_ms - first->assignment->assigned_ms;
  return difference_ms < 0 ? -1 : difference_ms > 0;
}

/* Adds the tasks of the candidate that may be stopped; what is on its way out is counted. */
static void
add_team_victims(const WsCore *core, const WsJob *job, WsJob *candidate, GArray *victims,
                 WsResources *coming)
{
  gboolean is_cancelled = ws_cancellations_has(core, candidate);
  gboolean may_stop = !is_cancelled && ws_preempt_allowed(core, job, candidate);
  WsAssignmentIter iter;
  ws_assignment_iter_init(&iter, candidate);
  WsAssignment *assignment;
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL) {
    TeamVictim victim = { candidate, assignment };
    if (is_cancelled || assignment->is_stop_requested)
      ws_resources_add(coming, &candidate->spec->need, 1);
    else if (may_stop)
      g_array_append_val(victims, victim);
  }
}

/* Puts the youngest task first whose end leaves a place for the job. */
static gboolean
put_place_first(const WsCore *core, GArray *victims, WsPlaceFunc makes_place, gpointer data)
{
  for (guint i = 0; i < victims->len; i++) {
    TeamVictim victim = g_array_index(victims, TeamVictim, i);
    const WsMachine *machine = ws_replica_machine(core->replica, victim.assignment->machine);
    if (!makes_place(machine, &victim.job->spec->need, data))
      continue;
    g_array_remove_index(victims, i);
    g_array_prepend_val(victims, victim);
    return TRUE;
  }
  return FALSE;
}

/* How many of the victims must stop before the team has room for the job; 0: even all don't do. */
static guint
count_needed(const WsCore *core, const WsJob *job, const WsResources *use, const GArray *victims)
{
  WsResources left = *use;
  for (guint i = 0; i < victims->len; i++) {
    const TeamVictim *victim = &g_array_index(victims, TeamVictim, i);
    ws_resources_add(&left, &victim->job->spec->need, -1);
    if (ws_team_has_room(core->settings, job->team, &left, &job->spec->need))
      return i + 1;
  }
  return 0;
}

static void
stop_first(WsCore *core, const GArray *victims, guint count, GArray *machines)
{
  for (guint i = 0; i < count; i++) {
    const TeamVictim *victim = &g_array_index(victims, TeamVictim, i);
    victim->assignment->is_stop_requested = TRUE;
    g_array_append_val(machines, victim->assignment->machine);
    if (ws_owns_machine(core, ws_replica_machine(core->replica, victim->assignment->machine)))
      ws_worker_rpc_halt(core, victim->job, victim->assignment);
  }
}

WsTeamCapacity
ws_preempt_in_team(WsCore *core, const WsJob *job, const WsResources *use, gboolean has_place,
                   WsPlaceFunc makes_place, gpointer data, GArray *machines)
{
  g_autoptr(GArray) victims = g_array_new(FALSE, FALSE, sizeof(TeamVictim));
  WsResources coming = { 0 }, left = *use;
  for (guint i = 0; i < core->replica->active->len; i++) {
    WsJob *candidate = g_ptr_array_index(core->replica->active, i);
    if (candidate->team == job->team && candidate->spec != NULL)
      add_team_victims(core, job, candidate, victims, &coming);
  }
  ws_resources_add(&left, &coming, -1);
  if (ws_team_has_room(core->settings, job->team, &left, &job->spec->need))
    return WS_TEAM_CAPACITY_FREEING;
  g_array_sort(victims, youngest_first);
  if (count_needed(core, job, &left, victims) == 0)
    return WS_TEAM_FULL;
  if (!has_place && !put_place_first(core, victims, makes_place, data))
    return WS_TEAM_NO_SLOT;
  stop_first(core, victims, count_needed(core, job, &left, victims), machines);
  return WS_TEAM_CAPACITY_FREEING;
}

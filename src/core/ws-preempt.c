/* Which tasks may be stopped to make room, and which are cheapest to stop. */
#include "core/ws-core-private.h"

/* How many times what is done in its place a victim may lose. */
#define MOST_LOST 2.0

static gboolean
beyond_guarantee(const WsCore *core, const WsJob *victim)
{
  const WsTeamSettings *team = g_ptr_array_index(core->settings->teams, victim->team);
  WsAmount use = core->book->team_use[victim->team];
  ws_amount_add(&use, &victim->spec->need, -1);
  return (team->guarantee.gpus > 0 && use.gpus >= team->guarantee.gpus)
         || (team->guarantee.cpus > 0 && use.cpus >= team->guarantee.cpus)
         || (team->guarantee.gpus == 0 && team->guarantee.cpus == 0);
}

/* A job that begins at last, after others went before it for long, isn't stopped again at once:
   otherwise work that is more urgent and never ends would keep it from ever beginning. */
static gboolean
begins_at_last(const WsCore *core, const WsJob *victim)
{
  return core->wall - victim->at_ms > (gint64)(WS_BEGIN_WITHIN_S * 1000.0)
         && victim->done_count == 0 && victim->on_count <= 1 + victim->tasks / 8;
}

gboolean
ws_preempt_allowed(const WsCore *core, const WsJob *job, const WsJob *victim)
{
  /* Stopping a service's task is noticed at once, and a gang's would stop its whole gang. */
  if (victim->state != WS_JOB_ACTIVE || victim->spec->kind != WS_KIND_ARRAY)
    return FALSE;
  if (job->spec->priority != WS_CRITICAL && begins_at_last(core, victim))
    return FALSE;
  if (job->spec->priority < victim->spec->priority)
    return TRUE;
  /* Never between two that are both guaranteed: they would take the place from each other in turn.
   */
  return job->guaranteed && !victim->guaranteed && job->team != victim->team
         && beyond_guarantee(core, victim);
}

/* What is lost of the victim's work is no more than a few times what would be done in its place: a
   large task that has run for minutes isn't stopped for small ones of seconds. */
static gboolean
loses_little(const WsCore *core, const WsJob *job, const WsJob *victim, const WsAssignment *a)
{
  gint64 left = job->tasks - job->done_count - job->on_count;
  gint64 cpus = MIN(left * job->spec->need.cpus, victim->spec->need.cpus);
  double gain = (double)cpus * MAX(ws_learn_estimate_s(core, job), 1.0);
  double lost = (double)victim->spec->need.cpus * (double)(core->wall - a->at_ms) / 1000.0;
  return lost <= MOST_LOST * gain;
}

/* A guarantee among equals isn't worth work that is half done: its place is soon free. */
static gboolean
is_worth(const WsCore *core, const WsJob *job, const WsJob *victim, const WsAssignment *a)
{
  if (job->spec->priority < victim->spec->priority)
    return job->spec->priority == WS_CRITICAL || loses_little(core, job, victim, a);
  return (double)(core->wall - a->at_ms) < 500.0 * victim->spec->estimate_s;
}

/* The cheapest task on the machine that may be stopped and is not yet: the youngest one. */
static WsAssignment *
cheapest(const WsCore *core, const WsJob *job, const WsMachine *machine, gint64 younger_than_ms,
         WsJob **owner)
{
  WsAssignment *best = NULL;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    WsJob *victim = ws_book_job(core->book, ref->job);
    WsAssignment *a = ws_job_assignment(victim, ref->task);
    if (a == NULL || a->stopping || a->at_ms >= younger_than_ms
        || !ws_preempt_allowed(core, job, victim) || !is_worth(core, job, victim, a))
      continue;
    if (best == NULL || a->at_ms > best->at_ms) {
      best = a;
      *owner = victim;
    }
  }
  return best;
}

double
ws_preempt_cost(const WsCore *core, const WsJob *job, const WsMachine *machine, const WsSlot *slot)
{
  WsAmount room = slot->free;
  double cost = 0.0;
  gint64 younger_than_ms = G_MAXINT64;
  ws_amount_add(&room, &slot->coming, 1);
  while (!ws_amount_fits(&job->spec->need, &room)) {
    WsJob *victim = NULL;
    const WsAssignment *a = cheapest(core, job, machine, younger_than_ms, &victim);
    if (a == NULL)
      return -1.0;
    younger_than_ms = a->at_ms;
    ws_amount_add(&room, &victim->spec->need, 1);
    cost += 5.0 + (double)(core->wall - a->at_ms) / 1000.0;
  }
  return cost;
}

void
ws_preempt(WsCore *core, const WsJob *job, WsMachine *machine, WsSlot *slot)
{
  WsAmount room = slot->free;
  ws_amount_add(&room, &slot->coming, 1);
  while (!ws_amount_fits(&job->spec->need, &room)) {
    WsJob *victim = NULL;
    WsAssignment *a = cheapest(core, job, machine, G_MAXINT64, &victim);
    if (a == NULL)
      return;
    a->stopping = TRUE;
    ws_amount_add(&room, &victim->spec->need, 1);
    ws_amount_add(&slot->coming, &victim->spec->need, 1);
    if (ws_owns(core, machine))
      ws_workers_halt_now(core, victim, a);
  }
}

/* The youngest task of the victim, or NULL; what is being stopped already is counted. */
static WsAssignment *
youngest(const WsJob *victim, WsAssignment *best, WsAmount *coming)
{
  for (guint c = 0; c < victim->chunks->len; c++) {
    WsChunk *chunk = g_ptr_array_index(victim->chunks, c);
    for (guint i = 0; chunk != NULL && i < chunk->on->len; i++) {
      WsAssignment *a = &g_array_index(chunk->on, WsAssignment, i);
      if (a->stopping)
        ws_amount_add(coming, &victim->spec->need, 1);
      else if (best == NULL || a->at_ms > best->at_ms)
        best = a;
    }
  }
  return best;
}

WsAssignment *
ws_preempt_in_team(WsCore *core, const WsJob *job)
{
  WsAssignment *best = NULL;
  WsJob *best_job = NULL;
  WsAmount coming = { 0 };
  for (guint i = 0; i < core->book->active->len; i++) {
    WsJob *victim = g_ptr_array_index(core->book->active, i);
    if (victim->team != job->team || !ws_preempt_allowed(core, job, victim))
      continue;
    WsAssignment *found = youngest(victim, best, &coming);
    if (found != best)
      best_job = victim;
    best = found;
  }
  /* One at a time: what is coming is waited for. */
  if (best == NULL || coming.cpus > 0 || coming.gpus > 0)
    return NULL;
  best->stopping = TRUE;
  if (ws_owns(core, ws_book_machine(core->book, best->machine)))
    ws_workers_halt_now(core, best_job, best);
  return best;
}

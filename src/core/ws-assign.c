/* Assignments and releases, written to the state service one transaction at a time.

   A task is assigned here before it is launched, and its team's use is counted in the same
   transaction; a task is released only when ws-workers.c or ws-fleet.c knows that it is gone. */
#include "core/ws-core-private.h"

#define CONFLICT_PAUSE_MS 60
#define FAILURE_PAUSE_MS 400

typedef struct {
  guint job;
  guint task;
  guint64 attempt;
  gboolean done;
} Release;

typedef struct {
  guint job;
  guint task;
  guint machine;
} Pick;

struct _WsAssign {
  GArray *releases;
  GArray *picks;
  GArray *launching; /* of Pick: in the transaction on its way */
  GArray *ending;    /* of guint: jobs that it ends */
  gboolean busy;
  gint64 next_ms;
};

/* A chunk as the transaction leaves it. */
typedef struct {
  guint job;
  guint index;
  WsChunk *chunk;
} Work;

typedef struct {
  WsCore *core;
  GPtrArray *works; /* of Work */
  WsAmount *use;    /* of each team, as the transaction leaves it */
  gboolean *touched;
  GHashTable *room; /* machine index -> WsAmount taken by this draft */
  guint teams;
} Draft;

WsAssign *
ws_assign_new(void)
{
  WsAssign *assign = g_new0(WsAssign, 1);
  assign->releases = g_array_new(FALSE, FALSE, sizeof(Release));
  assign->picks = g_array_new(FALSE, FALSE, sizeof(Pick));
  assign->launching = g_array_new(FALSE, FALSE, sizeof(Pick));
  assign->ending = g_array_new(FALSE, FALSE, sizeof(guint));
  return assign;
}

void
ws_assign_free(WsAssign *assign)
{
  g_array_unref(assign->releases);
  g_array_unref(assign->picks);
  g_array_unref(assign->launching);
  g_array_unref(assign->ending);
  g_free(assign);
}

void
ws_assign_release(WsCore *core, WsJob *job, const WsAssignment *assignment, gboolean done)
{
  GArray *releases = core->assign->releases;
  for (guint i = 0; i < releases->len; i++) {
    const Release *known = &g_array_index(releases, Release, i);
    if (known->job == job->index && known->task == assignment->task
        && known->attempt == assignment->attempt)
      return;
  }
  Release release = { job->index, assignment->task, assignment->attempt, done };
  g_array_append_val(releases, release);
}

static gboolean
contains_pick(const GArray *picks, guint job, guint task)
{
  for (guint i = 0; i < picks->len; i++) {
    const Pick *pick = &g_array_index(picks, Pick, i);
    if (pick->job == job && pick->task == task)
      return TRUE;
  }
  return FALSE;
}

gboolean
ws_assign_pending(const WsCore *core, guint job, guint task)
{
  return contains_pick(core->assign->picks, job, task)
         || contains_pick(core->assign->launching, job, task);
}

void
ws_assign_pick(WsCore *core, guint job, guint task, guint machine)
{
  Pick pick = { job, task, machine };
  if (!ws_assign_pending(core, job, task))
    g_array_append_val(core->assign->picks, pick);
}

gboolean
ws_assign_idle(const WsCore *core)
{
  return !core->assign->busy && core->assign->picks->len == 0;
}

gboolean
ws_zone_allowed(const WsJob *job, const guint *counts, guint zones, guint zone)
{
  if (job->spec->one_zone)
    for (guint z = 0; z < zones; z++)
      if (z != zone && counts[z] > 0)
        return FALSE;
  return !job->spec->spread || counts[zone] + 1 <= (job->tasks + 1) / 2;
}

/* Drafting a transaction. */

static void
work_free(gpointer data)
{
  Work *work = data;
  ws_chunk_free(work->chunk);
  g_free(work);
}

static Draft *
draft_new(WsCore *core)
{
  guint teams = core->settings->teams->len;
  Draft *draft = g_new0(Draft, 1);
  draft->core = core;
  draft->works = g_ptr_array_new_with_free_func(work_free);
  draft->use = g_memdup2(core->book->team_use, sizeof(WsAmount) * MAX(teams, 1u));
  draft->touched = g_new0(gboolean, MAX(teams, 1u));
  draft->room = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return draft;
}

static void
draft_free(Draft *draft)
{
  g_ptr_array_unref(draft->works);
  g_free(draft->use);
  g_free(draft->touched);
  g_hash_table_unref(draft->room);
  g_free(draft);
}

static Work *
find_work(const Draft *draft, guint job, guint index)
{
  for (guint i = 0; i < draft->works->len; i++) {
    Work *work = g_ptr_array_index(draft->works, i);
    if (work->job == job && work->index == index)
      return work;
  }
  return NULL;
}

/* Room in the transaction: each chunk and each team is a change, and so is the job's own record,
   which a release may end. */
static gboolean
has_space(const Draft *draft, const WsJob *job, guint task)
{
  guint ops = 2 * draft->works->len + draft->teams;
  guint more = (find_work(draft, job->index, task / WS_CHUNK_TASKS) == NULL ? 2 : 0)
               + (draft->touched[job->team] ? 0 : 1);
  return ops + more <= draft->core->settings->state_txn_ops;
}

static WsChunk *
open_chunk(Draft *draft, const WsJob *job, guint task)
{
  guint index = task / WS_CHUNK_TASKS;
  Work *work = find_work(draft, job->index, index);
  if (work == NULL) {
    work = g_new0(Work, 1);
    *work = (Work){ job->index, index, ws_chunk_copy(ws_job_chunk(job, task)) };
    g_ptr_array_add(draft->works, work);
  }
  return work->chunk;
}

static void
use_team(Draft *draft, const WsJob *job, gint64 times)
{
  if (!draft->touched[job->team])
    draft->teams++;
  draft->touched[job->team] = TRUE;
  ws_amount_add(&draft->use[job->team], &job->spec->need, times);
}

static WsAmount *
taken(Draft *draft, guint machine)
{
  WsAmount *amount = g_hash_table_lookup(draft->room, GUINT_TO_POINTER(machine));
  if (amount == NULL) {
    amount = g_new0(WsAmount, 1);
    g_hash_table_insert(draft->room, GUINT_TO_POINTER(machine), amount);
  }
  return amount;
}

static void
draft_release(Draft *draft, WsJob *job, const Release *release)
{
  WsChunk *chunk = open_chunk(draft, job, release->task);
  for (guint i = 0; i < chunk->on->len; i++) {
    const WsAssignment *a = &g_array_index(chunk->on, WsAssignment, i);
    if (a->task != release->task || a->attempt != release->attempt)
      continue;
    ws_amount_add(taken(draft, a->machine), &job->spec->need, -1);
    g_array_remove_index(chunk->on, i);
    use_team(draft, job, -1);
    if (job->spec->kind == WS_KIND_GANG && !release->done)
      chunk->attempts++;
    break;
  }
  guint bit = release->task % WS_CHUNK_TASKS;
  if (release->done) {
    chunk->done[bit / 8] |= (guint8)(1u << (bit % 8));
    chunk->done_count++;
  }
}

/* The tasks of the job by zone, as the draft leaves them. */
static void
count_zones(const Draft *draft, const WsJob *job, guint *counts)
{
  const WsBook *book = draft->core->book;
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    const Work *work = find_work(draft, job->index, c);
    const WsChunk *chunk = work != NULL ? work->chunk : ws_job_chunk(job, c * WS_CHUNK_TASKS);
    for (guint i = 0; chunk != NULL && i < chunk->on->len; i++) {
      const WsAssignment *a = &g_array_index(chunk->on, WsAssignment, i);
      guint zone = ws_book_machine(book, a->machine)->zone;
      if (zone != WS_NONE)
        counts[zone]++;
    }
  }
}

static gboolean
within_team(const Draft *draft, const WsJob *job)
{
  const WsTeamSettings *team = g_ptr_array_index(draft->core->settings->teams, job->team);
  WsAmount use = draft->use[job->team];
  ws_amount_add(&use, &job->spec->need, 1);
  return ws_team_allows(team, &use);
}

static gboolean
machine_has_room(Draft *draft, const WsMachine *machine, const WsJob *job)
{
  WsAmount room = ws_book_type(draft->core->book, machine->type)->room;
  ws_amount_add(&room, &machine->used, -1);
  ws_amount_add(&room, taken(draft, machine->index), -1);
  return ws_amount_fits(&job->spec->need, &room);
}

static gboolean
zone_has_room(const Draft *draft, const WsJob *job, guint zone)
{
  guint zones = draft->core->settings->zones->len;
  if (!job->spec->one_zone && !job->spec->spread)
    return TRUE;
  g_autofree guint *counts = g_new0(guint, zones);
  count_zones(draft, job, counts);
  return ws_zone_allowed(job, counts, zones, zone);
}

/* The leader may ask for a task that is already in this very transaction, on another machine. */
static gboolean
is_drafted(const Draft *draft, const WsJob *job, guint task)
{
  const Work *work = find_work(draft, job->index, task / WS_CHUNK_TASKS);
  for (guint i = 0; work != NULL && i < work->chunk->on->len; i++)
    if (g_array_index(work->chunk->on, WsAssignment, i).task == task)
      return TRUE;
  return FALSE;
}

static gboolean
still_wanted(Draft *draft, const WsJob *job, const Pick *pick)
{
  const WsMachine *machine = ws_book_machine(draft->core->book, pick->machine);
  return job->state == WS_JOB_ACTIVE && job->spec != NULL && pick->task < job->tasks
         && !ws_job_task_done(job, pick->task) && ws_job_assignment(job, pick->task) == NULL
         && !is_drafted(draft, job, pick->task) && !ws_job_is_broken_gang(job) && machine->stored
         && !machine->marked && !machine->marking && ws_owns(draft->core, machine)
         && ws_plan_allowed(draft->core->book, job->spec, job->zone, machine)
         && machine_has_room(draft, machine, job) && within_team(draft, job)
         && zone_has_room(draft, job, machine->zone);
}

static void
draft_pick(Draft *draft, WsJob *job, const Pick *pick)
{
  WsChunk *chunk = open_chunk(draft, job, pick->task);
  WsAssignment assignment = { .task = pick->task, .machine = pick->machine };
  if (job->spec->kind != WS_KIND_GANG || chunk->on->len == 0)
    chunk->attempts++;
  assignment.attempt = chunk->attempts;
  assignment.at_ms = draft->core->wall;
  g_array_append_val(chunk->on, assignment);
  ws_amount_add(taken(draft, pick->machine), &job->spec->need, 1);
  use_team(draft, job, 1);
}

static void
draft_releases(Draft *draft, GArray *releases)
{
  guint i = 0;
  while (i < releases->len) {
    Release release = g_array_index(releases, Release, i);
    WsJob *job = ws_book_job(draft->core->book, release.job);
    const WsAssignment *a = job->spec != NULL ? ws_job_assignment(job, release.task) : NULL;
    if (a == NULL || a->attempt != release.attempt) {
      g_array_remove_index(releases, i); /* done, or somebody else's by now */
      continue;
    }
    if (has_space(draft, job, release.task))
      draft_release(draft, job, &release);
    i++;
  }
}

static void
draft_picks(Draft *draft, GArray *picks, GArray *launching)
{
  guint i = 0;
  while (i < picks->len) {
    Pick pick = g_array_index(picks, Pick, i);
    WsJob *job = ws_book_job(draft->core->book, pick.job);
    gboolean wanted = still_wanted(draft, job, &pick);
    if (wanted && !has_space(draft, job, pick.task)) {
      i++;
      continue;
    }
    if (wanted) {
      draft_pick(draft, job, &pick);
      g_array_append_val(launching, pick);
    }
    g_array_remove_index(picks, i);
  }
}

/* Writing the draft down. */

static guint
count_after(const Draft *draft, const WsJob *job, guint *on)
{
  guint done = 0;
  *on = 0;
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    const Work *work = find_work(draft, job->index, c);
    const WsChunk *chunk = work != NULL ? work->chunk : ws_job_chunk(job, c * WS_CHUNK_TASKS);
    if (chunk == NULL)
      continue;
    done += chunk->done_count;
    *on += chunk->on->len;
  }
  return done;
}

/* Ends a job with its last task, in the same transaction; its chunks of tasks go as far as the
   transaction holds them. */
static gboolean
write_final(const Draft *draft, WsTxn *txn, const WsJob *job)
{
  guint on;
  guint done = count_after(draft, job, &on);
  gboolean is_done = job->state == WS_JOB_ACTIVE && done == job->tasks;
  if (!is_done && !(job->state == WS_JOB_CANCELLED && on == 0))
    return FALSE;
  g_autofree char *key = ws_key_job(job->id);
  ws_txn_set(txn, key, ws_job_encode_final(job, is_done ? WS_JOB_DONE : WS_JOB_CANCELLED));
  g_array_append_val(draft->core->assign->ending, job->index);
  return TRUE;
}

/* The rules on zones and the end of a job hang on all of its chunks, so all are conditions. */
static void
condition_on_job(const Draft *draft, WsTxn *txn, const WsJob *job)
{
  g_autofree char *key = ws_key_job(job->id);
  ws_txn_if(txn, draft->core->book, key);
  gboolean all = job->spec->one_zone || job->spec->spread;
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    if (!all && find_work(draft, job->index, c) == NULL)
      continue;
    g_autofree char *chunk = ws_key_chunk(job->id, c);
    ws_txn_if(txn, draft->core->book, chunk);
  }
}

static void
write_job(const Draft *draft, WsTxn *txn, const WsJob *job)
{
  condition_on_job(draft, txn, job);
  gboolean is_final = write_final(draft, txn, job);
  for (guint i = 0; i < draft->works->len; i++) {
    const Work *work = g_ptr_array_index(draft->works, i);
    if (work->job != job->index)
      continue;
    g_autofree char *key = ws_key_chunk(job->id, work->index);
    if (is_final)
      ws_txn_remove(txn, key);
    else
      ws_txn_set(txn, key, ws_chunk_encode(work->chunk, draft->core->book));
  }
}

static WsTxn *
write_draft(const Draft *draft)
{
  WsCore *core = draft->core;
  WsTxn *txn = ws_txn_new();
  ws_txn_if(txn, core->book, WS_KEY_EPOCH);
  for (guint i = 0; i < draft->works->len; i++) {
    const Work *work = g_ptr_array_index(draft->works, i);
    gboolean first = TRUE;
    for (guint k = 0; k < i; k++)
      first = first && ((Work *)g_ptr_array_index(draft->works, k))->job != work->job;
    if (first)
      write_job(draft, txn, ws_book_job(core->book, work->job));
  }
  for (guint t = 0; t < core->settings->teams->len; t++) {
    if (!draft->touched[t])
      continue;
    const WsTeamSettings *team = g_ptr_array_index(core->settings->teams, t);
    g_autofree char *key = ws_key(WS_KEYS_TEAM, team->name);
    ws_txn_if(txn, core->book, key);
    ws_txn_set(txn, key, ws_amount_encode(&draft->use[t]));
  }
  return txn;
}

static gint
by_machine(gconstpointer a, gconstpointer b)
{
  const Pick *first = a, *second = b;
  return first->machine < second->machine ? -1 : first->machine > second->machine;
}

static void
launch_all(WsCore *core, GArray *picks)
{
  g_array_sort(picks, by_machine);
  guint i = 0;
  while (i < picks->len) {
    g_autoptr(GArray) tasks = g_array_new(FALSE, FALSE, sizeof(WsTaskRef));
    guint machine = g_array_index(picks, Pick, i).machine;
    for (; i < picks->len && g_array_index(picks, Pick, i).machine == machine; i++) {
      const Pick *pick = &g_array_index(picks, Pick, i);
      WsTaskRef ref = { pick->job, pick->task };
      g_array_append_val(tasks, ref);
      g_info("task %s/%u goes to %s", ws_book_job(core->book, pick->job)->id, pick->task,
             ws_book_machine(core->book, machine)->name);
    }
    ws_workers_launch_now(core, ws_book_machine(core->book, machine), tasks);
  }
}

static void
tell_ended(WsCore *core)
{
  for (guint i = 0; i < core->assign->ending->len; i++) {
    const WsJob *job = ws_book_job(core->book, g_array_index(core->assign->ending, guint, i));
    g_info("job %s is %s, %.0f s after it was accepted", job->id,
           job->state == WS_JOB_DONE ? "done" : "cancelled and gone",
           (double)(core->wall - job->at_ms) / 1000.0);
  }
}

static void
on_written(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  WsAssign *assign = core->assign;
  assign->busy = FALSE;
  core->plan_due = TRUE;
  GArray *launching = assign->launching;
  assign->launching = g_array_new(FALSE, FALSE, sizeof(Pick));
  if (result == WS_TXN_OK) {
    tell_ended(core);
    launch_all(core, launching);
  } else {
    /* Whoever was first is seen through the watch, and what is still wanted then is tried again.
       After no answer the transaction may yet be carried out: its conditions make that harmless. */
    assign->next_ms
        = core->now + (result == WS_TXN_CONFLICT ? CONFLICT_PAUSE_MS : FAILURE_PAUSE_MS);
    for (guint i = 0; i < launching->len; i++) {
      const Pick *pick = &g_array_index(launching, Pick, i);
      ws_assign_pick(core, pick->job, pick->task, pick->machine);
    }
  }
  g_array_unref(launching);
}

void
ws_assign_pump(WsCore *core)
{
  WsAssign *assign = core->assign;
  if (!ws_entitled(core)) {
    g_array_set_size(assign->picks, 0);
    return;
  }
  if (assign->busy || core->now < assign->next_ms || core->book->catalog == NULL
      || (assign->releases->len == 0 && assign->picks->len == 0))
    return;
  Draft *draft = draft_new(core);
  g_array_set_size(assign->ending, 0);
  draft_releases(draft, assign->releases);
  draft_picks(draft, assign->picks, assign->launching);
  if (draft->works->len > 0) {
    assign->busy = TRUE;
    ws_txn_commit(core, write_draft(draft), WS_FIRST_TASK, on_written, NULL);
  }
  draft_free(draft);
}

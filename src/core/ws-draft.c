/* Which releases and assignments a transaction takes, and what it writes.

   A team's use and its tasks' records change in one transaction, whose conditions are the epoch,
   the jobs, and the marks of the machines: one that is being given back gets nothing new. */
#include "core/ws-draft.h"

#include "storage/ws-team-use.h"
#include "core/ws-reservation.h"

/* The state service takes 64 KiB; the rest is for the job's own records and for conditions. */
#define MOST_BYTES 40000
#define BYTES_A_TEAM 64
#define BYTES_A_TASK 60
#define BYTES_A_CHUNK 400
#define CONDITIONS_AN_OP 4

/* A chunk as the transaction leaves it. */
typedef struct {
  guint job;
  guint index;
  WsChunk *chunk;
} Work;

struct _WsDraft {
  WsCore *core;
  GPtrArray *works;   /* of Work */
  WsAmount *use;      /* of each team, as the transaction leaves it */
  gboolean *touched;  /* by record of teams' use */
  GHashTable *room;   /* machine index -> WsAmount taken by this draft */
  GHashTable *joined; /* index of each machine that gets a task */
  GHashTable *lots;   /* the lots that name them */
  guint most_ops;
  guint ops;
  guint conditions;
  guint bytes;
};

static void
work_free(gpointer data)
{
  Work *work = data;
  ws_chunk_free(work->chunk);
  g_free(work);
}

WsDraft *
ws_draft_new(WsCore *core)
{
  guint teams = core->settings->teams->len;
  WsDraft *draft = g_new0(WsDraft, 1);
  draft->core = core;
  draft->works = g_ptr_array_new_with_free_func(work_free);
  draft->use = g_memdup2(core->replica->team_use, sizeof(WsAmount) * MAX(teams, 1u));
  draft->touched = g_new0(gboolean, ws_team_use_groups(core->settings));
  draft->room = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  draft->joined = g_hash_table_new(NULL, NULL);
  draft->lots = g_hash_table_new(NULL, NULL);
  draft->most_ops = core->settings->state_txn_ops;
  draft->conditions = 1; /* the epoch */
  return draft;
}

void
ws_draft_bound(WsDraft *draft, guint most_ops)
{
  draft->most_ops = most_ops;
}

void
ws_draft_free(WsDraft *draft)
{
  g_ptr_array_unref(draft->works);
  g_free(draft->use);
  g_free(draft->touched);
  g_hash_table_unref(draft->room);
  g_hash_table_unref(draft->joined);
  g_hash_table_unref(draft->lots);
  g_free(draft);
}

gboolean
ws_draft_is_empty(const WsDraft *draft)
{
  return draft->works->len == 0;
}

static Work *
find_work(const WsDraft *draft, guint job, guint index)
{
  for (guint i = 0; i < draft->works->len; i++) {
    Work *work = g_ptr_array_index(draft->works, i);
    if (work->job == job && work->index == index)
      return work;
  }
  return NULL;
}

static const WsChunk *
chunk_after(const WsDraft *draft, const WsJob *job, guint index)
{
  const Work *work = find_work(draft, job->index, index);
  return work != NULL ? work->chunk : ws_job_chunk(job, index * WS_CHUNK_TASKS);
}

/* What is done and what is on machines, as the draft leaves it. */
static guint
count_after(const WsDraft *draft, const WsJob *job, guint *on)
{
  guint done = 0;
  *on = 0;
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    const WsChunk *chunk = chunk_after(draft, job, c);
    if (chunk == NULL)
      continue;
    done += chunk->done_count;
    *on += chunk->on->len;
  }
  return done;
}

static gboolean
all_chunks_matter(const WsJob *job)
{
  return job->spec->one_zone || job->spec->spread;
}

static guint
count_works(const WsDraft *draft, const WsJob *job)
{
  guint count = 0;
  for (guint i = 0; i < draft->works->len; i++)
    count += ((const Work *)g_ptr_array_index(draft->works, i))->job == job->index ? 1 : 0;
  return count;
}

/* Takes room in the transaction for one more change of the task's chunk, or says that there is
   none. A job that this change ends has its own record written, and none of its chunks. */
static gboolean
reserve(WsDraft *draft, const WsJob *job, guint task, const WsMachine *joins, gboolean ends)
{
  const WsSettings *settings = draft->core->settings;
  guint index = task / WS_CHUNK_TASKS;
  gboolean is_new_record = !draft->touched[ws_team_use_group(settings, job->team)];
  gint ops = is_new_record ? 1 : 0;
  guint conditions = is_new_record ? 1 : 0;
  guint bytes = BYTES_A_TASK + (is_new_record ? BYTES_A_TEAM * settings->teams->len : 0);
  if (find_work(draft, job->index, index) == NULL) {
    const WsChunk *chunk = ws_job_chunk(job, task);
    ops += ends ? 0 : 1;
    conditions += 1 + (all_chunks_matter(job) ? ws_job_chunk_count(job) : 1);
    bytes += BYTES_A_CHUNK + BYTES_A_TASK * (chunk != NULL ? chunk->on->len : 0);
  }
  if (joins != NULL && !g_hash_table_contains(draft->joined, GUINT_TO_POINTER(joins->index)))
    conditions++;
  if (joins != NULL && !g_hash_table_contains(draft->lots, joins->lot))
    conditions++;
  if (ends)
    ops += 1 - (gint)count_works(draft, job);
  if ((gint)draft->ops + ops > (gint)draft->most_ops
      || draft->conditions + conditions > CONDITIONS_AN_OP * settings->state_txn_ops
      || draft->bytes + bytes > MOST_BYTES)
    return FALSE;
  draft->ops = (guint)((gint)draft->ops + ops);
  draft->conditions += conditions;
  draft->bytes += bytes;
  return TRUE;
}

static WsChunk *
open_chunk(WsDraft *draft, const WsJob *job, guint task)
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
use_team(WsDraft *draft, const WsJob *job, gint64 times)
{
  draft->touched[ws_team_use_group(draft->core->settings, job->team)] = TRUE;
  ws_amount_add(&draft->use[job->team], &job->spec->need, times);
}

static WsAmount *
taken(WsDraft *draft, guint machine)
{
  WsAmount *amount = g_hash_table_lookup(draft->room, GUINT_TO_POINTER(machine));
  if (amount == NULL) {
    amount = g_new0(WsAmount, 1);
    g_hash_table_insert(draft->room, GUINT_TO_POINTER(machine), amount);
  }
  return amount;
}

/* Whether the release leaves the job with nothing to do. */
static gboolean
ends_job(const WsDraft *draft, const WsJob *job, gboolean done)
{
  guint on;
  guint done_after = count_after(draft, job, &on) + (done ? 1 : 0);
  return job->state == WS_JOB_ACTIVE ? done_after == job->tasks : on == 1;
}

WsDraftResult
ws_draft_release(WsDraft *draft, const WsRelease *release)
{
  const WsJob *job = ws_replica_job(draft->core->replica, release->job);
  const WsAssignment *a = job->spec != NULL ? ws_job_assignment(job, release->task) : NULL;
  if (a == NULL || a->attempt != release->attempt)
    return WS_DRAFT_UNWANTED; /* done, or somebody else's by now */
  if (ws_chunk_find(chunk_after(draft, job, release->task / WS_CHUNK_TASKS), release->task) == NULL)
    return WS_DRAFT_TAKEN; /* by this very transaction: its use is given back once */
  if (!reserve(draft, job, release->task, NULL, ends_job(draft, job, release->done)))
    return WS_DRAFT_FULL;
  WsChunk *chunk = open_chunk(draft, job, release->task);
  ws_amount_add(taken(draft, a->machine), &job->spec->need, -1);
  ws_chunk_remove(chunk, release->task);
  use_team(draft, job, -1);
  if (job->spec->kind == WS_KIND_GANG && !release->done)
    chunk->attempts++;
  guint bit = release->task % WS_CHUNK_TASKS;
  if (release->done) {
    chunk->done[bit / 8] |= (guint8)(1u << (bit % 8));
    chunk->done_count++;
  }
  return WS_DRAFT_TAKEN;
}

/* Picks. */

static void
count_zones(const WsDraft *draft, const WsJob *job, guint *counts)
{
  const WsReplica *replica = draft->core->replica;
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    const WsChunk *chunk = chunk_after(draft, job, c);
    for (guint i = 0; chunk != NULL && i < chunk->on->len; i++) {
      const WsAssignment *a = &g_array_index(chunk->on, WsAssignment, i);
      guint zone = ws_replica_machine(replica, a->machine)->zone;
      if (zone != WS_NONE)
        counts[zone]++;
    }
  }
}

static gboolean
machine_has_room(WsDraft *draft, const WsMachine *machine, const WsJob *job)
{
  WsAmount room = ws_replica_type(draft->core->replica, machine->type)->room;
  ws_amount_add(&room, &machine->used, -1);
  ws_amount_add(&room, taken(draft, machine->index), -1);
  return ws_amount_fits(&job->spec->need, &room);
}

/* What was freed for a more urgent job isn't given away. */
static gboolean
leaves_reserved(WsDraft *draft, const WsMachine *machine, const WsJob *job)
{
  if (ws_reservations_is_empty(draft->core))
    return TRUE;
  WsAmount left = ws_replica_type(draft->core->replica, machine->type)->room;
  WsAmount use = draft->use[job->team];
  ws_amount_add(&left, &machine->used, -1);
  ws_amount_add(&left, taken(draft, machine->index), -1);
  ws_amount_add(&left, &job->spec->need, -1);
  ws_amount_add(&use, &job->spec->need, 1);
  guint tasks_on;
  (void)count_after(draft, job, &tasks_on);
  return ws_reservations_allow(draft->core, job, tasks_on + 1, machine->index, &left, &use);
}

static gboolean
zone_has_room(const WsDraft *draft, const WsJob *job, guint zone)
{
  guint zones = draft->core->settings->zones->len;
  if (!all_chunks_matter(job))
    return TRUE;
  g_autofree guint *counts = g_new0(guint, zones);
  count_zones(draft, job, counts);
  return ws_zone_allowed(job, counts, zones, zone);
}

static gboolean
still_wanted(WsDraft *draft, const WsJob *job, const WsPick *pick)
{
  const WsMachine *machine = ws_replica_machine(draft->core->replica, pick->machine);
  return job->state == WS_JOB_ACTIVE && job->spec != NULL && job->team != WS_NONE
         && pick->task < job->tasks
         && !ws_job_task_done(job, pick->task)
         /* not even in this very transaction: two nodes may ask for the same task */
         && ws_chunk_find(chunk_after(draft, job, pick->task / WS_CHUNK_TASKS), pick->task) == NULL
         && ws_job_assignment(job, pick->task) == NULL && !ws_job_is_broken_gang(job)
         && machine->stored && !machine->marked && !machine->marking
         && ws_plan_allowed(draft->core->replica, job->spec, job->zone, machine)
         && machine_has_room(draft, machine, job)
         && ws_team_has_room(draft->core->settings, job->team, &draft->use[job->team],
                             &job->spec->need)
         && zone_has_room(draft, job, machine->zone) && leaves_reserved(draft, machine, job);
}

WsDraftResult
ws_draft_pick(WsDraft *draft, const WsPick *pick)
{
  const WsJob *job = ws_replica_job(draft->core->replica, pick->job);
  if (!still_wanted(draft, job, pick))
    return WS_DRAFT_UNWANTED;
  if (!reserve(draft, job, pick->task, ws_replica_machine(draft->core->replica, pick->machine),
               FALSE))
    return WS_DRAFT_FULL;
  WsChunk *chunk = open_chunk(draft, job, pick->task);
  WsAssignment assignment = { .task = pick->task, .machine = pick->machine };
  if (job->spec->kind != WS_KIND_GANG || chunk->on->len == 0)
    chunk->attempts++;
  assignment.attempt = chunk->attempts;
  assignment.at_ms = draft->core->wall;
  ws_chunk_add(chunk, &assignment);
  ws_amount_add(taken(draft, pick->machine), &job->spec->need, 1);
  g_hash_table_add(draft->joined, GUINT_TO_POINTER(pick->machine));
  g_hash_table_add(draft->lots,
                   (gpointer)ws_replica_machine(draft->core->replica, pick->machine)->lot);
  use_team(draft, job, 1);
  ws_reservations_use(draft->core, job, pick->machine);
  return WS_DRAFT_TAKEN;
}

/* Writing it down. */

/* Ends a job with its last task, in the same transaction. Its chunks of tasks say nothing any more
   and are removed when there is time (ws-garbage.c): each would be one more change. */
static gboolean
write_final(const WsDraft *draft, WsTxn *txn, const WsJob *job, GArray *ending)
{
  guint on;
  guint done = count_after(draft, job, &on);
  gboolean is_done = job->state == WS_JOB_ACTIVE && done == job->tasks;
  if (!is_done && !(job->state == WS_JOB_CANCELLED && on == 0))
    return FALSE;
  g_autofree char *key = ws_key_job(job->id);
  ws_txn_set(txn, key, ws_job_encode_final(job, is_done ? WS_JOB_DONE : WS_JOB_CANCELLED));
  g_array_append_val(ending, job->index);
  return TRUE;
}

/* The rules on zones hang on all of a job's chunks, so all are conditions then. */
static void
condition_on_job(const WsDraft *draft, WsTxn *txn, const WsJob *job)
{
  g_autofree char *key = ws_key_job(job->id);
  ws_txn_if(txn, draft->core->replica, key);
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    if (!all_chunks_matter(job) && find_work(draft, job->index, c) == NULL)
      continue;
    g_autofree char *chunk = ws_key_chunk(job->id, c);
    ws_txn_if(txn, draft->core->replica, chunk);
  }
}

static void
write_job(const WsDraft *draft, WsTxn *txn, const WsJob *job, GArray *ending)
{
  condition_on_job(draft, txn, job);
  if (write_final(draft, txn, job, ending))
    return;
  for (guint i = 0; i < draft->works->len; i++) {
    const Work *work = g_ptr_array_index(draft->works, i);
    if (work->job != job->index)
      continue;
    g_autofree char *key = ws_key_chunk(job->id, work->index);
    ws_txn_set(txn, key, ws_chunk_encode(work->chunk, draft->core->replica));
  }
}

/* Compared and set in every transaction, also where the use comes out the same: that is what fences
   a late transaction of this very leader. */
static void
write_team_use(const WsDraft *draft, WsTxn *txn)
{
  const WsSettings *settings = draft->core->settings;
  for (guint group = 0; group < ws_team_use_groups(settings); group++) {
    if (!draft->touched[group])
      continue;
    g_autofree char *key = ws_team_use_key(group);
    ws_txn_if(txn, draft->core->replica, key);
    ws_txn_set(txn, key, ws_team_use_encode(settings, group, draft->use));
  }
}

WsTxn *
ws_draft_write(const WsDraft *draft, GArray *ending)
{
  WsCore *core = draft->core;
  WsTxn *txn = ws_txn_new();
  GHashTableIter iter;
  gpointer machine, lot;
  ws_txn_if(txn, core->replica, WS_KEY_EPOCH);
  g_hash_table_iter_init(&iter, draft->joined);
  while (g_hash_table_iter_next(&iter, &machine, NULL)) {
    g_autofree char *mark
        = ws_key(WS_KEYS_MARK, ws_replica_machine(core->replica, GPOINTER_TO_UINT(machine))->name);
    ws_txn_if_version(txn, mark, 0);
  }
  /* Carried out late, after the machine was marked and returned, its mark is absent once more: but
     its lot has changed, and never becomes again what it was. */
  g_hash_table_iter_init(&iter, draft->lots);
  while (g_hash_table_iter_next(&iter, &lot, NULL)) {
    g_autofree char *key = ws_key(WS_KEYS_LOT, lot);
    ws_txn_if(txn, core->replica, key);
  }
  for (guint i = 0; i < draft->works->len; i++) {
    const Work *work = g_ptr_array_index(draft->works, i);
    gboolean first = TRUE;
    for (guint k = 0; k < i; k++)
      first = first && ((Work *)g_ptr_array_index(draft->works, k))->job != work->job;
    if (first)
      write_job(draft, txn, ws_replica_job(core->replica, work->job), ending);
  }
  write_team_use(draft, txn);
  return txn;
}

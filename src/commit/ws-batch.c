/* Which releases and assignments a transaction takes, and what it writes.

   A team's use and its tasks' records change in one transaction, whose conditions are the epoch,
   the jobs, and the marks of the machines: one that is being given back gets nothing new. */
#include "commit/ws-batch.h"
#include "commit/ws-commit.h"

#include "store/ws-store.h"
#include "storage/ws-team-use.h"
#include "storage/ws-gang-phase.h"
#include "storage/ws-constraints.h"

/* The state service takes 64 KiB; the rest is for the job's own records and for conditions. */
#define MAX_TXN_BYTES 40000
#define BYTES_PER_TEAM 64
#define BYTES_PER_TASK 60
#define BYTES_PER_CHUNK 400
#define CONDITIONS_PER_OPERATION 4

/* A chunk as the transaction leaves it. */
typedef struct {
  WsJobIndex job;
  guint index;
  WsChunk *chunk;
} Work;

struct _WsBatch {
  WsCore *core;
  GPtrArray *works;          /* of Work */
  WsResources *use;          /* of each team, as the transaction leaves it */
  gboolean *touched;         /* by record of teams' use */
  GHashTable *room;          /* machine index -> WsResources taken by this batch */
  GHashTable *joined;        /* index of each machine that gets a task */
  GPtrArray *rental_batches; /* of interned names: the rental batches that name them, each once, in
                                the order in which their machines got tasks */
  gboolean is_of_one_job;
  guint max_operations;
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

WsBatch *
ws_batch_new(WsCore *core)
{
  guint teams = core->settings->teams->len;
  WsBatch *batch = g_new0(WsBatch, 1);
  batch->core = core;
  batch->works = g_ptr_array_new_with_free_func(work_free);
  batch->use = g_memdup2(core->replica->team_use, sizeof(WsResources) * MAX(teams, 1u));
  batch->touched = g_new0(gboolean, ws_team_use_groups(core->settings));
  batch->room = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  batch->joined = g_hash_table_new(NULL, NULL);
  batch->rental_batches = g_ptr_array_new();
  batch->max_operations = core->settings->state_txn_ops;
  batch->conditions = 1; /* the epoch */
  return batch;
}

void
ws_batch_set_max_operations(WsBatch *batch, guint max_operations)
{
  batch->max_operations = max_operations;
}

void
ws_batch_restrict_to_one_job(WsBatch *batch)
{
  batch->is_of_one_job = TRUE;
}

void
ws_batch_add_jobs(const WsBatch *batch, GArray *jobs)
{
  for (guint i = 0; i < batch->works->len; i++) {
    const Work *work = g_ptr_array_index(batch->works, i);
    gboolean is_known = FALSE;
    for (guint k = 0; k < jobs->len; k++)
      is_known = is_known || g_array_index(jobs, guint, k) == work->job;
    if (!is_known)
      g_array_append_val(jobs, work->job);
  }
}

void
ws_batch_free(WsBatch *batch)
{
  g_ptr_array_unref(batch->works);
  g_free(batch->use);
  g_free(batch->touched);
  g_hash_table_unref(batch->room);
  g_hash_table_unref(batch->joined);
  g_ptr_array_unref(batch->rental_batches);
  g_free(batch);
}

gboolean
ws_batch_is_empty(const WsBatch *batch)
{
  return batch->works->len == 0;
}

static Work *
find_work(const WsBatch *batch, WsJobIndex job, guint index)
{
  for (guint i = 0; i < batch->works->len; i++) {
    Work *work = g_ptr_array_index(batch->works, i);
    if (work->job == job && work->index == index)
      return work;
  }
  return NULL;
}

static const WsChunk *
chunk_after(const WsBatch *batch, const WsJob *job, guint index)
{
  const Work *work = find_work(batch, job->index, index);
  return work != NULL ? work->chunk : ws_job_chunk(job, index * WS_CHUNK_TASKS);
}

/* What is done and what is on machines, as the batch leaves it. */
static guint
count_after(const WsBatch *batch, const WsJob *job, guint *on)
{
  guint done = 0;
  *on = 0;
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    const WsChunk *chunk = chunk_after(batch, job, c);
    if (chunk == NULL)
      continue;
    done += chunk->completed_count;
    *on += chunk->assignments->len;
  }
  return done;
}

static gboolean
all_chunks_matter(const WsJob *job)
{
  return job->spec->one_zone || job->spec->spread;
}

static guint
count_works(const WsBatch *batch, const WsJob *job)
{
  guint count = 0;
  for (guint i = 0; i < batch->works->len; i++)
    count += ((const Work *)g_ptr_array_index(batch->works, i))->job == job->index ? 1 : 0;
  return count;
}

/* Takes room in the transaction for one more change of the task's chunk, or says that there is
   none. A job that this change ends has its own record written, and none of its chunks. */
static gboolean
reserve(WsBatch *batch, const WsJob *job, guint task, const WsMachine *joins, gboolean ends)
{
  const WsSettings *settings = batch->core->settings;
  guint index = task / WS_CHUNK_TASKS;
  gboolean is_new_record = !batch->touched[ws_team_use_group(settings, job->team)];
  gint ops = is_new_record ? 1 : 0;
  if (batch->is_of_one_job && batch->works->len > count_works(batch, job))
    return FALSE;
  guint conditions = is_new_record ? 1 : 0;
  guint bytes = BYTES_PER_TASK + (is_new_record ? BYTES_PER_TEAM * settings->teams->len : 0);
  if (find_work(batch, job->index, index) == NULL) {
    const WsChunk *chunk = ws_job_chunk(job, task);
    ops += ends ? 0 : 1;
    conditions += 1 + (all_chunks_matter(job) ? ws_job_chunk_count(job) : 1);
    bytes += BYTES_PER_CHUNK + BYTES_PER_TASK * (chunk != NULL ? chunk->assignments->len : 0);
  }
  if (joins != NULL && !g_hash_table_contains(batch->joined, GUINT_TO_POINTER(joins->index)))
    conditions++;
  if (joins != NULL && !g_ptr_array_find(batch->rental_batches, joins->rental_batch, NULL))
    conditions++;
  if (ends)
    ops += 1 - (gint)count_works(batch, job);
  if ((gint)batch->ops + ops > (gint)batch->max_operations
      || batch->conditions + conditions > CONDITIONS_PER_OPERATION * settings->state_txn_ops
      || batch->bytes + bytes > MAX_TXN_BYTES)
    return FALSE;
  batch->ops = (guint)((gint)batch->ops + ops);
  batch->conditions += conditions;
  batch->bytes += bytes;
  return TRUE;
}

static WsChunk *
open_chunk(WsBatch *batch, const WsJob *job, guint task)
{
  guint index = task / WS_CHUNK_TASKS;
  Work *work = find_work(batch, job->index, index);
  if (work == NULL) {
    work = g_new0(Work, 1);
    *work = (Work){ job->index, index, ws_chunk_copy(ws_job_chunk(job, task)) };
    g_ptr_array_add(batch->works, work);
  }
  return work->chunk;
}

static void
use_team(WsBatch *batch, const WsJob *job, gint64 times)
{
  batch->touched[ws_team_use_group(batch->core->settings, job->team)] = TRUE;
  ws_resources_add(&batch->use[job->team], &job->spec->need, times);
}

static WsResources *
taken(WsBatch *batch, WsMachineIndex machine)
{
  WsResources *amount = g_hash_table_lookup(batch->room, GUINT_TO_POINTER(machine));
  if (amount == NULL) {
    amount = g_new0(WsResources, 1);
    g_hash_table_insert(batch->room, GUINT_TO_POINTER(machine), amount);
  }
  return amount;
}

/* Whether the release leaves the job with nothing to do. */
static gboolean
ends_job(const WsBatch *batch, const WsJob *job, gboolean done)
{
  guint on;
  guint done_after = count_after(batch, job, &on) + (done ? 1 : 0);
  if (ws_job_is_gang(job) && done && job->state == WS_JOB_ACTIVE)
    return TRUE; /* a gang's tasks are done together */
  return job->state == WS_JOB_ACTIVE ? done_after == job->tasks : on == 1;
}

/* The last attempt of the job as the batch leaves it. */
static guint64
last_attempt(const WsBatch *batch, const WsJob *job)
{
  guint64 last = 0;
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    const WsChunk *chunk = chunk_after(batch, job, c);
    last = MAX(last, chunk != NULL ? chunk->last_attempt : 0);
  }
  return last;
}

static void
release_task(WsBatch *batch, const WsJob *job, WsChunk *chunk, guint task, WsMachineIndex machine)
{
  ws_resources_add(taken(batch, machine), &job->spec->need, -1);
  ws_chunk_remove(chunk, task);
  use_team(batch, job, -1);
}

/* The tasks of a gang complete together: when one is done, all are. */
static void
finish_gang(WsBatch *batch, const WsJob *job)
{
  for (guint task = 0; task < job->tasks; task++) {
    WsChunk *chunk = open_chunk(batch, job, task);
    const WsAssignment *assignment = ws_chunk_find(chunk, task);
    if (assignment != NULL)
      release_task(batch, job, chunk, task, assignment->machine);
    ws_chunk_set_done(chunk, task);
  }
}

static void
log_release(const WsCore *core, const WsRelease *release)
{
  g_autofree char *text = ws_release_describe(core->replica, release);
  g_debug("a transaction of epoch %" G_GUINT64_FORMAT " releases %s", core->replica->epoch.number,
          text);
}

WsBatchResult
ws_batch_release(WsBatch *batch, const WsRelease *release)
{
  const WsJob *job = ws_replica_job(batch->core->replica, release->job);
  if (!ws_release_holds(batch->core->replica, release))
    return WS_BATCH_REJECTED; /* written already, somebody else's by now, or its evidence is over */
  const WsAssignment *assignment = ws_job_assignment(job, release->task);
  if (ws_chunk_find(chunk_after(batch, job, release->task / WS_CHUNK_TASKS), release->task) == NULL)
    return WS_BATCH_ADDED; /* by this very transaction: its use is given back once */
  if (!reserve(batch, job, release->task, NULL, ends_job(batch, job, release->done)))
    return WS_BATCH_FULL;
  log_release(batch->core, release);
  if (ws_job_is_gang(job) && release->done && job->state == WS_JOB_ACTIVE) {
    finish_gang(batch, job);
    return WS_BATCH_ADDED;
  }
  WsChunk *chunk = open_chunk(batch, job, release->task);
  release_task(batch, job, chunk, release->task, assignment->machine);
  if (ws_job_is_gang(job))
    chunk->last_attempt = last_attempt(batch, job) + 1;
  if (release->done)
    ws_chunk_set_done(chunk, release->task);
  return WS_BATCH_ADDED;
}

/* Picks. */

static void
count_zones(const WsBatch *batch, const WsJob *job, guint *counts)
{
  const WsReplica *replica = batch->core->replica;
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    const WsChunk *chunk = chunk_after(batch, job, c);
    for (guint i = 0; chunk != NULL && i < chunk->assignments->len; i++) {
      const WsAssignment *assignment = &g_array_index(chunk->assignments, WsAssignment, i);
      WsZoneIndex zone = ws_replica_machine(replica, assignment->machine)->zone;
      if (zone != WS_NO_ZONE)
        counts[zone]++;
    }
  }
}

static gboolean
machine_has_room(WsBatch *batch, const WsMachine *machine, const WsJob *job)
{
  WsResources room = ws_replica_type(batch->core->replica, machine->type)->capacity;
  ws_resources_add(&room, &machine->used, -1);
  ws_resources_add(&room, taken(batch, machine->index), -1);
  return ws_resources_fit(&job->spec->need, &room);
}

/* What was freed for a more urgent job isn't given away. */
static gboolean
leaves_reserved(WsBatch *batch, const WsMachine *machine, const WsJob *job)
{
  if (!batch->core->handlers->has_reservations(batch->core))
    return TRUE;
  WsResources left = ws_replica_type(batch->core->replica, machine->type)->capacity;
  WsResources use = batch->use[job->team];
  ws_resources_add(&left, &machine->used, -1);
  ws_resources_add(&left, taken(batch, machine->index), -1);
  ws_resources_add(&left, &job->spec->need, -1);
  ws_resources_add(&use, &job->spec->need, 1);
  guint tasks_on;
  (void)count_after(batch, job, &tasks_on);
  return batch->core->handlers->allows_assignment(batch->core, job, tasks_on + 1, machine->index,
                                                  &left, &use);
}

static gboolean
zone_has_room(const WsBatch *batch, const WsJob *job, WsZoneIndex zone)
{
  guint zones = batch->core->settings->zones->len;
  if (!all_chunks_matter(job))
    return TRUE;
  g_autofree guint *counts = g_new0(guint, zones);
  count_zones(batch, job, counts);
  return ws_constraints_allow_zone(job, counts, zones, zone);
}

/* Whether the record of the task's chunk takes one more assignment. */
static gboolean
record_has_place(const WsBatch *batch, const WsJob *job, guint task)
{
  return ws_chunk_free_places(chunk_after(batch, job, task / WS_CHUNK_TASKS), batch->core->replica)
         > 0;
}

static gboolean
still_wanted(WsBatch *batch, const WsJob *job, const WsProposal *proposal)
{
  const WsMachine *machine = ws_replica_machine(batch->core->replica, proposal->machine);
  return job->state == WS_JOB_ACTIVE && job->spec != NULL && job->team != WS_NO_TEAM
         && proposal->task < job->tasks
         && !ws_job_task_done(job, proposal->task)
         /* not even in this very transaction: two nodes may ask for the same task */
         && ws_chunk_find(chunk_after(batch, job, proposal->task / WS_CHUNK_TASKS), proposal->task)
                == NULL
         && ws_job_assignment(job, proposal->task) == NULL && !ws_gang_is_ending(job)
         && record_has_place(batch, job, proposal->task) && machine->is_recorded
         && !machine->is_marked && !machine->fleet.mark_is_pending
         && ws_constraints_allow_machine(batch->core->replica, job->spec, job->zone, machine)
         && machine_has_room(batch, machine, job)
         && ws_team_has_room(batch->core->settings, job->team, &batch->use[job->team],
                             &job->spec->need)
         && zone_has_room(batch, job, machine->zone) && leaves_reserved(batch, machine, job);
}

/* A gang's tasks share their attempt: that of the tasks which have machines already, or else a new
   one. */
static guint64
next_attempt(const WsBatch *batch, const WsJob *job, const WsChunk *chunk)
{
  guint on;
  if (!ws_job_is_gang(job))
    return chunk->last_attempt + 1;
  (void)count_after(batch, job, &on);
  return last_attempt(batch, job) + (on == 0 ? 1 : 0);
}

static void
add_rental_batch(WsBatch *batch, const WsMachine *machine)
{
  if (!g_ptr_array_find(batch->rental_batches, machine->rental_batch, NULL))
    g_ptr_array_add(batch->rental_batches, (gpointer)machine->rental_batch);
}

WsBatchResult
ws_batch_assign(WsBatch *batch, const WsProposal *proposal)
{
  const WsJob *job = ws_replica_job(batch->core->replica, proposal->job);
  if (!still_wanted(batch, job, proposal))
    return WS_BATCH_REJECTED;
  if (!reserve(batch, job, proposal->task,
               ws_replica_machine(batch->core->replica, proposal->machine), FALSE))
    return WS_BATCH_FULL;
  WsChunk *chunk = open_chunk(batch, job, proposal->task);
  WsAssignment assignment = { .task = proposal->task, .machine = proposal->machine };
  assignment.attempt = next_attempt(batch, job, chunk);
  chunk->last_attempt = assignment.attempt;
  assignment.assigned_ms = batch->core->wall;
  ws_chunk_add(chunk, &assignment);
  ws_resources_add(taken(batch, proposal->machine), &job->spec->need, 1);
  g_hash_table_add(batch->joined, GUINT_TO_POINTER(proposal->machine));
  add_rental_batch(batch, ws_replica_machine(batch->core->replica, proposal->machine));
  use_team(batch, job, 1);
  batch->core->handlers->note_assignment(batch->core, job, proposal->machine);
  return WS_BATCH_ADDED;
}

/* Writing it down. */

/* Ends a job with its last task, in the same transaction. Its chunks of tasks say nothing any more
   and are removed when there is time (ws-garbage.c): each would be one more change. */
static gboolean
write_final(const WsBatch *batch, WsTxn *txn, const WsJob *job, GArray *ending)
{
  guint on;
  guint done = count_after(batch, job, &on);
  gboolean is_done = job->state == WS_JOB_ACTIVE && done == job->tasks;
  if (!is_done && !(job->state == WS_JOB_CANCELLED && on == 0))
    return FALSE;
  g_autofree char *key = ws_key_job(job->id);
  ws_txn_put(txn, key, ws_job_encode_final(job, is_done ? WS_JOB_DONE : WS_JOB_CANCELLED));
  g_array_append_val(ending, job->index);
  return TRUE;
}

/* The rules on zones hang on all of a job's chunks, so all are conditions then. */
static void
condition_on_job(const WsBatch *batch, WsTxn *txn, const WsJob *job)
{
  g_autofree char *key = ws_key_job(job->id);
  ws_txn_compare(txn, batch->core->replica, key);
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    if (!all_chunks_matter(job) && find_work(batch, job->index, c) == NULL)
      continue;
    g_autofree char *chunk = ws_key_chunk(job->id, c);
    ws_txn_compare(txn, batch->core->replica, chunk);
  }
}

static void
write_job(const WsBatch *batch, WsTxn *txn, const WsJob *job, GArray *ending)
{
  condition_on_job(batch, txn, job);
  if (write_final(batch, txn, job, ending))
    return;
  for (guint i = 0; i < batch->works->len; i++) {
    const Work *work = g_ptr_array_index(batch->works, i);
    if (work->job != job->index)
      continue;
    g_autofree char *key = ws_key_chunk(job->id, work->index);
    ws_txn_put(txn, key, ws_chunk_encode(work->chunk, batch->core->replica));
  }
}

/* Compared and set in every transaction, also where the use comes out the same: that is what fences
   a late transaction of this very leader. */
static void
write_team_use(const WsBatch *batch, WsTxn *txn)
{
  const WsSettings *settings = batch->core->settings;
  for (guint group = 0; group < ws_team_use_groups(settings); group++) {
    if (!batch->touched[group])
      continue;
    g_autofree char *key = ws_team_use_key(group);
    ws_txn_compare(txn, batch->core->replica, key);
    ws_txn_put(txn, key, ws_team_use_encode(settings, group, batch->use));
  }
}

WsTxn *
ws_batch_build_txn(const WsBatch *batch, GArray *ending)
{
  WsCore *core = batch->core;
  WsTxn *txn = ws_txn_new();
  GHashTableIter iter;
  gpointer machine;
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  g_hash_table_iter_init(&iter, batch->joined);
  while (g_hash_table_iter_next(&iter, &machine, NULL)) {
    g_autofree char *mark
        = ws_key(WS_KEYS_MARK, ws_replica_machine(core->replica, GPOINTER_TO_UINT(machine))->name);
    ws_txn_compare_version(txn, mark, 0);
  }
  /* Carried out late, after the machine was marked and returned, its mark is absent once more: but
     its rental batch has changed, and never becomes again what it was. */
  for (guint i = 0; i < batch->rental_batches->len; i++) {
    g_autofree char *key
        = ws_key(WS_KEYS_RENTAL_BATCH, g_ptr_array_index(batch->rental_batches, i));
    ws_txn_compare(txn, core->replica, key);
  }
  for (guint i = 0; i < batch->works->len; i++) {
    const Work *work = g_ptr_array_index(batch->works, i);
    gboolean first = TRUE;
    for (guint k = 0; k < i; k++)
      first = first && ((Work *)g_ptr_array_index(batch->works, k))->job != work->job;
    if (first)
      write_job(batch, txn, ws_replica_job(core->replica, work->job), ending);
  }
  write_team_use(batch, txn);
  return txn;
}

/* Adds releases and assignments to a batch: checks them against the limits of a transaction and
   applies them to copies of the records. */
#include "commit/ws-batch.h"

#include "commit/ws-batch-private.h"
#include "commit/ws-job-end.h"
#include "storage/ws-gang-phase.h"
#include "storage/ws-team-use.h"

/* The store accepts 64 KiB. The difference is left for the final records of jobs and for
   conditions, neither of which is included in the estimate. */
#define MAX_ESTIMATED_TXN_BYTES 40000
/* Estimated sizes of encoded items. */
#define BYTES_PER_TEAM 64
#define BYTES_PER_TASK 60
#define BYTES_PER_CHUNK 400
/* The limit on conditions, as a multiple of the limit on operations. */
#define MAX_CONDITIONS_PER_OPERATION 4

/* The cost that a change adds to the transaction. */
typedef struct {
  gint operations; /* negative, if a final record replaces several edited chunks */
  guint conditions;
  guint bytes;
} Cost;

static void
chunk_edit_free(gpointer data)
{
  WsChunkEdit *edit = data;
  ws_chunk_free(edit->chunk);
  g_free(edit);
}

WsBatch *
ws_batch_new(WsCore *core)
{
  guint teams = core->settings->teams->len;
  WsBatch *batch = g_new0(WsBatch, 1);
  batch->core = core;
  batch->edits = g_ptr_array_new_with_free_func(chunk_edit_free);
  batch->team_use = g_memdup2(core->replica->team_use, sizeof(WsResources) * MAX(teams, 1u));
  batch->is_team_use_edited = g_new0(gboolean, ws_team_use_group_count(core->settings));
  batch->machine_use = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  batch->machines = g_hash_table_new(NULL, NULL);
  batch->rental_batches = g_ptr_array_new();
  batch->max_operations = core->settings->kv_max_txn_ops;
  batch->conditions = 1; /* the epoch */
  return batch;
}

void
ws_batch_free(WsBatch *batch)
{
  g_ptr_array_unref(batch->edits);
  g_free(batch->team_use);
  g_free(batch->is_team_use_edited);
  g_hash_table_unref(batch->machine_use);
  g_hash_table_unref(batch->machines);
  g_ptr_array_unref(batch->rental_batches);
  g_free(batch);
}

void
ws_batch_set_max_operations(WsBatch *batch, guint max_operations)
{
  batch->max_operations = max_operations;
}

void
ws_batch_restrict_to_one_job(WsBatch *batch)
{
  batch->is_restricted_to_one_job = TRUE;
}

static gboolean
contains_job(const GArray *jobs, WsJobIndex job)
{
  for (guint i = 0; i < jobs->len; i++)
    if (g_array_index(jobs, guint, i) == job)
      return TRUE;
  return FALSE;
}

void
ws_batch_collect_jobs(const WsBatch *batch, GArray *jobs)
{
  for (guint i = 0; i < batch->edits->len; i++) {
    const WsChunkEdit *edit = g_ptr_array_index(batch->edits, i);
    if (!contains_job(jobs, edit->job))
      g_array_append_val(jobs, edit->job);
  }
}

gboolean
ws_batch_is_empty(const WsBatch *batch)
{
  return batch->edits->len == 0;
}

WsChunkEdit *
ws_batch_find_edit(const WsBatch *batch, WsJobIndex job, guint index)
{
  for (guint i = 0; i < batch->edits->len; i++) {
    WsChunkEdit *edit = g_ptr_array_index(batch->edits, i);
    if (edit->job == job && edit->index == index)
      return edit;
  }
  return NULL;
}

const WsChunk *
ws_batch_chunk(const WsBatch *batch, const WsJob *job, guint index)
{
  const WsChunkEdit *edit = ws_batch_find_edit(batch, job->index, index);
  return edit != NULL ? edit->chunk : ws_job_chunk(job, index * WS_CHUNK_TASKS);
}

WsBatchJobCounts
ws_batch_count_tasks(const WsBatch *batch, const WsJob *job)
{
  WsBatchJobCounts counts = { 0 };
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    const WsChunk *chunk = ws_batch_chunk(batch, job, c);
    if (chunk == NULL)
      continue;
    counts.completed_count += chunk->completed_count;
    counts.assigned_count += chunk->assignments->len;
  }
  return counts;
}

gboolean
ws_batch_depends_on_all_chunks(const WsJob *job)
{
  return job->spec->needs_one_zone || job->spec->must_spread;
}

WsResources *
ws_batch_machine_use(WsBatch *batch, WsMachineIndex machine)
{
  WsResources *use = g_hash_table_lookup(batch->machine_use, GUINT_TO_POINTER(machine));
  if (use == NULL) {
    use = g_new0(WsResources, 1);
    g_hash_table_insert(batch->machine_use, GUINT_TO_POINTER(machine), use);
  }
  return use;
}

/* Limits. */

static guint
count_edits(const WsBatch *batch, const WsJob *job)
{
  guint count = 0;
  for (guint i = 0; i < batch->edits->len; i++)
    if (((const WsChunkEdit *)g_ptr_array_index(batch->edits, i))->job == job->index)
      count++;
  return count;
}

static Cost
team_use_cost(const WsBatch *batch, const WsJob *job)
{
  const WsSettings *settings = batch->core->settings;
  if (batch->is_team_use_edited[ws_team_use_group(settings, job->team)])
    return (Cost){ 0 };
  return (Cost){ .operations = 1, .conditions = 1, .bytes = BYTES_PER_TEAM * settings->teams->len };
}

static Cost
chunk_cost(const WsBatch *batch, const WsJob *job, guint task)
{
  if (ws_batch_find_edit(batch, job->index, task / WS_CHUNK_TASKS) != NULL)
    return (Cost){ 0 };
  const WsChunk *chunk = ws_job_chunk(job, task);
  guint chunk_conditions = ws_batch_depends_on_all_chunks(job) ? ws_job_chunk_count(job) : 1;
  guint assigned_count = chunk != NULL ? chunk->assignments->len : 0;
  return (Cost){ .operations = 1,
                 .conditions = 1 + chunk_conditions,
                 .bytes = BYTES_PER_CHUNK + BYTES_PER_TASK * assigned_count };
}

static guint
machine_conditions(const WsBatch *batch, const WsMachine *machine)
{
  guint count = 0;
  if (!g_hash_table_contains(batch->machines, GUINT_TO_POINTER(machine->index)))
    count++;
  if (!g_ptr_array_find(batch->rental_batches, machine->rental_batch, NULL))
    count++;
  return count;
}

/* If the change ends the job, the final record is written instead of the edited chunks. */
static Cost
change_cost(const WsBatch *batch, const WsJob *job, guint task, const WsMachine *machine,
            gboolean ends_job)
{
  Cost team_use = team_use_cost(batch, job);
  Cost chunk = chunk_cost(batch, job, task);
  gint job_operations = ends_job ? 1 - (gint)count_edits(batch, job) : chunk.operations;
  return (Cost){ .operations = team_use.operations + job_operations,
                 .conditions = team_use.conditions + chunk.conditions
                               + (machine != NULL ? machine_conditions(batch, machine) : 0),
                 .bytes = BYTES_PER_TASK + team_use.bytes + chunk.bytes };
}

/**
 * Adds the cost of a change to the task's chunk, if the limits of the transaction allow it. Returns
 * FALSE, without adding the cost, if they don't.
 *
 * @machine: the machine to which the task is assigned; NULL: the change is a release
 * @ends_job: whether the change ends the job
 */
static gboolean
reserve_cost(WsBatch *batch, const WsJob *job, guint task, const WsMachine *machine,
             gboolean ends_job)
{
  Cost cost = change_cost(batch, job, task, machine, ends_job);
  if (batch->is_restricted_to_one_job && batch->edits->len > count_edits(batch, job))
    return FALSE;
  gint operations = (gint)batch->operations + cost.operations;
  guint conditions = batch->conditions + cost.conditions;
  guint bytes = batch->bytes + cost.bytes;
  if (operations > (gint)batch->max_operations
      || conditions > MAX_CONDITIONS_PER_OPERATION * batch->core->settings->kv_max_txn_ops
      || bytes > MAX_ESTIMATED_TXN_BYTES)
    return FALSE;
  batch->operations = (guint)operations;
  batch->conditions = conditions;
  batch->bytes = bytes;
  return TRUE;
}

/* Changes. */

static WsChunk *
get_editable_chunk(WsBatch *batch, const WsJob *job, guint task)
{
  guint index = task / WS_CHUNK_TASKS;
  WsChunkEdit *edit = ws_batch_find_edit(batch, job->index, index);
  if (edit == NULL) {
    edit = g_new0(WsChunkEdit, 1);
    *edit = (WsChunkEdit){ job->index, index, ws_chunk_copy(ws_job_chunk(job, task)) };
    g_ptr_array_add(batch->edits, edit);
  }
  return edit->chunk;
}

/* Changes the usage of the machine and of the job's team. @tasks: the number of tasks added to the
   machine; negative: removed from it */
static void
adjust_use(WsBatch *batch, const WsJob *job, WsMachineIndex machine, gint64 tasks)
{
  ws_resources_add(ws_batch_machine_use(batch, machine), &job->spec->need, tasks);
  batch->is_team_use_edited[ws_team_use_group(batch->core->settings, job->team)] = TRUE;
  ws_resources_add(&batch->team_use[job->team], &job->spec->need, tasks);
}

/* Returns whether the release of one more of the job's assigned tasks ends the job. */
static gboolean
release_ends_job(const WsBatch *batch, const WsJob *job, gboolean is_completed)
{
  WsBatchJobCounts counts = ws_batch_count_tasks(batch, job);
  WsJobProgress progress
      = { .completed_count = (gint64)counts.completed_count + (is_completed ? 1 : 0),
          .assigned_count = (gint64)counts.assigned_count - 1,
          .has_completed = is_completed };
  return ws_job_ends_after(job, &progress);
}

/* Returns the highest attempt number of the job, including the batch's edits. */
static guint64
highest_attempt(const WsBatch *batch, const WsJob *job)
{
  guint64 highest = 0;
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    const WsChunk *chunk = ws_batch_chunk(batch, job, c);
    highest = MAX(highest, chunk != NULL ? chunk->last_attempt : 0);
  }
  return highest;
}

static void
release_task(WsBatch *batch, const WsJob *job, WsChunk *chunk, guint task, WsMachineIndex machine)
{
  ws_chunk_remove(chunk, task);
  adjust_use(batch, job, machine, -1);
}

/* Completes all tasks of a gang: they complete together, as soon as the first one has. */
static void
complete_gang(WsBatch *batch, const WsJob *job)
{
  for (guint task = 0; task < job->tasks; task++) {
    WsChunk *chunk = get_editable_chunk(batch, job, task);
    const WsAssignment *assignment = ws_chunk_find(chunk, task);
    if (assignment != NULL)
      release_task(batch, job, chunk, task, assignment->machine);
    ws_chunk_set_completed(chunk, task);
  }
}

static void
log_release(const WsCore *core, const WsRelease *release)
{
  g_autofree char *text = ws_release_describe(core->replica, release);
  g_debug("release added to a transaction of epoch %" G_GUINT64_FORMAT ": %s",
          core->replica->epoch.number, text);
}

WsBatchResult
ws_batch_add_release(WsBatch *batch, const WsRelease *release)
{
  const WsJob *job = ws_replica_job(batch->core->replica, release->job);
  if (!ws_release_is_valid(batch->core->replica, release))
    return WS_BATCH_REJECTED; /* already written, of another attempt, or evidence no longer valid */
  const WsAssignment *assignment = ws_job_assignment(job, release->task);
  if (ws_chunk_find(ws_batch_chunk(batch, job, release->task / WS_CHUNK_TASKS), release->task)
      == NULL)
    return WS_BATCH_ADDED; /* already released by this batch: subtract its usage only once */
  gboolean ends_job = release_ends_job(batch, job, release->is_completed);
  if (!reserve_cost(batch, job, release->task, NULL, ends_job))
    return WS_BATCH_FULL;
  log_release(batch->core, release);
  if (ws_job_is_gang(job) && release->is_completed && job->state == WS_JOB_ACTIVE) {
    complete_gang(batch, job);
    return WS_BATCH_ADDED;
  }
  WsChunk *chunk = get_editable_chunk(batch, job, release->task);
  release_task(batch, job, chunk, release->task, assignment->machine);
  if (ws_job_is_gang(job))
    chunk->last_attempt = highest_attempt(batch, job) + 1;
  if (release->is_completed)
    ws_chunk_set_completed(chunk, release->task);
  return WS_BATCH_ADDED;
}

/* Returns the attempt number for an assignment. All tasks of a gang share one attempt number: a new
   assignment takes the number of the tasks already assigned or, if there are none, a new one. */
static guint64
next_attempt(const WsBatch *batch, const WsJob *job, const WsChunk *chunk)
{
  if (!ws_job_is_gang(job))
    return chunk->last_attempt + 1;
  gboolean starts_attempt = ws_batch_count_tasks(batch, job).assigned_count == 0;
  return highest_attempt(batch, job) + (starts_attempt ? 1 : 0);
}

static void
add_machine(WsBatch *batch, const WsMachine *machine)
{
  g_hash_table_add(batch->machines, GUINT_TO_POINTER(machine->index));
  if (!g_ptr_array_find(batch->rental_batches, machine->rental_batch, NULL))
    g_ptr_array_add(batch->rental_batches, (gpointer)machine->rental_batch);
}

WsBatchResult
ws_batch_add_assignment(WsBatch *batch, const WsProposal *proposal)
{
  WsCore *core = batch->core;
  const WsJob *job = ws_replica_job(core->replica, proposal->job);
  const WsMachine *machine = ws_replica_machine(core->replica, proposal->machine);
  if (!ws_batch_allows_assignment(batch, proposal))
    return WS_BATCH_REJECTED;
  if (!reserve_cost(batch, job, proposal->task, machine, FALSE))
    return WS_BATCH_FULL;
  WsChunk *chunk = get_editable_chunk(batch, job, proposal->task);
  WsAssignment assignment = { .task = proposal->task,
                              .machine = proposal->machine,
                              .attempt = next_attempt(batch, job, chunk),
                              .assigned_ms = core->wall_ms };
  chunk->last_attempt = assignment.attempt;
  ws_chunk_add(chunk, &assignment);
  adjust_use(batch, job, proposal->machine, 1);
  add_machine(batch, machine);
  core->handlers->on_assignment_added(core, job, proposal->machine);
  return WS_BATCH_ADDED;
}

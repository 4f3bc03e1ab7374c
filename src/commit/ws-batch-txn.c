/* Builds the transaction of a batch. It is conditional on the versions of the epoch record, of the
   records of the jobs, chunks and team usage that it depends on, and of the machines' rental
   batches, and on the absence of termination marks: a machine that is being terminated must not be
   assigned new tasks. */
#include "commit/ws-batch-private.h"

#include "storage/ws-team-use.h"

/* Adds the condition that no machine has a termination mark. */
static void
compare_machines(const WsBatch *batch, WsTxn *txn)
{
  GHashTableIter iter;
  gpointer machine;
  g_hash_table_iter_init(&iter, batch->machines);
  while (g_hash_table_iter_next(&iter, &machine, NULL)) {
    const char *name = ws_replica_machine(batch->core->replica, GPOINTER_TO_UINT(machine))->name;
    g_autofree char *key = ws_key(WS_KEY_PREFIX_MARK, name);
    ws_txn_compare_version(txn, key, 0);
  }
}

/* Adds the condition that the machines' rental batches are unchanged. If the store applies the
   transaction late, a machine may have been marked and returned in the meantime. Its mark is then
   absent again, but the version of its rental batch has changed. */
static void
compare_rental_batches(const WsBatch *batch, WsTxn *txn)
{
  for (guint i = 0; i < batch->rental_batches->len; i++) {
    g_autofree char *key
        = ws_key(WS_KEY_PREFIX_RENTAL_BATCH, g_ptr_array_index(batch->rental_batches, i));
    ws_txn_compare(txn, batch->core->replica, key);
  }
}

static void
compare_job(const WsBatch *batch, WsTxn *txn, const WsJob *job)
{
  g_autofree char *job_key = ws_key_job(job->id);
  ws_txn_compare(txn, batch->core->replica, job_key);
  for (guint c = 0; c < ws_job_chunk_count(job); c++) {
    if (!ws_batch_depends_on_all_chunks(job) && ws_batch_find_edit(batch, job->index, c) == NULL)
      continue;
    g_autofree char *chunk_key = ws_key_chunk(job->id, c);
    ws_txn_compare(txn, batch->core->replica, chunk_key);
  }
}

/* Writes the final record of the job and appends the job to @ended_jobs, if the transaction
   completes the last task of an active job or releases the last assigned task of a cancelled one.
   Returns whether it does. The job's chunk records become garbage and are deleted later
   (ws-garbage.c), because each deletion would cost this transaction an operation. */
static gboolean
put_final_record(const WsBatch *batch, WsTxn *txn, const WsJob *job, GArray *ended_jobs)
{
  WsBatchJobCounts counts = ws_batch_count_tasks(batch, job);
  gboolean is_done = job->state == WS_JOB_ACTIVE && counts.completed_count == job->tasks;
  gboolean is_cancelled = job->state == WS_JOB_CANCELLED && counts.assigned_count == 0;
  if (!is_done && !is_cancelled)
    return FALSE;
  g_autofree char *key = ws_key_job(job->id);
  ws_txn_put(txn, key, ws_job_encode_final(job, is_done ? WS_JOB_DONE : WS_JOB_CANCELLED));
  g_array_append_val(ended_jobs, job->index);
  return TRUE;
}

static void
put_chunks(const WsBatch *batch, WsTxn *txn, const WsJob *job)
{
  for (guint i = 0; i < batch->edits->len; i++) {
    const WsChunkEdit *edit = g_ptr_array_index(batch->edits, i);
    if (edit->job != job->index)
      continue;
    g_autofree char *key = ws_key_chunk(job->id, edit->index);
    ws_txn_put(txn, key, ws_chunk_encode(edit->chunk, batch->core->replica));
  }
}

/* Compares and writes the usage of the teams concerned in every transaction, even if the usage is
   unchanged. The new version makes an earlier transaction of the same leader fail if the store
   applies it late. */
static void
put_team_use(const WsBatch *batch, WsTxn *txn)
{
  const WsSettings *settings = batch->core->settings;
  for (guint group = 0; group < ws_team_use_group_count(settings); group++) {
    if (!batch->is_team_use_edited[group])
      continue;
    g_autofree char *key = ws_team_use_key(group);
    ws_txn_compare(txn, batch->core->replica, key);
    ws_txn_put(txn, key, ws_team_use_encode(settings, group, batch->team_use));
  }
}

WsTxn *
ws_batch_build_txn(const WsBatch *batch, GArray *ended_jobs)
{
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, batch->core->replica, WS_KEY_EPOCH);
  compare_machines(batch, txn);
  compare_rental_batches(batch, txn);
  g_autoptr(GArray) jobs = g_array_new(FALSE, FALSE, sizeof(guint));
  ws_batch_collect_jobs(batch, jobs);
  for (guint i = 0; i < jobs->len; i++) {
    const WsJob *job = ws_replica_job(batch->core->replica, g_array_index(jobs, guint, i));
    compare_job(batch, txn, job);
    if (!put_final_record(batch, txn, job, ended_jobs))
      put_chunks(batch, txn, job);
  }
  put_team_use(batch, txn);
  return txn;
}

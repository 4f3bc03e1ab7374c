/* The transaction of a batch. Its conditions are the epoch, the jobs, the teams' use, and the marks
   and rental batches of the machines: one that is being terminated gets nothing new. */
#include "commit/ws-batch-private.h"

#include "storage/ws-team-use.h"

/* The termination mark of each machine must be absent. */
static void
compare_machines(const WsBatch *batch, WsTxn *txn)
{
  GHashTableIter iter;
  gpointer machine;
  g_hash_table_iter_init(&iter, batch->machines);
  while (g_hash_table_iter_next(&iter, &machine, NULL)) {
    const char *name = ws_replica_machine(batch->core->replica, GPOINTER_TO_UINT(machine))->name;
    g_autofree char *key = ws_key(WS_KEYS_MARK, name);
    ws_txn_compare_version(txn, key, 0);
  }
}

/* If the transaction is carried out late, after a machine was marked and returned, its mark is
   absent again, but its rental batch has another version. */
static void
compare_rental_batches(const WsBatch *batch, WsTxn *txn)
{
  for (guint i = 0; i < batch->rental_batches->len; i++) {
    g_autofree char *key
        = ws_key(WS_KEYS_RENTAL_BATCH, g_ptr_array_index(batch->rental_batches, i));
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

/* Puts the final record of a job whose last task the transaction releases. The records of its
   chunks are garbage from then on, and are deleted later (ws-garbage.c): here each would cost an
   operation. FALSE: the job goes on. */
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

/* Compared and set in every transaction, even if the use is unchanged: this fences a late
   transaction of the same leader. */
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

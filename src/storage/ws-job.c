/* Access to a job's chunks and assignments. */
#include "storage/ws-job.h"

guint
ws_job_chunk_count(const WsJob *job)
{
  return (job->tasks + WS_CHUNK_TASKS - 1) / WS_CHUNK_TASKS;
}

WsChunk *
ws_job_chunk(const WsJob *job, guint task)
{
  guint chunk = task / WS_CHUNK_TASKS;
  return chunk < job->chunks->len ? g_ptr_array_index(job->chunks, chunk) : NULL;
}

WsAssignment *
ws_job_assignment(const WsJob *job, guint task)
{
  return ws_chunk_find(ws_job_chunk(job, task), task);
}

void
ws_assignment_iter_init(WsAssignmentIter *iter, const WsJob *job)
{
  *iter = (WsAssignmentIter){ .job = job };
}

WsAssignment *
ws_assignment_iter_next(WsAssignmentIter *iter)
{
  for (; iter->chunk < iter->job->chunks->len; iter->chunk++) {
    const WsChunk *chunk = g_ptr_array_index(iter->job->chunks, iter->chunk);
    if (chunk != NULL && iter->position < chunk->assignments->len)
      return &g_array_index(chunk->assignments, WsAssignment, iter->position++);
    iter->position = 0;
  }
  return NULL;
}

guint64
ws_job_last_attempt(const WsJob *job)
{
  guint64 last = 0;
  for (guint c = 0; c < job->chunks->len; c++) {
    const WsChunk *chunk = g_ptr_array_index(job->chunks, c);
    last = MAX(last, chunk != NULL ? chunk->last_attempt : 0);
  }
  return last;
}

gboolean
ws_job_is_task_completed(const WsJob *job, guint task)
{
  return ws_chunk_is_completed(ws_job_chunk(job, task), task);
}

/* The rule that decides when a job ends. */
#include "commit/ws-job-end.h"

#include "storage/ws-gang-phase.h"

gboolean
ws_job_ends_after(const WsJob *job, const WsJobProgress *progress)
{
  if (job->state != WS_JOB_ACTIVE)
    return progress->assigned_count == 0;
  if (ws_job_is_gang(job) && progress->has_completed)
    return TRUE;
  return progress->completed_count == job->tasks;
}

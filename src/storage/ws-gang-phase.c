/* The phase of a gang's current attempt. */
#include "storage/ws-gang-phase.h"

gboolean
ws_job_is_gang(const WsJob *job)
{
  return job->spec != NULL && job->spec->kind == WS_KIND_GANG;
}

typedef gboolean (*AssignmentPredicate)(const WsAssignment *assignment, guint64 last_attempt);

static gboolean
is_of_older_attempt(const WsAssignment *assignment, guint64 last_attempt)
{
  return assignment->attempt < last_attempt;
}

static gboolean
is_stopping(const WsAssignment *assignment, guint64 last_attempt)
{
  (void)last_attempt;
  return assignment->is_stop_requested || assignment->state == WS_TASK_SAVING;
}

static gboolean
is_running(const WsAssignment *assignment, guint64 last_attempt)
{
  (void)last_attempt;
  return assignment->state == WS_TASK_RUNNING;
}

static gboolean
is_not_ready(const WsAssignment *assignment, guint64 last_attempt)
{
  (void)last_attempt;
  return assignment->state < WS_TASK_GATHERING;
}

static gboolean
has_assignment(const WsJob *job, AssignmentPredicate predicate)
{
  guint64 last_attempt = ws_job_last_attempt(job);
  WsAssignmentIter iter;
  ws_assignment_iter_init(&iter, job);
  const WsAssignment *assignment;
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL)
    if (predicate(assignment, last_attempt))
      return TRUE;
  return FALSE;
}

WsGangPhase
ws_gang_phase(const WsJob *job)
{
  if (job->assigned_count == 0)
    return WS_GANG_WAITING;
  if (has_assignment(job, is_of_older_attempt))
    return WS_GANG_ENDING;
  if (has_assignment(job, is_stopping))
    return WS_GANG_STOPPING;
  if (has_assignment(job, is_running))
    return WS_GANG_RUNNING;
  return job->assigned_count < job->tasks || has_assignment(job, is_not_ready) ? WS_GANG_LAUNCHED
                                                                               : WS_GANG_GATHERING;
}

gboolean
ws_gang_is_ending(const WsJob *job)
{
  return ws_job_is_gang(job) && has_assignment(job, is_of_older_attempt);
}

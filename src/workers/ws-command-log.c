/**
 * Log lines that say what a decision about a task on a worker rests on.
 */
#include "workers/ws-workers-private.h"

#include "commit/ws-commit.h"
#include "storage/ws-fencing.h"

void
ws_command_log_halt(const WsCore *core, const WsMachine *machine, const WsTaskStatus *task)
{
  const WsReplica *replica = core->replica;
  g_autofree char *job_key = ws_key_job(task->job);
  g_autofree char *chunk_key = ws_key_chunk(task->job, task->task / WS_CHUNK_TASKS);
  g_info("halting task %s/%u on machine %s: attempt %" G_GUINT64_FORMAT
         " is not assigned to it at revision %" G_GUINT64_FORMAT ", epoch %" G_GUINT64_FORMAT
         " (job record version %" G_GUINT64_FORMAT ", chunk record version %" G_GUINT64_FORMAT ")",
         task->job, task->task, machine->name, task->attempt, replica->revision,
         replica->epoch.number, ws_replica_version(replica, job_key),
         ws_replica_version(replica, chunk_key));
}

void
ws_command_log_reap(const WsCore *core, const WsMachine *machine, const WsHeartbeat *heartbeat,
                    const WsTaskStatus *task)
{
  const WsReplica *replica = core->replica;
  g_autofree char *chunk_key = ws_key_chunk(task->job, task->task / WS_CHUNK_TASKS);
  g_info("reaping task %s/%u on machine %s: attempt %" G_GUINT64_FORMAT
         " is not assigned to it at revision %" G_GUINT64_FORMAT
         " (chunk record version %" G_GUINT64_FORMAT "); heartbeat %" G_GUINT64_FORMAT
         " has fencing token %" G_GUINT64_FORMAT ", the answer %" G_GUINT64_FORMAT,
         task->job, task->task, machine->name, task->attempt, replica->revision,
         ws_replica_version(replica, chunk_key), heartbeat->sequence, heartbeat->fencing_token,
         ws_fencing_token(replica, machine));
}

void
ws_command_log_absence(const WsCore *core, const WsMachine *machine, const WsHeartbeat *heartbeat,
                       const WsJob *job, const WsAssignment *assignment)
{
  if (ws_releases_is_pending(core, job, assignment))
    return;
  g_info("task %s/%u is not on machine %s and won't be launched: attempt %" G_GUINT64_FORMAT
         "; heartbeat %" G_GUINT64_FORMAT " of incarnation %" G_GUINT64_FORMAT
         " has fencing token %" G_GUINT64_FORMAT ", epoch %" G_GUINT64_FORMAT,
         job->id, assignment->task, machine->name, assignment->attempt, heartbeat->sequence,
         heartbeat->incarnation, heartbeat->fencing_token, core->replica->epoch.number);
}

/**
 * The effect of each kind of peer request. Requests that name unknown jobs or machines are ignored:
 * their senders repeat them.
 */
#include "membership/ws-peer-request-handlers.h"

#include "membership/ws-membership.h"

static WsJob *
find_open_job(const WsCore *core, const WsPeerRequest *request)
{
  WsJob *job = request->job != NULL ? ws_replica_find_job(core->replica, request->job) : NULL;
  return job != NULL && job->spec != NULL ? job : NULL;
}

/* Returns the open job of the request if it has the task; else NULL. */
static WsJob *
find_job_of_task(const WsCore *core, const WsPeerRequest *request)
{
  WsJob *job = find_open_job(core, request);
  return job != NULL && request->task >= 0 && request->task < (gint64)job->tasks ? job : NULL;
}

static WsMachine *
find_machine(const WsCore *core, const WsPeerRequest *request)
{
  return request->machine != NULL ? ws_replica_find_machine(core->replica, request->machine) : NULL;
}

static void
log_rejected_release(const WsCore *core, const WsRelease *release)
{
  g_autofree char *text = ws_release_describe(core->replica, release);
  g_debug("release rejected in epoch %" G_GUINT64_FORMAT ", evidence not valid: %s",
          core->replica->epoch.number, text);
}

static void
handle_release(WsCore *core, const WsPeerRequest *request)
{
  const WsJob *job = find_job_of_task(core, request);
  if (job == NULL)
    return;
  WsRelease release = request->release;
  release.job = job->index;
  release.task = (guint)request->task;
  if (!request->has_evidence)
    core->handlers->handle_legacy_release(core, &release);
  else if (ws_release_is_valid(core->replica, &release))
    core->handlers->handle_release(core, &release);
  else
    log_rejected_release(core, &release);
}

static void
handle_assignment(WsCore *core, const WsPeerRequest *request)
{
  const WsJob *job = find_job_of_task(core, request);
  const WsMachine *machine = find_machine(core, request);
  if (job != NULL && machine != NULL)
    core->handlers->handle_assignment(core, job->index, (guint)request->task, machine->index);
}

static void
handle_reservation(WsCore *core, const WsPeerRequest *request)
{
  const WsJob *job = find_open_job(core, request);
  if (job == NULL || request->machine == NULL || request->tasks <= 0
      || request->tasks > WS_MAX_TASKS)
    return;
  const WsMachine *machine = find_machine(core, request);
  if (machine != NULL || *request->machine == '\0')
    core->handlers->handle_reservation(core, job, machine != NULL ? machine->index : WS_NO_MACHINE,
                                       (guint)request->tasks);
}

static void
handle_mark(WsCore *core, const WsPeerRequest *request)
{
  WsMachine *machine = find_machine(core, request);
  if (machine != NULL && request->reason != NULL)
    core->handlers->request_termination(core, machine, request->reason, request->is_immediate);
}

static void
handle_stop(WsCore *core, const WsPeerRequest *request)
{
  WsJob *job = find_job_of_task(core, request);
  WsAssignment *assignment = job != NULL ? ws_job_assignment(job, (guint)request->task) : NULL;
  if (assignment == NULL || assignment->is_stop_requested || assignment->attempt != request->attempt
      || !ws_owns_machine(core, ws_replica_machine(core->replica, assignment->machine)))
    return;
  assignment->is_stop_requested = TRUE;
  core->handlers->halt_task(core, job, assignment);
}

static void
handle_kind(WsCore *core, const WsPeerRequestBatch *batch, WsPeerRequestKind kind)
{
  static void (*const HANDLERS[])(WsCore *, const WsPeerRequest *) = {
    [WS_PEER_REQUEST_STOP] = handle_stop,
    [WS_PEER_REQUEST_RELEASE] = handle_release,
    [WS_PEER_REQUEST_RESERVATION] = handle_reservation,
    [WS_PEER_REQUEST_ASSIGNMENT] = handle_assignment,
    [WS_PEER_REQUEST_MARK] = handle_mark,
  };
  const GPtrArray *requests = batch->requests[kind];
  for (guint i = 0; requests != NULL && i < requests->len; i++)
    HANDLERS[kind](core, g_ptr_array_index(requests, i));
}

gboolean
ws_peer_request_batch_handle(WsCore *core, const WsPeerRequestBatch *batch)
{
  if (batch == NULL || !ws_is_active_member(core) || batch->epoch != core->replica->epoch.number)
    return FALSE;
  handle_kind(core, batch, WS_PEER_REQUEST_STOP);
  if (!ws_is_leader(core))
    return TRUE;
  for (guint k = WS_PEER_REQUEST_STOP + 1; k < WS_PEER_REQUEST_KIND_COUNT; k++)
    handle_kind(core, batch, (WsPeerRequestKind)k);
  return TRUE;
}

/**
 * Decides on users' requests by the replica. Where it may be older than what another node has
 * written, a linearizable read brings it up to date first.
 */
#include "api/ws-job-api.h"
#include "api/ws-admission.h"

#include "protocol/ws-job-summary.h"
#include "protocol/ws-status-codes.h"
#include "scheduling/ws-scheduling.h"
#include "store/ws-store.h"

#include <string.h>

#define JOBS_PATH "/api/jobs"
#define CANCELLATION "withdraw" /* the last part of the path of a cancellation */
/* A path with more parts below JOBS_PATH than an id and CANCELLATION is unknown. */
#define MAX_PATH_PARTS 3
#define MAX_BODY_BYTES 65536
/* How often the transaction of a request may conflict before its user has to retry. */
#define MAX_TRIES 4
/* Retry-After: after a request that may succeed soon, and while the store is unavailable. */
#define RETRY_AFTER_S 1
#define RETRY_AFTER_OUTAGE_S 2

typedef enum { REQUEST_SUBMIT, REQUEST_POLL, REQUEST_CANCEL } RequestKind;

/* A user's request that hasn't been answered yet. */
typedef struct {
  RequestKind kind;
  char *id;
  WsJobSpec *spec; /* of a submission */
  gpointer handle; /* for ws_answer() */
  guint tries;
  gboolean has_read; /* a linearizable read has succeeded since the request came in */
} UserRequest;

static void decide(WsCore *core, UserRequest *user_request);

static void
user_request_free(UserRequest *user_request)
{
  g_free(user_request->id);
  ws_job_spec_free(user_request->spec);
  g_free(user_request);
}

static void
finish(WsCore *core, UserRequest *user_request, guint status, json_t *body)
{
  ws_answer(core, user_request->handle, status, body, 0);
  user_request_free(user_request);
}

static void
finish_later(WsCore *core, UserRequest *user_request)
{
  ws_answer_retry_later(core, user_request->handle,
                        ws_store_is_available(core) ? RETRY_AFTER_S : RETRY_AFTER_OUTAGE_S);
  user_request_free(user_request);
}

static void
finish_with_reason(WsCore *core, UserRequest *user_request, guint status, const char *reason)
{
  ws_answer_error(core, user_request->handle, status, reason);
  user_request_free(user_request);
}

static WsReportedJobState
user_state(const WsJob *job)
{
  if (job->state == WS_JOB_DONE)
    return WS_REPORTED_STATE_DONE;
  if (job->state == WS_JOB_CANCELLED)
    return WS_REPORTED_STATE_CANCELLED;
  return job->assigned_count > 0 ? WS_REPORTED_STATE_RUNNING : WS_REPORTED_STATE_QUEUED;
}

static void
finish_with_status(WsCore *core, UserRequest *user_request, guint status, const WsJob *job)
{
  WsJobSummary summary
      = { .job_id = job->id,
          .state = user_state(job),
          .done_tasks = job->state == WS_JOB_DONE ? job->tasks : job->completed_count,
          .running_tasks = job->assigned_count };
  finish(core, user_request, status,
         ws_job_summary_encode(&summary, user_request->kind == REQUEST_POLL));
}

static void
on_read(WsCore *core, gboolean is_current, gpointer data)
{
  UserRequest *user_request = data;
  user_request->has_read = user_request->has_read || is_current;
  if (is_current)
    decide(core, user_request);
  else
    finish_later(core, user_request);
}

/* A final state never changes, so it is answered at once. Everything else, and every refusal, is
   decided by a replica that was brought up to date after the request came in, since another node
   may have changed the job. */
static void
decide_after_read(WsCore *core, UserRequest *user_request)
{
  const WsJob *job = ws_replica_find_job(core->replica, user_request->id);
  if (job != NULL && job->state != WS_JOB_ACTIVE)
    decide(core, user_request);
  else
    ws_store_linearizable_read(core, on_read, user_request);
}

/* Decides again after a conflict, or leaves it to the user to do so. */
static void
retry(WsCore *core, UserRequest *user_request)
{
  if (++user_request->tries >= MAX_TRIES)
    finish_later(core, user_request);
  else
    ws_store_linearizable_read(core, on_read, user_request);
}

/* Returns whether the transaction was committed. If not, the request is decided again after a
   conflict, or else its user is asked to retry. */
static gboolean
handle_txn_result(WsCore *core, UserRequest *user_request, WsTxnResult result)
{
  if (result == WS_TXN_CONFLICT)
    retry(core, user_request);
  else if (result != WS_TXN_COMMITTED)
    finish_later(core, user_request);
  return result == WS_TXN_COMMITTED;
}

static void
log_accepted(const WsJobSpec *spec)
{
  g_info("job %s accepted: %u tasks of %s for team %s, estimated %.0f s, due in %.0f s", spec->id,
         spec->tasks, spec->class_name, spec->team, spec->estimate_s, spec->deadline_s);
}

static void
on_submitted(WsCore *core, WsTxnResult result, gpointer data)
{
  UserRequest *user_request = data;
  if (!handle_txn_result(core, user_request, result))
    return;
  log_accepted(user_request->spec);
  core->replan_is_needed = TRUE;
  WsJobSummary summary = { .job_id = user_request->id, .state = WS_REPORTED_STATE_QUEUED };
  finish(core, user_request, WS_HTTP_CREATED, ws_job_summary_encode(&summary, FALSE));
}

static void
accept(WsCore *core, UserRequest *user_request)
{
  WsJob job = { .id = user_request->id, .spec = user_request->spec, .accepted_ms = core->wall };
  WsNodeIndex coordinator = ws_coordinator_choose(core, user_request->spec);
  const char *name
      = coordinator == WS_NO_NODE ? "" : ws_settings_node(core->settings, coordinator)->name;
  g_autofree char *key = ws_key_job(user_request->id);
  WsTxn *txn = ws_txn_new();
  ws_txn_compare_version(txn, key, 0);
  ws_txn_put(txn, key, ws_job_encode(&job, WS_JOB_ACTIVE, name));
  ws_txn_commit(core, txn, WS_REQUEST_USER, on_submitted, user_request);
}

static void
decide_submission(WsCore *core, UserRequest *user_request)
{
  const WsJob *job = ws_replica_find_job(core->replica, user_request->id);
  if (job != NULL) {
    finish_with_status(core, user_request, WS_HTTP_OK, job);
    return;
  }
  if (core->replica->catalog == NULL) {
    finish_later(core, user_request);
    return;
  }
  const char *reason = ws_admission_rejection_reason(core, user_request->spec);
  /* Another node, perhaps of an older version with other rules, may have accepted the job. */
  if (reason != NULL && !user_request->has_read)
    ws_store_linearizable_read(core, on_read, user_request);
  else if (reason != NULL)
    finish_with_reason(core, user_request, WS_HTTP_UNPROCESSABLE_CONTENT, reason);
  else
    accept(core, user_request);
}

static void
on_cancelled(WsCore *core, WsTxnResult result, gpointer data)
{
  UserRequest *user_request = data;
  if (!handle_txn_result(core, user_request, result))
    return;
  const WsJob *job = ws_replica_find_job(core->replica, user_request->id);
  g_info("job %s cancelled", user_request->id);
  finish_with_status(core, user_request, WS_HTTP_OK, job);
}

/* Cancels the job. If it never had an assignment its record is final at once; the transaction then
   depends on the absence of its chunk, since an assignment doesn't change the job's own key. */
static void
cancel(WsCore *core, UserRequest *user_request, const WsJob *job)
{
  WsJob cancelled = *job;
  g_autofree char *key = ws_key_job(job->id);
  g_autofree char *chunk = ws_key_chunk(job->id, 0);
  cancelled.cancelled_ms = core->wall;
  gboolean is_untouched
      = ws_job_chunk_count(job) == 1 && ws_replica_version(core->replica, chunk) == 0;
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, key);
  if (is_untouched)
    ws_txn_compare_version(txn, chunk, 0);
  ws_txn_put(txn, key,
             is_untouched ? ws_job_encode_final(job, WS_JOB_CANCELLED)
                          : ws_job_encode(&cancelled, WS_JOB_CANCELLED, ""));
  ws_txn_commit(core, txn, WS_REQUEST_USER, on_cancelled, user_request);
}

/* Answers the request by the replica as it is now, or begins the transaction for it. */
static void
decide(WsCore *core, UserRequest *user_request)
{
  const WsJob *job = ws_replica_find_job(core->replica, user_request->id);
  if (user_request->kind == REQUEST_SUBMIT)
    decide_submission(core, user_request);
  else if (job == NULL)
    finish_with_reason(core, user_request, WS_HTTP_NOT_FOUND, "no such job");
  else if (user_request->kind == REQUEST_CANCEL && job->state == WS_JOB_ACTIVE)
    cancel(core, user_request, job);
  else
    finish_with_status(core, user_request, WS_HTTP_OK, job);
}

/* Begins to decide a request, after a linearizable read if that is necessary. */
static void
begin(WsCore *core, RequestKind kind, const char *id, WsJobSpec *spec /* taken */, gpointer request)
{
  const WsJob *job = ws_replica_find_job(core->replica, id);
  gboolean is_final = job != NULL && job->state != WS_JOB_ACTIVE;
  if (!ws_store_is_loaded(core) || (!is_final && !ws_store_is_available(core))) {
    ws_answer_retry_later(core, request, RETRY_AFTER_OUTAGE_S);
    ws_job_spec_free(spec);
    return;
  }
  UserRequest *user_request = g_new0(UserRequest, 1);
  *user_request
      = (UserRequest){ .kind = kind, .id = g_strdup(id), .spec = spec, .handle = request };
  /* A new id needs no read: the transaction fails if another node has accepted the same id. */
  if (kind == REQUEST_SUBMIT && job == NULL)
    decide(core, user_request);
  else
    decide_after_read(core, user_request);
}

static void
submit(WsCore *core, const char *body, gsize length, gpointer request)
{
  if (length > MAX_BODY_BYTES) {
    ws_answer_error(core, request, WS_HTTP_BAD_REQUEST, "longer than 64 KiB");
    return;
  }
  g_autoptr(json_t) message = ws_json_parse(body, length);
  g_autoptr(GError) error = NULL;
  WsJobSpec *spec = ws_job_spec_parse(message, &error);
  if (spec == NULL) {
    ws_answer_error(core, request, WS_HTTP_BAD_REQUEST, error->message);
    return;
  }
  begin(core, REQUEST_SUBMIT, spec->id, spec, request);
}

/* The id in JOBS_PATH/ID or JOBS_PATH/ID/CANCELLATION, or NULL. */
static char *
job_id_in_path(const char *path, gboolean *is_cancellation)
{
  if (!g_str_has_prefix(path, JOBS_PATH "/"))
    return NULL;
  g_auto(GStrv) parts = g_strsplit(path + strlen(JOBS_PATH "/"), "/", MAX_PATH_PARTS);
  guint count = g_strv_length(parts);
  *is_cancellation = count == 2 && strcmp(parts[1], CANCELLATION) == 0;
  return count == 1 || *is_cancellation ? g_strdup(parts[0]) : NULL;
}

void
ws_job_api_handle_request(WsCore *core, const char *method, const char *path, const char *body,
                          gsize length, gpointer request)
{
  gboolean is_cancellation = FALSE;
  gboolean is_submission = strcmp(path, JOBS_PATH) == 0;
  g_autofree char *id = job_id_in_path(path, &is_cancellation);
  if (!is_submission && id == NULL)
    ws_answer_error(core, request, WS_HTTP_NOT_FOUND, "no such path");
  else if (strcmp(method, is_submission || is_cancellation ? "POST" : "GET") != 0)
    ws_answer_error(core, request, WS_HTTP_METHOD_NOT_ALLOWED, "not with this method");
  else if (is_submission)
    submit(core, body, length, request);
  else if (!ws_job_id_is_valid(id))
    ws_answer_error(core, request, WS_HTTP_NOT_FOUND, "no such job");
  else
    begin(core, is_cancellation ? REQUEST_CANCEL : REQUEST_POLL, id, NULL, request);
}

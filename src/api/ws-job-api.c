/* Processes users' requests based on the replica. If another node may have written newer data, a
   linearizable read brings the replica up to date first. */
#include "api/ws-job-api.h"
#include "api/ws-admission.h"

#include "protocol/ws-job-summary.h"
#include "protocol/ws-status-codes.h"
#include "scheduling/ws-scheduling.h"
#include "store/ws-store.h"

#include <string.h>

#define JOBS_PATH "/api/jobs"
#define CANCELLATION_SEGMENT "withdraw" /* the last path segment of a cancellation */
/* At most this many segments are split off below JOBS_PATH. Valid paths have one or two. */
#define MAX_PATH_SEGMENTS 3
/* Number of conflicts of a request's transaction after which the user is asked to retry. */
#define MAX_TXN_CONFLICTS 4
/* Retry-After values: while the store is available, and during an outage of the store. */
#define RETRY_AFTER_STORE_AVAILABLE_S 1
#define RETRY_AFTER_STORE_OUTAGE_S 2

typedef enum { REQUEST_SUBMIT, REQUEST_POLL, REQUEST_CANCEL } RequestKind;

/* A user's request that has not been answered yet. */
typedef struct {
  RequestKind kind;
  char *id;
  WsJobSpec *spec; /* only of a submission */
  gpointer handle; /* for ws_answer() */
  guint txn_conflicts;
  gboolean has_fresh_replica; /* a linearizable read has succeeded since the request arrived */
} UserRequest;

static void process_request(WsCore *core, UserRequest *user_request);

static void
user_request_free(UserRequest *user_request)
{
  g_free(user_request->id);
  ws_job_spec_free(user_request->spec);
  g_free(user_request);
}

static void
finish_with_body(WsCore *core, UserRequest *user_request, guint status, json_t *body)
{
  ws_answer(core, user_request->handle, status, body, 0);
  user_request_free(user_request);
}

static void
finish_with_retry_later(WsCore *core, UserRequest *user_request)
{
  ws_answer_retry_later(core, user_request->handle,
                        ws_store_is_available(core) ? RETRY_AFTER_STORE_AVAILABLE_S
                                                    : RETRY_AFTER_STORE_OUTAGE_S);
  user_request_free(user_request);
}

static void
finish_with_error(WsCore *core, UserRequest *user_request, guint status, const char *reason)
{
  ws_answer_error(core, user_request->handle, status, reason);
  user_request_free(user_request);
}

static WsReportedJobState
reported_state(const WsJob *job)
{
  if (job->state == WS_JOB_DONE)
    return WS_REPORTED_STATE_DONE;
  if (job->state == WS_JOB_CANCELLED)
    return WS_REPORTED_STATE_CANCELLED;
  return job->assigned_count > 0 ? WS_REPORTED_STATE_RUNNING : WS_REPORTED_STATE_QUEUED;
}

static void
finish_with_job_status(WsCore *core, UserRequest *user_request, guint status, const WsJob *job)
{
  WsJobSummary summary
      = { .job_id = job->id,
          .state = reported_state(job),
          .done_tasks = job->state == WS_JOB_DONE ? job->tasks : job->completed_count,
          .running_tasks = job->assigned_count };
  finish_with_body(core, user_request, status,
                   ws_job_summary_encode(&summary, user_request->kind == REQUEST_POLL));
}

static void
on_replica_read(WsCore *core, gboolean is_current, gpointer data)
{
  UserRequest *user_request = data;
  user_request->has_fresh_replica = user_request->has_fresh_replica || is_current;
  if (is_current)
    process_request(core, user_request);
  else
    finish_with_retry_later(core, user_request);
}

/* Answers at once if the job has ended, since a final state never changes. Otherwise, also before a
   request is rejected, a linearizable read brings the replica up to date, since another node may
   have changed the job. */
static void
process_after_read(WsCore *core, UserRequest *user_request)
{
  const WsJob *job = ws_replica_find_job(core->replica, user_request->id);
  if (job != NULL && job->state != WS_JOB_ACTIVE)
    process_request(core, user_request);
  else
    ws_store_linearizable_read(core, on_replica_read, user_request);
}

/* Retries the request after a conflict, or asks the user to retry after too many conflicts. */
static void
retry_after_conflict(WsCore *core, UserRequest *user_request)
{
  if (++user_request->txn_conflicts >= MAX_TXN_CONFLICTS)
    finish_with_retry_later(core, user_request);
  else
    ws_store_linearizable_read(core, on_replica_read, user_request);
}

/* Returns whether the transaction was committed. Otherwise retries the request after a conflict,
   and asks the user to retry after any other failure. */
static gboolean
handle_txn_result(WsCore *core, UserRequest *user_request, WsTxnResult result)
{
  if (result == WS_TXN_CONFLICT)
    retry_after_conflict(core, user_request);
  else if (result != WS_TXN_COMMITTED)
    finish_with_retry_later(core, user_request);
  return result == WS_TXN_COMMITTED;
}

static void
log_accepted(const WsJobSpec *spec)
{
  g_info("job %s accepted: %u tasks of %s for team %s, estimated %.0f s, due in %.0f s", spec->id,
         spec->tasks, spec->class_name, spec->team, spec->estimate_s, spec->deadline_s);
}

static void
on_submission_txn_finished(WsCore *core, WsTxnResult result, gpointer data)
{
  UserRequest *user_request = data;
  if (!handle_txn_result(core, user_request, result))
    return;
  log_accepted(user_request->spec);
  core->replan_is_needed = TRUE;
  WsJobSummary summary = { .job_id = user_request->id, .state = WS_REPORTED_STATE_QUEUED };
  finish_with_body(core, user_request, WS_HTTP_CREATED, ws_job_summary_encode(&summary, FALSE));
}

static void
commit_new_job(WsCore *core, UserRequest *user_request)
{
  WsJob job = { .id = user_request->id, .spec = user_request->spec, .accepted_ms = core->wall_ms };
  WsNodeIndex coordinator = ws_coordinator_choose(core, user_request->spec);
  const char *name
      = coordinator == WS_NO_NODE ? "" : ws_settings_node(core->settings, coordinator)->name;
  g_autofree char *key = ws_key_job(user_request->id);
  WsTxn *txn = ws_txn_new();
  ws_txn_compare_version(txn, key, 0);
  ws_txn_put(txn, key, ws_job_encode(&job, WS_JOB_ACTIVE, name));
  ws_txn_commit(core, txn, WS_REQUEST_USER, on_submission_txn_finished, user_request);
}

static void
process_submission(WsCore *core, UserRequest *user_request)
{
  const WsJob *job = ws_replica_find_job(core->replica, user_request->id);
  if (job != NULL) {
    finish_with_job_status(core, user_request, WS_HTTP_OK, job);
    return;
  }
  if (core->replica->catalog == NULL) {
    finish_with_retry_later(core, user_request);
    return;
  }
  const char *reason = ws_admission_rejection_reason(core, user_request->spec);
  /* Another node may have accepted the job, possibly under other rules of an older version. */
  if (reason != NULL && !user_request->has_fresh_replica)
    ws_store_linearizable_read(core, on_replica_read, user_request);
  else if (reason != NULL)
    finish_with_error(core, user_request, WS_HTTP_UNPROCESSABLE_CONTENT, reason);
  else
    commit_new_job(core, user_request);
}

static void
on_cancellation_txn_finished(WsCore *core, WsTxnResult result, gpointer data)
{
  UserRequest *user_request = data;
  if (!handle_txn_result(core, user_request, result))
    return;
  const WsJob *job = ws_replica_find_job(core->replica, user_request->id);
  g_info("job %s cancelled", user_request->id);
  finish_with_job_status(core, user_request, WS_HTTP_OK, job);
}

/* Cancels the job. If the job has a single chunk and none of its tasks was ever assigned, the final
   record is written at once. The transaction is then conditional on the absence of the chunk's
   record, since an assignment changes only that record, not the job's own record. */
static void
commit_cancellation(WsCore *core, UserRequest *user_request, const WsJob *job)
{
  WsJob cancelled = *job;
  g_autofree char *key = ws_key_job(job->id);
  g_autofree char *chunk = ws_key_chunk(job->id, 0);
  cancelled.cancelled_ms = core->wall_ms;
  gboolean was_never_assigned
      = ws_job_chunk_count(job) == 1 && ws_replica_version(core->replica, chunk) == 0;
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, key);
  if (was_never_assigned)
    ws_txn_compare_version(txn, chunk, 0);
  ws_txn_put(txn, key,
             was_never_assigned ? ws_job_encode_final(job, WS_JOB_CANCELLED)
                                : ws_job_encode(&cancelled, WS_JOB_CANCELLED, ""));
  ws_txn_commit(core, txn, WS_REQUEST_USER, on_cancellation_txn_finished, user_request);
}

/* Answers the request from the current replica, or starts its transaction. */
static void
process_request(WsCore *core, UserRequest *user_request)
{
  const WsJob *job = ws_replica_find_job(core->replica, user_request->id);
  if (user_request->kind == REQUEST_SUBMIT)
    process_submission(core, user_request);
  else if (job == NULL)
    finish_with_error(core, user_request, WS_HTTP_NOT_FOUND, "no such job");
  else if (user_request->kind == REQUEST_CANCEL && job->state == WS_JOB_ACTIVE)
    commit_cancellation(core, user_request, job);
  else
    finish_with_job_status(core, user_request, WS_HTTP_OK, job);
}

/* Starts processing a request, after a linearizable read if one is necessary. Takes ownership of
   @spec. */
static void
start_request(WsCore *core, RequestKind kind, const char *id, WsJobSpec *spec, gpointer request)
{
  const WsJob *job = ws_replica_find_job(core->replica, id);
  gboolean is_final = job != NULL && job->state != WS_JOB_ACTIVE;
  if (!ws_store_is_loaded(core) || (!is_final && !ws_store_is_available(core))) {
    ws_answer_retry_later(core, request, RETRY_AFTER_STORE_OUTAGE_S);
    ws_job_spec_free(spec);
    return;
  }
  UserRequest *user_request = g_new0(UserRequest, 1);
  *user_request
      = (UserRequest){ .kind = kind, .id = g_strdup(id), .spec = spec, .handle = request };
  /* A new id needs no read: the transaction conflicts if another node has accepted the same id. */
  if (kind == REQUEST_SUBMIT && job == NULL)
    process_request(core, user_request);
  else
    process_after_read(core, user_request);
}

static WsJobSpec *
parse_submission(const char *body, gsize length, GError **error)
{
  g_autoptr(json_t) message = ws_json_parse_request(body, length, error);
  return message != NULL ? ws_job_spec_parse(message, error) : NULL;
}

static void
handle_submission(WsCore *core, const char *body, gsize length, gpointer request)
{
  g_autoptr(GError) error = NULL;
  WsJobSpec *spec = parse_submission(body, length, &error);
  if (spec == NULL) {
    ws_refusals_record(core, WS_READER_SUBMISSION, error);
    ws_answer_error(core, request, WS_HTTP_BAD_REQUEST, error->message);
    return;
  }
  start_request(core, REQUEST_SUBMIT, spec->id, spec, request);
}

/* Returns the id in JOBS_PATH/ID or JOBS_PATH/ID/CANCELLATION_SEGMENT; NULL for other paths. */
static char *
job_id_in_path(const char *path, gboolean *is_cancellation)
{
  if (!g_str_has_prefix(path, JOBS_PATH "/"))
    return NULL;
  g_auto(GStrv) segments = g_strsplit(path + strlen(JOBS_PATH "/"), "/", MAX_PATH_SEGMENTS);
  guint count = g_strv_length(segments);
  *is_cancellation = count == 2 && strcmp(segments[1], CANCELLATION_SEGMENT) == 0;
  return count == 1 || *is_cancellation ? g_strdup(segments[0]) : NULL;
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
    handle_submission(core, body, length, request);
  else if (!ws_job_id_is_valid(id))
    ws_answer_error(core, request, WS_HTTP_NOT_FOUND, "no such job");
  else
    start_request(core, is_cancellation ? REQUEST_CANCEL : REQUEST_POLL, id, NULL, request);
}

/* Submissions, polls and cancellations. Every one is answered at once or after one current read. */
#include "api/ws-users.h"

#include "store/ws-store.h"
#include "scheduling/ws-scheduling.h"
#include "protocol/ws-field-names.h"
#include "storage/ws-constraints.h"

#include <string.h>

#define JOBS_PATH "/api/jobs"
#define MAX_BODY 65536
#define TRIES 4
/* What a job's record holds beside its submission. */
#define JOB_RECORD_BYTES 160

typedef enum { REQUEST_SUBMIT, REQUEST_POLL, REQUEST_CANCEL } RequestKind;

typedef struct {
  RequestKind kind;
  char *id;
  WsJobSpec *spec; /* of a submission */
  gpointer handle; /* under which it is answered */
  guint tries;
  gboolean has_read; /* the replica was brought up to date since the request came in */
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
end(WsCore *core, UserRequest *user_request, guint status, json_t *body)
{
  ws_answer(core, user_request->handle, status, body, 0);
  user_request_free(user_request);
}

static void
end_later(WsCore *core, UserRequest *user_request)
{
  ws_answer_later(core, user_request->handle, ws_store_is_available(core) ? 1 : 2);
  user_request_free(user_request);
}

static void
end_with_reason(WsCore *core, UserRequest *user_request, guint status, const char *reason)
{
  ws_answer_reason(core, user_request->handle, status, reason);
  user_request_free(user_request);
}

static void
end_with_state(WsCore *core, UserRequest *user_request, guint status, const WsJob *job)
{
  const char *state = job->state == WS_JOB_DONE        ? "done"
                      : job->state == WS_JOB_CANCELLED ? "cancelled"
                      : job->assigned_count > 0        ? "running"
                                                       : "queued";
  guint done = job->state == WS_JOB_DONE ? job->tasks : job->completed_count;
  json_t *body = json_pack("{s:s, s:s}", "id", job->id, W_STATE, state);
  if (user_request->kind == REQUEST_POLL) {
    json_object_set_new(body, "done", json_integer(done));
    json_object_set_new(body, "running", json_integer(job->assigned_count));
  }
  end(core, user_request, status, body);
}

static void
on_current(WsCore *core, gboolean current, gpointer data)
{
  UserRequest *user_request = data;
  user_request->has_read = user_request->has_read || current;
  if (current)
    decide(core, user_request);
  else
    end_later(core, user_request);
}

/* Anything but a final state, and any "no", is answered from a replica brought up to date after
   the request came in: another node may know better. */
static void
decide_from_current(WsCore *core, UserRequest *user_request)
{
  const WsJob *job = ws_replica_find_job(core->replica, user_request->id);
  if (job != NULL && job->state != WS_JOB_ACTIVE)
    decide(core, user_request);
  else
    ws_store_linearizable_read(core, on_current, user_request);
}

static void
try_again(WsCore *core, UserRequest *user_request)
{
  if (++user_request->tries >= TRIES)
    end_later(core, user_request);
  else
    ws_store_linearizable_read(core, on_current, user_request);
}

static void
on_submitted(WsCore *core, WsTxnResult result, gpointer data)
{
  UserRequest *user_request = data;
  if (result == WS_TXN_CONFLICT) {
    try_again(core, user_request);
  } else if (result == WS_TXN_COMMITTED) {
    g_info("job %s accepted: %u tasks of %s for team %s, estimated %.0f s, due in %.0f s",
           user_request->id, user_request->spec->tasks, user_request->spec->class_name,
           user_request->spec->team, user_request->spec->estimate_s,
           user_request->spec->deadline_s);
    core->replan_is_needed = TRUE;
    end(core, user_request, 201,
        json_pack("{s:s, s:s}", "id", user_request->id, W_STATE, "queued"));
  } else {
    end_later(core, user_request);
  }
}

/* Whether the job's record is one that the state service takes, also with what is added later. */
static gboolean
fits_record(const WsCore *core, const WsJobSpec *spec)
{
  g_autoptr(json_t) value = ws_job_spec_encode(spec);
  g_autofree char *text = ws_json_text(value);
  return strlen(text) + JOB_RECORD_BYTES <= core->settings->state_record_bytes;
}

/* Whether all tasks of a gang could ever run at once. */
static gboolean
can_gather(const WsCore *core, const WsJobSpec *spec)
{
  if (spec->kind != WS_KIND_GANG)
    return TRUE;
  gboolean is_torn = spec->one_zone && spec->spread && spec->tasks > 1;
  guint in_record = MIN(spec->tasks, WS_CHUNK_TASKS);
  return !is_torn && in_record <= ws_chunk_free_places(NULL, core->replica);
}

static const WsTeamSettings *
team_settings(const WsCore *core, WsTeamIndex team)
{
  return g_ptr_array_index(core->settings->teams, team);
}

static gboolean
within_limit(const WsJobSpec *spec, const WsTeamSettings *team)
{
  WsResources need = { 0 };
  ws_resources_add(&need, &spec->need, spec->kind == WS_KIND_ARRAY ? 1 : (gint64)spec->tasks);
  return ws_team_allows(team, &need);
}

static gboolean
fits_a_type(const WsCore *core, const WsJobSpec *spec)
{
  for (guint t = 0; t < core->replica->catalog->len; t++) {
    const WsType *type = ws_replica_type(core->replica, t);
    if (ws_constraints_allow_type(spec, type) && ws_resources_fit(&spec->need, &type->capacity))
      return TRUE;
  }
  return FALSE;
}

/* Why the job can never run, or NULL. */
static const char *
never_runs(const WsCore *core, const WsJobSpec *spec)
{
  WsTeamIndex team = ws_replica_find_team(core->replica, spec->team);
  if (team == WS_NO_TEAM)
    return "unknown team";
  if (spec->zone != NULL && ws_replica_find_zone(core->replica, spec->zone) == WS_NONE)
    return "unknown zone";
  if (!fits_a_type(core, spec))
    return "a task fits no allowed machine type";
  if (!fits_record(core, spec))
    return "is longer than the service can store";
  if (!can_gather(core, spec))
    return "its tasks can't all run at the same time";
  if (!within_limit(spec, team_settings(core, team)))
    return "needs more than the team's limit";
  return NULL;
}

static void
accept(WsCore *core, UserRequest *user_request)
{
  WsJob job = { .id = user_request->id, .spec = user_request->spec, .accepted_ms = core->wall };
  guint home = ws_plan_choose_coordinator(core, user_request->spec);
  const char *name = home == WS_NONE ? "" : ws_settings_node(core->settings, home)->name;
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
    end_with_state(core, user_request, 200, job);
    return;
  }
  if (core->replica->catalog == NULL) {
    end_later(core, user_request);
    return;
  }
  const char *reason = never_runs(core, user_request->spec);
  /* Another node, of an older version maybe, may have accepted it by its own rules. */
  if (reason != NULL && !user_request->has_read)
    ws_store_linearizable_read(core, on_current, user_request);
  else if (reason != NULL)
    end_with_reason(core, user_request, 422, reason);
  else
    accept(core, user_request);
}

static void
on_cancelled(WsCore *core, WsTxnResult result, gpointer data)
{
  UserRequest *user_request = data;
  if (result == WS_TXN_CONFLICT) {
    try_again(core, user_request);
    return;
  }
  if (result != WS_TXN_COMMITTED) {
    end_later(core, user_request);
    return;
  }
  WsJob *job = ws_replica_find_job(core->replica, user_request->id);
  g_info("job %s cancelled", user_request->id);
  end_with_state(core, user_request, 200, job);
}

/* A job on which nothing was ever placed shrinks at once; its first chunk is a condition too, for
   an assignment doesn't change the job's own key. */
static void
cancel(WsCore *core, UserRequest *user_request, const WsJob *job)
{
  WsJob cancelled = *job;
  g_autofree char *key = ws_key_job(job->id);
  g_autofree char *chunk = ws_key_chunk(job->id, 0);
  cancelled.cancelled_ms = core->wall;
  gboolean untouched
      = ws_job_chunk_count(job) == 1 && ws_replica_version(core->replica, chunk) == 0;
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, key);
  if (untouched)
    ws_txn_compare_version(txn, chunk, 0);
  ws_txn_put(txn, key,
             untouched ? ws_job_encode_final(job, WS_JOB_CANCELLED)
                       : ws_job_encode(&cancelled, WS_JOB_CANCELLED, ""));
  ws_txn_commit(core, txn, WS_REQUEST_USER, on_cancelled, user_request);
}

static void
decide(WsCore *core, UserRequest *user_request)
{
  const WsJob *job = ws_replica_find_job(core->replica, user_request->id);
  if (user_request->kind == REQUEST_SUBMIT)
    decide_submission(core, user_request);
  else if (job == NULL)
    end_with_reason(core, user_request, 404, "no such job");
  else if (user_request->kind == REQUEST_CANCEL && job->state == WS_JOB_ACTIVE)
    cancel(core, user_request, job);
  else
    end_with_state(core, user_request, 200, job);
}

static void
begin(WsCore *core, RequestKind kind, const char *id, WsJobSpec *spec, gpointer request)
{
  const WsJob *job = ws_replica_find_job(core->replica, id);
  gboolean is_final = job != NULL && job->state != WS_JOB_ACTIVE;
  if (!ws_store_is_loaded(core) || (!is_final && !ws_store_is_available(core))) {
    ws_answer_later(core, request, 2);
    ws_job_spec_free(spec);
    return;
  }
  UserRequest *user_request = g_new0(UserRequest, 1);
  *user_request
      = (UserRequest){ .kind = kind, .id = g_strdup(id), .spec = spec, .handle = request };
  /* A new id needs no read: the transaction itself finds out whether it is new. */
  if (kind == REQUEST_SUBMIT && job == NULL)
    decide(core, user_request);
  else
    decide_from_current(core, user_request);
}

static void
submit(WsCore *core, const char *body, gsize length, gpointer request)
{
  if (length > MAX_BODY) {
    ws_answer_reason(core, request, 400, "longer than 64 KiB");
    return;
  }
  g_autoptr(json_t) message = ws_json_parse(body, length);
  g_autoptr(GError) error = NULL;
  WsJobSpec *spec = ws_job_spec_parse(message, &error);
  if (spec == NULL) {
    ws_answer_reason(core, request, 400, error->message);
    return;
  }
  begin(core, REQUEST_SUBMIT, spec->id, spec, request);
}

/* The id in /api/jobs/ID or /api/jobs/ID/withdraw, or NULL. */
static char *
id_in_path(const char *path, gboolean *is_cancellation)
{
  if (!g_str_has_prefix(path, JOBS_PATH "/"))
    return NULL;
  g_auto(GStrv) parts = g_strsplit(path + strlen(JOBS_PATH "/"), "/", 3);
  guint count = g_strv_length(parts);
  *is_cancellation = count == 2 && strcmp(parts[1], "withdraw") == 0;
  return count == 1 || *is_cancellation ? g_strdup(parts[0]) : NULL;
}

void
ws_users_request(WsCore *core, const char *method, const char *path, const char *body, gsize length,
                 gpointer request)
{
  gboolean is_cancellation = FALSE;
  gboolean is_submission = strcmp(path, JOBS_PATH) == 0;
  g_autofree char *id = id_in_path(path, &is_cancellation);
  if (!is_submission && id == NULL)
    ws_answer_reason(core, request, 404, "no such path");
  else if (strcmp(method, is_submission || is_cancellation ? "POST" : "GET") != 0)
    ws_answer_reason(core, request, 405, "not with this method");
  else if (is_submission)
    submit(core, body, length, request);
  else if (!ws_job_id_valid(id))
    ws_answer_reason(core, request, 404, "no such job");
  else
    begin(core, is_cancellation ? REQUEST_CANCEL : REQUEST_POLL, id, NULL, request);
}

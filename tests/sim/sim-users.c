/**
 * Simulated users: they submit, query and cancel jobs, and check each answer against earlier ones.
 */
#include "sim/sim-private.h"

#include <string.h>

/* Ids have six digits. */
#define ID_COUNT 1000000
#define ID_FACTOR 618033

Job *
sim_find_job(const Sim *sim, const char *id)
{
  for (guint i = 0; i < sim->jobs->len; i++) {
    Job *job = g_ptr_array_index(sim->jobs, i);
    if (strcmp(job->id, id) == 0)
      return job;
  }
  return NULL;
}

/* The user sends the next request in the next tick, unless one is in flight. */
void
sim_user_cancel(Sim *sim, Job *job)
{
  if (job->reported != REPORTED_ACCEPTED)
    return;
  job->cancelling = TRUE;
  if (job->next_request_ms != G_MAXINT64)
    job->next_request_ms = sim->now_ms;
}

static void
send_user_request(Sim *sim, Job *job, const char *method, const char *path, json_t *body)
{
  Call *call = g_new0(Call, 1);
  call->job = job;
  call->method = g_strdup(method);
  call->address = g_strdup_printf("api-%d:1", g_rand_int_range(sim->rand, 0, SIM_NODES));
  call->path = g_strdup(path);
  call->body = json_incref(body);
  sim_send_call(sim, call, 5000);
}

static void
send_malformed_request(Sim *sim, const char *method, const char *path,
                       json_t *body /* takes ownership */, guint expected_status, const char *state)
{
  Call *call = g_new0(Call, 1);
  call->expected_status = expected_status;
  call->expected_state = state;
  call->method = g_strdup(method);
  call->address = g_strdup_printf("api-%d:1", g_rand_int_range(sim->rand, 0, SIM_NODES));
  call->path = g_strdup(path);
  call->body = body;
  sim_send_call(sim, call, 5000);
}

static json_t *
changed_submission(const Job *job, const char *field,
                   json_t *value /* takes ownership; NULL: removes the field */)
{
  json_t *message = json_deep_copy(job->message);
  json_object_set_new(message, "id", json_string("req-999999"));
  if (value != NULL)
    json_object_set_new(message, field, value);
  else
    json_object_del(message, field);
  return message;
}

void
sim_send_malformed_requests(Sim *sim)
{
  if (sim->jobs->len == 0)
    return;
  const Job *random_job
      = g_ptr_array_index(sim->jobs, (guint)g_rand_int_range(sim->rand, 0, (gint32)sim->jobs->len));
  send_malformed_request(sim, "GET", "/api/jobs/req-999999", NULL, 404, NULL);
  send_malformed_request(sim, "POST", "/api/jobs/req-999999/withdraw", NULL, 404, NULL);
  send_malformed_request(sim, "POST", "/api/jobs", changed_submission(random_job, "kusy", NULL),
                         400, NULL);
  send_malformed_request(sim, "POST", "/api/jobs",
                         changed_submission(random_job, "dilna", json_integer(7)), 400, NULL);
  send_malformed_request(sim, "POST", "/api/jobs",
                         changed_submission(random_job, "dilna", json_string("green")), 422, NULL);
  send_malformed_request(sim, "POST", "/api/jobs",
                         changed_submission(random_job, "hala", json_string("z")), 422, NULL);
  send_malformed_request(sim, "POST", "/api/jobs",
                         changed_submission(random_job, "cpus", json_real(500.0)), 422, NULL);
  if (random_job->reported != REPORTED_DONE && random_job->reported != REPORTED_CANCELLED)
    return;
  g_autofree char *withdraw = g_strdup_printf("/api/jobs/%s/withdraw", random_job->id);
  const char *state = random_job->reported == REPORTED_DONE ? "done" : "cancelled";
  send_malformed_request(sim, "POST", withdraw, NULL, 200, state);
  send_malformed_request(sim, "POST", "/api/jobs", json_deep_copy(random_job->message), 200, state);
}

void
sim_step_user(Sim *sim, Job *job)
{
  g_autofree char *path = g_strdup_printf("/api/jobs/%s", job->id);
  g_autofree char *withdraw = g_strconcat(path, "/withdraw", NULL);
  if (sim->now_ms < job->next_request_ms)
    return;
  job->next_request_ms = G_MAXINT64;
  if (job->reported == REPORTED_NONE || sim_draw_chance(sim, 0.1))
    send_user_request(sim, job, "POST", "/api/jobs", job->message);
  else if (job->cancelling && job->reported == REPORTED_ACCEPTED)
    send_user_request(sim, job, "POST", withdraw, NULL);
  else
    send_user_request(sim, job, "GET", path, NULL);
}

/* Records the state in an answer. Checks that a job's state never reverts (went_back), that only
   its user cancels the job, and that all tasks of a job that is done are done (not_done). */
static void
record_reported_state(Sim *sim, Job *job, const char *state)
{
  ReportedState reported = strcmp(state, "done") == 0        ? REPORTED_DONE
                           : strcmp(state, "cancelled") == 0 ? REPORTED_CANCELLED
                                                             : REPORTED_ACCEPTED;
  if (reported < job->reported || (job->reported == REPORTED_DONE && reported != REPORTED_DONE))
    g_error("seed %u, %.1f s: went_back: %s is %s", sim->seed, sim_now_s(sim), job->id, state);
  if (reported == REPORTED_CANCELLED && !job->cancelling)
    g_error("seed %u: nobody cancelled %s", sim->seed, job->id);
  for (guint i = 0; reported == REPORTED_DONE && i < job->spec.tasks; i++)
    if (!job->completed[i])
      g_error("seed %u, %.1f s: not_done: %s/%u", sim->seed, sim_now_s(sim), job->id, i);
  if (reported == REPORTED_CANCELLED && job->reported != REPORTED_CANCELLED)
    job->cancelled_ms = sim->now_ms;
  job->reported = reported;
}

void
sim_user_handle_reply(Sim *sim, Call *call)
{
  Job *job = call->job;
  job->next_request_ms = sim->now_ms + 1500;
  if (call->status == 400 || call->status == 422
      || (call->status == 404 && job->reported > REPORTED_NONE))
    g_error("seed %u, %.1f s: forgotten: %s got %u", sim->seed, sim_now_s(sim), job->id,
            call->status);
  if (call->status == 200 || call->status == 201)
    job->answered_ms = sim->now_ms;
  if (call->status == 200 || call->status == 201)
    record_reported_state(sim, job, json_string_value(json_object_get(call->answer, "stav")));
}

/* The factor has no common divisor with the number of ids, so that no id occurs twice. */
static char *
next_job_id(const Sim *sim)
{
  guint64 number = sim->jobs->len;
  if (sim->has_scattered_job_ids)
    number = number * ID_FACTOR % ID_COUNT;
  return g_strdup_printf("req-%06" G_GUINT64_FORMAT, number);
}

void
sim_scatter_job_ids(Sim *sim)
{
  sim->has_scattered_job_ids = TRUE;
}

void
sim_submit(Sim *sim, const SimJob *spec)
{
  sim_submit_later(sim, spec, 0.0);
}

void
sim_submit_later(Sim *sim, const SimJob *spec, double seconds)
{
  Job *job = g_new0(Job, 1);
  job->id = next_job_id(sim);
  job->spec = *spec;
  job->completed = g_new0(guint8, spec->tasks);
  job->message = json_pack(
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:s, s:f, s:n, s:s?, s:b, s:b, s:b, s:f, s:f,"
      " s:f, s:n}",
      "id", job->id, "trida", spec->service ? "live" : "batch", "dilna", spec->team, "druh",
      spec->gang      ? "group"
      : spec->service ? "service"
                      : "sweep",
      "prednost", spec->priority, "kusy", (int)spec->tasks, "cpus", 8.0, "accelerators", 1.0,
      "mem_gb", 16.0, "obraz", "img-1", "pull_gb", 2.0, "typy", "hala", spec->zone, "one_zone",
      spec->one_zone, "scatter", spec->scatter, "vypujcky", spec->spot, "odhad_s",
      spec->service ? 0.0 : spec->run_s, "zaloha_s", spec->gang ? SIM_CHECKPOINT_INTERVAL_S : 0.0,
      "ulozeni_s", spec->gang ? SIM_SAVE_DURATION_S : 0.0, "termin_s");
  g_assert_nonnull(job->message);
  job->next_request_ms = sim->now_ms + (gint64)(seconds * 1000.0);
  g_ptr_array_add(sim->jobs, job);
}

void
sim_cancel(Sim *sim, guint job)
{
  sim_user_cancel(sim, g_ptr_array_index(sim->jobs, job));
}

void
sim_cancel_at_completion(Sim *sim, double probability)
{
  sim->cancel_at_completion = probability;
}

gboolean
sim_is_reported_cancelled(const Sim *sim, guint job)
{
  return ((Job *)g_ptr_array_index(sim->jobs, job))->reported == REPORTED_CANCELLED;
}

void
sim_cancel_random_job(Sim *sim)
{
  if (sim->jobs->len == 0)
    return;
  Job *job
      = g_ptr_array_index(sim->jobs, (guint)g_rand_int_range(sim->rand, 0, (gint32)sim->jobs->len));
  job->cancelling = job->reported == REPORTED_ACCEPTED || job->cancelling;
}

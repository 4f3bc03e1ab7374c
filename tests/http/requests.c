/**
 * The responses to valid and invalid requests, and that the node reuses its connections.
 */
#include "http/http.h"
#include "ws-random-input.h"

#include <string.h>

static char *
job_text(const char *name, json_t *value)
{
  g_autoptr(GRand) rand = g_rand_new_with_seed(11);
  g_autoptr(json_t) job = ws_gen_submission(rand);
  json_object_set_new(job, "id", json_string("req-000001"));
  json_object_set_new(job, "druh", json_string("sweep"));
  json_object_set_new(job, "accelerators", json_real(1.0));
  json_object_set_new(job, "cpus", json_real(8.0));
  json_object_set_new(job, "mem_gb", json_real(8.0));
  json_object_set_new(job, "typy", json_null());
  json_object_set_new(job, "kusy", json_integer(3));
  json_object_set_new(job, name, value);
  return ws_json_serialize(job);
}

static guint
submit(HttpFixture *fixture, const char *name, json_t *value)
{
  char *text = job_text(name, value);
  guint status = http_send_text(fixture, "POST", "/api/jobs", text);
  free(text);
  return status;
}

static void
check_request_statuses(HttpFixture *fixture)
{
  g_autofree char *long_body = g_strnfill(70000, ' ');
  g_assert_cmpuint(http_send_text(fixture, "POST", "/api/jobs", "no json"), ==, 400);
  g_assert_cmpuint(http_send_text(fixture, "POST", "/api/jobs", "[]"), ==, 400);
  g_assert_cmpuint(http_send_text(fixture, "POST", "/api/jobs", long_body), ==, 400);
  g_assert_cmpuint(submit(fixture, "id", json_string("x")), ==, 400);
  g_assert_cmpuint(submit(fixture, "kusy", json_integer(0)), ==, 400);
  g_assert_cmpuint(submit(fixture, "dilna", json_string("nobody")), ==, 422);
  g_assert_cmpuint(submit(fixture, "cpus", json_real(64.0)), ==, 422);
  g_assert_cmpuint(submit(fixture, "druh", json_string("service")), ==, 201);
  g_assert_cmpuint(http_send_text(fixture, "GET", "/nowhere", NULL), ==, 404);
  g_assert_cmpuint(http_send_text(fixture, "GET", "/api/jobs/req-999999", NULL), ==, 404);
  g_assert_cmpuint(http_send_text(fixture, "GET", "/api/jobs/x%20y", NULL), ==, 404);
  g_assert_cmpuint(http_send_text(fixture, "DELETE", "/api/jobs", NULL), ==, 405);
  g_assert_cmpuint(http_send_text(fixture, "POST", "/api/jobs/req-000001", "{}"), ==, 405);
  g_assert_cmpuint(http_send_text(fixture, "POST", "/v1/report", "{}"), ==, 400);
  g_assert_cmpuint(http_send_text(fixture, "GET", "/v1/report", NULL), ==, 405);
}

static void
check_resubmission_and_withdrawal(HttpFixture *fixture)
{
  json_t *response = NULL;
  g_assert_cmpuint(submit(fixture, "druh", json_string("sweep")), ==, 200); /* same job again */
  g_assert_cmpuint(http_send_request(fixture, "GET", "/api/jobs/req-000001", NULL, 0, &response),
                   ==, 200);
  g_assert_cmpstr(json_string_value(json_object_get(response, "stav")), ==, "queued");
  json_decref(response);
  g_assert_cmpuint(http_send_text(fixture, "POST", "/api/jobs/req-000001/withdraw", NULL), ==, 200);
  g_assert_cmpuint(http_send_request(fixture, "GET", "/api/jobs/req-000001", NULL, 0, &response),
                   ==, 200);
  g_assert_cmpstr(json_string_value(json_object_get(response, "stav")), ==, "cancelled");
  json_decref(response);
}

void
test_requests_get_expected_status_over_reused_connections(void)
{
  HttpFixture *fixture = http_fixture_new(HTTP_FIXTURE_MAX_SOCKETS);
  http_wait_until_ready(fixture);
  http_run_main_loop_for(500); /* until the node has loaded the catalog */
  check_request_statuses(fixture);
  check_resubmission_and_withdrawal(fixture);
  /* The node sends dozens of polls and transactions to the services. libsoup opens a new connection
     for each POST that isn't flagged as idempotent, which used up the sockets of the receiving
     processes. */
  http_run_main_loop_for(2500);
  g_assert_cmpuint(g_hash_table_size(fixture->connections), <=, 8);
  g_autoptr(GError) error = NULL;
  g_assert_null(ws_runtime_new(fixture->settings, fixture->properties, &error));
  g_assert_error(error, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE);
}

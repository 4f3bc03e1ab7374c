/**
 * The real program's runtime on loopback, against simulated services: answers to good and bad
 * requests, and connections that are used again.
 */
#include "protocol/ws-json.h"
#include "runtime/ws-runtime.h"
#include "sim/store.h"
#include "ws-gen.h"
#include "ws-suite.h"

#include <libsoup/soup.h>
#include <string.h>

typedef struct {
  SimStore *store;
  SoupServer *server; /* both services */
  GHashTable *connections;
  WsSettings *settings;
  WsProperties *properties;
  WsRuntime *runtime;
  SoupSession *session;
  char *api;
} Stand;

/* The stand-in services. */

typedef struct {
  SoupServerMessage *message;
} Held;

static void
on_state(gpointer data, guint status, json_t *body)
{
  Held *held = data;
  g_autofree char *text = ws_json_serialize(body);
  soup_server_message_set_status(held->message, status, NULL);
  soup_server_message_set_response(held->message, "application/json", SOUP_MEMORY_COPY, text,
                                   strlen(text));
  soup_server_message_unpause(held->message);
  g_object_unref(held->message);
  json_decref(body);
  g_free(held);
}

static const char CATALOG[]
    = "{\"typy\":[{\"sku\":\"g4\",\"cpus\":32,\"accelerators\":4,\"mem_gb\":64,\"local_gb\":100,"
      "\"pull_gb_per_s\":1.0,\"price\":8.0,\"low_price\":3.0,\"boot_s\":8,\"haly\":[\"a\"]}]}";

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
           gpointer data)
{
  (void)server;
  (void)query;
  Stand *stand = data;
  g_hash_table_add(stand->connections, soup_server_message_get_socket(message));
  g_autoptr(GBytes) bytes
      = soup_message_body_flatten(soup_server_message_get_request_body(message));
  gsize length;
  const char *text = g_bytes_get_data(bytes, &length);
  if (strcmp(path, "/catalog") == 0) {
    soup_server_message_set_status(message, 200, NULL);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_STATIC, CATALOG,
                                     strlen(CATALOG));
    return;
  }
  if (strcmp(path, "/machines") == 0) {
    soup_server_message_set_status(message, 503, NULL);
    return;
  }
  GUri *uri = soup_server_message_get_uri(message);
  g_autofree char *full = g_uri_get_query(uri) != NULL
                              ? g_strdup_printf("%s?%s", path, g_uri_get_query(uri))
                              : g_strdup(path);
  g_autoptr(json_t) body = ws_json_parse(text, length);
  Held *held = g_new0(Held, 1);
  held->message = g_object_ref(message);
  soup_server_message_pause(message);
  sim_store_request(stand->store, g_get_monotonic_time() / 1000,
                    soup_server_message_get_method(message), full, body, on_state, held);
}

static gboolean
on_tick(gpointer data)
{
  Stand *stand = data;
  sim_store_tick(stand->store, g_get_monotonic_time() / 1000, FALSE);
  return G_SOURCE_CONTINUE;
}

/* The program. */

static guint
free_port(void)
{
  g_autoptr(GSocketListener) listener = g_socket_listener_new();
  guint port = g_socket_listener_add_any_inet_port(listener, NULL, NULL);
  g_socket_listener_close(listener);
  return port;
}

static json_t *
settings_message(guint api, guint mesh, guint services)
{
  g_autofree char *api_addr = g_strdup_printf("127.0.0.1:%u", api);
  g_autofree char *mesh_addr = g_strdup_printf("127.0.0.1:%u", mesh);
  g_autofree char *service = g_strdup_printf("127.0.0.1:%u", services);
  json_t *params = json_pack(
      "{s:[s], s:[{s:s,s:f,s:f,s:f,s:f}], s:{s:f,s:f,s:f}, s:{s:f,s:f,s:f,s:i}, s:{s:f,s:f},"
      " s:{s:i}}",
      "zones", "a", "teams", "name", "vision", "cpus", 0.0, "cpus_max", 0.0, "gpus", 4.0,
      "gpus_max", 6.0, "workers", "report_s", 2.0, "lease_s", 12.0, "cancel_s", 30.0, "state",
      "rps", 200.0, "write_rps", 80.0, "value_kb", 16.0, "txn_ops", 16, "cloud", "rps", 4.0,
      "list_lag_s", 4.0, "limits", "max_sockets", 1000);
  return json_pack("{s:s, s:s, s:s, s:s, s:[], s:{s:s, s:s}, s:o}", "node_name", "n0", "zone", "a",
                   "api_addr", api_addr, "mesh_addr", mesh_addr, "peers", "services", "cloud",
                   service, "state", service, "params", params);
}

static Stand *
stand_new(void)
{
  Stand *stand = g_new0(Stand, 1);
  guint services = free_port(), api = free_port(), mesh = free_port();
  g_autoptr(GError) error = NULL;
  stand->store = sim_store_new();
  stand->connections = g_hash_table_new(NULL, NULL);
  stand->server = soup_server_new(NULL, NULL);
  soup_server_add_handler(stand->server, NULL, on_request, stand, NULL);
  g_assert_true(
      soup_server_listen_local(stand->server, services, SOUP_SERVER_LISTEN_IPV4_ONLY, &error));
  g_autoptr(json_t) message = settings_message(api, mesh, services);
  stand->settings = ws_settings_parse(message, &error);
  g_assert_no_error(error);
  stand->properties = ws_properties_new();
  stand->runtime = ws_runtime_new(stand->settings, stand->properties, &error);
  g_assert_no_error(error);
  stand->session = soup_session_new();
  stand->api = g_strdup_printf("http://127.0.0.1:%u", api);
  g_timeout_add(50, on_tick, stand);
  return stand;
}

/* A request of ours. */

typedef struct {
  GMainLoop *loop;
  GBytes *bytes;
} Wait;

static void
on_answer(GObject *source, GAsyncResult *result, gpointer data)
{
  Wait *wait = data;
  wait->bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
  g_main_loop_quit(wait->loop);
}

static guint
ask(Stand *stand, const char *method, const char *path, const char *body, gsize length,
    json_t **answer)
{
  g_autofree char *url = g_strconcat(stand->api, path, NULL);
  g_autoptr(SoupMessage) message = soup_message_new(method, url);
  if (body != NULL) {
    g_autoptr(GBytes) bytes = g_bytes_new(body, length);
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  }
  Wait wait = { g_main_loop_new(NULL, FALSE), NULL };
  soup_session_send_and_read_async(stand->session, message, G_PRIORITY_DEFAULT, NULL, on_answer,
                                   &wait);
  g_main_loop_run(wait.loop);
  g_main_loop_unref(wait.loop);
  g_assert_nonnull(wait.bytes);
  gsize size;
  const char *text = g_bytes_get_data(wait.bytes, &size);
  if (answer != NULL)
    *answer = ws_json_parse(text, size);
  g_bytes_unref(wait.bytes);
  return soup_message_get_status(message);
}

static guint
send_text(Stand *stand, const char *method, const char *path, const char *body)
{
  return ask(stand, method, path, body, body != NULL ? strlen(body) : 0, NULL);
}

static gboolean
on_late(gpointer data)
{
  g_main_loop_quit(data);
  return G_SOURCE_REMOVE;
}

static void
pass(guint ms)
{
  g_autoptr(GMainLoop) loop = g_main_loop_new(NULL, FALSE);
  g_timeout_add(ms, on_late, loop);
  g_main_loop_run(loop);
}

static void
wait_ready(Stand *stand)
{
  for (guint i = 0; i < 100 && send_text(stand, "GET", "/ready", NULL) != 200; i++)
    pass(50);
  g_assert_cmpuint(send_text(stand, "GET", "/ready", NULL), ==, 200);
}

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
submit(Stand *stand, const char *name, json_t *value)
{
  char *text = job_text(name, value);
  guint status = send_text(stand, "POST", "/api/jobs", text);
  free(text);
  return status;
}

static void
check_refusals(Stand *stand)
{
  g_autofree char *long_body = g_strnfill(70000, ' ');
  g_assert_cmpuint(send_text(stand, "POST", "/api/jobs", "no json"), ==, 400);
  g_assert_cmpuint(send_text(stand, "POST", "/api/jobs", "[]"), ==, 400);
  g_assert_cmpuint(send_text(stand, "POST", "/api/jobs", long_body), ==, 400);
  g_assert_cmpuint(submit(stand, "id", json_string("x")), ==, 400);
  g_assert_cmpuint(submit(stand, "kusy", json_integer(0)), ==, 400);
  g_assert_cmpuint(submit(stand, "dilna", json_string("nobody")), ==, 422);
  g_assert_cmpuint(submit(stand, "cpus", json_real(64.0)), ==, 422);
  g_assert_cmpuint(submit(stand, "druh", json_string("service")), ==, 201);
  g_assert_cmpuint(send_text(stand, "GET", "/nowhere", NULL), ==, 404);
  g_assert_cmpuint(send_text(stand, "GET", "/api/jobs/req-999999", NULL), ==, 404);
  g_assert_cmpuint(send_text(stand, "GET", "/api/jobs/x%20y", NULL), ==, 404);
  g_assert_cmpuint(send_text(stand, "DELETE", "/api/jobs", NULL), ==, 405);
  g_assert_cmpuint(send_text(stand, "POST", "/api/jobs/req-000001", "{}"), ==, 405);
  g_assert_cmpuint(send_text(stand, "POST", "/v1/report", "{}"), ==, 400);
  g_assert_cmpuint(send_text(stand, "GET", "/v1/report", NULL), ==, 405);
}

static void
check_job(Stand *stand)
{
  json_t *answer = NULL;
  g_assert_cmpuint(submit(stand, "druh", json_string("sweep")), ==, 200); /* known by now */
  g_assert_cmpuint(ask(stand, "GET", "/api/jobs/req-000001", NULL, 0, &answer), ==, 200);
  g_assert_cmpstr(json_string_value(json_object_get(answer, "stav")), ==, "queued");
  json_decref(answer);
  g_assert_cmpuint(send_text(stand, "POST", "/api/jobs/req-000001/withdraw", NULL), ==, 200);
  g_assert_cmpuint(ask(stand, "GET", "/api/jobs/req-000001", NULL, 0, &answer), ==, 200);
  g_assert_cmpstr(json_string_value(json_object_get(answer, "stav")), ==, "cancelled");
  json_decref(answer);
}

static void
test_all(void)
{
  Stand *stand = stand_new();
  wait_ready(stand);
  pass(500); /* the catalog is there */
  check_refusals(stand);
  check_job(stand);
  /* Polls and transactions by the dozen went over a handful of connections: libsoup opens one for
     each POST that isn't flagged as repeatable, and the peers' sockets ran out. */
  pass(2500);
  g_assert_cmpuint(g_hash_table_size(stand->connections), <=, 8);
  g_autoptr(GError) error = NULL;
  g_assert_null(ws_runtime_new(stand->settings, stand->properties, &error));
  g_assert_error(error, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE);
}

static const WsTest TESTS[] = {
  { "/http/all", test_all },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

/**
 * A node with real HTTP on loopback, and the simulated services that it calls.
 */
#include "http/http.h"

#include <string.h>

/* The simulated services. */

typedef struct {
  SoupServerMessage *message;
} PendingStoreRequest;

static void
on_store_response(gpointer data, guint status, json_t *body)
{
  PendingStoreRequest *pending = data;
  g_autofree char *text = ws_json_serialize(body);
  soup_server_message_set_status(pending->message, status, NULL);
  soup_server_message_set_response(pending->message, "application/json", SOUP_MEMORY_COPY, text,
                                   strlen(text));
  soup_server_message_unpause(pending->message);
  g_object_unref(pending->message);
  json_decref(body);
  g_free(pending);
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
  HttpFixture *fixture = data;
  g_hash_table_add(fixture->connections, soup_server_message_get_socket(message));
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
  PendingStoreRequest *pending = g_new0(PendingStoreRequest, 1);
  pending->message = g_object_ref(message);
  soup_server_message_pause(message);
  sim_store_request(fixture->store, g_get_monotonic_time() / 1000,
                    soup_server_message_get_method(message), full, body, on_store_response,
                    pending);
}

static gboolean
on_store_tick(gpointer data)
{
  HttpFixture *fixture = data;
  sim_store_tick(fixture->store, g_get_monotonic_time() / 1000, FALSE);
  return G_SOURCE_CONTINUE;
}

/* The node under test. */

static guint
find_free_port(void)
{
  g_autoptr(GSocketListener) listener = g_socket_listener_new();
  guint port = g_socket_listener_add_any_inet_port(listener, NULL, NULL);
  g_socket_listener_close(listener);
  return port;
}

static json_t *
settings_message(guint api_port, guint peer_port, guint service_port, guint max_sockets)
{
  g_autofree char *api_addr = g_strdup_printf("127.0.0.1:%u", api_port);
  g_autofree char *peer_addr = g_strdup_printf("127.0.0.1:%u", peer_port);
  g_autofree char *service = g_strdup_printf("127.0.0.1:%u", service_port);
  json_t *params = json_pack(
      "{s:[s], s:[{s:s,s:f,s:f,s:f,s:f}], s:{s:f,s:f,s:f}, s:{s:f,s:f,s:f,s:i}, s:{s:f,s:f},"
      " s:{s:i}}",
      "zones", "a", "teams", "name", "vision", "cpus", 0.0, "cpus_max", 0.0, "gpus", 4.0,
      "gpus_max", 6.0, "workers", "report_s", 2.0, "lease_s", 12.0, "cancel_s", 30.0, "state",
      "rps", 200.0, "write_rps", 80.0, "value_kb", 16.0, "txn_ops", 16, "cloud", "rps", 4.0,
      "list_lag_s", 4.0, "limits", "max_sockets", (int)max_sockets);
  return json_pack("{s:s, s:s, s:s, s:s, s:[], s:{s:s, s:s}, s:o}", "node_name", "n0", "zone", "a",
                   "api_addr", api_addr, "mesh_addr", peer_addr, "peers", "services", "cloud",
                   service, "state", service, "params", params);
}

HttpFixture *
http_fixture_new(guint max_sockets)
{
  HttpFixture *fixture = g_new0(HttpFixture, 1);
  guint service_port = find_free_port(), api_port = find_free_port(), peer_port = find_free_port();
  g_autoptr(GError) error = NULL;
  fixture->store = sim_store_new();
  fixture->connections = g_hash_table_new(NULL, NULL);
  fixture->server = soup_server_new(NULL, NULL);
  soup_server_add_handler(fixture->server, NULL, on_request, fixture, NULL);
  g_assert_true(soup_server_listen_local(fixture->server, service_port,
                                         SOUP_SERVER_LISTEN_IPV4_ONLY, &error));
  g_autoptr(json_t) message = settings_message(api_port, peer_port, service_port, max_sockets);
  fixture->settings = ws_settings_parse(message, &error);
  g_assert_no_error(error);
  fixture->properties = ws_properties_new();
  fixture->runtime = ws_runtime_new(fixture->settings, fixture->properties, &error);
  g_assert_no_error(error);
  fixture->session = soup_session_new();
  fixture->api_port = api_port;
  fixture->peer_port = peer_port;
  fixture->api_url = g_strdup_printf("http://127.0.0.1:%u", api_port);
  g_timeout_add(50, on_store_tick, fixture);
  return fixture;
}

/* Requests to the node. */

typedef struct {
  GMainLoop *loop;
  GBytes *bytes;
} PendingResponse;

static void
on_response(GObject *source, GAsyncResult *result, gpointer data)
{
  PendingResponse *pending = data;
  pending->bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
  g_main_loop_quit(pending->loop);
}

guint
http_send_request(HttpFixture *fixture, const char *method, const char *path, const char *body,
                  gsize length, json_t **response)
{
  g_autofree char *url = g_strconcat(fixture->api_url, path, NULL);
  g_autoptr(SoupMessage) message = soup_message_new(method, url);
  if (body != NULL) {
    g_autoptr(GBytes) bytes = g_bytes_new(body, length);
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  }
  PendingResponse pending = { g_main_loop_new(NULL, FALSE), NULL };
  soup_session_send_and_read_async(fixture->session, message, G_PRIORITY_DEFAULT, NULL, on_response,
                                   &pending);
  g_main_loop_run(pending.loop);
  g_main_loop_unref(pending.loop);
  g_assert_nonnull(pending.bytes);
  gsize size;
  const char *text = g_bytes_get_data(pending.bytes, &size);
  if (response != NULL)
    *response = ws_json_parse(text, size);
  g_bytes_unref(pending.bytes);
  return soup_message_get_status(message);
}

guint
http_send_text(HttpFixture *fixture, const char *method, const char *path, const char *body)
{
  return http_send_request(fixture, method, path, body, body != NULL ? strlen(body) : 0, NULL);
}

static gboolean
on_delay_elapsed(gpointer data)
{
  g_main_loop_quit(data);
  return G_SOURCE_REMOVE;
}

void
http_run_main_loop_for(guint ms)
{
  g_autoptr(GMainLoop) loop = g_main_loop_new(NULL, FALSE);
  g_timeout_add(ms, on_delay_elapsed, loop);
  g_main_loop_run(loop);
}

void
http_wait_until_ready(HttpFixture *fixture)
{
  for (guint i = 0; i < 100 && http_send_text(fixture, "GET", "/ready", NULL) != 200; i++)
    http_run_main_loop_for(50);
  g_assert_cmpuint(http_send_text(fixture, "GET", "/ready", NULL), ==, 200);
}

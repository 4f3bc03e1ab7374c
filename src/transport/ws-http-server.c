/* The HTTP server, built on libmicrohttpd. The library keeps its connections in its own epoll set,
   so that GLib's main loop polls a single descriptor. libsoup's server adds a source to the main
   loop for each connection instead, and the loop checks all sources at every event. With hundreds
   of workers connected, that alone exceeded the CPU budget (docs/results.md). */
#include "transport/ws-http-server.h"

#include "transport/ws-connections.h"

#include <arpa/inet.h>
#include <errno.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <microhttpd.h>
#include <string.h>

/* More of a body than the handler is passed is read and dropped, so that the client gets an answer.
   Beyond this limit the connection is closed. */
#define MAX_DROPPED_BODY_BYTES (4u << 20)
#define OVERDUE_CHECK_INTERVAL_MS 100
#define CLOSED_LOG_INTERVAL_MS 10000
/* Memory per connection. A request's headers must fit into it; bodies are received in parts. */
#define CONNECTION_MEMORY_BYTES 4096
#define RETRY_AFTER_BUFFER_BYTES 16

struct _WsHttpServer {
  struct MHD_Daemon *daemon;
  WsHttpHandler handler;
  gpointer data;
  gsize max_body_bytes;
  WsConnections *connections;
  guint overdue_source;
  WsClosedConnections closed; /* since the last log line about them */
  gint64 closed_logged_ms;
  guint epoll_source;
  guint scheduled_run_source; /* the scheduled call of MHD_run(); 0: none */
};

typedef struct {
  WsHttpRequest base;
  WsHttpServer *server;
  struct MHD_Connection *connection;
  GByteArray *body_bytes;
  gsize header_bytes;
  gsize received_body_bytes;
  gboolean is_chunked;
  struct MHD_Response *response;
  guint status;
  gboolean is_in_handler;
} Request;

/* Returns the client's IP address, which the caller frees. */
static char *
client_address(struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  char address[INET6_ADDRSTRLEN] = "";
  const struct sockaddr *native = info != NULL ? info->client_addr : NULL;
  if (native != NULL && native->sa_family == AF_INET)
    inet_ntop(AF_INET, &((const struct sockaddr_in *)native)->sin_addr, address, sizeof address);
  else if (native != NULL && native->sa_family == AF_INET6)
    inet_ntop(AF_INET6, &((const struct sockaddr_in6 *)native)->sin6_addr, address, sizeof address);
  return g_strdup(address);
}

static Request *
request_new(WsHttpServer *server, struct MHD_Connection *connection, const char *method,
            const char *path)
{
  Request *request = g_new0(Request, 1);
  request->server = server;
  request->connection = connection;
  request->body_bytes = g_byte_array_new();
  request->base.method = g_strdup(method);
  request->base.path = g_strdup(path);
  request->base.sender = client_address(connection);
  request->header_bytes
      = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)->header_size;
  request->is_chunked
      = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_TRANSFER_ENCODING)
        != NULL;
  return request;
}

static void
request_free(Request *request)
{
  if (request->response != NULL)
    MHD_destroy_response(request->response);
  g_byte_array_unref(request->body_bytes);
  g_free((char *)request->base.method);
  g_free((char *)request->base.path);
  g_free((char *)request->base.sender);
  g_free(request);
}

static gint64
now_ms(void)
{
  return g_get_monotonic_time() / G_TIME_SPAN_MILLISECOND;
}

/* Returns the entry of the connection in the server's set, or NULL. */
static WsConnection *
find_connection(struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info != NULL ? info->socket_context : NULL;
}

/* Records what the connection waits for from now on. */
static void
set_phase(WsHttpServer *server, struct MHD_Connection *connection, WsConnectionPhase phase)
{
  WsConnection *entry = find_connection(connection);
  if (entry != NULL)
    ws_connections_set_phase(server->connections, entry, phase, now_ms());
}

/* Returns the size of the request with its headers, if it is known. */
static gsize
request_bytes(const Request *request)
{
  if (request == NULL || request->is_chunked)
    return WS_REQUEST_BYTES_UNKNOWN;
  return request->header_bytes + request->received_body_bytes;
}

static void
on_connection(void *data, struct MHD_Connection *connection, void **state,
              enum MHD_ConnectionNotificationCode code)
{
  WsHttpServer *server = data;
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    int socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    *state = ws_connections_add(server->connections, socket, now_ms());
  } else if (*state != NULL) {
    ws_connections_remove(server->connections, *state);
    *state = NULL;
  }
}

static void
on_completed(void *data, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode reason)
{
  (void)reason;
  WsHttpServer *server = data;
  WsConnection *entry = find_connection(connection);
  if (entry != NULL)
    ws_connections_end_request(server->connections, entry, request_bytes(*state), now_ms());
  if (*state != NULL)
    request_free(*state);
  *state = NULL;
}

static enum MHD_Result
queue_response(Request *request)
{
  set_phase(request->server, request->connection, WS_CONNECTION_ANSWER);
  return MHD_queue_response(request->connection, request->status, request->response);
}

static enum MHD_Result
handle_request(Request *request)
{
  WsHttpServer *server = request->server;
  request->base.body = (const char *)request->body_bytes->data;
  request->base.length = request->body_bytes->len;
  request->is_in_handler = TRUE;
  set_phase(server, request->connection, WS_CONNECTION_HANDLING);
  server->handler(&request->base, server->data);
  request->is_in_handler = FALSE;
  if (request->response != NULL)
    return queue_response(request);
  MHD_suspend_connection(request->connection);
  return MHD_YES;
}

/* Keeps up to one byte more than the limit, by which the handler knows that the body is too large.
 */
static enum MHD_Result
receive_body(Request *request, const char *part, size_t *length)
{
  request->received_body_bytes += *length;
  if (request->received_body_bytes > MAX_DROPPED_BODY_BYTES)
    return MHD_NO; /* closes the connection */
  gsize space = request->server->max_body_bytes + 1 - request->body_bytes->len;
  g_byte_array_append(request->body_bytes, (const guint8 *)part, (guint)MIN(space, *length));
  *length = 0;
  return MHD_YES;
}

/* Called with the headers, with each part of the body, at the end of the body, and when a suspended
   connection is resumed. */
static enum MHD_Result
on_request(void *data, struct MHD_Connection *connection, const char *path, const char *method,
           const char *version, const char *part, size_t *length, void **state)
{
  (void)version;
  Request *request = *state;
  if (request == NULL) {
    *state = request_new(data, connection, method, path);
    set_phase(data, connection, WS_CONNECTION_BODY);
    return MHD_YES;
  }
  if (request->response != NULL)
    return queue_response(request);
  if (*length == 0)
    return handle_request(request);
  return receive_body(request, part, length);
}

static gboolean on_scheduled_run(gpointer data);

static void
schedule_run(WsHttpServer *server)
{
  if (server->scheduled_run_source == 0)
    server->scheduled_run_source
        = g_idle_add_full(G_PRIORITY_DEFAULT, on_scheduled_run, server, NULL);
}

/* MHD_run() may leave pending input unread, for which the epoll descriptor isn't signalled again.
   Another run is scheduled in that case. */
static void
run_daemon(WsHttpServer *server)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;
  MHD_run(server->daemon);
  if (MHD_get_timeout(server->daemon, &timeout_ms) == MHD_YES && timeout_ms == 0)
    schedule_run(server);
}

static gboolean
on_epoll_ready(gint fd, GIOCondition condition, gpointer data)
{
  (void)fd;
  (void)condition;
  run_daemon(data);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_scheduled_run(gpointer data)
{
  WsHttpServer *server = data;
  server->scheduled_run_source = 0;
  run_daemon(server);
  return G_SOURCE_REMOVE;
}

static void
log_closed_connections(WsHttpServer *server)
{
  if (server->closed.slow + server->closed.idle == 0
      || now_ms() - server->closed_logged_ms < CLOSED_LOG_INTERVAL_MS)
    return;
  g_info("HTTP server closed connections: %u slow or half-sent, %u idle", server->closed.slow,
         server->closed.idle);
  server->closed = (WsClosedConnections){ 0 };
  server->closed_logged_ms = now_ms();
}

static gboolean
on_overdue_check(gpointer data)
{
  WsHttpServer *server = data;
  run_daemon(server); /* reads what arrived while this process was busy or paused */
  ws_connections_close_overdue(server->connections, now_ms(), &server->closed);
  log_closed_connections(server);
  run_daemon(server); /* accepts connections again if the limit was reached */
  return G_SOURCE_CONTINUE;
}

static struct MHD_Daemon *
listen_on(WsHttpServer *server, GSocketAddress *address, guint max_connections, GError **error)
{
  struct sockaddr_storage native;
  gssize size = g_socket_address_get_native_size(address);
  if (!g_socket_address_to_native(address, &native, (gsize)size, error))
    return NULL;
  struct MHD_Daemon *daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_SUPPRESS_DATE_NO_CLOCK, 0, NULL, NULL,
      on_request, server, MHD_OPTION_SOCK_ADDR, &native, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
      server, MHD_OPTION_NOTIFY_CONNECTION, on_connection, server, MHD_OPTION_CONNECTION_LIMIT,
      max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_END);
  if (daemon == NULL)
    g_set_error(error, G_IO_ERROR, g_io_error_from_errno(errno), "cannot listen on the address: %s",
                g_strerror(errno));
  return daemon;
}

/* Returns NULL with the error set unless the address is IP:PORT. Host names are not resolved. */
static GSocketAddress *
parse_address(const char *address, GError **error)
{
  g_autoptr(GSocketConnectable) parsed = g_network_address_parse(address, 0, error);
  if (parsed == NULL)
    return NULL;
  GNetworkAddress *network = G_NETWORK_ADDRESS(parsed);
  GSocketAddress *socket = g_inet_socket_address_new_from_string(
      g_network_address_get_hostname(network), g_network_address_get_port(network));
  if (socket == NULL)
    g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an IP address", address);
  return socket;
}

WsHttpServer *
ws_http_server_new(const WsHttpServerOptions *options, WsHttpHandler handler, gpointer data,
                   GError **error)
{
  g_autoptr(GSocketAddress) socket = parse_address(options->address, error);
  if (socket == NULL)
    return NULL;
  WsHttpServer *server = g_new0(WsHttpServer, 1);
  server->handler = handler;
  server->data = data;
  server->max_body_bytes = options->max_body_bytes;
  server->connections = ws_connections_new(options->max_connections, options->idle_timeout_ms);
  server->daemon = listen_on(server, socket, options->max_connections, error);
  if (server->daemon == NULL) {
    ws_connections_free(server->connections);
    g_free(server);
    return NULL;
  }
  server->overdue_source = g_timeout_add(OVERDUE_CHECK_INTERVAL_MS, on_overdue_check, server);
  const union MHD_DaemonInfo *info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  server->epoll_source = g_unix_fd_add(info->epoll_fd, G_IO_IN, on_epoll_ready, server);
  return server;
}

void
ws_http_server_free(WsHttpServer *server)
{
  g_source_remove(server->epoll_source);
  if (server->scheduled_run_source != 0)
    g_source_remove(server->scheduled_run_source);
  g_source_remove(server->overdue_source);
  MHD_stop_daemon(server->daemon);
  ws_connections_free(server->connections);
  g_free(server);
}

void
ws_http_request_respond(WsHttpRequest *base, guint status, const char *body, guint retry_after_s)
{
  Request *request = (Request *)base;
  const char *text = body != NULL ? body : "";
  request->status = status;
  request->response
      = MHD_create_response_from_buffer(strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(request->response, "Content-Type", "application/json");
  if (retry_after_s > 0) {
    char seconds[RETRY_AFTER_BUFFER_BYTES];
    g_snprintf(seconds, sizeof seconds, "%u", retry_after_s);
    MHD_add_response_header(request->response, "Retry-After", seconds);
  }
  if (request->is_in_handler)
    return;
  MHD_resume_connection(request->connection);
  schedule_run(request->server);
}

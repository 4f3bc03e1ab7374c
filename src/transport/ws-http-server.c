/* The HTTP server, built on libmicrohttpd. The library keeps its connections in its own epoll set,
   so that GLib's main loop polls a single descriptor. libsoup's server adds a source to the main
   loop for each connection instead, and the loop checks all sources at every event. With hundreds
   of workers connected, that alone exceeded the CPU budget (docs/results.md). */
#include "transport/ws-http-server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <gio/gio.h>
#include <glib-unix.h>
#include <microhttpd.h>
#include <string.h>

#define MAX_BODY_BYTES (4u << 20)
/* Memory per connection. A request's headers must fit into it; bodies are received in parts. */
#define CONNECTION_MEMORY_BYTES 4096
#define RETRY_AFTER_BUFFER_BYTES 16

struct _WsHttpServer {
  struct MHD_Daemon *daemon;
  WsHttpHandler handler;
  gpointer data;
  guint epoll_source;
  guint scheduled_run_source; /* the scheduled call of MHD_run(); 0: none */
};

typedef struct {
  WsHttpRequest base;
  WsHttpServer *server;
  struct MHD_Connection *connection;
  GByteArray *body_bytes;
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

static void
on_completed(void *data, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode reason)
{
  (void)data;
  (void)connection;
  (void)reason;
  if (*state != NULL)
    request_free(*state);
  *state = NULL;
}

static enum MHD_Result
handle_request(Request *request)
{
  WsHttpServer *server = request->server;
  request->base.body = (const char *)request->body_bytes->data;
  request->base.length = request->body_bytes->len;
  request->is_in_handler = TRUE;
  server->handler(&request->base, server->data);
  request->is_in_handler = FALSE;
  if (request->response != NULL)
    return MHD_queue_response(request->connection, request->status, request->response);
  MHD_suspend_connection(request->connection);
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
    return MHD_YES;
  }
  if (request->response != NULL)
    return MHD_queue_response(connection, request->status, request->response);
  if (*length == 0)
    return handle_request(request);
  if (request->body_bytes->len + *length > MAX_BODY_BYTES)
    return MHD_NO; /* closes the connection; no valid request is that large */
  g_byte_array_append(request->body_bytes, (const guint8 *)part, (guint)*length);
  *length = 0;
  return MHD_YES;
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
      server, MHD_OPTION_CONNECTION_LIMIT, max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_END);
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
ws_http_server_new(const char *address, guint max_connections, WsHttpHandler handler, gpointer data,
                   GError **error)
{
  g_autoptr(GSocketAddress) socket = parse_address(address, error);
  if (socket == NULL)
    return NULL;
  WsHttpServer *server = g_new0(WsHttpServer, 1);
  server->handler = handler;
  server->data = data;
  server->daemon = listen_on(server, socket, max_connections, error);
  if (server->daemon == NULL) {
    g_free(server);
    return NULL;
  }
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
  MHD_stop_daemon(server->daemon);
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

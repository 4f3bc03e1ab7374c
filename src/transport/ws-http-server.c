#include "transport/ws-http-server.h"

#include <libsoup/soup.h>
#include <string.h>

struct _WsHttpServer {
  SoupServer *server;
  WsHttpHandler handler;
  gpointer data;
};

typedef struct {
  WsHttpRequest base;
  SoupServerMessage *message;
  GBytes *bytes;
} Request;

static void
on_request(SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *query,
           gpointer data)
{
  (void)soup;
  (void)query;
  WsHttpServer *server = data;
  Request *request = g_new0(Request, 1);
  request->message = g_object_ref(message);
  request->bytes = soup_message_body_flatten(soup_server_message_get_request_body(message));
  request->base.method = soup_server_message_get_method(message);
  request->base.path = path;
  request->base.body = g_bytes_get_data(request->bytes, &request->base.length);
  soup_server_message_pause(message);
  server->handler(&request->base, server->data);
}

WsHttpServer *
ws_http_server_new(const char *address, WsHttpHandler handler, gpointer data, GError **error)
{
  g_autoptr(GSocketConnectable) parsed = g_network_address_parse(address, 0, error);
  if (parsed == NULL)
    return NULL;
  GNetworkAddress *network = G_NETWORK_ADDRESS(parsed);
  g_autoptr(GSocketAddress) socket = g_inet_socket_address_new_from_string(
      g_network_address_get_hostname(network), g_network_address_get_port(network));
  if (socket == NULL) {
    g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an IP address", address);
    return NULL;
  }
  WsHttpServer *server = g_new0(WsHttpServer, 1);
  server->server = soup_server_new("server-header", NULL, NULL);
  server->handler = handler;
  server->data = data;
  soup_server_add_handler(server->server, NULL, on_request, server, NULL);
  if (!soup_server_listen(server->server, socket, 0, error)) {
    ws_http_server_free(server);
    return NULL;
  }
  return server;
}

void
ws_http_server_free(WsHttpServer *server)
{
  soup_server_disconnect(server->server);
  g_object_unref(server->server);
  g_free(server);
}

void
ws_http_request_answer(WsHttpRequest *base, guint status, const char *body, guint retry_after_s)
{
  Request *request = (Request *)base;
  SoupServerMessage *message = request->message;
  soup_server_message_set_status(message, status, NULL);
  if (body != NULL)
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body,
                                     strlen(body));
  if (retry_after_s > 0) {
    char seconds[16];
    g_snprintf(seconds, sizeof seconds, "%u", retry_after_s);
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Retry-After",
                                 seconds);
  }
  soup_server_message_unpause(message);
  g_object_unref(message);
  g_bytes_unref(request->bytes);
  g_free(request);
}

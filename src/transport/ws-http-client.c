/* The HTTP client, built on libsoup. */
#include "transport/ws-http-client.h"

#include <libsoup/soup.h>
#include <string.h>

#define MIN_CONNECTIONS 16u
/* Keeps a host that doesn't respond from using up all connections. */
#define MAX_CONNECTIONS_PER_HOST 12
#define IDLE_CONNECTION_TIMEOUT_S 30
/* Disables libsoup's timeout: each request has a timer instead. */
#define NO_SOCKET_TIMEOUT 0
#define STATUS_NO_RESPONSE 0

struct _WsHttpClient {
  SoupSession *session;
};

typedef struct {
  SoupMessage *message;
  GCancellable *cancellable;
  guint timer;
  WsHttpResponseFunc done;
  gpointer data;
} PendingRequest;

WsHttpClient *
ws_http_client_new(guint max_connections)
{
  WsHttpClient *client = g_new0(WsHttpClient, 1);
  /* No proxy resolver: the servers have numeric addresses, and the lookup costs time and memory. */
  client->session = soup_session_new_with_options(
      "proxy-resolver", NULL, "max-conns", (int)MAX(max_connections, MIN_CONNECTIONS),
      "max-conns-per-host", MAX_CONNECTIONS_PER_HOST, "idle-timeout", IDLE_CONNECTION_TIMEOUT_S,
      "timeout", NO_SOCKET_TIMEOUT, NULL);
  return client;
}

void
ws_http_client_free(WsHttpClient *client)
{
  soup_session_abort(client->session);
  g_object_unref(client->session);
  g_free(client);
}

static void
pending_request_free(PendingRequest *pending)
{
  g_object_unref(pending->message);
  g_object_unref(pending->cancellable);
  g_free(pending);
}

static gboolean
on_timeout(gpointer data)
{
  PendingRequest *pending = data;
  pending->timer = 0;
  g_cancellable_cancel(pending->cancellable);
  return G_SOURCE_REMOVE;
}

static void
on_response(GObject *source, GAsyncResult *result, gpointer data)
{
  PendingRequest *pending = data;
  g_autoptr(GError) error = NULL;
  g_autoptr(GBytes) bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
  if (pending->timer != 0)
    g_source_remove(pending->timer);
  gsize length = 0;
  const char *body = bytes != NULL ? g_bytes_get_data(bytes, &length) : NULL;
  guint status = bytes != NULL ? soup_message_get_status(pending->message) : STATUS_NO_RESPONSE;
  pending->done(status, body != NULL ? body : "", length, pending->data);
  pending_request_free(pending);
}

void
ws_http_client_send(WsHttpClient *client, const char *method, const char *url, const char *body,
                    guint timeout_ms, WsHttpResponseFunc done, gpointer data)
{
  g_autoptr(SoupMessage) message = soup_message_new(method, url);
  if (message == NULL) {
    g_warning("HTTP request not sent: invalid URL %s", url);
    done(STATUS_NO_RESPONSE, "", 0, data);
    return;
  }
  /* Without SOUP_MESSAGE_IDEMPOTENT libsoup opens a new connection for every POST. The flag also
     lets libsoup resend a request, which the server may then execute twice. That is safe: each
     request of this program is conditional, has an idempotency key, or has no lasting effect. */
  soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_IDEMPOTENT);
  if (body != NULL) {
    g_autoptr(GBytes) bytes = g_bytes_new(body, strlen(body));
    soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  }
  PendingRequest *pending = g_new0(PendingRequest, 1);
  pending->message = g_steal_pointer(&message);
  pending->cancellable = g_cancellable_new();
  pending->done = done;
  pending->data = data;
  pending->timer = g_timeout_add(timeout_ms, on_timeout, pending);
  soup_session_send_and_read_async(client->session, pending->message, G_PRIORITY_DEFAULT,
                                   pending->cancellable, on_response, pending);
}

/* Passes incoming requests, the responses to calls, and timer ticks to the core. Sends the calls
   and the responses to requests that the core outputs. */
#include "runtime/ws-runtime.h"

#include "protocol/ws-limits.h"
#include "transport/ws-http-client.h"
#include "transport/ws-http-server.h"

#define CORE_TICK_INTERVAL_MS 50
/* The number of random low bits in an incarnation. */
#define INCARNATION_RANDOM_BITS 10
/* Shares of the limit on sockets (max_sockets): incoming connections of workers and users, outgoing
   connections, and incoming connections of the other controllers. Separate limits keep workers,
   users, and calls to hundreds of workers from using up the connections to the other controllers
   and to the key-value store. */
#define API_SERVER_SOCKET_SHARE 0.65
#define HTTP_CLIENT_SOCKET_SHARE 0.25
#define PEER_SERVER_SOCKET_SHARE 0.05
#define MAX_PEER_BODY_BYTES 4194304u
/* A connection may be idle for so many leases of the workers, which report several times in each.
 */
#define IDLE_TIMEOUT_LEASES 3.0
/* Longer than the client of another controller keeps an idle connection. */
#define MIN_IDLE_TIMEOUT_S 60.0

struct _WsRuntime {
  WsCore *core;
  WsHttpClient *client;
  WsHttpServer *api_server;
  WsHttpServer *peer_server;
  guint tick_source;
};

typedef struct {
  WsRuntime *runtime;
  guint64 call_id;
} PendingCall;

static gint64
now_ms(void)
{
  return g_get_monotonic_time() / G_TIME_SPAN_MILLISECOND;
}

static gint64
wall_ms(void)
{
  return g_get_real_time() / G_TIME_SPAN_MILLISECOND;
}

static void send_outputs(WsRuntime *runtime);

static void
on_response(guint status, const char *body, gsize length, gpointer data)
{
  g_autofree PendingCall *pending = data;
  WsRuntime *runtime = pending->runtime;
  ws_core_handle_reply(runtime->core, now_ms(), wall_ms(), pending->call_id, status, body, length);
  send_outputs(runtime);
}

static void
send_call(WsRuntime *runtime, const WsOutput *output)
{
  PendingCall *pending = g_new0(PendingCall, 1);
  *pending = (PendingCall){ runtime, output->call };
  ws_http_client_send(runtime->client, output->method, output->url, output->body,
                      output->timeout_ms, on_response, pending);
}

static void
send_outputs(WsRuntime *runtime)
{
  WsOutput *output;
  while ((output = ws_core_pop_output(runtime->core)) != NULL) {
    if (output->is_answer)
      ws_http_request_respond(output->request, output->status, output->body, output->retry_after_s);
    else
      send_call(runtime, output);
    ws_output_free(output);
  }
}

static void
handle_request(WsRuntime *runtime, WsListener listener, WsHttpRequest *request)
{
  WsIncomingRequest incoming = {
    .listener = listener,
    .sender = request->sender,
    .method = request->method,
    .path = request->path,
    .body = request->body,
    .length = request->length,
    .handle = request,
  };
  ws_core_handle_request(runtime->core, now_ms(), wall_ms(), &incoming);
  send_outputs(runtime);
}

static void
on_api_request(WsHttpRequest *request, gpointer data)
{
  handle_request(data, WS_LISTENER_API, request);
}

static void
on_peer_request(WsHttpRequest *request, gpointer data)
{
  handle_request(data, WS_LISTENER_PEERS, request);
}

static gboolean
on_tick(gpointer data)
{
  WsRuntime *runtime = data;
  ws_core_tick(runtime->core, now_ms(), wall_ms());
  send_outputs(runtime);
  return G_SOURCE_CONTINUE;
}

/* The wall clock in microseconds distinguishes two runs of a node. The low bits are random, since a
   restart may fall into the same tick of a coarse clock. */
static guint64
new_incarnation(void)
{
  guint64 random_bits = g_random_int() & ((1u << INCARNATION_RANDOM_BITS) - 1);
  return ((guint64)g_get_real_time() << INCARNATION_RANDOM_BITS | random_bits) & G_MAXINT64;
}

/* Returns the number of connections that the share of the sockets allows. */
static guint
connection_limit(const WsSettings *settings, double share)
{
  return (guint)(MIN((double)settings->max_sockets, G_MAXINT) * share);
}

WsRuntime *
ws_runtime_new(const WsSettings *settings, const WsProperties *properties, GError **error)
{
  WsRuntime *runtime = g_new0(WsRuntime, 1);
  runtime->core = ws_core_new(settings, properties, new_incarnation());
  runtime->client = ws_http_client_new(connection_limit(settings, HTTP_CLIENT_SOCKET_SHARE));
  WsHttpServerOptions api = {
    .address = settings->api_addr,
    .max_connections = connection_limit(settings, API_SERVER_SOCKET_SHARE),
    .max_body_bytes = WS_MAX_REQUEST_BYTES,
    .idle_timeout_ms
    = (gint64)(MAX(settings->lease_s * IDLE_TIMEOUT_LEASES, MIN_IDLE_TIMEOUT_S) * 1000.0),
  };
  runtime->api_server = ws_http_server_new(&api, on_api_request, runtime, error);
  WsHttpServerOptions peers = api;
  peers.address = settings->peer_addr;
  peers.max_connections = connection_limit(settings, PEER_SERVER_SOCKET_SHARE);
  peers.max_body_bytes = MAX_PEER_BODY_BYTES;
  if (runtime->api_server != NULL)
    runtime->peer_server = ws_http_server_new(&peers, on_peer_request, runtime, error);
  if (runtime->peer_server == NULL) {
    ws_runtime_free(runtime);
    return NULL;
  }
  runtime->tick_source = g_timeout_add(CORE_TICK_INTERVAL_MS, on_tick, runtime);
  on_tick(runtime);
  return runtime;
}

void
ws_runtime_free(WsRuntime *runtime)
{
  if (runtime->tick_source != 0)
    g_source_remove(runtime->tick_source);
  if (runtime->api_server != NULL)
    ws_http_server_free(runtime->api_server);
  if (runtime->peer_server != NULL)
    ws_http_server_free(runtime->peer_server);
  ws_http_client_free(runtime->client);
  ws_core_free(runtime->core);
  g_free(runtime);
}

#include "runtime/ws-runtime.h"

#include "transport/ws-http-client.h"
#include "transport/ws-http-server.h"

#define TICK_MS 50
/* How the sockets are shared out, so that neither workers and users nor calls to hundreds of
   workers can take what the other controllers and the state service need. */
#define API_PART 0.65
#define CLIENT_PART 0.25
#define MESH_PART 0.05

struct _WsRuntime {
  WsCore *core;
  WsHttpClient *client;
  WsHttpServer *api;
  WsHttpServer *mesh;
  guint timer;
};

typedef struct {
  WsRuntime *runtime;
  guint64 call;
} Sent;

static gint64
now_ms(void)
{
  return g_get_monotonic_time() / 1000;
}

static gint64
wall_ms(void)
{
  return g_get_real_time() / 1000;
}

static void flush(WsRuntime *runtime);

static void
on_reply(guint status, const char *body, gsize length, gpointer data)
{
  Sent *sent = data;
  WsRuntime *runtime = sent->runtime;
  ws_core_reply(runtime->core, now_ms(), wall_ms(), sent->call, status, body, length);
  g_free(sent);
  flush(runtime);
}

static void
flush(WsRuntime *runtime)
{
  WsOutput *output;
  while ((output = ws_core_pop(runtime->core)) != NULL) {
    if (output->is_answer) {
      ws_http_request_answer(output->request, output->status, output->body, output->retry_after_s);
    } else {
      Sent *sent = g_new0(Sent, 1);
      *sent = (Sent){ runtime, output->call };
      ws_http_client_send(runtime->client, output->method, output->url, output->body,
                          output->timeout_ms, on_reply, sent);
    }
    ws_output_free(output);
  }
}

static void
on_api(WsHttpRequest *request, gpointer data)
{
  WsRuntime *runtime = data;
  ws_core_request(runtime->core, now_ms(), wall_ms(), WS_DOOR_API, request->method, request->path,
                  request->body, request->length, request);
  flush(runtime);
}

static void
on_mesh(WsHttpRequest *request, gpointer data)
{
  WsRuntime *runtime = data;
  ws_core_request(runtime->core, now_ms(), wall_ms(), WS_DOOR_MESH, request->method, request->path,
                  request->body, request->length, request);
  flush(runtime);
}

static gboolean
on_tick(gpointer data)
{
  WsRuntime *runtime = data;
  ws_core_tick(runtime->core, now_ms(), wall_ms());
  flush(runtime);
  return G_SOURCE_CONTINUE;
}

WsRuntime *
ws_runtime_new(const WsSettings *settings, const WsProperties *properties, GError **error)
{
  WsRuntime *runtime = g_new0(WsRuntime, 1);
  /* Microseconds of the time of day tell two runs of a node apart; the low bits are random, since
     a restart may fall into the same tick of a coarse clock. */
  guint64 incarnation = ((guint64)g_get_real_time() << 10 | (g_random_int() & 1023)) & G_MAXINT64;
  runtime->core = ws_core_new(settings, properties, incarnation);
  double sockets = (double)settings->max_sockets;
  runtime->client = ws_http_client_new((guint)(sockets * CLIENT_PART));
  runtime->api
      = ws_http_server_new(settings->api_addr, (guint)(sockets * API_PART), on_api, runtime, error);
  if (runtime->api != NULL)
    runtime->mesh = ws_http_server_new(settings->mesh_addr, (guint)(sockets * MESH_PART), on_mesh,
                                       runtime, error);
  if (runtime->mesh == NULL) {
    ws_runtime_free(runtime);
    return NULL;
  }
  runtime->timer = g_timeout_add(TICK_MS, on_tick, runtime);
  on_tick(runtime);
  return runtime;
}

void
ws_runtime_free(WsRuntime *runtime)
{
  if (runtime->timer != 0)
    g_source_remove(runtime->timer);
  if (runtime->api != NULL)
    ws_http_server_free(runtime->api);
  if (runtime->mesh != NULL)
    ws_http_server_free(runtime->mesh);
  ws_http_client_free(runtime->client);
  ws_core_free(runtime->core);
  g_free(runtime);
}

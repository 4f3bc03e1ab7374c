/* Outstanding calls to other processes, and the queue of outputs (calls and answers). */
#include "context/ws-context.h"

#include "protocol/ws-error.h"
#include "protocol/ws-status-codes.h"

/* A call without a reply so far. */
typedef struct {
  guint64 id;    /* its key in the table of calls */
  char *address; /* of the process that was called */
  WsReplyFunc reply;
  gpointer data;
} PendingCall;

static void
pending_call_free(PendingCall *call)
{
  g_free(call->address);
  g_free(call);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC(PendingCall, pending_call_free)

void
ws_context_init_calls(WsCore *core)
{
  core->calls
      = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, (GDestroyNotify)pending_call_free);
}

void
ws_context_free_calls(WsCore *core)
{
  WsOutput *output;
  while ((output = g_queue_pop_head(&core->outputs)) != NULL)
    ws_output_free(output);
  g_hash_table_unref(core->calls);
}

gboolean
ws_context_stop_calls(WsCore *core)
{
  g_autoptr(GList) calls = g_hash_table_get_values(core->calls);
  g_hash_table_steal_all(core->calls);
  for (GList *item = calls; item != NULL; item = item->next) {
    g_autoptr(PendingCall) call = item->data;
    call->reply(core, WS_HTTP_NO_RESPONSE, NULL, call->data);
  }
  return calls != NULL;
}

/* Returns which reader a reply from the address belongs to. */
static WsReader
reader_of_reply(const WsSettings *settings, const char *address)
{
  if (g_strcmp0(address, settings->kv_addr) == 0)
    return WS_READER_STORE_REPLY;
  if (g_strcmp0(address, settings->cloud_addr) == 0)
    return WS_READER_CLOUD_REPLY;
  for (WsNodeIndex n = 0; n < settings->nodes->len; n++)
    if (g_strcmp0(address, ws_settings_node(settings, n)->endpoint) == 0)
      return WS_READER_PEER_REPLY;
  return WS_READER_WORKER_REPLY;
}

/* Returns NULL if the reply has no body, or if the body isn't JSON, which is recorded. */
static json_t *
parse_reply(WsCore *core, const PendingCall *call, guint status, const char *body, gsize length)
{
  if (status == WS_HTTP_NO_RESPONSE || length == 0)
    return NULL;
  g_autoptr(GError) error = NULL;
  json_t *message = ws_json_parse_with_error(body, length, &error);
  if (message == NULL)
    ws_refusals_record(core, reader_of_reply(core->settings, call->address), error);
  return message;
}

gboolean
ws_context_handle_reply(WsCore *core, guint64 id, guint status, const char *body, gsize length)
{
  gpointer value;
  if (!g_hash_table_steal_extended(core->calls, &id, NULL, &value))
    return FALSE;
  g_autoptr(PendingCall) call = value;
  core->sender = call->address;
  core->message_bytes = length;
  g_autoptr(json_t) message = parse_reply(core, call, status, body, length);
  call->reply(core, status, message, call->data);
  core->sender = NULL;
  return TRUE;
}

void
ws_output_free(WsOutput *output)
{
  g_free(output->url);
  g_free(output->body);
  g_free(output);
}

void
ws_call(WsCore *core, const char *method, const char *address, const char *path, json_t *body,
        guint timeout_ms, WsReplyFunc reply, gpointer data)
{
  PendingCall *call = g_new0(PendingCall, 1);
  *call = (PendingCall){ ++core->last_call_id, g_strdup(address), reply, data };
  g_hash_table_insert(core->calls, &call->id, call);
  WsOutput *output = g_new0(WsOutput, 1);
  output->call = call->id;
  output->method = method;
  output->url = g_strdup_printf("http://%s%s", address, path);
  output->body = ws_json_serialize(body);
  output->timeout_ms = timeout_ms;
  json_decref(body);
  g_queue_push_tail(&core->outputs, output);
}

void
ws_answer(WsCore *core, gpointer request, guint status, json_t *body, guint retry_after_s)
{
  WsOutput *output = g_new0(WsOutput, 1);
  output->is_answer = TRUE;
  output->request = request;
  output->status = status;
  output->body = ws_json_serialize(body);
  output->retry_after_s = retry_after_s;
  json_decref(body);
  g_queue_push_tail(&core->outputs, output);
}

void
ws_answer_error(WsCore *core, gpointer request, guint status, const char *reason)
{
  ws_answer(core, request, status, json_pack("{s:s}", "error", reason), 0);
}

void
ws_answer_retry_later(WsCore *core, gpointer request, guint retry_after_s)
{
  ws_answer(core, request, WS_HTTP_SERVICE_UNAVAILABLE,
            json_pack("{s:s}", "error", "not now, please come back"), retry_after_s);
}

/**
 * Calls whose replies are outstanding, and the queue of outputs: calls to send, requests to answer.
 */
#include "context/ws-context.h"
#include "protocol/ws-status-codes.h"

/* A call whose reply is outstanding. */
typedef struct {
  guint64 id; /* its key in the table of calls */
  WsReplyFunc reply;
  gpointer data;
} PendingCall;

void
ws_context_init_calls(WsCore *core)
{
  core->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
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
  for (GList *at = calls; at != NULL; at = at->next) {
    g_autofree PendingCall *call = at->data;
    call->reply(core, WS_HTTP_NO_RESPONSE, NULL, call->data);
  }
  return calls != NULL;
}

gboolean
ws_context_handle_reply(WsCore *core, guint64 id, guint status, const char *body, gsize length)
{
  gpointer value;
  if (!g_hash_table_steal_extended(core->calls, &id, NULL, &value))
    return FALSE;
  g_autofree PendingCall *call = value;
  g_autoptr(json_t) message = status != WS_HTTP_NO_RESPONSE ? ws_json_parse(body, length) : NULL;
  call->reply(core, status, message, call->data);
  return TRUE;
}

void
ws_output_free(WsOutput *output)
{
  g_free(output->url);
  free(output->body); /* allocated by jansson */
  g_free(output);
}

void
ws_call(WsCore *core, const char *method, const char *address, const char *path, json_t *body,
        guint timeout_ms, WsReplyFunc reply, gpointer data)
{
  PendingCall *call = g_new0(PendingCall, 1);
  *call = (PendingCall){ ++core->last_call_id, reply, data };
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

/**
 * Encoding and parsing of peer requests.
 */
#include "membership/ws-peer-request-message.h"

#include "membership/ws-wire-names.h"
#include "protocol/ws-json.h"

#include <string.h>

/* Maximum number of requests of each kind in one message. */
#define MAX_REQUESTS_PER_KIND 48

/* Positions in the JSON array that encodes a request. In a release, further elements encode the
   evidence (storage/ws-evidence.c). */
#define MARK_MACHINE 0
#define MARK_REASON 1
#define MARK_IS_IMMEDIATE 2
#define ITEM_JOB 0
#define ITEM_TASK 1    /* in a reservation: the number of tasks */
#define ITEM_ATTEMPT 2 /* in stops and releases */
#define ITEM_MACHINE 2 /* in assignments and reservations */
#define ITEM_IS_COMPLETED 3

static const char *const LIST_NAMES[] = {
  [WS_PEER_REQUEST_STOP] = WIRE_STOPS,
  [WS_PEER_REQUEST_RELEASE] = WIRE_RELEASES,
  [WS_PEER_REQUEST_RESERVATION] = WIRE_RESERVATIONS,
  [WS_PEER_REQUEST_ASSIGNMENT] = WIRE_ASSIGNMENTS,
  [WS_PEER_REQUEST_MARK] = WIRE_MARKS,
};

void
ws_peer_request_free(WsPeerRequest *request)
{
  g_free(request->job);
  g_free(request->machine);
  g_free(request->reason);
  g_free(request);
}

static void
request_free(gpointer data)
{
  ws_peer_request_free(data);
}

/* Batches. */

WsPeerRequestBatch *
ws_peer_request_batch_new(void)
{
  return g_new0(WsPeerRequestBatch, 1);
}

void
ws_peer_request_batch_free(WsPeerRequestBatch *batch)
{
  if (batch == NULL)
    return;
  for (guint k = 0; k < WS_PEER_REQUEST_KIND_COUNT; k++)
    if (batch->requests[k] != NULL)
      g_ptr_array_unref(batch->requests[k]);
  g_free(batch);
}

static void
append_request(WsPeerRequestBatch *batch, WsPeerRequest *request /* takes ownership */)
{
  GPtrArray **requests = &batch->requests[request->kind];
  if (*requests == NULL) {
    *requests = g_ptr_array_new_with_free_func(request_free);
    batch->order[batch->kinds++] = request->kind;
  }
  g_ptr_array_add(*requests, request);
}

void
ws_peer_request_batch_add(WsPeerRequestBatch *batch, WsPeerRequest *request)
{
  const GPtrArray *requests = batch->requests[request->kind];
  if (requests == NULL || requests->len < MAX_REQUESTS_PER_KIND)
    append_request(batch, request);
  else
    ws_peer_request_free(request);
}

/* Encoding. */

static json_t *
encode_request(const WsReplica *replica, const WsPeerRequest *request)
{
  switch (request->kind) {
  case WS_PEER_REQUEST_STOP:
    return json_pack("[s, i, I]", request->job, (int)request->task, (json_int_t)request->attempt);
  case WS_PEER_REQUEST_RELEASE:
    return ws_release_encode(replica, &request->release);
  case WS_PEER_REQUEST_RESERVATION:
    return json_pack("[s, i, s]", request->job, (int)request->tasks, request->machine);
  case WS_PEER_REQUEST_ASSIGNMENT:
    return json_pack("[s, i, s]", request->job, (int)request->task, request->machine);
  case WS_PEER_REQUEST_MARK:
    return json_pack("[s, s, b]", request->machine, request->reason, request->is_immediate);
  case WS_PEER_REQUEST_KIND_COUNT:
    break;
  }
  return NULL;
}

json_t *
ws_peer_request_batch_encode(const WsPeerRequestBatch *batch, const WsReplica *replica)
{
  json_t *body = json_object();
  for (guint k = 0; k < batch->kinds; k++) {
    const GPtrArray *requests = batch->requests[batch->order[k]];
    json_t *list = json_array();
    for (guint i = 0; i < requests->len; i++)
      json_array_append_new(list, encode_request(replica, g_ptr_array_index(requests, i)));
    json_object_set_new(body, LIST_NAMES[batch->order[k]], list);
  }
  json_object_set_new(body, WIRE_EPOCH, json_integer((json_int_t)batch->epoch));
  return body;
}

/* Parsing. */

static gboolean
parse_string(const json_t *item, size_t position, char **value)
{
  const char *text;
  if (!ws_json_string_at(item, position, &text))
    return FALSE;
  *value = g_strdup(text);
  return TRUE;
}

/* Parses the number of a task, or a number of tasks. */
static gboolean
parse_task_number(const json_t *item, gint64 *value)
{
  guint64 number;
  if (!ws_json_uint64_at(item, ITEM_TASK, &number) || number > WS_MAX_TASKS)
    return FALSE;
  *value = (gint64)number;
  return TRUE;
}

static gboolean
parse_flag(const json_t *item, size_t position, gboolean *value)
{
  const json_t *flag = json_array_get(item, position);
  *value = json_is_true(flag);
  return json_is_boolean(flag);
}

static gboolean
parse_mark(const json_t *item, WsPeerRequest *request)
{
  return parse_string(item, MARK_MACHINE, &request->machine)
         && parse_string(item, MARK_REASON, &request->reason)
         && parse_flag(item, MARK_IS_IMMEDIATE, &request->is_immediate);
}

static gboolean
parse_release(const WsReplica *replica, const json_t *item, WsPeerRequest *request)
{
  request->release.attempt = request->attempt;
  request->has_evidence = ws_evidence_parse(replica, item, &request->release.evidence);
  return parse_flag(item, ITEM_IS_COMPLETED, &request->release.is_completed);
}

/* Parses a request that refers to a job. */
static gboolean
parse_job_request(const WsReplica *replica, const json_t *item, WsPeerRequest *request)
{
  gint64 *number = request->kind == WS_PEER_REQUEST_RESERVATION ? &request->tasks : &request->task;
  if (!parse_string(item, ITEM_JOB, &request->job) || !parse_task_number(item, number))
    return FALSE;
  if (request->kind != WS_PEER_REQUEST_STOP && request->kind != WS_PEER_REQUEST_RELEASE)
    return parse_string(item, ITEM_MACHINE, &request->machine);
  return ws_json_uint64_at(item, ITEM_ATTEMPT, &request->attempt)
         && (request->kind != WS_PEER_REQUEST_RELEASE || parse_release(replica, item, request));
}

/* Returns NULL if the request is malformed. */
static WsPeerRequest *
parse_request(const WsReplica *replica, WsPeerRequestKind kind, const json_t *item)
{
  g_autoptr(WsPeerRequest) request = g_new0(WsPeerRequest, 1);
  request->kind = kind;
  gboolean is_valid = kind == WS_PEER_REQUEST_MARK ? parse_mark(item, request)
                                                   : parse_job_request(replica, item, request);
  return is_valid ? g_steal_pointer(&request) : NULL;
}

WsPeerRequestBatch *
ws_peer_request_batch_parse(const WsReplica *replica, const json_t *body)
{
  guint64 epoch;
  if (!ws_json_uint64(body, WIRE_EPOCH, &epoch))
    return NULL;
  WsPeerRequestBatch *batch = ws_peer_request_batch_new();
  batch->epoch = epoch;
  for (guint k = 0; k < WS_PEER_REQUEST_KIND_COUNT; k++) {
    size_t i;
    const json_t *item;
    json_array_foreach(json_object_get(body, LIST_NAMES[k]), i, item)
    {
      WsPeerRequest *request = parse_request(replica, (WsPeerRequestKind)k, item);
      if (request != NULL)
        append_request(batch, request);
    }
  }
  return batch;
}

/* The mailbox. */

static void
batch_free(gpointer data)
{
  ws_peer_request_batch_free(data);
}

WsMailbox *
ws_mailbox_new(void)
{
  WsMailbox *mailbox = g_new0(WsMailbox, 1);
  mailbox->nodes = g_ptr_array_new();
  mailbox->batches = g_ptr_array_new_with_free_func(batch_free);
  return mailbox;
}

void
ws_mailbox_free(WsMailbox *mailbox)
{
  g_ptr_array_unref(mailbox->nodes);
  g_ptr_array_unref(mailbox->batches);
  g_free(mailbox);
}

void
ws_mailbox_add(WsMailbox *mailbox, const char *node, WsPeerRequestBatch *batch)
{
  g_ptr_array_add(mailbox->nodes, (gpointer)node);
  g_ptr_array_add(mailbox->batches, batch);
}

static json_t *
encode_mailbox(const WsMailbox *mailbox, const WsReplica *replica)
{
  json_t *body = json_object();
  for (guint i = 0; i < mailbox->nodes->len; i++)
    json_object_set_new(
        body, g_ptr_array_index(mailbox->nodes, i),
        ws_peer_request_batch_encode(g_ptr_array_index(mailbox->batches, i), replica));
  return body;
}

static void
halve_batches(WsMailbox *mailbox)
{
  for (guint i = 0; i < mailbox->batches->len; i++) {
    WsPeerRequestBatch *batch = g_ptr_array_index(mailbox->batches, i);
    for (guint k = 0; k < WS_PEER_REQUEST_KIND_COUNT; k++)
      if (batch->requests[k] != NULL)
        g_ptr_array_set_size(batch->requests[k], (gint)(batch->requests[k]->len / 2));
  }
}

json_t *
ws_mailbox_encode_within(WsMailbox *mailbox, const WsReplica *replica, gsize max_bytes)
{
  json_t *body = encode_mailbox(mailbox, replica);
  for (guint left = MAX_REQUESTS_PER_KIND; left > 0; left /= 2) {
    g_autofree char *text = ws_json_serialize(body);
    if (strlen(text) <= max_bytes)
      break;
    halve_batches(mailbox);
    json_decref(body);
    body = encode_mailbox(mailbox, replica);
  }
  return body;
}

WsPeerRequestBatch *
ws_mailbox_parse(const WsReplica *replica, const json_t *body, const char *node)
{
  return ws_peer_request_batch_parse(replica, json_object_get(body, node));
}

/**
 * Peer requests: requests from a node to the leader, or to the owner of a machine.
 *
 * The leader writes assignments, releases and marks for all nodes: owners of machines and
 * coordinating nodes of jobs forward theirs to it. Each of these shares keys with many others (a
 * job's tasks, a team's use), so that concurrent writes by several nodes would mostly conflict, and
 * conflicting transactions count against the store's rate limit too. Requests to stop tasks go to
 * the owners of their machines.
 *
 * A request is sent directly or, if the other node is unreachable, through the mailbox, which is a
 * key of this node in the store. A request may be lost: its sender repeats it when it sees no
 * effect. It is valid only in the epoch in which it was made.
 */
#include "membership/ws-membership-private.h"

#include "membership/ws-peer-request-handlers.h"
#include "membership/ws-peer-request-message.h"
#include "membership/ws-wire-names.h"
#include "store/ws-store.h"
#include "protocol/ws-status-codes.h"

#define BATCH_INTERVAL_MS 60
#define MAILBOX_WRITE_INTERVAL_MS 1000
#define PEER_REQUEST_TIMEOUT_MS 1500
/* Time after which a peer may retry a batch that this node rejected. */
#define REJECTED_BATCH_RETRY_S 1

struct _WsPeerRequests {
  WsPeerRequestBatch **queued; /* by node; NULL: nothing is queued */
  gint64 next_batch_ms;
  gint64 next_mailbox_ms;
};

WsPeerRequests *
ws_peer_requests_new(const WsSettings *settings)
{
  WsPeerRequests *peer_requests = g_new0(WsPeerRequests, 1);
  peer_requests->queued = g_new0(WsPeerRequestBatch *, settings->nodes->len);
  return peer_requests;
}

void
ws_peer_requests_free(WsPeerRequests *peer_requests, const WsSettings *settings)
{
  for (guint n = 0; n < settings->nodes->len; n++)
    ws_peer_request_batch_free(peer_requests->queued[n]);
  g_free(peer_requests->queued);
  g_free(peer_requests);
}

/* Queueing. */

static WsPeerRequest *
request_new(WsPeerRequestKind kind)
{
  WsPeerRequest *request = g_new0(WsPeerRequest, 1);
  request->kind = kind;
  return request;
}

static void
queue_request(WsCore *core, WsNodeIndex node, WsPeerRequest *request /* takes ownership */)
{
  WsPeerRequestBatch **batch = &core->peer_requests->queued[node];
  if (*batch == NULL)
    *batch = ws_peer_request_batch_new();
  ws_peer_request_batch_add(*batch, request);
}

void
ws_peer_request_release(WsCore *core, const WsRelease *release)
{
  WsPeerRequest *request = request_new(WS_PEER_REQUEST_RELEASE);
  request->release = *release;
  queue_request(core, core->replica->epoch.leader, request);
}

void
ws_peer_request_assignment(WsCore *core, const WsJob *job, guint task, const WsMachine *machine)
{
  WsPeerRequest *request = request_new(WS_PEER_REQUEST_ASSIGNMENT);
  request->job = g_strdup(job->id);
  request->task = task;
  request->machine = g_strdup(machine->name);
  queue_request(core, core->replica->epoch.leader, request);
}

void
ws_peer_request_mark(WsCore *core, const WsMachine *machine, const char *reason,
                     gboolean is_immediate)
{
  WsPeerRequest *request = request_new(WS_PEER_REQUEST_MARK);
  request->machine = g_strdup(machine->name);
  request->reason = g_strdup(reason);
  request->is_immediate = is_immediate;
  queue_request(core, core->replica->epoch.leader, request);
}

void
ws_peer_request_reservation(WsCore *core, const WsJob *job, WsMachineIndex machine, guint tasks)
{
  WsPeerRequest *request = request_new(WS_PEER_REQUEST_RESERVATION);
  const char *name
      = machine != WS_NO_MACHINE ? ws_replica_machine(core->replica, machine)->name : "";
  request->job = g_strdup(job->id);
  request->tasks = tasks;
  request->machine = g_strdup(name);
  queue_request(core, core->replica->epoch.leader, request);
}

void
ws_peer_request_stop(WsCore *core, WsNodeIndex node, const WsJob *job,
                     const WsAssignment *assignment)
{
  WsPeerRequest *request = request_new(WS_PEER_REQUEST_STOP);
  request->job = g_strdup(job->id);
  request->task = assignment->task;
  request->attempt = assignment->attempt;
  queue_request(core, node, request);
}

/* Handling. */

void
ws_peer_requests_handle(WsCore *core, const json_t *message, gpointer request)
{
  g_autoptr(WsPeerRequestBatch) batch = ws_peer_request_batch_parse(core->replica, message);
  if (batch == NULL && message != NULL)
    ws_refusals_record_field(core, WS_READER_PEER_REQUEST, "a batch of peer requests");
  if (ws_peer_request_batch_handle(core, batch))
    ws_answer(core, request, WS_HTTP_OK, json_object(), 0);
  else
    ws_answer_retry_later(core, request, REJECTED_BATCH_RETRY_S);
}

static void
read_mailboxes(WsCore *core)
{
  const char *self = ws_settings_node(core->settings, core->settings->self)->name;
  json_t *mailbox;
  while ((mailbox = g_queue_pop_head(&core->replica->mailbox)) != NULL) {
    g_autoptr(WsPeerRequestBatch) batch = ws_mailbox_parse(core->replica, mailbox, self);
    (void)ws_peer_request_batch_handle(core, batch);
    json_decref(mailbox);
  }
}

/* Sending. */

static void
on_batch_answered(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)body;
  if (status != WS_HTTP_OK)
    g_debug("peer %s did not accept a batch of peer requests (status %u)",
            ws_settings_node(core->settings, GPOINTER_TO_UINT(data))->name, status);
}

static void
send_batch(WsCore *core, WsNodeIndex node, const WsPeerRequestBatch *batch)
{
  ws_call(core, "POST", ws_settings_node(core->settings, node)->endpoint, WIRE_PATH_PEER_REQUESTS,
          ws_peer_request_batch_encode(batch, core->replica), PEER_REQUEST_TIMEOUT_MS,
          on_batch_answered, GUINT_TO_POINTER(node));
}

static void
on_mailbox_written(WsCore *core, WsTxnResult result, gpointer data)
{
  /* The result is ignored: like any lost request, those in a lost mailbox are sent again. */
  (void)core;
  (void)result;
  (void)data;
}

static void
write_mailbox(WsCore *core, WsMailbox *mailbox)
{
  json_t *value
      = ws_mailbox_encode_within(mailbox, core->replica, core->settings->kv_max_record_bytes);
  g_autofree char *key
      = ws_key(WS_KEY_PREFIX_MAILBOX, ws_settings_node(core->settings, core->settings->self)->name);
  WsTxn *txn = ws_txn_new();
  core->peer_requests->next_mailbox_ms = core->now_ms + MAILBOX_WRITE_INTERVAL_MS;
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  ws_txn_put(txn, key, value);
  ws_txn_commit(core, txn, WS_REQUEST_SCHEDULING, on_mailbox_written, NULL);
}

/* Each mailbox overwrites the previous one, so requests to unreachable nodes stay queued until the
   mailbox may be written again. */
static void
send_queued_batches(WsCore *core)
{
  gboolean may_write_mailbox
      = core->now_ms >= core->peer_requests->next_mailbox_ms && ws_store_is_available(core);
  g_autoptr(WsMailbox) mailbox = ws_mailbox_new();
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    WsPeerRequestBatch **queued = &core->peer_requests->queued[n];
    gboolean is_reachable = ws_peer_is_reachable(core, n);
    if (*queued == NULL || (!is_reachable && !may_write_mailbox))
      continue;
    g_autoptr(WsPeerRequestBatch) batch = g_steal_pointer(queued);
    batch->epoch = core->replica->epoch.number;
    if (is_reachable)
      send_batch(core, n, batch);
    else
      ws_mailbox_add(mailbox, ws_settings_node(core->settings, n)->name, g_steal_pointer(&batch));
  }
  if (mailbox->batches->len > 0)
    write_mailbox(core, mailbox);
}

void
ws_peer_requests_clear(WsCore *core)
{
  for (guint n = 0; n < core->settings->nodes->len; n++)
    g_clear_pointer(&core->peer_requests->queued[n], ws_peer_request_batch_free);
}

void
ws_peer_requests_pump(WsCore *core)
{
  read_mailboxes(core);
  if (!ws_is_active_member(core)) {
    ws_peer_requests_clear(core);
    return;
  }
  if (core->now_ms < core->peer_requests->next_batch_ms)
    return;
  core->peer_requests->next_batch_ms = core->now_ms + BATCH_INTERVAL_MS;
  send_queued_batches(core);
}

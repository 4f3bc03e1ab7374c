/* The request queues of the store's client: one per priority class, limited to this node's share of
   the store's rate limits. */
#include "store/ws-store-private.h"

#include "protocol/ws-kv.h"
#include "protocol/ws-status-codes.h"

/* Shares of the store's rate limits. The leader gets the largest share, since it writes nearly
   everything: assignments, releases, machines, rentals and termination marks. The followers'
   share is split evenly among them. They write submissions, cancellations, leases and mailboxes,
   and seldom use all of it; the write shares therefore add up to more than 1. If the store rejects
   a request because of its rate, the request is retried after a delay. */
#define LEADER_WRITE_SHARE 0.75
#define FOLLOWERS_WRITE_SHARE 0.4
#define LEADER_REQUEST_SHARE 0.34
#define TOTAL_REQUEST_SHARE 0.95
/* Burst in seconds: of the store's request limit, and of this node's share of the write limit. */
#define BUDGET_BURST_S 0.6
#define MIN_WRITE_BURST_OPERATIONS 4.0
#define RATE_LIMITED_RETRY_DELAY_MS 120
#define MAX_RATE_LIMITED_ATTEMPTS 5
/* The store is considered unavailable once all requests have failed for this long. */
#define UNAVAILABLE_AFTER_MS 700

typedef struct {
  const char *method; /* a string literal */
  char *path;
  json_t *body;      /* NULL: no body */
  guint write_count; /* operations to take from the write budget; 0: not a write */
  guint timeout_ms;
  WsReplyFunc reply;
  gpointer data;
  WsRequestClass request_class;
  guint attempts;
} StoreRequest;

void
ws_store_requests_init(WsStoreRequests *requests, const WsSettings *settings)
{
  ws_token_bucket_init(&requests->request_budget, 1.0,
                       settings->kv_requests_per_s * BUDGET_BURST_S);
  ws_token_bucket_init(&requests->write_budget, 1.0, settings->kv_writes_per_s * BUDGET_BURST_S);
}

static void
store_request_free(gpointer data)
{
  StoreRequest *request = data;
  g_free(request->path);
  json_decref(request->body);
  g_free(request);
}

void
ws_store_requests_clear(WsStoreRequests *requests)
{
  for (guint i = 0; i < WS_REQUEST_CLASS_COUNT; i++)
    g_queue_clear_full(&requests->queues[i], store_request_free);
}

gboolean
ws_store_is_available(const WsCore *core)
{
  const WsStoreRequests *requests = &core->store->requests;
  return requests->unavailable_since_ms == 0
         || core->now_ms - requests->unavailable_since_ms < UNAVAILABLE_AFTER_MS;
}

gint64
ws_store_unavailable_since_ms(const WsCore *core)
{
  return core->store->requests.unavailable_since_ms;
}

gboolean
ws_store_has_write_budget(WsCore *core, guint operations)
{
  return ws_token_bucket_can_take(&core->store->requests.write_budget, operations, core->now_ms);
}

void
ws_store_requests_set_shares(WsCore *core, gboolean is_leader)
{
  WsStoreRequests *requests = &core->store->requests;
  guint followers = MAX(core->settings->nodes->len - 1, 1u);
  double request_share
      = is_leader ? LEADER_REQUEST_SHARE : (TOTAL_REQUEST_SHARE - LEADER_REQUEST_SHARE) / followers;
  double write_share = is_leader ? LEADER_WRITE_SHARE : FOLLOWERS_WRITE_SHARE / followers;
  requests->request_budget.per_second = core->settings->kv_requests_per_s * request_share;
  requests->write_budget.per_second = core->settings->kv_writes_per_s * write_share;
  requests->write_budget.burst
      = MAX(requests->write_budget.per_second * BUDGET_BURST_S, MIN_WRITE_BURST_OPERATIONS);
}

static void
enqueue(WsCore *core, const StoreRequest *request)
{
  StoreRequest *queued = g_memdup2(request, sizeof *request);
  g_queue_push_tail(&core->store->requests.queues[request->request_class], queued);
}

void
ws_store_get(WsCore *core, const char *path, guint timeout_ms, WsReplyFunc reply, gpointer data)
{
  StoreRequest request = { .method = "GET",
                           .path = g_strdup(path),
                           .timeout_ms = timeout_ms,
                           .reply = reply,
                           .data = data,
                           .request_class = WS_REQUEST_READ };
  enqueue(core, &request);
}

void
ws_store_post(WsCore *core, WsRequestClass request_class, const char *path, json_t *body,
              guint write_count, guint timeout_ms, WsReplyFunc reply, gpointer data)
{
  StoreRequest request = { .method = "POST",
                           .path = g_strdup(path),
                           .body = body,
                           .write_count = write_count,
                           .timeout_ms = timeout_ms,
                           .reply = reply,
                           .data = data,
                           .request_class = request_class };
  enqueue(core, &request);
}

/* Whether the status shows that the store is available: it has processed the request. */
static gboolean
shows_availability(guint status)
{
  return status == WS_KV_OK || status == WS_KV_NOT_FOUND || status == WS_KV_CONFLICT
         || status == WS_KV_COMPACTED;
}

static void
update_availability(WsCore *core, guint status)
{
  WsStoreRequests *requests = &core->store->requests;
  if (shows_availability(status))
    requests->unavailable_since_ms = 0;
  else if (status != WS_KV_RATE_LIMITED && status != WS_KV_INVALID
           && requests->unavailable_since_ms == 0)
    requests->unavailable_since_ms = core->now_ms;
}

static void
on_reply(WsCore *core, guint status, const json_t *body, gpointer data)
{
  StoreRequest *request = data;
  WsStoreRequests *requests = &core->store->requests;
  update_availability(core, status);
  if (status == WS_KV_RATE_LIMITED && ++request->attempts < MAX_RATE_LIMITED_ATTEMPTS) {
    requests->rate_limited_until_ms = core->now_ms + RATE_LIMITED_RETRY_DELAY_MS;
    g_queue_push_head(&requests->queues[request->request_class], request);
    return;
  }
  request->reply(core, status, body, request->data);
  store_request_free(request);
}

static void
send_request(WsCore *core, StoreRequest *request)
{
  ws_call(core, request->method, core->settings->kv_addr, request->path, json_incref(request->body),
          request->timeout_ms, on_reply, request);
}

/* Takes the request's cost from the budgets. Leases, reads and users' requests may overdraw the
   write budget, so that they don't wait while it recovers from a large transaction of tasks. */
static gboolean
take_budget(WsCore *core, WsRequestClass request_class, guint write_count)
{
  WsStoreRequests *requests = &core->store->requests;
  if (!ws_token_bucket_can_take(&requests->request_budget, 1.0, core->now_ms))
    return FALSE;
  gboolean has_write_budget
      = request_class <= WS_REQUEST_USER
            ? write_count == 0
                  || ws_token_bucket_overdraw(&requests->write_budget, write_count, core->now_ms)
            : ws_token_bucket_take(&requests->write_budget, write_count, core->now_ms);
  return has_write_budget && ws_token_bucket_take(&requests->request_budget, 1.0, core->now_ms);
}

/* Sends in strict order of priority: while a request waits for the budget, all requests of lower
   classes wait as well. */
void
ws_store_requests_send(WsCore *core)
{
  WsStoreRequests *requests = &core->store->requests;
  if (core->now_ms < requests->rate_limited_until_ms)
    return;
  for (guint i = 0; i < WS_REQUEST_CLASS_COUNT; i++) {
    StoreRequest *request;
    while ((request = g_queue_peek_head(&requests->queues[i])) != NULL) {
      if (!take_budget(core, (WsRequestClass)i, request->write_count))
        return;
      send_request(core, g_queue_pop_head(&requests->queues[i]));
    }
  }
}

gboolean
ws_store_requests_stop(WsCore *core)
{
  gboolean had_requests = FALSE;
  for (guint i = 0; i < WS_REQUEST_CLASS_COUNT; i++) {
    StoreRequest *request;
    while ((request = g_queue_pop_head(&core->store->requests.queues[i])) != NULL) {
      request->reply(core, WS_HTTP_NO_RESPONSE, NULL, request->data);
      store_request_free(request);
      had_requests = TRUE;
    }
  }
  return had_requests;
}

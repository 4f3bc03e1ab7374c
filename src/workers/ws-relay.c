/**
 * Relays heartbeats to the owner of their machine, and the owner's answers back to the workers.
 *
 * If the owner can't be reached directly, the heartbeat is sent through a third node that reaches
 * it. If neither answers in time, this node answers without the owner, with the fencing
 * token that the worker has and without launches. That answer renews the lease of the worker's
 * tasks.
 */
#include "workers/ws-workers-private.h"

#include "membership/ws-membership.h"
#include "membership/ws-relay-message.h"
#include "protocol/ws-status-codes.h"

#include <string.h>

#define RELAY_TIMEOUT_MS 1200
#define FORWARD_TIMEOUT_MS 900
/* Limit of heartbeats in flight to one owner. Between a crash of the owner and its detection,
   hundreds of its workers send their heartbeats to this node instead. Above the limit this node
   renews the leases without the owner. */
#define MAX_RELAYS_PER_OWNER 12
/* Retry-After header for a heartbeat that is answered with 503. */
#define HEARTBEAT_RETRY_AFTER_S 1

typedef struct {
  gpointer request;
  WsNodeIndex owner;
  WsNodeIndex via; /* the node called: the owner or a third node */
  char *heartbeat;
} Relay;

static void
relay_free(Relay *relay)
{
  g_free(relay->heartbeat);
  g_free(relay);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC(Relay, relay_free)

static void send_relay(WsCore *core, Relay *relay);

/* Returns a node that this node reaches and that reaches the owner, or WS_NO_NODE. */
static WsNodeIndex
find_third_node(const WsCore *core, const Relay *relay)
{
  for (WsNodeIndex n = 0; n < core->settings->nodes->len; n++)
    if (n != core->settings->self && n != relay->owner && ws_peer_is_reachable(core, n)
        && ws_peer_link_is_up(core, n, relay->owner))
      return n;
  return WS_NO_NODE;
}

/* Parses an encoded heartbeat, which the caller frees. Returns NULL if it is malformed. */
static WsHeartbeat *
parse_heartbeat(const char *encoded)
{
  return ws_heartbeat_parse_text(encoded, strlen(encoded), NULL);
}

/* Returns the fencing token of an answer without the owner: the worker's own, so that it neither
   drops the answer nor refuses the owner's commands, or the first one of the epoch. */
static guint64
answer_token(const WsEpoch *epoch, const WsHeartbeat *heartbeat)
{
  return MAX(heartbeat->fencing_token, epoch->first_token);
}

/* Renews the lease of the worker's tasks without the owner, or answers with 503 if this node may
   not renew leases. */
static void
answer_without_owner(WsCore *core, const char *encoded, gpointer request)
{
  g_autoptr(WsHeartbeat) heartbeat = parse_heartbeat(encoded);
  if (heartbeat == NULL
      || ws_authority_check_lease_renewal(core, heartbeat->fencing_token) != WS_REFUSAL_NONE) {
    ws_answer_retry_later(core, request, HEARTBEAT_RETRY_AFTER_S);
    return;
  }
  json_t *commands = json_array();
  ws_cancelled_tasks_add_halts(core, heartbeat, commands);
  ws_answer(core, request, WS_HTTP_OK,
            ws_heartbeat_response_encode(answer_token(&core->replica->epoch, heartbeat), commands),
            0);
}

/* Sends the owner's answer to the worker. Adds halts, since this node may have received a
   cancellation before the owner did. */
static void
forward_owner_answer(WsCore *core, const Relay *relay, const json_t *body)
{
  json_t *answer = ws_heartbeat_response_copy(body);
  g_autoptr(WsHeartbeat) heartbeat = parse_heartbeat(relay->heartbeat);
  if (answer == NULL) {
    if (body != NULL)
      ws_refusals_record_field(core, WS_READER_PEER_REPLY, "the answer to a relayed heartbeat");
    answer_without_owner(core, relay->heartbeat, relay->request);
    return;
  }
  if (heartbeat != NULL)
    ws_cancelled_tasks_add_halts(core, heartbeat, ws_heartbeat_response_commands(answer));
  ws_answer(core, relay->request, WS_HTTP_OK, answer, 0);
}

static void
on_relayed(WsCore *core, guint status, const json_t *body, gpointer data)
{
  g_autoptr(Relay) relay = data;
  ws_peer_end_relay(core, relay->owner);
  if (status != WS_HTTP_OK && relay->via == relay->owner) {
    WsNodeIndex third = find_third_node(core, relay);
    if (third != WS_NO_NODE) {
      relay->via = third;
      send_relay(core, g_steal_pointer(&relay));
      return;
    }
  }
  if (status == WS_HTTP_OK)
    forward_owner_answer(core, relay, body);
  else
    answer_without_owner(core, relay->heartbeat, relay->request);
}

/* Sends the heartbeat to the node relay->via. Takes ownership of @relay. */
static void
send_relay(WsCore *core, Relay *relay)
{
  WsRelayMessage message
      = { core->replica->epoch.number, ws_settings_node(core->settings, relay->owner)->name,
          relay->heartbeat };
  ws_peer_begin_relay(core, relay->owner);
  ws_call(core, "POST", ws_settings_node(core->settings, relay->via)->endpoint, WS_RELAY_PATH,
          ws_relay_message_encode(&message), RELAY_TIMEOUT_MS, on_relayed, relay);
}

void
ws_relay_heartbeat(WsCore *core, WsNodeIndex owner, const char *heartbeat, gpointer request)
{
  g_autoptr(Relay) relay = g_new0(Relay, 1);
  *relay = (Relay){ request, owner, owner, g_strdup(heartbeat) };
  if (!ws_peer_is_reachable(core, owner))
    relay->via = find_third_node(core, relay);
  if (relay->via != WS_NO_NODE && ws_peer_relays_in_flight(core, owner) < MAX_RELAYS_PER_OWNER)
    send_relay(core, g_steal_pointer(&relay));
  else
    answer_without_owner(core, heartbeat, request);
}

/* Sends the owner's answer back to the node whose heartbeat this node forwarded. */
static void
on_forwarded(WsCore *core, guint status, const json_t *body, gpointer data)
{
  if (status == WS_HTTP_OK)
    ws_answer(core, data, WS_HTTP_OK, json_incref((json_t *)body), 0);
  else
    ws_answer_retry_later(core, data, HEARTBEAT_RETRY_AFTER_S);
}

static void
answer_relayed_heartbeat(WsCore *core, const char *encoded, gpointer request)
{
  g_autoptr(GError) error = NULL;
  g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse_text(encoded, strlen(encoded), &error);
  if (heartbeat == NULL) {
    ws_refusals_record(core, WS_READER_HEARTBEAT, error);
    ws_answer_error(core, request, WS_HTTP_BAD_REQUEST, error->message);
  } else if (ws_authority_check_lease_renewal(core, heartbeat->fencing_token) != WS_REFUSAL_NONE) {
    ws_answer_retry_later(core, request, HEARTBEAT_RETRY_AFTER_S);
  } else {
    ws_answer(core, request, WS_HTTP_OK, ws_workers_answer_heartbeat(core, heartbeat), 0);
  }
}

void
ws_relay_handle_request(WsCore *core, const json_t *message, gpointer request)
{
  WsRelayMessage relayed;
  if (!ws_relay_message_parse(message, &relayed)) {
    if (message != NULL)
      ws_refusals_record_field(core, WS_READER_PEER_REQUEST, "a relayed heartbeat");
    ws_answer_error(core, request, WS_HTTP_BAD_REQUEST, "malformed");
    return;
  }
  WsNodeIndex owner = ws_settings_find_node(core->settings, relayed.owner);
  if (!ws_is_active_member(core) || relayed.epoch != core->replica->epoch.number
      || owner == WS_NO_NODE)
    ws_answer_retry_later(core, request, HEARTBEAT_RETRY_AFTER_S);
  else if (owner == core->settings->self)
    answer_relayed_heartbeat(core, relayed.heartbeat, request);
  else
    ws_call(core, "POST", ws_settings_node(core->settings, owner)->endpoint, WS_RELAY_PATH,
            json_incref((json_t *)message), FORWARD_TIMEOUT_MS, on_forwarded, request);
}

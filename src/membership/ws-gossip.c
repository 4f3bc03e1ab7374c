/**
 * Gossip: periodic messages in which each node announces its own state and that of its machines.
 *
 * A node sends each peer the machines that changed since the revision that the peer acknowledged.
 * It sends all machines in its first message, after a restart, and in a new epoch, since the owners
 * of machines change. After a lost message, the next acknowledgement still has the old revision,
 * and the changes are sent again.
 */
#include "membership/ws-membership-private.h"

#include "membership/ws-gossip-message.h"
#include "membership/ws-peers.h"
#include "membership/ws-relay-message.h"
#include "membership/ws-wire-names.h"
#include "store/ws-store.h"
#include "protocol/ws-status-codes.h"

#include <string.h>

#define GOSSIP_INTERVAL_MS 700
#define GOSSIP_TIMEOUT_MS 1000
/* The version logged for a peer whose messages do not contain one. */
#define VERSION_IF_ABSENT "before 0.3"

/* Bits of announced_state, the announced state of a machine. */
#define ANNOUNCED_UP 1u
#define ANNOUNCED_INTERRUPTION 2u

void
ws_gossip_begin_epoch(WsCore *core)
{
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    ws_peer(core, n)->acknowledged_revision = 0;
    ws_peer(core, n)->received_revision = 0;
  }
}

/* Encoding of announcements. */

static guint
current_state(const WsCore *core, const WsMachine *machine)
{
  gboolean is_up = ws_machine_is_up(core, machine)
                   && !ws_machine_is_outbound_unreachable(core, machine)
                   && !ws_machine_is_inbound_unreachable(core, machine);
  return (is_up ? ANNOUNCED_UP : 0u)
         | (machine->worker.interruption_ms > 0 ? ANNOUNCED_INTERRUPTION : 0u);
}

static void
update_announcement(WsCore *core, WsMachine *machine)
{
  guint state = current_state(core, machine);
  if (state == machine->worker.announced_state && !machine->worker.announcement_is_due)
    return;
  machine->worker.announced_state = state;
  machine->worker.announcement_is_due = FALSE;
  machine->worker.announced_revision = ++core->peers->announced_revision;
}

static void
add_machine(const WsCore *core, const WsMachine *machine, GArray *machines)
{
  WsGossipMachine announced = { .name = machine->name };
  announced.is_up = (machine->worker.announced_state & ANNOUNCED_UP) != 0;
  announced.has_interruption_notice
      = (machine->worker.announced_state & ANNOUNCED_INTERRUPTION) != 0;
  announced.endpoint = machine->worker.endpoint != NULL ? machine->worker.endpoint : "";
  announced.images = g_ptr_array_new();
  for (guint i = 0; i < machine->worker.images->len; i++) {
    WsImageIndex image = g_array_index(machine->worker.images, WsImageIndex, i);
    g_ptr_array_add(announced.images, (gpointer)ws_name_table_get(&core->replica->images, image));
  }
  g_array_append_val(machines, announced);
}

static void
add_changed_machines(WsCore *core, guint64 since_revision, GArray *machines)
{
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (!machine->is_recorded || !ws_owns_machine(core, machine))
      continue;
    update_announcement(core, machine);
    if (machine->worker.announced_revision > since_revision)
      add_machine(core, machine, machines);
  }
}

static guint
reachable_nodes(const WsCore *core)
{
  guint nodes = 0;
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (ws_peer_is_reachable(core, n))
      nodes |= 1u << n;
  return nodes;
}

static json_t *
encode_gossip(WsCore *core, WsNodeIndex node)
{
  const WsPeer *peer = ws_peer(core, node);
  g_auto(WsGossipMessage) message;
  ws_gossip_message_init(&message);
  add_changed_machines(core, peer->acknowledged_revision, message.machines);
  message.node = ws_settings_node(core->settings, core->settings->self)->name;
  message.version = WS_VERSION;
  message.epoch = core->replica->epoch.number;
  message.incarnation = core->incarnation;
  message.store_is_available = ws_store_is_loaded(core) && ws_store_is_available(core);
  message.replica_is_loaded = ws_store_is_loaded(core);
  message.reachable_nodes = reachable_nodes(core);
  message.needs_new_epoch = ws_epoch_bump_is_requested(core);
  message.receives_no_heartbeats = ws_receives_no_heartbeats(core);
  message.unacknowledged_cancellations = ws_cancellations_count_unacknowledged(core, node);
  message.base_revision = peer->acknowledged_revision;
  message.revision = core->peers->announced_revision;
  message.acknowledged_revision = peer->received_revision;
  return ws_gossip_message_encode(&message);
}

/* Applying received announcements. */

static void
apply_images(WsCore *core, WsMachine *machine, const GPtrArray *images)
{
  g_array_set_size(machine->worker.images, 0);
  for (guint i = 0; i < images->len; i++) {
    WsImageIndex image = ws_name_table_intern(&core->replica->images, g_ptr_array_index(images, i));
    g_array_append_val(machine->worker.images, image);
  }
}

/* Announcements of machines that this node owns are ignored: its own state of them is newer. An
   announcement may arrive before the machine's rental batch does, also while the replica is being
   loaded, and is acknowledged then, so it must be kept. */
static void
apply_machine(WsCore *core, const WsGossipMachine *announced)
{
  WsMachine *machine = ws_replica_ensure_machine(core->replica, announced->name);
  if (ws_owns_machine(core, machine))
    return;
  machine->worker.is_up_at_owner = announced->is_up;
  if (announced->is_up && machine->worker.up_ms == 0)
    machine->worker.up_ms = core->now_ms;
  if (machine->worker.endpoint == NULL && *announced->endpoint != '\0')
    machine->worker.endpoint = g_strdup(announced->endpoint);
  machine->worker.interruption_ms
      = announced->has_interruption_notice ? MAX(machine->worker.interruption_ms, core->now_ms) : 0;
  apply_images(core, machine, announced->images);
  core->replan_is_needed = TRUE;
}

static void
clear_announced_machines(WsCore *core, WsNodeIndex node)
{
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->owner == node)
      machine->worker.is_up_at_owner = FALSE;
  }
}

/* A machine that its owner announced as up is considered up, as long as gossip from the owner
   arrives, until the owner announces otherwise. */
static void
refresh_announced_machines(WsCore *core, WsNodeIndex node)
{
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->owner == node && machine->worker.is_up_at_owner)
      machine->worker.last_contact_ms = core->now_ms;
  }
}

static void
apply_machines(WsCore *core, WsNodeIndex node, const WsGossipMessage *message)
{
  WsPeer *peer = ws_peer(core, node);
  if (!message->has_revisions)
    return;
  peer->acknowledged_revision = message->acknowledged_revision;
  if (message->base_revision == 0)
    clear_announced_machines(core, node);
  if (message->base_revision == 0 || message->base_revision == peer->received_revision) {
    for (guint i = 0; i < message->machines->len; i++)
      apply_machine(core, &g_array_index(message->machines, WsGossipMachine, i));
    peer->received_revision = message->revision;
  }
  refresh_announced_machines(core, node);
}

static void
update_version(const WsCore *core, WsNodeIndex node, const char *announced)
{
  WsPeer *peer = ws_peer(core, node);
  const char *version = g_intern_string(announced != NULL ? announced : VERSION_IF_ABSENT);
  if (version == peer->version)
    return;
  peer->version = version;
  g_info("peer %s runs version %s, this node runs %s", ws_settings_node(core->settings, node)->name,
         version, WS_VERSION);
}

static void
apply_peer(WsCore *core, WsNodeIndex node, const WsGossipMessage *message)
{
  WsPeer *peer = ws_peer(core, node);
  if (message->incarnation != peer->incarnation)
    ws_cancellations_forget_acknowledgements(core, node);
  peer->incarnation = message->incarnation;
  update_version(core, node, message->version);
  peer->replica_is_loaded = message->replica_is_loaded;
  peer->unacknowledged_cancellations = (guint)message->unacknowledged_cancellations;
  if (message->replica_is_loaded && !message->store_is_available
      && message->unacknowledged_cancellations == 0)
    peer->cancellations_complete_ms = core->now_ms;
  peer->last_contact_ms = core->now_ms;
  peer->epoch = message->epoch;
  peer->store_is_available = message->store_is_available;
  peer->receives_no_heartbeats = message->receives_no_heartbeats;
  peer->reachable_nodes = (guint)message->reachable_nodes;
}

static void
handle_gossip(WsCore *core, const json_t *body, WsReader reader)
{
  g_auto(WsGossipMessage) message;
  ws_gossip_message_init(&message);
  if (!ws_gossip_message_parse(body, &message)) {
    if (body != NULL)
      ws_refusals_record_field(core, reader, "a field of the gossip");
    return;
  }
  WsNodeIndex node = ws_settings_find_node(core->settings, message.node);
  if (node == WS_NO_NODE || node == core->settings->self)
    return;
  apply_peer(core, node, &message);
  if (message.epoch != core->replica->epoch.number || ws_epoch_has_changed(core))
    return;
  if (message.needs_new_epoch && ws_is_leader(core))
    ws_epoch_request_bump(core);
  apply_machines(core, node, &message);
}

/* Calls and answers. */

static void
on_gossip_answered(WsCore *core, guint status, const json_t *body, gpointer data)
{
  ws_peer(core, GPOINTER_TO_UINT(data))->gossip_is_in_flight = FALSE;
  if (status == WS_HTTP_OK)
    handle_gossip(core, body, WS_READER_PEER_REPLY);
}

/* In each pair of nodes, the one with the smaller index calls, and receives the other's gossip in
   the answer. The other one calls too if no gossip has arrived for two intervals, since connections
   may fail in one direction only. */
static gboolean
gossip_is_due(const WsCore *core, WsNodeIndex node)
{
  const WsPeer *peer = ws_peer(core, node);
  if (node == core->settings->self || peer->gossip_is_in_flight
      || core->now_ms - peer->gossip_sent_ms < GOSSIP_INTERVAL_MS)
    return FALSE;
  return node > core->settings->self
         || core->now_ms - peer->last_contact_ms >= (gint64)2 * GOSSIP_INTERVAL_MS;
}

void
ws_gossip_tick(WsCore *core)
{
  ws_authority_tick(core);
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    if (!gossip_is_due(core, n))
      continue;
    WsPeer *peer = ws_peer(core, n);
    peer->gossip_is_in_flight = TRUE;
    peer->gossip_sent_ms = core->now_ms;
    ws_call(core, "POST", ws_settings_node(core->settings, n)->endpoint, WIRE_PATH_GOSSIP,
            encode_gossip(core, n), GOSSIP_TIMEOUT_MS, on_gossip_answered, GUINT_TO_POINTER(n));
  }
}

static void
answer_gossip(WsCore *core, const json_t *body, gpointer request)
{
  WsNodeIndex node = ws_settings_find_node(core->settings, ws_gossip_message_sender(body));
  if (node == WS_NO_NODE || node == core->settings->self) {
    if (body != NULL)
      ws_refusals_record_field(core, WS_READER_PEER_REQUEST, WIRE_NODE);
    ws_answer_error(core, request, WS_HTTP_BAD_REQUEST, "node is missing or unknown");
    return;
  }
  handle_gossip(core, body, WS_READER_PEER_REQUEST);
  ws_answer(core, request, WS_HTTP_OK, encode_gossip(core, node), 0);
}

void
ws_peers_handle_request(WsCore *core, const char *path, const char *body, gsize length,
                        gpointer request)
{
  g_autoptr(GError) error = NULL;
  g_autoptr(json_t) message = ws_json_parse_with_error(body, length, &error);
  if (message == NULL)
    ws_refusals_record(core, WS_READER_PEER_REQUEST, error);
  if (strcmp(path, WIRE_PATH_GOSSIP) == 0) {
    answer_gossip(core, message, request);
  } else if (strcmp(path, WIRE_PATH_CANCELLATIONS) == 0) {
    ws_cancellations_handle_message(core, message, request);
  } else if (strcmp(path, WIRE_PATH_PEER_REQUESTS) == 0) {
    ws_peer_requests_handle(core, message, request);
  } else if (strcmp(path, WS_RELAY_PATH) == 0) {
    core->handlers->handle_relay(core, message, request);
  } else {
    ws_answer_error(core, request, WS_HTTP_NOT_FOUND, "no such path");
  }
}

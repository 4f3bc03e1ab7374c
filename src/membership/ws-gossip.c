/* What the controllers tell each other: whom they hear, asks to assign, and reports passed on. */
#include "membership/ws-membership-private.h"

#include "membership/ws-peers.h"
#include "store/ws-store.h"

#include <string.h>

#define GOSSIP_MS 700
#define GOSSIP_TIMEOUT_MS 1000

/* Gossip. A node tells each peer what has changed about its machines since what the peer has
   acknowledged; all of it at first, after a restart and in a new epoch, when machines have other
   owners. A delta that was lost shows in the next acknowledgement. */

#define SAID_UP 1u
#define SAID_NOTICE 2u

void
ws_gossip_begin_epoch(WsCore *core)
{
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    ws_peer(core, n)->acknowledged_revision = 0;
    ws_peer(core, n)->received_revision = 0;
  }
}

static json_t *
encode_machine(const WsCore *core, const WsMachine *machine)
{
  json_t *images = json_array();
  for (guint i = 0; i < machine->worker.images->len; i++)
    json_array_append_new(
        images, json_string(ws_names_get(&core->replica->images,
                                         g_array_index(machine->worker.images, guint, i))));
  return json_pack("{s:s, s:b, s:s, s:b, s:o}", "name", machine->name, "up",
                   machine->worker.announced_state & SAID_UP, "endpoint",
                   machine->worker.endpoint != NULL ? machine->worker.endpoint : "", "notice",
                   machine->worker.announced_state & SAID_NOTICE, "images", images);
}

static void
note_news(WsCore *core, WsMachine *machine)
{
  guint announced_state
      = (ws_machine_is_up(core, machine) && !ws_machine_is_outbound_unreachable(core, machine)
                 && !ws_machine_is_inbound_unreachable(core, machine)
             ? SAID_UP
             : 0u)
        | (machine->worker.interruption_ms > 0 ? SAID_NOTICE : 0u);
  if (announced_state == machine->worker.announced_state && !machine->worker.announcement_is_due)
    return;
  machine->worker.announced_state = announced_state;
  machine->worker.announcement_is_due = FALSE;
  machine->worker.announced_revision = ++core->peers->announced_revision;
}

static json_t *
encode_gossip(WsCore *core, WsNodeIndex node)
{
  const WsPeer *peer = ws_peer(core, node);
  guint reachable_nodes = 0;
  json_t *machines = json_array();
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (ws_peer_is_reachable(core, n))
      reachable_nodes |= 1u << n;
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (!machine->is_recorded || !ws_owns_machine(core, machine))
      continue;
    note_news(core, machine);
    if (machine->worker.announced_revision > peer->acknowledged_revision)
      json_array_append_new(machines, encode_machine(core, machine));
  }
  return json_pack(
      "{s:s, s:s, s:I, s:b, s:i, s:b, s:b, s:I, s:I, s:I, s:I, s:b, s:i, s:o}", "node",
      ws_settings_node(core->settings, core->settings->self)->name, "version", WS_VERSION, "epoch",
      (json_int_t)core->replica->epoch.number, "store",
      ws_store_is_loaded(core) && ws_store_is_available(core), "reaches", (int)reachable_nodes,
      "wants_epoch", ws_epoch_new_one_is_needed(core), "unheard", ws_is_unreached_by_workers(core),
      "base", (json_int_t)peer->acknowledged_revision, "rev",
      (json_int_t)core->peers->announced_revision, "ack", (json_int_t)peer->received_revision,
      "incarnation", (json_int_t)core->incarnation, "loaded", ws_store_is_loaded(core), "untold",
      (int)ws_cancellations_count_unacknowledged(core, node), "machines", machines);
}

static void
take_images(WsCore *core, WsMachine *machine, const json_t *images)
{
  size_t i;
  const json_t *item;
  g_array_set_size(machine->worker.images, 0);
  json_array_foreach(images, i, item)
  {
    if (!json_is_string(item))
      continue;
    WsImageIndex image = ws_names_intern(&core->replica->images, json_string_value(item));
    g_array_append_val(machine->worker.images, image);
  }
}

/* A peer's word on its own machines; this node knows its own better. */
static void
take_machine(WsCore *core, const json_t *item)
{
  const char *name, *endpoint;
  gboolean up, notice;
  if (!ws_json_string(item, "name", &name) || !ws_json_bool(item, "up", &up)
      || !ws_json_string(item, "endpoint", &endpoint) || !ws_json_bool(item, "notice", &notice))
    return;
  WsMachine *machine = ws_replica_find_machine(core->replica, name);
  if (machine == NULL || ws_owns_machine(core, machine))
    return;
  machine->worker.is_up_at_owner = up;
  if (up && machine->worker.up_ms == 0)
    machine->worker.up_ms = core->now;
  if (machine->worker.endpoint == NULL && *endpoint != '\0')
    machine->worker.endpoint = g_strdup(endpoint);
  machine->worker.interruption_ms = notice ? MAX(machine->worker.interruption_ms, core->now) : 0;
  take_images(core, machine, json_object_get(item, "images"));
  core->replan_is_needed = TRUE;
}

/* Machines that their owner called up are up for as long as it says nothing else. */
static void
take_machines(WsCore *core, WsNodeIndex node, const json_t *message)
{
  WsPeer *peer = ws_peer(core, node);
  guint64 base, rev;
  size_t i;
  const json_t *item;
  if (!ws_json_count(message, "base", &base) || !ws_json_count(message, "rev", &rev)
      || !ws_json_count(message, "ack", &peer->acknowledged_revision))
    return;
  for (guint m = 0; base == 0 && m < core->replica->machines->len; m++)
    if (ws_replica_machine(core->replica, m)->owner == node)
      ws_replica_machine(core->replica, m)->worker.is_up_at_owner = FALSE;
  if (base == 0 || base == peer->received_revision) {
    json_array_foreach(json_object_get(message, "machines"), i, item) take_machine(core, item);
    peer->received_revision = rev;
  }
  for (guint m = 0; m < core->replica->machines->len; m++) {
    WsMachine *machine = ws_replica_machine(core->replica, m);
    if (machine->owner == node && machine->worker.is_up_at_owner)
      machine->worker.heard_ms = core->now;
  }
}

/* Versions before 0.3 don't name theirs. */
static void
note_version(WsCore *core, WsNodeIndex node, const json_t *message)
{
  WsPeer *peer = ws_peer(core, node);
  const char *version = "before 0.3";
  (void)ws_json_string_or_null(message, "version", &version);
  version = g_intern_string(version);
  if (version == peer->version)
    return;
  peer->version = version;
  g_info("%s runs version %s, this node %s", ws_settings_node(core->settings, node)->name, version,
         WS_VERSION);
}

static void
take_gossip(WsCore *core, const json_t *message)
{
  const char *name;
  guint64 epoch, reachable_nodes, incarnation, unacknowledged_cancellations;
  gboolean store, new_epoch_needed, unheard, loaded;
  if (!ws_json_string(message, "node", &name) || !ws_json_count(message, "epoch", &epoch)
      || !ws_json_bool(message, "store", &store)
      || !ws_json_count(message, "reaches", &reachable_nodes)
      || !ws_json_bool(message, "wants_epoch", &new_epoch_needed)
      || !ws_json_bool(message, "unheard", &unheard)
      || !ws_json_count(message, "incarnation", &incarnation)
      || !ws_json_bool(message, "loaded", &loaded)
      || !ws_json_count(message, "untold", &unacknowledged_cancellations))
    return;
  WsNodeIndex node = ws_settings_find_node(core->settings, name);
  if (node == WS_NO_NODE || node == core->settings->self)
    return;
  WsPeer *peer = ws_peer(core, node);
  if (incarnation != peer->incarnation)
    ws_cancellations_forget_acknowledgements(core, node);
  peer->incarnation = incarnation;
  note_version(core, node, message);
  peer->replica_is_loaded = loaded;
  peer->unacknowledged_cancellations = (guint)unacknowledged_cancellations;
  if (loaded && !store && unacknowledged_cancellations == 0)
    peer->cancellations_complete_ms = core->now;
  peer->heard_ms = core->now;
  peer->epoch = epoch;
  peer->store_is_available = store;
  peer->is_unreached_by_workers = unheard;
  peer->reachable_nodes = (guint)reachable_nodes;
  if (epoch != core->replica->epoch.number || ws_epoch_has_changed(core))
    return;
  if (new_epoch_needed && ws_is_leader(core))
    ws_epoch_request_new_one(core);
  take_machines(core, node, message);
}

static void
on_gossip(WsCore *core, guint status, const json_t *body, gpointer data)
{
  ws_peer(core, GPOINTER_TO_UINT(data))->gossip_is_in_flight = FALSE;
  if (status == 200)
    take_gossip(core, body);
}

/* Of each pair of nodes the one with the smaller index calls, and the answer tells the other side:
   unless nothing came for a while, since connections may be refused in one direction only. */
void
ws_gossip_tick(WsCore *core)
{
  ws_authority_tick(core);
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    WsPeer *peer = ws_peer(core, n);
    if (n == core->settings->self || peer->gossip_is_in_flight
        || core->now - peer->gossip_sent_ms < GOSSIP_MS
        || (n < core->settings->self && core->now - peer->heard_ms < (gint64)2 * GOSSIP_MS))
      continue;
    peer->gossip_is_in_flight = TRUE;
    peer->gossip_sent_ms = core->now;
    ws_call(core, "POST", ws_settings_node(core->settings, n)->endpoint, "/gossip",
            encode_gossip(core, n), GOSSIP_TIMEOUT_MS, on_gossip, GUINT_TO_POINTER(n));
  }
}

static void
answer_gossip(WsCore *core, const json_t *message, gpointer request)
{
  const char *name = NULL;
  (void)ws_json_string(message, "node", &name);
  WsNodeIndex node = ws_settings_find_node(core->settings, name);
  if (node == WS_NO_NODE || node == core->settings->self) {
    ws_answer_reason(core, request, 400, "node is missing or unknown");
    return;
  }
  take_gossip(core, message);
  ws_answer(core, request, 200, encode_gossip(core, node), 0);
}

void
ws_mesh_handle_request(WsCore *core, const char *path, const char *body, gsize length,
                       gpointer request)
{
  g_autoptr(json_t) message = ws_json_parse(body, length);
  if (strcmp(path, "/gossip") == 0) {
    answer_gossip(core, message, request);
  } else if (strcmp(path, "/cancelled") == 0) {
    ws_cancellations_handle_message(core, message, request);
  } else if (strcmp(path, "/ask") == 0) {
    ws_peer_requests_handle(core, message, request);
  } else if (strcmp(path, "/relay") == 0) {
    core->handlers->handle_relay(core, message, request);
  } else {
    ws_answer_reason(core, request, 404, "no such path");
  }
}

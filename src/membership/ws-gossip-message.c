/**
 * Encoding and parsing of gossip messages.
 */
#include "membership/ws-gossip-message.h"

#include "membership/ws-wire-names.h"

static void
machine_clear(gpointer data)
{
  WsGossipMachine *machine = data;
  g_ptr_array_unref(machine->images);
}

void
ws_gossip_message_init(WsGossipMessage *message)
{
  *message = (WsGossipMessage){ 0 };
  message->machines = g_array_new(FALSE, FALSE, sizeof(WsGossipMachine));
  g_array_set_clear_func(message->machines, machine_clear);
}

void
ws_gossip_message_clear(WsGossipMessage *message)
{
  g_array_unref(message->machines);
}

/* Encoding. */

static json_t *
encode_machine(const WsGossipMachine *machine)
{
  json_t *images = json_array();
  for (guint i = 0; i < machine->images->len; i++)
    json_array_append_new(images, json_string(g_ptr_array_index(machine->images, i)));
  return json_pack("{s:s, s:b, s:s, s:b, s:o}",                                 //
                   WIRE_MACHINE_NAME, machine->name,                            //
                   WIRE_MACHINE_IS_UP, machine->is_up,                          //
                   WIRE_MACHINE_ENDPOINT, machine->endpoint,                    //
                   WIRE_MACHINE_INTERRUPTION, machine->has_interruption_notice, //
                   WIRE_MACHINE_IMAGES, images);
}

json_t *
ws_gossip_message_encode(const WsGossipMessage *message)
{
  json_t *machines = json_array();
  for (guint i = 0; i < message->machines->len; i++)
    json_array_append_new(machines,
                          encode_machine(&g_array_index(message->machines, WsGossipMachine, i)));
  return json_pack("{s:s, s:s, s:I, s:b, s:i, s:b, s:b, s:I, s:I, s:I, s:I, s:b, s:i, s:o}",      //
                   WIRE_NODE, message->node,                                                      //
                   WIRE_VERSION, message->version,                                                //
                   WIRE_EPOCH, (json_int_t)message->epoch,                                        //
                   WIRE_STORE_IS_AVAILABLE, message->store_is_available,                          //
                   WIRE_REACHABLE_NODES, (int)message->reachable_nodes,                           //
                   WIRE_NEEDS_NEW_EPOCH, message->needs_new_epoch,                                //
                   WIRE_RECEIVES_NO_HEARTBEATS, message->receives_no_heartbeats,                  //
                   WIRE_BASE_REVISION, (json_int_t)message->base_revision,                        //
                   WIRE_REVISION, (json_int_t)message->revision,                                  //
                   WIRE_ACKNOWLEDGED_REVISION, (json_int_t)message->acknowledged_revision,        //
                   WIRE_INCARNATION, (json_int_t)message->incarnation,                            //
                   WIRE_REPLICA_IS_LOADED, message->replica_is_loaded,                            //
                   WIRE_UNACKNOWLEDGED_CANCELLATIONS, (int)message->unacknowledged_cancellations, //
                   WIRE_MACHINES, machines);
}

/* Parsing. */

static void
parse_images(const json_t *list, GPtrArray *images)
{
  size_t i;
  const json_t *item;
  json_array_foreach(list, i, item)
  {
    if (json_is_string(item))
      g_ptr_array_add(images, (gpointer)json_string_value(item));
  }
}

static void
parse_machine(const json_t *item, GArray *machines)
{
  WsGossipMachine machine = { 0 };
  if (!ws_json_string(item, WIRE_MACHINE_NAME, &machine.name)
      || !ws_json_bool(item, WIRE_MACHINE_IS_UP, &machine.is_up)
      || !ws_json_string(item, WIRE_MACHINE_ENDPOINT, &machine.endpoint)
      || !ws_json_bool(item, WIRE_MACHINE_INTERRUPTION, &machine.has_interruption_notice))
    return;
  machine.images = g_ptr_array_new();
  parse_images(json_object_get(item, WIRE_MACHINE_IMAGES), machine.images);
  g_array_append_val(machines, machine);
}

static gboolean
parse_header(const json_t *body, WsGossipMessage *message)
{
  (void)ws_json_string_or_null(body, WIRE_VERSION, &message->version);
  return ws_json_string(body, WIRE_NODE, &message->node)
         && ws_json_uint64(body, WIRE_EPOCH, &message->epoch)
         && ws_json_bool(body, WIRE_STORE_IS_AVAILABLE, &message->store_is_available)
         && ws_json_uint64(body, WIRE_REACHABLE_NODES, &message->reachable_nodes)
         && ws_json_bool(body, WIRE_NEEDS_NEW_EPOCH, &message->needs_new_epoch)
         && ws_json_bool(body, WIRE_RECEIVES_NO_HEARTBEATS, &message->receives_no_heartbeats)
         && ws_json_uint64(body, WIRE_INCARNATION, &message->incarnation)
         && ws_json_bool(body, WIRE_REPLICA_IS_LOADED, &message->replica_is_loaded)
         && ws_json_uint64(body, WIRE_UNACKNOWLEDGED_CANCELLATIONS,
                           &message->unacknowledged_cancellations);
}

gboolean
ws_gossip_message_parse(const json_t *body, WsGossipMessage *message)
{
  if (!parse_header(body, message))
    return FALSE;
  if (!ws_json_uint64_or_null(body, WIRE_BASE_REVISION, &message->base_revision)
      || !ws_json_uint64_or_null(body, WIRE_REVISION, &message->revision)
      || !ws_json_uint64_or_null(body, WIRE_ACKNOWLEDGED_REVISION, &message->acknowledged_revision))
    return FALSE;
  message->has_revisions = !ws_json_is_absent(body, WIRE_BASE_REVISION)
                           && !ws_json_is_absent(body, WIRE_REVISION)
                           && !ws_json_is_absent(body, WIRE_ACKNOWLEDGED_REVISION);
  if (!message->has_revisions)
    return TRUE;
  size_t i;
  const json_t *item;
  json_array_foreach(json_object_get(body, WIRE_MACHINES), i, item)
  {
    parse_machine(item, message->machines);
  }
  return TRUE;
}

const char *
ws_gossip_message_sender(const json_t *body)
{
  const char *node = NULL;
  (void)ws_json_string(body, WIRE_NODE, &node);
  return node;
}

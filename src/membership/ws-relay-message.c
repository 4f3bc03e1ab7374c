/**
 * Encoding and parsing of relayed heartbeats.
 */
#include "membership/ws-relay-message.h"

#include "membership/ws-wire-names.h"

json_t *
ws_relay_message_encode(const WsRelayMessage *message)
{
  return json_pack("{s:I, s:s, s:s}", WIRE_EPOCH, (json_int_t)message->epoch, WIRE_RELAY_OWNER,
                   message->owner, WIRE_RELAY_HEARTBEAT, message->heartbeat);
}

gboolean
ws_relay_message_parse(const json_t *body, WsRelayMessage *message)
{
  return ws_json_uint64(body, WIRE_EPOCH, &message->epoch)
         && ws_json_string(body, WIRE_RELAY_OWNER, &message->owner)
         && ws_json_string(body, WIRE_RELAY_HEARTBEAT, &message->heartbeat);
}

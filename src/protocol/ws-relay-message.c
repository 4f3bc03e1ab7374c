#include "protocol/ws-relay-message.h"

#define FIELD_EPOCH "epoch"
#define FIELD_OWNER "owner"
#define FIELD_HEARTBEAT "report"

json_t *
ws_relay_message_encode(const WsRelayMessage *relay)
{
  return json_pack("{s:I, s:s, s:s}", FIELD_EPOCH, (json_int_t)relay->epoch, FIELD_OWNER,
                   relay->owner, FIELD_HEARTBEAT, relay->heartbeat);
}

gboolean
ws_relay_message_parse(const json_t *message, WsRelayMessage *relay)
{
  return ws_json_count(message, FIELD_EPOCH, &relay->epoch)
         && ws_json_string(message, FIELD_OWNER, &relay->owner)
         && ws_json_string(message, FIELD_HEARTBEAT, &relay->heartbeat);
}

/**
 * A node's request to another one to pass a worker's heartbeat on to the owner of its machine.
 *
 * The answer is the owner's answer to the heartbeat, see ws-heartbeat.h.
 */
#pragma once

#include "protocol/ws-json.h"

typedef struct {
  guint64 epoch;         /**< in which the owner is the owner */
  const char *owner;     /**< the name of a node; borrowed */
  const char *heartbeat; /**< as the worker sent it; borrowed */
} WsRelayMessage;

/** Returns a new JSON object. */
json_t *ws_relay_message_encode(const WsRelayMessage *relay);

/** Fills @relay, whose strings live as long as @message. Returns FALSE if a field is missing. */
gboolean ws_relay_message_parse(const json_t *message, WsRelayMessage *relay);

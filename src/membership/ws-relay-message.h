/**
 * The envelope in which a node passes a heartbeat on to the owner of its machine, or to a node that
 * reaches the owner. Public: workers/ws-relay.c sends and handles it.
 */
#pragma once

#include "protocol/ws-json.h"

/** The path to which an envelope is posted. */
#define WS_RELAY_PATH "/relay"

/** Strings are borrowed: from the caller, or from the parsed JSON. */
typedef struct {
  guint64 epoch;         /**< the sender's */
  const char *owner;     /**< the name of the node that owns the machine under it */
  const char *heartbeat; /**< as the worker sent it */
} WsRelayMessage;

/** The envelope as JSON. The caller owns it. */
json_t *ws_relay_message_encode(const WsRelayMessage *message);

/** Reads an envelope. FALSE: malformed. */
gboolean ws_relay_message_parse(const json_t *body, WsRelayMessage *message);

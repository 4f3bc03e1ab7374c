/**
 * The envelope in which a node relays a heartbeat to the owner of the machine, or to a node that
 * can reach the owner. Public: workers/ws-relay.c sends and handles it.
 */
#pragma once

#include "protocol/ws-json.h"

/** The path to which an envelope is posted. */
#define WS_RELAY_PATH "/relay"

/** A relayed heartbeat. Strings are borrowed from the caller or from the parsed JSON. */
typedef struct {
  guint64 epoch;         /**< the sender's epoch */
  const char *owner;     /**< name of the node that owns the machine in that epoch */
  const char *heartbeat; /**< the heartbeat's text, unchanged, as the worker sent it */
} WsRelayMessage;

/** Encodes the envelope as JSON. The caller owns the result. */
json_t *ws_relay_message_encode(const WsRelayMessage *message);

/** Parses an envelope. Returns FALSE if it is malformed. */
gboolean ws_relay_message_parse(const json_t *body, WsRelayMessage *message);

/**
 * The message by which a node notifies a peer of confirmed cancellations. Used by
 * ws-cancellations.c. Private to membership.
 */
#pragma once

#include "protocol/ws-json.h"

/** One confirmed cancellation. */
typedef struct {
  const char *job; /**< the job's id */
  gint64 age_ms;   /**< time since the confirmation: an age, since the nodes' clocks differ */
} WsCancellationNotice;

/** A batch of notices. Strings are borrowed from the sender's registry or from the parsed JSON. */
typedef struct {
  const char *node; /**< the sender's name; NULL: missing */
  GArray *notices;  /**< of WsCancellationNotice */
} WsCancellationMessage;

/** Initializes an empty message, to be cleared with ws_cancellation_message_clear(). */
void ws_cancellation_message_init(WsCancellationMessage *message);

/** Frees the contents of the message, not the message itself. */
void ws_cancellation_message_clear(WsCancellationMessage *message);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(WsCancellationMessage, ws_cancellation_message_clear)

/** Encodes the message as JSON. The caller owns the result. */
json_t *ws_cancellation_message_encode(const WsCancellationMessage *message);

/**
 * Parses a message into an initialized one. Returns FALSE if the list of notices is missing or a
 * notice is malformed.
 */
gboolean ws_cancellation_message_parse(const json_t *body, WsCancellationMessage *message);

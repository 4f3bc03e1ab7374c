/**
 * The message with which a node notifies another one of confirmed cancellations.
 * Called by ws-cancellations.c, private to membership.
 */
#pragma once

#include "protocol/ws-json.h"

/** One confirmed cancellation. */
typedef struct {
  const char *job; /**< its id */
  gint64 age_ms;   /**< how long ago the cancellation was confirmed: clocks differ */
} WsCancellationNotice;

/** Strings are borrowed: from the sender's registry or from the parsed JSON. */
typedef struct {
  const char *node; /**< the sender's name; NULL: it has none */
  GArray *notices;  /**< of WsCancellationNotice */
} WsCancellationMessage;

/** Makes an empty message, to be cleared with ws_cancellation_message_clear(). */
void ws_cancellation_message_init(WsCancellationMessage *message);

/** Frees what the message holds, not the message itself. */
void ws_cancellation_message_clear(WsCancellationMessage *message);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(WsCancellationMessage, ws_cancellation_message_clear)

/** The message as JSON. The caller owns it. */
json_t *ws_cancellation_message_encode(const WsCancellationMessage *message);

/** Reads a message into an initialized one. FALSE: a notice is malformed. */
gboolean ws_cancellation_message_parse(const json_t *body, WsCancellationMessage *message);

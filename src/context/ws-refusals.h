/**
 * The log and the counters of refused messages: requests and replies that this node can't read.
 *
 * Each refusal is counted by reader and reason; the counts are logged periodically. A sender gets
 * at most one log line within an interval, so that one faulty sender can't fill the log. The line
 * names the sender, the size of the message and the field or the place in the text, and never
 * contains the text itself.
 *
 * Owned by the core; called by the package that reads a message.
 */
#pragma once

#include <glib.h>

#include "context/ws-output.h"

/** The parts of the program that read messages of others. */
typedef enum {
  WS_READER_SUBMISSION,   /**< a user's job */
  WS_READER_HEARTBEAT,    /**< a worker's heartbeat, also if another node relayed it */
  WS_READER_PEER_REQUEST, /**< a request of another controller */
  WS_READER_PEER_REPLY,   /**< another controller's reply */
  WS_READER_STORE_REPLY,  /**< a reply of the key-value store */
  WS_READER_CLOUD_REPLY,  /**< a reply of the cloud */
  WS_READER_WORKER_REPLY, /**< a worker's reply to a direct call */
  WS_READER_COUNT
} WsReader;

/** Log lines about senders, and the counts of refused messages. */
typedef struct _WsRefusals WsRefusals;

/** Creates counters that are 0. The caller frees them. */
WsRefusals *ws_refusals_new(void);

/** Frees the counters without logging them. @refusals: may be NULL */
void ws_refusals_free(WsRefusals *refusals);

/**
 * Counts the current message as refused, and logs it unless its sender was logged recently.
 *
 * @error: why it was refused, of the domain WS_ERROR
 */
void ws_refusals_record(WsCore *core, WsReader reader, const GError *error);

/** Does the same for a message with a missing or invalid field. @name: the field's name */
void ws_refusals_record_field(WsCore *core, WsReader reader, const char *name);

/** Logs the counts of refused messages if an interval has passed, and resets them. */
void ws_refusals_log_counts(WsCore *core);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsRefusals, ws_refusals_free)

/**
 * The core: the controller as a deterministic state machine with inputs and outputs.
 *
 * The core reads no clock, opens no socket and uses no random source. Every input carries the time.
 * After each input, the caller takes the requests to send and the answers to return from
 * ws_core_pop_output(). The same inputs produce the same outputs. All functions must be called from
 * the same thread.
 */
#pragma once

#include "context/ws-output.h"
#include "protocol/ws-properties.h"
#include "protocol/ws-settings.h"

/** The listener that received a request. */
typedef enum {
  WS_LISTENER_API,  /**< for users and workers */
  WS_LISTENER_PEERS /**< for the other controllers */
} WsListener;

/**
 * Creates the core of one node. The caller frees it with ws_core_free().
 *
 * @settings: the node's identity and the cluster's configuration; must outlive the core
 * @properties: the operators' settings for decisions; must outlive the core
 * @incarnation: identifies this run of the node; must differ between any two runs
 */
WsCore *ws_core_new(const WsSettings *settings, const WsProperties *properties,
                    guint64 incarnation);

/**
 * Ends every outstanding call as if no response had been received. The outputs that result from
 * this can still be popped.
 */
void ws_core_stop(WsCore *core);

/** Frees the core and all outputs that were not popped. */
void ws_core_free(WsCore *core);

/**
 * Runs the timers and periodic work. Must be called several times a second.
 *
 * @now_ms: monotonic time in milliseconds, greater than 0
 * @wall_ms: wall-clock time in milliseconds since the Unix epoch
 */
void ws_core_tick(WsCore *core, gint64 now_ms, gint64 wall_ms);

/** A request as received. The strings and the body are borrowed and not kept. */
typedef struct {
  WsListener listener;
  const char *sender; /**< the sender's address, for the log; NULL: unknown */
  const char *method;
  const char *path;
  const char *body; /**< not NUL-terminated; NULL: no body */
  gsize length;     /**< of the body, in bytes */
  gpointer handle;  /**< an opaque handle of the caller; valid until the answer is popped */
} WsIncomingRequest;

/**
 * Handles a request. The answer is an output that refers to the request's handle. It is queued by
 * this call or by a later input.
 */
void ws_core_handle_request(WsCore *core, gint64 now_ms, gint64 wall_ms,
                            const WsIncomingRequest *request);

/**
 * Handles the response to a call that an output requested. Responses to unknown calls are ignored.
 *
 * @call: the id of the call, from the output
 * @status: the HTTP status; 0: the call timed out or the connection failed
 * @body: the body as received, @length bytes; not kept
 */
void ws_core_handle_reply(WsCore *core, gint64 now_ms, gint64 wall_ms, guint64 call, guint status,
                          const char *body, gsize length);

/** Returns the number of machines examined by all plans so far: the cost of planning. */
guint64 ws_core_machines_examined(const WsCore *core);

/** Returns the number of plans made so far. */
guint64 ws_core_plan_count(const WsCore *core);

/**
 * Removes and returns the oldest output; NULL: there is none. The caller frees it with
 * ws_output_free().
 */
WsOutput *ws_core_pop_output(WsCore *core);

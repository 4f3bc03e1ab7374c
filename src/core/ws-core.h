/**
 * The core: a state machine that inputs are handed to and outputs are taken from.
 *
 * It has no clock, no socket and no randomness: every input names the time, and what is to be sent
 * or answered is taken from ws_core_pop_output() after each input. The same inputs lead to the same
 * outputs. All functions are to be called from one thread.
 */
#pragma once

#include "context/ws-output.h"
#include "protocol/ws-properties.h"
#include "protocol/ws-settings.h"

/** The listener on which a request came in. */
typedef enum {
  WS_LISTENER_API, /**< of users and workers */
  WS_LISTENER_MESH /**< of the other controllers */
} WsListener;

/**
 * Creates the core of one node; to be freed with ws_core_free().
 *
 * @settings: who the node is; must outlive the core
 * @properties: how it decides; must outlive the core
 * @incarnation: never the same for two runs of one node
 */
WsCore *ws_core_new(const WsSettings *settings, const WsProperties *properties,
                    guint64 incarnation);

/** Ends every call as if no response had come; what that leads to can still be popped. */
void ws_core_stop(WsCore *core);

/** Frees the core, with the outputs that were not popped. */
void ws_core_free(WsCore *core);

/**
 * Lets time pass; to be called several times a second.
 *
 * @now_ms: monotonic time in milliseconds, above 0
 * @wall_ms: milliseconds since 1970
 */
void ws_core_tick(WsCore *core, gint64 now_ms, gint64 wall_ms);

/**
 * Handles a request. Its answer is an output that names @request, now or after a later input.
 *
 * @body: as received, of @length bytes; not kept
 * @request: the caller's name for the request; must be valid until the answer was popped
 */
void ws_core_handle_request(WsCore *core, gint64 now_ms, gint64 wall_ms, WsListener listener,
                            const char *method, const char *path, const char *body, gsize length,
                            gpointer request);

/**
 * Handles the response to a call that an output has asked for. Responses to unknown calls are
 * ignored.
 *
 * @call: of the output
 * @status: HTTP status; 0: no response came in time, or the connection failed
 * @body: as received, of @length bytes; not kept
 */
void ws_core_handle_reply(WsCore *core, gint64 now_ms, gint64 wall_ms, guint64 call, guint status,
                          const char *body, gsize length);

/** How many machines all plans so far have examined: the cost of planning. */
guint64 ws_core_machines_examined(const WsCore *core);

/** How many plans were made so far. */
guint64 ws_core_plan_count(const WsCore *core);

/** Takes the oldest output, to be freed with ws_output_free(); NULL: there is none. */
WsOutput *ws_core_pop_output(WsCore *core);

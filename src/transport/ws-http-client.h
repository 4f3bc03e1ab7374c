/**
 * Outgoing HTTP: every call has a deadline of its own and ends in exactly one callback.
 *
 * Called by the runtime, from the thread of the default main loop.
 */
#pragma once

#include <glib.h>

/** A client with its connections. */
typedef struct _WsHttpClient WsHttpClient;

/**
 * Called back at the end of a call.
 *
 * @status: of HTTP; 0: no usable response came in time
 * @body: @length bytes, borrowed for the time of the callback; never NULL
 */
typedef void (*WsHttpResponseFunc)(guint status, const char *body, gsize length, gpointer data);

/** Creates a client with at most so many connections in all. The caller frees it. */
WsHttpClient *ws_http_client_new(guint max_connections);

/** Frees the client. Calls that are under way are aborted. */
void ws_http_client_free(WsHttpClient *client);

/**
 * Sends a request. The callback comes from the main loop, or at once if the URL can't be used.
 *
 * @body: JSON, copied; NULL: there is none
 * @timeout_ms: from now until the whole response is there
 */
void ws_http_client_send(WsHttpClient *client, const char *method, const char *url,
                         const char *body, guint timeout_ms, WsHttpResponseFunc done,
                         gpointer data);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsHttpClient, ws_http_client_free)

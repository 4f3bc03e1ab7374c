/**
 * HTTP client: each request has its own timeout and completes with exactly one callback.
 *
 * Called by the runtime, from the thread of the default main loop.
 */
#pragma once

#include <glib.h>

/** A client with its connection pool. */
typedef struct _WsHttpClient WsHttpClient;

/**
 * Receives the outcome of a request.
 *
 * @status: HTTP status; 0: no response within the timeout, or the request failed
 * @body: @length bytes, valid until the callback returns; never NULL
 */
typedef void (*WsHttpResponseFunc)(guint status, const char *body, gsize length, gpointer data);

/**
 * Creates a client. The caller frees it.
 *
 * @max_connections: limit for all hosts together; a small value is raised to a minimum
 */
WsHttpClient *ws_http_client_new(guint max_connections);

/** Frees the client and aborts its pending requests. */
void ws_http_client_free(WsHttpClient *client);

/**
 * Sends a request. @done is called from the main loop, or before this function returns if the URL
 * is invalid.
 *
 * @body: JSON, copied; NULL: no body
 * @timeout_ms: until the whole response has been received
 */
void ws_http_client_send(WsHttpClient *client, const char *method, const char *url,
                         const char *body, guint timeout_ms, WsHttpResponseFunc done,
                         gpointer data);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsHttpClient, ws_http_client_free)

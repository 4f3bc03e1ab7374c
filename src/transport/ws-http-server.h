/**
 * HTTP server on one address. Each request gets exactly one response, sent by its handler or later.
 *
 * Called by the runtime, from the thread of the default main loop.
 */
#pragma once

#include <glib.h>

/** A server on one address. */
typedef struct _WsHttpServer WsHttpServer;
typedef struct _WsHttpRequest WsHttpRequest;

/** A request, owned by the server. Its fields are valid until ws_http_request_respond(). */
struct _WsHttpRequest {
  const char *sender; /**< the IP address of the client */
  const char *method;
  const char *path;
  const char *body; /**< not NUL-terminated; NULL: no body */
  gsize length;     /**< of the body, in bytes */
};

/** Handles a request, for which ws_http_request_respond() must be called once, now or later. */
typedef void (*WsHttpHandler)(WsHttpRequest *request, gpointer data);

/** Where a server listens, and its limits. */
typedef struct {
  const char *address;    /**< IP:PORT */
  guint max_connections;  /**< limit of concurrent connections */
  gsize max_body_bytes;   /**< of a larger body, the handler gets one byte more than this */
  gint64 idle_timeout_ms; /**< how long a connection may be idle between two requests */
} WsHttpServerOptions;

/**
 * Starts to listen for requests. The caller frees the server. Returns NULL with @error set on
 * failure.
 *
 * @options: not kept
 */
WsHttpServer *ws_http_server_new(const WsHttpServerOptions *options, WsHttpHandler handler,
                                 gpointer data, GError **error);

/** Stops listening and frees the server. Pending requests must not be used afterwards. */
void ws_http_server_free(WsHttpServer *server);

/**
 * Sends the response to a request, which must not be used afterwards.
 *
 * @body: JSON, copied; NULL: no body
 * @retry_after_s: the Retry-After header, in seconds; 0: no such header
 */
void ws_http_request_respond(WsHttpRequest *request, guint status, const char *body,
                             guint retry_after_s);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsHttpServer, ws_http_server_free)

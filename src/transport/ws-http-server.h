/**
 * Incoming HTTP on one address. A request is a handle that is answered once, at once or later.
 *
 * Called by the runtime, from the thread of the default main loop.
 */
#pragma once

#include <glib.h>

/** A server on one address. */
typedef struct _WsHttpServer WsHttpServer;
typedef struct _WsHttpRequest WsHttpRequest;

/** A request, owned by the server. All of it is good until the answer. */
struct _WsHttpRequest {
  const char *method;
  const char *path;
  const char *body; /**< not terminated; NULL: there is none */
  gsize length;     /**< of the body, in bytes */
};

/** Takes a request, which it answers at once or later. */
typedef void (*WsHttpHandler)(WsHttpRequest *request, gpointer data);

/**
 * Listens for requests. The caller frees the server. NULL with @error set: that isn't possible.
 *
 * @address: IP:PORT
 * @max_connections: at once
 */
WsHttpServer *ws_http_server_new(const char *address, guint max_connections, WsHttpHandler handler,
                                 gpointer data, GError **error);

/** Stops listening. Requests without an answer must not be answered any more. */
void ws_http_server_free(WsHttpServer *server);

/**
 * Answers a request, which is not to be used any more.
 *
 * @body: JSON, copied; NULL: none
 * @retry_after_s: in seconds; 0: no such header
 */
void ws_http_request_answer(WsHttpRequest *request, guint status, const char *body,
                            guint retry_after_s);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsHttpServer, ws_http_server_free)

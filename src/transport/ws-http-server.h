/* Incoming HTTP on one address. A request is a handle that is answered once, at once or later. */
#pragma once

#include <glib.h>

typedef struct _WsHttpServer WsHttpServer;
typedef struct _WsHttpRequest WsHttpRequest;

struct _WsHttpRequest {
  const char *method;
  const char *path;
  const char *body;
  gsize length;
};

typedef void (*WsHttpHandler)(WsHttpRequest *request, gpointer data);

/* most: open connections. */
WsHttpServer *ws_http_server_new(const char *address, guint most, WsHttpHandler handler,
                                 gpointer data, GError **error);
void ws_http_server_free(WsHttpServer *server);
/* Takes the request; body may be NULL. retry_after_s 0: no such header. */
void ws_http_request_answer(WsHttpRequest *request, guint status, const char *body,
                            guint retry_after_s);

/* Outgoing HTTP: every call has a deadline of its own and ends in exactly one callback. */
#pragma once

#include <glib.h>

typedef struct _WsHttpClient WsHttpClient;

/* status 0: no usable response came in time. */
typedef void (*WsHttpDone)(guint status, const char *body, gsize length, gpointer data);

WsHttpClient *ws_http_client_new(guint max_connections);
void ws_http_client_free(WsHttpClient *client);
void ws_http_client_send(WsHttpClient *client, const char *method, const char *url,
                         const char *body, guint timeout_ms, WsHttpDone done, gpointer data);

/**
 * The connections of an HTTP server, and when they are closed.
 *
 * A connection has a limited time for the headers of a request, for its body, for reading the
 * answer, and for being idle between two requests. Connections whose request or answer is on its
 * way hold a limited share of the server's connections: above it the one that has been in its phase
 * for the longest time is closed first. Idle connections are closed for their idle time only, and a
 * connection whose request is being handled is never closed.
 *
 * Owned by one server; used from the thread of its main loop. Times are monotonic milliseconds.
 */
#pragma once

#include <glib.h>

/** All connections of a server. */
typedef struct _WsConnections WsConnections;
/** One connection. */
typedef struct _WsConnection WsConnection;

/** The size of a request whose body was sent in chunks. */
#define WS_REQUEST_BYTES_UNKNOWN 0

/** What a connection is waiting for. */
typedef enum {
  WS_CONNECTION_HEADERS,  /**< the rest of the headers of a request */
  WS_CONNECTION_BODY,     /**< the rest of the body */
  WS_CONNECTION_HANDLING, /**< the answer of the handler */
  WS_CONNECTION_ANSWER,   /**< that the client reads the answer */
  WS_CONNECTION_IDLE      /**< the next request */
} WsConnectionPhase;

/**
 * Creates an empty set of connections. The caller frees it.
 *
 * @max_connections: the server's limit of connections
 * @idle_timeout_ms: how long a connection may be idle
 */
WsConnections *ws_connections_new(guint max_connections, gint64 idle_timeout_ms);

/** Frees the set and its connections, without closing them. */
void ws_connections_free(WsConnections *connections);

/** Adds an accepted connection, which waits for the headers of its first request. Owned by the set.
 */
WsConnection *ws_connections_add(WsConnections *connections, int socket, gint64 now_ms);

/** Removes and frees a connection that has ended. */
void ws_connections_remove(WsConnections *connections, WsConnection *connection);

/** Records that a phase of the connection begins. */
void ws_connections_set_phase(WsConnections *connections, WsConnection *connection,
                              WsConnectionPhase phase, gint64 now_ms);

/**
 * Records that the answer to a request was sent. The connection is idle then, unless a part of the
 * next request has arrived.
 *
 * @request_bytes: the size of the request with its headers; WS_REQUEST_BYTES_UNKNOWN: unknown
 */
void ws_connections_end_request(WsConnections *connections, WsConnection *connection,
                                gsize request_bytes, gint64 now_ms);

/** The numbers of connections that were shut down, by reason. */
typedef struct {
  guint slow; /**< too slow or half-sent: a request or an answer was on its way */
  guint idle; /**< idle for too long */
} WsClosedConnections;

/**
 * Shuts down the sockets of the connections whose time is over or that exceed the share. The server
 * then reads their end. Adds their numbers to @closed. Must be called several times a second.
 */
void ws_connections_close_overdue(WsConnections *connections, gint64 now_ms,
                                  WsClosedConnections *closed);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsConnections, ws_connections_free)

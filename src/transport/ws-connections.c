/* The connections of an HTTP server, and when they are closed. */
#include "transport/ws-connections.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

/* Time for the headers, for the body and for reading the answer. All clients of the protocol give
   up a request earlier. */
#define TRANSFER_TIMEOUT_MS 5000
/* The share of the server's connections for requests and answers that are on their way. */
#define TRANSFER_SHARE 0.25
/* A connection isn't closed for the share before this time has passed in its phase: the server may
   not have read yet what has arrived. */
#define MIN_TRANSFER_MS 100
/* Above this share of the server's connections, idle ones are checked for half-sent requests. */
#define CHECK_IDLE_SHARE 0.75

/* The server drops line ends before a request without counting them. */
#define MAX_UNCOUNTED_BYTES 4

struct _WsConnection {
  GList link; /* in the queue of its phase; its data is the connection */
  int socket;
  WsConnectionPhase phase;
  gint64 since_ms;    /* the begin of the phase */
  guint64 read_bytes; /* the size of all requests so far */
  gboolean is_shut_down;
};

struct _WsConnections {
  guint max_connections;
  gint64 idle_timeout_ms;
  GQueue transfers; /* connections that wait for their client, longest in their phase first */
  GQueue idle;      /* idle ones, longest idle first */
  GQueue handling;
  GQueue closing; /* shut down; the server hasn't read their end yet */
};

WsConnections *
ws_connections_new(guint max_connections, gint64 idle_timeout_ms)
{
  WsConnections *connections = g_new0(WsConnections, 1);
  connections->max_connections = max_connections;
  connections->idle_timeout_ms = idle_timeout_ms;
  return connections;
}

static void
free_queue(GQueue *queue)
{
  GList *link;
  while ((link = g_queue_pop_head_link(queue)) != NULL)
    g_free(link->data);
}

void
ws_connections_free(WsConnections *connections)
{
  free_queue(&connections->transfers);
  free_queue(&connections->idle);
  free_queue(&connections->handling);
  free_queue(&connections->closing);
  g_free(connections);
}

static GQueue *
queue_of(WsConnections *connections, const WsConnection *connection)
{
  if (connection->is_shut_down)
    return &connections->closing;
  if (connection->phase == WS_CONNECTION_IDLE)
    return &connections->idle;
  return connection->phase == WS_CONNECTION_HANDLING ? &connections->handling
                                                     : &connections->transfers;
}

/* Returns the number of bytes received over the socket so far; 0: unknown. */
static guint64
received_bytes(int socket)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return 0;
  return info.tcpi_bytes_received;
}

static void
enter(WsConnections *connections, WsConnection *connection, WsConnectionPhase phase, gint64 now_ms)
{
  connection->phase = phase;
  connection->since_ms = now_ms;
  g_queue_push_tail_link(queue_of(connections, connection), &connection->link);
}

static void
leave(WsConnections *connections, WsConnection *connection)
{
  g_queue_unlink(queue_of(connections, connection), &connection->link);
}

static void
shut_down(WsConnections *connections, WsConnection *connection)
{
  leave(connections, connection);
  connection->is_shut_down = TRUE;
  g_queue_push_tail_link(&connections->closing, &connection->link);
  shutdown(connection->socket, SHUT_RDWR);
}

/* Shuts down the connections at the head of the queue that have been in their phase for at least
   the time, as long as the queue has more than @max_length. Returns their number. */
static guint
shut_down_oldest(WsConnections *connections, GQueue *queue, gint64 min_ms, guint max_length,
                 gint64 now_ms)
{
  guint count = 0;
  while (queue->length > max_length) {
    WsConnection *oldest = g_queue_peek_head(queue);
    if (now_ms - oldest->since_ms < min_ms)
      break;
    shut_down(connections, oldest);
    count++;
  }
  return count;
}

static guint
shut_down_excess_transfers(WsConnections *connections, gint64 now_ms)
{
  guint max_transfers = MAX(1, (guint)(TRANSFER_SHARE * connections->max_connections));
  return shut_down_oldest(connections, &connections->transfers, MIN_TRANSFER_MS, max_transfers,
                          now_ms);
}

WsConnection *
ws_connections_add(WsConnections *connections, int socket, gint64 now_ms)
{
  WsConnection *connection = g_new0(WsConnection, 1);
  connection->link.data = connection;
  connection->socket = socket;
  enter(connections, connection, WS_CONNECTION_HEADERS, now_ms);
  return connection;
}

void
ws_connections_remove(WsConnections *connections, WsConnection *connection)
{
  leave(connections, connection);
  g_free(connection);
}

void
ws_connections_set_phase(WsConnections *connections, WsConnection *connection,
                         WsConnectionPhase phase, gint64 now_ms)
{
  leave(connections, connection);
  enter(connections, connection, phase, now_ms);
}

/* Whether a part of the next request is among the received bytes. */
static gboolean
has_begun_request(const WsConnection *connection, guint64 received)
{
  return received > connection->read_bytes + MAX_UNCOUNTED_BYTES;
}

void
ws_connections_end_request(WsConnections *connections, WsConnection *connection,
                           gsize request_bytes, gint64 now_ms)
{
  guint64 received = received_bytes(connection->socket);
  connection->read_bytes += request_bytes;
  gboolean has_begun_next
      = request_bytes != WS_REQUEST_BYTES_UNKNOWN && has_begun_request(connection, received);
  if (!has_begun_next)
    connection->read_bytes = received;
  ws_connections_set_phase(connections, connection,
                           has_begun_next ? WS_CONNECTION_HEADERS : WS_CONNECTION_IDLE, now_ms);
}

static void
find_half_sent_requests(WsConnections *connections, gint64 now_ms)
{
  GList *next;
  for (GList *link = connections->idle.head; link != NULL; link = next) {
    WsConnection *connection = link->data;
    next = link->next;
    if (has_begun_request(connection, received_bytes(connection->socket)))
      ws_connections_set_phase(connections, connection, WS_CONNECTION_HEADERS, now_ms);
  }
}

static gboolean
has_few_free_connections(const WsConnections *connections)
{
  guint count
      = connections->transfers.length + connections->idle.length + connections->handling.length;
  return count > CHECK_IDLE_SHARE * connections->max_connections;
}

void
ws_connections_close_overdue(WsConnections *connections, gint64 now_ms, WsClosedConnections *closed)
{
  if (has_few_free_connections(connections))
    find_half_sent_requests(connections, now_ms);
  closed->slow
      += shut_down_oldest(connections, &connections->transfers, TRANSFER_TIMEOUT_MS, 0, now_ms);
  closed->slow += shut_down_excess_transfers(connections, now_ms);
  closed->idle
      += shut_down_oldest(connections, &connections->idle, connections->idle_timeout_ms, 0, now_ms);
}

#include "proxy.h"

#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct _Proxy {
  int fd;
  guint port, target, source;
  gboolean is_held;
  GPtrArray *pairs;
};

typedef struct _Pair Pair;

/* One direction of a connection: what is read from a socket and not yet written to the other. */
typedef struct {
  Pair *pair;
  int from, to;
  guint in_source, out_source;
  GByteArray *buffer;
  gboolean is_ended;
} Direction;

struct _Pair {
  Proxy *proxy;
  int client, server; /* server -1: not connected, since the proxy is held */
  Direction up, down;
};

static void
stop_sources(Direction *direction)
{
  if (direction->in_source != 0)
    g_source_remove(direction->in_source);
  if (direction->out_source != 0)
    g_source_remove(direction->out_source);
  direction->in_source = direction->out_source = 0;
}

static void
pair_close(Pair *pair)
{
  stop_sources(&pair->up);
  stop_sources(&pair->down);
  close(pair->client);
  if (pair->server >= 0)
    close(pair->server);
  g_byte_array_unref(pair->up.buffer);
  g_byte_array_unref(pair->down.buffer);
  g_ptr_array_remove_fast(pair->proxy->pairs, pair);
  g_free(pair);
}

static gboolean on_writable(gint fd, GIOCondition condition, gpointer data);

/* Returns FALSE if the pair was closed. */
static gboolean
flush(Direction *direction)
{
  while (direction->buffer->len > 0) {
    gssize sent
        = send(direction->to, direction->buffer->data, direction->buffer->len, MSG_NOSIGNAL);
    if (sent < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN)) {
      if (direction->out_source == 0)
        direction->out_source = g_unix_fd_add(direction->to, G_IO_OUT, on_writable, direction);
      return TRUE;
    }
    if (sent < 0) {
      pair_close(direction->pair);
      return FALSE;
    }
    g_byte_array_remove_range(direction->buffer, 0, (guint)sent);
  }
  if (direction->is_ended) {
    pair_close(direction->pair);
    return FALSE;
  }
  return TRUE;
}

static gboolean
on_writable(gint fd, GIOCondition condition, gpointer data)
{
  (void)fd;
  (void)condition;
  Direction *direction = data;
  direction->out_source = 0;
  flush(direction);
  return G_SOURCE_REMOVE;
}

static gboolean
on_readable(gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  Direction *direction = data;
  guint8 buffer[65536];
  gssize got = recv(fd, buffer, sizeof buffer, 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return G_SOURCE_CONTINUE;
  if (got > 0)
    g_byte_array_append(direction->buffer, buffer, (guint)got);
  else
    direction->is_ended = TRUE;
  flush(direction);
  return G_SOURCE_CONTINUE; /* the source is removed if the pair was closed */
}

static void
set_no_delay(int fd)
{
  int one = 1;
  (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static void
start_reading(Pair *pair)
{
  pair->up.in_source = g_unix_fd_add(pair->client, G_IO_IN, on_readable, &pair->up);
  pair->down.in_source = g_unix_fd_add(pair->server, G_IO_IN, on_readable, &pair->down);
}

/* Connects the pair to the target. Returns FALSE if the pair was closed. */
static gboolean
connect_pair(Pair *pair)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons((guint16)pair->proxy->target) };
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  pair->server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  set_no_delay(pair->server);
  if (connect(pair->server, (struct sockaddr *)&address, sizeof address) != 0
      && errno != EINPROGRESS) {
    pair_close(pair);
    return FALSE;
  }
  pair->up.to = pair->down.from = pair->server;
  start_reading(pair);
  return TRUE;
}

static gboolean
on_accept(gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  Proxy *proxy = data;
  int client = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (client < 0)
    return G_SOURCE_CONTINUE;
  set_no_delay(client);
  Pair *pair = g_new0(Pair, 1);
  pair->proxy = proxy;
  pair->client = client;
  pair->server = -1;
  pair->up = (Direction){ .pair = pair, .from = client, .to = -1 };
  pair->down = (Direction){ .pair = pair, .from = -1, .to = client };
  pair->up.buffer = g_byte_array_new();
  pair->down.buffer = g_byte_array_new();
  g_ptr_array_add(proxy->pairs, pair);
  if (!proxy->is_held)
    connect_pair(pair);
  return G_SOURCE_CONTINUE;
}

Proxy *
proxy_new(guint target)
{
  Proxy *proxy = g_new0(Proxy, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  proxy->target = target;
  proxy->pairs = g_ptr_array_new();
  proxy->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (bind(proxy->fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen(proxy->fd, 256) != 0)
    g_error("listen: %s", g_strerror(errno));
  getsockname(proxy->fd, (struct sockaddr *)&address, &size);
  proxy->port = ntohs(address.sin_port);
  proxy->source = g_unix_fd_add(proxy->fd, G_IO_IN, on_accept, proxy);
  return proxy;
}

guint
proxy_port(const Proxy *proxy)
{
  return proxy->port;
}

/* Whether the client has closed its connection while it was held. */
static gboolean
was_given_up(int client)
{
  guint8 byte;
  /* A closing client sends an end after its request; only a poll for the hang-up shows it. */
  gssize got = recv(client, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  struct tcp_info info;
  socklen_t size = sizeof info;
  if (got == 0)
    return TRUE;
  return getsockopt(client, IPPROTO_TCP, TCP_INFO, &info, &size) == 0
         && info.tcpi_state != 1; /* TCP_ESTABLISHED */
}

void
proxy_hold(Proxy *proxy, gboolean held)
{
  if (proxy->is_held == held)
    return;
  proxy->is_held = held;
  for (guint i = proxy->pairs->len; i-- > 0;) {
    Pair *pair = g_ptr_array_index(proxy->pairs, i);
    if (held) {
      stop_sources(&pair->up);
      stop_sources(&pair->down);
    } else if (pair->server >= 0) {
      start_reading(pair);
      if (pair->up.buffer->len == 0 || flush(&pair->up))
        flush(&pair->down);
    } else if (was_given_up(pair->client)) {
      pair_close(pair);
    } else {
      connect_pair(pair);
    }
  }
}

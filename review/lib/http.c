#include "http.h"

#include <errno.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

gint64
clock_ms(void)
{
  return g_get_monotonic_time() / 1000;
}

static struct sockaddr_in
loopback(guint port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons((guint16)port) };
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

static int
new_socket(void)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  if (fd < 0)
    g_error("socket: %s", g_strerror(errno));
  (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

static guint
bound_port(int fd)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;
  getsockname(fd, (struct sockaddr *)&address, &size);
  return ntohs(address.sin_port);
}

/* Below the range from which the system takes the ports of connections, so that nothing else takes
   the port before a controller listens on it, or while it is down. */
guint
free_port(void)
{
  for (guint i = 0; i < 1000; i++) {
    struct sockaddr_in address = loopback((guint)g_random_int_range(20000, 32000));
    int fd = new_socket();
    int result = bind(fd, (struct sockaddr *)&address, sizeof address);
    close(fd);
    if (result == 0)
      return ntohs(address.sin_port);
  }
  g_error("no free port");
}

/* A received message: its first line, and its body once it is complete. */
typedef struct {
  char *line;
  const char *body;
  gsize length;
  gsize total;
  gboolean is_close;
} Message;

/* Returns TRUE if @in begins with a complete message. */
static gboolean
parse_message(const GByteArray *in, Message *message)
{
  const char *data = (const char *)in->data;
  const char *end = in->len > 0 ? g_strstr_len(data, in->len, "\r\n\r\n") : NULL;
  if (end == NULL)
    return FALSE;
  gsize head = (gsize)(end - data) + 4;
  g_autofree char *text = g_strndup(data, head);
  g_auto(GStrv) lines = g_strsplit(text, "\r\n", -1);
  gsize length = 0;
  message->is_close = FALSE;
  for (guint i = 1; lines[i] != NULL; i++) {
    if (strncasecmp(lines[i], "content-length:", 15) == 0)
      length = strtoul(lines[i] + 15, NULL, 10);
    if (strncasecmp(lines[i], "connection:", 11) == 0 && strcasestr(lines[i], "close") != NULL)
      message->is_close = TRUE;
  }
  if (in->len < head + length)
    return FALSE;
  message->line = g_strdup(lines[0]);
  message->body = data + head;
  message->length = length;
  message->total = head + length;
  return TRUE;
}

/* The server. */

struct _Listener {
  int fd;
  guint port;
  guint source;
  ServeFunc serve;
  gpointer data;
  GPtrArray *conns;
  gboolean is_silent;
};

typedef struct {
  Listener *listener;
  int fd;
  guint in_source, out_source;
  GByteArray *in;
  GString *out;
  Exchange *exchange;
  gboolean is_close;
} Conn;

struct _Exchange {
  Conn *conn; /* NULL: the client has closed the connection */
};

static void
conn_close(Conn *conn)
{
  if (conn->in_source != 0)
    g_source_remove(conn->in_source);
  if (conn->out_source != 0)
    g_source_remove(conn->out_source);
  close(conn->fd);
  if (conn->exchange != NULL)
    conn->exchange->conn = NULL;
  g_byte_array_unref(conn->in);
  g_string_free(conn->out, TRUE);
  g_ptr_array_remove_fast(conn->listener->conns, conn);
  g_free(conn);
}

static gboolean conn_writable(gint fd, GIOCondition condition, gpointer data);
static void conn_serve(Conn *conn);

/* Returns FALSE if the connection was closed. */
static gboolean
conn_flush(Conn *conn)
{
  while (conn->out->len > 0 && !conn->listener->is_silent) {
    gssize sent = send(conn->fd, conn->out->str, conn->out->len, MSG_NOSIGNAL);
    if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
      if (conn->out_source == 0)
        conn->out_source = g_unix_fd_add(conn->fd, G_IO_OUT, conn_writable, conn);
      return TRUE;
    }
    if (sent < 0) {
      conn_close(conn);
      return FALSE;
    }
    g_string_erase(conn->out, 0, sent);
  }
  if (conn->out->len == 0 && conn->is_close && conn->exchange == NULL) {
    conn_close(conn);
    return FALSE;
  }
  return TRUE;
}

static gboolean
conn_writable(gint fd, GIOCondition condition, gpointer data)
{
  (void)fd;
  (void)condition;
  Conn *conn = data;
  conn->out_source = 0;
  conn_flush(conn);
  return G_SOURCE_REMOVE;
}

static gboolean
conn_readable(gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  Conn *conn = data;
  guint8 buffer[65536];
  gssize got = recv(fd, buffer, sizeof buffer, 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return G_SOURCE_CONTINUE;
  if (got <= 0) {
    conn->in_source = 0;
    conn_close(conn);
    return G_SOURCE_REMOVE;
  }
  g_byte_array_append(conn->in, buffer, (guint)got);
  if (conn->exchange == NULL)
    conn_serve(conn);
  /* conn may be gone now; its source is removed with it. */
  return G_SOURCE_CONTINUE;
}

static void
conn_serve(Conn *conn)
{
  Message message = { 0 };
  if (!parse_message(conn->in, &message))
    return;
  g_auto(GStrv) words = g_strsplit(message.line, " ", 3);
  json_t *body = message.length > 0 ? json_loadb(message.body, message.length, 0, NULL) : NULL;
  g_free(message.line);
  conn->is_close = message.is_close;
  g_byte_array_remove_range(conn->in, 0, (guint)message.total);
  Exchange *exchange = g_new0(Exchange, 1);
  exchange->conn = conn;
  conn->exchange = exchange;
  Listener *listener = conn->listener;
  listener->serve(exchange, words[0], words[1], body, listener->data);
  json_decref(body);
}

void
exchange_reply(Exchange *exchange, guint status, json_t *body)
{
  Conn *conn = exchange->conn;
  g_autofree Exchange *owned = exchange;
  char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : g_strdup("{}");
  json_decref(body);
  if (conn != NULL) {
    conn->exchange = NULL;
    g_string_append_printf(conn->out,
                           "HTTP/1.1 %u X\r\nContent-Type: application/json\r\n"
                           "Content-Length: %zu\r\n\r\n%s",
                           status, strlen(text), text);
    if (conn_flush(conn) && conn->in->len > 0)
      conn_serve(conn);
  }
  free(text);
}

void
exchange_drop(Exchange *exchange)
{
  if (exchange->conn != NULL) {
    Conn *conn = exchange->conn;
    conn->exchange = NULL;
    conn_close(conn);
  }
  g_free(exchange);
}

static gboolean
on_accept(gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  Listener *listener = data;
  int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted < 0)
    return G_SOURCE_CONTINUE;
  int one = 1;
  (void)setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  Conn *conn = g_new0(Conn, 1);
  conn->listener = listener;
  conn->fd = accepted;
  conn->in = g_byte_array_new();
  conn->out = g_string_new(NULL);
  conn->in_source = g_unix_fd_add(accepted, G_IO_IN, conn_readable, conn);
  g_ptr_array_add(listener->conns, conn);
  return G_SOURCE_CONTINUE;
}

Listener *
listener_new(ServeFunc serve, gpointer data)
{
  Listener *listener = g_new0(Listener, 1);
  struct sockaddr_in address = loopback(0);
  listener->fd = new_socket();
  if (bind(listener->fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen(listener->fd, 256) != 0)
    g_error("listen: %s", g_strerror(errno));
  listener->port = bound_port(listener->fd);
  listener->serve = serve;
  listener->data = data;
  listener->conns = g_ptr_array_new();
  listener->source = g_unix_fd_add(listener->fd, G_IO_IN, on_accept, listener);
  return listener;
}

guint
listener_port(const Listener *listener)
{
  return listener->port;
}

void
listener_silence(Listener *listener)
{
  if (listener->is_silent)
    return;
  listener->is_silent = TRUE;
  g_source_remove(listener->source);
  for (guint i = 0; i < listener->conns->len; i++) {
    Conn *conn = g_ptr_array_index(listener->conns, i);
    if (conn->in_source != 0)
      g_source_remove(conn->in_source);
    if (conn->out_source != 0)
      g_source_remove(conn->out_source);
    conn->in_source = conn->out_source = 0;
  }
}

void
listener_resume(Listener *listener)
{
  if (!listener->is_silent)
    return;
  listener->is_silent = FALSE;
  listener->source = g_unix_fd_add(listener->fd, G_IO_IN, on_accept, listener);
  for (guint i = listener->conns->len; i-- > 0;) {
    Conn *conn = g_ptr_array_index(listener->conns, i);
    conn->in_source = g_unix_fd_add(conn->fd, G_IO_IN, conn_readable, conn);
    conn_flush(conn);
  }
}

/* The client. */

struct _Link {
  guint port;
  int fd; /* -1: not connected */
  guint in_source, out_source, timer;
  GByteArray *in;
  GString *out;
  CallFunc done;
  gpointer data;
  gboolean is_busy;
  gboolean is_single;
};

Link *
link_new(guint port)
{
  Link *link = g_new0(Link, 1);
  link->port = port;
  link->fd = -1;
  link->in = g_byte_array_new();
  link->out = g_string_new(NULL);
  return link;
}

static void
link_stop_sources(Link *link)
{
  if (link->in_source != 0)
    g_source_remove(link->in_source);
  if (link->out_source != 0)
    g_source_remove(link->out_source);
  if (link->timer != 0)
    g_source_remove(link->timer);
  link->in_source = link->out_source = link->timer = 0;
}

static void
link_disconnect(Link *link)
{
  link_stop_sources(link);
  if (link->fd >= 0)
    close(link->fd);
  link->fd = -1;
  g_byte_array_set_size(link->in, 0);
  g_string_truncate(link->out, 0);
}

void
link_free(Link *link)
{
  link_disconnect(link);
  g_byte_array_unref(link->in);
  g_string_free(link->out, TRUE);
  g_free(link);
}

void
link_abandon(Link *link)
{
  link_stop_sources(link);
  link->fd = -1; /* stays open until this process ends */
  link_free(link);
}

static void
link_finish(Link *link, guint status, const json_t *body)
{
  CallFunc done = link->done;
  gpointer data = link->data;
  gboolean is_single = link->is_single;
  link->is_busy = FALSE;
  if (is_single)
    link_disconnect(link);
  done(status, body, data); /* may free a link that isn't single */
  if (is_single)
    link_free(link);
}

static void
link_fail(Link *link)
{
  gboolean was_busy = link->is_busy;
  link_disconnect(link);
  if (was_busy)
    link_finish(link, 0, NULL);
}

static gboolean
link_timed_out(gpointer data)
{
  Link *link = data;
  link->timer = 0;
  link_fail(link);
  return G_SOURCE_REMOVE;
}

static gboolean
link_readable(gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  Link *link = data;
  guint8 buffer[65536];
  gssize got = recv(fd, buffer, sizeof buffer, 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return G_SOURCE_CONTINUE;
  if (got <= 0) {
    link_fail(link);
    return G_SOURCE_REMOVE;
  }
  g_byte_array_append(link->in, buffer, (guint)got);
  Message message = { 0 };
  if (!link->is_busy || !parse_message(link->in, &message))
    return G_SOURCE_CONTINUE;
  json_t *body = message.length > 0 ? json_loadb(message.body, message.length, 0, NULL) : NULL;
  guint status = strlen(message.line) > 9 ? (guint)atoi(message.line + 9) : 0;
  g_free(message.line);
  g_byte_array_remove_range(link->in, 0, (guint)message.total);
  if (link->timer != 0)
    g_source_remove(link->timer);
  link->timer = 0;
  if (message.is_close)
    link_disconnect(link);
  link_finish(link, status, body);
  json_decref(body);
  /* The source was removed if the link is gone. */
  return G_SOURCE_CONTINUE;
}

static gboolean
link_writable(gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  Link *link = data;
  gssize sent = send(fd, link->out->str, link->out->len, MSG_NOSIGNAL);
  if (sent < 0 && (errno == EAGAIN || errno == EINTR))
    return G_SOURCE_CONTINUE;
  if (sent < 0) {
    link->out_source = 0;
    link_fail(link);
    return G_SOURCE_REMOVE;
  }
  g_string_erase(link->out, 0, sent);
  if (link->out->len > 0)
    return G_SOURCE_CONTINUE;
  link->out_source = 0;
  return G_SOURCE_REMOVE;
}

static gboolean
link_refused(gpointer data)
{
  Link *link = data;
  link->timer = 0;
  link_fail(link);
  return G_SOURCE_REMOVE;
}

void
link_call(Link *link, const char *method, const char *path, json_t *body, guint timeout_ms,
          CallFunc done, gpointer data)
{
  char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
  json_decref(body);
  link->done = done;
  link->data = data;
  link->is_busy = TRUE;
  g_byte_array_set_size(link->in, 0);
  g_string_printf(link->out,
                  "%s %s HTTP/1.1\r\nHost: 127.0.0.1:%u\r\nContent-Type: application/json\r\n%s"
                  "Content-Length: %zu\r\n\r\n%s",
                  method, path, link->port, link->is_single ? "Connection: close\r\n" : "",
                  text != NULL ? strlen(text) : 0, text != NULL ? text : "");
  free(text);
  link->timer = g_timeout_add(timeout_ms, link_timed_out, link);
  if (link->fd < 0) {
    struct sockaddr_in address = loopback(link->port);
    link->fd = new_socket();
    if (connect(link->fd, (struct sockaddr *)&address, sizeof address) != 0
        && errno != EINPROGRESS) {
      g_source_remove(link->timer);
      link->timer = g_timeout_add(1, link_refused, link);
      return;
    }
    link->in_source = g_unix_fd_add(link->fd, G_IO_IN | G_IO_HUP | G_IO_ERR, link_readable, link);
  }
  link->out_source = g_unix_fd_add(link->fd, G_IO_OUT, link_writable, link);
}

void
call_once(guint port, const char *method, const char *path, json_t *body, guint timeout_ms,
          CallFunc done, gpointer data)
{
  Link *link = link_new(port);
  link->is_single = TRUE;
  link_call(link, method, path, body, timeout_ms, done, data);
}

/* Stand-ins for everything around the controllers, in one process on loopback: the state service,
   the cloud, the workers with the network in front of them, and users. They follow PROTOCOL and
   DEPLOY. A case includes this file, starts the controllers and drives the day. */
#pragma once
#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define MAX_NODES 5

/* ---- time, record ------------------------------------------------------------------------- */

static gint64 t0_us;
static FILE *record;
static gboolean trouble = TRUE;
static GMainLoop *loop;
static char *folder;

static double
now(void)
{
  return (double)(g_get_monotonic_time() - t0_us) / 1e6;
}

static void G_GNUC_PRINTF(1, 2) rec(const char *format, ...)
{
  va_list args;
  va_start(args, format);
  fprintf(record, "%8.3f  ", now());
  vfprintf(record, format, args);
  fputc('\n', record);
  fflush(record);
  va_end(args);
}

/* ---- HTTP over loopback ------------------------------------------------------------------- */

typedef struct Conn Conn;
typedef void (*RequestFunc)(Conn *conn, const char *method, const char *path, const char *body,
                            gsize length, gpointer data);
typedef void (*ReplyFunc)(guint status, json_t *body, gpointer data);

struct Conn {
  int fd;
  guint watch;
  guint out_watch;
  GString *in, *out;
  guint64 id;
  gboolean is_mute; /* the machine at the other end of this socket is silent: nothing is read */
  guint requests;   /* handled so far */
  /* server */
  RequestFunc handler;
  gpointer data;
  /* client */
  gboolean is_client, busy, connecting;
  ReplyFunc reply;
  gpointer reply_data;
  guint timer;
  Conn **owner; /* where the client keeps it */
};

static guint64 last_conn;
static GHashTable *conns; /* id -> Conn */

static void conn_close(Conn *conn);

static void
client_finish(Conn *conn, guint status, json_t *body)
{
  ReplyFunc reply = conn->reply;
  gpointer data = conn->reply_data;
  conn->reply = NULL;
  conn->busy = FALSE;
  if (conn->timer != 0)
    g_source_remove(conn->timer);
  conn->timer = 0;
  if (reply != NULL)
    reply(status, body, data);
}

static void
conn_close(Conn *conn)
{
  if (conn->owner != NULL && *conn->owner == conn)
    *conn->owner = NULL;
  conn->owner = NULL;
  g_hash_table_remove(conns, &conn->id);
  if (conn->watch != 0)
    g_source_remove(conn->watch);
  if (conn->out_watch != 0)
    g_source_remove(conn->out_watch);
  conn->watch = conn->out_watch = 0;
  close(conn->fd);
  if (conn->is_client)
    client_finish(conn, 0, NULL);
  g_string_free(conn->in, TRUE);
  g_string_free(conn->out, TRUE);
  g_free(conn);
}

/* Ends the connection with a reset. */
static void
conn_reset(Conn *conn)
{
  struct linger linger = { 1, 0 };
  setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  conn_close(conn);
}

static gboolean on_writable(gint fd, GIOCondition condition, gpointer data);

/* FALSE: the connection is gone. */
static gboolean
conn_flush(Conn *conn)
{
  while (conn->out->len > 0) {
    gssize n = send(conn->fd, conn->out->str, conn->out->len, MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == ENOTCONN || errno == EINPROGRESS)) {
      if (conn->out_watch == 0)
        conn->out_watch = g_unix_fd_add(conn->fd, G_IO_OUT, on_writable, conn);
      return TRUE;
    }
    if (n < 0) {
      conn_close(conn);
      return FALSE;
    }
    g_string_erase(conn->out, 0, n);
  }
  return TRUE;
}

static gboolean
on_writable(gint fd, GIOCondition condition, gpointer data)
{
  (void)fd;
  (void)condition;
  Conn *conn = data;
  conn->out_watch = 0;
  conn->connecting = FALSE;
  conn_flush(conn);
  return G_SOURCE_REMOVE;
}

/* Answers a request; does nothing if the connection is gone. */
static void
answer(guint64 id, guint status, json_t *body)
{
  Conn *conn = g_hash_table_lookup(conns, &id);
  char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : g_strdup("");
  json_decref(body);
  if (conn != NULL) {
    g_string_append_printf(conn->out,
                           "HTTP/1.1 %u X\r\nContent-Type: application/json\r\nContent-Length: "
                           "%zu\r\n\r\n%s",
                           status, strlen(text), text);
    conn_flush(conn);
  }
  free(text);
}

/* Returns the length of a whole message at the start of the buffer; 0: not there yet. */
static gsize
message_length(const GString *in, gsize *body_at)
{
  const char *end = strstr(in->str, "\r\n\r\n");
  if (end == NULL)
    return 0;
  *body_at = (gsize)(end - in->str) + 4;
  gsize length = 0;
  const char *line = in->str;
  while (line < end) {
    if (g_ascii_strncasecmp(line, "content-length:", 15) == 0)
      length = strtoul(line + 15, NULL, 10);
    line = strstr(line, "\r\n") + 2;
  }
  return in->len >= *body_at + length ? *body_at + length : 0;
}

static gboolean
on_readable(gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  Conn *conn = data;
  char buffer[65536];
  gssize n = recv(fd, buffer, sizeof buffer, 0);
  if (n < 0 && errno == EAGAIN)
    return G_SOURCE_CONTINUE;
  if (n <= 0) {
    conn->watch = 0;
    conn_close(conn);
    return G_SOURCE_REMOVE;
  }
  g_string_append_len(conn->in, buffer, n);
  guint64 id = conn->id;
  gsize body_at = 0, length;
  while ((conn = g_hash_table_lookup(conns, &id)) != NULL
         && (length = message_length(conn->in, &body_at)) > 0) {
    g_autofree char *message = g_strndup(conn->in->str, length);
    g_string_erase(conn->in, 0, (gssize)length);
    if (conn->is_client) {
      guint status = (guint)atoi(message + 9);
      json_t *body = json_loads(message + body_at, 0, NULL);
      gboolean must_close = strcasestr(message, "\r\nconnection: close") != NULL;
      client_finish(conn, status, body);
      json_decref(body);
      if (must_close && (conn = g_hash_table_lookup(conns, &id)) != NULL && !conn->busy)
        conn_close(conn);
    } else {
      g_auto(GStrv) words = g_strsplit(message, " ", 3);
      if (g_strv_length(words) == 3) {
        RequestFunc handler = conn->handler;
        conn->requests++;
        handler(conn, words[0], words[1], message + body_at, length - body_at, conn->data);
      }
    }
  }
  return g_hash_table_lookup(conns, &id) != NULL ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static Conn *
conn_new(int fd)
{
  Conn *conn = g_new0(Conn, 1);
  int one = 1;
  conn->fd = fd;
  conn->id = ++last_conn;
  conn->in = g_string_new(NULL);
  conn->out = g_string_new(NULL);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  fcntl(fd, F_SETFD, FD_CLOEXEC);
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  g_hash_table_insert(conns, &conn->id, conn);
  conn->watch = g_unix_fd_add(fd, G_IO_IN | G_IO_HUP | G_IO_ERR, on_readable, conn);
  return conn;
}

typedef struct {
  int fd;
  guint port, watch;
  RequestFunc handler;
  gpointer data;
} Server;

static gboolean
on_accept(gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  Server *server = data;
  int accepted = accept(fd, NULL, NULL);
  if (accepted >= 0) {
    Conn *conn = conn_new(accepted);
    conn->handler = server->handler;
    conn->data = server->data;
  }
  return G_SOURCE_CONTINUE;
}

static int
bound_socket(guint *port)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons((guint16)*port) };
  socklen_t size = sizeof address;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, (struct sockaddr *)&address, sizeof address) != 0
      || getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
    fprintf(stderr, "no free port\n");
    exit(2);
  }
  *port = ntohs(address.sin_port);
  return fd;
}

static Server *
serve(RequestFunc handler, gpointer data)
{
  Server *server = g_new0(Server, 1);
  server->fd = bound_socket(&server->port);
  server->handler = handler;
  server->data = data;
  listen(server->fd, 256);
  fcntl(server->fd, F_SETFL, O_NONBLOCK);
  server->watch = g_unix_fd_add(server->fd, G_IO_IN, on_accept, server);
  return server;
}

/* A free port below those that the system gives to outgoing connections, so that it is still free
   when a controller is restarted. */
static guint
free_port(void)
{
  for (guint tries = 0; tries < 1000; tries++) {
    struct sockaddr_in address = { .sin_family = AF_INET };
    guint port = (guint)g_random_int_range(15000, 30000);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    address.sin_port = htons((guint16)port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int result = bind(fd, (struct sockaddr *)&address, sizeof address);
    close(fd);
    if (result == 0)
      return port;
  }
  fprintf(stderr, "no free port\n");
  exit(2);
}

static gboolean
on_client_timeout(gpointer data)
{
  Conn *conn = data;
  conn->timer = 0;
  conn_close(conn);
  return G_SOURCE_REMOVE;
}

/* Sends a request over *slot, which is opened if need be and stays open for the next one. */
static void
request(Conn **slot, guint port, const char *method, const char *path, json_t *body,
        guint timeout_ms, ReplyFunc reply, gpointer data)
{
  if (*slot == NULL) {
    struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons((guint16)port) };
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&to, sizeof to) != 0 && errno != EINPROGRESS) {
      close(fd);
      json_decref(body);
      reply(0, NULL, data);
      return;
    }
    *slot = conn_new(fd);
    (*slot)->is_client = TRUE;
    (*slot)->owner = slot;
  }
  Conn *conn = *slot;
  char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : g_strdup("");
  json_decref(body);
  conn->busy = TRUE;
  conn->reply = reply;
  conn->reply_data = data;
  conn->timer = g_timeout_add(timeout_ms, on_client_timeout, conn);
  g_string_append_printf(conn->out,
                         "%s %s HTTP/1.1\r\nHost: 127.0.0.1:%u\r\nContent-Type: "
                         "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                         method, path, port, strlen(text), text);
  free(text);
  conn_flush(conn);
}

/* ---- controllers -------------------------------------------------------------------------- */

typedef struct {
  char *name;
  const char *zone;
  guint api_port, mesh_port;
  Server *state, *cloud;
  char *config;
  pid_t pid;
} Node;

static Node nodes[MAX_NODES];
static guint node_count;
static char **run_words; /* of the deploy file */

static void
start_node(guint i)
{
  Node *node = &nodes[i];
  g_autofree char *log = g_strdup_printf("%s/%s.log", folder, node->name);
  node->pid = fork();
  if (node->pid == 0) {
    GPtrArray *argv = g_ptr_array_new();
    int fd = open(log, O_CREAT | O_WRONLY | O_APPEND, 0644);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(fd, 2);
    dup2(fd, 1);
    for (guint w = 0; run_words[w] != NULL; w++)
      g_ptr_array_add(argv, run_words[w]);
    g_ptr_array_add(argv, node->config);
    g_ptr_array_add(argv, NULL);
    execv(argv->pdata[0], (char **)argv->pdata);
    _exit(127);
  }
  rec("controller %s started", node->name);
}

static void
kill_node(guint i)
{
  if (nodes[i].pid <= 0)
    return;
  kill(nodes[i].pid, SIGKILL);
  waitpid(nodes[i].pid, NULL, 0);
  nodes[i].pid = 0;
  rec("controller %s killed", nodes[i].name);
}

/* Notes controllers that ended by themselves. */
static guint
reap_nodes(void)
{
  guint ended = 0;
  for (guint i = 0; i < node_count; i++) {
    int status;
    if (nodes[i].pid > 0 && waitpid(nodes[i].pid, &status, WNOHANG) == nodes[i].pid) {
      rec("controller %s ended by itself, status %d", nodes[i].name, status);
      nodes[i].pid = 0;
      ended++;
    }
  }
  return ended;
}

/* ---- state service ------------------------------------------------------------------------ */

typedef struct {
  json_t *value;
  guint64 version, lease;
} Item;

typedef struct {
  guint64 revision;
  char *key;
  json_t *value;
} Change;

typedef struct {
  guint64 id;
  double ttl, ends;
} Hold;

typedef struct {
  guint64 conn, from;
  char *prefix;
  double ends;
} Watch;

static GTree *kv;
static GPtrArray *changes, *watches;
static GHashTable *holds;
static guint64 revision = 1, last_hold;

static void
item_free(gpointer data)
{
  json_decref(((Item *)data)->value);
  g_free(data);
}

static json_t *
changes_after(const char *prefix, guint64 from)
{
  json_t *log = json_array();
  guint first = changes->len;
  while (first > 0 && ((const Change *)changes->pdata[first - 1])->revision > from)
    first--;
  for (guint i = first; i < changes->len; i++) {
    const Change *change = changes->pdata[i];
    if (!g_str_has_prefix(change->key, prefix))
      continue;
    json_array_append_new(log, change->value != NULL
                                   ? json_pack("{s:s, s:O, s:I}", "set", change->key, "value",
                                               change->value, "verze", (json_int_t)change->revision)
                                   : json_pack("{s:s, s:I}", "remove", change->key, "verze",
                                               (json_int_t)change->revision));
  }
  return log;
}

static void
serve_watches(void)
{
  for (guint i = watches->len; i-- > 0;) {
    Watch *watch = watches->pdata[i];
    json_t *log = changes_after(watch->prefix, watch->from);
    if (json_array_size(log) == 0 && now() < watch->ends) {
      json_decref(log);
      continue;
    }
    answer(watch->conn, 200, json_pack("{s:I, s:o}", "zmena", (json_int_t)revision, "log", log));
    g_free(watch->prefix);
    g_free(watch);
    g_ptr_array_remove_index_fast(watches, i);
  }
}

static void
change_key(const char *key, json_t *value, guint64 lease)
{
  Change *change = g_new0(Change, 1);
  *change = (Change){ revision, g_strdup(key), json_incref(value) };
  g_ptr_array_add(changes, change);
  if (value == NULL) {
    g_tree_remove(kv, key);
    return;
  }
  Item *item = g_new0(Item, 1);
  *item = (Item){ json_incref(value), revision, lease };
  g_tree_replace(kv, g_strdup(key), item);
}

static gboolean
collect_leased(gpointer key, gpointer value, gpointer data)
{
  gpointer *args = data;
  if (((Item *)value)->lease == *(guint64 *)args[0])
    g_ptr_array_add(args[1], g_strdup(key));
  return FALSE;
}

static void
end_hold(Hold *hold)
{
  g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
  gpointer args[] = { &hold->id, keys };
  g_tree_foreach(kv, collect_leased, args);
  if (keys->len > 0)
    revision++;
  for (guint i = 0; i < keys->len; i++)
    change_key(keys->pdata[i], NULL, 0);
  g_hash_table_remove(holds, &hold->id);
}

static void
expire_holds(void)
{
  GHashTableIter iter;
  gpointer value;
  g_autoptr(GPtrArray) ended = g_ptr_array_new();
  g_hash_table_iter_init(&iter, holds);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    if (now() > ((Hold *)value)->ends)
      g_ptr_array_add(ended, value);
  for (guint i = 0; i < ended->len; i++)
    end_hold(ended->pdata[i]);
}

static void
state_txn(guint64 conn, json_t *body)
{
  json_t *failed = json_array(), *entry;
  size_t i;
  json_array_foreach(json_object_get(body, "if"), i, entry)
  {
    const char *key = json_string_value(json_object_get(entry, "k"));
    const Item *item = g_tree_lookup(kv, key);
    if ((item != NULL ? item->version : 0)
        != (guint64)json_integer_value(json_object_get(entry, "verze")))
      json_array_append_new(failed, json_string(key));
  }
  if (json_array_size(failed) > 0) {
    answer(conn, 409, json_pack("{s:o, s:I}", "failed", failed, "zmena", (json_int_t)revision));
    return;
  }
  json_decref(failed);
  json_t *apply = json_object_get(body, "apply");
  json_array_foreach(apply, i, entry)
  {
    guint64 lease = (guint64)json_integer_value(json_object_get(entry, "najem"));
    if (json_object_get(entry, "set") != NULL && lease != 0
        && !g_hash_table_contains(holds, &lease)) {
      answer(conn, 400, json_pack("{s:s}", "error", "no such lease"));
      return;
    }
  }
  if (json_array_size(apply) > 0)
    revision++;
  json_array_foreach(apply, i, entry)
  {
    const char *set = json_string_value(json_object_get(entry, "set"));
    const char *removed = json_string_value(json_object_get(entry, "remove"));
    if (set != NULL)
      change_key(set, json_object_get(entry, "value"),
                 (guint64)json_integer_value(json_object_get(entry, "najem")));
    else if (removed != NULL && g_tree_lookup(kv, removed) != NULL)
      change_key(removed, NULL, 0);
  }
  answer(conn, 200, json_pack("{s:I}", "zmena", (json_int_t)revision));
  serve_watches();
}

static char *
query(const char *path, const char *name)
{
  const char *mark = strchr(path, '?');
  g_auto(GStrv) parts = g_strsplit(mark != NULL ? mark + 1 : "", "&", -1);
  gsize length = strlen(name);
  for (guint i = 0; parts[i] != NULL; i++)
    if (strncmp(parts[i], name, length) == 0 && parts[i][length] == '=')
      return g_uri_unescape_string(parts[i] + length + 1, NULL);
  return NULL;
}

static void
state_page(guint64 conn, const char *path)
{
  g_autofree char *prefix = query(path, "starts"), *from = query(path, "from"),
                  *size = query(path, "page");
  guint limit = size != NULL ? MIN((guint)atoi(size), 1000u) : 1000;
  json_t *pairs = json_array();
  gboolean more = FALSE;
  GTreeNode *node = g_tree_lower_bound(kv, from != NULL ? from : prefix);
  for (; node != NULL && g_str_has_prefix(g_tree_node_key(node), prefix);
       node = g_tree_node_next(node)) {
    const Item *item = g_tree_node_value(node);
    if (from != NULL && strcmp(g_tree_node_key(node), from) <= 0)
      continue;
    if (json_array_size(pairs) >= limit) {
      more = TRUE;
      break;
    }
    json_array_append_new(pairs, json_pack("{s:s, s:O, s:I}", "k", g_tree_node_key(node), "value",
                                           item->value, "verze", (json_int_t)item->version));
  }
  answer(conn, 200,
         json_pack("{s:o, s:b, s:I}", "pairs", pairs, "more", more, "zmena", (json_int_t)revision));
}

static void
state_follow(guint64 conn, const char *path)
{
  g_autofree char *from = query(path, "from"), *wait = query(path, "wait_ms");
  Watch *watch = g_new0(Watch, 1);
  *watch = (Watch){ conn, strtoull(from, NULL, 10), query(path, "starts"),
                    now() + (wait != NULL ? atof(wait) / 1000.0 : 0) };
  g_ptr_array_add(watches, watch);
  serve_watches();
}

static void
state_hold(guint64 conn, const char *method, const char *path, json_t *body)
{
  if (strcmp(path, "/holds") == 0) {
    Hold *hold = g_new0(Hold, 1);
    double ttl = json_number_value(json_object_get(body, "ttl_ms")) / 1000.0;
    *hold = (Hold){ ++last_hold, ttl, now() + ttl };
    g_hash_table_insert(holds, &hold->id, hold);
    answer(conn, 200, json_pack("{s:I}", "najem", (json_int_t)hold->id));
    return;
  }
  guint64 id = strtoull(path + strlen("/holds/"), NULL, 10);
  Hold *hold = g_hash_table_lookup(holds, &id);
  if (hold == NULL) {
    answer(conn, 404, json_pack("{s:I}", "zmena", (json_int_t)revision));
    return;
  }
  if (strcmp(method, "DELETE") == 0)
    end_hold(hold);
  else
    hold->ends = now() + hold->ttl;
  answer(conn, 200, json_pack("{s:I}", "najem", (json_int_t)id));
  serve_watches();
}

/* A request to the state service, handled state_latency_ms after it came. */
typedef struct {
  guint64 conn;
  char *method, *path;
  json_t *body;
} StateRequest;

static guint state_latency_ms = 8;

static gboolean
on_state_turn(gpointer data)
{
  StateRequest *request = data;
  if (strcmp(request->path, "/multi") == 0)
    state_txn(request->conn, request->body);
  else if (g_str_has_prefix(request->path, "/kv?"))
    state_page(request->conn, request->path);
  else if (g_str_has_prefix(request->path, "/follow"))
    state_follow(request->conn, request->path);
  else if (g_str_has_prefix(request->path, "/holds"))
    state_hold(request->conn, request->method, request->path, request->body);
  else
    answer(request->conn, 404, json_pack("{s:I}", "zmena", (json_int_t)revision));
  json_decref(request->body);
  g_free(request->method);
  g_free(request->path);
  g_free(request);
  return G_SOURCE_REMOVE;
}

static void
on_state(Conn *conn, const char *method, const char *path, const char *body, gsize length,
         gpointer data)
{
  (void)data;
  StateRequest *request = g_new0(StateRequest, 1);
  *request = (StateRequest){ conn->id, g_strdup(method), g_strdup(path),
                             json_loadb(body, length, 0, NULL) };
  g_timeout_add(state_latency_ms, on_state_turn, request);
}

/* ---- jobs --------------------------------------------------------------------------------- */

typedef struct {
  char *id;
  json_t *spec;
  double run_s;         /* 0: until it is stopped */
  gboolean is_mistaken; /* its tasks fail on every machine after run_s */
  gboolean is_accepted;
  char *state;        /* last answer */
  double answered_at; /* when a poll was last answered */
} Job;

static GHashTable *jobs;

/* ---- cloud and machines ------------------------------------------------------------------- */

typedef struct {
  char *job;
  guint task;
  guint64 attempt;
  char *state;
  const char *why;
  double next; /* when the state changes by itself; 0: it doesn't */
} Task;

typedef struct Machine {
  char *name;
  const char *type, *zone;
  gboolean is_spot, is_up, is_silent, is_gone;
  double rented, up_at;
  Server *server;
  guint64 session, seq, token;
  GPtrArray *tasks; /* of Task */
  guint node;       /* it reports to this one */
  Conn *conn;
  double next_report, last_sent, lease_from, reported_at;
  gboolean in_flight, has_news;
  guint64 flight; /* identifies the report in flight */
  guint64 flight_session;
  gboolean holds_command; /* a command is held up on its way to this machine */
  double held_at;
} Machine;

static GPtrArray *machines;
static guint last_machine;
static double boot_s = 20, up_within_s = 1.5, fetch_s = 0.3, report_s = 2.0, lease_s = 14.0;
static double machine_cpus = 24, machine_gpus = 2, machine_gb = 96;
static const char *type_name = "kotva";
static guint max_machines = 94;
static GHashTable *orders;     /* answers by request name */
static GHashTable *running_on; /* task -> GPtrArray of Machine */
static GHashTable *done_tasks; /* names of tasks that have completed */
static guint ran_twice, launches_run;
static gboolean (*intercept_command)(Conn *conn, Machine *machine, json_t *message) = NULL;
static void (*on_task_start)(Machine *machine, Task *task) = NULL;

static void
came_on(Machine *machine, Task *task)
{
  g_autofree char *name = g_strdup_printf("%s/%u", task->job, task->task);
  GPtrArray *on = g_hash_table_lookup(running_on, name);
  if (on == NULL) {
    on = g_ptr_array_new();
    g_hash_table_insert(running_on, g_strdup(name), on);
  }
  launches_run++;
  rec("task %s attempt %" G_GUINT64_FORMAT " starts on %s", name, task->attempt, machine->name);
  for (guint i = 0; i < on->len; i++)
    if (on->pdata[i] != machine) {
      ran_twice++;
      rec("BROKEN ran_twice: task %s starts on %s while it is on %s", name, machine->name,
          ((Machine *)on->pdata[i])->name);
    }
  g_ptr_array_add(on, machine);
  if (on_task_start != NULL)
    on_task_start(machine, task);
}

static void
went_off(Machine *machine, Task *task, const char *why)
{
  g_autofree char *name = g_strdup_printf("%s/%u", task->job, task->task);
  GPtrArray *on = g_hash_table_lookup(running_on, name);
  rec("task %s attempt %" G_GUINT64_FORMAT " ends on %s: %s", name, task->attempt, machine->name,
      why);
  if (on != NULL)
    g_ptr_array_remove(on, machine);
}

static void
task_exit(Machine *machine, Task *task, const char *why)
{
  if (strcmp(task->state, "running") == 0)
    went_off(machine, task, why);
  if (strcmp(why, "done") == 0)
    g_hash_table_add(done_tasks, g_strdup_printf("%s/%u", task->job, task->task));
  task->state = "exited";
  task->why = why;
  task->next = 0;
  machine->has_news = TRUE;
}

static Task *
find_task(Machine *machine, const char *job, guint number, guint64 attempt, gboolean any_attempt)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    Task *task = machine->tasks->pdata[i];
    if (strcmp(task->job, job) == 0 && task->task == number
        && (any_attempt ? strcmp(task->state, "exited") != 0 : task->attempt == attempt))
      return task;
  }
  return NULL;
}

static gboolean
has_room(const Machine *machine, const Job *job)
{
  double cpus = 0, gpus = 0, gb = 0;
  for (guint i = 0; i <= machine->tasks->len; i++) {
    const Task *task = i < machine->tasks->len ? machine->tasks->pdata[i] : NULL;
    if (task != NULL && strcmp(task->state, "exited") == 0)
      continue;
    const Job *of = task != NULL ? g_hash_table_lookup(jobs, task->job) : job;
    cpus += json_number_value(json_object_get(of->spec, "cpus"));
    gpus += json_number_value(json_object_get(of->spec, "accelerators"));
    gb += json_number_value(json_object_get(of->spec, "mem_gb"));
  }
  return cpus <= machine_cpus + 1e-9 && gpus <= machine_gpus + 1e-9 && gb <= machine_gb + 1e-9;
}

static void
launch(Machine *machine, const char *job_id, guint number, guint64 attempt)
{
  if (find_task(machine, job_id, number, attempt, FALSE) != NULL)
    return;
  const Job *job = g_hash_table_lookup(jobs, job_id);
  gboolean is_busy = find_task(machine, job_id, number, 0, TRUE) != NULL;
  Task *task = g_new0(Task, 1);
  *task = (Task){ g_strdup(job_id), number, attempt, "fetching", NULL, now() + fetch_s };
  if (job == NULL || is_busy || !has_room(machine, job))
    *task = (Task){
      task->job, number, attempt, "exited", job == NULL ? "no_such" : is_busy ? "busy" : "full", 0
    };
  g_ptr_array_add(machine->tasks, task);
  machine->has_news = TRUE;
}

static void
task_free(gpointer data)
{
  g_free(((Task *)data)->job);
  g_free(data);
}

static void
carry_out(Machine *machine, json_t *commands)
{
  size_t i;
  json_t *entry;
  json_array_foreach(commands, i, entry)
  {
    const char *op = json_string_value(json_object_get(entry, "ukon"));
    const char *name = json_string_value(json_object_get(entry, "kus"));
    guint64 attempt = (guint64)json_integer_value(json_object_get(entry, "pokus"));
    g_auto(GStrv) parts = g_strsplit(name, "/", 2);
    guint number = (guint)atoi(parts[1]);
    Task *task = find_task(machine, parts[0], number, attempt, FALSE);
    rec("%s carries out %s %s attempt %" G_GUINT64_FORMAT, machine->name, op, name, attempt);
    if (strcmp(op, "launch") == 0)
      launch(machine, parts[0], number, attempt);
    else if (strcmp(op, "halt") == 0 && task != NULL && strcmp(task->state, "exited") != 0)
      task_exit(machine, task, "stopped");
    else if (strcmp(op, "reap") == 0 && task != NULL && strcmp(task->state, "exited") == 0) {
      g_ptr_array_remove(machine->tasks, task);
      machine->has_news = TRUE;
    }
  }
}

static json_t *
report_of(Machine *machine)
{
  g_autofree char *endpoint = g_strdup_printf("127.0.0.1:%u", machine->server->port);
  json_t *tasks = json_array();
  for (guint i = 0; i < machine->tasks->len; i++) {
    const Task *task = machine->tasks->pdata[i];
    g_autofree char *name = g_strdup_printf("%s/%u", task->job, task->task);
    json_t *entry = json_pack("{s:s, s:I, s:s}", "kus", name, "pokus", (json_int_t)task->attempt,
                              "stav", task->state);
    if (task->why != NULL)
      json_object_set_new(entry, "duvod", json_string(task->why));
    json_array_append_new(tasks, entry);
  }
  return json_pack("{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:n, s:o}", "stroj", machine->name,
                   "endpoint", endpoint, "typ", machine->type, "hala", machine->zone, "vypujcky",
                   machine->is_spot, "smena", (json_int_t)machine->session, "poradi",
                   (json_int_t)++machine->seq, "pecet", (json_int_t)machine->token, "vypoved_s",
                   "kusy", tasks);
}

/* What the worker does with a command that has reached it. NULL: 400 */
static json_t *
take_commands(Machine *machine, json_t *message, guint *status)
{
  json_t *token = json_object_get(message, "pecet"), *session = json_object_get(message, "smena");
  if (!json_is_integer(token) || !json_is_integer(session)) {
    *status = 400;
    return json_object();
  }
  if ((guint64)json_integer_value(token) < machine->token
      || (guint64)json_integer_value(session) != machine->session) {
    *status = 409;
    return report_of(machine);
  }
  if ((guint64)json_integer_value(token) > machine->token) {
    machine->token = (guint64)json_integer_value(token);
    machine->has_news = TRUE;
  }
  carry_out(machine, json_object_get(message, "prikazy"));
  *status = 200;
  return report_of(machine);
}

static void
on_worker(Conn *conn, const char *method, const char *path, const char *body, gsize length,
          gpointer data)
{
  (void)method;
  Machine *machine = data;
  if (machine->is_silent || machine->is_gone)
    return; /* no answer, ever */
  if (strcmp(path, "/status") == 0) {
    answer(conn->id, 200, report_of(machine));
    return;
  }
  json_t *message = json_loadb(body, length, 0, NULL);
  if (intercept_command == NULL || !intercept_command(conn, machine, message)) {
    guint status;
    guint64 id = conn->id;
    json_t *reply = take_commands(machine, message, &status);
    answer(id, status, reply);
  }
  json_decref(message);
}

typedef struct {
  Machine *machine;
  guint64 flight, session;
} Flight;

static void
next_node(Machine *machine)
{
  if (machine->conn != NULL && !machine->conn->busy)
    conn_close(machine->conn);
  machine->node = (machine->node + 1) % node_count;
  machine->next_report = now() + 1.0;
}

static void
on_report_reply(guint status, json_t *body, gpointer data)
{
  g_autofree Flight *flight = data;
  Machine *machine = flight->machine;
  if (machine->flight != flight->flight)
    return;
  machine->in_flight = FALSE;
  if (machine->is_silent || machine->is_gone)
    return;
  const char *to = json_string_value(json_object_get(body, "hlasit_komu"));
  if (status == 421 && to != NULL && strcmp(to, nodes[machine->node].name) != 0) {
    for (guint i = 0; i < node_count; i++)
      if (strcmp(nodes[i].name, to) == 0) {
        if (machine->conn != NULL && !machine->conn->busy)
          conn_close(machine->conn);
        machine->node = i;
        machine->next_report = now() + g_random_double_range(0, 0.5);
        return;
      }
  }
  if (status != 200) {
    next_node(machine);
    return;
  }
  machine->next_report = now() + report_s * g_random_double_range(0.75, 1.25);
  json_t *token = json_object_get(body, "pecet");
  if (!json_is_integer(token) || (guint64)json_integer_value(token) < machine->token
      || flight->session != machine->session)
    return;
  if ((guint64)json_integer_value(token) > machine->token)
    machine->has_news = TRUE;
  machine->token = (guint64)json_integer_value(token);
  machine->lease_from = machine->last_sent;
  carry_out(machine, json_object_get(body, "prikazy"));
}

static void
send_report(Machine *machine)
{
  Flight *flight = g_new0(Flight, 1);
  *flight = (Flight){ machine, ++machine->flight, machine->session };
  machine->in_flight = TRUE;
  machine->has_news = FALSE;
  machine->last_sent = now();
  request(&machine->conn, nodes[machine->node].api_port, "POST", "/v1/report", report_of(machine),
          4000, on_report_reply, flight);
}

static void
machine_comes_up(Machine *machine)
{
  machine->is_up = TRUE;
  machine->session = 1;
  machine->lease_from = now();
  machine->next_report = now();
  rec("machine %s is up in %s%s", machine->name, machine->zone, machine->is_spot ? " (spot)" : "");
}

static void
end_session(Machine *machine, const char *why)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    Task *task = machine->tasks->pdata[i];
    if (strcmp(task->state, "running") == 0)
      went_off(machine, task, why);
  }
  g_ptr_array_set_size(machine->tasks, 0);
}

static void
tick_machine(Machine *machine)
{
  if (machine->is_gone || machine->is_silent)
    return;
  if (!machine->is_up) {
    if (now() >= machine->up_at)
      machine_comes_up(machine);
    return;
  }
  for (guint i = 0; i < machine->tasks->len; i++) {
    Task *task = machine->tasks->pdata[i];
    if (task->next == 0 || now() < task->next)
      continue;
    const Job *job = g_hash_table_lookup(jobs, task->job);
    if (strcmp(task->state, "fetching") == 0) {
      task->state = "running";
      task->next = job->run_s > 0 ? now() + job->run_s : 0;
      machine->has_news = TRUE;
      came_on(machine, task);
    } else if (strcmp(task->state, "running") == 0) {
      task_exit(machine, task, job->is_mistaken ? "error" : "done");
    }
  }
  if (now() - machine->lease_from > lease_s) {
    rec("machine %s: lease of session %" G_GUINT64_FORMAT " is over", machine->name,
        machine->session);
    end_session(machine, "killed");
    machine->session++;
    machine->seq = 0;
    machine->lease_from = now();
    machine->has_news = TRUE;
  }
  if (!machine->in_flight
      && (now() >= machine->next_report
          || (machine->has_news && now() >= machine->last_sent + 0.5)))
    send_report(machine);
}

static Machine *
add_machine(const char *zone, gboolean is_spot, double boot)
{
  Machine *machine = g_new0(Machine, 1);
  machine->name = g_strdup_printf("m-%06u", ++last_machine);
  machine->type = type_name;
  machine->zone = g_intern_string(zone);
  machine->is_spot = is_spot;
  machine->rented = now();
  machine->up_at = now() + boot;
  machine->tasks = g_ptr_array_new_with_free_func(task_free);
  machine->node = last_machine % node_count;
  machine->server = serve(on_worker, machine);
  g_ptr_array_add(machines, machine);
  return machine;
}

/* The machine has no power any more: its sockets stay as they are for the others, without a word.
   To the other end this is a connection that hangs without any error. */
static void
machine_loses_power(Machine *machine)
{
  end_session(machine, "the machine is gone");
  machine->is_silent = TRUE;
  machine->flight++;
  if (machine->conn != NULL) {
    Conn *conn = machine->conn;
    if (conn->timer != 0)
      g_source_remove(conn->timer);
    conn->timer = 0;
    if (conn->watch != 0)
      g_source_remove(conn->watch);
    conn->watch = 0;
    conn->reply = NULL;
    conn->owner = NULL; /* the socket stays open, nobody reads or writes it */
    machine->conn = NULL;
  }
}

static guint
count_machines(void)
{
  guint count = 0;
  for (guint i = 0; i < machines->len; i++) {
    const Machine *machine = machines->pdata[i];
    count += !machine->is_gone && !machine->is_silent;
  }
  return count;
}

static const char *const *zones;

static void
on_cloud(Conn *conn, const char *method, const char *path, const char *body, gsize length,
         gpointer data)
{
  (void)data;
  json_t *message = json_loadb(body, length, 0, NULL);
  guint64 id = conn->id;
  if (g_str_has_prefix(path, "/catalog")) {
    json_t *in = json_array();
    for (guint z = 0; zones[z] != NULL; z++)
      json_array_append_new(in, json_string(zones[z]));
    answer(id, 200,
           json_pack("{s:[{s:s, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:o}]}", "typy", "sku",
                     type_name, "cpus", machine_cpus, "accelerators", machine_gpus, "mem_gb",
                     machine_gb, "local_gb", 200.0, "pull_gb_per_s", 1.0, "price", 7.53,
                     "low_price", 2.24, "boot_s", boot_s, "haly", in));
  } else if (strcmp(path, "/machines") == 0 && strcmp(method, "POST") == 0) {
    const char *order = json_string_value(json_object_get(message, "objednavka"));
    json_t *known = g_hash_table_lookup(orders, order);
    if (known == NULL) {
      guint count = (guint)json_integer_value(json_object_get(message, "how_many"));
      json_t *names = json_array();
      for (guint i = 0; i < count && count_machines() < max_machines; i++) {
        Machine *machine = add_machine(json_string_value(json_object_get(message, "hala")),
                                       json_is_true(json_object_get(message, "vypujcky")),
                                       up_within_s * g_random_double_range(0.6, 1.3));
        json_array_append_new(names, json_string(machine->name));
      }
      if (json_array_size(names) > 0) {
        known = json_pack("{s:o}", "stroje", names);
        g_hash_table_insert(orders, g_strdup(order), known);
        char *text = json_dumps(known, 0);
        rec("cloud: %s rented: %s", order, text);
        free(text);
      } else {
        json_decref(names);
      }
    }
    if (known != NULL)
      answer(id, 200, json_incref(known));
    else
      answer(id, 503, json_pack("{s:s}", "error", "no capacity"));
  } else if (strcmp(path, "/machines/return") == 0) {
    size_t i;
    json_t *name;
    json_array_foreach(json_object_get(message, "stroje"), i, name)
    {
      for (guint m = 0; m < machines->len; m++) {
        Machine *machine = machines->pdata[m];
        if (machine->is_gone || strcmp(machine->name, json_string_value(name)) != 0)
          continue;
        rec("cloud: %s returned", machine->name);
        if (!machine->is_silent)
          machine_loses_power(machine);
        machine->is_gone = TRUE;
      }
    }
    answer(id, 200, json_object());
  } else if (g_str_has_prefix(path, "/machines")) {
    json_t *list = json_array();
    g_autofree char *from = query(path, "from"), *page = query(path, "page");
    gboolean more = FALSE;
    for (guint i = 0; i < machines->len; i++) {
      const Machine *machine = machines->pdata[i];
      if (machine->is_gone || now() - machine->rented < 1.0
          || (from != NULL && strcmp(machine->name, from) <= 0))
        continue;
      if (json_array_size(list) >= (page != NULL ? (gsize)atoi(page) : 500)) {
        more = TRUE;
        break;
      }
      g_autofree char *endpoint = g_strdup_printf("127.0.0.1:%u", machine->server->port);
      json_array_append_new(
          list, json_pack("{s:s, s:s, s:s, s:s, s:b, s:s, s:f}", "id", machine->name, "endpoint",
                          endpoint, "typ", machine->type, "hala", machine->zone, "vypujcky",
                          machine->is_spot, "stav", machine->is_up ? "running" : "starting",
                          "age_s", now() - machine->rented));
    }
    answer(id, 200, json_pack("{s:o, s:b}", "stroje", list, "more", more));
  } else {
    answer(id, 400, json_object());
  }
  json_decref(message);
}

/* ---- users -------------------------------------------------------------------------------- */

typedef struct {
  Job *job;
  const char *method;
  char *path;
  json_t *body;
  guint timeout_ms, node;
  Conn *conn;
  void (*done)(guint status, json_t *body, Job *job, guint node);
} UserRequest;

static guint next_user_node;

static void
on_user_reply(guint status, json_t *body, gpointer data)
{
  UserRequest *user = data;
  char *text = body != NULL ? json_dumps(body, JSON_COMPACT) : NULL;
  rec("user: %s %s at %s -> %u %s", user->method, user->path, nodes[user->node].name, status,
      text != NULL ? text : "(no response)");
  free(text);
  if (user->done != NULL)
    user->done(status, body, user->job, user->node);
  if (user->conn != NULL) {
    user->conn->owner = NULL;
    shutdown(user->conn->fd, SHUT_RDWR); /* one request a connection; closed as it is read */
  }
  g_free(user->path);
  g_free(user);
}

/* One request on a new connection to the node. */
static void
user_send(guint node, const char *method, const char *path, json_t *body, Job *job,
          guint timeout_ms, void (*done)(guint, json_t *, Job *, guint))
{
  UserRequest *user = g_new0(UserRequest, 1);
  *user = (UserRequest){ job, method, g_strdup(path), NULL, timeout_ms, node, NULL, done };
  request(&user->conn, nodes[node].api_port, method, path, body, timeout_ms, on_user_reply, user);
}

static Job *
new_job(guint number, json_t *spec, double run_s, gboolean is_mistaken)
{
  Job *job = g_new0(Job, 1);
  job->id = g_strdup_printf("req-%06u", number);
  json_object_set_new(spec, "id", json_string(job->id));
  job->spec = spec;
  job->run_s = run_s;
  job->is_mistaken = is_mistaken;
  g_hash_table_insert(jobs, job->id, job);
  return job;
}

static void submit(Job *job);

static gboolean
resubmit(gpointer data)
{
  submit(data);
  return G_SOURCE_REMOVE;
}

static void
on_submitted(guint status, json_t *body, Job *job, guint node)
{
  (void)body;
  (void)node;
  if (status == 200 || status == 201)
    job->is_accepted = TRUE;
  else
    g_timeout_add(1000, resubmit, job);
}

static void
submit(Job *job)
{
  user_send(next_user_node++ % node_count, "POST", "/api/jobs", json_deep_copy(job->spec), job,
            5000, on_submitted);
}

/* ---- history ------------------------------------------------------------------------------ */

/* Returns the record that the store holds of a job that has ended; NULL: it hasn't yet. */
static json_t *
final_record(const Job *job)
{
  g_autofree char *key = g_strdup_printf("w/job/%s", job->id);
  const Item *item = g_tree_lookup(kv, key);
  return item != NULL && json_object_get(item->value, "spec") == NULL ? item->value : NULL;
}

/* Fills the store with jobs that ended on earlier days, each with the given record. The ids come in
   no order. */
static void
add_history(json_t *ended, guint count)
{
  char *text = json_dumps(ended, JSON_COMPACT);
  json_t *value = json_incref(ended);
  for (guint added = 0; added < count;) {
    char *key = g_strdup_printf("w/job/req-%06d", g_random_int_range(0, 1000000));
    if (g_tree_lookup(kv, key) != NULL) {
      g_free(key);
      continue;
    }
    Item *item = g_new0(Item, 1);
    *item = (Item){ json_incref(value), ++revision, 0 };
    g_tree_insert(kv, key, item);
    added++;
  }
  rec("the day begins: the store holds %u jobs that have ended, each as %s", count, text);
  free(text);
  json_decref(value);
}

/* ---- the day ------------------------------------------------------------------------------ */

static gboolean
world_tick(gpointer data)
{
  (void)data;
  expire_holds();
  serve_watches();
  for (guint i = 0; i < machines->len; i++)
    tick_machine(machines->pdata[i]);
  return G_SOURCE_CONTINUE;
}

/* argv: FOLDER RUN-COMMAND RECORD. Makes the stand-ins and the settings files. @params: "params" */
static void
world_init(int argc, char **argv, guint count, const char *const *zone_names, json_t *params)
{
  if (argc != 4)
    exit(2);
  folder = argv[1];
  run_words = g_strsplit(argv[2], " ", -1);
  trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
  signal(SIGPIPE, SIG_IGN);
  t0_us = g_get_monotonic_time();
  record = fopen(argv[3], "w");
  if (record == NULL)
    exit(2);
  conns = g_hash_table_new(g_int64_hash, g_int64_equal);
  jobs = g_hash_table_new(g_str_hash, g_str_equal);
  orders = g_hash_table_new(g_str_hash, g_str_equal);
  running_on = g_hash_table_new(g_str_hash, g_str_equal);
  done_tasks = g_hash_table_new(g_str_hash, g_str_equal);
  machines = g_ptr_array_new();
  kv = g_tree_new_full((GCompareDataFunc)(void (*)(void))strcmp, NULL, g_free, item_free);
  changes = g_ptr_array_new();
  watches = g_ptr_array_new();
  holds = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
  loop = g_main_loop_new(NULL, FALSE);
  node_count = count;
  zones = zone_names;
  for (guint i = 0; i < count; i++) {
    nodes[i].name = g_strdup_printf("uzel-%u", i);
    nodes[i].zone = zones[i % g_strv_length((char **)zones)];
    nodes[i].api_port = free_port();
    nodes[i].mesh_port = free_port();
    nodes[i].state = serve(on_state, &nodes[i]);
    nodes[i].cloud = serve(on_cloud, &nodes[i]);
  }
  for (guint i = 0; i < count; i++) {
    json_t *peers = json_array();
    for (guint p = 0; p < count; p++) {
      g_autofree char *mesh = g_strdup_printf("127.0.0.1:%u", nodes[p].mesh_port);
      if (p != i)
        json_array_append_new(peers, json_pack("{s:s, s:s, s:s}", "node_name", nodes[p].name,
                                               "zone", nodes[p].zone, "endpoint", mesh));
    }
    g_autofree char *api = g_strdup_printf("127.0.0.1:%u", nodes[i].api_port);
    g_autofree char *mesh = g_strdup_printf("127.0.0.1:%u", nodes[i].mesh_port);
    g_autofree char *state = g_strdup_printf("127.0.0.1:%u", nodes[i].state->port);
    g_autofree char *cloud = g_strdup_printf("127.0.0.1:%u", nodes[i].cloud->port);
    json_t *config
        = json_pack("{s:s, s:s, s:s, s:s, s:o, s:{s:s, s:s}, s:O}", "node_name", nodes[i].name,
                    "zone", nodes[i].zone, "api_addr", api, "mesh_addr", mesh, "peers", peers,
                    "services", "cloud", cloud, "state", state, "params", params);
    nodes[i].config = g_strdup_printf("%s/%s.json", folder, nodes[i].name);
    json_dump_file(config, nodes[i].config, JSON_INDENT(2));
    json_decref(config);
  }
  g_timeout_add(20, world_tick, NULL);
}

static void
world_end(void)
{
  for (guint i = 0; i < node_count; i++)
    if (nodes[i].pid > 0)
      kill_node(i);
  fclose(record);
}

/* What the controllers tell each other: whom they hear, asks to assign, and reports passed on. */
#include "core/ws-core-private.h"

#include <string.h>

#define GOSSIP_MS 700
#define GOSSIP_TIMEOUT_MS 1000
#define REACH_MS 2600
#define RELAY_TIMEOUT_MS 1200

gboolean
ws_mesh_reaches(const WsCore *core, guint node)
{
  return node == core->settings->self
         || (core->peers[node].heard_ms > 0 && core->now - core->peers[node].heard_ms < REACH_MS);
}

/* Whether one node hears another, as far as this one was told. */
gboolean
ws_mesh_sees(const WsCore *core, guint from, guint to)
{
  if (from == core->settings->self)
    return ws_mesh_reaches(core, to);
  return from == to || !ws_mesh_reaches(core, from) || (core->peers[from].reaches >> to & 1) != 0;
}

/* An outage that everybody has is waited out; one that only this node has means that the others
   act without it. */
gboolean
ws_mesh_alone_refused(const WsCore *core)
{
  if (ws_store_ok(core))
    return FALSE;
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (n != core->settings->self && ws_mesh_reaches(core, n) && core->peers[n].store_ok)
      return TRUE;
  return FALSE;
}

/* Gossip. */

static json_t *
encode_machine(const WsCore *core, const WsMachine *machine)
{
  json_t *images = json_array();
  for (guint i = 0; i < machine->images->len; i++)
    json_array_append_new(
        images,
        json_string(ws_names_get(&core->book->images, g_array_index(machine->images, guint, i))));
  return json_pack("{s:s, s:I, s:s, s:b, s:o}", "name", machine->name, "age_ms",
                   (json_int_t)(core->now - machine->heard_ms), "endpoint",
                   machine->endpoint != NULL ? machine->endpoint : "", "notice",
                   machine->notice_ms > 0, "images", images);
}

static json_t *
encode_gossip(const WsCore *core)
{
  guint reaches = 0;
  json_t *machines = json_array();
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (ws_mesh_reaches(core, n))
      reaches |= 1u << n;
  for (guint i = 0; i < core->book->machines->len; i++) {
    const WsMachine *machine = ws_book_machine(core->book, i);
    if (machine->stored && ws_machine_up(core, machine) && ws_owns(core, machine))
      json_array_append_new(machines, encode_machine(core, machine));
  }
  return json_pack("{s:s, s:I, s:b, s:i, s:b, s:o}", "node",
                   ws_settings_node(core->settings, core->settings->self)->name, "epoch",
                   (json_int_t)core->book->epoch.number, "store",
                   ws_store_loaded(core) && ws_store_ok(core), "reaches", (int)reaches,
                   "wants_epoch", core->wants_epoch, "machines", machines);
}

static void
take_images(WsCore *core, WsMachine *machine, const json_t *images)
{
  size_t i;
  const json_t *item;
  g_array_set_size(machine->images, 0);
  json_array_foreach(images, i, item)
  {
    if (!json_is_string(item))
      continue;
    guint image = ws_names_intern(&core->book->images, json_string_value(item));
    g_array_append_val(machine->images, image);
  }
}

/* A peer's word on its own machines; this node knows its own better. */
static void
take_machine(WsCore *core, const json_t *item)
{
  const char *name, *endpoint;
  guint64 age;
  gboolean notice;
  if (!ws_json_string(item, "name", &name) || !ws_json_count(item, "age_ms", &age)
      || !ws_json_string(item, "endpoint", &endpoint) || !ws_json_bool(item, "notice", &notice))
    return;
  WsMachine *machine = ws_book_find_machine(core->book, name);
  if (machine == NULL || ws_owns(core, machine))
    return;
  gint64 heard_ms = core->now - (gint64)age;
  machine->heard_ms = MAX(machine->heard_ms, MAX(heard_ms, 1));
  if (machine->up_ms == 0)
    machine->up_ms = core->now;
  if (machine->endpoint == NULL && *endpoint != '\0')
    machine->endpoint = g_strdup(endpoint);
  machine->notice_ms = notice ? MAX(machine->notice_ms, core->now) : 0;
  take_images(core, machine, json_object_get(item, "images"));
}

static void
take_gossip(WsCore *core, const json_t *message)
{
  const char *name;
  guint64 epoch, reaches;
  gboolean store, wants_epoch;
  if (!ws_json_string(message, "node", &name) || !ws_json_count(message, "epoch", &epoch)
      || !ws_json_bool(message, "store", &store) || !ws_json_count(message, "reaches", &reaches)
      || !ws_json_bool(message, "wants_epoch", &wants_epoch))
    return;
  guint node = ws_settings_find_node(core->settings, name);
  if (node == WS_NONE || node == core->settings->self)
    return;
  WsPeer *peer = &core->peers[node];
  peer->heard_ms = core->now;
  peer->epoch = epoch;
  peer->store_ok = store;
  peer->reaches = (guint)reaches;
  if (wants_epoch && epoch == core->book->epoch.number && ws_is_leader(core))
    core->wants_epoch = TRUE;
  size_t i;
  const json_t *item;
  json_array_foreach(json_object_get(message, "machines"), i, item) take_machine(core, item);
}

static void
on_gossip(WsCore *core, guint status, const json_t *body, gpointer data)
{
  core->peers[GPOINTER_TO_UINT(data)].in_flight = FALSE;
  if (status == 200)
    take_gossip(core, body);
}

/* Of each pair of nodes the one with the smaller index calls, and the answer tells the other side:
   unless nothing came for a while, since connections may be refused in one direction only. */
void
ws_mesh_tick(WsCore *core)
{
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    WsPeer *peer = &core->peers[n];
    if (n == core->settings->self || peer->in_flight || core->now - peer->sent_ms < GOSSIP_MS
        || (n < core->settings->self && core->now - peer->heard_ms < 2 * GOSSIP_MS))
      continue;
    peer->in_flight = TRUE;
    peer->sent_ms = core->now;
    ws_call(core, "POST", ws_settings_node(core->settings, n)->endpoint, "/gossip",
            encode_gossip(core), GOSSIP_TIMEOUT_MS, on_gossip, GUINT_TO_POINTER(n));
  }
}

/* Asks. */

static void
on_asked(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)body;
  if (status != 200)
    g_info("%s took no ask (status %u)",
           ws_settings_node(core->settings, GPOINTER_TO_UINT(data))->name, status);
}

void
ws_mesh_ask(WsCore *core, guint owner, json_t *ask)
{
  json_object_set_new(ask, "epoch", json_integer((json_int_t)core->book->epoch.number));
  ws_call(core, "POST", ws_settings_node(core->settings, owner)->endpoint, "/ask", ask, 1000,
          on_asked, GUINT_TO_POINTER(owner));
}

static void
take_pick(WsCore *core, const json_t *item)
{
  const char *id = json_string_value(json_array_get(item, 0));
  const char *name = json_string_value(json_array_get(item, 2));
  json_int_t task = json_integer_value(json_array_get(item, 1));
  WsJob *job = id != NULL ? ws_book_find_job(core->book, id) : NULL;
  WsMachine *machine = name != NULL ? ws_book_find_machine(core->book, name) : NULL;
  if (job != NULL && machine != NULL && job->spec != NULL && task >= 0
      && task < (json_int_t)job->tasks)
    ws_assign_pick(core, job->index, (guint)task, machine->index);
}

static void
take_stop(WsCore *core, const json_t *item)
{
  const char *id = json_string_value(json_array_get(item, 0));
  WsJob *job = id != NULL ? ws_book_find_job(core->book, id) : NULL;
  if (job == NULL || job->spec == NULL)
    return;
  WsAssignment *a = ws_job_assignment(job, (guint)json_integer_value(json_array_get(item, 1)));
  if (a == NULL || a->stopping || a->attempt != (guint64)json_integer_value(json_array_get(item, 2))
      || !ws_owns(core, ws_book_machine(core->book, a->machine)))
    return;
  a->stopping = TRUE;
  ws_workers_halt_now(core, job, a);
}

static void
take_ask(WsCore *core, const json_t *message, gpointer request)
{
  guint64 epoch;
  size_t i;
  const json_t *item;
  if (!ws_json_count(message, "epoch", &epoch)) {
    ws_answer_reason(core, request, 400, "epoch is missing");
    return;
  }
  if (!ws_entitled(core) || epoch != core->book->epoch.number) {
    ws_answer_later(core, request, 1);
    return;
  }
  json_array_foreach(json_object_get(message, "picks"), i, item) take_pick(core, item);
  json_array_foreach(json_object_get(message, "stops"), i, item) take_stop(core, item);
  ws_answer(core, request, 200, json_object(), 0);
}

/* Reports passed on. The answer of the owner goes back to the worker as it is; if the owner can't
   be reached directly, the third node is tried, and if nobody answers in time the worker still
   gets our token, which keeps its tasks alive. */

typedef struct {
  gpointer request;
  guint owner;
  guint via; /* the node asked last */
  char *report;
} Relay;

static void
relay_free(Relay *relay)
{
  g_free(relay->report);
  g_free(relay);
}

static void send_relay(WsCore *core, Relay *relay);

static guint
third_node(const WsCore *core, const Relay *relay)
{
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (n != core->settings->self && n != relay->owner && ws_mesh_reaches(core, n))
      return n;
  return WS_NONE;
}

static void
on_relayed(WsCore *core, guint status, const json_t *body, gpointer data)
{
  Relay *relay = data;
  if (status == 200) {
    ws_answer(core, relay->request, 200, json_incref((json_t *)body), 0);
  } else if (relay->via == relay->owner && third_node(core, relay) != WS_NONE) {
    relay->via = third_node(core, relay);
    send_relay(core, relay);
    return;
  } else if (ws_entitled(core)) {
    ws_answer(core, relay->request, 200, ws_commands_answer(core->book->epoch.number, json_array()),
              0);
  } else {
    ws_answer_later(core, relay->request, 1);
  }
  relay_free(relay);
}

static void
send_relay(WsCore *core, Relay *relay)
{
  json_t *message
      = json_pack("{s:I, s:s, s:s}", "epoch", (json_int_t)core->book->epoch.number, "owner",
                  ws_settings_node(core->settings, relay->owner)->name, "report", relay->report);
  ws_call(core, "POST", ws_settings_node(core->settings, relay->via)->endpoint, "/relay", message,
          RELAY_TIMEOUT_MS, on_relayed, relay);
}

void
ws_mesh_relay(WsCore *core, guint owner, const char *report, gpointer request)
{
  Relay *relay = g_new0(Relay, 1);
  *relay = (Relay){ request, owner, owner, g_strdup(report) };
  if (!ws_mesh_reaches(core, owner) && third_node(core, relay) != WS_NONE)
    relay->via = third_node(core, relay);
  send_relay(core, relay);
}

static void
on_passed(WsCore *core, guint status, const json_t *body, gpointer data)
{
  if (status == 200)
    ws_answer(core, data, 200, json_incref((json_t *)body), 0);
  else
    ws_answer_later(core, data, 1);
}

static void
take_relayed_report(WsCore *core, const char *text, gpointer request)
{
  g_autoptr(json_t) message = ws_json_parse(text, strlen(text));
  g_autofree char *reason = NULL;
  g_autoptr(WsReport) report = ws_report_parse(message, &reason);
  if (report == NULL)
    ws_answer_reason(core, request, 400, reason);
  else if (report->token > core->book->epoch.number)
    ws_answer_later(core, request, 1);
  else
    ws_answer(core, request, 200, ws_workers_process(core, report), 0);
}

static void
take_relay(WsCore *core, const json_t *message, gpointer request)
{
  guint64 epoch;
  const char *owner, *text;
  if (!ws_json_count(message, "epoch", &epoch) || !ws_json_string(message, "owner", &owner)
      || !ws_json_string(message, "report", &text)) {
    ws_answer_reason(core, request, 400, "malformed");
    return;
  }
  guint node = ws_settings_find_node(core->settings, owner);
  if (!ws_entitled(core) || epoch != core->book->epoch.number || node == WS_NONE) {
    ws_answer_later(core, request, 1);
  } else if (node == core->settings->self) {
    take_relayed_report(core, text, request);
  } else {
    ws_call(core, "POST", ws_settings_node(core->settings, node)->endpoint, "/relay",
            json_incref((json_t *)message), 900, on_passed, request);
  }
}

void
ws_mesh_request(WsCore *core, const char *path, const char *body, gsize length, gpointer request)
{
  g_autoptr(json_t) message = ws_json_parse(body, length);
  if (strcmp(path, "/gossip") == 0) {
    take_gossip(core, message);
    ws_answer(core, request, 200, encode_gossip(core), 0);
  } else if (strcmp(path, "/ask") == 0) {
    take_ask(core, message, request);
  } else if (strcmp(path, "/relay") == 0) {
    take_relay(core, message, request);
  } else {
    ws_answer_reason(core, request, 404, "no such path");
  }
}

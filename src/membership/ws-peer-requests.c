/* What nodes ask of each other.

   The leader writes assignments, releases and marks for everybody: owners of machines and homes of
   jobs hand theirs in. Each of these shares keys with many others (a job's tasks, a team's use), so
   that nodes which wrote them side by side would mostly refuse one another, and refusals count
   against the state service's budget too. Owners are asked to stop tasks.

   An ask goes over the mesh or, where the other node can't be reached, through a key of this node
   in the state service. It may be lost: whoever asks notices that nothing came of it and asks
   again. It counts only in the epoch in which it was made. */
#include "membership/ws-membership-private.h"

#include "store/ws-store.h"

#include <string.h>

#define BATCHING_MS 60
#define MAILBOX_PAUSE_MS 1000
#define REQUEST_TIMEOUT_MS 1500
#define MOST_ITEMS 48

struct _WsPeerRequests {
  json_t **out; /* by node: what it will be asked */
  gint64 next_ms;
  gint64 mailbox_ms;
};

WsPeerRequests *
ws_peer_requests_new(const WsSettings *settings)
{
  WsPeerRequests *peer_requests = g_new0(WsPeerRequests, 1);
  peer_requests->out = g_new0(json_t *, settings->nodes->len);
  return peer_requests;
}

void
ws_peer_requests_free(WsPeerRequests *peer_requests, const WsSettings *settings)
{
  for (guint n = 0; n < settings->nodes->len; n++)
    json_decref(peer_requests->out[n]);
  g_free(peer_requests->out);
  g_free(peer_requests);
}

static void
add(WsCore *core, WsNodeIndex node, const char *list, json_t *item)
{
  json_t **out = &core->peer_requests->out[node];
  if (*out == NULL)
    *out = json_object();
  if (json_object_get(*out, list) == NULL)
    json_object_set_new(*out, list, json_array());
  json_t *items = json_object_get(*out, list);
  if (json_array_size(items) < MOST_ITEMS)
    json_array_append_new(items, item);
  else
    json_decref(item);
}

void
ws_peer_request_release(WsCore *core, const WsRelease *release)
{
  add(core, core->replica->epoch.leader, "releases", ws_release_encode(core->replica, release));
}

void
ws_peer_request_assignment(WsCore *core, const WsJob *job, guint task, const WsMachine *machine)
{
  add(core, core->replica->epoch.leader, "picks",
      json_pack("[s, i, s]", job->id, (int)task, machine->name));
}

void
ws_peer_request_mark(WsCore *core, const WsMachine *machine, const char *why, gboolean now)
{
  add(core, core->replica->epoch.leader, "marks", json_pack("[s, s, b]", machine->name, why, now));
}

void
ws_peer_request_reservation(WsCore *core, const WsJob *job, WsMachineIndex machine, guint tasks)
{
  const char *name
      = machine != WS_NO_MACHINE ? ws_replica_machine(core->replica, machine)->name : "";
  add(core, core->replica->epoch.leader, "reservations",
      json_pack("[s, i, s]", job->id, (int)tasks, name));
}

void
ws_peer_request_stop(WsCore *core, WsNodeIndex node, const WsJob *job,
                     const WsAssignment *assignment)
{
  add(core, node, "stops",
      json_pack("[s, i, I]", job->id, (int)assignment->task, (json_int_t)assignment->attempt));
}

/* Being asked. */

static WsJob *
job_of(const WsCore *core, const json_t *item, guint *task)
{
  const char *id = json_string_value(json_array_get(item, 0));
  json_int_t number = json_integer_value(json_array_get(item, 1));
  WsJob *job = id != NULL ? ws_replica_find_job(core->replica, id) : NULL;
  if (job == NULL || job->spec == NULL || number < 0 || number >= (json_int_t)job->tasks)
    return NULL;
  *task = (guint)number;
  return job;
}

static void
log_refused(const WsCore *core, const WsRelease *release)
{
  g_autofree char *text = ws_release_describe(core->replica, release);
  g_debug("a release isn't taken under epoch %" G_GUINT64_FORMAT ": %s",
          core->replica->epoch.number, text);
}

static void
take_release(WsCore *core, const json_t *item)
{
  guint task = 0;
  const WsJob *job = job_of(core, item, &task);
  if (job == NULL)
    return;
  WsRelease release = { .job = job->index, .task = task };
  release.attempt = (guint64)json_integer_value(json_array_get(item, 2));
  release.done = json_is_true(json_array_get(item, 3));
  if (!ws_evidence_parse(core->replica, item, &release.evidence))
    core->handlers->handle_legacy_release(core, &release);
  else if (ws_release_holds(core->replica, &release))
    core->handlers->handle_release(core, &release);
  else
    log_refused(core, &release);
}

static void
take_assignment(WsCore *core, const json_t *item)
{
  guint task = 0;
  const WsJob *job = job_of(core, item, &task);
  const char *name = json_string_value(json_array_get(item, 2));
  const WsMachine *machine = name != NULL ? ws_replica_find_machine(core->replica, name) : NULL;
  if (job != NULL && machine != NULL)
    core->handlers->handle_assignment(core, job->index, task, machine->index);
}

static void
take_reservation(WsCore *core, const json_t *item)
{
  const char *id = json_string_value(json_array_get(item, 0));
  json_int_t tasks = json_integer_value(json_array_get(item, 1));
  const char *name = json_string_value(json_array_get(item, 2));
  const WsJob *job = id != NULL ? ws_replica_find_job(core->replica, id) : NULL;
  if (job == NULL || job->spec == NULL || name == NULL || tasks <= 0 || tasks > WS_MAX_TASKS)
    return;
  const WsMachine *machine = ws_replica_find_machine(core->replica, name);
  if (machine != NULL || *name == '\0')
    core->handlers->handle_reservation(core, job, machine != NULL ? machine->index : WS_NONE,
                                       (guint)tasks);
}

static void
take_mark(WsCore *core, const json_t *item)
{
  const char *name = json_string_value(json_array_get(item, 0));
  const char *why = json_string_value(json_array_get(item, 1));
  WsMachine *machine = name != NULL ? ws_replica_find_machine(core->replica, name) : NULL;
  if (machine != NULL && why != NULL)
    core->handlers->request_termination(core, machine, why, json_is_true(json_array_get(item, 2)));
}

static void
take_stop(WsCore *core, const json_t *item)
{
  guint task = 0;
  WsJob *job = job_of(core, item, &task);
  WsAssignment *assignment = job != NULL ? ws_job_assignment(job, task) : NULL;
  if (assignment == NULL || assignment->is_stop_requested
      || assignment->attempt != (guint64)json_integer_value(json_array_get(item, 2))
      || !ws_owns_machine(core, ws_replica_machine(core->replica, assignment->machine)))
    return;
  assignment->is_stop_requested = TRUE;
  core->handlers->halt_task(core, job, assignment);
}

static void
take_list(WsCore *core, const json_t *message, const char *list,
          void (*take)(WsCore *, const json_t *))
{
  size_t i;
  const json_t *item;
  json_array_foreach(json_object_get(message, list), i, item) take(core, item);
}

static gboolean
take_all(WsCore *core, const json_t *message)
{
  guint64 epoch;
  if (!ws_json_count(message, "epoch", &epoch) || !ws_is_active_member(core)
      || epoch != core->replica->epoch.number)
    return FALSE;
  take_list(core, message, "stops", take_stop);
  if (ws_is_leader(core)) {
    take_list(core, message, "releases", take_release);
    take_list(core, message, "reservations", take_reservation);
    take_list(core, message, "picks", take_assignment);
    take_list(core, message, "marks", take_mark);
  }
  return TRUE;
}

void
ws_peer_requests_handle(WsCore *core, const json_t *message, gpointer request)
{
  if (take_all(core, message))
    ws_answer(core, request, 200, json_object(), 0);
  else
    ws_answer_later(core, request, 1);
}

static void
read_mailbox(WsCore *core)
{
  const char *self = ws_settings_node(core->settings, core->settings->self)->name;
  json_t *mailbox;
  while ((mailbox = g_queue_pop_head(&core->replica->mailbox)) != NULL) {
    const json_t *mine = json_object_get(mailbox, self);
    if (mine != NULL)
      (void)take_all(core, mine);
    json_decref(mailbox);
  }
}

/* Asking. */

static void
on_asked(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)body;
  if (status != 200)
    g_debug("%s took no ask (status %u)",
            ws_settings_node(core->settings, GPOINTER_TO_UINT(data))->name, status);
}

static void
on_mailbox_written(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)core;
  (void)result;
  (void)data;
}

/* Halves the lists of what each node is asked. */
static void
halve_lists(json_t *mailbox)
{
  const char *node, *name;
  json_t *requests, *list;
  json_object_foreach(mailbox, node, requests)
  {
    json_object_foreach(requests, name, list)
    {
      size_t half = json_array_size(list) / 2;
      while (json_array_size(list) > half)
        json_array_remove(list, json_array_size(list) - 1);
    }
  }
}

/* A record has room for so much only; whoever asked asks again for what is left out. */
static void
fit_record(const WsCore *core, json_t *mailbox)
{
  for (guint items = MOST_ITEMS; items > 0; items /= 2) {
    g_autofree char *text = ws_json_text(mailbox);
    if (strlen(text) <= core->settings->state_record_bytes)
      return;
    halve_lists(mailbox);
  }
}

static void
write_mailbox(WsCore *core, json_t *mailbox /* taken */)
{
  fit_record(core, mailbox);
  g_autofree char *key
      = ws_key(WS_KEYS_MAILBOX, ws_settings_node(core->settings, core->settings->self)->name);
  WsTxn *txn = ws_txn_new();
  core->peer_requests->mailbox_ms = core->now + MAILBOX_PAUSE_MS;
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  ws_txn_put(txn, key, mailbox);
  ws_txn_commit(core, txn, WS_REQUEST_TASK, on_mailbox_written, NULL);
}

/* What is written replaces what was there before, so what is for nodes out of reach waits for its
 * turn. */
static void
send_all(WsCore *core)
{
  gboolean may_write_mailbox
      = core->now >= core->peer_requests->mailbox_ms && ws_store_is_available(core);
  json_t *mailbox = NULL;
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    json_t **out = &core->peer_requests->out[n];
    if (*out == NULL || (!ws_peer_is_reachable(core, n) && !may_write_mailbox))
      continue;
    json_object_set_new(*out, "epoch", json_integer((json_int_t)core->replica->epoch.number));
    const WsNode *node = ws_settings_node(core->settings, n);
    if (ws_peer_is_reachable(core, n)) {
      ws_call(core, "POST", node->endpoint, "/ask", g_steal_pointer(out), REQUEST_TIMEOUT_MS,
              on_asked, GUINT_TO_POINTER(n));
      continue;
    }
    if (mailbox == NULL)
      mailbox = json_object();
    json_object_set_new(mailbox, node->name, g_steal_pointer(out));
  }
  if (mailbox != NULL)
    write_mailbox(core, mailbox);
}

/* What was to be asked in the last epoch is worked out afresh in the next. */
void
ws_peer_requests_clear(WsCore *core)
{
  for (guint n = 0; n < core->settings->nodes->len; n++)
    g_clear_pointer(&core->peer_requests->out[n], json_decref);
}

void
ws_peer_requests_pump(WsCore *core)
{
  read_mailbox(core);
  if (!ws_is_active_member(core)) {
    ws_peer_requests_clear(core);
    return;
  }
  if (core->now < core->peer_requests->next_ms)
    return;
  core->peer_requests->next_ms = core->now + BATCHING_MS;
  send_all(core);
}

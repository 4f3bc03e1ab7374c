/**
 * The one-node harness: a controller whose calls are answered by a simulated store and scripted
 * peers, workers and cloud.
 */
#include "sim/fixture.h"

#include "sim/trace.h"

#include "protocol/ws-json.h"
#include "ws-test-settings.h"

#include <string.h>

/* The node's name in traces. Traces of several versions are compared, so it must not change. */
#define TRACE_NODE "rig"

void
fixture_reply(Fixture *fixture, guint64 call, guint status, const json_t *body)
{
  g_autofree char *text = ws_json_serialize(body);
  ws_core_handle_reply(fixture->core, fixture->now_ms, fixture->now_ms, call, status, text,
                       text != NULL ? strlen(text) : 0);
}

void
fixture_on_store_reply(gpointer data, guint status, json_t *body)
{
  StoreCall *store_call = data;
  if (store_call->run == store_call->fixture->run) /* else: a call of an earlier run */
    fixture_reply(store_call->fixture, store_call->call, status, body);
  json_decref(body);
  g_free(store_call);
}

static json_t *
make_catalog(const Fixture *fixture)
{
  json_t *message
      = json_pack("{s:[{s:s, s:i, s:i, s:i, s:i, s:f, s:f, s:f, s:i, s:[s]}]}", "typy", "sku", "g4",
                  "cpus", 32, "accelerators", 4, "mem_gb", 64, "local_gb", 100, "pull_gb_per_s",
                  1.0, "price", 8.0, "low_price", 3.0, "boot_s", 8, "haly", "a");
  if (fixture->has_small_type)
    json_array_append_new(json_object_get(message, "typy"),
                          json_pack("{s:s, s:i, s:i, s:i, s:i, s:f, s:f, s:f, s:i, s:[s]}", "sku",
                                    "g1", "cpus", 8, "accelerators", 1, "mem_gb", 16, "local_gb",
                                    100, "pull_gb_per_s", 1.0, "price", 2.2, "low_price", 0.8,
                                    "boot_s", 8, "haly", "a"));
  if (fixture->catalog_label != NULL)
    json_object_set_new(message, "x_label", json_string(fixture->catalog_label));
  return message;
}

/* Answers as a peer that isn't a member of the epoch, but acknowledges all gossip. */
static void
answer_gossip(Fixture *fixture, const WsOutput *output, const json_t *body)
{
  g_autoptr(json_t) answer = json_pack(
      "{s:s, s:O, s:b, s:i, s:b, s:b, s:i, s:i, s:O, s:i, s:b, s:i, s:[]}", "node",
      strstr(output->url, "mesh-1") != NULL ? "n1" : "n2", "epoch", json_object_get(body, "epoch"),
      "store", !fixture->peers_lack_store, "reaches", 7, "wants_epoch", 0, "unheard",
      fixture->peers_get_no_heartbeats, "base", 0, "rev", 0, "ack", json_object_get(body, "rev"),
      "incarnation", 1, "loaded", 1, "untold", (int)fixture->unacknowledged_by_peers, "machines");
  g_assert_nonnull(output->body);
  fixture->gossip_bytes = strlen(output->body);
  fixture_reply(fixture, output->call, 200, answer);
}

/* Keeps the last transaction, also of certain kinds, so that tests can examine it. */
static void
record_transaction(Fixture *fixture, const WsOutput *output, json_t *body)
{
  g_assert_nonnull(output->body);
  json_decref(fixture->last_transaction);
  fixture->last_transaction = json_incref(body);
  if (strstr(output->body, "\"set\":\"w/task/") != NULL) {
    json_decref(fixture->assignment_transaction);
    fixture->assignment_transaction = json_incref(body);
  }
  if (strstr(output->body, "\"set\":\"w/member/n0\"") != NULL) {
    json_decref(fixture->member_transaction);
    fixture->member_transaction = json_incref(body);
  }
}

/* Whether the call to the store gets no answer until the test gives one. */
static gboolean
hold_store_call(Fixture *fixture, const WsOutput *output, const char *path)
{
  if (fixture->hold_watch && g_str_has_prefix(path, "/follow")) {
    fixture->held_watch = output->call;
    return TRUE;
  }
  if (fixture->hold_assignment && output->body != NULL && strstr(output->body, "w/task/") != NULL) {
    fixture->hold_assignment = FALSE;
    fixture->held_call = output->call;
    return TRUE;
  }
  return FALSE;
}

static void
answer_store_call(Fixture *fixture, const WsOutput *output, const char *path, json_t *body)
{
  if (fixture->store_unavailable) {
    fixture_reply(fixture, output->call, 503, NULL);
    return;
  }
  if (strcmp(path, "/multi") == 0)
    record_transaction(fixture, output, body);
  if (hold_store_call(fixture, output, path))
    return;
  if (fixture->on_page != NULL && g_str_has_prefix(path, "/kv?"))
    fixture->on_page(fixture, path);
  StoreCall *store_call = g_new0(StoreCall, 1);
  *store_call = (StoreCall){ fixture, output->call, fixture->run };
  sim_store_request(fixture->store, fixture->now_ms, output->method, path, body,
                    fixture_on_store_reply, store_call);
}

static void
reply_text(Fixture *fixture, guint64 call, const char *text)
{
  ws_core_handle_reply(fixture->core, fixture->now_ms, fixture->now_ms, call, 200, text,
                       strlen(text));
}

/* Answers a call to the cloud, to a worker or to another node. */
static void
answer_service_call(Fixture *fixture, const WsOutput *output, const char *path, const json_t *body)
{
  if (strcmp(path, "/catalog") == 0 && fixture->catalog_text != NULL) {
    reply_text(fixture, output->call, fixture->catalog_text);
  } else if (strcmp(path, "/gossip") == 0 && fixture->gossip_text != NULL) {
    reply_text(fixture, output->call, fixture->gossip_text);
  } else if (strcmp(path, "/catalog") == 0) {
    g_autoptr(json_t) message = make_catalog(fixture);
    fixture_reply(fixture, output->call, 200, message);
  } else if (strcmp(path, "/commands") == 0) {
    fixture->direct_commands++;
    json_decref(fixture->direct_call);
    fixture->direct_call = json_deep_copy(body);
    if (fixture->workers_answer)
      fixture_reply(fixture, output->call, 409, fixture->command_report);
  } else if (strcmp(path, "/status") == 0 && fixture->status_report != NULL) {
    fixture_reply(fixture, output->call, 200, fixture->status_report);
  } else if (strcmp(path, "/machines/return") == 0 && fixture->cloud_confirms_returns) {
    fixture->returns_requested++;
    fixture_reply(fixture, output->call, 200, NULL);
  } else if (strcmp(path, "/cancelled") == 0) {
    fixture->cancellations_sent++;
    fixture_reply(fixture, output->call, fixture->peers_acknowledge ? 200 : 0, NULL);
  } else if (strcmp(path, "/relay") == 0 && fixture->relay_answer != NULL) {
    fixture->relayed++;
    reply_text(fixture, output->call, fixture->relay_answer);
  } else if (strcmp(path, "/gossip") == 0 && !fixture->peers_unreachable) {
    answer_gossip(fixture, output, body);
  } else {
    fixture_reply(fixture, output->call, 0, NULL);
  }
}

static void
answer_call(Fixture *fixture, const WsOutput *output)
{
  g_autoptr(json_t) body
      = output->body != NULL ? ws_json_parse(output->body, strlen(output->body)) : NULL;
  const char *path = strchr(output->url + strlen("http://"), '/');
  if (strstr(output->url, "//state") != NULL)
    answer_store_call(fixture, output, path, body);
  else
    answer_service_call(fixture, output, path, body);
}

void
fixture_release_watch(Fixture *fixture)
{
  fixture->hold_watch = FALSE;
  fixture_reply(fixture, fixture->held_watch, 0, NULL);
}

void
fixture_handle_outputs(Fixture *fixture)
{
  WsOutput *output;
  while ((output = ws_core_pop_output(fixture->core)) != NULL) {
    fixture->outputs++;
    sim_trace_output(fixture->now_ms, TRACE_NODE, output->is_answer ? "-" : output->method,
                     output->is_answer ? "-" : output->url, output);
    if (output->is_answer) {
      fixture->status = output->status;
      json_decref(fixture->answer);
      fixture->answer
          = output->body != NULL ? ws_json_parse(output->body, strlen(output->body)) : NULL;
    } else {
      answer_call(fixture, output);
    }
    ws_output_free(output);
  }
}

void
fixture_run(Fixture *fixture, double seconds)
{
  for (gint64 until_ms = fixture->now_ms + (gint64)(seconds * 1000.0); fixture->now_ms < until_ms;
       fixture->now_ms += 50) {
    sim_store_tick(fixture->store, fixture->now_ms, fixture->store_unavailable);
    ws_core_tick(fixture->core, fixture->now_ms, fixture->now_ms);
    fixture_handle_outputs(fixture);
  }
}

void
fixture_request_text(Fixture *fixture, WsListener listener, const char *sender, const char *method,
                     const char *path, const char *text, gsize length)
{
  WsIncomingRequest request = { listener, sender, method, path, text, length, fixture };
  ws_core_handle_request(fixture->core, fixture->now_ms, fixture->now_ms, &request);
  fixture_handle_outputs(fixture);
}

void
fixture_request(Fixture *fixture, WsListener listener, const char *method, const char *path,
                json_t *body)
{
  g_autofree char *text = ws_json_serialize(body);
  fixture_request_text(fixture, listener, "test", method, path, text,
                       text != NULL ? strlen(text) : 0);
  json_decref(body);
}

void
fixture_post(Fixture *fixture, const char *path, json_t *body)
{
  fixture_request(fixture, WS_LISTENER_API, "POST", path, body);
}

void
fixture_send_peer_message(Fixture *fixture, const char *path, json_t *body)
{
  fixture_request(fixture, WS_LISTENER_PEERS, "POST", path, body);
  fixture_run(fixture, 0.3);
}

void
fixture_send_request(Fixture *fixture, const char *method, const char *path, json_t *body)
{
  fixture_request(fixture, WS_LISTENER_API, method, path, body);
  fixture_run(fixture, 0.3);
}

void
fixture_remove_quotas(Fixture *fixture)
{
  for (guint t = 0; t < fixture->settings->teams->len; t++)
    ((WsTeamSettings *)g_ptr_array_index(fixture->settings->teams, t))->limit = (WsResources){ 0 };
}

json_t *
fixture_heartbeat(const Fixture *fixture, const char *machine, guint64 fencing_token,
                  guint64 sequence, json_t *tasks)
{
  return json_pack("{s:s, s:s, s:s, s:s, s:b, s:i, s:I, s:I, s:n, s:o}", "stroj", machine,
                   "endpoint", "w-1:1", "typ", "g4", "hala", fixture->zone, "vypujcky",
                   fixture->spot, "smena", 1, "poradi", (json_int_t)sequence, "pecet",
                   (json_int_t)fencing_token, "vypoved_s", "kusy", tasks);
}

void
fixture_post_heartbeat(Fixture *fixture, const char *machine, guint64 fencing_token,
                       guint64 sequence, json_t *tasks)
{
  fixture_post(fixture, "/v1/report",
               fixture_heartbeat(fixture, machine, fencing_token, sequence, tasks));
}

void
fixture_send_heartbeat(Fixture *fixture, guint64 fencing_token, json_t *tasks)
{
  fixture_send_request(
      fixture, "POST", "/v1/report",
      fixture_heartbeat(fixture, "m-1", fencing_token, ++fixture->sequence, tasks));
}

gboolean
fixture_task_is_assigned(const Fixture *fixture)
{
  /* The final record of a job has no submission ("spec"). It is written when no task of the job is
     on a machine any more, but the task records are removed later. */
  const json_t *job = sim_store_get(fixture->store, "w/job/req-1");
  return json_object_get(job, "spec") != NULL && sim_store_has(fixture->store, "w/task/req-1/0");
}

gboolean
fixture_has_command(const Fixture *fixture, const char *op)
{
  size_t i;
  const json_t *command;
  json_array_foreach(json_object_get(fixture->answer, "prikazy"), i, command)
  {
    if (strcmp(json_string_value(json_object_get(command, "ukon")), op) == 0)
      return TRUE;
  }
  return FALSE;
}

guint64
fixture_answered_token(const Fixture *fixture)
{
  return (guint64)json_integer_value(json_object_get(fixture->answer, "pecet"));
}

void
fixture_write_key(Fixture *fixture, const char *key, json_t *value)
{
  g_assert_true(value != NULL || sim_store_has(fixture->store, key));
  json_t *change = value != NULL ? json_pack("{s:s, s:o}", "set", key, "value", value)
                                 : json_pack("{s:s}", "remove", key);
  g_autoptr(json_t) transaction = json_pack("{s:[], s:[o]}", "if", "apply", change);
  StoreCall *store_call = g_new0(StoreCall, 1);
  *store_call = (StoreCall){ fixture, 0, 0 }; /* call 0 isn't a call of the controller */
  sim_store_request(fixture->store, fixture->now_ms, "POST", "/multi", transaction,
                    fixture_on_store_reply, store_call);
}

json_t *
fixture_submission(void)
{
  return json_pack(
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:s, s:f, s:b, s:b, s:b, s:f, s:f,"
      " s:f}",
      "id", "req-1", "trida", "batch", "dilna", "red", "druh", "sweep", "prednost", "standard",
      "kusy", 1, "cpus", 8.0, "accelerators", 1.0, "mem_gb", 16.0, "obraz", "img-1", "pull_gb", 2.0,
      "one_zone", 0, "scatter", 0, "vypujcky", 0, "odhad_s", 50.0, "zaloha_s", 0.0, "ulozeni_s",
      0.0);
}

json_t *
fixture_submission_with_id(const char *id)
{
  json_t *submission = fixture_submission();
  json_object_set_new(submission, "id", json_string(id));
  return submission;
}

const json_t *
fixture_assignments(const Fixture *fixture, const char *job)
{
  g_autofree char *key = g_strdup_printf("w/task/%s/0", job);
  return json_object_get(sim_store_get(fixture->store, key), "on");
}

static Fixture *
new_fixture(gboolean workers_answer, gboolean small_type)
{
  Fixture *fixture = g_new0(Fixture, 1);
  fixture->has_small_type = small_type;
  fixture->settings = ws_test_settings(0);
  fixture->properties = ws_properties_new();
  fixture->store = sim_store_new();
  fixture->zone = "a";
  fixture->workers_answer = workers_answer;
  fixture->now_ms = 1000;
  fixture->core = ws_core_new(fixture->settings, fixture->properties, 7);
  fixture_run(fixture, 1.0);
  return fixture;
}

Fixture *
fixture_new(gboolean workers_answer)
{
  return new_fixture(workers_answer, FALSE);
}

Fixture *
fixture_new_with_machine(gboolean workers_answer)
{
  Fixture *fixture = fixture_new(workers_answer);
  fixture_send_heartbeat(fixture, 0, json_array());
  fixture_send_heartbeat(fixture, 1, json_array());
  return fixture;
}

Fixture *
fixture_new_with_two_machine_types(void)
{
  return new_fixture(TRUE, TRUE);
}

Fixture *
fixture_new_with_job(gboolean workers_answer)
{
  Fixture *fixture = fixture_new_with_machine(workers_answer);
  fixture_send_request(fixture, "POST", "/api/jobs", fixture_submission());
  fixture_run(fixture, 1.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  g_assert_cmpuint(fixture->direct_commands, >, 0);
  return fixture;
}

static void
stop_core(Fixture *fixture)
{
  WsOutput *output;
  ws_core_stop(fixture->core);
  while ((output = ws_core_pop_output(fixture->core)) != NULL)
    ws_output_free(output);
  ws_core_free(fixture->core);
}

void
fixture_restart(Fixture *fixture)
{
  fixture->run++;
  stop_core(fixture);
  fixture->core = ws_core_new(fixture->settings, fixture->properties, 8);
  fixture_run(fixture, 1.0);
}

void
fixture_free(Fixture *fixture)
{
  sim_store_free(fixture->store); /* answers the open watch, which needs the core */
  stop_core(fixture);
  ws_properties_free(fixture->properties);
  ws_settings_free(fixture->settings);
  json_decref(fixture->answer);
  json_decref(fixture->direct_call);
  json_decref(fixture->command_report);
  json_decref(fixture->status_report);
  json_decref(fixture->last_transaction);
  json_decref(fixture->assignment_transaction);
  json_decref(fixture->member_transaction);
  g_free(fixture);
}

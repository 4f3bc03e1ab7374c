#include "sim/rig.h"

#include "sim/trace.h"

#include "protocol/ws-json.h"
#include "ws-site.h"

#include <string.h>

void
rig_reply(Rig *rig, guint64 call, guint status, const json_t *body)
{
  g_autofree char *text = ws_json_text(body);
  ws_core_reply(rig->core, rig->now_ms, rig->now_ms, call, status, text,
                text != NULL ? strlen(text) : 0);
}

void
rig_on_state(gpointer data, guint status, json_t *body)
{
  Asked *asked = data;
  if (asked->run == asked->rig->run) /* or whoever asked has ended */
    rig_reply(asked->rig, asked->call, status, body);
  json_decref(body);
  g_free(asked);
}

static json_t *
catalog(const Rig *rig)
{
  json_t *message
      = json_pack("{s:[{s:s, s:i, s:i, s:i, s:i, s:f, s:f, s:f, s:i, s:[s]}]}", "typy", "sku", "g4",
                  "cpus", 32, "accelerators", 4, "mem_gb", 64, "local_gb", 100, "pull_gb_per_s",
                  1.0, "price", 8.0, "low_price", 3.0, "boot_s", 8, "haly", "a");
  if (rig->small_type)
    json_array_append_new(json_object_get(message, "typy"),
                          json_pack("{s:s, s:i, s:i, s:i, s:i, s:f, s:f, s:f, s:i, s:[s]}", "sku",
                                    "g1", "cpus", 8, "accelerators", 1, "mem_gb", 16, "local_gb",
                                    100, "pull_gb_per_s", 1.0, "price", 2.2, "low_price", 0.8,
                                    "boot_s", 8, "haly", "a"));
  return message;
}

/* A peer that isn't a member, but has all that it's told. */
static void
take_gossip(Rig *rig, const WsOutput *output, const json_t *body)
{
  g_autoptr(json_t) answer = json_pack(
      "{s:s, s:O, s:b, s:i, s:b, s:b, s:i, s:i, s:O, s:i, s:b, s:i, s:[]}", "node",
      strstr(output->url, "mesh-1") != NULL ? "n1" : "n2", "epoch", json_object_get(body, "epoch"),
      "store", !rig->peers_without_state, "reaches", 7, "wants_epoch", 0, "unheard", 0, "base", 0,
      "rev", 0, "ack", json_object_get(body, "rev"), "incarnation", 1, "loaded", 1, "untold",
      (int)rig->peers_untold, "machines");
  g_assert_nonnull(output->body);
  rig->gossip_bytes = strlen(output->body);
  rig_reply(rig, output->call, 200, answer);
}

static void
take_call(Rig *rig, const WsOutput *output)
{
  g_autoptr(json_t) body
      = output->body != NULL ? ws_json_parse(output->body, strlen(output->body)) : NULL;
  const char *path = strchr(output->url + strlen("http://"), '/');
  if (strstr(output->url, "//state") != NULL && rig->state_out) {
    rig_reply(rig, output->call, 503, NULL);
  } else if (strstr(output->url, "//state") != NULL) {
    Asked *asked = g_new0(Asked, 1);
    *asked = (Asked){ rig, output->call, rig->run };
    if (strcmp(path, "/multi") == 0) {
      json_decref(rig->last_txn);
      rig->last_txn = json_incref(body);
      if (strstr(output->body, "\"set\":\"w/task/") != NULL) {
        json_decref(rig->assign_txn);
        rig->assign_txn = json_incref(body);
      }
      if (strstr(output->body, "\"set\":\"w/member/n0\"") != NULL) {
        json_decref(rig->member_txn);
        rig->member_txn = json_incref(body);
      }
    }
    if (rig->hold_watch && g_str_has_prefix(path, "/follow")) {
      rig->held_watch = output->call;
      g_free(asked);
      return;
    }
    if (rig->hold && output->body != NULL && strstr(output->body, "w/task/") != NULL) {
      rig->hold = FALSE;
      rig->held = output->call;
      g_free(asked);
      return;
    }
    sim_state_request(rig->state, rig->now_ms, output->method, path, body, rig_on_state, asked);
  } else if (strcmp(path, "/catalog") == 0) {
    g_autoptr(json_t) message = catalog(rig);
    rig_reply(rig, output->call, 200, message);
  } else if (strcmp(path, "/commands") == 0) {
    rig->direct++;
    if (rig->workers_answer)
      rig_reply(rig, output->call, 409, NULL);
  } else if (strcmp(path, "/status") == 0 && rig->status_report != NULL) {
    rig_reply(rig, output->call, 200, rig->status_report);
  } else if (strcmp(path, "/machines/return") == 0 && rig->cloud_returns) {
    rig->returned++;
    rig_reply(rig, output->call, 200, NULL);
  } else if (strcmp(path, "/cancelled") == 0) {
    rig->told++;
    rig_reply(rig, output->call, rig->peers_take ? 200 : 0, NULL);
  } else if (strcmp(path, "/gossip") == 0 && !rig->peers_silent) {
    take_gossip(rig, output, body);
  } else {
    rig_reply(rig, output->call, 0, NULL);
  }
}

void
rig_release_watch(Rig *rig)
{
  rig->hold_watch = FALSE;
  rig_reply(rig, rig->held_watch, 0, NULL);
}

void
rig_pump(Rig *rig)
{
  WsOutput *output;
  while ((output = ws_core_pop(rig->core)) != NULL) {
    rig->outputs++;
    sim_trace_output(rig->now_ms, "rig", output->is_answer ? "-" : output->method,
                     output->is_answer ? "-" : output->url, output);
    if (output->is_answer) {
      rig->status = output->status;
      json_decref(rig->answer);
      rig->answer = output->body != NULL ? ws_json_parse(output->body, strlen(output->body)) : NULL;
    } else {
      take_call(rig, output);
    }
    ws_output_free(output);
  }
}

void
rig_run(Rig *rig, double seconds)
{
  for (gint64 until_ms = rig->now_ms + (gint64)(seconds * 1000.0); rig->now_ms < until_ms;
       rig->now_ms += 50) {
    sim_state_tick(rig->state, rig->now_ms, rig->state_out);
    ws_core_tick(rig->core, rig->now_ms, rig->now_ms);
    rig_pump(rig);
  }
}

void
rig_request(Rig *rig, WsDoor door, const char *method, const char *path, json_t *body)
{
  g_autofree char *text = ws_json_text(body);
  ws_core_request(rig->core, rig->now_ms, rig->now_ms, door, method, path, text,
                  text != NULL ? strlen(text) : 0, rig);
  json_decref(body);
  rig_pump(rig);
}

void
rig_tell(Rig *rig, const char *path, json_t *body)
{
  rig_request(rig, WS_DOOR_API, "POST", path, body);
}

void
rig_mesh(Rig *rig, const char *path, json_t *body)
{
  rig_request(rig, WS_DOOR_MESH, "POST", path, body);
  rig_run(rig, 0.3);
}

void
rig_ask(Rig *rig, const char *method, const char *path, json_t *body)
{
  rig_request(rig, WS_DOOR_API, method, path, body);
  rig_run(rig, 0.3);
}

void
rig_lift_limits(Rig *rig)
{
  for (guint t = 0; t < rig->settings->teams->len; t++)
    ((WsTeamSettings *)g_ptr_array_index(rig->settings->teams, t))->limit = (WsResources){ 0 };
}

json_t *
rig_report_of(const Rig *rig, const char *machine, guint64 fencing_token, guint64 sequence,
              json_t *tasks)
{
  return json_pack("{s:s, s:s, s:s, s:s, s:b, s:i, s:I, s:I, s:n, s:o}", "stroj", machine,
                   "endpoint", "w-1:1", "typ", "g4", "hala", rig->zone, "vypujcky", rig->spot,
                   "smena", 1, "poradi", (json_int_t)sequence, "pecet", (json_int_t)fencing_token,
                   "vypoved_s", "kusy", tasks);
}

void
rig_report_now(Rig *rig, const char *machine, guint64 fencing_token, guint64 sequence,
               json_t *tasks)
{
  rig_tell(rig, "/v1/report", rig_report_of(rig, machine, fencing_token, sequence, tasks));
}

void
rig_send_report(Rig *rig, guint64 fencing_token, json_t *tasks)
{
  rig_ask(rig, "POST", "/v1/report",
          rig_report_of(rig, "m-1", fencing_token, ++rig->sequence, tasks));
}

gboolean
rig_is_assigned(const Rig *rig)
{
  /* The final record of a job, which names no submission, is written only when nothing of the job
     is on a machine; its records of tasks are removed later. */
  const json_t *job = sim_state_get(rig->state, "w/job/req-1");
  return json_object_get(job, "spec") != NULL && sim_state_has(rig->state, "w/task/req-1/0");
}

gboolean
rig_has_command(const Rig *rig, const char *op)
{
  size_t i;
  const json_t *command;
  json_array_foreach(json_object_get(rig->answer, "prikazy"), i, command)
  {
    if (strcmp(json_string_value(json_object_get(command, "ukon")), op) == 0)
      return TRUE;
  }
  return FALSE;
}

void
rig_write_key(Rig *rig, const char *key, json_t *value)
{
  g_assert_true(value != NULL || sim_state_has(rig->state, key));
  json_t *change = value != NULL ? json_pack("{s:s, s:o}", "set", key, "value", value)
                                 : json_pack("{s:s}", "remove", key);
  g_autoptr(json_t) transaction = json_pack("{s:[], s:[o]}", "if", "apply", change);
  Asked *asked = g_new0(Asked, 1);
  *asked = (Asked){ rig, 0, 0 }; /* no call of the controller's */
  sim_state_request(rig->state, rig->now_ms, "POST", "/multi", transaction, rig_on_state, asked);
}

json_t *
rig_submission(void)
{
  return json_pack(
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:s, s:f, s:b, s:b, s:b, s:f, s:f,"
      " s:f}",
      "id", "req-1", "trida", "batch", "dilna", "red", "druh", "sweep", "prednost", "standard",
      "kusy", 1, "cpus", 8.0, "accelerators", 1.0, "mem_gb", 16.0, "obraz", "img-1", "pull_gb", 2.0,
      "one_zone", 0, "scatter", 0, "vypujcky", 0, "odhad_s", 50.0, "zaloha_s", 0.0, "ulozeni_s",
      0.0);
}

static Rig *
rig_begin(gboolean workers_answer, gboolean small_type)
{
  Rig *rig = g_new0(Rig, 1);
  rig->small_type = small_type;
  rig->settings = ws_test_settings(0);
  rig->properties = ws_properties_new();
  rig->state = sim_state_new();
  rig->zone = "a";
  rig->workers_answer = workers_answer;
  rig->now_ms = 1000;
  rig->core = ws_core_new(rig->settings, rig->properties, 7);
  rig_run(rig, 1.0);
  return rig;
}

Rig *
rig_bare(gboolean workers_answer)
{
  return rig_begin(workers_answer, FALSE);
}

Rig *
rig_two_types(void)
{
  return rig_begin(TRUE, TRUE);
}

Rig *
rig_new(gboolean workers_answer)
{
  Rig *rig = rig_bare(workers_answer);
  rig_send_report(rig, 0, json_array());
  rig_send_report(rig, 1, json_array());
  rig_ask(rig, "POST", "/api/jobs", rig_submission());
  rig_run(rig, 1.0);
  g_assert_true(rig_is_assigned(rig));
  g_assert_cmpuint(rig->direct, >, 0);
  return rig;
}

static void
end_core(Rig *rig)
{
  WsOutput *output;
  ws_core_stop(rig->core);
  while ((output = ws_core_pop(rig->core)) != NULL)
    ws_output_free(output);
  ws_core_free(rig->core);
}

void
rig_restart(Rig *rig)
{
  rig->run++;
  end_core(rig);
  rig->core = ws_core_new(rig->settings, rig->properties, 8);
  rig_run(rig, 1.0);
}

void
rig_free(Rig *rig)
{
  sim_state_free(rig->state); /* which ends the watch */
  end_core(rig);
  ws_properties_free(rig->properties);
  ws_settings_free(rig->settings);
  json_decref(rig->answer);
  json_decref(rig->status_report);
  json_decref(rig->last_txn);
  json_decref(rig->assign_txn);
  json_decref(rig->member_txn);
  g_free(rig);
}

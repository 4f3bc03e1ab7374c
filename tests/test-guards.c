/* One controller and one scripted worker: the guards that random schedules rarely lean on. Each
   test fails when its guard is taken out. */
#include "core/ws-core.h"
#include "protocol/ws-json.h"
#include "sim/state.h"
#include "ws-site.h"

#include <string.h>

typedef struct {
  WsSettings *settings;
  WsProperties *properties;
  SimState *state;
  WsCore *core;
  gint64 now_ms;
  gboolean workers_answer; /* direct commands */
  guint direct;            /* direct commands seen */
  guint64 seq;
  guint status; /* the last answer to a request of ours */
  json_t *answer;
  gboolean hold; /* the next transaction that assigns a task waits for held's answer */
  guint64 held;
  json_t *last_txn;
  json_t *member_txn; /* the last one that wrote the member's own record */
} Rig;

typedef struct {
  Rig *rig;
  guint64 call;
} Asked;

static void pump(Rig *rig);

static void
reply_text(Rig *rig, guint64 call, guint status, const json_t *body)
{
  g_autofree char *text = ws_json_text(body);
  ws_core_reply(rig->core, rig->now_ms, rig->now_ms, call, status, text,
                text != NULL ? strlen(text) : 0);
}

static void
on_state(gpointer data, guint status, json_t *body)
{
  Asked *asked = data;
  reply_text(asked->rig, asked->call, status, body);
  json_decref(body);
  g_free(asked);
}

static json_t *
catalog(void)
{
  return json_pack("{s:[{s:s, s:i, s:i, s:i, s:i, s:f, s:f, s:f, s:i, s:[s]}]}", "typy", "sku",
                   "g4", "cpus", 32, "accelerators", 4, "mem_gb", 64, "local_gb", 100,
                   "pull_gb_per_s", 1.0, "price", 8.0, "low_price", 3.0, "boot_s", 8, "haly", "a");
}

static void
take_call(Rig *rig, const WsOutput *output)
{
  g_autoptr(json_t) body
      = output->body != NULL ? ws_json_parse(output->body, strlen(output->body)) : NULL;
  const char *path = strchr(output->url + strlen("http://"), '/');
  if (strstr(output->url, "//state") != NULL) {
    Asked *asked = g_new0(Asked, 1);
    *asked = (Asked){ rig, output->call };
    if (strcmp(path, "/multi") == 0) {
      json_decref(rig->last_txn);
      rig->last_txn = json_incref(body);
      if (strstr(output->body, "\"set\":\"w/member/n0\"") != NULL) {
        json_decref(rig->member_txn);
        rig->member_txn = json_incref(body);
      }
    }
    if (rig->hold && output->body != NULL && strstr(output->body, "w/task/") != NULL) {
      rig->hold = FALSE;
      rig->held = output->call;
      g_free(asked);
      return;
    }
    sim_state_request(rig->state, rig->now_ms, output->method, path, body, on_state, asked);
  } else if (strcmp(path, "/catalog") == 0) {
    g_autoptr(json_t) message = catalog();
    reply_text(rig, output->call, 200, message);
  } else if (strcmp(path, "/commands") == 0) {
    rig->direct++;
    if (rig->workers_answer)
      reply_text(rig, output->call, 409, NULL);
  } else {
    reply_text(rig, output->call, 0, NULL);
  }
}

static void
pump(Rig *rig)
{
  WsOutput *output;
  while ((output = ws_core_pop(rig->core)) != NULL) {
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

static void
run(Rig *rig, double seconds)
{
  for (gint64 until_ms = rig->now_ms + (gint64)(seconds * 1000.0); rig->now_ms < until_ms;
       rig->now_ms += 50) {
    sim_state_tick(rig->state, rig->now_ms, FALSE);
    ws_core_tick(rig->core, rig->now_ms, rig->now_ms);
    pump(rig);
  }
}

static void
ask(Rig *rig, const char *method, const char *path, json_t *body)
{
  g_autofree char *text = ws_json_text(body);
  ws_core_request(rig->core, rig->now_ms, rig->now_ms, WS_DOOR_API, method, path, text,
                  text != NULL ? strlen(text) : 0, rig);
  json_decref(body);
  pump(rig);
  run(rig, 0.3);
}

static json_t *
report_of(const char *machine, guint64 token, guint64 seq, json_t *tasks)
{
  return json_pack("{s:s, s:s, s:s, s:s, s:b, s:i, s:I, s:I, s:n, s:o}", "stroj", machine,
                   "endpoint", "w-1:1", "typ", "g4", "hala", "a", "vypujcky", 0, "smena", 1,
                   "poradi", (json_int_t)seq, "pecet", (json_int_t)token, "vypoved_s", "kusy",
                   tasks);
}

static json_t *
report(guint64 token, guint64 seq, json_t *tasks)
{
  return report_of("m-1", token, seq, tasks);
}

static void
send_report(Rig *rig, guint64 token, json_t *tasks)
{
  ask(rig, "POST", "/v1/report", report(token, ++rig->seq, tasks));
}

static json_t *
one_task(const char *state, const char *why)
{
  return json_pack("[{s:s, s:i, s:s, s:s}]", "kus", "req-1/0", "pokus", 1, "stav", state, "duvod",
                   why);
}

/* Whether the last answer to a report has the command. */
static gboolean
has_command(const Rig *rig, const char *op)
{
  size_t i;
  const json_t *command;
  json_array_foreach(json_object_get(rig->answer, "prikazy"), i,
                     command) if (strcmp(json_string_value(json_object_get(command, "ukon")), op)
                                  == 0) return TRUE;
  return FALSE;
}

static gboolean
is_assigned(const Rig *rig)
{
  return sim_state_has(rig->state, "w/task/req-1/0");
}

static json_t *
submission(void)
{
  return json_pack(
      "{s:s, s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:s, s:f, s:b, s:b, s:b, s:f, s:f,"
      " s:f}",
      "id", "req-1", "trida", "batch", "dilna", "red", "druh", "sweep", "prednost", "standard",
      "kusy", 1, "cpus", 8.0, "accelerators", 1.0, "mem_gb", 16.0, "obraz", "img-1", "pull_gb", 2.0,
      "one_zone", 0, "scatter", 0, "vypujcky", 0, "odhad_s", 50.0, "zaloha_s", 0.0, "ulozeni_s",
      0.0);
}

/* A controller that is alone in its epoch, a machine that has shown its token, and a task on it. */
static Rig *
rig_new(gboolean workers_answer)
{
  Rig *rig = g_new0(Rig, 1);
  rig->settings = ws_test_settings(0);
  rig->properties = ws_properties_new();
  rig->state = sim_state_new();
  rig->workers_answer = workers_answer;
  rig->now_ms = 1000;
  rig->core = ws_core_new(rig->settings, rig->properties, 7);
  run(rig, 1.0);
  send_report(rig, 0, json_array());
  send_report(rig, 1, json_array());
  ask(rig, "POST", "/api/jobs", submission());
  run(rig, 1.0);
  g_assert_true(is_assigned(rig));
  g_assert_cmpuint(rig->direct, >, 0);
  return rig;
}

static void
rig_free(Rig *rig)
{
  WsOutput *output;
  sim_state_free(rig->state); /* which ends the watch */
  ws_core_stop(rig->core);
  while ((output = ws_core_pop(rig->core)) != NULL)
    ws_output_free(output);
  ws_core_free(rig->core);
  ws_properties_free(rig->properties);
  ws_settings_free(rig->settings);
  json_decref(rig->answer);
  json_decref(rig->last_txn);
  json_decref(rig->member_txn);
  g_free(rig);
}

static void
remove_key(Rig *rig, const char *key)
{
  g_autoptr(json_t) remove = json_pack("{s:[], s:[{s:s}]}", "if", "apply", "remove", key);
  Asked *asked = g_new0(Asked, 1);
  *asked = (Asked){ rig, 0 };
  g_assert_true(sim_state_has(rig->state, key));
  sim_state_request(rig->state, rig->now_ms, "POST", "/multi", remove, on_state, asked);
}

static gboolean
has_condition(const json_t *txn, const char *key)
{
  size_t i;
  const json_t *condition;
  json_array_foreach(json_object_get(txn, "if"), i, condition)
  {
    if (strcmp(json_string_value(json_object_get(condition, "k")), key) == 0)
      return TRUE;
  }
  return FALSE;
}

/* Every write of assignments carries the epoch, the job and the team as conditions. */
static void
test_conditions(void)
{
  Rig *rig = rig_new(TRUE);
  static const char *const KEYS[] = { "w/epoch", "w/job/req-1", "w/task/req-1/0", "w/team/red" };
  send_report(rig, 1, one_task("exited", "error"));
  for (guint k = 0; k < G_N_ELEMENTS(KEYS); k++)
    g_assert_true(has_condition(rig->last_txn, KEYS[k]));
  rig_free(rig);
}

/* The end of a task is written before the worker may forget it. */
static void
test_done(void)
{
  Rig *rig = rig_new(TRUE);
  send_report(rig, 1, one_task("exited", "done"));
  g_assert_false(has_command(rig, "reap"));
  ask(rig, "GET", "/api/jobs/req-1", NULL);
  g_assert_cmpstr(json_string_value(json_object_get(rig->answer, "stav")), ==, "done");
  send_report(rig, 1, one_task("exited", "done"));
  g_assert_true(has_command(rig, "reap"));
  rig_free(rig);
}

/* A report without our token may be a late copy: its ends are not believed. */
static void
test_unconfirmed(void)
{
  Rig *rig = rig_new(TRUE);
  send_report(rig, 0, one_task("exited", "done"));
  ask(rig, "GET", "/api/jobs/req-1", NULL);
  g_assert_cmpstr(json_string_value(json_object_get(rig->answer, "stav")), !=, "done");
  rig_free(rig);
}

/* An older message is answered, but changes nothing and orders nothing. */
static void
test_order(void)
{
  Rig *rig = rig_new(TRUE);
  send_report(rig, 1, one_task("running", ""));
  ask(rig, "POST", "/v1/report", report(1, 1, json_array()));
  g_assert_cmpuint(rig->status, ==, 200);
  g_assert_false(has_command(rig, "launch"));
  rig_free(rig);
}

/* A cancelled task whose direct launch had no answer isn't released for being absent, nor may the
   worker forget an attempt, until the worker has seen a higher token. */
static void
test_doubt(void)
{
  Rig *rig = rig_new(FALSE);
  ask(rig, "POST", "/api/jobs/req-1/withdraw", NULL);
  g_assert_cmpuint(rig->status, ==, 200);
  send_report(rig, 1, json_array());
  run(rig, 1.0);
  g_assert_true(is_assigned(rig));
  for (guint i = 0; i < 8; i++) {
    send_report(rig, 1, json_array());
    run(rig, 1.5);
  }
  g_assert_true(is_assigned(rig));
  send_report(rig, 2, json_array()); /* the leader has raised the token meanwhile */
  run(rig, 1.0);
  g_assert_false(is_assigned(rig));
  rig_free(rig);
}

static void
test_no_reap_in_doubt(void)
{
  Rig *rig = rig_new(FALSE);
  send_report(rig, 1, one_task("exited", "done"));
  send_report(rig, 1, one_task("exited", "done"));
  g_assert_false(has_command(rig, "reap"));
  rig_free(rig);
}

/* Without doubt the same absence releases it at once, if the report carries our token. */
static void
test_absence(void)
{
  Rig *rig = rig_new(TRUE);
  ask(rig, "POST", "/api/jobs/req-1/withdraw", NULL);
  send_report(rig, 0, json_array());
  g_assert_true(is_assigned(rig));
  send_report(rig, 1, json_array());
  run(rig, 1.0);
  g_assert_false(is_assigned(rig));
  rig_free(rig);
}

/* A higher token than ours means that we don't know the newest epoch. */
static void
test_entitlement(void)
{
  Rig *rig = rig_new(TRUE);
  send_report(rig, 9, json_array());
  g_assert_cmpuint(rig->status, ==, 503);
  rig_free(rig);
}

/* The leader asks again for a task whose assignment is on its way, on another machine, and then
   that transaction fails: the task must still be assigned once. It was assigned twice in one
   transaction, which broke ran_twice on a rough day of dvorak-lodni. */
static void
test_asked_twice(void)
{
  Rig *rig = rig_new(TRUE);
  ask(rig, "POST", "/v1/report", report_of("m-2", 0, 1, json_array()));
  ask(rig, "POST", "/v1/report", report_of("m-2", 1, 2, json_array()));
  json_t *second = submission();
  json_object_set_new(second, "id", json_string("req-2"));
  rig->hold = TRUE;
  ask(rig, "POST", "/api/jobs", second);
  g_assert_cmpuint(rig->held, !=, 0);
  g_autoptr(json_t) picks = json_pack("{s:i, s:[[s, i, s], [s, i, s]], s:[]}", "epoch", 1, "picks",
                                      "req-2", 0, "m-1", "req-2", 0, "m-2", "stops");
  g_autofree char *text = ws_json_text(picks);
  ws_core_request(rig->core, rig->now_ms, rig->now_ms, WS_DOOR_MESH, "POST", "/ask", text,
                  strlen(text), rig);
  pump(rig);
  reply_text(rig, rig->held, 409, NULL);
  pump(rig);
  run(rig, 1.0);
  const json_t *record = sim_state_get(rig->state, "w/task/req-2/0");
  g_assert_cmpuint(json_array_size(json_object_get(record, "on")), ==, 1);
  rig_free(rig);
}

/* The tasks of a gang share their attempt, and when one ends early the others are stopped. */
static void
test_gang(void)
{
  Rig *rig = rig_new(TRUE);
  json_t *gang = submission();
  json_object_set_new(gang, "id", json_string("req-2"));
  json_object_set_new(gang, "druh", json_string("group"));
  json_object_set_new(gang, "kusy", json_integer(2));
  ask(rig, "POST", "/api/jobs", gang);
  run(rig, 1.0);
  const json_t *on = json_object_get(sim_state_get(rig->state, "w/task/req-2/0"), "on");
  g_assert_cmpuint(json_array_size(on), ==, 2);
  for (guint i = 0; i < 2; i++)
    g_assert_cmpint(json_integer_value(json_array_get(json_array_get(on, i), 2)), ==, 1);
  for (guint i = 0; i < 2; i++)
    send_report(rig, 1,
                json_pack("[{s:s, s:i, s:s, s:s}, {s:s, s:i, s:s}]", "kus", "req-2/0", "pokus", 1,
                          "stav", "exited", "duvod", "error", "kus", "req-2/1", "pokus", 1, "stav",
                          "running"));
  g_assert_true(has_command(rig, "halt"));
  rig_free(rig);
}

/* A late transaction of an earlier run must not replace the member's record, so it's written on a
   condition; and a node whose record is gone all the same writes it again. */
static void
test_member(void)
{
  Rig *rig = rig_new(TRUE);
  g_assert_true(has_condition(rig->member_txn, "w/member/n0"));
  remove_key(rig, "w/member/n0");
  run(rig, 2.5);
  g_assert_true(sim_state_has(rig->state, "w/member/n0"));
  rig_free(rig);
}

/* A late report of a machine that was returned must not bring it back as a new one. */
static void
test_ghost(void)
{
  Rig *rig = rig_new(TRUE);
  remove_key(rig, "w/lot/a-1-0-1");
  run(rig, 0.5);
  send_report(rig, 1, json_array());
  g_assert_cmpuint(rig->status, ==, 503);
  run(rig, 1.0);
  g_assert_false(sim_state_has(rig->state, "w/lot/a-1-0-1"));
  rig_free(rig);
}

int
main(int argc, char **argv)
{
  g_test_init(&argc, &argv, NULL);
  g_log_set_always_fatal(G_LOG_LEVEL_ERROR);
  g_test_add_func("/guards/conditions", test_conditions);
  g_test_add_func("/guards/done", test_done);
  g_test_add_func("/guards/unconfirmed", test_unconfirmed);
  g_test_add_func("/guards/order", test_order);
  g_test_add_func("/guards/doubt", test_doubt);
  g_test_add_func("/guards/no-reap-in-doubt", test_no_reap_in_doubt);
  g_test_add_func("/guards/absence", test_absence);
  g_test_add_func("/guards/entitlement", test_entitlement);
  g_test_add_func("/guards/asked-twice", test_asked_twice);
  g_test_add_func("/guards/gang", test_gang);
  g_test_add_func("/guards/member", test_member);
  g_test_add_func("/guards/ghost", test_ghost);
  return g_test_run();
}

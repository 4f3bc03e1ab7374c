/**
 * The simulated network: messages in flight, which are lost, delayed, duplicated or held back.
 */
#include "sim/sim-private.h"
#include "sim/trace.h"

#include <math.h>
#include <string.h>

double
sim_now_s(const Sim *sim)
{
  return (double)sim->now_ms / 1000.0;
}

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  const Event *first = a, *second = b;
  if (first->at_ms != second->at_ms)
    return first->at_ms < second->at_ms ? -1 : 1;
  return first->order < second->order ? -1 : 1;
}

void
sim_schedule(Sim *sim, gint64 after_ms, EventHandler handler, gpointer data)
{
  Event *event = g_new0(Event, 1);
  *event = (Event){ sim->now_ms + MAX(after_ms, 0), ++sim->order, handler, data };
  g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
}

gboolean
sim_draw_chance(Sim *sim, double probability)
{
  return probability > 0.0 && g_rand_double(sim->rand) < probability;
}

gint64
sim_wall_clock_ms(const Sim *sim)
{
  return sim->now_ms + 1000000;
}

void
sim_call_unref(Call *call)
{
  if (--call->refs > 0)
    return;
  g_free(call->method);
  g_free(call->address);
  g_free(call->path);
  json_decref(call->body);
  json_decref(call->answer);
  json_decref(call->held_answer);
  g_free(call);
}

static void handle_worker_reply(Sim *sim, Call *call);
static void route_copy(Sim *sim, gpointer data);
static void route_call(Sim *sim, gpointer data);

static gboolean
is_from_node(const Call *call)
{
  return call->machine == NULL && call->job == NULL && call->expected_status == 0;
}

/* Fails if a malformed request got any answer but the expected one, 503 or a timeout (status 0). */
static void
check_malformed_reply(const Sim *sim, const Call *call)
{
  const char *state = json_string_value(json_object_get(call->answer, "stav"));
  if (call->status == 503 || call->status == 0)
    return;
  if (call->status != call->expected_status
      || (call->expected_state != NULL && g_strcmp0(state, call->expected_state) != 0))
    g_error("seed %u, %.1f s: %s %s got %u (%s) instead of %u", sim->seed, sim_now_s(sim),
            call->method, call->path, call->status, state, call->expected_status);
}

static void
deliver_reply(Sim *sim, gpointer data)
{
  Call *call = data;
  gboolean is_for_node = is_from_node(call);
  gint64 paused_ms = is_for_node ? sim->nodes[call->node].paused_until_ms - sim->now_ms : 0;
  if (!call->is_finished && paused_ms > 0) {
    sim_schedule(sim, paused_ms, deliver_reply, call);
    return;
  }
  if (!call->is_finished) {
    call->is_finished = TRUE;
    if (call->machine != NULL) {
      handle_worker_reply(sim, call);
    } else if (call->job != NULL) {
      sim_user_handle_reply(sim, call);
    } else if (call->expected_status != 0) {
      check_malformed_reply(sim, call);
    } else if (sim->nodes[call->node].core != NULL && sim->nodes[call->node].run == call->run) {
      g_autofree char *text = ws_json_serialize(call->answer);
      ws_core_handle_reply(sim->nodes[call->node].core, sim->now_ms, sim_wall_clock_ms(sim),
                           call->call, call->status, text, text != NULL ? strlen(text) : 0);
      sim_deliver_outputs(sim, call->node);
    }
  }
  sim_call_unref(call);
}

static void
time_out_call(Sim *sim, gpointer data)
{
  Call *call = data;
  if (!call->is_finished) {
    call->status = 0;
    g_clear_pointer(&call->answer, json_decref);
  }
  deliver_reply(sim, call);
}

static gint64
draw_latency_ms(Sim *sim)
{
  return g_rand_int_range(sim->rand, 1, 6);
}

/* Sends the answer to the caller. If the answer is lost, the call ends with its timeout. */
void
sim_reply_to_call(gpointer data, guint status, json_t *body)
{
  Call *call = data;
  if (call->is_finished || call->was_held || call->answer != NULL
      || sim_draw_chance(call->sim, call->sim->faults.net.lose)) {
    json_decref(body);
    sim_call_unref(call);
    return;
  }
  call->status = status;
  call->answer = body;
  sim_schedule(call->sim, draw_latency_ms(call->sim), deliver_reply, call);
}

/* Requests to nodes. The Call is the handle by which the core answers a request. */

static void
deliver_to_node(Sim *sim, Call *call, guint node, WsListener listener)
{
  g_autofree char *text = ws_json_serialize(call->body);
  if (sim->nodes[node].core == NULL) {
    sim_call_unref(call);
    return;
  }
  WsIncomingRequest request = { .listener = listener,
                                .sender = "sim",
                                .method = call->method,
                                .path = call->path,
                                .body = text,
                                .length = text != NULL ? strlen(text) : 0,
                                .handle = call };
  ws_core_handle_request(sim->nodes[node].core, sim->now_ms, sim_wall_clock_ms(sim), &request);
  sim_deliver_outputs(sim, node);
}

/* The copy of a call arrives 1 s to 40 s after the call, when nobody waits for its answer. */
#define MIN_COPY_DELAY_MS 1000.0
#define MAX_COPY_DELAY_FACTOR 40.0

/* Each factor of the delay is as likely as another, so that most copies are a few seconds late. */
static gint64
draw_copy_delay_ms(Sim *sim)
{
  return (gint64)(MIN_COPY_DELAY_MS * pow(MAX_COPY_DELAY_FACTOR, g_rand_double(sim->rand)));
}

/* Has a copy of a call from a node, which was carried out, arrive again. */
static void
schedule_copy(Sim *sim, Call *call)
{
  if (call->has_copy || !is_from_node(call) || !sim_draw_chance(sim, sim->faults.repeated_calls))
    return;
  call->has_copy = TRUE;
  call->refs++;
  sim_schedule(sim, draw_copy_delay_ms(sim), route_copy, call);
}

static void
keep_copy(Sim *sim, Call *call)
{
  if (sim->kept_copies == NULL || g_ptr_array_find(sim->kept_copies, call, NULL))
    return;
  call->refs++;
  g_ptr_array_add(sim->kept_copies, call);
}

void
sim_keep_copies(Sim *sim)
{
  sim->kept_copies = g_ptr_array_new();
}

void
sim_deliver_copies(Sim *sim)
{
  for (guint i = 0; i < sim->kept_copies->len; i++) {
    Call *call = g_ptr_array_index(sim->kept_copies, i);
    call->refs++;
    route_call(sim, call);
  }
}

/* Has a copy of a call that changes something arrive again. */
static void
schedule_copy_of_post(Sim *sim, Call *call)
{
  if (strcmp(call->method, "POST") == 0)
    schedule_copy(sim, call);
}

#define MIN_HELD_LAUNCH_MS 31000
#define MAX_HELD_LAUNCH_MS 180000
#define MIN_CLOUD_DELAY_MS 5000
#define MAX_CLOUD_DELAY_MS 150000

static gboolean
has_launch(const Call *call)
{
  size_t i;
  const json_t *command;
  json_array_foreach(json_object_get(call->body, "prikazy"), i, command)
  {
    if (g_strcmp0(json_string_value(json_object_get(command, "ukon")), "launch") == 0)
      return TRUE;
  }
  return FALSE;
}

/* Whether the call launches a task and is held up. Its caller gets no answer. */
static gboolean
hold_launch(Sim *sim, Call *call)
{
  if (call->was_held || !is_from_node(call) || !has_launch(call))
    return FALSE;
  if (sim->held_launches != NULL)
    g_ptr_array_add(sim->held_launches, call);
  else if (sim_draw_chance(sim, sim->faults.held_launches))
    sim_schedule(sim, g_rand_int_range(sim->rand, MIN_HELD_LAUNCH_MS, MAX_HELD_LAUNCH_MS),
                 route_call, call);
  else
    return FALSE;
  call->was_held = TRUE;
  return TRUE;
}

void
sim_hold_launches(Sim *sim)
{
  sim->held_launches = g_ptr_array_new();
}

guint
sim_count_held_launches(const Sim *sim)
{
  return sim->held_launches != NULL ? sim->held_launches->len : 0;
}

void
sim_deliver_held_launches(Sim *sim)
{
  g_autoptr(GPtrArray) held = g_steal_pointer(&sim->held_launches);
  for (guint i = 0; i < held->len; i++)
    route_call(sim, g_ptr_array_index(held, i));
}

/* Whether the call to the cloud changes something and is carried out late. Its caller gets no
   answer. */
static gboolean
delay_cloud_call(Sim *sim, Call *call)
{
  if (call->was_held || strcmp(call->method, "POST") != 0)
    return FALSE;
  gint64 delay_ms = sim->cloud_delay_ms;
  if (delay_ms == 0 && sim_draw_chance(sim, sim->faults.delayed_cloud_calls))
    delay_ms = g_rand_int_range(sim->rand, MIN_CLOUD_DELAY_MS, MAX_CLOUD_DELAY_MS);
  if (delay_ms == 0)
    return FALSE;
  call->was_held = TRUE;
  sim_schedule(sim, delay_ms, route_call, call);
  return TRUE;
}

void
sim_delay_cloud_calls(Sim *sim, double delay_s)
{
  sim->cloud_delay_ms = (gint64)(delay_s * 1000.0);
}

static void
deliver_to_worker(Sim *sim, Call *call, Machine *machine)
{
  json_t *report = NULL;
  if (hold_launch(sim, call))
    return;
  if (strcmp(call->path, "/status") == 0) {
    sim_reply_to_call(call, 200, sim_worker_heartbeat(machine->worker, sim->now_ms));
    return;
  }
  guint status = sim_worker_handle_commands(machine->worker, sim->now_ms, call->body, &report,
                                            sim_describe_task, sim);
  if (status == 200 && is_from_node(call)) {
    schedule_copy(sim, call);
    keep_copy(sim, call);
  }
  sim_reply_to_call(call, status, report);
}

static gboolean
is_partitioned(const Sim *sim, const char *one, const char *other)
{
  if (one == NULL || other == NULL || strcmp(one, other) == 0)
    return FALSE;
  return (sim->faults.partitioned_zones >> (one[0] - 'a') & 1)
         != (sim->faults.partitioned_zones >> (other[0] - 'a') & 1);
}

/* Users, the cloud and the store are in no zone, so that partitions don't affect their messages. */
static const char *
zone_of_caller(const Call *call)
{
  if (call->machine != NULL)
    return call->machine->worker->zone;
  return is_from_node(call) ? SIM_ZONES[call->node] : NULL;
}

static void
route_to_machine(Sim *sim, Call *call)
{
  g_autofree char *name = g_strndup(call->address + 2, strcspn(call->address + 2, ":"));
  Machine *machine = sim_find_machine(sim, name);
  if (machine == NULL || !sim_is_up(sim, machine)
      || sim->now_ms < machine->outbound_unreachable_until_ms
      || (sim->faults.unreachable_nodes >> call->node & 1) != 0) {
    sim_call_unref(call);
  } else if (sim_is_stalled(sim, machine)) {
    sim_schedule(sim, machine->stalled_until_ms - sim->now_ms, route_call, call);
  } else if (is_partitioned(sim, zone_of_caller(call), machine->worker->zone)) {
    sim_schedule(sim, 1000, route_call, call); /* retries until the partition ends */
  } else {
    deliver_to_worker(sim, call, machine);
  }
}

static void
route_to_node(Sim *sim, Call *call)
{
  guint node = (guint)(strchr(call->address, '-')[1] - '0');
  gboolean is_node = is_from_node(call);
  gboolean is_isolated
      = is_node
        && ((sim->faults.isolated_nodes >> node | sim->faults.isolated_nodes >> call->node) & 1)
               != 0;
  gboolean is_unreachable = call->machine != NULL
                            && ((sim->faults.unreachable_nodes >> node & 1) != 0
                                || sim->now_ms < call->machine->inbound_unreachable_until_ms);
  if (is_isolated || is_unreachable)
    sim_call_unref(call);
  else if (is_partitioned(sim, zone_of_caller(call), SIM_ZONES[node]))
    sim_schedule(sim, 1000, route_call, call);
  else if (sim->now_ms < sim->nodes[node].paused_until_ms)
    sim_schedule(sim, sim->nodes[node].paused_until_ms - sim->now_ms, route_call, call);
  else
    deliver_to_node(sim, call, node, call->address[0] == 'm' ? WS_LISTENER_PEERS : WS_LISTENER_API);
}

static gboolean
is_rejected_by_store(const Sim *sim, const Call *call)
{
  return sim->faults.store_unavailable || (sim->faults.store_rejects_nodes >> call->node & 1) != 0;
}

static void
send_held_answer(Sim *sim, gpointer data)
{
  (void)sim;
  Call *call = data;
  sim_reply_to_call(call, call->status, g_steal_pointer(&call->held_answer));
}

static void
send_held_answer_when_available(Sim *sim, gpointer data)
{
  if (is_rejected_by_store(sim, data))
    sim_schedule(sim, 100, send_held_answer_when_available, data);
  else
    send_held_answer(sim, data);
}

/* Handles the store's answer to a call. The answer to a watch is held back while the store rejects
   the requests of the caller's node, as in an outage. */
static void
handle_store_reply(gpointer data, guint status, json_t *body)
{
  Call *call = data;
  Sim *sim = call->sim;
  if (call->is_finished || call->held_answer != NULL) {
    json_decref(body);
    sim_call_unref(call);
    return;
  }
  call->status = status;
  call->held_answer = body;
  if (is_rejected_by_store(sim, call) && g_str_has_prefix(call->path, "/follow"))
    sim_schedule(sim, 100, send_held_answer_when_available, call);
  else if (sim->faults.store_delay_ms > 0)
    sim_schedule(sim, g_rand_int_range(sim->rand, 0, (gint32)sim->faults.store_delay_ms),
                 send_held_answer, call);
  else
    send_held_answer(sim, call);
}

static void
ignore_store_reply(gpointer data, guint status, json_t *body)
{
  (void)status;
  json_decref(body);
  sim_call_unref(data);
}

/* Applies a delayed transaction, which gets no answer, possibly after newer ones. */
static void
apply_delayed_transaction(Sim *sim, gpointer data)
{
  Call *call = data;
  if (sim->faults.store_unavailable)
    sim_schedule(sim, 1000, apply_delayed_transaction, call);
  else
    sim_store_request(sim->store, sim->now_ms, call->method, call->path, call->body,
                      ignore_store_reply, call);
}

/* Removes what older versions don't write from the member records in a transaction. */
static void
remove_token_ranges(const json_t *transaction)
{
  size_t i;
  json_t *change;
  json_array_foreach(json_object_get(transaction, "apply"), i, change)
  {
    const char *key = json_string_value(json_object_get(change, "set"));
    if (key != NULL && g_str_has_prefix(key, "w/member/"))
      json_object_del(json_object_get(change, "value"), "token_ranges");
  }
}

static void
carry_out_in_store(Sim *sim, Call *call)
{
  if (sim->uses_single_tokens)
    remove_token_ranges(call->body);
  schedule_copy_of_post(sim, call);
  sim_store_request(sim->store, sim->now_ms, call->method, call->path, call->body,
                    handle_store_reply, call);
}

static void
deliver_to_store(Sim *sim, Call *call)
{
  if ((sim->faults.isolated_nodes >> call->node & 1) != 0)
    sim_call_unref(call);
  else if (is_rejected_by_store(sim, call))
    sim_reply_to_call(call, 503, json_object());
  else if (strcmp(call->path, "/multi") == 0
           && sim_draw_chance(sim, sim->faults.delayed_transactions))
    sim_schedule(sim, g_rand_int_range(sim->rand, 2000, 12000), apply_delayed_transaction, call);
  else
    carry_out_in_store(sim, call);
}

/* Delivers the copy of a call that has its answer. */
static void
route_copy(Sim *sim, gpointer data)
{
  Call *call = data;
  if (strcmp(call->address, "state:1") == 0)
    apply_delayed_transaction(sim, call);
  else
    route_call(sim, call);
}

static void
route_call(Sim *sim, gpointer data)
{
  Call *call = data;
  if (strcmp(call->address, "state:1") == 0) {
    deliver_to_store(sim, call);
  } else if (strcmp(call->address, "cloud:1") == 0) {
    if (delay_cloud_call(sim, call))
      return;
    schedule_copy_of_post(sim, call);
    sim_send_to_cloud(sim, call);
  } else if (g_str_has_prefix(call->address, "w-")) {
    route_to_machine(sim, call);
  } else {
    route_to_node(sim, call);
  }
}

/* Sends a call that waits for its answer until the timeout. */
void
sim_send_call(Sim *sim, Call *call, guint timeout_ms)
{
  call->sim = sim;
  call->refs = 1;
  call->sent_ms = sim->now_ms;
  sim_schedule(sim, timeout_ms, time_out_call, call);
  if (sim_draw_chance(sim, sim->faults.net.lose))
    return;
  call->refs++;
  gint64 after_ms = draw_latency_ms(sim);
  if (sim_draw_chance(sim, sim->faults.net.late))
    after_ms += g_rand_int_range(sim->rand, 2000, 60000);
  sim_schedule(sim, after_ms, route_call, call);
  if (sim_draw_chance(sim, sim->faults.net.repeat)) {
    call->refs++;
    sim_schedule(sim, after_ms + g_rand_int_range(sim->rand, 1, 3000), route_call, call);
  }
  if (call->machine != NULL && sim_draw_chance(sim, sim->faults.duplicated_heartbeats)) {
    call->refs++;
    sim_schedule(sim, after_ms + g_rand_int_range(sim->rand, 1000, 4 * (gint32)sim->lease_ms),
                 route_call, call);
  }
}

static json_t *
parse_body(const char *text)
{
  return text != NULL ? ws_json_parse(text, strlen(text)) : NULL;
}

static void
trace_output(const Sim *sim, guint node, const WsOutput *output)
{
  const Call *request = output->request;
  sim_trace_output(sim->now_ms, ws_settings_node(sim->settings[node], node)->name,
                   output->is_answer ? request->method : output->method,
                   output->is_answer ? request->path : output->url, output);
}

void
sim_deliver_outputs(Sim *sim, guint node)
{
  WsOutput *output;
  while ((output = ws_core_pop_output(sim->nodes[node].core)) != NULL) {
    trace_output(sim, node, output);
    if (output->is_answer) {
      sim_reply_to_call(output->request, output->status, parse_body(output->body));
    } else {
      Call *call = g_new0(Call, 1);
      const char *rest = output->url + strlen("http://");
      const char *slash = strchr(rest, '/');
      call->node = node;
      call->run = sim->nodes[node].run;
      call->call = output->call;
      call->method = g_strdup(output->method);
      call->address = g_strndup(rest, (gsize)(slash - rest));
      call->path = g_strdup(slash);
      call->body = parse_body(output->body);
      sim_send_call(sim, call, output->timeout_ms);
    }
    ws_output_free(output);
  }
}

static void
handle_worker_reply(Sim *sim, Call *call)
{
  Machine *machine = call->machine;
  machine->next_heartbeat_ms
      = sim->now_ms + sim->heartbeat_interval_ms * 3 / 4
        + g_rand_int_range(sim->rand, 0, (gint32)sim->heartbeat_interval_ms / 2);
  if (!sim_is_up(sim, machine))
    return;
  if (sim->now_ms < machine->outbound_unreachable_until_ms)
    call->status = 0;
  if (call->status == 200) {
    if (!sim_is_stalled(sim, machine))
      sim_worker_handle_answer(machine->worker, sim->now_ms, call->sent_ms, call->incarnation,
                               call->answer, sim_describe_task, sim);
    return;
  }
  const char *to = call->status == 421
                       ? json_string_value(json_object_get(call->answer, "hlasit_komu"))
                       : NULL;
  guint next = (machine->node + 1) % SIM_NODES;
  if (call->status == 421 && to != NULL)
    next = (guint)(to[1] - '0');
  machine->next_heartbeat_ms
      = sim->now_ms + (call->status == 421 && next != machine->node ? 100 : 1000);
  machine->node = next;
}

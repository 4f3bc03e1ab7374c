/**
 * Scalability: the work of a controller for a heartbeat, a tick, a gossip message, a plan and a
 * failover, at several cluster sizes. The work must not grow with the number of machines, or no
 * faster than the test states. Work is counted in steps and messages, not in time.
 */
#include "storage/ws-replica.h"
#include "sim/fixture.h"
#include "ws-suite.h"

#define SMALL_CLUSTER_MACHINES 80u
#define LARGE_CLUSTER_MACHINES 640u
#define HUGE_CLUSTER_MACHINES 4000u
/* The number of machines that the last remaining node must be able to serve. */
#define LAST_NODE_MACHINES 6000u

static void
send_idle_heartbeat(Fixture *fixture, guint machine, guint64 fencing_token, guint64 sequence)
{
  g_autofree char *name = g_strdup_printf("m-%06u", machine);
  fixture_post_heartbeat(fixture, name, fencing_token, sequence, json_array());
}

static void
send_idle_heartbeats(Fixture *fixture, guint machines, guint64 fencing_token, guint64 sequence)
{
  for (guint m = 0; m < machines; m++)
    send_idle_heartbeat(fixture, m, fencing_token, sequence);
}

/* A controller whose machines have all shown the fencing token and are known to the peers. */
static Fixture *
fixture_with_machines(guint machines)
{
  Fixture *fixture = fixture_new(TRUE);
  for (guint64 sequence = 1; sequence <= 3; sequence++) {
    send_idle_heartbeats(fixture, machines, sequence == 1 ? 0 : 1, sequence);
    fixture_run(fixture, 1.5);
  }
  return fixture;
}

static guint
outputs_of_heartbeat(guint machines)
{
  Fixture *fixture = fixture_with_machines(machines);
  guint before = fixture->outputs;
  send_idle_heartbeat(fixture, 7, 1, 10);
  guint outputs = fixture->outputs - before;
  fixture_free(fixture);
  return outputs;
}

/* A heartbeat without changes causes its answer, and no other message. */
static void
test_unchanged_heartbeat_causes_only_its_answer(void)
{
  g_assert_cmpuint(outputs_of_heartbeat(SMALL_CLUSTER_MACHINES), ==, 1);
  g_assert_cmpuint(outputs_of_heartbeat(LARGE_CLUSTER_MACHINES), ==, 1);
  g_assert_cmpuint(outputs_of_heartbeat(HUGE_CLUSTER_MACHINES), ==, 1);
}

/* The messages of a restarted controller while every worker sends it its first heartbeat. */
static guint
outputs_of_takeover(guint machines)
{
  Fixture *fixture = fixture_with_machines(machines);
  fixture_restart(fixture);
  fixture_run(fixture, 6.0); /* the lease of its previous run ends */
  guint before = fixture->outputs;
  send_idle_heartbeats(fixture, machines, 1, 30);
  guint outputs = fixture->outputs - before;
  g_assert_cmpuint(fixture->status, ==, 200);
  fixture_free(fixture);
  return outputs;
}

/* A takeover of all machines needs one answer per machine, and a few more messages. */
static void
test_takeover_messages_grow_only_with_machines(void)
{
  g_assert_cmpuint(outputs_of_takeover(SMALL_CLUSTER_MACHINES), <=, SMALL_CLUSTER_MACHINES + 10);
  g_assert_cmpuint(outputs_of_takeover(HUGE_CLUSTER_MACHINES), <=, HUGE_CLUSTER_MACHINES + 10);
  g_assert_cmpuint(outputs_of_takeover(LAST_NODE_MACHINES), <=, LAST_NODE_MACHINES + 10);
}

static guint
outputs_of_idle_second(guint machines)
{
  Fixture *fixture = fixture_with_machines(machines);
  send_idle_heartbeats(fixture, machines, 1, 11);
  fixture_run(fixture, 0.5);
  guint before = fixture->outputs;
  fixture_run(fixture, 1.0);
  guint outputs = fixture->outputs - before;
  fixture_free(fixture);
  return outputs;
}

/* Twenty ticks without events cause a number of messages that is independent of the number of
   machines. */
static void
test_idle_tick_messages_are_independent_of_cluster_size(void)
{
  guint small = outputs_of_idle_second(SMALL_CLUSTER_MACHINES);
  g_assert_cmpuint(small, >, 0);
  g_assert_cmpuint(outputs_of_idle_second(HUGE_CLUSTER_MACHINES), <=, small + 2);
}

static gsize
unchanged_gossip_bytes(guint machines)
{
  Fixture *fixture = fixture_with_machines(machines);
  send_idle_heartbeats(fixture, machines, 1, 11);
  fixture_run(fixture, 1.6);
  gsize bytes = fixture->gossip_bytes;
  fixture_free(fixture);
  return bytes;
}

/* The size of a gossip message without changes is independent of the number of machines. */
static void
test_unchanged_gossip_is_independent_of_cluster_size(void)
{
  gsize small = unchanged_gossip_bytes(SMALL_CLUSTER_MACHINES),
        large = unchanged_gossip_bytes(LARGE_CLUSTER_MACHINES),
        huge = unchanged_gossip_bytes(HUGE_CLUSTER_MACHINES);
  g_assert_cmpuint(small, >, 0);
  g_assert_cmpuint(large, <=, small + 8); /* longer numbers */
  g_assert_cmpuint(huge, <=, small + 12);
}

static guint64
plan_steps_of_job(guint machines, guint tasks)
{
  Fixture *fixture = fixture_with_machines(machines);
  json_t *job = fixture_submission();
  json_object_set_new(job, "kusy", json_integer(tasks));
  guint64 before = ws_core_machines_examined(fixture->core);
  fixture_send_request(fixture, "POST", "/api/jobs", job);
  guint64 steps = ws_core_machines_examined(fixture->core) - before;
  fixture_free(fixture);
  return steps;
}

/* The steps of a plan grow with the number of machines, not with tasks times machines. */
static void
test_plan_steps_grow_only_with_machines(void)
{
  guint64 small = plan_steps_of_job(SMALL_CLUSTER_MACHINES, 6),
          large = plan_steps_of_job(LARGE_CLUSTER_MACHINES, 6);
  guint64 many = plan_steps_of_job(LARGE_CLUSTER_MACHINES, 600);
  g_assert_cmpuint(small, >, 0);
  g_assert_cmpuint(large, <=, small * (LARGE_CLUSTER_MACHINES / SMALL_CLUSTER_MACHINES) * 2);
  g_assert_cmpuint(many, <=, large * 4);
}

static void
submit_job(Fixture *fixture, guint number, guint tasks, double cpus)
{
  json_t *job = fixture_submission();
  g_autofree char *id = g_strdup_printf("req-%06u", number);
  json_object_set_new(job, "id", json_string(id));
  json_object_set_new(job, "kusy", json_integer((json_int_t)tasks));
  json_object_set_new(job, "cpus", json_real(cpus));
  fixture_post(fixture, "/api/jobs", job);
}

/* Sends heartbeats in which each machine reports its task of the first job as running. */
static void
send_heartbeats_with_first_job(Fixture *fixture, guint machines, guint64 sequence)
{
  for (guint chunk = 0; chunk * WS_CHUNK_TASKS < machines; chunk++) {
    g_autofree char *key = g_strdup_printf("w/task/req-000001/%u", chunk);
    size_t i;
    const json_t *assignment;
    json_array_foreach(json_object_get(sim_store_get(fixture->store, key), "on"), i, assignment)
    {
      g_autofree char *task = g_strdup_printf("req-000001/%" JSON_INTEGER_FORMAT,
                                              json_integer_value(json_array_get(assignment, 0)));
      fixture_post_heartbeat(fixture, json_string_value(json_array_get(assignment, 1)), 1, sequence,
                             json_pack("[{s:s, s:O, s:s}]", "kus", task, "pokus",
                                       json_array_get(assignment, 2), "stav", "running"));
    }
  }
}

static void
run_with_heartbeats(Fixture *fixture, guint machines, guint64 first_sequence)
{
  for (guint64 sequence = first_sequence; sequence < first_sequence + 3; sequence++) {
    send_heartbeats_with_first_job(fixture, machines, sequence);
    fixture_run(fixture, 1.5);
  }
}

/* The steps of a plan in a full cluster with @jobs waiting jobs. Each machine has free capacity,
   but too little for a task of these jobs. */
static guint64
plan_steps_in_full_cluster(guint machines, guint jobs)
{
  Fixture *fixture = fixture_with_machines(machines);
  fixture_remove_quotas(fixture);
  submit_job(fixture, 1, machines, 24.0);
  fixture_run(fixture, 2.0);
  run_with_heartbeats(fixture, machines, 11);
  for (guint j = 0; j < jobs; j++)
    submit_job(fixture, 100 + j, 25, 16.0);
  run_with_heartbeats(fixture, machines, 16);
  guint64 steps = ws_core_machines_examined(fixture->core),
          plans = ws_core_plan_count(fixture->core);
  run_with_heartbeats(fixture, machines, 21);
  steps = ws_core_machines_examined(fixture->core) - steps;
  plans = ws_core_plan_count(fixture->core) - plans;
  fixture_free(fixture);
  return steps / MAX(plans, 1u);
}

/* In a full cluster the steps of a plan don't grow with waiting jobs times machines. Otherwise two
   plans were seconds apart at 1,800 machines, and free capacity stayed unused meanwhile. */
static void
test_plan_steps_in_full_cluster_are_bounded(void)
{
  guint64 few = plan_steps_in_full_cluster(HUGE_CLUSTER_MACHINES, 2),
          many = plan_steps_in_full_cluster(HUGE_CLUSTER_MACHINES, 40);
  g_assert_cmpuint(few, >, 0);
  g_assert_cmpuint(many, <=, few * 4);
}

/* Sends heartbeats of all machines that report the assigned tasks of every job whose number is a
   multiple of @step as running. A worker reports the highest fencing token that it was answered
   with.
   @fencing_tokens: by machine; updated */
static void
send_heartbeats_with_jobs(Fixture *fixture, guint machines, guint step, guint64 sequence,
                          guint64 *fencing_tokens)
{
  g_autoptr(GPtrArray) reported_tasks = g_ptr_array_new();
  for (guint m = 0; m < machines; m++)
    g_ptr_array_add(reported_tasks, json_array());
  for (guint j = 0; j < machines; j += step) {
    g_autofree char *key = g_strdup_printf("w/task/req-%06u/0", j);
    size_t i;
    const json_t *assignment;
    json_array_foreach(json_object_get(sim_store_get(fixture->store, key), "on"), i, assignment)
    {
      guint64 machine
          = g_ascii_strtoull(json_string_value(json_array_get(assignment, 1)) + 2, NULL, 10);
      g_autofree char *task = g_strdup_printf("req-%06u/%" JSON_INTEGER_FORMAT, j,
                                              json_integer_value(json_array_get(assignment, 0)));
      json_array_append_new(g_ptr_array_index(reported_tasks, machine),
                            json_pack("{s:s, s:O, s:s}", "kus", task, "pokus",
                                      json_array_get(assignment, 2), "stav", "running"));
    }
  }
  for (guint m = 0; m < machines; m++) {
    g_autofree char *name = g_strdup_printf("m-%06u", m);
    fixture_post_heartbeat(fixture, name, fencing_tokens[m], sequence,
                           g_ptr_array_index(reported_tasks, m));
    fencing_tokens[m] = MAX(fencing_tokens[m], fixture_answered_token(fixture));
  }
}

/* Runs for @seconds, and sets *marked_ms to the time of the first termination mark. */
static void
run_and_record_first_mark(Fixture *fixture, double seconds, gint64 *marked_ms)
{
  for (gint64 until_ms = fixture->now_ms + (gint64)(seconds * 1000.0);
       fixture->now_ms < until_ms;) {
    fixture_run(fixture, 0.05);
    if (*marked_ms == 0 && sim_store_count_keys(fixture->store, "w/mark/") > 0)
      *marked_ms = fixture->now_ms;
  }
}

/* Half-empty machines with services are consolidated a few at a time, and more of them in a larger
   cluster: with one at a time, a hundred machines stayed half empty for minutes. A node selects
   machines only in its turn, here in the first of every two seconds, so that no two nodes rely on
   the same free capacity. Returns the highest number of machines with a mark at the same time. */
static guint
max_concurrent_consolidations(guint machines)
{
  Fixture *fixture = fixture_with_machines(machines);
  guint max_marks = 0;
  gint64 marked_ms = 0;
  fixture_run(fixture, 0.4); /* otherwise the idle timeout would end in the node's turn anyway */
  fixture_remove_quotas(fixture);
  for (guint j = 0; j < machines; j++) {
    json_t *job = fixture_submission();
    g_autofree char *id = g_strdup_printf("req-%06u", j);
    json_object_set_new(job, "id", json_string(id));
    json_object_set_new(job, "druh", json_string("service"));
    json_object_set_new(job, "kusy", json_integer(4));
    fixture_post(fixture, "/api/jobs", job);
  }
  guint64 sequence = 20;
  g_autofree guint64 *fencing_tokens = g_new(guint64, machines);
  for (guint m = 0; m < machines; m++)
    fencing_tokens[m] = 1;
  for (guint i = 0; i < 6; i++) {
    fixture_run(fixture, 1.5);
    send_heartbeats_with_jobs(fixture, machines, 1, ++sequence, fencing_tokens);
  }
  for (guint j = 0; j < machines; j++) {
    if (j % 4 == 0)
      continue; /* one job in four stays: one task on each machine */
    g_autofree char *path = g_strdup_printf("/api/jobs/req-%06u/withdraw", j);
    fixture_post(fixture, path, json_object());
  }
  for (guint i = 0; i < 30; i++) {
    run_and_record_first_mark(fixture, 1.5, &marked_ms);
    send_heartbeats_with_jobs(fixture, machines, 4, ++sequence, fencing_tokens);
    max_marks = MAX(max_marks, sim_store_count_keys(fixture->store, "w/mark/"));
  }
  g_assert_cmpint(marked_ms % 2000, <, 1100);
  fixture_free(fixture);
  return max_marks;
}

static void
test_consolidation_is_limited_by_cluster_size(void)
{
  g_assert_cmpuint(max_concurrent_consolidations(20), ==, 1);
  guint many = max_concurrent_consolidations(200);
  g_assert_cmpuint(many, >, 1);
  g_assert_cmpuint(many, <=, 5);
}

/* CANCELLED_JOBS jobs, each on its own machine, are cancelled at the same time, and no worker
   answers halts. The peers are notified in a few messages, and halts are sent at a bounded rate. */
static void
test_bulk_cancellation_is_batched_and_paced(void)
{
  enum { CANCELLED_JOBS = 200 };
  Fixture *fixture = fixture_with_machines(HUGE_CLUSTER_MACHINES);
  fixture_remove_quotas(fixture);
  for (guint i = 0; i < CANCELLED_JOBS; i++) {
    json_t *job = fixture_submission();
    g_autofree char *id = g_strdup_printf("req-%u", i);
    json_object_set_new(job, "id", json_string(id));
    json_object_set_new(job, "cpus", json_real(32.0));
    fixture_post(fixture, "/api/jobs", job);
  }
  for (guint round = 0;
       round < 20 && sim_store_count_keys(fixture->store, "w/task/") < CANCELLED_JOBS; round++) {
    for (guint m = 0; m < HUGE_CLUSTER_MACHINES; m++)
      send_idle_heartbeat(fixture, m, 1, 10 + round);
    fixture_run(fixture, 1.0);
  }
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/task/"), ==, CANCELLED_JOBS);
  fixture->workers_answer = FALSE;
  fixture->peers_acknowledge = TRUE;
  guint commands_before = fixture->direct_commands;
  for (guint i = 0; i < CANCELLED_JOBS; i++) {
    g_autofree char *path = g_strdup_printf("/api/jobs/req-%u/withdraw", i);
    fixture_post(fixture, path, json_object());
  }
  fixture_run(fixture, 1.0);
  g_assert_cmpuint(fixture->cancellations_sent, >, 0);
  g_assert_cmpuint(fixture->cancellations_sent, <=, 24);
  fixture_run(fixture, 4.0);
  g_assert_cmpuint(fixture->direct_commands - commands_before, >=, 24);
  g_assert_cmpuint(fixture->direct_commands - commands_before, <=, (guint64)5 * 24);
  fixture_free(fixture);
}

static const WsTest TESTS[] = {
  { "/size/report", test_unchanged_heartbeat_causes_only_its_answer },
  { "/size/takeover", test_takeover_messages_grow_only_with_machines },
  { "/size/tick", test_idle_tick_messages_are_independent_of_cluster_size },
  { "/size/gossip", test_unchanged_gossip_is_independent_of_cluster_size },
  { "/size/plan", test_plan_steps_grow_only_with_machines },
  { "/size/full", test_plan_steps_in_full_cluster_are_bounded },
  { "/size/consolidation", test_consolidation_is_limited_by_cluster_size },
  { "/size/cancelled-in-bulk", test_bulk_cancellation_is_batched_and_paced },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

/**
 * What a controller does for one heartbeat, tick, gossip, plan and failover, counted at several
 * cluster sizes: it may not grow with the number of machines, or no faster than stated. Steps and
 * messages, not seconds.
 */
#include "storage/ws-replica.h"
#include "sim/fixture.h"
#include "ws-suite.h"

#define SMALL 80u
#define LARGE 640u
#define HUGE 4000u
/* What one node bears that is the last one standing. */
#define ALONE 6000u

static void
report(Fixture *fixture, guint machine, guint64 fencing_token, guint64 sequence)
{
  g_autofree char *name = g_strdup_printf("m-%06u", machine);
  fixture_post_heartbeat(fixture, name, fencing_token, sequence, json_array());
}

static void
report_each(Fixture *fixture, guint machines, guint64 fencing_token, guint64 sequence)
{
  for (guint m = 0; m < machines; m++)
    report(fixture, m, fencing_token, sequence);
}

/* All machines have shown the fencing token, and the peers know of them. */
static Fixture *
fixture_with_machines(guint machines)
{
  Fixture *fixture = fixture_new(TRUE);
  for (guint64 sequence = 1; sequence <= 3; sequence++) {
    report_each(fixture, machines, sequence == 1 ? 0 : 1, sequence);
    fixture_run(fixture, 1.5);
  }
  return fixture;
}

static guint
outputs_of_report(guint machines)
{
  Fixture *fixture = fixture_with_machines(machines);
  guint before = fixture->outputs;
  report(fixture, 7, 1, 10);
  guint outputs = fixture->outputs - before;
  fixture_free(fixture);
  return outputs;
}

/* A plain heartbeat is answered, and nothing else comes of it. */
static void
test_report(void)
{
  g_assert_cmpuint(outputs_of_report(SMALL), ==, 1);
  g_assert_cmpuint(outputs_of_report(LARGE), ==, 1);
  g_assert_cmpuint(outputs_of_report(HUGE), ==, 1);
}

/* The controller has begun anew, and every worker sends it its first heartbeat. */
static guint
outputs_of_takeover(guint machines)
{
  Fixture *fixture = fixture_with_machines(machines);
  fixture_restart(fixture);
  fixture_run(fixture, 6.0); /* the lease of its last run ends meanwhile */
  guint before = fixture->outputs;
  report_each(fixture, machines, 1, 30);
  guint outputs = fixture->outputs - before;
  g_assert_cmpuint(fixture->status, ==, 200);
  fixture_free(fixture);
  return outputs;
}

/* Taking every machine over costs an answer for each, and a few messages more. */
static void
test_takeover(void)
{
  g_assert_cmpuint(outputs_of_takeover(SMALL), <=, SMALL + 10);
  g_assert_cmpuint(outputs_of_takeover(HUGE), <=, HUGE + 10);
  g_assert_cmpuint(outputs_of_takeover(ALONE), <=, ALONE + 10);
}

static guint
outputs_of_second(guint machines)
{
  Fixture *fixture = fixture_with_machines(machines);
  report_each(fixture, machines, 1, 11);
  fixture_run(fixture, 0.5);
  guint before = fixture->outputs;
  fixture_run(fixture, 1.0);
  guint outputs = fixture->outputs - before;
  fixture_free(fixture);
  return outputs;
}

/* Twenty ticks in which nothing happens say as much, whatever the number of machines. */
static void
test_tick(void)
{
  guint small = outputs_of_second(SMALL);
  g_assert_cmpuint(small, >, 0);
  g_assert_cmpuint(outputs_of_second(HUGE), <=, small + 2);
}

static gsize
quiet_gossip(guint machines)
{
  Fixture *fixture = fixture_with_machines(machines);
  report_each(fixture, machines, 1, 11);
  fixture_run(fixture, 1.6);
  gsize bytes = fixture->gossip_bytes;
  fixture_free(fixture);
  return bytes;
}

/* When nothing has changed, gossip says so in a few words. */
static void
test_gossip(void)
{
  gsize small = quiet_gossip(SMALL), large = quiet_gossip(LARGE), huge = quiet_gossip(HUGE);
  g_assert_cmpuint(small, >, 0);
  g_assert_cmpuint(large, <=, small + 8); /* a longer count */
  g_assert_cmpuint(huge, <=, small + 12);
}

static guint64
steps_of_job(guint machines, guint tasks)
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

/* A plan grows with the machines, not with tasks times machines. */
static void
test_plan(void)
{
  guint64 small = steps_of_job(SMALL, 6), large = steps_of_job(LARGE, 6);
  guint64 many = steps_of_job(LARGE, 600);
  g_assert_cmpuint(small, >, 0);
  g_assert_cmpuint(large, <=, small * (LARGE / SMALL) * 2);
  g_assert_cmpuint(many, <=, large * 4);
}

static void
submit(Fixture *fixture, guint number, guint tasks, double cpus)
{
  json_t *job = fixture_submission();
  g_autofree char *id = g_strdup_printf("req-%06u", number);
  json_object_set_new(job, "id", json_string(id));
  json_object_set_new(job, "kusy", json_integer((json_int_t)tasks));
  json_object_set_new(job, "cpus", json_real(cpus));
  fixture_post(fixture, "/api/jobs", job);
}

/* Every machine shows the task of the first job that is assigned to it. */
static void
report_tasks(Fixture *fixture, guint machines, guint64 sequence)
{
  for (guint chunk = 0; chunk * WS_CHUNK_TASKS < machines; chunk++) {
    g_autofree char *key = g_strdup_printf("w/task/req-000001/%u", chunk);
    size_t i;
    const json_t *on;
    json_array_foreach(json_object_get(sim_store_get(fixture->store, key), "on"), i, on)
    {
      g_autofree char *task = g_strdup_printf("req-000001/%" JSON_INTEGER_FORMAT,
                                              json_integer_value(json_array_get(on, 0)));
      fixture_post_heartbeat(fixture, json_string_value(json_array_get(on, 1)), 1, sequence,
                             json_pack("[{s:s, s:O, s:s}]", "kus", task, "pokus",
                                       json_array_get(on, 2), "stav", "running"));
    }
  }
}

static void
report_for_a_while(Fixture *fixture, guint machines, guint64 first)
{
  for (guint64 sequence = first; sequence < first + 3; sequence++) {
    report_tasks(fixture, machines, sequence);
    fixture_run(fixture, 1.5);
  }
}

/* A full cluster, with something left on each machine that is of no use, and so many waiting jobs.
   Returns the steps of a plan. */
static guint64
steps_when_full(guint machines, guint jobs)
{
  Fixture *fixture = fixture_with_machines(machines);
  fixture_remove_quotas(fixture);
  submit(fixture, 1, machines, 24.0);
  fixture_run(fixture, 2.0);
  report_for_a_while(fixture, machines, 11);
  for (guint j = 0; j < jobs; j++)
    submit(fixture, 100 + j, 25, 16.0);
  report_for_a_while(fixture, machines, 16);
  guint64 steps = ws_core_machines_examined(fixture->core),
          plans = ws_core_plan_count(fixture->core);
  report_for_a_while(fixture, machines, 21);
  steps = ws_core_machines_examined(fixture->core) - steps;
  plans = ws_core_plan_count(fixture->core) - plans;
  fixture_free(fixture);
  return steps / MAX(plans, 1u);
}

/* When the cluster is full a plan doesn't grow with waiting jobs times machines: at 1,800 machines
   there were seconds between two plans, and places stood empty meanwhile. */
static void
test_full(void)
{
  guint64 few = steps_when_full(HUGE, 2), many = steps_when_full(HUGE, 40);
  g_assert_cmpuint(few, >, 0);
  g_assert_cmpuint(many, <=, few * 4);
}

/* What every so many of the jobs have assigned is reported as running, machine by machine. */
static void
report_jobs(Fixture *fixture, guint machines, guint step, guint64 sequence)
{
  g_autoptr(GPtrArray) lists = g_ptr_array_new();
  for (guint m = 0; m < machines; m++)
    g_ptr_array_add(lists, json_array());
  for (guint j = 0; j < machines; j += step) {
    g_autofree char *key = g_strdup_printf("w/task/req-%06u/0", j);
    size_t i;
    const json_t *on;
    json_array_foreach(json_object_get(sim_store_get(fixture->store, key), "on"), i, on)
    {
      guint64 machine = g_ascii_strtoull(json_string_value(json_array_get(on, 1)) + 2, NULL, 10);
      g_autofree char *task = g_strdup_printf("req-%06u/%" JSON_INTEGER_FORMAT, j,
                                              json_integer_value(json_array_get(on, 0)));
      json_array_append_new(g_ptr_array_index(lists, machine),
                            json_pack("{s:s, s:O, s:s}", "kus", task, "pokus",
                                      json_array_get(on, 2), "stav", "running"));
    }
  }
  for (guint m = 0; m < machines; m++) {
    g_autofree char *name = g_strdup_printf("m-%06u", m);
    fixture_post_heartbeat(fixture, name, 1, sequence, g_ptr_array_index(lists, m));
  }
}

/* Runs for a while, and notes when the first mark is there. */
static void
run_to_marks(Fixture *fixture, double seconds, gint64 *marked_ms)
{
  for (gint64 until_ms = fixture->now_ms + (gint64)(seconds * 1000.0);
       fixture->now_ms < until_ms;) {
    fixture_run(fixture, 0.05);
    if (*marked_ms == 0 && sim_store_count_keys(fixture->store, "w/mark/") > 0)
      *marked_ms = fixture->now_ms;
  }
}

/* Half-empty machines with services are consolidated a few at a time, more of them where there are
   more machines: one at a time, a hundred stood half empty for minutes at the end of a day. A node
   begins only in its turn, here in the first of every two seconds, so that no two count on the
   same free capacity. */
static guint
max_concurrent_consolidations(guint machines)
{
  Fixture *fixture = fixture_with_machines(machines);
  guint most = 0;
  gint64 marked_ms = 0;
  fixture_run(fixture, 0.4); /* else the idle timeout would end in our turn anyway */
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
  for (guint i = 0; i < 6; i++) {
    fixture_run(fixture, 1.5);
    report_jobs(fixture, machines, 1, ++sequence);
  }
  for (guint j = 0; j < machines; j++) {
    if (j % 4 == 0)
      continue; /* one in four stays: one task on each machine */
    g_autofree char *path = g_strdup_printf("/api/jobs/req-%06u/withdraw", j);
    fixture_post(fixture, path, json_object());
  }
  for (guint i = 0; i < 30; i++) {
    run_to_marks(fixture, 1.5, &marked_ms);
    report_jobs(fixture, machines, 4, ++sequence);
    most = MAX(most, sim_store_count_keys(fixture->store, "w/mark/"));
  }
  g_assert_cmpint(marked_ms % 2000, <, 1100);
  fixture_free(fixture);
  return most;
}

static void
test_consolidation(void)
{
  g_assert_cmpuint(max_concurrent_consolidations(20), ==, 1);
  guint many = max_concurrent_consolidations(200);
  g_assert_cmpuint(many, >, 1);
  g_assert_cmpuint(many, <=, 5);
}

/* Hundreds of jobs cancelled within a fifth of a second on as many machines: the peers are told in
   a few messages, and halts go at a bounded pace, while no worker answers any. */
static void
test_cancelled_in_bulk(void)
{
  enum { JOBS = 200 };
  Fixture *fixture = fixture_with_machines(HUGE);
  fixture_remove_quotas(fixture);
  for (guint i = 0; i < JOBS; i++) {
    json_t *job = fixture_submission();
    g_autofree char *id = g_strdup_printf("req-%u", i);
    json_object_set_new(job, "id", json_string(id));
    json_object_set_new(job, "cpus", json_real(32.0));
    fixture_post(fixture, "/api/jobs", job);
  }
  for (guint round = 0; round < 20 && sim_store_count_keys(fixture->store, "w/task/") < JOBS;
       round++) {
    for (guint m = 0; m < HUGE; m++)
      report(fixture, m, 1, 10 + round);
    fixture_run(fixture, 1.0);
  }
  g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/task/"), ==, JOBS);
  fixture->workers_answer = FALSE;
  fixture->peers_acknowledge = TRUE;
  guint direct = fixture->direct_commands;
  for (guint i = 0; i < JOBS; i++) {
    g_autofree char *path = g_strdup_printf("/api/jobs/req-%u/withdraw", i);
    fixture_post(fixture, path, json_object());
  }
  fixture_run(fixture, 1.0);
  g_assert_cmpuint(fixture->cancellations_sent, >, 0);
  g_assert_cmpuint(fixture->cancellations_sent, <=, 24);
  fixture_run(fixture, 4.0);
  g_assert_cmpuint(fixture->direct_commands - direct, >=, 24);
  g_assert_cmpuint(fixture->direct_commands - direct, <=, (guint64)5 * 24);
  fixture_free(fixture);
}

static const WsTest TESTS[] = {
  { "/size/report", test_report },
  { "/size/takeover", test_takeover },
  { "/size/tick", test_tick },
  { "/size/gossip", test_gossip },
  { "/size/plan", test_plan },
  { "/size/full", test_full },
  { "/size/consolidation", test_consolidation },
  { "/size/cancelled-in-bulk", test_cancelled_in_bulk },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

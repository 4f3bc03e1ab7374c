/* Gangs: all tasks run together or none does, whatever happens to machines and controllers. */
#include "scheduling/ws-scheduling.h"
#include "storage/ws-gang-phase.h"
#include "sim/fixture.h"
#include "sim/fault-injection.h"
#include "ws-suite.h"

#include <string.h>

/* More than one machine has room for. */
#define GANG_TASKS 6

static const SimJob GANG = { .tasks = GANG_TASKS,
                             .gang = TRUE,
                             .team = "blue",
                             .priority = "standard",
                             .spot = TRUE,
                             .one_zone = TRUE,
                             .run_s = 25.0 };
static const SimJob WIDE_GANG
    = { .tasks = 6, .gang = TRUE, .team = "red", .priority = "standard", .run_s = 20.0 };

/* The phase, for records and states in any order. */

typedef struct {
  guint assigned;
  guint older; /* tasks of the attempt before */
  guint stopping;
  guint states[WS_TASK_EXITED + 1];
} Expected;

static WsJob *
generate_gang(GRand *rand, Expected *expected)
{
  WsJob *job = g_new0(WsJob, 1);
  WsChunk *chunk = ws_chunk_copy(NULL);
  job->spec = g_new0(WsJobSpec, 1);
  job->spec->kind = WS_KIND_GANG;
  job->tasks = GANG_TASKS;
  job->chunks = g_ptr_array_new();
  g_ptr_array_add(job->chunks, chunk);
  chunk->last_attempt = 7;
  for (guint task = 0; task < GANG_TASKS; task++) {
    if (g_rand_int_range(rand, 0, 8) == 0)
      continue;
    WsAssignment assignment = { .task = task, .attempt = 7 };
    assignment.state = (WsTaskState)g_rand_int_range(rand, WS_TASK_ASSIGNED, WS_TASK_EXITED);
    assignment.attempt -= g_rand_int_range(rand, 0, 8) == 0 ? 1 : 0;
    assignment.is_stop_requested = g_rand_int_range(rand, 0, 8) == 0;
    expected->assigned++;
    expected->older += assignment.attempt < 7 ? 1 : 0;
    expected->stopping += assignment.is_stop_requested ? 1 : 0;
    expected->states[assignment.state]++;
    ws_chunk_add(chunk, &assignment);
  }
  job->assigned_count = expected->assigned;
  return job;
}

static void
free_gang(WsJob *job)
{
  ws_chunk_free(g_ptr_array_index(job->chunks, 0));
  g_ptr_array_unref(job->chunks);
  g_free(job->spec);
  g_free(job);
}

static WsGangPhase
expected_phase(const Expected *expected)
{
  if (expected->assigned == 0)
    return WS_GANG_WAITING;
  if (expected->older > 0)
    return WS_GANG_ENDING;
  if (expected->stopping + expected->states[WS_TASK_SAVING] > 0)
    return WS_GANG_STOPPING;
  if (expected->states[WS_TASK_RUNNING] > 0)
    return WS_GANG_RUNNING;
  return expected->states[WS_TASK_GATHERING] == GANG_TASKS ? WS_GANG_GATHERING : WS_GANG_LAUNCHED;
}

static void
test_phase_follows_from_task_states(void)
{
  for (guint32 seed = 1; seed <= 300; seed++) {
    g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
    Expected expected = { 0 };
    WsJob *job = generate_gang(rand, &expected);
    g_test_message("seed %u", seed);
    g_assert_cmpint(ws_gang_phase(job), ==, expected_phase(&expected));
    g_assert_true(ws_gang_is_ending(job) == (expected.older > 0));
    free_gang(job);
  }
}

/* Whole worlds. */

static Sim *
gang_world(guint32 seed, const SimJob *gang)
{
  Sim *sim = sim_new(seed);
  g_test_message("seed %u", seed);
  sim_properties(sim)->idle_timeout_s = 30.0;
  sim_run(sim, 3.0);
  sim_submit(sim, gang);
  return sim;
}

static void
run_until_started(Sim *sim)
{
  for (guint i = 0; i < 600 && sim_gang_starts(sim, 0) == 0; i++)
    sim_run(sim, 0.1);
  g_assert_cmpuint(sim_gang_starts(sim, 0), ==, 1);
}

static void
test_tasks_start_together(void)
{
  for (guint32 seed = 800; seed < 804; seed++) {
    Sim *sim = gang_world(seed, seed % 2 == 0 ? &GANG : &WIDE_GANG);
    run_until_started(sim);
    sim_expect_recovery(sim);
    g_assert_cmpuint(sim_gang_starts(sim, 0), ==, 1);
    g_assert_cmpuint(sim_gang_losses(sim, 0), ==, 0);
    sim_free(sim);
  }
}

/* The loss of one task is that of the attempt; the next one starts when nothing of it is left,
   which the world checks. */
static void
test_machine_loss_restarts_whole_gang(void)
{
  static const SimMachineFault FAULTS[]
      = { sim_stall_machine, sim_block_outbound, sim_block_inbound };
  static const double SECONDS[] = { 20.0, 60.0, 60.0 };
  for (guint32 seed = 810; seed < 822; seed++) {
    guint kind = (seed - 810) / 4;
    Sim *sim = gang_world(seed, seed % 2 == 0 ? &GANG : &WIDE_GANG);
    run_until_started(sim);
    sim_run(sim, 3.0);
    FAULTS[kind](sim, sim_machine_running(sim, 0), SECONDS[kind]);
    sim_run(sim, 60.0);
    sim_expect_recovery(sim);
    sim_free(sim);
  }
}

/* A machine that hangs for less than its lease takes the attempt with it, and holds its own task
   until it goes on. */
static void
test_short_stall_restarts_once(void)
{
  for (guint32 seed = 825; seed < 829; seed++) {
    Sim *sim = gang_world(seed, &GANG);
    run_until_started(sim);
    sim_run(sim, 2.0);
    sim_stall_machine(sim, sim_machine_running(sim, 0), 7.0);
    sim_run(sim, 30.0);
    sim_expect_recovery(sim);
    g_assert_cmpuint(sim_gang_losses(sim, 0), ==, 1);
    g_assert_cmpuint(sim_gang_starts(sim, 0), ==, 2);
    sim_free(sim);
  }
}

/* A notice of one machine stops the whole gang at once, with the time that it needs to save. */
static void
test_interruption_notice_saves_progress(void)
{
  for (guint32 seed = 830; seed < 836; seed++) {
    Sim *sim = gang_world(seed, &GANG);
    run_until_started(sim);
    sim_run(sim, 6.0);
    sim_interrupt_machine(sim, sim_machine_running(sim, 0), 20.0);
    sim_run(sim, 25.0);
    sim_expect_recovery(sim);
    g_assert_cmpuint(sim_gang_saves(sim, 0), ==, 1);
    g_assert_cmpuint(sim_gang_losses(sim, 0), ==, 0);
    sim_free(sim);
  }
}

/* Controllers end at any step of a start, a loss or a stop. */
static void
test_leader_crashes_at_any_step(void)
{
  for (guint32 seed = 850; seed < 850 + sim_seed_count(10); seed++) {
    Sim *sim = gang_world(seed, seed % 3 == 0 ? &WIDE_GANG : &GANG);
    for (guint i = 0; i < 5; i++) {
      sim_run(sim, g_rand_double_range(sim_rand(sim), 0.5, 6.0));
      if (sim_machine_running(sim, 0) != G_MAXUINT)
        sim_interrupt_machine(sim, sim_machine_running(sim, 0), 20.0);
      sim_run(sim, g_rand_double_range(sim_rand(sim), 0.0, 1.0));
      sim_crash_node(sim, sim_leader_or_first(sim), g_rand_double_range(sim_rand(sim), 0.1, 6.0));
    }
    sim_expect_recovery(sim);
    sim_free(sim);
  }
}

/* A cancellation in any phase, also in the middle of a stop; the world checks cancel_s. */
static void
test_cancelled_in_any_phase(void)
{
  for (guint32 seed = 870; seed < 870 + sim_seed_count(12); seed++) {
    Sim *sim = gang_world(seed, &GANG);
    sim_run(sim, g_rand_double_range(sim_rand(sim), 0.0, 30.0));
    if (seed % 2 == 0 && sim_machine_running(sim, 0) != G_MAXUINT)
      sim_interrupt_machine(sim, sim_machine_running(sim, 0), 20.0);
    sim_run(sim, 0.5);
    sim_cancel(sim, 0);
    sim_run(sim, 35.0);
    sim_expect_recovery(sim);
    g_assert_cmpuint(sim_late_starts(sim), ==, 0);
    sim_free(sim);
  }
}

/* A cut between zones goes through a gang whose tasks may be in any. */
static void
test_partition_through_gang(void)
{
  for (guint32 seed = 890; seed < 894; seed++) {
    Sim *sim = gang_world(seed, &WIDE_GANG);
    run_until_started(sim);
    sim_run(sim, 2.0);
    sim_faults(sim)->partitioned_zones = 1u << (seed % SIM_NODES);
    sim_run(sim, seed % 2 == 0 ? 8.0 : 40.0);
    sim_expect_recovery(sim);
    sim_free(sim);
  }
}

/* Small tasks come all the time and take each place that becomes free; the gang, which needs
   several at once, begins within four minutes all the same. */
static void
test_starts_among_small_jobs(void)
{
  static const SimJob SMALL
      = { .tasks = 2, .team = "blue", .priority = "standard", .spot = TRUE, .run_s = 7.0 };
  SimJob anywhere = GANG;
  anywhere.one_zone = FALSE;
  Sim *sim = sim_new(940);
  sim_faults(sim)->max_machines = 2;
  sim_run(sim, 3.0);
  for (guint i = 0; i < 8; i++)
    sim_submit(sim, &SMALL);
  sim_run(sim, 40.0);
  guint gang = sim_count_jobs(sim);
  sim_submit(sim, &anywhere);
  for (guint step = 0; step < 160 && !sim_has_started(sim, gang); step++) {
    sim_submit(sim, &SMALL);
    sim_run(sim, 1.5);
  }
  g_assert_true(sim_has_started(sim, gang));
  sim_free(sim);
}

/* Gangs among arrays and services, while troubles meet. */
static void
play_drawn_faults(guint32 seed)
{
  g_test_message("seed %u", seed);
  Sim *sim = sim_new_with_load(seed);
  for (guint i = 0; i < 3; i++)
    sim_submit(sim, i == 1 ? &WIDE_GANG : &GANG);
  sim_run(sim, g_rand_double_range(sim_rand(sim), 0.0, 25.0));
  sim_submit(sim, &GANG);
  sim_inject_random_faults(sim);
  sim_expect_recovery(sim);
  sim_free(sim);
}

static void
test_drawn(void)
{
  sim_play_seeds(2000, 25, play_drawn_faults);
}

/* The world objects when two attempts hold places at once. */
static void
test_checker_detects_two_attempts(void)
{
  if (g_test_subprocess()) {
    Sim *sim = gang_world(899, &GANG);
    run_until_started(sim);
    sim_force_start(sim, sim_machine_running(sim, 0), 0, 1);
    sim_run(sim, 2.0);
    sim_free(sim);
    return;
  }
  g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
  g_test_trap_assert_failed();
  g_test_trap_assert_stderr("*two attempts of gang*");
}

/* One controller and a scripted worker. */

static json_t *
gang_submission(guint tasks)
{
  json_t *submission = fixture_submission();
  json_object_set_new(submission, "druh", json_string("group"));
  json_object_set_new(submission, "kusy", json_integer(tasks));
  json_object_set_new(submission, "zaloha_s", json_real(20.0));
  json_object_set_new(submission, "ulozeni_s", json_real(3.0));
  return submission;
}

static Fixture *
fixture_with_machine(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture_send_heartbeat(fixture, 0, json_array());
  fixture_send_heartbeat(fixture, 1, json_array());
  return fixture;
}

static void
test_invalid_gangs_are_rejected(void)
{
  static const struct {
    const char *field;
    gboolean value;
    guint tasks;
    guint status;
  } CASES[] = { { "one_zone", TRUE, 2, 201 },  { "one_zone", TRUE, 7, 422 },
                { "scatter", TRUE, 2, 201 },   { "druh", FALSE, 2, 400 },
                { "one_zone", FALSE, 6, 201 }, { "one_zone", FALSE, 200, 422 } };
  for (guint i = 0; i < G_N_ELEMENTS(CASES); i++) {
    Fixture *fixture = fixture_with_machine();
    json_t *submission = gang_submission(CASES[i].tasks);
    json_object_set_new(submission, CASES[i].field, json_boolean(CASES[i].value));
    fixture_call(fixture, "POST", "/api/jobs", submission);
    g_assert_cmpuint(fixture->status, ==, CASES[i].status);
    fixture_free(fixture);
  }
  Fixture *fixture = fixture_with_machine();
  json_t *torn = gang_submission(2);
  json_object_set_new(torn, "one_zone", json_true());
  json_object_set_new(torn, "scatter", json_true());
  fixture_call(fixture, "POST", "/api/jobs", torn);
  g_assert_cmpuint(fixture->status, ==, 422);
  fixture_free(fixture);
}

static json_t *
two_tasks(const char *first, const char *why, const char *second)
{
  return json_pack("[{s:s, s:i, s:s, s:s?}, {s:s, s:i, s:s}]", "kus", "req-1/0", "pokus", 1, "stav",
                   first, "duvod", why, "kus", "req-1/1", "pokus", 1, "stav", second);
}

/* The grace of the halt in the last answer for the task, NULL for any; negative: it has none. */
static double
halt_grace(const Fixture *fixture, const char *task)
{
  size_t i;
  const json_t *command;
  json_array_foreach(json_object_get(fixture->answer, "prikazy"), i, command)
  {
    if (strcmp(json_string_value(json_object_get(command, "ukon")), "halt") == 0
        && (task == NULL || strcmp(json_string_value(json_object_get(command, "kus")), task) == 0))
      return json_number_value(json_object_get(command, "lhuta_s"));
  }
  return -1.0;
}

static Fixture *
fixture_with_gang(void)
{
  Fixture *fixture = fixture_with_machine();
  fixture_call(fixture, "POST", "/api/jobs", gang_submission(2));
  g_assert_cmpuint(fixture->status, ==, 201);
  fixture_run(fixture, 1.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  return fixture;
}

/* What the others of a lost task have is lost too: they are halted without time to save. */
static void
test_loss_halts_all_without_grace(void)
{
  Fixture *fixture = fixture_with_gang();
  fixture_send_heartbeat(fixture, 1, two_tasks("running", NULL, "running"));
  g_assert_cmpfloat(halt_grace(fixture, "req-1/1"), <, 0.0);
  fixture_send_heartbeat(fixture, 1, two_tasks("exited", "error", "running"));
  fixture_run(fixture, 0.5);
  fixture_send_heartbeat(fixture, 1, two_tasks("exited", "error", "running"));
  g_assert_cmpfloat(halt_grace(fixture, "req-1/1"), ==, 0.0);
  fixture_free(fixture);
}

/* One task that is done is the end of all, in one record; a cancellation comes too late then. */
static void
test_one_completion_completes_all(void)
{
  Fixture *fixture = fixture_with_gang();
  fixture_send_heartbeat(fixture, 1, two_tasks("exited", "done", "running"));
  fixture_run(fixture, 0.5);
  fixture_call(fixture, "POST", "/api/jobs/req-1/withdraw", NULL);
  g_assert_cmpstr(json_string_value(json_object_get(fixture->answer, "stav")), ==, "done");
  const json_t *use = sim_store_get(fixture->store, "w/team-use/0");
  g_assert_cmpint(json_integer_value(json_object_get(json_object_get(use, "red"), "g")), ==, 0);
  fixture_free(fixture);
}

/* A gang that isn't complete in time, or lost a task elsewhere, says nothing against the machine.
 */
static void
test_peer_exit_reasons_mark_no_machine(void)
{
  static const char *const WHY[] = { "peers", "incomplete" };
  for (guint k = 0; k < 2 * G_N_ELEMENTS(WHY); k++) {
    Fixture *fixture = fixture_with_gang();
    fixture_send_heartbeat(fixture, 1, two_tasks("exited", WHY[k % 2], "running"));
    fixture_run(fixture, 0.5);
    fixture_send_heartbeat(fixture, 1, json_array());
    fixture_run(fixture, 3.0);
    g_assert_false(sim_store_has(fixture->store, "w/mark/m-1"));
    g_assert_true(fixture_task_is_assigned(fixture));
    fixture_free(fixture);
  }
}

/* A gang that must be in one zone goes where there is room for all of it, also when the machine
   that suits its first task best is elsewhere. */
static void
test_placed_in_zone_with_capacity(void)
{
  static const char *const MACHINES[] = { "m-2", "m-3" };
  Fixture *fixture = fixture_with_machine();
  fixture->zone = "b";
  for (guint i = 0; i < 2 * G_N_ELEMENTS(MACHINES); i++)
    fixture_call(
        fixture, "POST", "/v1/report",
        fixture_heartbeat(fixture, MACHINES[i / 2], i % 2, ++fixture->sequence, json_array()));
  json_t *submission = gang_submission(GANG_TASKS);
  json_object_set_new(submission, "one_zone", json_true());
  fixture_call(fixture, "POST", "/api/jobs", submission);
  fixture_run(fixture, 1.0);
  g_assert_true(fixture_task_is_assigned(fixture));
  g_autofree char *record = ws_json_text(sim_store_get(fixture->store, "w/task/req-1/0"));
  g_assert_null(strstr(record, "m-1"));
  fixture_free(fixture);
}

/* A report of a machine on which the tasks that it has on record run. */
static void
report_running(Fixture *fixture, const char *machine, gboolean is_noticed)
{
  json_t *tasks = json_array();
  size_t i;
  const json_t *item;
  json_array_foreach(json_object_get(sim_store_get(fixture->store, "w/task/req-1/0"), "on"), i,
                     item)
  {
    g_autofree char *name = g_strdup_printf("req-1/%" JSON_INTEGER_FORMAT,
                                            json_integer_value(json_array_get(item, 0)));
    if (strcmp(json_string_value(json_array_get(item, 1)), machine) == 0)
      json_array_append_new(
          tasks, json_pack("{s:s, s:i, s:s}", "kus", name, "pokus", 1, "stav", "running"));
  }
  g_assert_cmpuint(json_array_size(tasks), >, 0);
  json_t *report = fixture_heartbeat(fixture, machine, 1, ++fixture->sequence, tasks);
  if (is_noticed)
    json_object_set_new(report, "vypoved_s", json_real(20.0));
  fixture_call(fixture, "POST", "/v1/report", report);
}

static guint
count_machines_of(const Fixture *fixture, const char *job)
{
  g_autofree char *key = g_strdup_printf("w/task/%s/0", job);
  g_autoptr(GHashTable) machines = g_hash_table_new(g_str_hash, g_str_equal);
  size_t i;
  const json_t *item;
  json_array_foreach(json_object_get(sim_store_get(fixture->store, key), "on"), i, item)
  {
    g_hash_table_add(machines, (gpointer)json_string_value(json_array_get(item, 1)));
  }
  return g_hash_table_size(machines);
}

/* A gang whose image no machine has is spread, so that it's there for the next one, which is packed
   where the image is. */
static void
test_spread_while_image_is_missing(void)
{
  Fixture *fixture = fixture_with_machine();
  fixture_lift_quotas(fixture);
  for (guint i = 0; i < 2; i++)
    fixture_call(fixture, "POST", "/v1/report",
                 fixture_heartbeat(fixture, "m-2", i, ++fixture->sequence, json_array()));
  fixture_call(fixture, "POST", "/api/jobs", gang_submission(2));
  fixture_run(fixture, 1.0);
  g_assert_cmpuint(count_machines_of(fixture, "req-1"), ==, 2);
  report_running(fixture, "m-1", FALSE);
  report_running(fixture, "m-2", FALSE);
  json_t *next = gang_submission(2);
  json_object_set_new(next, "id", json_string("req-2"));
  fixture_call(fixture, "POST", "/api/jobs", next);
  fixture_run(fixture, 1.0);
  g_assert_cmpuint(count_machines_of(fixture, "req-2"), ==, 1);
  fixture_free(fixture);
}

/* A gang on two machines, of which the first is to be taken back. While the second one can't be
   reached no stop is begun, since the others would lose what they have for nothing; then all are
   halted, with the time that they need to save and to wait for each other. */
static void
test_no_stop_while_machine_is_unreachable(void)
{
  Fixture *fixture = fixture_with_machine();
  fixture->spot = TRUE;
  fixture_call(fixture, "POST", "/v1/report",
               fixture_heartbeat(fixture, "m-2", 0, ++fixture->sequence, json_array()));
  fixture_call(fixture, "POST", "/v1/report",
               fixture_heartbeat(fixture, "m-2", 1, ++fixture->sequence, json_array()));
  json_t *submission = gang_submission(GANG_TASKS);
  json_object_set_new(submission, "vypujcky", json_true());
  fixture_call(fixture, "POST", "/api/jobs", submission);
  fixture_run(fixture, 1.0);
  report_running(fixture, "m-1", FALSE);
  report_running(fixture, "m-2", FALSE);
  for (guint i = 0; i < 3; i++) {
    fixture_run(fixture, 1.5);
    report_running(fixture, "m-1", i > 0);
    g_assert_cmpfloat(halt_grace(fixture, NULL), <, 0.0);
  }
  g_assert_true(sim_store_has(fixture->store, "w/mark/m-1"));
  report_running(fixture, "m-2", FALSE);
  fixture_run(fixture, 0.5);
  report_running(fixture, "m-2", FALSE);
  g_assert_cmpfloat(halt_grace(fixture, NULL), >=, 3.0 + fixture->settings->gang_peer_s);
  report_running(fixture, "m-1", TRUE);
  g_assert_cmpfloat(halt_grace(fixture, NULL), >=, 3.0 + fixture->settings->gang_peer_s);
  fixture_free(fixture);
}

static const WsTest TESTS[] = {
  { "/gangs/phase-follows-from-task-states", test_phase_follows_from_task_states },
  { "/gangs/invalid-gangs-are-rejected", test_invalid_gangs_are_rejected },
  { "/gangs/loss-halts-all-without-grace", test_loss_halts_all_without_grace },
  { "/gangs/one-completion-completes-all", test_one_completion_completes_all },
  { "/gangs/peer-exit-reasons-mark-no-machine", test_peer_exit_reasons_mark_no_machine },
  { "/gangs/placed-in-zone-with-capacity", test_placed_in_zone_with_capacity },
  { "/gangs/spread-while-image-is-missing", test_spread_while_image_is_missing },
  { "/gangs/checker-detects-two-attempts", test_checker_detects_two_attempts },
  { "/gangs/tasks-start-together", test_tasks_start_together },
  { "/gangs/machine-loss-restarts-whole-gang", test_machine_loss_restarts_whole_gang },
  { "/gangs/short-stall-restarts-once", test_short_stall_restarts_once },
  { "/gangs/interruption-notice-saves-progress", test_interruption_notice_saves_progress },
  { "/gangs/no-stop-while-machine-is-unreachable", test_no_stop_while_machine_is_unreachable },
  { "/gangs/leader-crashes-at-any-step", test_leader_crashes_at_any_step },
  { "/gangs/cancelled-in-any-phase", test_cancelled_in_any_phase },
  { "/gangs/partition-through-gang", test_partition_through_gang },
  { "/gangs/starts-among-small-jobs", test_starts_among_small_jobs },
  { "/gangs/drawn", test_drawn },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

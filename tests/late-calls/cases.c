/**
 * Launches that are held up past the time for cancelling, rentals and returns that are carried out
 * late, and machines that are back within a second. The simulation's checker fails if a task of a
 * cancelled job starts too late, if a task runs twice, or if no record assigns a running task.
 */
#include "late-calls/late-calls.h"

#include "sim/fault-injection.h"

#define SEED 9000
#define BOOT_S 16.0
#define MAX_JOB_S 60
#define SETTLE_S 3.0
/* cancel_s of the settings is 30 s. */
#define AFTER_CANCELLATION_S 31.0
#define MINUTES_LATE_S 150.0
#define START_S 3.0
/* Late rentals are carried out, boot, and are returned as empty. */
#define LATE_CALLS_END_S 200.0
/* Longer than the controllers wait for an answer of the cloud. */
#define GIVEN_UP_S 15.0
/* After the first rental is sent, and before it is sent again. */
#define FIRST_REQUEST_S 2.0
#define UNEXPECTED_RENTAL_S 40.0

static const SimJob SERVICE
    = { .tasks = 1, .service = TRUE, .team = "red", .priority = "critical" };
static const SimJob SHORT_JOB
    = { .tasks = 8, .team = "blue", .priority = "standard", .run_s = 1.0 };

/* A cluster with empty machines, which aren't returned. */
static Sim *
new_cluster(void)
{
  Sim *sim = sim_new(SEED);
  sim_properties(sim)->idle_timeout_s = 600.0;
  sim_cache_images(sim);
  sim_expect_recorded_tasks(sim);
  sim_run(sim, 3.0);
  sim_submit(sim, &SHORT_JOB);
  sim_run_until_jobs_end(sim, MAX_JOB_S);
  g_assert_cmpuint(sim_count_open_jobs(sim), ==, 0);
  sim_run(sim, SETTLE_S);
  return sim;
}

/* Submits a service whose launch the network holds, and cancels it. Returns the job's number. */
static guint
cancel_service_with_held_launch(Sim *sim)
{
  guint job = sim_count_jobs(sim);
  sim_hold_launches(sim);
  sim_submit(sim, &SERVICE);
  for (guint i = 0; i < 200 && sim_count_held_launches(sim) == 0; i++)
    sim_run(sim, 0.05);
  g_assert_cmpuint(sim_count_held_launches(sim), ==, 1);
  sim_cancel(sim, job);
  for (guint i = 0; i < 200 && !sim_is_reported_cancelled(sim, job); i++)
    sim_run(sim, 0.05);
  g_assert_true(sim_is_reported_cancelled(sim, job));
  return job;
}

/* Delivers the held launches. Fails if one starts its task. */
static void
expect_no_start(Sim *sim, guint job)
{
  sim_deliver_held_launches(sim);
  sim_run(sim, START_S);
  g_assert_cmpuint(sim_count_running(sim, job), ==, 0);
  g_assert_cmpuint(sim_count_late_starts(sim), ==, 0);
  sim_free(sim);
}

void
test_held_launch_after_cancellation(void)
{
  static const double DELAYS_S[] = { AFTER_CANCELLATION_S, MINUTES_LATE_S };
  for (gsize i = 0; i < G_N_ELEMENTS(DELAYS_S); i++) {
    Sim *sim = new_cluster();
    guint job = cancel_service_with_held_launch(sim);
    sim_run(sim, DELAYS_S[i]);
    expect_no_start(sim, job);
  }
}

/* All machines hang within their lease while the launch arrives, and go on. */
void
test_held_launch_to_stalled_machine(void)
{
  Sim *sim = new_cluster();
  guint job = cancel_service_with_held_launch(sim);
  sim_run(sim, AFTER_CANCELLATION_S);
  sim_stall_all_machines(sim, 6.0);
  sim_run(sim, 1.0);
  sim_deliver_held_launches(sim);
  sim_run(sim, 6.0 + START_S);
  g_assert_cmpuint(sim_count_running(sim, job), ==, 0);
  g_assert_cmpuint(sim_count_late_starts(sim), ==, 0);
  sim_free(sim);
}

/* Two controllers end, so that the third owns all machines. */
void
test_held_launch_after_owner_change(void)
{
  for (guint survivor = 0; survivor < SIM_NODES; survivor++) {
    Sim *sim = new_cluster();
    guint job = cancel_service_with_held_launch(sim);
    for (guint n = 0; n < SIM_NODES; n++)
      if (n != survivor)
        sim_crash_node(sim, n, 300.0);
    sim_run(sim, AFTER_CANCELLATION_S);
    expect_no_start(sim, job);
  }
}

/* The machines begin anew, with the first incarnation and without a token, and report. */
void
test_held_launch_to_reset_machine(void)
{
  Sim *sim = new_cluster();
  guint job = cancel_service_with_held_launch(sim);
  sim_run(sim, AFTER_CANCELLATION_S);
  sim_reset_all_machines(sim);
  sim_run(sim, SETTLE_S);
  expect_no_start(sim, job);
}

/* The same, but the launch arrives before the first report, while the worker has no token. */
void
test_held_launch_before_first_report(void)
{
  Sim *sim = new_cluster();
  guint job = cancel_service_with_held_launch(sim);
  sim_run(sim, AFTER_CANCELLATION_S);
  sim_reset_all_machines(sim);
  expect_no_start(sim, job);
}

/* Rentals and returns. */

/* All controllers end and are back after a second. */
static void
restart_all(Sim *sim)
{
  for (guint n = 0; n < SIM_NODES; n++)
    sim_crash_node(sim, n, 1.0);
}

static void
restart_leader(Sim *sim)
{
  sim_crash_node(sim, sim_leader_or_first(sim), 20.0);
}

static void
keep_all(Sim *sim)
{
  (void)sim;
}

/* Fails unless all jobs end and every machine that the cloud charges for is returned. */
static void
expect_no_leak(Sim *sim)
{
  sim_delay_cloud_calls(sim, 0.0);
  sim_run(sim, LATE_CALLS_END_S);
  sim_expect_recovery_and_free(sim);
}

/* The rentals for a job get no answer; @change happens after the controllers have given them up,
   and then they are carried out. */
static void
check_late_rental(void (*change)(Sim *sim))
{
  static const double DELAYS_S[] = { 20.0, 60.0, MINUTES_LATE_S };
  for (gsize i = 0; i < G_N_ELEMENTS(DELAYS_S); i++) {
    Sim *sim = sim_new(SEED);
    sim_expect_recorded_tasks(sim);
    sim_run(sim, 3.0);
    sim_delay_cloud_calls(sim, DELAYS_S[i]);
    sim_submit(sim, &SHORT_JOB);
    sim_run(sim, GIVEN_UP_S);
    change(sim);
    sim_run(sim, DELAYS_S[i]);
    expect_no_leak(sim);
  }
}

void
test_late_rental_after_timeout(void)
{
  check_late_rental(keep_all);
}

void
test_late_rental_after_leader_change(void)
{
  check_late_rental(restart_leader);
}

void
test_late_rental_after_all_controllers_ended(void)
{
  check_late_rental(restart_all);
}

/* A rental gets no answer, and the same request is then refused for lack of capacity, which ends
   the intent. The first request is carried out after that: nobody expects its machines. */
void
test_late_rental_after_refusal(void)
{
  Sim *sim = sim_new(SEED);
  sim_expect_recorded_tasks(sim);
  sim_run(sim, 3.0);
  sim_delay_cloud_calls(sim, UNEXPECTED_RENTAL_S);
  sim_submit(sim, &SHORT_JOB);
  sim_run(sim, FIRST_REQUEST_S);
  sim_delay_cloud_calls(sim, 0.0);
  sim_faults(sim)->cloud_is_full = TRUE;
  sim_run(sim, UNEXPECTED_RENTAL_S - 2.0 * FIRST_REQUEST_S);
  g_assert_cmpuint(sim_count_machines(sim), ==, 0);
  sim_faults(sim)->cloud_is_full = FALSE;
  sim_run(sim, 2.0 * FIRST_REQUEST_S + 1.0);
  g_assert_cmpuint(sim_count_machines(sim), >, 0);
  expect_no_leak(sim);
}

/* The returns of empty machines get no answer and are carried out late, while other jobs come that
   the machines would fit. */
static void
check_late_return(void (*change)(Sim *sim))
{
  static const double DELAYS_S[] = { 5.0, 20.0, 60.0, MINUTES_LATE_S };
  for (gsize i = 0; i < G_N_ELEMENTS(DELAYS_S); i++) {
    Sim *sim = sim_new(SEED);
    sim_expect_recorded_tasks(sim);
    sim_run(sim, 3.0);
    sim_submit(sim, &SHORT_JOB);
    sim_run(sim, BOOT_S);
    sim_delay_cloud_calls(sim, DELAYS_S[i]);
    sim_run(sim, GIVEN_UP_S);
    change(sim);
    sim_submit(sim, &SHORT_JOB);
    sim_run(sim, DELAYS_S[i]);
    sim_submit(sim, &SHORT_JOB);
    expect_no_leak(sim);
  }
}

void
test_late_return_after_timeout(void)
{
  check_late_return(keep_all);
}

void
test_late_return_after_leader_change(void)
{
  check_late_return(restart_leader);
}

void
test_late_return_after_all_controllers_ended(void)
{
  check_late_return(restart_all);
}

/* A machine is back within a second, without a token, and a held launch starts a task that no
   record assigns. It is removed within the time for cancelling. */
void
test_unknown_task_of_machine_that_is_back_is_removed(void)
{
  Sim *sim = new_cluster();
  guint job = cancel_service_with_held_launch(sim);
  sim_run(sim, SETTLE_S);
  sim_reset_all_machines(sim);
  sim_deliver_held_launches(sim);
  sim_run(sim, 0.2);
  g_assert_cmpuint(sim_count_running(sim, job), ==, 1);
  sim_run(sim, AFTER_CANCELLATION_S);
  g_assert_cmpuint(sim_count_running(sim, job), ==, 0);
  sim_free(sim);
}

/* Machines with running tasks are back within a second under the same name, without their tasks. */
void
test_machine_back_within_a_second(void)
{
  static const SimJob LONG_JOB
      = { .tasks = 6, .team = "blue", .priority = "standard", .run_s = 20.0 };
  Sim *sim = new_cluster();
  sim_submit(sim, &LONG_JOB);
  for (guint i = 0; i < 300 && sim_count_running(sim, 1) == 0; i++)
    sim_run(sim, 0.1);
  g_assert_cmpuint(sim_count_running(sim, 1), >, 0);
  sim_reset_all_machines(sim);
  sim_run(sim, 1.0);
  sim_submit(sim, &LONG_JOB);
  sim_run(sim, 60.0);
  sim_expect_recovery_and_free(sim);
}

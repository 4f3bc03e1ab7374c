/**
 * Three controllers with their users, workers and network. The copies of all direct calls so far
 * arrive at a chosen moment; the simulation's checker fails on a task that starts twice.
 */
#include "late-copies/late-copies.h"

#include "sim/fault-injection.h"
#include "sim/worker.h"

#define SEED 7000
#define BOOT_S 16.0
#define FILLER_S 12.0
#define SETTLE_S 3.0 /* exits are reaped, and controllers that began lead */
#define COPY_S 0.4   /* a copy would have started its task */

/* A job whose only task runs until it is stopped or fails. */
static const SimJob SERVICE
    = { .tasks = 1, .service = TRUE, .team = "red", .priority = "critical" };

/* A cluster with machines, in which no machine is returned for being empty. */
static Sim *
new_cluster(gboolean has_single_tokens)
{
  static const SimJob FIRST_JOB
      = { .tasks = 8, .team = "blue", .priority = "standard", .run_s = 1.0 };
  Sim *sim = sim_new(SEED);
  sim_properties(sim)->idle_timeout_s = 600.0;
  if (has_single_tokens)
    sim_use_single_tokens(sim);
  sim_run(sim, 3.0);
  sim_submit(sim, &FIRST_JOB);
  sim_run(sim, BOOT_S);
  sim_keep_copies(sim);
  return sim;
}

static void
wait_until_running(Sim *sim, guint job)
{
  for (guint i = 0; i < 30 && sim_count_running(sim, job) == 0; i++)
    sim_run(sim, 1.0);
  g_assert_cmpuint(sim_count_running(sim, job), ==, 1);
}

/* Submits the service, whose first attempt fails on the first machine. Other work then takes all
   slots of that machine, so that the second attempt runs on the other one. Returns the job's
   number. */
static guint
run_moved_service(Sim *sim)
{
  static const SimJob FILLER = {
    .tasks = SIM_MACHINE_SLOTS, .team = "blue", .priority = "urgent", .zone = "a", .run_s = FILLER_S
  };
  guint job = sim_count_jobs(sim);
  sim_faults(sim)->failing_tasks = 1.0;
  sim_submit(sim, &SERVICE);
  for (guint i = 0; i < 100 && !sim_job_has_started(sim, job); i++)
    sim_run(sim, 0.05);
  g_assert_cmpuint(sim_find_machine_running_job(sim, job), ==, 0);
  sim_faults(sim)->failing_tasks = 0.0;
  sim_submit(sim, &FILLER);
  sim_run(sim, SETTLE_S);
  wait_until_running(sim, job);
  sim_run(sim, FILLER_S + SETTLE_S);
  g_assert_cmpuint(sim_find_machine_running_job(sim, job), ==, 1);
  return job;
}

static void
expect_running(Sim *sim, guint job, guint tasks)
{
  sim_deliver_copies(sim);
  sim_run(sim, COPY_S);
  g_assert_cmpuint(sim_count_running(sim, job), ==, tasks);
}

static void
check_moved_task(gboolean has_single_tokens)
{
  Sim *sim = new_cluster(has_single_tokens);
  guint job = run_moved_service(sim);
  expect_running(sim, job, 1);
  sim_free(sim);
}

void
test_moved_task_is_not_started_by_copy(void)
{
  check_moved_task(FALSE);
}

void
test_copy_under_single_token(void)
{
  check_moved_task(TRUE);
}

void
test_cancelled_task_is_not_started_by_copy(void)
{
  Sim *sim = new_cluster(FALSE);
  guint job = run_moved_service(sim);
  sim_cancel(sim, job);
  sim_run(sim, SETTLE_S);
  g_assert_true(sim_is_reported_cancelled(sim, job));
  g_assert_cmpuint(sim_count_running(sim, job), ==, 0);
  expect_running(sim, job, 0);
  g_assert_cmpuint(sim_count_late_starts(sim), ==, 0);
  sim_free(sim);
}

/* The machine hangs for longer than its lease. Its task runs elsewhere when it is back. */
void
test_copy_to_machine_that_is_back(void)
{
  Sim *sim = new_cluster(FALSE);
  guint job = run_moved_service(sim);
  guint machine = sim_find_machine_running_job(sim, job);
  sim_stall_machine(sim, machine, 60.0);
  for (guint i = 0; i < 59 && sim_find_machine_running_job(sim, job) == machine; i++)
    sim_run(sim, 1.0);
  sim_run(sim, SETTLE_S);
  sim_stall_machine(sim, machine, 0.0);
  sim_run(sim, 0.3);
  expect_running(sim, job, 1);
  sim_free(sim);
}

/* All controllers end and are back within a second; the copies are of calls by the ended ones. */
void
test_copy_after_controller_is_back(void)
{
  Sim *sim = new_cluster(FALSE);
  guint job = run_moved_service(sim);
  for (guint n = 0; n < SIM_NODES; n++)
    sim_crash_node(sim, n, 0.5);
  sim_run(sim, 0.7);
  expect_running(sim, job, 1);
  sim_run(sim, SETTLE_S);
  expect_running(sim, job, 1);
  sim_free(sim);
}

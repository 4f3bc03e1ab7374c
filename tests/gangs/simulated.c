/**
 * Tests of gangs in a simulated cluster with faults. The checker of the simulation verifies that
 * the attempts of a gang don't overlap.
 */
#include "gangs/gangs.h"
#include "sim/fault-injection.h"

static const SimJob ONE_ZONE_GANG = { .tasks = GANG_TASKS,
                                      .gang = TRUE,
                                      .team = "blue",
                                      .priority = "standard",
                                      .spot = TRUE,
                                      .one_zone = TRUE,
                                      .run_s = 25.0 };
static const SimJob ANY_ZONE_GANG
    = { .tasks = 6, .gang = TRUE, .team = "red", .priority = "standard", .run_s = 20.0 };

static Sim *
new_sim_with_gang(guint32 seed, const SimJob *gang)
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

void
test_tasks_start_together(void)
{
  for (guint32 seed = 800; seed < 804; seed++) {
    Sim *sim = new_sim_with_gang(seed, seed % 2 == 0 ? &ONE_ZONE_GANG : &ANY_ZONE_GANG);
    run_until_started(sim);
    sim_expect_recovery(sim);
    g_assert_cmpuint(sim_gang_starts(sim, 0), ==, 1);
    g_assert_cmpuint(sim_gang_losses(sim, 0), ==, 0);
    sim_free(sim);
  }
}

/* The loss of one task ends the attempt. The next attempt starts only once no task of the old one
   is left, which the checker verifies. */
void
test_machine_loss_restarts_whole_gang(void)
{
  static const SimMachineFault FAULTS[]
      = { sim_stall_machine, sim_block_outbound, sim_block_inbound };
  static const double FAULT_DURATIONS_S[] = { 20.0, 60.0, 60.0 };
  for (guint32 seed = 810; seed < 822; seed++) {
    guint kind = (seed - 810) / 4;
    Sim *sim = new_sim_with_gang(seed, seed % 2 == 0 ? &ONE_ZONE_GANG : &ANY_ZONE_GANG);
    run_until_started(sim);
    sim_run(sim, 3.0);
    FAULTS[kind](sim, sim_find_machine_running_job(sim, 0), FAULT_DURATIONS_S[kind]);
    sim_run(sim, 60.0);
    sim_expect_recovery(sim);
    sim_free(sim);
  }
}

/* A machine that stalls for less than its lease ends the attempt, and keeps its own task until it
   resumes. The gang restarts exactly once. */
void
test_short_stall_restarts_once(void)
{
  for (guint32 seed = 825; seed < 829; seed++) {
    Sim *sim = new_sim_with_gang(seed, &ONE_ZONE_GANG);
    run_until_started(sim);
    sim_run(sim, 2.0);
    sim_stall_machine(sim, sim_find_machine_running_job(sim, 0), 7.0);
    sim_run(sim, 30.0);
    sim_expect_recovery(sim);
    g_assert_cmpuint(sim_gang_losses(sim, 0), ==, 1);
    g_assert_cmpuint(sim_gang_starts(sim, 0), ==, 2);
    sim_free(sim);
  }
}

/* An interruption notice of one machine stops the whole gang at the same time, with enough time to
   save its progress. */
void
test_interruption_notice_saves_progress(void)
{
  for (guint32 seed = 830; seed < 836; seed++) {
    Sim *sim = new_sim_with_gang(seed, &ONE_ZONE_GANG);
    run_until_started(sim);
    sim_run(sim, 6.0);
    sim_interrupt_machine(sim, sim_find_machine_running_job(sim, 0), 20.0);
    sim_run(sim, 25.0);
    sim_expect_recovery(sim);
    g_assert_cmpuint(sim_gang_saves(sim, 0), ==, 1);
    g_assert_cmpuint(sim_gang_losses(sim, 0), ==, 0);
    sim_free(sim);
  }
}

/* The leader crashes at random times, in any step of a start, a loss or a stop. */
void
test_gang_recovers_from_leader_crashes(void)
{
  for (guint32 seed = 850; seed < 850 + sim_seed_count(10); seed++) {
    Sim *sim = new_sim_with_gang(seed, seed % 3 == 0 ? &ANY_ZONE_GANG : &ONE_ZONE_GANG);
    for (guint i = 0; i < 5; i++) {
      sim_run(sim, g_rand_double_range(sim_rand(sim), 0.5, 6.0));
      if (sim_find_machine_running_job(sim, 0) != G_MAXUINT)
        sim_interrupt_machine(sim, sim_find_machine_running_job(sim, 0), 20.0);
      sim_run(sim, g_rand_double_range(sim_rand(sim), 0.0, 1.0));
      sim_crash_node(sim, sim_leader_or_first(sim), g_rand_double_range(sim_rand(sim), 0.1, 6.0));
    }
    sim_expect_recovery(sim);
    sim_free(sim);
  }
}

/* A gang is cancelled in any phase, also during an orderly stop. The checker verifies that its
   tasks end within cancel_s. */
void
test_cancellation_in_any_phase_ends_gang(void)
{
  for (guint32 seed = 870; seed < 870 + sim_seed_count(12); seed++) {
    Sim *sim = new_sim_with_gang(seed, &ONE_ZONE_GANG);
    sim_run(sim, g_rand_double_range(sim_rand(sim), 0.0, 30.0));
    if (seed % 2 == 0 && sim_find_machine_running_job(sim, 0) != G_MAXUINT)
      sim_interrupt_machine(sim, sim_find_machine_running_job(sim, 0), 20.0);
    sim_run(sim, 0.5);
    sim_cancel(sim, 0);
    sim_run(sim, 35.0);
    sim_expect_recovery(sim);
    g_assert_cmpuint(sim_count_late_starts(sim), ==, 0);
    sim_free(sim);
  }
}

/* A partition between zones separates the tasks of a gang that may be spread over all zones. */
void
test_gang_recovers_from_partition(void)
{
  for (guint32 seed = 890; seed < 894; seed++) {
    Sim *sim = new_sim_with_gang(seed, &ANY_ZONE_GANG);
    run_until_started(sim);
    sim_run(sim, 2.0);
    sim_faults(sim)->partitioned_zones = 1u << (seed % SIM_NODES);
    sim_run(sim, seed % 2 == 0 ? 8.0 : 40.0);
    sim_expect_recovery(sim);
    sim_free(sim);
  }
}

/* Small jobs are submitted all the time and take each slot that becomes free. A gang, which needs
   several slots at the same time, still starts within four minutes. */
void
test_gang_starts_among_small_jobs(void)
{
  static const SimJob SMALL_JOB
      = { .tasks = 2, .team = "blue", .priority = "standard", .spot = TRUE, .run_s = 7.0 };
  SimJob gang_in_any_zone = ONE_ZONE_GANG;
  gang_in_any_zone.one_zone = FALSE;
  Sim *sim = sim_new(940);
  sim_faults(sim)->max_machines = 2;
  sim_run(sim, 3.0);
  for (guint i = 0; i < 8; i++)
    sim_submit(sim, &SMALL_JOB);
  sim_run(sim, 40.0);
  guint gang = sim_count_jobs(sim);
  sim_submit(sim, &gang_in_any_zone);
  for (guint step = 0; step < 160 && !sim_job_has_started(sim, gang); step++) {
    sim_submit(sim, &SMALL_JOB);
    sim_run(sim, 1.5);
  }
  g_assert_true(sim_job_has_started(sim, gang));
  sim_free(sim);
}

/* Gangs run together with arrays and services during combined random faults. */
static void
play_random_faults(guint32 seed)
{
  Sim *sim = sim_new_with_load(seed);
  for (guint i = 0; i < 3; i++)
    sim_submit(sim, i == 1 ? &ANY_ZONE_GANG : &ONE_ZONE_GANG);
  sim_run(sim, g_rand_double_range(sim_rand(sim), 0.0, 25.0));
  sim_submit(sim, &ONE_ZONE_GANG);
  sim_inject_random_faults(sim);
  sim_expect_recovery(sim);
  sim_free(sim);
}

void
test_recovery_from_random_faults(void)
{
  sim_play_seeds(2000, 25, play_random_faults);
}

/* The checker reports two attempts of a gang that occupy slots at the same time. */
void
test_checker_detects_two_attempts(void)
{
  if (g_test_subprocess()) {
    Sim *sim = new_sim_with_gang(899, &ONE_ZONE_GANG);
    run_until_started(sim);
    sim_force_start(sim, sim_find_machine_running_job(sim, 0), 0, 1);
    sim_run(sim, 2.0);
    sim_free(sim);
    return;
  }
  g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
  g_test_trap_assert_failed();
  g_test_trap_assert_stderr("*two attempts of gang*");
}

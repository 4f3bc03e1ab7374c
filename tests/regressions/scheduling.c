/**
 * Placement, preemption, reservations, and the order of assignments and releases in transactions.
 */
#include "regressions/regressions.h"

#define FILLED_MACHINES 12

/* Registers twelve machines and submits twelve jobs, each of which occupies one machine. */
static void
fill_machines(Fixture *fixture)
{
  for (guint64 sequence = 1; sequence <= 2 + FILLED_MACHINES; sequence++) {
    for (guint m = 0; m < FILLED_MACHINES; m++) {
      g_autofree char *machine = g_strdup_printf("m-1%u", m);
      fixture_post_heartbeat(fixture, machine, sequence == 1 ? 0 : 1, sequence, json_array());
    }
    fixture_run(fixture, 0.5);
    if (sequence <= 2)
      continue;
    guint number = (guint)sequence - 3;
    g_autofree char *id = g_strdup_printf("req-1%u", number);
    json_t *job = fixture_submission_with_id(id);
    json_object_set_new(job, "dilna", json_string(number < 5 ? "red" : "blue"));
    json_object_set_new(job, "cpus", json_real(20.0)); /* one on each machine */
    fixture_send_request(fixture, "POST", "/api/jobs", job);
  }
}

/* When many completions arrive at once, as after a partition, the assignment of a critical task is
   written before the releases that are queued. */
void
test_critical_assignment_precedes_releases(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fill_machines(fixture);
  fixture_run(fixture, 1.0);
  fixture->hold_assignment = TRUE;
  for (guint number = 0; number < FILLED_MACHINES; number++) {
    g_autofree char *job = g_strdup_printf("req-1%u", number);
    g_autofree char *task = g_strdup_printf("%s/0", job);
    const json_t *assignments = fixture_assignments(fixture, job);
    g_assert_cmpuint(json_array_size(assignments), ==, 1);
    fixture_post_heartbeat(
        fixture, json_string_value(json_array_get(json_array_get(assignments, 0), 1)), 1, 100,
        json_pack("[{s:s, s:i, s:s, s:s}]", "kus", task, "pokus", 1, "stav", "exited", "duvod",
                  "done"));
  }
  json_t *critical_job = fixture_submission_with_id("req-9");
  json_object_set_new(critical_job, "prednost", json_string("critical"));
  fixture_send_request(fixture, "POST", "/api/jobs", critical_job);
  json_t *transaction_before = fixture->last_transaction;
  fixture_reply(fixture, fixture->held_call, 409, NULL);
  fixture_handle_outputs(fixture);
  for (guint i = 0; i < 20 && fixture->last_transaction == transaction_before; i++)
    fixture_run(fixture, 0.05);
  g_assert_true(
      transaction_list_has_key(fixture->last_transaction, "apply", "set", "w/task/req-9/0"));
  fixture_free(fixture);
}

/* A task that fits a machine of a smaller type isn't placed on a larger machine, which larger tasks
   may need. Otherwise each small task kept a large one waiting while half of all CPUs were unused.
 */
void
test_small_task_leaves_large_machine_free(void)
{
  Fixture *fixture = fixture_new_with_two_machine_types();
  for (guint64 sequence = 1; sequence <= 2; sequence++) {
    fixture_post_heartbeat(fixture, "m-1", sequence - 1, sequence, json_array());
    json_t *small_heartbeat
        = fixture_heartbeat(fixture, "m-2", sequence - 1, sequence, json_array());
    json_object_set_new(small_heartbeat, "typ", json_string("g1"));
    fixture_post(fixture, "/v1/report", small_heartbeat);
    fixture_run(fixture, 0.5);
  }
  fixture_send_request(fixture, "POST", "/api/jobs", fixture_submission());
  fixture_run(fixture, 1.0);
  const json_t *assignments = fixture_assignments(fixture, "req-1");
  g_assert_cmpstr(json_string_value(json_array_get(json_array_get(assignments, 0), 1)), ==, "m-2");
  fixture_free(fixture);
}

/* Whether an urgent task estimated at 10 s preempts a larger task that has run for @run_s and
   occupies the only machine. */
static gboolean
is_preempted_after_run(double run_s)
{
  Fixture *fixture = fixture_new_with_machine(TRUE);
  json_t *large_job = fixture_submission();
  json_object_set_new(large_job, "cpus", json_real(32.0));
  fixture_send_request(fixture, "POST", "/api/jobs", large_job);
  fixture_run(fixture, 1.0);
  for (guint second = 0; second < run_s; second++) {
    fixture_send_heartbeat(fixture, 1, heartbeat_task_in_state("running", ""));
    fixture_run(fixture, 0.7);
  }
  json_t *urgent_job = fixture_submission_with_id("req-2");
  json_object_set_new(urgent_job, "prednost", json_string("urgent"));
  json_object_set_new(urgent_job, "odhad_s", json_real(10.0));
  fixture_send_request(fixture, "POST", "/api/jobs", urgent_job);
  fixture_run(fixture, 1.0);
  fixture_send_heartbeat(fixture, 1, heartbeat_task_in_state("running", ""));
  gboolean is_stopped = fixture_has_command(fixture, "halt");
  fixture_free(fixture);
  return is_stopped;
}

/* A large task that has run for long isn't preempted for a small task of a few seconds, since its
   progress would be lost: nearly a third of the paid machine time was lost in this way. */
void
test_no_preemption_of_long_work_for_short_task(void)
{
  g_assert_true(is_preempted_after_run(1.0));
  g_assert_false(is_preempted_after_run(20.0));
}

/* Whether a best-effort task of a team at its limit is preempted for an urgent job of the same team
   that may run only in @zone. All machines are in zone a. */
static gboolean
is_preempted_for_job_in_zone(const char *zone)
{
  static const char *const MACHINES[] = { "m-1", "m-2" };
  Fixture *fixture = fixture_new(TRUE);
  register_machines(fixture, MACHINES, G_N_ELEMENTS(MACHINES));
  json_t *best_effort_job = fixture_submission();
  json_object_set_new(best_effort_job, "kusy", json_integer(6));
  json_object_set_new(best_effort_job, "prednost", json_string("best_effort"));
  fixture_send_request(fixture, "POST", "/api/jobs", best_effort_job);
  fixture_run(fixture, 1.5);
  const json_t *record = sim_store_get(fixture->store, "w/task/req-1/0");
  g_assert_cmpuint(json_array_size(json_object_get(record, "on")), ==, 6);
  guint commands_before = fixture->direct_commands;
  json_t *urgent_job = fixture_submission_with_id("req-2");
  json_object_set_new(urgent_job, "prednost", json_string("urgent"));
  json_object_set_new(urgent_job, "hala", json_string(zone));
  fixture_send_request(fixture, "POST", "/api/jobs", urgent_job);
  fixture_run(fixture, 1.0);
  gboolean is_stopped = fixture->direct_commands > commands_before;
  fixture_free(fixture);
  return is_stopped;
}

/* No task is preempted for a job that couldn't use the freed capacity. Tasks of a team at its limit
   were preempted and placed again in an endless loop, for a job bound to a zone without machines.
 */
void
test_no_preemption_without_usable_slot(void)
{
  g_assert_true(is_preempted_for_job_in_zone("a"));
  g_assert_false(is_preempted_for_job_in_zone("b"));
}

/* Capacity that was freed for a job stays reserved for it, and isn't assigned to a less urgent job,
   until it is clear that the job doesn't use it. Otherwise two nodes took the capacity from each
   other in turn, and neither job ran. */
void
test_reservation_holds_until_declined(void)
{
  Fixture *fixture = fixture_new_with_machine(TRUE);
  json_t *urgent_job = fixture_submission_with_id("req-2");
  json_object_set_new(urgent_job, "prednost", json_string("urgent"));
  json_object_set_new(urgent_job, "kusy", json_integer(4));
  json_object_set_new(urgent_job, "hala", json_string("b"));
  fixture_send_request(fixture, "POST", "/api/jobs", urgent_job);
  fixture_send_peer_message(fixture, "/ask",
                            json_pack("{s:i, s:[[s, i, s]]}", "epoch", (int)EPOCH_NUMBER(1),
                                      "reservations", "req-2", 4, "m-1"));
  json_t *best_effort_job = fixture_submission();
  json_object_set_new(best_effort_job, "prednost", json_string("best_effort"));
  fixture_send_request(fixture, "POST", "/api/jobs", best_effort_job);
  fixture_run(fixture, 1.5);
  g_assert_false(fixture_task_is_assigned(fixture));
  fixture_send_heartbeat(fixture, 1, json_array());
  fixture_run(fixture, 3.0);
  fixture_send_heartbeat(fixture, 1, json_array());
  fixture_run(fixture, 1.5);
  g_assert_true(fixture_task_is_assigned(fixture));
  fixture_free(fixture);
}

#define JOBS_TO_COMPLETE 8

/* The recorded assignment of the only task of job req-i; NULL: none. */
static const json_t *
single_task_assignment(const Fixture *fixture, guint i)
{
  g_autofree char *job = g_strdup_printf("req-%u", i);
  return json_array_get(fixture_assignments(fixture, job), 0);
}

static guint
count_done_jobs(const Fixture *fixture)
{
  guint count = 0;
  for (guint i = 1; i <= JOBS_TO_COMPLETE; i++) {
    g_autofree char *key = g_strdup_printf("w/job/req-%u", i);
    const json_t *job = sim_store_get(fixture->store, key);
    count += g_strcmp0(json_string_value(json_object_get(job, "s")), "done") == 0 ? 1 : 0;
  }
  return count;
}

static void
submit_numbered_job(Fixture *fixture, guint i)
{
  g_autofree char *id = g_strdup_printf("req-%u", i);
  json_t *job = fixture_submission_with_id(id);
  fixture_post(fixture, "/api/jobs", job);
}

/* Sends a heartbeat that reports every task assigned to the machine as completed. */
static void
report_completions(Fixture *fixture, const char *machine)
{
  json_t *tasks = json_array();
  for (guint i = 1; i <= JOBS_TO_COMPLETE; i++) {
    g_autofree char *name = g_strdup_printf("req-%u/0", i);
    if (g_strcmp0(json_string_value(json_array_get(single_task_assignment(fixture, i), 1)), machine)
        == 0)
      json_array_append_new(tasks, json_pack("{s:s, s:i, s:s, s:s}", "kus", name, "pokus", 1,
                                             "stav", "exited", "duvod", "done"));
  }
  fixture_post_heartbeat(fixture, machine, 1, 9, tasks);
}

/* With a small limit of operations in a transaction, releases must not fill one transaction after
   another while a job waits although there is free capacity: 13 to 26 jobs waited in this way. */
void
test_releases_leave_space_for_assignments(void)
{
  static const char *const MACHINES[] = { "m-1", "m-2", "m-3" };
  Fixture *fixture = fixture_new(TRUE);
  fixture->settings->kv_max_txn_ops = 3; /* the teams' use and two completed jobs */
  fixture_remove_quotas(fixture);
  register_machines(fixture, MACHINES, G_N_ELEMENTS(MACHINES));
  for (guint i = 1; i <= JOBS_TO_COMPLETE; i++)
    submit_numbered_job(fixture, i);
  fixture_run(fixture, 2.0);
  for (guint i = 1; i <= JOBS_TO_COMPLETE; i++)
    g_assert_nonnull(single_task_assignment(fixture, i));
  for (guint m = 0; m < G_N_ELEMENTS(MACHINES); m++)
    report_completions(fixture, MACHINES[m]);
  submit_numbered_job(fixture, JOBS_TO_COMPLETE + 1);
  for (guint i = 0; i < 100 && single_task_assignment(fixture, JOBS_TO_COMPLETE + 1) == NULL; i++)
    fixture_run(fixture, 0.05);
  g_assert_nonnull(single_task_assignment(fixture, JOBS_TO_COMPLETE + 1));
  g_assert_cmpuint(count_done_jobs(fixture), <, JOBS_TO_COMPLETE);
  fixture_run(fixture, 3.0);
  g_assert_cmpuint(count_done_jobs(fixture), ==, JOBS_TO_COMPLETE);
  fixture_free(fixture);
}

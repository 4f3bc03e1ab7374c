/**
 * One controller reads the store in pages of one key. Once the page with the job req-1 has been
 * read, another client accepts the job req-0, whose id sorts before it, and assigns its task to the
 * machine m-1. The load therefore finds the task's record, but not the job's.
 */
#include "load/load.h"

#include "sim/fixture.h"

#include <string.h>

#define PAGE_AFTER_JOB_PAGE "from=w/job/req-1&"
/* Differs from the number of a first attempt, so that a second assignment shows. */
#define EARLIER_JOB_ATTEMPT 5

static void
accept_and_assign_earlier_job(Fixture *fixture, const char *path)
{
  if (strstr(path, PAGE_AFTER_JOB_PAGE) == NULL)
    return;
  fixture->on_page = NULL;
  json_t *job = json_deep_copy(sim_store_get(fixture->store, "w/job/req-1"));
  json_object_set_new(json_object_get(job, "spec"), "id", json_string("req-0"));
  json_t *chunk = json_pack("{s:i, s:[[i, s, i]], s:s}", "a", EARLIER_JOB_ATTEMPT, "on", 0, "m-1",
                            EARLIER_JOB_ATTEMPT, "d", "00000000000000000000000000000000");
  fixture_write_key(fixture, "w/job/req-0", job);
  fixture_write_key(fixture, "w/task/req-0/0", chunk);
}

/* A heartbeat that reports the tasks of both jobs as running. */
static void
send_heartbeat_with_both_tasks(Fixture *fixture, guint64 fencing_token)
{
  fixture_send_heartbeat(fixture, fencing_token,
                         json_pack("[{s:s, s:i, s:s}, {s:s, s:i, s:s}]", "kus", "req-1/0", "pokus",
                                   1, "stav", "running", "kus", "req-0/0", "pokus",
                                   EARLIER_JOB_ATTEMPT, "stav", "running"));
}

static Fixture *
new_fixture_with_short_pages(void)
{
  Fixture *fixture = fixture_new_with_job(TRUE);
  sim_store_set_max_page_items(fixture->store, 1);
  return fixture;
}

/* Restarts the controller while the other client accepts the job req-0. */
static Fixture *
new_fixture_with_job_accepted_during_load(void)
{
  Fixture *fixture = new_fixture_with_short_pages();
  fixture->on_page = accept_and_assign_earlier_job;
  fixture_restart(fixture);
  g_assert_true(fixture->on_page == NULL);
  return fixture;
}

/* Guards against tasks that the restarted owner of their machine halts, and that nobody starts
   again, because it dropped a task record that it read before the record of its job. */
void
test_no_halt_of_job_accepted_during_load(void)
{
  Fixture *fixture = new_fixture_with_job_accepted_during_load();
  for (guint i = 0; i < 3; i++) {
    send_heartbeat_with_both_tasks(fixture, i == 0 ? 1 : 2);
    g_assert_cmpuint(fixture->status, ==, 200);
    g_assert_false(fixture_has_command(fixture, "halt"));
  }
  fixture_free(fixture);
}

/* Guards against a leader that assigns a running task a second time, since the condition on the
   version of a task record that it has read but dropped is met. */
void
test_no_second_attempt_of_job_accepted_during_load(void)
{
  Fixture *fixture = new_fixture_with_job_accepted_during_load();
  send_heartbeat_with_both_tasks(fixture, 1);
  send_heartbeat_with_both_tasks(fixture, 2);
  fixture_run(fixture, 3.0);
  const json_t *assignments = fixture_assignments(fixture, "req-0");
  g_assert_cmpuint(json_array_size(assignments), ==, 1);
  g_assert_cmpint(json_integer_value(json_array_get(json_array_get(assignments, 0), 2)), ==,
                  EARLIER_JOB_ATTEMPT);
  fixture_free(fixture);
}

/* Makes the controller, which stays a member of the epoch, reload its replica while the other
   client accepts the job req-0. */
static Fixture *
new_fixture_with_job_accepted_during_reload(void)
{
  Fixture *fixture = new_fixture_with_short_pages();
  json_t *mark = json_pack("{s:s, s:b}", "why", "", "now", 0);
  fixture_write_key(fixture, "w/mark/m-9", mark); /* so that the watch is behind */
  fixture->on_page = accept_and_assign_earlier_job;
  sim_store_compact(fixture->store);
  return fixture;
}

/* Guards against the same after a reload, for which the controller needs no new epoch. */
void
test_no_halt_of_job_accepted_during_reload(void)
{
  Fixture *fixture = new_fixture_with_job_accepted_during_reload();
  fixture_run(fixture, 2.0);
  g_assert_true(fixture->on_page == NULL);
  for (guint i = 0; i < 3; i++) {
    send_heartbeat_with_both_tasks(fixture, 1);
    g_assert_cmpuint(fixture->status, ==, 200);
    g_assert_false(fixture_has_command(fixture, "halt"));
  }
  fixture_free(fixture);
}

/* Guards against decisions on pages of different revisions: until the watch has reached the
   revision of the last page, the replica counts as not loaded, and no task is halted. */
void
test_not_loaded_before_last_page_revision(void)
{
  Fixture *fixture = new_fixture_with_job_accepted_during_reload();
  fixture->hold_watch = TRUE; /* the next watch; the one that is open gets 410 */
  fixture_run(fixture, 0.5);
  g_assert_true(fixture->on_page == NULL);
  for (guint i = 0; i < 2; i++) {
    send_heartbeat_with_both_tasks(fixture, 1);
    g_assert_cmpuint(fixture->status, ==, 503);
    g_assert_false(fixture_has_command(fixture, "halt"));
  }
  fixture_release_watch(fixture);
  fixture_run(fixture, 0.5);
  send_heartbeat_with_both_tasks(fixture, 1);
  g_assert_cmpuint(fixture->status, ==, 200);
  g_assert_false(fixture_has_command(fixture, "halt"));
  fixture_free(fixture);
}

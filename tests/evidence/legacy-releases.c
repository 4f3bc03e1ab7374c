/**
 * Releases of versions before 0.4, which have no evidence.
 */
#include "evidence/evidence.h"
#include "evidence/scenario.h"

#define LEGACY_RELEASE_INTERVAL_S 2.0

/* A release without evidence is accepted if no other node can have launched the attempt: the
   machine has had the same owner since the attempt was assigned. */
void
test_legacy_release_by_only_owner_is_accepted(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  scenario_change_epoch(&scenario, TRUE);
  Fixture *fixture = scenario.fixture;
  scenario_assign_second_attempt(fixture, scenario.machine);
  fixture_run(fixture, 1.0);
  fixture_request(fixture, WS_LISTENER_PEERS, "POST", "/ask",
                  json_pack("{s:i, s:[[s, i, i, b]]}", "epoch", (int)EPOCH_NUMBER(2), "releases",
                            "req-1", 0, 2, 0));
  fixture_run(fixture, 0.4);
  g_assert_cmpstr(json_string_value(
                      json_array_get(json_array_get(fixture_assignments(fixture, "req-1"), 0), 1)),
                  !=, scenario.machine);
  scenario_end(&scenario);
}

/* If a release without evidence can't be accepted at once, the leader probes the worker. An exit in
   the worker's status is evidence regardless of the exit reason, but only in a status under the
   current fencing token. */
void
test_legacy_release_needs_current_worker_status(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  scenario_change_epoch(&scenario, TRUE);
  Fixture *fixture = scenario.fixture;
  const guint64 fencing_tokens[] = { 1, FIRST_TOKEN(2) };
  for (guint i = 0; i < G_N_ELEMENTS(fencing_tokens); i++) { /* only the current one is evidence */
    json_t *tasks = json_pack("[{s:s, s:i, s:s, s:s}]", "kus", "req-1/0", "pokus", 1, "stav",
                              "exited", "duvod", "error");
    json_decref(fixture->status_report);
    fixture->status_report
        = fixture_heartbeat(fixture, scenario.machine, fencing_tokens[i], 101 + i, tasks);
    fixture_run(fixture, COMMIT_WAIT_S);
    fixture_request(fixture, WS_LISTENER_PEERS, "POST", "/ask",
                    scenario_legacy_release_message(EPOCH_NUMBER(2)));
    fixture_run(fixture, 0.4);
    g_assert_true(scenario_first_attempt_is_assigned(&scenario) == (i == 0));
  }
  scenario_end(&scenario);
}

/* If a release without evidence is repeated for a whole lease and can't be confirmed, the machine
   is terminated, and the task isn't released until then. */
void
test_unproven_legacy_release_terminates_machine(void)
{
  Scenario scenario;
  scenario_begin(&scenario);
  scenario_change_epoch(&scenario, TRUE);
  Fixture *fixture = scenario.fixture;
  g_autofree char *mark = g_strdup_printf("w/mark/%s", scenario.machine);
  guint repeats = (guint)(fixture->settings->lease_s / LEGACY_RELEASE_INTERVAL_S) + 1;
  for (guint i = 0; i < repeats; i++) {
    g_assert_false(sim_store_has(fixture->store, mark));
    fixture_request(fixture, WS_LISTENER_PEERS, "POST", "/ask",
                    scenario_legacy_release_message(EPOCH_NUMBER(2)));
    fixture_run(fixture, LEGACY_RELEASE_INTERVAL_S);
  }
  fixture_request(fixture, WS_LISTENER_PEERS, "POST", "/ask",
                  scenario_legacy_release_message(EPOCH_NUMBER(2)));
  fixture_run(fixture, 1.0);
  g_assert_true(sim_store_has(fixture->store, mark));
  g_assert_true(scenario_first_attempt_is_assigned(&scenario));
  scenario_end(&scenario);
}

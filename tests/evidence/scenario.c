/**
 * The setup that the one-node tests of evidence share.
 */
#include "evidence/scenario.h"

#include "coordination/ws-epoch.h"
#include "storage/ws-cluster-records.h"

/* Returns whether n1 owns the machine if the first @members nodes are the members. */
static gboolean
is_owned_by_n1(const Fixture *fixture, const char *machine, guint members)
{
  WsEpoch epoch;
  ws_epoch_init(&epoch);
  for (guint node = 0; node < members; node++) {
    WsMember member = { .node = node, .incarnation = 1 };
    g_array_append_val(epoch.members, member);
  }
  gboolean is_owner = ws_epoch_owner(&epoch, machine, fixture->settings) == 1;
  ws_epoch_clear(&epoch);
  return is_owner;
}

/* Returns the name of a machine that n1 owns whenever n0 and n1 are members, with or without n2. */
static char *
find_machine_owned_by_n1(const Fixture *fixture)
{
  for (guint i = 0;; i++) {
    char *name = g_strdup_printf("m-%u", i);
    if (is_owned_by_n1(fixture, name, 2) && is_owned_by_n1(fixture, name, 3))
      return name;
    g_free(name);
  }
}

void
scenario_send_heartbeat(Scenario *scenario, guint64 fencing_token,
                        json_t *tasks /* takes ownership */)
{
  fixture_post_heartbeat(scenario->fixture, scenario->machine, fencing_token, ++scenario->sequence,
                         tasks);
}

json_t *
scenario_task_in_state(const char *state)
{
  return json_pack("[{s:s, s:i, s:s}]", "kus", "req-1/0", "pokus", 1, "stav", state);
}

void
scenario_begin(Scenario *scenario)
{
  *scenario = (Scenario){ .fixture = fixture_new(TRUE) };
  scenario->machine = find_machine_owned_by_n1(scenario->fixture);
  scenario_send_heartbeat(scenario, 0, json_array());
  fixture_run(scenario->fixture, 0.3);
  scenario_send_heartbeat(scenario, 1, json_array());
  fixture_run(scenario->fixture, 0.3);
  fixture_send_request(scenario->fixture, "POST", "/api/jobs", fixture_submission());
  fixture_run(scenario->fixture, 1.0);
  g_assert_true(fixture_task_is_assigned(scenario->fixture));
}

void
scenario_end(Scenario *scenario)
{
  fixture_free(scenario->fixture);
  g_free(scenario->machine);
}

guint64
scenario_epoch(const Fixture *fixture)
{
  return (guint64)json_integer_value(
      json_object_get(sim_store_get(fixture->store, "w/epoch"), "number"));
}

void
scenario_change_epoch(Scenario *scenario, gboolean has_n1)
{
  guint64 before = scenario_epoch(scenario->fixture);
  fixture_write_key(scenario->fixture, "w/member/n1", has_n1 ? ws_member_encode(1) : NULL);
  fixture_run(scenario->fixture, EPOCH_CHANGE_WAIT_S);
  g_assert_cmpuint(scenario_epoch(scenario->fixture), ==, before + WS_EPOCH_TOKENS);
}

json_t *
scenario_release_message(const Scenario *scenario, guint64 epoch, const char *kind,
                         guint64 evidence_epoch)
{
  return json_pack("{s:I, s:[[s, i, i, b, s, s, I, i]]}", "epoch", (json_int_t)epoch, "releases",
                   "req-1", 0, 1, 0, scenario->machine, kind, (json_int_t)evidence_epoch, 1);
}

json_t *
scenario_legacy_release_message(guint64 epoch)
{
  return json_pack("{s:I, s:[[s, i, i, b]]}", "epoch", (json_int_t)epoch, "releases", "req-1", 0, 1,
                   0);
}

gboolean
scenario_first_attempt_is_assigned(const Scenario *scenario)
{
  const json_t *assignments = fixture_assignments(scenario->fixture, "req-1");
  return json_integer_value(json_array_get(json_array_get(assignments, 0), 2)) == 1;
}

void
scenario_assign_second_attempt(Fixture *fixture, const char *machine)
{
  fixture_write_key(fixture, "w/task/req-1/0",
                    json_pack("{s:i, s:[[i, s, i, i]], s:s}", "a", 2, "on", 0, machine, 2, 1000,
                              "d", "00000000000000000000000000000000"));
}

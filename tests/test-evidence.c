/* Conclusions that a task is gone, and what has happened since they were drawn.

   A release is written only while what it rests on still holds: an incident broke ran_twice when a
   former owner's release was written after the next owner had launched the same attempt. */
#include "storage/ws-evidence.h"
#include "sim/fixture.h"
#include "sim/fault-injection.h"
#include "ws-site.h"
#include "ws-suite.h"

#define NEW_EPOCH_S 1.5
#define WRITE_S 2.0
#define REPEATED_EVERY_S 2.0

/* Whether the machine is n1's while the first nodes are members, so many of them. */
static gboolean
is_of_n1(const Fixture *fixture, const char *machine, guint members)
{
  WsEpoch epoch;
  ws_epoch_init(&epoch);
  for (guint node = 0; node < members; node++) {
    WsMember member = { node, 1 };
    g_array_append_val(epoch.members, member);
  }
  gboolean is = ws_epoch_owner(&epoch, machine, fixture->settings) == 1;
  ws_epoch_clear(&epoch);
  return is;
}

/* A machine that is n1's wherever n1 is a member beside n0. */
static char *
name_of_machine_of_n1(const Fixture *fixture)
{
  for (guint i = 0;; i++) {
    char *name = g_strdup_printf("m-%u", i);
    if (is_of_n1(fixture, name, 2) && is_of_n1(fixture, name, 3))
      return name;
    g_free(name);
  }
}

typedef struct {
  Fixture *fixture;
  char *machine;
  guint64 sequence;
} World;

static void
report(World *world, guint64 fencing_token, json_t *tasks /* taken */)
{
  fixture_post_heartbeat(world->fixture, world->machine, fencing_token, ++world->sequence, tasks);
}

static json_t *
task_in_state(const char *state)
{
  return json_pack("[{s:s, s:i, s:s}]", "kus", "req-1/0", "pokus", 1, "stav", state);
}

/* The task of one job is assigned to the machine by n0, which leads, and its launch was lost. */
static void
begin(World *world)
{
  *world = (World){ .fixture = fixture_new(TRUE) };
  world->machine = name_of_machine_of_n1(world->fixture);
  report(world, 0, json_array());
  fixture_run(world->fixture, 0.3);
  report(world, 1, json_array());
  fixture_run(world->fixture, 0.3);
  fixture_call(world->fixture, "POST", "/api/jobs", fixture_submission());
  fixture_run(world->fixture, 1.0);
  g_assert_true(fixture_task_is_assigned(world->fixture));
}

static void
end(World *world)
{
  fixture_free(world->fixture);
  g_free(world->machine);
}

static guint64
epoch_number(const Fixture *fixture)
{
  return (guint64)json_integer_value(
      json_object_get(sim_store_get(fixture->store, "w/epoch"), "number"));
}

/* n1 joins or leaves, and n0 writes the next epoch. */
static void
change_epoch(World *world, gboolean has_n1)
{
  guint64 before = epoch_number(world->fixture);
  fixture_write_key(world->fixture, "w/member/n1",
                    has_n1 ? json_pack("{s:i}", "incarnation", 1) : NULL);
  fixture_run(world->fixture, NEW_EPOCH_S);
  g_assert_cmpuint(epoch_number(world->fixture), ==, before + 1);
}

/* n1 says what it knew of the task under the token: that it is absent, or its machine returned. */
static json_t *
release_of_n1(const World *world, guint64 epoch, const char *kind, guint64 seen_under)
{
  return json_pack("{s:I, s:[[s, i, i, b, s, s, I, i]]}", "epoch", (json_int_t)epoch, "releases",
                   "req-1", 0, 1, 0, world->machine, kind, (json_int_t)seen_under, 1);
}

/* The same, said by a version that doesn't say what it rests on. */
static json_t *
bare_release_of_n1(guint64 epoch)
{
  return json_pack("{s:I, s:[[s, i, i, b]]}", "epoch", (json_int_t)epoch, "releases", "req-1", 0, 1,
                   0);
}

/* Whether the task's first attempt is still on record. */
static gboolean
is_first_attempt_on_record(const World *world)
{
  const json_t *on = json_object_get(sim_store_get(world->fixture->store, "w/task/req-1/0"), "on");
  return json_integer_value(json_array_get(json_array_get(on, 0), 2)) == 1;
}

/* A second for the transaction that is to be held. */
static void
wait_for_held(Fixture *fixture)
{
  for (guint i = 0; i < 20 && fixture->held_call == 0; i++)
    fixture_run(fixture, 0.05);
}

/* Somebody writes that the task's second attempt is on the machine. */
static void
assign_second_attempt(Fixture *fixture, const char *machine)
{
  fixture_write_key(fixture, "w/task/req-1/0",
                    json_pack("{s:i, s:[[i, s, i, i]], s:s}", "a", 2, "on", 0, machine, 2, 1000,
                              "d", "00000000000000000000000000000000"));
}

/* The machine is n0's now, and hears that it is to launch the task. */
static void
launch_by_n0(World *world)
{
  guint64 fencing_token = epoch_number(world->fixture);
  report(world, fencing_token - 1, json_array());
  report(world, fencing_token, json_array());
  g_assert_true(fixture_has_command(world->fixture, "launch"));
  report(world, fencing_token, task_in_state("fetching"));
}

/* The leader has taken its owner's release, whose write comes to nothing; the owner ends, and the
   leader, now the owner, launches the task again: what it took before must not be written then. */
static void
pending_over_an_epoch(gboolean has_evidence)
{
  World world;
  begin(&world);
  change_epoch(&world, TRUE);
  world.fixture->hold_assignment = TRUE;
  fixture_request(world.fixture, WS_DOOR_MESH, "POST", "/ask",
                  has_evidence ? release_of_n1(&world, 2, "absent", 2) : bare_release_of_n1(2));
  wait_for_held(world.fixture);
  change_epoch(&world, FALSE);
  launch_by_n0(&world);
  if (world.fixture->held_call != 0)
    fixture_reply(world.fixture, world.fixture->held_call, 409, NULL);
  fixture_run(world.fixture, WRITE_S);
  g_assert_true(is_first_attempt_on_record(&world));
  end(&world);
}

static void
test_pending_release_expires_with_ownership(void)
{
  pending_over_an_epoch(TRUE);
}

static void
test_pending_legacy_release_expires_with_ownership(void)
{
  pending_over_an_epoch(FALSE);
}

/* n1 concluded under its old epoch that the task is gone, lost its place to n0, which launched the
   task, and is back: it sends what it concluded then under the present epoch. */
static void
from_former_owner(gboolean has_evidence)
{
  World world;
  begin(&world);
  change_epoch(&world, TRUE);
  change_epoch(&world, FALSE);
  launch_by_n0(&world);
  change_epoch(&world, TRUE);
  fixture_request(world.fixture, WS_DOOR_MESH, "POST", "/ask",
                  has_evidence ? release_of_n1(&world, 4, "absent", 2) : bare_release_of_n1(4));
  fixture_run(world.fixture, WRITE_S);
  g_assert_true(is_first_attempt_on_record(&world));
  end(&world);
}

static void
test_no_release_by_former_owner(void)
{
  from_former_owner(TRUE);
}

static void
test_no_legacy_release_by_former_owner(void)
{
  from_former_owner(FALSE);
}

/* The cloud's word holds whoever owns the machine since. */
static void
test_returned_machine_is_released_in_any_epoch(void)
{
  World world;
  begin(&world);
  change_epoch(&world, TRUE);
  change_epoch(&world, FALSE);
  change_epoch(&world, TRUE);
  fixture_request(world.fixture, WS_DOOR_MESH, "POST", "/ask",
                  release_of_n1(&world, 4, "returned", 1));
  fixture_run(world.fixture, WRITE_S);
  g_assert_false(is_first_attempt_on_record(&world));
  end(&world);
}

/* A version that doesn't say what a release rests on is believed where nobody else has had the
   right to launch the attempt: it was assigned to a machine that the sender's version has owned
   since. */
static void
test_legacy_release_by_only_owner_holds(void)
{
  World world;
  begin(&world);
  change_epoch(&world, TRUE);
  Fixture *fixture = world.fixture;
  assign_second_attempt(fixture, world.machine);
  fixture_run(fixture, 1.0);
  fixture_request(fixture, WS_DOOR_MESH, "POST", "/ask",
                  json_pack("{s:i, s:[[s, i, i, b]]}", "epoch", 2, "releases", "req-1", 0, 2, 0));
  fixture_run(fixture, 0.4);
  g_assert_cmpstr(
      json_string_value(json_array_get(
          json_array_get(json_object_get(sim_store_get(fixture->store, "w/task/req-1/0"), "on"), 0),
          1)),
      !=, world.machine);
  end(&world);
}

/* Otherwise the worker is asked, and an end that it still holds is proof, with whatever reason. */
static void
test_legacy_release_needs_current_worker_status(void)
{
  World world;
  begin(&world);
  change_epoch(&world, TRUE);
  Fixture *fixture = world.fixture;
  for (guint64 fencing_token = 1; fencing_token <= 2;
       fencing_token++) { /* only what is said under our token counts */
    json_t *tasks = json_pack("[{s:s, s:i, s:s, s:s}]", "kus", "req-1/0", "pokus", 1, "stav",
                              "exited", "duvod", "error");
    json_decref(fixture->status_report);
    fixture->status_report
        = fixture_heartbeat(fixture, world.machine, fencing_token, 100 + fencing_token, tasks);
    fixture_run(fixture, WRITE_S);
    fixture_request(fixture, WS_DOOR_MESH, "POST", "/ask", bare_release_of_n1(2));
    fixture_run(fixture, 0.4);
    g_assert_true(is_first_attempt_on_record(&world) == (fencing_token == 1));
  }
  end(&world);
}

/* What can't be proven and is repeated for a lease isn't lost: the machine is returned. */
static void
test_unproven_legacy_release_terminates_machine(void)
{
  World world;
  begin(&world);
  change_epoch(&world, TRUE);
  Fixture *fixture = world.fixture;
  g_autofree char *mark = g_strdup_printf("w/mark/%s", world.machine);
  guint repeats = (guint)(fixture->settings->lease_s / REPEATED_EVERY_S) + 1;
  for (guint i = 0; i < repeats; i++) {
    g_assert_false(sim_store_has(fixture->store, mark));
    fixture_request(fixture, WS_DOOR_MESH, "POST", "/ask", bare_release_of_n1(2));
    fixture_run(fixture, REPEATED_EVERY_S);
  }
  fixture_request(fixture, WS_DOOR_MESH, "POST", "/ask", bare_release_of_n1(2));
  fixture_run(fixture, 1.0);
  g_assert_true(sim_store_has(fixture->store, mark));
  g_assert_true(is_first_attempt_on_record(&world));
  end(&world);
}

/* The task failed, its release is on its way, and the machine begins a new session without it: the
   owner launches nothing that it is about to release. */
static void
test_no_launch_while_release_is_pending(void)
{
  World world;
  begin(&world);
  Fixture *fixture = world.fixture;
  fixture->hold_assignment = TRUE;
  report(&world, 1,
         json_pack("[{s:s, s:i, s:s, s:s}]", "kus", "req-1/0", "pokus", 1, "stav", "exited",
                   "duvod", "error"));
  wait_for_held(fixture);
  g_assert_cmpuint(fixture->held_call, !=, 0);
  json_t *anew = fixture_heartbeat(fixture, world.machine, 1, ++world.sequence, json_array());
  json_object_set_new(anew, "smena", json_integer(2));
  fixture_post(fixture, "/v1/report", anew);
  g_assert_cmpuint(fixture->status, ==, 200);
  g_assert_false(fixture_has_command(fixture, "launch"));
  fixture_reply(fixture, fixture->held_call, 409, NULL);
  fixture_run(fixture, WRITE_S);
  g_assert_false(is_first_attempt_on_record(&world));
  end(&world);
}

/* What an owner concludes while it remains the owner is written in a later epoch too. */
static void
test_release_holds_for_same_owner(void)
{
  World world;
  begin(&world);
  change_epoch(&world, TRUE);
  fixture_write_key(world.fixture, "w/member/n2", json_pack("{s:i}", "incarnation", 1));
  fixture_run(world.fixture, NEW_EPOCH_S);
  g_assert_cmpuint(epoch_number(world.fixture), ==, 3);
  fixture_request(world.fixture, WS_DOOR_MESH, "POST", "/ask",
                  release_of_n1(&world, 3, "absent", 2));
  fixture_run(world.fixture, WRITE_S);
  g_assert_false(is_first_attempt_on_record(&world));
  end(&world);
}

/* The watch brings nothing while somebody else's last transaction under the old epoch moves the
   task to another machine; then n0's own next epoch is in force, which it knows at once. */
static void
be_behind_own_epoch(World *world)
{
  Fixture *fixture = world->fixture;
  fixture->hold_watch = TRUE;
  fixture_write_key(fixture, "w/unused", json_object()); /* answers the watch that is open */
  fixture_run(fixture, 1.0);
  g_assert_cmpuint(fixture->held_watch, !=, 0);
  assign_second_attempt(fixture, "m-elsewhere");
  fixture_send_peer_message(
      fixture, "/gossip",
      json_pack("{s:s, s:i, s:b, s:i, s:b, s:b, s:i, s:i, s:i, s:i, s:b, s:i, s:[]}", "node", "n1",
                "epoch", 1, "store", 1, "reaches", 7, "wants_epoch", 1, "unheard", 0, "base", 0,
                "rev", 0, "ack", 0, "incarnation", 1, "loaded", 1, "untold", 0, "machines"));
  fixture_run(fixture, 0.5);
  g_assert_cmpuint(epoch_number(fixture), ==, 2);
}

/* A leader whose replica is older than its own epoch launches nothing by it: the attempt may have
   been taken elsewhere meanwhile. */
static void
test_no_launch_before_caught_up_with_epoch(void)
{
  World world;
  begin(&world);
  be_behind_own_epoch(&world);
  report(&world, 1, json_array());
  report(&world, 2, json_array());
  g_assert_cmpuint(world.fixture->status, ==, 200);
  g_assert_false(fixture_has_command(world.fixture, "launch"));
  fixture_release_watch(world.fixture);
  fixture_run(world.fixture, 1.0);
  report(&world, 2, json_array());
  g_assert_false(fixture_has_command(world.fixture, "launch"));
  end(&world);
}

/* Nor does it halt or reap what it doesn't know: that may have been assigned meanwhile. */
static void
test_no_halt_before_caught_up_with_epoch(void)
{
  World world;
  begin(&world);
  be_behind_own_epoch(&world);
  static const char *const STATES[] = { "running", "exited" };
  for (guint i = 0; i < G_N_ELEMENTS(STATES); i++) {
    json_t *tasks = task_in_state(STATES[i]);
    json_object_set_new(json_array_get(tasks, 0), "pokus", json_integer(3));
    json_object_set_new(json_array_get(tasks, 0), "duvod", json_string("done"));
    report(&world, 2, json_deep_copy(tasks));
    g_assert_cmpuint(world.fixture->status, ==, 200);
    g_assert_false(fixture_has_command(world.fixture, "halt"));
    g_assert_false(fixture_has_command(world.fixture, "reap"));
    json_decref(tasks);
  }
  fixture_release_watch(world.fixture);
  fixture_run(world.fixture, 1.0);
  report(&world, 2, task_in_state("running")); /* this attempt isn't on the records any more */
  g_assert_true(fixture_has_command(world.fixture, "halt"));
  end(&world);
}

/* What holds, against a plain history of who owned the machines. */

#define EPOCHS 40
#define MACHINES 12

typedef struct {
  guint64 number;
  guint64 incarnation[SIM_NODES]; /* 0: not a member */
} PastEpoch;

static PastEpoch
next_epoch(GRand *rand, const PastEpoch *last)
{
  PastEpoch next = *last;
  next.number += g_rand_int_range(rand, 0, 6) == 0 ? 2 : 1; /* this node may miss one */
  guint node = (guint)g_rand_int_range(rand, 0, SIM_NODES);
  if (next.incarnation[node] == 0 || g_rand_boolean(rand))
    next.incarnation[node] = next.number * 10 + node + 1; /* it began, or began anew */
  else if (g_rand_boolean(rand))
    next.incarnation[node] = 0;
  return next;
}

static json_t *
epoch_record(const PastEpoch *epoch)
{
  json_t *members = json_array();
  for (guint node = 0; node < SIM_NODES; node++) {
    g_autofree char *name = g_strdup_printf("n%u", node);
    if (epoch->incarnation[node] != 0)
      json_array_append_new(members, json_pack("{s:s, s:I}", "node", name, "incarnation",
                                               (json_int_t)epoch->incarnation[node]));
  }
  return json_pack("{s:I, s:s, s:o}", "number", (json_int_t)epoch->number, "leader", "n0",
                   "members", members);
}

/* The run that owned the machine under the epoch; 0: none did. */
static guint64
owner_run(const PastEpoch *past, const char *machine, const WsSettings *settings)
{
  WsEpoch epoch;
  g_autoptr(json_t) record = epoch_record(past);
  ws_epoch_init(&epoch);
  g_assert_true(ws_epoch_parse(&epoch, record, settings));
  guint owner = ws_epoch_owner(&epoch, machine, settings);
  ws_epoch_clear(&epoch);
  return owner != WS_NONE ? past->incarnation[owner] : 0;
}

/* Whether one run owned the machine from one epoch to the other, and none was missed between. */
static gboolean
is_of_one_owner(const PastEpoch *history, guint from, guint to, const char *machine,
                const WsSettings *settings)
{
  guint64 run = owner_run(&history[from], machine, settings);
  for (guint i = from + 1; i <= to; i++)
    if (run == 0 || history[i].number != history[i - 1].number + 1
        || owner_run(&history[i], machine, settings) != run)
      return FALSE;
  return TRUE;
}

static void
apply(WsReplica *replica, const char *key, json_t *value /* taken */)
{
  static guint64 version = 100;
  ws_replica_apply(replica, key, value, ++version);
  json_decref(value);
}

static void
add_assignments(WsReplica *replica)
{
  json_t *spec = fixture_submission();
  json_object_set_new(spec, "kusy", json_integer(MACHINES));
  apply(replica, "w/job/req-1",
        json_pack("{s:s, s:i, s:s, s:o}", "s", "active", "at", 1, "home", "", "spec", spec));
  json_t *on = json_array();
  for (guint m = 0; m < MACHINES; m++) {
    g_autofree char *name = g_strdup_printf("m-%u", m);
    json_array_append_new(on, json_pack("[i, s, i, i]", (int)m, name, (int)m + 1, 1));
  }
  apply(replica, "w/task/req-1/0",
        json_pack("{s:i, s:o, s:s}", "a", MACHINES, "on", on, "d",
                  "00000000000000000000000000000000"));
}

static WsRelease
release_on(const WsReplica *replica, guint m, WsEvidenceKind kind)
{
  const WsJob *job = ws_replica_find_job(replica, "req-1");
  const WsAssignment *assignment = ws_job_assignment(job, m);
  const WsMachine *machine = ws_replica_machine(replica, assignment->machine);
  return (WsRelease){ job->index, m, assignment->attempt, FALSE,
                      ws_evidence_new(replica, machine, kind) };
}

static void
check_history(guint32 seed)
{
  g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  WsReplica *replica = ws_replica_new(settings);
  PastEpoch history[EPOCHS] = { { .number = 1, .incarnation = { 1 } } };
  WsRelease absent[EPOCHS][MACHINES], returned[EPOCHS][MACHINES];
  apply(replica, "w/epoch", epoch_record(&history[0]));
  add_assignments(replica);
  for (guint now = 0; now < EPOCHS; now++) {
    if (now > 0) {
      history[now] = next_epoch(rand, &history[now - 1]);
      apply(replica, "w/epoch", epoch_record(&history[now]));
    }
    for (guint m = 0; m < MACHINES; m++) {
      absent[now][m] = release_on(replica, m, WS_EVIDENCE_ABSENT);
      returned[now][m] = release_on(replica, m, WS_EVIDENCE_RETURNED);
    }
    for (guint m = 0; m < MACHINES; m++) {
      g_autofree char *name = g_strdup_printf("m-%u", m);
      for (guint then = 0; then <= now; then++) {
        g_assert_true(ws_release_holds(replica, &returned[then][m]));
        gboolean holds = ws_release_holds(replica, &absent[then][m]);
        g_assert_true(holds == is_of_one_owner(history, then, now, name, settings));
        WsRelease done = absent[then][m];
        done.done = TRUE;
        g_assert_true(ws_release_holds(replica, &done));
        WsRelease elsewhere = returned[then][m];
        elsewhere.evidence.machine = returned[0][(m + 1) % MACHINES].evidence.machine;
        g_assert_false(ws_release_holds(replica, &elsewhere));
      }
    }
  }
  ws_replica_free(replica);
}

static void
test_release_holds_exactly_under_one_owner(void)
{
  sim_play_seeds(4000, 30, check_history);
}

/* A release comes through a message as it was; damaged evidence is none. */
static void
test_release_encoding_round_trip(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  WsReplica *replica = ws_replica_new(settings);
  add_assignments(replica);
  for (guint m = 0; m < MACHINES; m++) {
    WsRelease release = release_on(replica, m, (WsEvidenceKind)(m % 3));
    release.evidence.epoch = 1u + m;
    release.evidence.incarnation = m;
    g_autoptr(json_t) item = ws_release_encode(replica, &release);
    WsEvidence evidence;
    g_assert_true(ws_evidence_parse(replica, item, &evidence));
    g_assert_cmpuint(evidence.kind, ==, release.evidence.kind);
    g_assert_cmpuint(evidence.machine, ==, release.evidence.machine);
    g_assert_cmpuint(evidence.epoch, ==, release.evidence.epoch);
    g_assert_cmpuint(evidence.incarnation, ==, release.evidence.incarnation);
    for (size_t place = 4; place < 7; place++) {
      g_autoptr(json_t) damaged = json_deep_copy(item);
      json_array_set_new(damaged, place, json_pack("[i]", 1));
      g_assert_false(ws_evidence_parse(replica, damaged, &evidence));
    }
    while (json_array_size(item) > 4) {
      json_array_remove(item, json_array_size(item) - 1);
      if (json_array_size(item) < 7)
        g_assert_false(ws_evidence_parse(replica, item, &evidence));
    }
  }
  ws_replica_free(replica);
}

/* Again and again an epoch begins, tasks are assigned whose machines don't know it yet, more urgent
   work takes their room, and the leader loses its place for a while before it can write that they
   are gone. */
static void
play_flapping(guint32 seed)
{
  static const SimJob LOW
      = { .tasks = 8, .team = "blue", .priority = "best_effort", .spot = TRUE, .run_s = 7.0 };
  static const SimJob URGENT
      = { .tasks = 3, .team = "blue", .priority = "urgent", .spot = TRUE, .run_s = 4.0 };
  Sim *sim = sim_new(seed);
  GRand *rand = sim_rand(sim);
  sim_properties(sim)->idle_timeout_s = 60.0;
  sim_faults(sim)->max_machines = 3;
  sim_run(sim, 3.0);
  sim_submit(sim, &LOW);
  sim_run(sim, 25.0);
  for (guint round = 0; round < 8; round++) {
    sim_submit(sim, &LOW);
    sim_crash_node(sim, sim_other_node(sim_leader_or_first(sim)), 0.3);
    sim_run(sim, g_rand_double_range(rand, 0.6, 2.0));
    sim_submit(sim, &URGENT);
    sim_run(sim, g_rand_double_range(rand, 0.1, 2.0));
    sim_faults(sim)->store_refuses_nodes = 1u << sim_leader_or_first(sim);
    sim_run(sim, g_rand_double_range(rand, 5.0, 9.0));
    sim_faults(sim)->store_refuses_nodes = 0;
    sim_run(sim, g_rand_double_range(rand, 0.5, 4.0));
  }
  sim_expect_recovery(sim);
  sim_free(sim);
}

static void
test_flapping(void)
{
  sim_play_seeds(3000, 5, play_flapping);
}

static const WsTest TESTS[] = {
  { "/evidence/pending-release-expires-with-ownership",
    test_pending_release_expires_with_ownership },
  { "/evidence/pending-legacy-release-expires-with-ownership",
    test_pending_legacy_release_expires_with_ownership },
  { "/evidence/no-release-by-former-owner", test_no_release_by_former_owner },
  { "/evidence/no-legacy-release-by-former-owner", test_no_legacy_release_by_former_owner },
  { "/evidence/no-launch-while-release-is-pending", test_no_launch_while_release_is_pending },
  { "/evidence/release-holds-for-same-owner", test_release_holds_for_same_owner },
  { "/evidence/no-launch-before-caught-up-with-epoch", test_no_launch_before_caught_up_with_epoch },
  { "/evidence/no-halt-before-caught-up-with-epoch", test_no_halt_before_caught_up_with_epoch },
  { "/evidence/returned-machine-is-released-in-any-epoch",
    test_returned_machine_is_released_in_any_epoch },
  { "/evidence/legacy-release-by-only-owner-holds", test_legacy_release_by_only_owner_holds },
  { "/evidence/legacy-release-needs-current-worker-status",
    test_legacy_release_needs_current_worker_status },
  { "/evidence/unproven-legacy-release-terminates-machine",
    test_unproven_legacy_release_terminates_machine },
  { "/evidence/release-holds-exactly-under-one-owner", test_release_holds_exactly_under_one_owner },
  { "/evidence/release-encoding-round-trip", test_release_encoding_round_trip },
  { "/evidence/flapping", test_flapping },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  return g_test_run();
}

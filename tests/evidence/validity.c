/**
 * The validity of releases over random sequences of epochs, compared with a simple model of the
 * ownership of machines; and the encoding of releases.
 */
#include "evidence/evidence.h"
#include "sim/fault-injection.h"
#include "sim/fixture.h"
#include "storage/ws-evidence.h"
#include "ws-test-settings.h"

#define EPOCH_COUNT 40
#define MACHINE_COUNT 12

typedef struct {
  guint64 number;
  guint64 incarnation[SIM_NODES]; /* by node; 0: not a member */
} PastEpoch;

static PastEpoch
next_epoch(GRand *rand, const PastEpoch *last)
{
  PastEpoch next = *last;
  next.number += g_rand_int_range(rand, 0, 6) == 0 ? 2 : 1; /* 2: this node missed an epoch */
  guint node = (guint)g_rand_int_range(rand, 0, SIM_NODES);
  if (next.incarnation[node] == 0 || g_rand_boolean(rand))
    next.incarnation[node] = next.number * 10 + node + 1; /* the node joins or restarts */
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

/* Returns the incarnation of the node that owned the machine in the epoch; 0: no node did. */
static guint64
owner_incarnation(const PastEpoch *past, const char *machine, const WsSettings *settings)
{
  WsEpoch epoch;
  g_autoptr(json_t) record = epoch_record(past);
  ws_epoch_init(&epoch);
  g_assert_true(ws_epoch_parse(&epoch, record, settings));
  guint owner = ws_epoch_owner(&epoch, machine, settings);
  ws_epoch_clear(&epoch);
  return owner != WS_NO_INDEX ? past->incarnation[owner] : 0;
}

/* Returns whether the same incarnation owned the machine from one epoch to the other, without a
   missed epoch in between. */
static gboolean
has_same_owner(const PastEpoch *history, guint from, guint to, const char *machine,
               const WsSettings *settings)
{
  guint64 owner = owner_incarnation(&history[from], machine, settings);
  for (guint i = from + 1; i <= to; i++)
    if (owner == 0 || history[i].number != history[i - 1].number + 1
        || owner_incarnation(&history[i], machine, settings) != owner)
      return FALSE;
  return TRUE;
}

static void
apply(WsReplica *replica, const char *key, json_t *value /* takes ownership */)
{
  static guint64 version = 100;
  ws_replica_apply(replica, key, value, ++version);
  json_decref(value);
}

static void
add_assignments(WsReplica *replica)
{
  json_t *spec = fixture_submission();
  json_object_set_new(spec, "kusy", json_integer(MACHINE_COUNT));
  apply(replica, "w/job/req-1",
        json_pack("{s:s, s:i, s:s, s:o}", "s", "active", "at", 1, "home", "", "spec", spec));
  json_t *assignments = json_array();
  for (guint m = 0; m < MACHINE_COUNT; m++) {
    g_autofree char *name = g_strdup_printf("m-%u", m);
    json_array_append_new(assignments, json_pack("[i, s, i, i]", (int)m, name, (int)m + 1, 1));
  }
  apply(replica, "w/task/req-1/0",
        json_pack("{s:i, s:o, s:s}", "a", MACHINE_COUNT, "on", assignments, "d",
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

/* Checks the validity of two releases in a later epoch than the one of their evidence. A returned
   machine is valid evidence in every epoch, an absent task only while the owner is the same. */
static void
check_releases(const WsReplica *replica, const WsRelease *absent, const WsRelease *returned,
               WsMachineIndex other_machine, gboolean is_same_owner)
{
  g_assert_true(ws_release_is_valid(replica, returned));
  gboolean is_valid = ws_release_is_valid(replica, absent);
  g_assert_true(is_valid == is_same_owner);
  WsRelease done = *absent;
  done.is_completed = TRUE;
  g_assert_true(ws_release_is_valid(replica, &done));
  WsRelease elsewhere = *returned;
  elsewhere.evidence.machine = other_machine;
  g_assert_false(ws_release_is_valid(replica, &elsewhere));
}

static void
check_history(guint32 seed)
{
  g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  WsReplica *replica = ws_replica_new(settings);
  PastEpoch history[EPOCH_COUNT] = { { .number = 1, .incarnation = { 1 } } };
  WsRelease absent[EPOCH_COUNT][MACHINE_COUNT], returned[EPOCH_COUNT][MACHINE_COUNT];
  apply(replica, "w/epoch", epoch_record(&history[0]));
  add_assignments(replica);
  for (guint now = 0; now < EPOCH_COUNT; now++) {
    if (now > 0) {
      history[now] = next_epoch(rand, &history[now - 1]);
      apply(replica, "w/epoch", epoch_record(&history[now]));
    }
    for (guint m = 0; m < MACHINE_COUNT; m++) {
      absent[now][m] = release_on(replica, m, WS_EVIDENCE_ABSENT);
      returned[now][m] = release_on(replica, m, WS_EVIDENCE_RETURNED);
    }
    for (guint m = 0; m < MACHINE_COUNT; m++) {
      g_autofree char *name = g_strdup_printf("m-%u", m);
      WsMachineIndex other_machine = returned[0][(m + 1) % MACHINE_COUNT].evidence.machine;
      for (guint then = 0; then <= now; then++)
        check_releases(replica, &absent[then][m], &returned[then][m], other_machine,
                       has_same_owner(history, then, now, name, settings));
    }
  }
  ws_replica_free(replica);
}

void
test_release_is_valid_exactly_while_owner_is_same(void)
{
  sim_play_seeds(4000, 30, check_history);
}

/* A release is unchanged by encoding and parsing; malformed or missing evidence is not accepted. */
void
test_release_encoding_round_trip(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  WsReplica *replica = ws_replica_new(settings);
  add_assignments(replica);
  for (guint m = 0; m < MACHINE_COUNT; m++) {
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

/**
 * Under which epochs a release holds, against a plain history of who owned the machines; and the
 * encoding of releases.
 */
#include "evidence/evidence.h"
#include "sim/fault-injection.h"
#include "sim/fixture.h"
#include "storage/ws-evidence.h"
#include "ws-site.h"

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
  return owner != WS_NO_INDEX ? past->incarnation[owner] : 0;
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

/* What was concluded of the machine under one epoch, checked under a later one. */
static void
check_releases(const WsReplica *replica, const WsRelease *absent, const WsRelease *returned,
               WsMachineIndex other_machine, gboolean is_of_same_owner)
{
  g_assert_true(ws_release_is_valid(replica, returned));
  gboolean holds = ws_release_is_valid(replica, absent);
  g_assert_true(holds == is_of_same_owner);
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
      WsMachineIndex other_machine = returned[0][(m + 1) % MACHINES].evidence.machine;
      for (guint then = 0; then <= now; then++)
        check_releases(replica, &absent[then][m], &returned[then][m], other_machine,
                       is_of_one_owner(history, then, now, name, settings));
    }
  }
  ws_replica_free(replica);
}

void
test_release_holds_exactly_under_one_owner(void)
{
  sim_play_seeds(4000, 30, check_history);
}

/* A release comes through a message as it was; damaged evidence is none. */
void
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

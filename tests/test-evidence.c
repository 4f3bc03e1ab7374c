/* Conclusions that a task is gone, and what has happened since they were drawn.

   A release is written only while what it rests on still holds: an incident broke ran_twice when a
   former owner's release was written after the next owner had launched the same attempt. */
#include "coordination/ws-epoch.h"
#include "sim/rig.h"

#define NEW_EPOCH_S 1.5
#define WRITE_S 2.0

/* Whether the machine is n1's while the first nodes are members, so many of them. */
static gboolean
is_of_n1(const Rig *rig, const char *machine, guint members)
{
  WsEpoch epoch;
  ws_epoch_init(&epoch);
  for (guint node = 0; node < members; node++) {
    WsMember member = { node, 1 };
    g_array_append_val(epoch.members, member);
  }
  gboolean is = ws_epoch_owner(&epoch, machine, rig->settings) == 1;
  ws_epoch_clear(&epoch);
  return is;
}

/* A machine that is n1's wherever n1 is a member beside n0. */
static char *
name_of_machine_of_n1(const Rig *rig)
{
  for (guint i = 0;; i++) {
    char *name = g_strdup_printf("m-%u", i);
    if (is_of_n1(rig, name, 2) && is_of_n1(rig, name, 3))
      return name;
    g_free(name);
  }
}

typedef struct {
  Rig *rig;
  char *machine;
  guint64 seq;
} World;

static void
report(World *world, guint64 token, json_t *tasks /* taken */)
{
  rig_report_now(world->rig, world->machine, token, ++world->seq, tasks);
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
  *world = (World){ .rig = rig_bare(TRUE) };
  world->machine = name_of_machine_of_n1(world->rig);
  report(world, 0, json_array());
  rig_run(world->rig, 0.3);
  report(world, 1, json_array());
  rig_run(world->rig, 0.3);
  rig_ask(world->rig, "POST", "/api/jobs", rig_submission());
  rig_run(world->rig, 1.0);
  g_assert_true(rig_is_assigned(world->rig));
}

static void
end(World *world)
{
  rig_free(world->rig);
  g_free(world->machine);
}

static guint64
epoch_number(const Rig *rig)
{
  return (guint64)json_integer_value(
      json_object_get(sim_state_get(rig->state, "w/epoch"), "number"));
}

/* n1 joins or leaves, and n0 writes the next epoch. */
static void
change_epoch(World *world, gboolean has_n1)
{
  guint64 before = epoch_number(world->rig);
  rig_write_key(world->rig, "w/member/n1", has_n1 ? json_pack("{s:i}", "incarnation", 1) : NULL);
  rig_run(world->rig, NEW_EPOCH_S);
  g_assert_cmpuint(epoch_number(world->rig), ==, before + 1);
}

/* n1 says that it has seen the task's absence under the token. */
static json_t *
release_of_n1(const World *world, guint64 epoch, guint64 seen_under)
{
  return json_pack("{s:I, s:[[s, i, i, b, s, s, I, i]]}", "epoch", (json_int_t)epoch, "releases",
                   "req-1", 0, 1, 0, world->machine, "absent", (json_int_t)seen_under, 1);
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
  const json_t *on = json_object_get(sim_state_get(world->rig->state, "w/task/req-1/0"), "on");
  return json_integer_value(json_array_get(json_array_get(on, 0), 2)) == 1;
}

/* The machine is n0's now, and hears that it is to launch the task. */
static void
launch_by_n0(World *world)
{
  guint64 token = epoch_number(world->rig);
  report(world, token - 1, json_array());
  report(world, token, json_array());
  g_assert_true(rig_has_command(world->rig, "launch"));
  report(world, token, task_in_state("fetching"));
}

/* The leader has taken its owner's release, whose write comes to nothing; the owner ends, and the
   leader, now the owner, launches the task again: what it took before must not be written then. */
static void
pending_over_an_epoch(gboolean has_evidence)
{
  World world;
  begin(&world);
  change_epoch(&world, TRUE);
  world.rig->hold = TRUE;
  rig_request(world.rig, WS_DOOR_MESH, "POST", "/ask",
              has_evidence ? release_of_n1(&world, 2, 2) : bare_release_of_n1(2));
  for (guint i = 0; i < 20 && world.rig->held == 0; i++)
    rig_run(world.rig, 0.05);
  change_epoch(&world, FALSE);
  launch_by_n0(&world);
  if (world.rig->held != 0)
    rig_reply(world.rig, world.rig->held, 409, NULL);
  rig_run(world.rig, WRITE_S);
  g_assert_true(is_first_attempt_on_record(&world));
  end(&world);
}

static void
test_pending_over_an_epoch(void)
{
  pending_over_an_epoch(TRUE);
}

static void
test_bare_pending_over_an_epoch(void)
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
  rig_request(world.rig, WS_DOOR_MESH, "POST", "/ask",
              has_evidence ? release_of_n1(&world, 4, 2) : bare_release_of_n1(4));
  rig_run(world.rig, WRITE_S);
  g_assert_true(is_first_attempt_on_record(&world));
  end(&world);
}

static void
test_from_former_owner(void)
{
  from_former_owner(TRUE);
}

static void
test_bare_from_former_owner(void)
{
  from_former_owner(FALSE);
}

/* The task failed, its release is on its way, and the machine begins a new session without it: the
   owner launches nothing that it is about to release. */
static void
test_new_session_before_the_write(void)
{
  World world;
  begin(&world);
  Rig *rig = world.rig;
  rig->hold = TRUE;
  report(&world, 1,
         json_pack("[{s:s, s:i, s:s, s:s}]", "kus", "req-1/0", "pokus", 1, "stav", "exited",
                   "duvod", "error"));
  for (guint i = 0; i < 20 && rig->held == 0; i++)
    rig_run(rig, 0.05);
  g_assert_cmpuint(rig->held, !=, 0);
  json_t *anew = rig_report_of(rig, world.machine, 1, ++world.seq, json_array());
  json_object_set_new(anew, "smena", json_integer(2));
  rig_tell(rig, "/v1/report", anew);
  g_assert_cmpuint(rig->status, ==, 200);
  g_assert_false(rig_has_command(rig, "launch"));
  rig_reply(rig, rig->held, 409, NULL);
  rig_run(rig, WRITE_S);
  g_assert_false(is_first_attempt_on_record(&world));
  end(&world);
}

/* What an owner concludes while it remains the owner is written in a later epoch too. */
static void
test_same_owner_over_an_epoch(void)
{
  World world;
  begin(&world);
  change_epoch(&world, TRUE);
  rig_write_key(world.rig, "w/member/n2", json_pack("{s:i}", "incarnation", 1));
  rig_run(world.rig, NEW_EPOCH_S);
  g_assert_cmpuint(epoch_number(world.rig), ==, 3);
  rig_request(world.rig, WS_DOOR_MESH, "POST", "/ask", release_of_n1(&world, 3, 2));
  rig_run(world.rig, WRITE_S);
  g_assert_false(is_first_attempt_on_record(&world));
  end(&world);
}

/* The watch brings nothing while somebody else's last transaction under the old epoch moves the
   task to another machine; then n0's own next epoch is in force, which it knows at once. */
static void
be_behind_own_epoch(World *world)
{
  Rig *rig = world->rig;
  rig->hold_watch = TRUE;
  rig_write_key(rig, "w/unused", json_object()); /* answers the watch that is open */
  rig_run(rig, 1.0);
  g_assert_cmpuint(rig->held_watch, !=, 0);
  rig_write_key(rig, "w/task/req-1/0",
                json_pack("{s:i, s:[[i, s, i, i]], s:s}", "a", 2, "on", 0, "m-elsewhere", 2, 1000,
                          "d", "00000000000000000000000000000000"));
  rig_mesh(rig, "/gossip",
           json_pack("{s:s, s:i, s:b, s:i, s:b, s:b, s:i, s:i, s:i, s:i, s:b, s:i, s:[]}", "node",
                     "n1", "epoch", 1, "store", 1, "reaches", 7, "wants_epoch", 1, "unheard", 0,
                     "base", 0, "rev", 0, "ack", 0, "incarnation", 1, "loaded", 1, "untold", 0,
                     "machines"));
  rig_run(rig, 0.5);
  g_assert_cmpuint(epoch_number(rig), ==, 2);
}

/* A leader whose replica is older than its own epoch launches nothing by it: the attempt may have
   been taken elsewhere meanwhile. */
static void
test_no_launch_behind_own_epoch(void)
{
  World world;
  begin(&world);
  be_behind_own_epoch(&world);
  report(&world, 1, json_array());
  report(&world, 2, json_array());
  g_assert_cmpuint(world.rig->status, ==, 200);
  g_assert_false(rig_has_command(world.rig, "launch"));
  rig_release_watch(world.rig);
  rig_run(world.rig, 1.0);
  report(&world, 2, json_array());
  g_assert_false(rig_has_command(world.rig, "launch"));
  end(&world);
}

/* Nor does it halt or reap what it doesn't know: that may have been assigned meanwhile. */
static void
test_no_halt_behind_own_epoch(void)
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
    g_assert_cmpuint(world.rig->status, ==, 200);
    g_assert_false(rig_has_command(world.rig, "halt"));
    g_assert_false(rig_has_command(world.rig, "reap"));
    json_decref(tasks);
  }
  rig_release_watch(world.rig);
  rig_run(world.rig, 1.0);
  report(&world, 2, task_in_state("running")); /* this attempt isn't on the records any more */
  g_assert_true(rig_has_command(world.rig, "halt"));
  end(&world);
}

int
main(int argc, char **argv)
{
  g_test_init(&argc, &argv, NULL);
  g_log_set_always_fatal(G_LOG_LEVEL_ERROR);
  g_test_add_func("/evidence/pending-over-an-epoch", test_pending_over_an_epoch);
  g_test_add_func("/evidence/bare-pending-over-an-epoch", test_bare_pending_over_an_epoch);
  g_test_add_func("/evidence/from-former-owner", test_from_former_owner);
  g_test_add_func("/evidence/bare-from-former-owner", test_bare_from_former_owner);
  g_test_add_func("/evidence/new-session-before-the-write", test_new_session_before_the_write);
  g_test_add_func("/evidence/same-owner-over-an-epoch", test_same_owner_over_an_epoch);
  g_test_add_func("/evidence/no-launch-behind-own-epoch", test_no_launch_behind_own_epoch);
  g_test_add_func("/evidence/no-halt-behind-own-epoch", test_no_halt_behind_own_epoch);
  return g_test_run();
}

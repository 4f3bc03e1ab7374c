/* What a controller does for one report, one gossip and one plan, counted at two sizes: it may not
   grow with the number of machines, or no worse than stated. Steps and messages, not seconds. */
#include "sim/rig.h"

#define SMALL 80u
#define LARGE 640u

static void
report(Rig *rig, guint machine, guint64 token, guint64 seq)
{
  g_autofree char *name = g_strdup_printf("m-%06u", machine);
  rig_report_now(rig, name, token, seq, json_array());
}

/* All machines have shown the token, and the peers know of them. */
static Rig *
rig_with(guint machines)
{
  Rig *rig = rig_bare(TRUE);
  for (guint64 seq = 1; seq <= 3; seq++) {
    for (guint m = 0; m < machines; m++)
      report(rig, m, seq == 1 ? 0 : 1, seq);
    rig_run(rig, 1.5);
  }
  return rig;
}

static guint
outputs_of_report(guint machines)
{
  Rig *rig = rig_with(machines);
  guint before = rig->outputs;
  report(rig, 7, 1, 10);
  guint outputs = rig->outputs - before;
  rig_free(rig);
  return outputs;
}

/* A plain report is answered, and nothing else comes of it. */
static void
test_report(void)
{
  g_assert_cmpuint(outputs_of_report(SMALL), ==, 1);
  g_assert_cmpuint(outputs_of_report(LARGE), ==, 1);
}

static gsize
quiet_gossip(guint machines)
{
  Rig *rig = rig_with(machines);
  for (guint m = 0; m < machines; m++)
    report(rig, m, 1, 11);
  rig_run(rig, 1.6);
  gsize bytes = rig->gossip_bytes;
  rig_free(rig);
  return bytes;
}

/* When nothing has changed, gossip says so in a few words. */
static void
test_gossip(void)
{
  gsize small = quiet_gossip(SMALL), large = quiet_gossip(LARGE);
  g_assert_cmpuint(small, >, 0);
  g_assert_cmpuint(large, <=, small + 8); /* a longer count */
}

static guint64
steps_of_job(guint machines, guint tasks)
{
  Rig *rig = rig_with(machines);
  json_t *job = rig_submission();
  json_object_set_new(job, "kusy", json_integer(tasks));
  guint64 before = ws_core_plan_steps(rig->core);
  rig_ask(rig, "POST", "/api/jobs", job);
  guint64 steps = ws_core_plan_steps(rig->core) - before;
  rig_free(rig);
  return steps;
}

/* A plan grows with the machines, not with tasks times machines. */
static void
test_plan(void)
{
  guint64 small = steps_of_job(SMALL, 6), large = steps_of_job(LARGE, 6);
  guint64 many = steps_of_job(LARGE, 600);
  g_assert_cmpuint(small, >, 0);
  g_assert_cmpuint(large, <=, small * (LARGE / SMALL) * 2);
  g_assert_cmpuint(many, <=, large * 4);
}

int
main(int argc, char **argv)
{
  g_test_init(&argc, &argv, NULL);
  g_log_set_always_fatal(G_LOG_LEVEL_ERROR);
  g_test_add_func("/size/report", test_report);
  g_test_add_func("/size/gossip", test_gossip);
  g_test_add_func("/size/plan", test_plan);
  return g_test_run();
}

#include "sim/fault-injection.h"

void
sim_add_load(Sim *sim, guint rounds)
{
  static const SimJob JOBS[]
      = { { .tasks = 4, .team = "red", .priority = "best_effort", .spot = TRUE, .run_s = 25.0 },
          { .tasks = 2, .team = "blue", .priority = "standard", .run_s = 12.0 },
          { .tasks = 3, .team = "red", .priority = "standard", .run_s = 6.0, .zone = "b" },
          { .tasks = 3, .team = "blue", .priority = "standard", .run_s = 9.0, .one_zone = TRUE },
          { .tasks = 9, .team = "blue", .priority = "best_effort", .spot = TRUE, .run_s = 14.0 } };
  for (guint i = 0; i < rounds; i++)
    for (guint k = 0; k < G_N_ELEMENTS(JOBS); k++)
      sim_submit(sim, &JOBS[k]);
}

void
sim_cancel_some(Sim *sim, guint count)
{
  for (guint i = 0; i < count; i++)
    sim_cancel_any(sim);
}

guint
sim_other_node(guint node)
{
  return (node + 1) % SIM_NODES;
}

guint
sim_leader_or_first(const Sim *sim)
{
  guint leader = sim_leader(sim);
  return leader < SIM_NODES ? leader : 0;
}

void
sim_trouble_machines(Sim *sim, guint count, void (*trouble)(Sim *, guint, double), double seconds)
{
  for (guint i = 0; i < count; i++) {
    guint machine = sim_any_machine(sim);
    if (machine != G_MAXUINT)
      trouble(sim, machine, seconds);
  }
}

void
sim_serve_all(Sim *sim)
{
  sim_calm(sim);
  for (guint i = 0; i < 400 && sim_open_jobs(sim) > 0; i++)
    sim_run(sim, 1.0);
  if (sim_open_jobs(sim) > 0)
    g_error("%u jobs are not served", sim_open_jobs(sim));
  if (sim_refused_for_size(sim) > 0)
    g_error("%u transactions were refused for their size", sim_refused_for_size(sim));
  sim_run(sim, 150.0);
  if (sim_machines(sim) > 0 || sim_marks(sim) > 0 || sim_unrecorded(sim) > 0)
    g_error("%u machines leaked, %u without a record, %u marks", sim_machines(sim),
            sim_unrecorded(sim), sim_marks(sim));
}

Sim *
sim_loaded_world(guint32 seed)
{
  Sim *sim = sim_new(seed);
  sim_run(sim, 3.0);
  sim_add_load(sim, 1);
  sim_run(sim, 18.0);
  sim_add_load(sim, 1);
  return sim;
}

guint
sim_seed_count(guint usual)
{
  const char *wanted = g_getenv("WS_SEEDS");
  return wanted != NULL ? (guint)g_ascii_strtoull(wanted, NULL, 10) : usual;
}

/* Pairs and triples of troubles that overlap, drawn from a seed. */

typedef struct {
  const char *name;
  void (*begin)(Sim *sim, double seconds);
  void (*end)(Sim *sim);
} Trouble;

static void
begin_refused(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->state_refuses
      = 1u << (g_rand_boolean(sim_rand(sim)) ? sim_leader_or_first(sim)
                                             : sim_other_node(sim_leader_or_first(sim)));
}

static void
end_refused(Sim *sim)
{
  sim_faults(sim)->state_refuses = 0;
}

static void
begin_outage(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->state_out = TRUE;
}

static void
end_outage(Sim *sim)
{
  sim_faults(sim)->state_out = FALSE;
}

static void
begin_slow(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->slow_state_ms = 1200;
}

static void
end_slow(Sim *sim)
{
  sim_faults(sim)->slow_state_ms = 0;
}

static void
begin_late_writes(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->late_writes = 0.2;
}

static void
end_late_writes(Sim *sim)
{
  sim_faults(sim)->late_writes = 0.0;
}

static void
begin_copies(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->copies = 0.4;
}

static void
end_copies(Sim *sim)
{
  sim_faults(sim)->copies = 0.0;
}

static void
begin_net(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->net = (SimNet){ 0.05, 0.05, 0.1 };
}

static void
end_net(Sim *sim)
{
  sim_faults(sim)->net = (SimNet){ 0 };
}

static void
begin_cut(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->cut = 1u << g_rand_int_range(sim_rand(sim), 0, SIM_NODES);
}

static void
end_cut(Sim *sim)
{
  sim_faults(sim)->cut = 0;
}

static void
begin_alone(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->alone = 1u << sim_leader_or_first(sim);
}

static void
end_alone(Sim *sim)
{
  sim_faults(sim)->alone = 0;
}

static void
begin_unheard(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->unheard = 1u << g_rand_int_range(sim_rand(sim), 0, SIM_NODES);
}

static void
end_unheard(Sim *sim)
{
  sim_faults(sim)->unheard = 0;
}

static void
begin_cloud(Sim *sim, double seconds)
{
  (void)seconds;
  sim_faults(sim)->cloud_out = TRUE;
}

static void
end_cloud(Sim *sim)
{
  sim_faults(sim)->cloud_out = FALSE;
}

static void
begin_cancel_at_end(Sim *sim, double seconds)
{
  (void)seconds;
  sim_cancel_at_end(sim, 0.5);
}

static void
end_cancel_at_end(Sim *sim)
{
  sim_cancel_at_end(sim, 0.0);
}

static void
begin_bulk(Sim *sim, double seconds)
{
  (void)seconds;
  sim_trouble_machines(sim, 2, sim_hang, 8.0);
  sim_cancel_some(sim, 5);
}

static void
begin_deaf(Sim *sim, double seconds)
{
  sim_trouble_machines(sim, 2, sim_deafen, seconds);
}

static void
begin_mute(Sim *sim, double seconds)
{
  sim_trouble_machines(sim, 2, sim_mute, seconds);
}

static void
begin_hang(Sim *sim, double seconds)
{
  sim_trouble_machines(sim, 3, sim_hang, MIN(seconds, 20.0));
}

static void
begin_crash(Sim *sim, double seconds)
{
  sim_crash(sim, sim_leader_or_first(sim), MIN(seconds, 8.0));
}

static void
begin_crash_all(Sim *sim, double seconds)
{
  for (guint n = 0; n < SIM_NODES; n++)
    sim_crash(sim, n, g_rand_double_range(sim_rand(sim), 0.1, MIN(seconds, 14.0)));
}

static void
begin_freeze(Sim *sim, double seconds)
{
  sim_freeze(sim, (guint)g_rand_int_range(sim_rand(sim), 0, SIM_NODES), seconds);
}

static void
begin_kill(Sim *sim, double seconds)
{
  (void)seconds;
  for (guint i = 0; i < 2; i++)
    sim_kill_machine(sim);
  sim_restart_machine(sim);
}

static void
begin_odd(Sim *sim, double seconds)
{
  (void)seconds;
  for (guint i = 0; i < 5; i++) {
    sim_odd_requests(sim);
    sim_run(sim, 0.7);
  }
}

static const Trouble TROUBLES[] = {
  { "odd-requests", begin_odd, NULL },
  { "refused", begin_refused, end_refused },
  { "outage", begin_outage, end_outage },
  { "slow", begin_slow, end_slow },
  { "late-writes", begin_late_writes, end_late_writes },
  { "copies", begin_copies, end_copies },
  { "net", begin_net, end_net },
  { "cut", begin_cut, end_cut },
  { "alone", begin_alone, end_alone },
  { "unheard", begin_unheard, end_unheard },
  { "cloud-out", begin_cloud, end_cloud },
  { "cancel-at-end", begin_cancel_at_end, end_cancel_at_end },
  { "bulk", begin_bulk, NULL },
  { "deaf", begin_deaf, NULL },
  { "mute", begin_mute, NULL },
  { "hang", begin_hang, NULL },
  { "crash", begin_crash, NULL },
  { "crash-all", begin_crash_all, NULL },
  { "freeze", begin_freeze, NULL },
  { "kill", begin_kill, NULL },
};

typedef struct {
  const Trouble *trouble;
  double at_s;
  double for_s;
  gboolean begun;
  gboolean over;
} Drawn;

static void
step_drawn(Sim *sim, Drawn *drawn, double now_s)
{
  if (!drawn->begun && now_s >= drawn->at_s) {
    drawn->begun = TRUE;
    drawn->trouble->begin(sim, drawn->for_s);
  }
  if (drawn->begun && !drawn->over && now_s >= drawn->at_s + drawn->for_s) {
    drawn->over = TRUE;
    if (drawn->trouble->end != NULL)
      drawn->trouble->end(sim);
  }
}

void
sim_play_drawn_troubles(Sim *sim)
{
  GRand *rand = sim_rand(sim);
  Drawn drawn[3];
  guint count = 2 + (guint)g_rand_int_range(rand, 0, 2);
  for (guint i = 0; i < count; i++) {
    guint which = (guint)g_rand_int_range(rand, 0, G_N_ELEMENTS(TROUBLES));
    drawn[i] = (Drawn){ &TROUBLES[which], g_rand_double_range(rand, 0.0, 8.0),
                        g_rand_double_range(rand, 2.0, 50.0), FALSE, FALSE };
    g_test_message("%s at %.1f s for %.1f s", drawn[i].trouble->name, drawn[i].at_s,
                   drawn[i].for_s);
  }
  for (guint step = 0; step < 120; step++) {
    double now_s = 0.5 * step;
    for (guint i = 0; i < count; i++)
      step_drawn(sim, &drawn[i], now_s);
    if (g_rand_int_range(rand, 0, 16) == 0)
      sim_cancel_some(sim, 1);
    sim_run(sim, 0.5);
  }
}

void
sim_ask_odd_things(Sim *sim)
{
  begin_odd(sim, 0.0);
}

void
sim_play_seeds(guint32 first, guint usual, void (*play)(guint32 seed))
{
  const char *only = g_getenv("WS_SEED");
  if (only != NULL) {
    play((guint32)g_ascii_strtoull(only, NULL, 10));
    return;
  }
  guint count = sim_seed_count(usual);
  for (guint32 seed = first; seed < first + count; seed++)
    play(seed);
}

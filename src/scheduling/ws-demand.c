/* How many machines of which kind the tasks without room call for. */
#include "scheduling/ws-scheduling.h"

#include "membership/ws-membership.h"
#include "commit/ws-commit.h"
#include "fleet/ws-fleet.h"
#include "storage/ws-constraints.h"

/* Without a deadline or an objective an array's tasks may follow each other for this long. */
#define DEFAULT_SLACK_S 100.0
#define LEAST_SHARE 0.2
/* Some machines take twice as long to boot as others. A critical task that must wait for one gets
   the first of several, where boots are long enough to be worth it; arrays use the rest. */
#define SHORT_BOOT_S 30.0
#define LONG_BOOT_S 60.0
#define LONG_BOOT_EXTRA 1.0
/* Estimates are often wrong by half, so only a part of the slack is counted on: less of it where a
   class has one time for all its jobs, whatever their size, than where each job has its own. */
#define USED_SLACK 0.7
#define USED_CLASS_SLACK 0.4
/* How soon tasks should begin isn't an estimate, but many jobs may come at once. */
#define USED_BEGIN_SLACK 0.5

typedef struct {
  WsTypeIndex type;
  WsZoneIndex zone;
  gboolean spot;
  WsResources room;
  gboolean is_new;
  gboolean on_order;
  gboolean is_running; /* what running tasks will leave some time soon */
} Virtual;

struct _WsDemand {
  WsCore *core;
  GArray *machines; /* of Virtual: booting, on order, or wanted */
  guint *by_zone;   /* machines there are, by zone */
  guint only_zone;  /* that the job at hand must be in; WS_NONE: any */
};

static Virtual *
add_virtual(WsDemand *demand, WsTypeIndex type, WsZoneIndex zone, gboolean spot,
            const WsResources *room, gboolean is_new)
{
  Virtual made = { type, zone, spot, *room, is_new, FALSE, FALSE };
  g_array_append_val(demand->machines, made);
  return &g_array_index(demand->machines, Virtual, demand->machines->len - 1);
}

/* A place whose array task ends some time soon is worth a part of a place of a new machine, to a
   task that can wait for it. */
static void
add_running(WsDemand *demand, const WsMachine *machine)
{
  const WsReplica *replica = demand->core->replica;
  WsResources soon = { 0 };
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsJob *job = ws_replica_job(replica, g_array_index(machine->tasks, WsTaskRef, i).job);
    if (job->spec->kind == WS_KIND_ARRAY)
      ws_resources_add(&soon, &job->spec->need, 1);
  }
  soon.cpus /= 2;
  soon.gpus /= 2;
  soon.memory /= 2;
  if (soon.cpus == 0)
    return;
  add_virtual(demand, machine->type, machine->zone, machine->spot, &soon, FALSE)->is_running = TRUE;
}

static void
add_rents(WsDemand *demand)
{
  const WsReplica *replica = demand->core->replica;
  for (guint i = 0; i < replica->rents->len; i++) {
    const WsRentalIntent *rent = g_ptr_array_index(replica->rents, i);
    WsTypeIndex type = ws_replica_find_type(replica, rent->type),
                zone = ws_replica_find_zone(replica, rent->zone);
    for (guint n = 0; n < rent->count && type != WS_NO_TYPE && zone != WS_NO_ZONE; n++)
      add_virtual(demand, type, zone, rent->spot, &ws_replica_type(replica, type)->capacity, FALSE)
          ->on_order
          = TRUE;
  }
}

WsDemand *
ws_demand_new(WsCore *core)
{
  const WsReplica *replica = core->replica;
  WsDemand *demand = g_new0(WsDemand, 1);
  demand->core = core;
  demand->only_zone = WS_NONE;
  demand->machines = g_array_new(FALSE, FALSE, sizeof(Virtual));
  demand->by_zone = g_new0(guint, core->settings->zones->len);
  for (guint i = 0; i < replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(replica, i);
    if (!machine->is_recorded || machine->type == WS_NO_TYPE || machine->zone == WS_NO_ZONE)
      continue;
    demand->by_zone[machine->zone]++;
    if (machine->is_marked || ws_zone_is_partitioned(core, machine->zone))
      continue; /* nobody hears of a machine that comes up behind a cut */
    if (ws_machine_is_booting(core, machine))
      add_virtual(demand, machine->type, machine->zone, machine->spot,
                  &ws_replica_type(replica, machine->type)->capacity, FALSE);
    else if (ws_machine_is_up(core, machine))
      add_running(demand, machine);
  }
  add_rents(demand);
  return demand;
}

/* How long a task of the job may still wait for a place, if a machine had to boot for it. */
static double
slack_s(const WsDemand *demand, const WsJob *job)
{
  const WsCore *core = demand->core;
  double allowed_s = ws_job_allowed_s(core->replica, job);
  double begin_s = ws_settings_begin_within(core->settings, job->spec->class_name);
  double used_s = (double)(core->wall - job->accepted_ms) / 1000.0
                  + ws_replica_type(core->replica, 0)->boot_s;
  double end_s = 1.2 * ws_estimator_run_s(core, job) + ws_job_fetch_s(core->replica, job);
  double part = job->spec->deadline_s >= 0.0 ? USED_SLACK : USED_CLASS_SLACK;
  double spare_s = allowed_s >= 0.0 ? part * (allowed_s - used_s - end_s) : DEFAULT_SLACK_S;
  if (begin_s >= 0.0)
    spare_s = MIN(spare_s, USED_BEGIN_SLACK * (begin_s - used_s));
  return MAX(0.0, spare_s);
}

/* For how many tasks places are wanted, if so many wait. */
static guint
with_extra(const WsDemand *demand, const WsJob *job, guint tasks)
{
  if (job->spec->priority != WS_CRITICAL)
    return tasks;
  double boot_s = ws_replica_type(demand->core->replica, 0)->boot_s;
  double length = (boot_s - SHORT_BOOT_S) / (LONG_BOOT_S - SHORT_BOOT_S);
  return tasks + (guint)(tasks * LONG_BOOT_EXTRA * CLAMP(length, 0.0, 1.0));
}

/* What the task takes of a place that is there for a while: less, if others can follow it and
   still be in time. */
static WsResources
share(const WsDemand *demand, const WsJob *job)
{
  WsResources need = job->spec->need;
  double run_s = ws_estimator_run_s(demand->core, job) + 5.0;
  double part = job->spec->kind == WS_KIND_ARRAY
                    ? MAX(LEAST_SHARE, run_s / (run_s + slack_s(demand, job)))
                    : 1.0;
  need.cpus = (gint64)((double)need.cpus * part);
  need.gpus = (gint64)((double)need.gpus * part);
  need.memory = (gint64)((double)need.memory * part);
  return need;
}

static gboolean
zone_fits(const WsDemand *demand, const WsJob *job, WsZoneIndex zone)
{
  return (job->spec->zone == NULL || job->zone == zone)
         && (demand->only_zone == WS_NONE || demand->only_zone == zone);
}

/* Without a deadline of its own, a job that can't wait until a running task is half done doesn't
   count on its place. */
static gboolean
may_wait(const WsDemand *demand, const WsJob *job)
{
  return job->spec->deadline_s >= 0.0
         || slack_s(demand, job) >= 0.5 * ws_estimator_run_s(demand->core, job);
}

/* Returns how many of the tasks found room. */
static guint
put_in(WsDemand *demand, const WsJob *job, const WsResources *need, guint tasks)
{
  gboolean waits = job->spec->kind == WS_KIND_ARRAY && may_wait(demand, job);
  gint64 smallest = ws_smallest_fitting_cpus(demand->core->replica, job->spec);
  guint placed = 0;
  for (guint i = 0; i < demand->machines->len; i++) {
    Virtual *machine = &g_array_index(demand->machines, Virtual, i);
    if ((machine->spot && !job->spec->spot) || (machine->is_running && !waits)
        || !zone_fits(demand, job, machine->zone)
        || (machine->is_running
            && ws_replica_type(demand->core->replica, machine->type)->capacity.cpus > smallest)
        || !ws_constraints_allow_type(job->spec,
                                      ws_replica_type(demand->core->replica, machine->type)))
      continue;
    for (; placed < tasks && ws_resources_fit(need, &machine->room); placed++)
      ws_resources_add(&machine->room, need, -1);
    if (placed == tasks)
      break;
  }
  return placed;
}

/* The zone with fewest machines that may have one more, or WS_NONE. */
static guint
pick_zone(const WsDemand *demand, const WsJob *job, WsTypeIndex type, gboolean spot)
{
  guint best = WS_NONE;
  char **zones = ws_replica_type(demand->core->replica, type)->zones;
  for (; *zones != NULL; zones++) {
    WsZoneIndex zone = ws_replica_find_zone(demand->core->replica, *zones);
    if (zone == WS_NO_ZONE || !zone_fits(demand, job, zone)
        || ws_zone_is_partitioned(demand->core, zone)
        || ws_rentals_no_capacity(demand->core, type, zone, spot))
      continue;
    if (best == WS_NONE || demand->by_zone[zone] < demand->by_zone[best])
      best = zone;
  }
  return best;
}

static gboolean
want_new(WsDemand *demand, const WsJob *job, gboolean spot, const WsResources *need)
{
  const WsReplica *replica = demand->core->replica;
  guint best = WS_NONE, best_zone = WS_NONE;
  for (guint t = 0; t < replica->catalog->len; t++) {
    const WsType *type = ws_replica_type(replica, t);
    if (!ws_constraints_allow_type(job->spec, type)
        || !ws_resources_fit(&job->spec->need, &type->capacity))
      continue;
    WsZoneIndex zone = pick_zone(demand, job, t, spot);
    if (zone == WS_NO_ZONE
        || (best != WS_NONE && type->price >= ws_replica_type(replica, best)->price))
      continue;
    best = t;
    best_zone = zone;
  }
  if (best == WS_NONE)
    return FALSE;
  WsResources room = ws_replica_type(replica, best)->capacity;
  ws_resources_add(&room, need, -1);
  add_virtual(demand, best, best_zone, spot, &room, TRUE);
  demand->by_zone[best_zone]++;
  return TRUE;
}

/* A new machine takes as many of the tasks as it has room for, so the rest are put in first. */
void
ws_demand_add(WsDemand *demand, const WsJob *job, guint tasks)
{
  WsResources need = share(demand, job);
  guint wanted = with_extra(demand, job, tasks);
  guint left = wanted - put_in(demand, job, &need, wanted);
  while (left > 0) {
    guint machines = demand->machines->len;
    if (!(job->spec->spot && want_new(demand, job, TRUE, &need))
        && !want_new(demand, job, FALSE, &need))
      return;
    left--;
    Virtual *made = &g_array_index(demand->machines, Virtual, machines);
    for (; left > 0 && ws_resources_fit(&need, &made->room); left--)
      ws_resources_add(&made->room, &need, -1);
  }
}

/* How many tasks of the job the machines that boot or are on order in the zone have room for. */
static guint
count_fitting(const WsDemand *demand, const WsJob *job, WsZoneIndex zone)
{
  guint count = 0;
  for (guint i = 0; i < demand->machines->len; i++) {
    const Virtual *machine = &g_array_index(demand->machines, Virtual, i);
    const WsType *type = ws_replica_type(demand->core->replica, machine->type);
    if (machine->is_running || machine->zone != zone || (machine->spot && !job->spec->spot)
        || !ws_constraints_allow_type(job->spec, type))
      continue;
    for (WsResources room = machine->room; ws_resources_fit(&job->spec->need, &room); count++)
      ws_resources_add(&room, &job->spec->need, -1);
  }
  return count;
}

/* The zone for all tasks of the gang: one where enough is coming already, so that the same zone is
   chosen again while its machines boot, or else one where machines can be had. */
static guint
zone_for_gang(const WsDemand *demand, const WsJob *job, guint tasks)
{
  const WsReplica *replica = demand->core->replica;
  for (WsZoneIndex zone = 0; zone < demand->core->settings->zones->len; zone++)
    if (zone_fits(demand, job, zone) && count_fitting(demand, job, zone) >= tasks)
      return zone;
  for (guint t = 0; t < replica->catalog->len; t++) {
    const WsType *type = ws_replica_type(replica, t);
    if (!ws_constraints_allow_type(job->spec, type)
        || !ws_resources_fit(&job->spec->need, &type->capacity))
      continue;
    WsZoneIndex zone = pick_zone(demand, job, t, FALSE);
    if (zone == WS_NO_ZONE && job->spec->spot)
      zone = pick_zone(demand, job, t, TRUE);
    if (zone != WS_NO_ZONE)
      return zone;
  }
  return WS_NONE;
}

void
ws_demand_add_gang(WsDemand *demand, const WsJob *job, guint tasks)
{
  WsZoneIndex zone = job->spec->one_zone ? zone_for_gang(demand, job, tasks) : WS_NONE;
  if (job->spec->one_zone && zone == WS_NO_ZONE)
    return;
  demand->only_zone = zone;
  ws_demand_add(demand, job, tasks);
  demand->only_zone = WS_NONE;
}

/* Room on a machine that is wanted anyway. */
static gboolean
put_in_new(WsDemand *demand, const WsJob *job)
{
  for (guint i = 0; i < demand->machines->len; i++) {
    Virtual *machine = &g_array_index(demand->machines, Virtual, i);
    if (!machine->is_new || machine->spot || !ws_resources_fit(&job->spec->need, &machine->room))
      continue;
    ws_resources_add(&machine->room, &job->spec->need, -1);
    return TRUE;
  }
  return FALSE;
}

/* Critical jobs can't wait for a machine to boot, so some places for them are always kept. */
static void
add_spare(WsDemand *demand)
{
  const WsCore *core = demand->core;
  const WsJob *job = ws_headroom_job(core->replica);
  if (job == NULL)
    return;
  guint places = ws_headroom_count_slots(core, &job->spec->need, NULL);
  for (guint i = 0; i < demand->machines->len && places < core->properties->headroom_tasks; i++) {
    Virtual *machine = &g_array_index(demand->machines, Virtual, i);
    if (!machine->on_order)
      continue;
    for (; !machine->spot && ws_resources_fit(&job->spec->need, &machine->room); places++)
      ws_resources_add(&machine->room, &job->spec->need, -1);
  }
  for (; places < core->properties->headroom_tasks; places++)
    if (!put_in_new(demand, job) && !want_new(demand, job, FALSE, &job->spec->need))
      return;
}

/* Hands over what is wanted, counted by kind. */
void
ws_demand_end(WsDemand *demand)
{
  add_spare(demand);
  for (guint i = 0; i < demand->machines->len; i++) {
    Virtual first = g_array_index(demand->machines, Virtual, i);
    guint count = 0;
    for (guint k = i; first.is_new && k < demand->machines->len; k++) {
      Virtual *other = &g_array_index(demand->machines, Virtual, k);
      if (!other->is_new || other->type != first.type || other->zone != first.zone
          || other->spot != first.spot)
        continue;
      other->is_new = FALSE;
      count++;
    }
    if (count > 0)
      ws_rentals_request(demand->core, first.type, first.zone, first.spot, count);
  }
  ws_rentals_record_intents(demand->core);
  g_array_unref(demand->machines);
  g_free(demand->by_zone);
  g_free(demand);
}

#include "scheduling/ws-candidates.h"
#include "scheduling/ws-scheduling.h"

#include "membership/ws-membership.h"
#include "commit/ws-commit.h"
#include "fleet/ws-fleet.h"
#include "workers/ws-workers.h"
#include "storage/ws-constraints.h"

/* What a machine is worth to a task. */
#define IMAGE_THERE 100.0
#define SPOT 30.0
#define STAYS_ANYWAY 45.0
#define PACKED_GPUS 20.0
#define PACKED_CPUS 5.0
#define SAME_ZONE 25.0
#define SAME_MACHINE 25.0
#define IMAGE_COMING 50.0
#define ROOMY 150.0
/* A gang's tasks wait for the slowest fetch, and keep others' images usable where they are. */
#define SHARED_FETCH 60.0
#define OTHER_GANGS_IMAGE 30.0
#define OTHER_FETCH 20.0
#define IMAGE_FOR_VICTIM 20.0
/* A machine of a larger type than the task needs, where there is a smaller one: larger tasks have
   nowhere else to go, and one small task keeps each of them out. */
#define TOO_LARGE 150.0
/* A machine on which a task without accelerators would take the processors that its free
   accelerators need. */
#define BLOCKS_ACCELERATORS 80.0
/* Boots take up to half as long again as stated. */
#define BOOT_PATIENCE 1.5
/* Jobs of a plan, critical ones aside, for which victims are looked for: each looks at every
   machine with an array's task, and when hundreds wait the first ones are the most urgent anyway.
 */
#define MOST_LOOKS 4

typedef struct {
  WsMachineIndex machine;
  double value;
  gboolean spent; /* no longer has room, or has a task of this very service already */
} Candidate;

struct _WsCandidates {
  WsCapacityMap *map;
  const WsJob *job;
  guint *counts;
  guint only_zone;              /* WS_NONE: any */
  GHashTable *gang_images;      /* of a gang: the images of other gangs; else NULL */
  gint64 smallest;              /* processors of the smallest type that has room for a task */
  GArray *kinds[WS_SLOT_KINDS]; /* of Candidate, the best first; NULL: not looked for yet */
};

/* What is there. */

static gboolean
is_usable(const WsCore *core, const WsMachine *machine)
{
  return machine->is_recorded && machine->type != WS_NO_TYPE && !machine->is_marked
         && !machine->fleet.mark_is_pending && machine->worker.interruption_ms == 0
         && machine->fleet.failed_jobs < 2 && ws_machine_is_up(core, machine)
         && !ws_machine_is_outbound_unreachable(core, machine)
         && !ws_machine_is_inbound_unreachable(core, machine) && machine->owner != WS_NO_NODE;
}

static void
take_forwarded(const WsJob *job, WsMachineIndex machine, gpointer data)
{
  WsCapacityMap *map = data;
  if (job->spec != NULL)
    ws_resources_add(&map->slots[machine].free, &job->spec->need, -1);
}

static void
look_at(WsCapacityMap *map, const WsMachine *machine)
{
  const WsReplica *replica = map->core->replica;
  WsSlot *slot = &map->slots[machine->index];
  gboolean has_array = FALSE, is_freed = FALSE;
  slot->usable = TRUE;
  slot->free = ws_replica_type(replica, machine->type)->capacity;
  ws_resources_add(&slot->free, &machine->used, -1);
  for (guint k = 0; k < machine->tasks->len; k++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, k);
    const WsJob *job = ws_replica_job(replica, ref->job);
    const WsAssignment *assignment = ws_job_assignment(job, ref->task);
    has_array = has_array || job->spec->kind == WS_KIND_ARRAY;
    slot->has_service = slot->has_service || job->spec->kind == WS_KIND_SERVICE;
    if (assignment == NULL
        || !(assignment->is_stop_requested || ws_cancellations_has(map->core, job)))
      continue;
    ws_resources_add(&slot->coming, &job->spec->need, 1);
    is_freed = TRUE;
  }
  if (has_array)
    g_array_append_val(map->busy, machine->index);
  if (is_freed)
    g_array_append_val(map->coming, machine->index);
}

static void
look_at_victims(WsCapacityMap *map)
{
  const WsReplica *replica = map->core->replica;
  for (guint i = 0; i < replica->active->len; i++) {
    const WsJob *job = g_ptr_array_index(replica->active, i);
    if (job->assigned_count == 0 || job->spec->kind != WS_KIND_ARRAY)
      continue;
    map->lowest = MAX(map->lowest, (guint)job->spec->priority);
    map->borrowing = map->borrowing || !job->status.is_guaranteed;
  }
}

/* Machines on which nothing that waits has room aren't looked at job by job: nearly every machine
   has some processors left, and when the cluster is full hundreds of jobs wait. */
void
ws_capacity_map_init(WsCapacityMap *map, WsCore *core, const WsResources *least)
{
  const WsReplica *replica = core->replica;
  *map = (WsCapacityMap){ .core = core, .least = *least, .looks = MOST_LOOKS };
  map->slots = g_new0(WsSlot, MAX(replica->machines->len, 1u));
  map->open = g_array_new(FALSE, FALSE, sizeof(guint));
  map->coming = g_array_new(FALSE, FALSE, sizeof(guint));
  map->busy = g_array_new(FALSE, FALSE, sizeof(guint));
  for (guint i = 0; i < replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(replica, i);
    if (is_usable(core, machine))
      look_at(map, machine);
  }
  ws_assignments_foreach_forwarded(core, take_forwarded, map);
  for (guint i = 0; i < replica->machines->len; i++) {
    if (map->slots[i].usable && ws_resources_fit(least, &map->slots[i].free))
      g_array_append_val(map->open, i);
  }
  map->steps = replica->machines->len;
  look_at_victims(map);
}

void
ws_capacity_map_clear(WsCapacityMap *map)
{
  g_array_unref(map->open);
  g_array_unref(map->coming);
  g_array_unref(map->busy);
  g_free(map->slots);
}

/* What suits the job. */

/* Whether the task would leave the machine's free accelerators with less than their share of its
   processors or memory. */
static gboolean
blocks_accelerators(const WsResources *room, const WsResources *free, const WsResources *need)
{
  if (need->gpus > 0 || free->gpus <= 0)
    return FALSE;
  return (free->cpus - need->cpus) * room->gpus < free->gpus * room->cpus
         || (free->memory - need->memory) * room->gpus < free->gpus * room->memory;
}

/* How much a gang that has to fetch its image likes the machine: the more processors it has beside
   the share of its free accelerators, the more gangs to come find the image there and have room. */
static double
roominess(const WsResources *room, const WsResources *free)
{
  gint64 reserved = room->gpus > 0 ? free->gpus * room->cpus / room->gpus : 0;
  return room->cpus > 0 ? (double)MAX(free->cpus - reserved, 0) / (double)room->cpus : 0.0;
}

/* What the machine is worth to a gang that has to fetch its image there. */
static double
worth_of_fetching(const WsCandidates *places, const WsMachine *machine)
{
  const WsReplica *replica = places->map->core->replica;
  const WsResources *room = &ws_replica_type(replica, machine->type)->capacity;
  double value = ROOMY * roominess(room, &places->map->slots[machine->index].free);
  for (guint i = 0; i < machine->worker.images->len; i++) {
    WsImageIndex image = g_array_index(machine->worker.images, guint, i);
    if (g_hash_table_contains(places->gang_images, GUINT_TO_POINTER(image)))
      value -= OTHER_GANGS_IMAGE;
  }
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsAssignment *assignment
        = ws_job_assignment(ws_replica_job(replica, ref->job), ref->task);
    if (assignment != NULL && assignment->state <= WS_TASK_FETCHING)
      value -= SHARED_FETCH;
  }
  return value;
}

static double
worth(const WsCandidates *places, const WsMachine *machine)
{
  const WsReplica *replica = places->map->core->replica;
  const WsJob *job = places->job;
  const WsResources *room = &ws_replica_type(replica, machine->type)->capacity;
  const WsSlot *slot = &places->map->slots[machine->index];
  gboolean is_service = job->spec->kind == WS_KIND_SERVICE;
  double value = ws_machine_has_image(machine, job->image) ? IMAGE_THERE : 0.0;
  if (job->spec->spot && machine->spot)
    value += SPOT;
  if (room->cpus > places->smallest)
    value -= TOO_LARGE;
  if (blocks_accelerators(room, &slot->free, &job->spec->need))
    value -= BLOCKS_ACCELERATORS;
  if (!is_service && slot->has_service)
    value += STAYS_ANYWAY; /* it stays rented anyway */
  if (places->gang_images != NULL && !ws_machine_has_image(machine, job->image))
    value += worth_of_fetching(places, machine);
  if (room->gpus > 0)
    value += PACKED_GPUS * (1.0 - (double)slot->free.gpus / (double)room->gpus);
  if (room->cpus > 0)
    value += PACKED_CPUS * (1.0 - (double)slot->free.cpus / (double)room->cpus);
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *other = ws_replica_job(replica, ref->job);
    const WsAssignment *assignment = ws_job_assignment(other, ref->task);
    if (is_service && other == job)
      value -= SAME_MACHINE;
    if (assignment != NULL && assignment->state <= WS_TASK_FETCHING)
      value += other->image == job->image ? IMAGE_COMING : -OTHER_FETCH;
  }
  return value;
}

/* The machine may be used by the home of the job. */
static gboolean
in_part(const WsReplica *replica, const WsJob *job, const WsMachine *machine)
{
  return job->coordinator == WS_NO_NODE || !ws_epoch_has_node(&replica->epoch, job->coordinator)
         || machine->owner == job->coordinator;
}

gboolean
ws_candidates_is_eligible(const WsCandidates *places, const WsMachine *machine)
{
  const WsReplica *replica = places->map->core->replica;
  const WsJob *job = places->job;
  return places->map->slots[machine->index].usable
         && ws_constraints_allow_machine(replica, job->spec, job->zone, machine)
         && machine->fleet.last_failed_job != job->index && in_part(replica, job, machine);
}

static gboolean
fits(const WsCandidates *places, WsSlotKind kind, WsMachineIndex machine)
{
  const WsSlot *slot = &places->map->slots[machine];
  WsResources room = slot->free;
  if (kind >= WS_SLOT_BY_PREEMPTION)
    return TRUE; /* the cost has said so */
  if (kind != WS_SLOT_FREE)
    ws_resources_add(&room, &slot->coming, 1);
  return ws_resources_fit(&places->job->spec->need, &room);
}

/* Whether a machine that is rented now would do for the job: then nothing is stopped for it, since
   what is stopped is work lost. */
static gboolean
can_wait_for_boot(const WsCore *core, const WsJob *job)
{
  const WsReplica *replica = core->replica;
  double allowed_s = ws_job_allowed_s(replica, job);
  double left_s = allowed_s - (double)(core->wall - job->accepted_ms) / 1000.0
                  - ws_estimator_run_s(core, job) - ws_job_fetch_s(replica, job);
  if (allowed_s < 0.0)
    return FALSE;
  for (guint t = 0; t < replica->catalog->len; t++) {
    const WsType *type = ws_replica_type(replica, t);
    if (!ws_constraints_allow_type(job->spec, type)
        || !ws_resources_fit(&job->spec->need, &type->capacity)
        || left_s < BOOT_PATIENCE * type->boot_s)
      continue;
    for (char **zone = type->zones; *zone != NULL; zone++) {
      guint z = ws_replica_find_zone(replica, *zone);
      if (z != WS_NONE && (job->spec->zone == NULL || job->zone == z)
          && (!ws_rentals_no_capacity(core, t, z, FALSE)
              || (job->spec->spot && !ws_rentals_no_capacity(core, t, z, TRUE))))
        return TRUE;
    }
  }
  return FALSE;
}

gint64
ws_smallest_fitting_cpus(const WsReplica *replica, const WsJobSpec *spec)
{
  gint64 smallest = G_MAXINT64;
  for (guint t = 0; t < replica->catalog->len; t++) {
    const WsType *type = ws_replica_type(replica, t);
    if (ws_constraints_allow_type(spec, type) && ws_resources_fit(&spec->need, &type->capacity))
      smallest = MIN(smallest, type->capacity.cpus);
  }
  return smallest;
}

static void
consider(WsCandidates *places, WsSlotKind kind, const WsMachine *machine)
{
  const WsJob *job = places->job;
  WsCore *core = places->map->core;
  Candidate candidate = { machine->index, 0.0, FALSE };
  gboolean needs_image = kind == WS_SLOT_WITH_IMAGE || kind == WS_SLOT_BY_PREEMPTION_WITH_IMAGE;
  if (!ws_candidates_is_eligible(places, machine) || !fits(places, kind, machine->index)
      || (needs_image && !ws_machine_has_image(machine, job->image)))
    return;
  if (kind >= WS_SLOT_BY_PREEMPTION) {
    double cost = ws_preempt_cost(core, job, machine, &places->map->slots[machine->index]);
    if (cost < 0.0)
      return;
    candidate.value = (ws_machine_has_image(machine, job->image) ? IMAGE_FOR_VICTIM : 0.0) - cost;
  } else {
    candidate.value = worth(places, machine);
  }
  g_array_append_val(places->kinds[kind], candidate);
}

static gint
by_value(gconstpointer a, gconstpointer b)
{
  const Candidate *first = a, *second = b;
  if (first->value != second->value)
    return first->value > second->value ? -1 : 1;
  return first->machine < second->machine ? -1 : 1;
}

static gboolean
has_victims(const WsCapacityMap *map, const WsJob *job)
{
  return (guint)job->spec->priority < map->lowest || (job->status.is_guaranteed && map->borrowing);
}

static const GArray *
machines_of(const WsCapacityMap *map, WsSlotKind kind)
{
  if (kind == WS_SLOT_FREE)
    return map->open;
  return kind >= WS_SLOT_BY_PREEMPTION ? map->busy : map->coming;
}

static gboolean
may_look_for_victims(WsCapacityMap *map, const WsJob *job)
{
  if (!has_victims(map, job))
    return FALSE;
  if (job->spec->priority == WS_CRITICAL)
    return TRUE;
  if (map->looks == 0 || can_wait_for_boot(map->core, job))
    return FALSE;
  map->looks--;
  return TRUE;
}

/* What the jobs before this one have filled up. */
static void
drop_full(WsCapacityMap *map)
{
  for (guint i = map->open->len; i-- > 0;)
    if (!ws_resources_fit(&map->least, &map->slots[g_array_index(map->open, guint, i)].free))
      g_array_remove_index_fast(map->open, i);
}

static void
look_for(WsCandidates *places, WsSlotKind kind)
{
  WsCapacityMap *map = places->map;
  places->kinds[kind] = g_array_new(FALSE, FALSE, sizeof(Candidate));
  if (kind >= WS_SLOT_BY_PREEMPTION && !may_look_for_victims(map, places->job))
    return;
  if (kind == WS_SLOT_FREE)
    drop_full(map);
  const GArray *machines = machines_of(map, kind);
  for (guint i = 0; i < machines->len; i++)
    consider(places, kind,
             ws_replica_machine(map->core->replica, g_array_index(machines, guint, i)));
  map->steps += machines->len;
  g_array_sort(places->kinds[kind], by_value);
}

static GHashTable *
find_gang_images(const WsReplica *replica)
{
  GHashTable *images = g_hash_table_new(NULL, NULL);
  for (guint i = 0; i < replica->active->len; i++) {
    const WsJob *job = g_ptr_array_index(replica->active, i);
    if (job->spec->kind == WS_KIND_GANG)
      g_hash_table_add(images, GUINT_TO_POINTER(job->image));
  }
  return images;
}

WsCandidates *
ws_candidates_new(WsCapacityMap *map, const WsJob *job, guint *counts)
{
  WsCandidates *places = g_new0(WsCandidates, 1);
  *places = (WsCandidates){ .map = map,
                            .job = job,
                            .counts = counts,
                            .only_zone = WS_NONE,
                            .smallest = ws_smallest_fitting_cpus(map->core->replica, job->spec) };
  if (job->spec->kind == WS_KIND_GANG)
    places->gang_images = find_gang_images(map->core->replica);
  return places;
}

void
ws_candidates_free(WsCandidates *places)
{
  g_clear_pointer(&places->gang_images, g_hash_table_unref);
  for (guint kind = 0; kind < WS_SLOT_KINDS; kind++)
    if (places->kinds[kind] != NULL)
      g_array_unref(places->kinds[kind]);
  g_free(places);
}

/* The best candidate that is left: the first one of each zone is compared, since what a zone is
   worth depends on how many of the job's tasks are there already. */
static Candidate *
best_left(WsCandidates *places, WsSlotKind kind)
{
  const WsCore *core = places->map->core;
  guint zones = core->settings->zones->len, seen = 0;
  gboolean is_service = places->job->spec->kind == WS_KIND_SERVICE;
  g_autofree gboolean *seen_zone = g_new0(gboolean, zones);
  Candidate *best = NULL;
  double most = 0.0;
  for (guint i = 0; i < places->kinds[kind]->len && seen < zones; i++) {
    Candidate *candidate = &g_array_index(places->kinds[kind], Candidate, i);
    WsZoneIndex zone = ws_replica_machine(core->replica, candidate->machine)->zone;
    if (candidate->spent || seen_zone[zone])
      continue;
    if (!fits(places, kind, candidate->machine)) {
      candidate->spent = TRUE;
      continue;
    }
    seen_zone[zone] = TRUE;
    seen++;
    if (places->only_zone != WS_NONE && zone != places->only_zone)
      continue;
    double value = candidate->value - (is_service ? SAME_ZONE * places->counts[zone] : 0.0);
    if (!ws_constraints_allow_zone(places->job, places->counts, zones, zone)
        || (best != NULL && value <= most))
      continue;
    best = candidate;
    most = value;
  }
  return best;
}

/* A service or gang comes back to the machines it has taken when there are no others. */
static gboolean
renew(WsCandidates *places, WsSlotKind kind)
{
  gboolean any = FALSE;
  if (places->job->spec->kind == WS_KIND_ARRAY || kind >= WS_SLOT_BY_PREEMPTION)
    return FALSE;
  for (guint i = 0; i < places->kinds[kind]->len; i++) {
    Candidate *candidate = &g_array_index(places->kinds[kind], Candidate, i);
    gboolean is_back = candidate->spent && fits(places, kind, candidate->machine);
    candidate->spent = candidate->spent && !is_back;
    any = any || is_back;
  }
  return any;
}

static Candidate *
find_best(WsCandidates *places, WsSlotKind kind)
{
  if (places->kinds[kind] == NULL)
    look_for(places, kind);
  Candidate *best = best_left(places, kind);
  return best == NULL && renew(places, kind) ? best_left(places, kind) : best;
}

WsMachine *
ws_candidates_peek(WsCandidates *places, WsSlotKind kind)
{
  const Candidate *best = find_best(places, kind);
  return best != NULL ? ws_replica_machine(places->map->core->replica, best->machine) : NULL;
}

WsMachine *
ws_candidates_take(WsCandidates *places, WsSlotKind kind)
{
  Candidate *best = find_best(places, kind);
  if (best == NULL)
    return NULL;
  WsMachine *machine = ws_replica_machine(places->map->core->replica, best->machine);
  best->spent = kind >= WS_SLOT_BY_PREEMPTION || places->job->spec->kind != WS_KIND_ARRAY;
  ws_resources_add(&places->map->slots[best->machine].free, &places->job->spec->need, -1);
  places->counts[machine->zone]++;
  return machine;
}

void
ws_candidates_restrict_to_zone(WsCandidates *places, WsZoneIndex zone)
{
  places->only_zone = zone;
}

gboolean
ws_candidates_take_again(WsCandidates *places, const WsMachine *machine)
{
  const WsReplica *replica = places->map->core->replica;
  WsResources *free = &places->map->slots[machine->index].free;
  const WsResources *need = &places->job->spec->need;
  guint zones = places->map->core->settings->zones->len;
  if (!ws_resources_fit(need, free)
      || blocks_accelerators(&ws_replica_type(replica, machine->type)->capacity, free, need)
      || !ws_constraints_allow_zone(places->job, places->counts, zones, machine->zone))
    return FALSE;
  ws_resources_add(free, need, -1);
  places->counts[machine->zone]++;
  return TRUE;
}

void
ws_candidates_release(WsCandidates *places, const GArray *machines)
{
  for (guint i = 0; i < machines->len; i++) {
    guint index = g_array_index(machines, guint, i);
    const WsMachine *machine = ws_replica_machine(places->map->core->replica, index);
    ws_resources_add(&places->map->slots[index].free, &places->job->spec->need, 1);
    places->counts[machine->zone]--;
  }
}

gboolean
ws_candidates_would_fit(const WsCandidates *places, const WsMachine *machine,
                        const WsResources *freed)
{
  const WsSlot *slot = &places->map->slots[machine->index];
  guint zones = places->map->core->settings->zones->len;
  WsResources room = slot->free;
  ws_resources_add(&room, &slot->coming, 1);
  ws_resources_add(&room, freed, 1);
  return ws_candidates_is_eligible(places, machine)
         && ws_resources_fit(&places->job->spec->need, &room)
         && ws_constraints_allow_zone(places->job, places->counts, zones, machine->zone);
}

/* The candidate machines for the tasks of one job, the best first. */
#include "scheduling/ws-candidates.h"

#include "scheduling/ws-placement-score.h"
#include "commit/ws-commit.h"
#include "scheduling/ws-preempt.h"
#include "fleet/ws-fleet.h"
#include "storage/ws-constraints.h"
#include "workers/ws-workers.h"

/* A boot takes up to this multiple of the boot time stated for the machine type. */
#define BOOT_TIME_SAFETY_FACTOR 1.5

typedef struct {
  WsMachineIndex machine;
  double score;
  /* The machine no longer fits a task, was taken by preemption, or was taken for a service or a
     gang, which use another machine for each task as long as there is one. */
  gboolean is_excluded;
} Candidate;

struct _WsCandidates {
  WsCapacityMap *map;
  const WsJob *job;
  guint *tasks_by_zone;
  WsZoneIndex only_zone; /* WS_NO_ZONE: any */
  WsPlacementScorer scorer;
  GArray *by_kind[WS_SLOT_KINDS]; /* of Candidate, the best first; NULL: not searched yet */
};

static gboolean
is_by_preemption(WsSlotKind kind)
{
  return kind >= WS_SLOT_BY_PREEMPTION;
}

static gboolean
needs_cached_image(WsSlotKind kind)
{
  return kind == WS_SLOT_FREEING_WITH_IMAGE || kind == WS_SLOT_BY_PREEMPTION_WITH_IMAGE;
}

static WsMachine *
machine_at(const WsCandidates *candidates, WsMachineIndex index)
{
  return ws_replica_machine(candidates->map->core->replica, index);
}

static guint
zone_count(const WsCandidates *candidates)
{
  return candidates->map->core->settings->zones->len;
}

static gboolean
job_allows_zone(const WsCandidates *candidates, WsZoneIndex zone)
{
  return ws_constraints_allow_zone(candidates->job, candidates->tasks_by_zone,
                                   zone_count(candidates), zone);
}

/* Whether the node that plans the job may use the machine. A coordinating node uses only the
   machines of its own shard. The leader, which plans jobs without a coordinating node, uses all. */
static gboolean
is_in_shard(const WsReplica *replica, const WsJob *job, const WsMachine *machine)
{
  return job->coordinator == WS_NO_NODE || !ws_epoch_has_node(&replica->epoch, job->coordinator)
         || machine->owner == job->coordinator;
}

gboolean
ws_candidates_is_eligible(const WsCandidates *candidates, const WsMachine *machine)
{
  const WsReplica *replica = candidates->map->core->replica;
  const WsJob *job = candidates->job;
  return ws_capacity_map_at(candidates->map, machine->index)->is_usable
         && ws_constraints_allow_machine(replica, job->spec, job->zone, machine)
         && machine->fleet.last_failed_job != job->index
         && !ws_releases_may_be_unreaped(candidates->map->core, machine, job)
         && is_in_shard(replica, job, machine);
}

/* Whether the machine has capacity of the kind for one more task. Always TRUE for preemption, since
   add_if_candidate() adds only machines with enough victims. */
static gboolean
has_slot(const WsCandidates *candidates, WsSlotKind kind, WsMachineIndex machine)
{
  const WsMachineCapacity *capacity = ws_capacity_map_at(candidates->map, machine);
  WsResources available = capacity->free;
  if (is_by_preemption(kind))
    return TRUE;
  if (kind != WS_SLOT_FREE)
    ws_resources_add(&available, &capacity->freeing, 1);
  return ws_resources_fit(&candidates->job->spec->need, &available);
}

/* Whether a machine of the type can be requested in a zone that the job allows: rentals of the type
   aren't in back-off there. */
static gboolean
can_be_requested(const WsCore *core, const WsJob *job, WsTypeIndex type)
{
  const WsReplica *replica = core->replica;
  for (char **name = ws_replica_type(replica, type)->zones; *name != NULL; name++) {
    WsZoneIndex zone = ws_replica_find_zone(replica, *name);
    if (zone == WS_NO_ZONE || (job->spec->zone != NULL && job->zone != zone))
      continue;
    if (!ws_rentals_is_backing_off(core, type, zone, FALSE)
        || (job->spec->allows_spot && !ws_rentals_is_backing_off(core, type, zone, TRUE)))
      return TRUE;
  }
  return FALSE;
}

/* Whether a machine that is requested now would be up in time for the job. In that case the job
   preempts no tasks, since the victims would lose their work. */
static gboolean
can_wait_for_boot(const WsCore *core, const WsJob *job)
{
  const WsReplica *replica = core->replica;
  double allowed_s = ws_job_time_limit_s(replica, job);
  double left_s = allowed_s - (double)(core->wall_ms - job->accepted_ms) / 1000.0
                  - ws_estimator_run_time_s(core, job) - ws_job_image_fetch_s(replica, job);
  if (allowed_s < 0.0)
    return FALSE;
  for (WsTypeIndex t = 0; t < replica->catalog->len; t++) {
    const WsType *type = ws_replica_type(replica, t);
    if (ws_constraints_task_fits_type(job->spec, type)
        && left_s >= BOOT_TIME_SAFETY_FACTOR * type->boot_s && can_be_requested(core, job, t))
      return TRUE;
  }
  return FALSE;
}

static gboolean
may_have_victims(const WsCapacityMap *map, const WsJob *job)
{
  return (guint)job->spec->priority < map->lowest_array_priority
         || (job->status.is_guaranteed && map->has_unguaranteed_arrays);
}

/* Whether to search for victims for the job. A plan searches for every critical job, and for the
   first few other jobs that can't wait for a machine to boot. */
static gboolean
may_search_victims(WsCapacityMap *map, const WsJob *job)
{
  if (!may_have_victims(map, job))
    return FALSE;
  if (job->spec->priority == WS_CRITICAL)
    return TRUE;
  if (map->victim_searches_left == 0 || can_wait_for_boot(map->core, job))
    return FALSE;
  map->victim_searches_left--;
  return TRUE;
}

/* Adds the machine if it is a candidate of the kind. */
static void
add_if_candidate(WsCandidates *candidates, WsSlotKind kind, const WsMachine *machine)
{
  const WsJob *job = candidates->job;
  const WsCapacityMap *map = candidates->map;
  Candidate candidate = { machine->index, 0.0, FALSE };
  if (!ws_candidates_is_eligible(candidates, machine) || !has_slot(candidates, kind, machine->index)
      || (needs_cached_image(kind) && !ws_machine_has_image(machine, job->image)))
    return;
  if (is_by_preemption(kind)) {
    double cost = ws_preempt_cost(map->core, job, machine, ws_capacity_map_at(map, machine->index));
    if (cost < 0.0)
      return;
    candidate.score = ws_placement_score_preemption(&candidates->scorer, machine, cost);
  } else {
    candidate.score = ws_placement_score(&candidates->scorer, machine);
  }
  g_array_append_val(candidates->by_kind[kind], candidate);
}

static gint
compare_by_score(gconstpointer a, gconstpointer b)
{
  const Candidate *first = a, *second = b;
  if (first->score != second->score)
    return first->score > second->score ? -1 : 1;
  return first->machine < second->machine ? -1 : 1;
}

static const GArray *
machines_to_examine(const WsCapacityMap *map, WsSlotKind kind)
{
  if (kind == WS_SLOT_FREE)
    return map->open;
  return is_by_preemption(kind) ? map->machines_with_arrays : map->freeing;
}

static void
search_machines(WsCandidates *candidates, WsSlotKind kind)
{
  WsCapacityMap *map = candidates->map;
  candidates->by_kind[kind] = g_array_new(FALSE, FALSE, sizeof(Candidate));
  if (is_by_preemption(kind) && !may_search_victims(map, candidates->job))
    return;
  if (kind == WS_SLOT_FREE)
    ws_capacity_map_prune_open(map);
  const GArray *machines = machines_to_examine(map, kind);
  for (guint i = 0; i < machines->len; i++)
    add_if_candidate(candidates, kind,
                     machine_at(candidates, g_array_index(machines, WsMachineIndex, i)));
  map->machines_examined += machines->len;
  g_array_sort(candidates->by_kind[kind], compare_by_score);
}

WsCandidates *
ws_candidates_new(WsCapacityMap *map, const WsJob *job, guint *tasks_by_zone)
{
  WsCandidates *candidates = g_new0(WsCandidates, 1);
  candidates->map = map;
  candidates->job = job;
  candidates->tasks_by_zone = tasks_by_zone;
  candidates->only_zone = WS_NO_ZONE;
  ws_placement_scorer_init(&candidates->scorer, map, job);
  return candidates;
}

void
ws_candidates_free(WsCandidates *candidates)
{
  ws_placement_scorer_clear(&candidates->scorer);
  for (guint kind = 0; kind < WS_SLOT_KINDS; kind++)
    g_clear_pointer(&candidates->by_kind[kind], g_array_unref);
  g_free(candidates);
}

/* Excludes the candidate if its machine no longer fits a task. Returns whether it remains. */
static gboolean
is_remaining(const WsCandidates *candidates, WsSlotKind kind, Candidate *candidate)
{
  if (!candidate->is_excluded)
    candidate->is_excluded = !has_slot(candidates, kind, candidate->machine);
  return !candidate->is_excluded;
}

/* Whether both the restriction to one zone and the job's constraints allow a task in the zone. */
static gboolean
may_place_in_zone(const WsCandidates *candidates, WsZoneIndex zone)
{
  return (candidates->only_zone == WS_NO_ZONE || zone == candidates->only_zone)
         && job_allows_zone(candidates, zone);
}

/* Returns the best candidate that isn't excluded, or NULL. The penalty of a zone depends on the
   current number of the job's tasks there, so the best candidate of each zone is found first, and
   these are compared by score less penalty. */
static Candidate *
find_best_remaining(WsCandidates *candidates, WsSlotKind kind)
{
  GArray *candidates_of_kind = candidates->by_kind[kind];
  guint zones = zone_count(candidates), zones_seen = 0;
  g_autofree gboolean *is_zone_seen = g_new0(gboolean, zones);
  Candidate *best = NULL;
  double best_score = 0.0;
  for (guint i = 0; i < candidates_of_kind->len && zones_seen < zones; i++) {
    Candidate *candidate = &g_array_index(candidates_of_kind, Candidate, i);
    WsZoneIndex zone = machine_at(candidates, candidate->machine)->zone;
    if (is_zone_seen[zone] || !is_remaining(candidates, kind, candidate))
      continue;
    is_zone_seen[zone] = TRUE;
    zones_seen++;
    double score = candidate->score
                   - ws_placement_zone_penalty(candidates->job, candidates->tasks_by_zone[zone]);
    if (!may_place_in_zone(candidates, zone) || (best != NULL && score <= best_score))
      continue;
    best = candidate;
    best_score = score;
  }
  return best;
}

/* Makes the machines that were taken for a service or gang candidates again. Used when there is no
   other candidate. Returns whether any of these machines fits another task. */
static gboolean
readmit_excluded(WsCandidates *candidates, WsSlotKind kind)
{
  gboolean has_readmitted = FALSE;
  if (candidates->job->spec->kind == WS_KIND_ARRAY || is_by_preemption(kind))
    return FALSE;
  for (guint i = 0; i < candidates->by_kind[kind]->len; i++) {
    Candidate *candidate = &g_array_index(candidates->by_kind[kind], Candidate, i);
    if (!candidate->is_excluded || !has_slot(candidates, kind, candidate->machine))
      continue;
    candidate->is_excluded = FALSE;
    has_readmitted = TRUE;
  }
  return has_readmitted;
}

static Candidate *
find_best(WsCandidates *candidates, WsSlotKind kind)
{
  if (candidates->by_kind[kind] == NULL)
    search_machines(candidates, kind);
  Candidate *best = find_best_remaining(candidates, kind);
  if (best == NULL && readmit_excluded(candidates, kind))
    best = find_best_remaining(candidates, kind);
  return best;
}

WsMachine *
ws_candidates_peek(WsCandidates *candidates, WsSlotKind kind)
{
  const Candidate *best = find_best(candidates, kind);
  return best != NULL ? machine_at(candidates, best->machine) : NULL;
}

/* Subtracts the capacity for one task and adds the task to the number in the machine's zone. */
static void
allocate_task(WsCandidates *candidates, const WsMachine *machine)
{
  WsResources *free = &ws_capacity_map_at(candidates->map, machine->index)->free;
  ws_resources_add(free, &candidates->job->spec->need, -1);
  candidates->tasks_by_zone[machine->zone]++;
}

static void
deallocate_task(WsCandidates *candidates, const WsMachine *machine)
{
  WsResources *free = &ws_capacity_map_at(candidates->map, machine->index)->free;
  ws_resources_add(free, &candidates->job->spec->need, 1);
  candidates->tasks_by_zone[machine->zone]--;
}

WsMachine *
ws_candidates_take(WsCandidates *candidates, WsSlotKind kind)
{
  Candidate *best = find_best(candidates, kind);
  if (best == NULL)
    return NULL;
  WsMachine *machine = machine_at(candidates, best->machine);
  best->is_excluded = is_by_preemption(kind) || candidates->job->spec->kind != WS_KIND_ARRAY;
  allocate_task(candidates, machine);
  return machine;
}

void
ws_candidates_restrict_to_zone(WsCandidates *candidates, WsZoneIndex zone)
{
  candidates->only_zone = zone;
}

gboolean
ws_candidates_take_on_machine(WsCandidates *candidates, const WsMachine *machine)
{
  const WsResources *free = &ws_capacity_map_at(candidates->map, machine->index)->free;
  const WsResources *need = &candidates->job->spec->need;
  const WsType *type = ws_replica_type(candidates->map->core->replica, machine->type);
  if (!ws_resources_fit(need, free) || ws_placement_blocks_accelerators(&type->capacity, free, need)
      || !job_allows_zone(candidates, machine->zone))
    return FALSE;
  allocate_task(candidates, machine);
  return TRUE;
}

void
ws_candidates_release(WsCandidates *candidates, const GArray *machines)
{
  for (guint i = 0; i < machines->len; i++)
    deallocate_task(candidates, machine_at(candidates, g_array_index(machines, WsMachineIndex, i)));
}

gboolean
ws_candidates_would_fit(const WsCandidates *candidates, const WsMachine *machine,
                        const WsResources *freed)
{
  const WsMachineCapacity *capacity = ws_capacity_map_at(candidates->map, machine->index);
  WsResources available = capacity->free;
  ws_resources_add(&available, &capacity->freeing, 1);
  ws_resources_add(&available, freed, 1);
  return ws_candidates_is_eligible(candidates, machine)
         && ws_resources_fit(&candidates->job->spec->need, &available)
         && job_allows_zone(candidates, machine->zone);
}

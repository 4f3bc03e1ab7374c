/* Placement score: how well a machine suits the next task of a job. */
#include "scheduling/ws-placement-score.h"

#include "scheduling/ws-type-fit.h"
#include "workers/ws-workers.h"

/* Image locality. */
#define CACHED_IMAGE_WEIGHT 100.0
#define FETCHING_SAME_IMAGE_WEIGHT 50.0 /* for each task that is fetching the image there */
#define FETCHING_OTHER_IMAGE_PENALTY 20.0
#define VICTIM_CACHED_IMAGE_WEIGHT 20.0 /* if tasks must be preempted first */
/* Price. A service keeps its machine rented, so other tasks on that machine cost nothing extra. */
#define SPOT_WEIGHT 30.0
#define BESIDE_SERVICE_WEIGHT 45.0
/* Bin packing. These are multiplied by the share of the machine that is in use. */
#define PACKED_GPUS_WEIGHT 20.0
#define PACKED_CPUS_WEIGHT 5.0
/* Anti-affinity for services, so that one failure doesn't stop several tasks of a service. Each
   penalty applies for every task of the service in the same zone or on the same machine. */
#define SAME_ZONE_PENALTY 25.0
#define SAME_MACHINE_PENALTY 25.0
/* For a gang that has to fetch its image. The gang waits for its slowest fetch, and machines that
   have the images of other gangs should stay free for those gangs. */
#define FETCH_FREE_CPUS_WEIGHT 150.0
#define CONCURRENT_FETCH_PENALTY 60.0
#define OTHER_GANG_IMAGE_PENALTY 30.0
/* For a machine of a larger type than the smallest that fits the task. Larger tasks fit only these
   machines, and a small task there can leave them too little capacity. */
#define OVERSIZED_TYPE_PENALTY 150.0
/* For a machine where the task would block free accelerators, see
   ws_placement_blocks_accelerators(). */
#define BLOCKED_ACCELERATORS_PENALTY 80.0

static GHashTable *
collect_gang_images(const WsReplica *replica)
{
  GHashTable *images = g_hash_table_new(NULL, NULL);
  for (guint i = 0; i < replica->active_jobs->len; i++) {
    const WsJob *job = g_ptr_array_index(replica->active_jobs, i);
    if (job->spec->kind == WS_KIND_GANG)
      g_hash_table_add(images, GUINT_TO_POINTER(job->image));
  }
  return images;
}

void
ws_placement_scorer_init(WsPlacementScorer *scorer, const WsCapacityMap *map, const WsJob *job)
{
  const WsReplica *replica = map->core->replica;
  *scorer = (WsPlacementScorer){
    .map = map,
    .job = job,
    .smallest_fitting_cpus = ws_type_smallest_fitting_cpus(replica, job->spec),
  };
  if (job->spec->kind == WS_KIND_GANG)
    scorer->gang_images = collect_gang_images(replica);
}

void
ws_placement_scorer_clear(WsPlacementScorer *scorer)
{
  g_clear_pointer(&scorer->gang_images, g_hash_table_unref);
}

gboolean
ws_placement_blocks_accelerators(const WsResources *capacity, const WsResources *free,
                                 const WsResources *need)
{
  if (need->gpus > 0 || free->gpus <= 0)
    return FALSE;
  return (free->cpus - need->cpus) * capacity->gpus < free->gpus * capacity->cpus
         || (free->memory - need->memory) * capacity->gpus < free->gpus * capacity->memory;
}

/* Returns the share of the machine's CPUs that are free, not counting the proportional share of its
   free accelerators. The larger it is, the more later gangs can use the image fetched there. */
static double
free_cpu_share(const WsResources *capacity, const WsResources *free)
{
  gint64 reserved = capacity->gpus > 0 ? free->gpus * capacity->cpus / capacity->gpus : 0;
  return capacity->cpus > 0 ? (double)MAX(free->cpus - reserved, 0) / (double)capacity->cpus : 0.0;
}

/* Returns the terms of the score for a machine where a gang would have to fetch its image. */
static double
gang_fetch_score(const WsPlacementScorer *scorer, const WsMachine *machine)
{
  const WsReplica *replica = scorer->map->core->replica;
  const WsResources *capacity = &ws_replica_type(replica, machine->type)->capacity;
  const WsResources *free = &ws_capacity_map_at(scorer->map, machine->index)->free;
  double score = FETCH_FREE_CPUS_WEIGHT * free_cpu_share(capacity, free);
  for (guint i = 0; i < machine->worker.images->len; i++) {
    WsImageIndex image = g_array_index(machine->worker.images, WsImageIndex, i);
    if (g_hash_table_contains(scorer->gang_images, GUINT_TO_POINTER(image)))
      score -= OTHER_GANG_IMAGE_PENALTY;
  }
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsAssignment *assignment
        = ws_job_assignment(ws_replica_job(replica, ref->job), ref->task);
    if (assignment != NULL && assignment->state <= WS_TASK_FETCHING)
      score -= CONCURRENT_FETCH_PENALTY;
  }
  return score;
}

/* Adds the terms for bin packing to @score. Takes the score so far, rather than returning the sum
   of its terms, since floating-point sums depend on the order of their terms. */
static double
add_bin_packing(double score, const WsResources *capacity, const WsResources *free)
{
  if (capacity->gpus > 0)
    score += PACKED_GPUS_WEIGHT * (1.0 - (double)free->gpus / (double)capacity->gpus);
  if (capacity->cpus > 0)
    score += PACKED_CPUS_WEIGHT * (1.0 - (double)free->cpus / (double)capacity->cpus);
  return score;
}

/* Adds the terms for the tasks that are already on the machine to @score. */
static double
add_colocated_tasks(double score, const WsPlacementScorer *scorer, const WsMachine *machine)
{
  const WsReplica *replica = scorer->map->core->replica;
  const WsJob *job = scorer->job;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *other = ws_replica_job(replica, ref->job);
    const WsAssignment *assignment = ws_job_assignment(other, ref->task);
    if (job->spec->kind == WS_KIND_SERVICE && other == job)
      score -= SAME_MACHINE_PENALTY;
    if (assignment != NULL && assignment->state <= WS_TASK_FETCHING)
      score += other->image == job->image ? FETCHING_SAME_IMAGE_WEIGHT
                                          : -FETCHING_OTHER_IMAGE_PENALTY;
  }
  return score;
}

double
ws_placement_score(const WsPlacementScorer *scorer, const WsMachine *machine)
{
  const WsJob *job = scorer->job;
  const WsType *type = ws_replica_type(scorer->map->core->replica, machine->type);
  const WsMachineCapacity *machine_capacity = ws_capacity_map_at(scorer->map, machine->index);
  double score = ws_machine_has_image(machine, job->image) ? CACHED_IMAGE_WEIGHT : 0.0;
  if (job->spec->allows_spot && machine->is_spot)
    score += SPOT_WEIGHT;
  if (type->capacity.cpus > scorer->smallest_fitting_cpus)
    score -= OVERSIZED_TYPE_PENALTY;
  if (ws_placement_blocks_accelerators(&type->capacity, &machine_capacity->free, &job->spec->need))
    score -= BLOCKED_ACCELERATORS_PENALTY;
  if (job->spec->kind != WS_KIND_SERVICE && machine_capacity->has_service)
    score += BESIDE_SERVICE_WEIGHT;
  if (scorer->gang_images != NULL && !ws_machine_has_image(machine, job->image))
    score += gang_fetch_score(scorer, machine);
  score = add_bin_packing(score, &type->capacity, &machine_capacity->free);
  return add_colocated_tasks(score, scorer, machine);
}

double
ws_placement_score_preemption(const WsPlacementScorer *scorer, const WsMachine *machine,
                              double cost)
{
  gboolean has_image = ws_machine_has_image(machine, scorer->job->image);
  return (has_image ? VICTIM_CACHED_IMAGE_WEIGHT : 0.0) - cost;
}

double
ws_placement_zone_penalty(const WsJob *job, guint tasks)
{
  return job->spec->kind == WS_KIND_SERVICE ? SAME_ZONE_PENALTY * tasks : 0.0;
}

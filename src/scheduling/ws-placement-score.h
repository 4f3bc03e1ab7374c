/**
 * Placement score: how well a machine suits a job's next task.
 *
 * A higher score is better. The score of a machine is a sum of weights, each for one reason; the
 * unit has no meaning beyond the comparison of machines for the same job. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-capacity-map.h"

/** Scores machines for one job. */
typedef struct {
  const WsCapacityMap *map;
  const WsJob *job;
  gint64 smallest_fitting_cpus; /**< of the smallest type that fits a task */
  GHashTable *gang_images; /**< set of WsImageIndex, of all active gangs; NULL: the job is none */
} WsPlacementScorer;

/** Prepares the scorer; @map and @job must outlive it. */
void ws_placement_scorer_init(WsPlacementScorer *scorer, const WsCapacityMap *map,
                              const WsJob *job);

/** Frees what the scorer holds, not the scorer itself. */
void ws_placement_scorer_clear(WsPlacementScorer *scorer);

/** The score of a machine where the task fits without preemption. */
double ws_placement_score(const WsPlacementScorer *scorer, const WsMachine *machine);

/** The same where tasks must be preempted first, whose lost work is @cost (ws_preempt_cost). */
double ws_placement_score_preemption(const WsPlacementScorer *scorer, const WsMachine *machine,
                                     double cost);

/** What to subtract from the score in a zone that has @tasks tasks of the job already. */
double ws_placement_zone_penalty(const WsJob *job, guint tasks);

/**
 * Whether a task with @need would leave the machine's free accelerators with less than their share
 * of its processors or memory.
 */
gboolean ws_placement_blocks_accelerators(const WsResources *capacity, const WsResources *free,
                                          const WsResources *need);

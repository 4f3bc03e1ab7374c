/**
 * Placement score: how well a machine suits the next task of a job.
 *
 * A higher score is better. The score of a machine is a sum of weights and penalties. Scores can
 * only be compared between machines for the same job. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-capacity-map.h"

/** The data for scoring machines for one job. */
typedef struct {
  const WsCapacityMap *map;
  const WsJob *job;
  gint64 smallest_fitting_cpus; /**< CPUs of the smallest machine type that fits a task */
  GHashTable *gang_images;      /**< set of WsImageIndex, of all active gangs; NULL: no gang */
} WsPlacementScorer;

/** Initializes the scorer. @map and @job must outlive it. */
void ws_placement_scorer_init(WsPlacementScorer *scorer, const WsCapacityMap *map,
                              const WsJob *job);

/** Frees the contents of the scorer, not the scorer itself. */
void ws_placement_scorer_clear(WsPlacementScorer *scorer);

/** Returns the score of a machine where the task fits without preemption. */
double ws_placement_score(const WsPlacementScorer *scorer, const WsMachine *machine);

/** Returns the score of a machine where tasks must be preempted, at @cost (ws_preempt_cost()). */
double ws_placement_score_preemption(const WsPlacementScorer *scorer, const WsMachine *machine,
                                     double cost);

/** Returns the penalty to subtract from scores in a zone that has @tasks tasks of the job. */
double ws_placement_zone_penalty(const WsJob *job, guint tasks);

/**
 * Returns whether a task without accelerators would block free accelerators of the machine: after
 * its placement, these would have less than their proportional share of the CPUs or the memory.
 */
gboolean ws_placement_blocks_accelerators(const WsResources *capacity, const WsResources *free,
                                          const WsResources *need);

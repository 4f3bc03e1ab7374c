/**
 * The candidate machines for the tasks of one job.
 *
 * All tasks of a job have the same needs, so the machines are searched once for the whole job. The
 * caller takes one machine after another, the best first. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-capacity-map.h"

/** When and how a machine has capacity for the task. */
typedef enum {
  WS_SLOT_FREE,               /**< now */
  WS_SLOT_FREEING,            /**< now, or once the tasks that are being stopped there have ended */
  WS_SLOT_FREEING_WITH_IMAGE, /**< as WS_SLOT_FREEING, with the job's image cached on the machine */
  WS_SLOT_BY_PREEMPTION,      /**< once less urgent tasks there are stopped */
  WS_SLOT_BY_PREEMPTION_WITH_IMAGE, /**< as WS_SLOT_BY_PREEMPTION, with the job's image cached */
  WS_SLOT_KINDS                     /**< number of kinds */
} WsSlotKind;

/** The search for candidate machines for the tasks of one job. */
typedef struct _WsCandidates WsCandidates;

/**
 * Prepares a search. The caller frees it with ws_candidates_free(). All arguments must outlive it.
 *
 * @tasks_by_zone: number of the job's tasks that have a machine, by zone; updated by the search
 */
WsCandidates *ws_candidates_new(WsCapacityMap *map, const WsJob *job, guint *tasks_by_zone);

/** Frees the search, but neither the map nor the array by zone. @candidates: not NULL */
void ws_candidates_free(WsCandidates *candidates);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsCandidates, ws_candidates_free)

/** Restricts the search to machines in the zone. WS_NO_ZONE lifts the restriction. */
void ws_candidates_restrict_to_zone(WsCandidates *candidates, WsZoneIndex zone);

/** Returns whether the job may use the machine, regardless of the machine's free capacity. */
gboolean ws_candidates_is_eligible(const WsCandidates *candidates, const WsMachine *machine);

/** Returns the best machine with a slot of the kind, or NULL if there is none. */
WsMachine *ws_candidates_peek(WsCandidates *candidates, WsSlotKind kind);

/**
 * Like ws_candidates_peek(), but also subtracts the capacity for one task from the capacity map and
 * adds the task to the number of tasks in the machine's zone.
 */
WsMachine *ws_candidates_take(WsCandidates *candidates, WsSlotKind kind);

/**
 * Subtracts the capacity for one more task on @machine, which an earlier call of
 * ws_candidates_take() has returned.
 *
 * Returns FALSE if the task doesn't fit, if it would block the machine's free accelerators, or if
 * the job allows no further task in the machine's zone.
 */
gboolean ws_candidates_take_on_machine(WsCandidates *candidates, const WsMachine *machine);

/**
 * Gives the capacity for one task back to the map on each machine in @machines (of WsMachineIndex),
 * and removes the task from the number of tasks in the machine's zone. A machine is listed once for
 * each task.
 */
void ws_candidates_release(WsCandidates *candidates, const GArray *machines);

/** Returns whether a task would fit the machine if @freed were also free there. */
gboolean ws_candidates_would_fit(const WsCandidates *candidates, const WsMachine *machine,
                                 const WsResources *freed);

/**
 * The machines where the tasks of one job may go.
 *
 * They are found once for all tasks of the job: these need the same, so they see the same machines.
 * The caller takes one machine after another, the best first. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-capacity-map.h"

/** When and how a machine has capacity for the task. */
typedef enum {
  WS_SLOT_FREE,                     /**< now */
  WS_SLOT_FREEING,                  /**< now, or once the tasks that are being stopped there end */
  WS_SLOT_FREEING_WITH_IMAGE,       /**< the same, and the image is in the machine's cache */
  WS_SLOT_BY_PREEMPTION,            /**< once less urgent tasks are stopped */
  WS_SLOT_BY_PREEMPTION_WITH_IMAGE, /**< the same, and the image is in the machine's cache */
  WS_SLOT_KINDS
} WsSlotKind;

/** The search for machines for the tasks of one job. */
typedef struct _WsCandidates WsCandidates;

/**
 * Prepares the search, which the caller frees. All that it is handed must outlive it.
 *
 * @tasks_by_zone: how many tasks of the job have a machine, by zone; kept up to date
 */
WsCandidates *ws_candidates_new(WsCapacityMap *map, const WsJob *job, guint *tasks_by_zone);

/** Frees the search, but not the map and the numbers by zone. @candidates: not NULL */
void ws_candidates_free(WsCandidates *candidates);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsCandidates, ws_candidates_free)

/** From now on only machines of the zone are found; WS_NO_ZONE: of any. */
void ws_candidates_restrict_to_zone(WsCandidates *candidates, WsZoneIndex zone);

/** Whether the job may use the machine at all, whatever its capacity. */
gboolean ws_candidates_is_eligible(const WsCandidates *candidates, const WsMachine *machine);

/** The best machine of the kind, or NULL. */
WsMachine *ws_candidates_peek(WsCandidates *candidates, WsSlotKind kind);

/** The same; the capacity for one task is subtracted, and the task counted in its zone. */
WsMachine *ws_candidates_take(WsCandidates *candidates, WsSlotKind kind);

/**
 * Takes the capacity for one more task on a machine that was just taken.
 *
 * Returns FALSE if there is none, or if the task would block the machine's free accelerators.
 */
gboolean ws_candidates_take_on_machine(WsCandidates *candidates, const WsMachine *machine);

/** Returns the capacity for one task on each of the machines (of WsMachineIndex). */
void ws_candidates_release(WsCandidates *candidates, const GArray *machines);

/** Whether a task would fit the machine if @freed more of it were free. */
gboolean ws_candidates_would_fit(const WsCandidates *candidates, const WsMachine *machine,
                                 const WsResources *freed);

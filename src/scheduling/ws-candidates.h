/* Where the tasks of one job may go, found once for all of them: they need the same, so they see
   the same machines. */
#pragma once

#include "scheduling/ws-scheduling.h"

typedef enum {
  WS_SLOT_FREE,          /* free */
  WS_SLOT_FREEING,       /* free, or being freed by tasks that stop */
  WS_SLOT_WITH_IMAGE,    /* the same, where the image is */
  WS_SLOT_BY_PREEMPTION, /* after less urgent tasks stop */
  WS_SLOT_BY_PREEMPTION_WITH_IMAGE,
  WS_SLOT_KINDS
} WsSlotKind;

typedef struct {
  WsCore *core;
  WsSlot *slots;      /* of each machine */
  WsResources least;  /* what is waited for takes at least so much */
  GArray *open;       /* of guint: machines with that much free */
  GArray *coming;     /* of guint: machines where something is being stopped */
  GArray *busy;       /* of guint: machines with tasks of arrays */
  guint lowest;       /* the least urgent priority among them */
  gboolean borrowing; /* some of them are beyond a guarantee */
  guint steps;        /* machines looked at: what a plan costs */
  guint looks;        /* for how many more jobs victims are looked for */
} WsCapacityMap;

typedef struct _WsCandidates WsCandidates;

void ws_capacity_map_init(WsCapacityMap *map, WsCore *core, const WsResources *least);
void ws_capacity_map_clear(WsCapacityMap *map);

WsCandidates *ws_candidates_new(WsCapacityMap *map, const WsJob *job,
                                guint *counts /* of tasks by zone */);
void ws_candidates_free(WsCandidates *places);
/* The best machine of the kind, or NULL. */
WsMachine *ws_candidates_peek(WsCandidates *places, WsSlotKind kind);
/* The same; the room for one task is taken, and counted in its zone. */
WsMachine *ws_candidates_take(WsCandidates *places, WsSlotKind kind);
/* Whether the job may use the machine at all, whatever room it has. */
gboolean ws_candidates_is_eligible(const WsCandidates *places, const WsMachine *machine);
/* From now on only machines of the zone are found; WS_NONE: of any. */
void ws_candidates_restrict_to_zone(WsCandidates *places, WsZoneIndex zone);
/* Takes the room for one more task on a machine that was taken just now; FALSE: there is none, or
   it would take the processors that the machine's free accelerators need. */
gboolean ws_candidates_take_again(WsCandidates *places, const WsMachine *machine);
/* Gives back the room for a task on each of the machines (of guint). */
void ws_candidates_release(WsCandidates *places, const GArray *machines);
/* Whether a task could go to the machine if so much more of it were free. */
gboolean ws_candidates_would_fit(const WsCandidates *places, const WsMachine *machine,
                                 const WsResources *freed);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsCandidates, ws_candidates_free)

/* Where the tasks of one job may go, found once for all of them: they need the same, so they see
   the same machines. */
#pragma once

#include "scheduling/ws-scheduling.h"

typedef enum {
  WS_ROOM_NOW,    /* free */
  WS_ROOM_COMING, /* free, or being freed by tasks that stop */
  WS_ROOM_CACHED, /* the same, where the image is */
  WS_ROOM_TAKEN,  /* after less urgent tasks stop */
  WS_ROOM_TAKEN_CACHED,
  WS_ROOM_KINDS
} WsRoom;

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
} WsRoomMap;

typedef struct _WsPlaces WsPlaces;

void ws_room_map_init(WsRoomMap *map, WsCore *core, const WsResources *least);
void ws_room_map_clear(WsRoomMap *map);

WsPlaces *ws_places_new(WsRoomMap *map, const WsJob *job, guint *counts /* of tasks by zone */);
void ws_places_free(WsPlaces *places);
/* The best machine of the kind, or NULL. */
WsMachine *ws_places_peek(WsPlaces *places, WsRoom kind);
/* The same; the room for one task is taken, and counted in its zone. */
WsMachine *ws_places_take(WsPlaces *places, WsRoom kind);
/* Whether the job may use the machine at all, whatever room it has. */
gboolean ws_places_is_eligible(const WsPlaces *places, const WsMachine *machine);
/* From now on only machines of the zone are found; WS_NONE: of any. */
void ws_places_keep_to_zone(WsPlaces *places, guint zone);
/* Takes the room for one more task on a machine that was taken just now; FALSE: there is none, or
   it would take the processors that the machine's free accelerators need. */
gboolean ws_places_take_again(WsPlaces *places, const WsMachine *machine);
/* Gives back the room for a task on each of the machines (of guint). */
void ws_places_put_back(WsPlaces *places, const GArray *machines);
/* Whether a task could go to the machine if so much more of it were free. */
gboolean ws_places_would_fit(const WsPlaces *places, const WsMachine *machine,
                             const WsResources *freed);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsPlaces, ws_places_free)

/**
 * Reservations: capacity that was freed for a job by stopping less urgent tasks.
 *
 * The node that plans a job has tasks stopped for it, on a machine or within the job's team. Until
 * the job has taken what they leave, other nodes see free capacity and would give it to the very
 * work that was stopped. The planning node therefore reserves it with the leader, which refuses
 * less urgent assignments that would use it up. A reservation ends when the job takes it, when the
 * job waits no longer, and in any case a few seconds after it was last renewed.
 */
#pragma once

#include "core/ws-core-private.h"

typedef struct {
  guint job;
  guint machine; /* WS_NONE: the team's limit, wherever the task goes */
  guint tasks;   /* for so many tasks of the job */
  gint64 until_ms;
} WsReservation;

/** Creates an empty table of reservations. */
WsReservations *ws_reservations_new(void);
void ws_reservations_free(WsReservations *reservations);

gboolean ws_reservations_is_empty(const WsCore *core);

/** Forgets all of them: they count only in the epoch in which they were made. */
void ws_reservations_clear(WsCore *core);

/** Reserves or renews; a node that doesn't lead passes it to the leader. */
void ws_reservations_keep(WsCore *core, const WsJob *job, guint machine, guint tasks);

/** The job was assigned a task on the machine. */
void ws_reservations_use(WsCore *core, const WsJob *job, guint machine);

/**
 * Whether an assignment of the job leaves what is reserved for more urgent ones.
 *
 * @tasks_on: so many of the job's tasks would be on machines
 * @machine_free: what the machine would have left
 * @team_use: what the team would use
 */
gboolean ws_reservations_allow(const WsCore *core, const WsJob *job, guint tasks_on, guint machine,
                               const WsAmount *machine_free, const WsAmount *team_use);

/**
 * Which task goes to which machine: queue order, placement, preemption, gangs, reservations, and
 * the demand for machines.
 *
 * Called by the core at its turn, and by the job API for a job's coordinating node. Owns the plan,
 * reservations and the run-time estimates.
 */
#pragma once

#include "commit/ws-commit.h"

WsPlan *ws_plan_new(void);
void ws_plan_free(WsPlan *plan);
void ws_plan_tick(WsCore *core);
guint ws_plan_choose_coordinator(WsCore *core, const WsJobSpec *spec);

/* Whether the places kept for critical jobs are there without the machine too. */
gboolean ws_headroom_remains_without(const WsCore *core, const WsMachine *machine);

/**
 * Gangs: jobs whose tasks run at the same time or not at all.
 *
 * The tasks of one attempt carry the same attempt number. The attempt is over when one of its tasks
 * is known to be gone: the record of the end raises the number, the other tasks are halted, and the
 * next attempt starts once nothing of the old one is left. The unit of every decision is the
 * attempt; this module says in which phase it is, halts what must end, and stops a whole gang in an
 * orderly way when one of its machines is to be drained.
 */

/**
 * Begins an orderly stop: every task is halted with enough time to save, all at once.
 *
 * Returns FALSE and does nothing if a machine of the gang can't be reached, since the others would
 * lose their progress for nothing.
 */
gboolean ws_gang_stop(WsCore *core, WsJob *job);

/** Halts what must end, again until it has, and stops gangs on machines that are being drained. */
void ws_gang_tick(WsCore *core);

/**
 * Reservations: capacity that was freed for a job by stopping less urgent tasks.
 *
 * The node that plans a job has tasks stopped for it, on a machine or within the job's team. Until
 * the job has taken what they leave, other nodes see free capacity and would give it to the very
 * work that was stopped. The planning node therefore reserves it with the leader, which refuses
 * less urgent assignments that would use it up. A reservation ends when the job takes it, when the
 * job waits no longer, and in any case a few seconds after it was last renewed.
 */

typedef struct {
  WsJobIndex job;
  WsMachineIndex machine; /* WS_NONE: the team's limit, wherever the task goes */
  guint tasks;            /* for so many tasks of the job */
  gint64 until_ms;
} WsReservation;

/** Creates an empty table of reservations. */
WsReservations *ws_reservations_new(void);
void ws_reservations_free(WsReservations *reservations);

gboolean ws_reservations_exist(const WsCore *core);

/** Forgets all of them: they count only in the epoch in which they were made. */
void ws_reservations_clear(WsCore *core);

/** Reserves or renews; a node that doesn't lead passes it to the leader. */
void ws_reservations_renew(WsCore *core, const WsJob *job, WsMachineIndex machine, guint tasks);

/** The job was assigned a task on the machine. */
void ws_reservations_consume(WsCore *core, const WsJob *job, WsMachineIndex machine);

/**
 * Whether an assignment of the job leaves what is reserved for more urgent ones.
 *
 * @tasks_on: so many of the job's tasks would be on machines
 * @machine_free: what the machine would have left
 * @team_use: what the team would use
 */
gboolean ws_reservations_allow(const WsCore *core, const WsJob *job, guint tasks_on,
                               WsMachineIndex machine, const WsResources *machine_free,
                               const WsResources *team_use);

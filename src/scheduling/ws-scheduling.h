/**
 * Scheduling: which task goes to which machine.
 *
 * Queue order, placement, preemption, gangs, reservations, and the demand for machines. The core
 * calls its ticks; the job API asks for the coordinating node of a new job. Owns the plan and the
 * reservations. What isn't declared here is private to the package.
 */
#pragma once

#include "commit/ws-commit.h"

/*
 * Planning
 *
 * A node plans the jobs that it coordinates, on the machines of its own shard; the leader also
 * plans those that fit no shard, on any machine, and requests rentals.
 */

/** Creates the state of planning; to be freed with ws_plan_free(). */
WsPlan *ws_plan_new(void);

/** Frees the state of planning. */
void ws_plan_free(WsPlan *plan);

/**
 * Makes a plan if one is due: proposes assignments, has tasks preempted, and passes jobs that don't
 * fit to the leader. Does nothing on a node that may not act in the present epoch.
 */
void ws_plan_tick(WsCore *core);

/**
 * Chooses the coordinating node for a new job: the one whose shard has most slots for it, if all
 * tasks fit there.
 *
 * Returns WS_NO_NODE if the leader has to plan the job.
 */
WsNodeIndex ws_coordinator_choose(WsCore *core, const WsJobSpec *spec);

/** How many plans this node has made. */
guint64 ws_plan_count(const WsCore *core);

/** How many machines all these plans have examined: the cost of planning. */
guint64 ws_plan_machines_examined(const WsCore *core);

/*
 * Gangs: jobs whose tasks run at the same time or not at all
 *
 * The tasks of one attempt carry the same attempt number. The attempt is over when one of its tasks
 * is known to be gone: the record of the end raises the number, the other tasks are halted, and the
 * next attempt starts once nothing of the old one is left.
 */

/**
 * Halts the tasks of attempts that are over, again until they end, and begins an orderly stop of
 * gangs with a task on a machine that is to be drained: all tasks are halted at once, with enough
 * time to save their progress.
 */
void ws_gang_tick(WsCore *core);

/*
 * Reservations: capacity that is being freed for a job by stopping less urgent tasks
 *
 * The node that plans a job has tasks stopped for it, on a machine or within the job's team. Until
 * the job has taken what they leave, other nodes see free capacity and would give it to the very
 * job that was preempted. The planning node therefore reserves it with the leader, which refuses
 * less urgent assignments that would use it up. A reservation ends when the job takes it, when the
 * job waits no longer, and in any case a few seconds after it was last renewed.
 */

/** Creates an empty table of reservations; to be freed with ws_reservations_free(). */
WsReservations *ws_reservations_new(void);

/** Frees the table. */
void ws_reservations_free(WsReservations *reservations);

/** Whether there are any reservations. */
gboolean ws_reservations_exist(const WsCore *core);

/** Drops all of them: they count only in the epoch in which they were made. */
void ws_reservations_clear(WsCore *core);

/**
 * Reserves capacity for so many tasks of the job, or renews that. A node that isn't the leader
 * passes it on to the leader.
 *
 * @machine: WS_NO_MACHINE: within the limit of the job's team, on any machine
 */
void ws_reservations_renew(WsCore *core, const WsJob *job, WsMachineIndex machine, guint tasks);

/** Notes that the job was assigned a task on the machine, which takes what was reserved for it. */
void ws_reservations_consume(WsCore *core, const WsJob *job, WsMachineIndex machine);

/**
 * Whether an assignment of the job leaves what is reserved for more urgent ones.
 *
 * @assigned_tasks: how many of the job's tasks would be assigned
 * @machine_free: what the machine would have left
 * @team_use: what the team would use
 */
gboolean ws_reservations_allow(const WsCore *core, const WsJob *job, guint assigned_tasks,
                               WsMachineIndex machine, const WsResources *machine_free,
                               const WsResources *team_use);

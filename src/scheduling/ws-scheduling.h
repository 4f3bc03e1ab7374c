/**
 * Scheduling: decides which task runs on which machine.
 *
 * The package contains the queue order, placement, preemption, gangs, reservations and the demand
 * for machines. The core calls the tick functions, and the job API requests the coordinating node
 * of a new job. The package owns the planning state and the reservations. Everything that isn't
 * declared in this header is private to the package.
 */
#pragma once

#include "commit/ws-commit.h"

/*
 * Planning
 *
 * A node plans the jobs that it coordinates, on the machines of its own shard. The leader also
 * plans the jobs that fit no single shard, on any machine, and requests rentals.
 */

/** Creates the planning state. The caller frees it with ws_plan_free(). */
WsPlan *ws_plan_new(void);

/** Frees the planning state. */
void ws_plan_free(WsPlan *plan);

/**
 * Makes a plan if one is due: proposes assignments, preempts tasks, and escalates jobs that don't
 * fit this node's shard to the leader. Does nothing on a node that isn't an active member of the
 * current epoch.
 */
void ws_plan_tick(WsCore *core);

/**
 * Chooses the coordinating node of a new job: the node whose shard has the most free slots for the
 * job's tasks, provided that all of them fit there.
 *
 * Returns WS_NO_NODE if the leader must plan the job.
 */
WsNodeIndex ws_coordinator_choose(WsCore *core, const WsJobSpec *spec);

/** Returns the number of plans that this node has made. */
guint64 ws_plan_count(const WsCore *core);

/** Returns the number of machines examined by all these plans, a measure of the planning cost. */
guint64 ws_plan_machines_examined(const WsCore *core);

/*
 * Gangs: jobs whose tasks all run at the same time or not at all
 *
 * The tasks of one attempt have the same attempt number. The attempt ends as soon as the exit or
 * loss of one of its tasks is recorded. That record increments the attempt number, the other tasks
 * are halted, and the next attempt starts once every task of the old attempt has ended.
 */

/**
 * Halts the tasks of gang attempts that have ended, and repeats each halt until the task is known
 * to save its progress or to have ended. Also begins an orderly stop of each gang that has a task
 * on a machine that is to be drained: all its tasks are halted at the same time, with enough time
 * to save their progress.
 */
void ws_gang_tick(WsCore *core);

/*
 * Reservations: capacity that is being freed for a job by stopping less urgent tasks
 *
 * The node that plans a job stops tasks for it, on a machine or within the job's team. Until the
 * job is assigned the freed capacity, other nodes see that capacity as free and could assign it to
 * the very job that was preempted. The planning node therefore reserves it with the leader, which
 * refuses less urgent assignments that would use it up. A reservation ends when the job is assigned
 * the capacity, when the job no longer waits, and at the latest a few seconds after its last
 * renewal.
 */

/** Creates an empty reservation table. The caller frees it with ws_reservations_free(). */
WsReservations *ws_reservations_new(void);

/** Frees the reservation table. */
void ws_reservations_free(WsReservations *reservations);

/** Returns whether there are any reservations. */
gboolean ws_reservations_exist(const WsCore *core);

/** Drops all reservations, since they are valid only in the epoch in which they were made. */
void ws_reservations_clear(WsCore *core);

/**
 * Reserves capacity for @tasks tasks of the job, or renews the reservation. A node that isn't the
 * leader also forwards the reservation to the leader.
 *
 * @machine: the machine, or WS_NO_MACHINE to reserve part of the team's limit on any machine
 */
void ws_reservations_renew(WsCore *core, const WsJob *job, WsMachineIndex machine, guint tasks);

/** Reduces the job's reservations by one task, after that task was assigned to the machine. */
void ws_reservations_consume(WsCore *core, const WsJob *job, WsMachineIndex machine);

/**
 * Returns whether an assignment of the job leaves the capacity untouched that is reserved for more
 * urgent jobs. The arguments describe the state after the assignment.
 *
 * @assigned_tasks: number of the job's tasks that are assigned
 * @machine_free: free capacity of the machine
 * @team_use: resources in use by the job's team
 */
gboolean ws_reservations_allow(const WsCore *core, const WsJob *job, guint assigned_tasks,
                               WsMachineIndex machine, const WsResources *machine_free,
                               const WsResources *team_use);

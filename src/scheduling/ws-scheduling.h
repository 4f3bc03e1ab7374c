/**
 * Which task goes to which machine: queue order, placement, preemption, gangs, reservations, and
 * the demand for machines.
 *
 * Called by the core at its turn, and by the job API for a job's coordinating node. Owns the plan,
 * reservations and the run-time estimates.
 */
#pragma once

#include "commit/ws-commit.h"

/* A job that has waited so long for its first task comes before guarantees and priorities, critical
   work excepted. Whatever favours small or late jobs, age wins in the end. */
#define WS_BEGIN_WITHIN_S 120.0
/* As many tasks of a job that begins so late are placed before all else, and aren't stopped again
   for anything but critical work. */
guint ws_queue_protected_tasks(const WsJob *job);
/* Whether the job has waited too long for its first task. */
gboolean ws_queue_is_overdue(const WsCore *core, const WsJob *job);
typedef struct {
  WsJob *job;
  guint lateness;      /* 0: can be in time; 1: within half as long again; 2: late anyway */
  gboolean is_overdue; /* it has waited too long for its first task */
  double weight;       /* what is left to start, less for what has waited */
} WsWaiting;
/* The open jobs, the most urgent first; also says which are within a guarantee. */
GArray *ws_queue_jobs(const WsCore *core); /* of WsWaiting */

WsPlan *ws_plan_new(void);
void ws_plan_free(WsPlan *plan);
void ws_plan_tick(WsCore *core);
guint ws_plan_choose_coordinator(WsCore *core, const WsJobSpec *spec);

typedef struct _WsDemand WsDemand;
WsDemand *ws_demand_new(WsCore *core);
void ws_demand_add(WsDemand *demand, const WsJob *job, guint tasks);
/* The same for a gang: all its machines are in one zone, where that is asked for. */
void ws_demand_add_gang(WsDemand *demand, const WsJob *job, guint tasks);
void ws_demand_end(WsDemand *demand); /* takes it */

typedef struct {
  WsResources free;   /* room now, less what this plan gave away */
  WsResources coming; /* what tasks that are being stopped will leave */
  gboolean usable;
  gboolean has_service;
} WsSlot;
/* Whether the job may have the other one's task stopped. */
gboolean ws_preempt_allowed(const WsCore *core, const WsJob *job, const WsJob *victim);
/* The same once so many of the other one's tasks are on machines. */
gboolean ws_preempt_outranks(const WsCore *core, const WsJob *job, const WsJob *victim,
                             guint victim_tasks_on);
/* Stops the cheapest tasks that make room on the machine; the cost says how much work is lost,
   negative: it can't be done. */
double ws_preempt_cost(const WsCore *core, const WsJob *job, const WsMachine *machine,
                       const WsSlot *slot);
void ws_preempt(WsCore *core, const WsJob *job, WsMachine *machine, WsSlot *slot);
/* Processors of the smallest allowed type that has room for one task. */
gint64 ws_smallest_fitting_cpus(const WsReplica *replica, const WsJobSpec *spec);
/* Whether the job could start on the machine if so much more of it were free. */
typedef gboolean (*WsPlaceFunc)(const WsMachine *machine, const WsResources *freed, gpointer data);
typedef enum {
  WS_TEAM_FULL,    /* with work that may not be stopped for the job */
  WS_TEAM_NO_SLOT, /* stops would make room in the team, but the job has no place to start */
  WS_TEAM_CAPACITY_FREEING /* tasks are being stopped */
} WsTeamCapacity;
/* Stops less urgent tasks of the job's own team, the youngest first, until the team's limit leaves
   room for one task of the job. Nothing is stopped unless that task can then start: either it has a
   place, or makes_place says that the end of one of the stopped tasks leaves it one. use: of the
   team, as planned. The machines of what stops are appended to machines (of guint). */
WsTeamCapacity ws_preempt_in_team(WsCore *core, const WsJob *job, const WsResources *use,
                                  gboolean has_place, WsPlaceFunc makes_place, gpointer data,
                                  GArray *machines);

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

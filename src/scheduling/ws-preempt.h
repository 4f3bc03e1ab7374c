/**
 * Preemption: which tasks may be stopped for a more urgent job, and which are cheapest to stop.
 *
 * A task that may be stopped for the job is a victim. Only tasks of array jobs are victims: users
 * notice at once when a service's task stops, and a gang's would stop its whole gang. Private to
 * scheduling.
 */
#pragma once

#include "scheduling/ws-capacity-map.h"

/** Whether the job may have tasks of @victim stopped. */
gboolean ws_preempt_allowed(const WsCore *core, const WsJob *job, const WsJob *victim);

/** The same once @victim_tasks of the other job's tasks are on machines. */
gboolean ws_preempt_allowed_at_task_count(const WsCore *core, const WsJob *job, const WsJob *victim,
                                          guint victim_tasks);

/**
 * The work that would be lost, in seconds with a fixed part for each stop, if the cheapest tasks
 * were stopped until one task of the job fits the machine; negative: it can't be made to fit.
 */
double ws_preempt_cost(const WsCore *core, const WsJob *job, const WsMachine *machine,
                       const WsMachineCapacity *capacity);

/** Stops those tasks; what they will leave is added to @capacity. */
void ws_preempt_on_machine(WsCore *core, const WsJob *job, WsMachine *machine,
                           WsMachineCapacity *capacity);

/** Whether a task of the job could start on the machine if @freed more of it were free. */
typedef gboolean (*WsPreemptFitFunc)(const WsMachine *machine, const WsResources *freed,
                                     gpointer data);

/** What preemption within a team came to. */
typedef enum {
  WS_TEAM_LIMIT_REACHED,   /**< the team's limit is used up by tasks that may not be stopped for the
                              job */
  WS_TEAM_NO_SLOT,         /**< stops would free enough of the limit, but no machine has a slot */
  WS_TEAM_CAPACITY_FREEING /**< tasks are being stopped */
} WsTeamPreemptResult;

/**
 * Stops less urgent tasks of the job's own team, the youngest first, until the team's limit allows
 * one more task of the job.
 *
 * Nothing is stopped unless that task can then start: it has a slot, or the end of one of the
 * stopped tasks leaves it one.
 *
 * @team_use: what the team uses, as planned
 * @has_slot: whether the task has a slot without any stop
 * @fits: says whether the end of a stopped task leaves the task a slot; called with @data
 * @machines: of WsMachineIndex; the machines of the stopped tasks are appended
 */
WsTeamPreemptResult ws_preempt_in_team(WsCore *core, const WsJob *job, const WsResources *team_use,
                                       gboolean has_slot, WsPreemptFitFunc fits, gpointer data,
                                       GArray *machines);

/**
 * Preemption: which tasks may be stopped for a more urgent job, and which are cheapest to stop.
 *
 * A task that may be stopped for the job is a victim. Only tasks of array jobs can be victims: a
 * stopped task of a service is noticed by users at once, and a stopped task of a gang would stop
 * the whole gang. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-capacity-map.h"

/** Returns whether tasks of @victim may be stopped for @job. */
gboolean ws_preempt_allowed(const WsCore *core, const WsJob *job, const WsJob *victim);

/** Like ws_preempt_allowed(), if @victim_tasks tasks of @victim were assigned. */
gboolean ws_preempt_allowed_at_task_count(const WsCore *core, const WsJob *job, const WsJob *victim,
                                          guint victim_tasks);

/**
 * Returns the cost of stopping the cheapest victims on the machine until one task of the job fits:
 * the lost run time in seconds, plus a fixed cost for each stop. Negative if the task can't be made
 * to fit.
 */
double ws_preempt_cost(const WsCore *core, const WsJob *job, const WsMachine *machine,
                       const WsMachineCapacity *capacity);

/**
 * Stops the victims that ws_preempt_cost() counts, and adds their resources to @capacity. If
 * another node owns the machine, the caller sends the stop requests (ws_stop_requests_send()).
 */
void ws_preempt_on_machine(WsCore *core, const WsJob *job, WsMachine *machine,
                           WsMachineCapacity *capacity);

/** Returns whether a task of the job would fit the machine if @freed were also free there. */
typedef gboolean (*WsPreemptFitFunc)(const WsMachine *machine, const WsResources *freed,
                                     gpointer data);

/** The result of preemption within a team. */
typedef enum {
  WS_TEAM_LIMIT_REACHED, /**< tasks that may not be stopped for the job use up the team's limit */
  WS_TEAM_NO_SLOT, /**< stops could free enough of the limit, but no machine would have a slot */
  WS_TEAM_CAPACITY_FREEING /**< tasks are being stopped */
} WsTeamPreemptResult;

/**
 * Stops less urgent tasks of the job's own team, the youngest first, until the team's limit allows
 * one more task of the job.
 *
 * Tasks are stopped only if that task can start afterwards: either it has a slot already, or one of
 * the stopped tasks frees one. The caller sends the stop requests to the owners of @machines.
 *
 * @team_use: resources in use by the team, including tasks placed by the current plan
 * @has_slot: whether the task has a slot without any stop
 * @fits: checks whether stopping a victim would free a slot for the task; called with @data
 * @machines: of WsMachineIndex; the machines of the stopped tasks are appended
 */
WsTeamPreemptResult ws_preempt_in_team(WsCore *core, const WsJob *job, const WsResources *team_use,
                                       gboolean has_slot, WsPreemptFitFunc fits, gpointer data,
                                       GArray *machines);

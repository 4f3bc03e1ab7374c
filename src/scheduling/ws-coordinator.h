/**
 * The coordinating node of a job: the one that plans it.
 *
 * A job is given to the node whose shard of the machines fits the whole of it. Jobs without a
 * coordinating node, and those whose node has left, are planned by the leader, who may place them
 * on any machine. Private to scheduling, but for ws_coordinator_choose (ws-scheduling.h).
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/** The node that plans the job in the present epoch. */
WsNodeIndex ws_coordinator_current(const WsReplica *replica, const WsJob *job);

/** Passes jobs of this node to the leader that have not fitted its shard for a while. */
void ws_coordinator_escalate(WsCore *core);

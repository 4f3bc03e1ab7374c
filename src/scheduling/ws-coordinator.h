/**
 * The coordinating node of a job: the node that plans it.
 *
 * A new job is assigned to a node whose shard of the machines fits all its tasks. Jobs without a
 * coordinating node, and those whose node isn't in the current epoch, are planned by the leader,
 * which may place them on any machine. Private to scheduling, except for ws_coordinator_choose()
 * (ws-scheduling.h).
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/** Returns the node that plans the job in the current epoch: coordinating node or leader. */
WsNodeIndex ws_coordinator_current(const WsReplica *replica, const WsJob *job);

/** Passes the jobs of this node that haven't fitted its shard for a while to the leader. */
void ws_coordinator_escalate(WsCore *core);

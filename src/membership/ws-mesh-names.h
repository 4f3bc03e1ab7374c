/**
 * Paths and field names of the messages between nodes. Private to membership.
 *
 * The values must not change: nodes of all released versions use them. The names of the constants
 * follow the terms that the code uses.
 */
#pragma once

/** Paths of the messages, sent with POST. */
#define MESH_PATH_GOSSIP "/gossip"
#define MESH_PATH_CANCELLATIONS "/cancelled"
#define MESH_PATH_PEER_REQUESTS "/ask"
/* The path of relayed heartbeats is WS_RELAY_PATH, in ws-relay-message.h. */

/** Fields that occur in several messages. */
#define MESH_NODE "node"
#define MESH_EPOCH "epoch"

/** Fields of a gossip message. */
#define MESH_VERSION "version"
#define MESH_INCARNATION "incarnation"
#define MESH_STORE_IS_AVAILABLE "store"
#define MESH_REPLICA_IS_LOADED "loaded"
#define MESH_REACHABLE_NODES "reaches"
#define MESH_NEEDS_NEW_EPOCH "wants_epoch"
#define MESH_UNREACHED_BY_WORKERS "unheard"
#define MESH_UNACKNOWLEDGED_CANCELLATIONS "untold"
#define MESH_BASE_REVISION "base"
#define MESH_REVISION "rev"
#define MESH_ACKNOWLEDGED_REVISION "ack"
#define MESH_MACHINES "machines"

/** Fields of a machine in a gossip message. */
#define MESH_MACHINE_NAME "name"
#define MESH_MACHINE_IS_UP "up"
#define MESH_MACHINE_ENDPOINT "endpoint"
#define MESH_MACHINE_INTERRUPTION "notice"
#define MESH_MACHINE_IMAGES "images"

/** Field of a notification of cancellations. */
#define MESH_CANCELLED_JOBS "jobs"

/** Fields of a batch of peer requests: one list for each kind. */
#define MESH_STOPS "stops"
#define MESH_RELEASES "releases"
#define MESH_RESERVATIONS "reservations"
#define MESH_ASSIGNMENTS "picks"
#define MESH_MARKS "marks"

/** Fields of a relayed heartbeat. */
#define MESH_RELAY_OWNER "owner"
#define MESH_RELAY_HEARTBEAT "report"

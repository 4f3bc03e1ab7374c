/**
 * Paths and field names of the messages between nodes. Private to membership.
 *
 * The values must not change: nodes of all released versions use them. The names of the constants
 * follow the terms that the code uses.
 */
#pragma once

/** Paths of the messages, sent with POST. */
#define WIRE_PATH_GOSSIP "/gossip"
#define WIRE_PATH_CANCELLATIONS "/cancelled"
#define WIRE_PATH_PEER_REQUESTS "/ask"
/* The path of relayed heartbeats is WS_RELAY_PATH, in ws-relay-message.h. */

/** Fields that occur in several messages. */
#define WIRE_NODE "node"
#define WIRE_EPOCH "epoch"

/** Fields of a gossip message. */
#define WIRE_VERSION "version"
#define WIRE_INCARNATION "incarnation"
#define WIRE_STORE_IS_AVAILABLE "store"
#define WIRE_REPLICA_IS_LOADED "loaded"
#define WIRE_REACHABLE_NODES "reaches"
#define WIRE_NEEDS_NEW_EPOCH "wants_epoch"
#define WIRE_RECEIVES_NO_HEARTBEATS "unheard"
#define WIRE_UNACKNOWLEDGED_CANCELLATIONS "untold"
#define WIRE_BASE_REVISION "base"
#define WIRE_REVISION "rev"
#define WIRE_ACKNOWLEDGED_REVISION "ack"
#define WIRE_MACHINES "machines"

/** Fields of a machine in a gossip message. */
#define WIRE_MACHINE_NAME "name"
#define WIRE_MACHINE_IS_UP "up"
#define WIRE_MACHINE_ENDPOINT "endpoint"
#define WIRE_MACHINE_INTERRUPTION "notice"
#define WIRE_MACHINE_IMAGES "images"

/** Field of a notification of cancellations. */
#define WIRE_CANCELLED_JOBS "jobs"

/** Fields of a batch of peer requests: one list for each kind. */
#define WIRE_STOPS "stops"
#define WIRE_RELEASES "releases"
#define WIRE_RESERVATIONS "reservations"
#define WIRE_ASSIGNMENTS "picks"
#define WIRE_MARKS "marks"

/** Fields of a relayed heartbeat. */
#define WIRE_RELAY_OWNER "owner"
#define WIRE_RELAY_HEARTBEAT "report"

/**
 * Paths and field names of the messages between nodes. Private to the messages' modules.
 *
 * The spellings are those of every released version, so they stay; the names of the constants are
 * the terms that the code uses.
 */
#pragma once

/** Paths to which the messages are posted. */
#define WIRE_PATH_GOSSIP "/gossip"
#define WIRE_PATH_CANCELLATIONS "/cancelled"
#define WIRE_PATH_PEER_REQUESTS "/ask"
/* That of relayed heartbeats is WS_RELAY_PATH, in ws-relay-message.h. */

/** In several messages. */
#define WIRE_NODE "node"
#define WIRE_EPOCH "epoch"

/** Gossip. */
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

/** A machine in a gossip message. */
#define WIRE_MACHINE_NAME "name"
#define WIRE_MACHINE_IS_UP "up"
#define WIRE_MACHINE_ENDPOINT "endpoint"
#define WIRE_MACHINE_INTERRUPTION "notice"
#define WIRE_MACHINE_IMAGES "images"

/** Cancellations. */
#define WIRE_CANCELLED_JOBS "jobs"

/** Peer requests: one list for each kind. */
#define WIRE_STOPS "stops"
#define WIRE_RELEASES "releases"
#define WIRE_RESERVATIONS "reservations"
#define WIRE_ASSIGNMENTS "picks"
#define WIRE_MARKS "marks"

/** Relay. */
#define WIRE_RELAY_OWNER "owner"
#define WIRE_RELAY_HEARTBEAT "report"

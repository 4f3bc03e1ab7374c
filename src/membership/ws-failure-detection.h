/**
 * State and functions shared by the parts of the failure detector: liveness of machines, partitions
 * of zones, and probes. Private to membership.
 */
#pragma once

#include "membership/ws-membership-private.h"

/** The state of the failure detector, grouped by the module that writes it. Times are in ms. */
struct _WsFailureDetector {
  /* ws-liveness.c */
  gint64 last_heartbeat_ms;        /**< last heartbeat received directly, not relayed */
  gboolean receives_no_heartbeats; /**< no heartbeats arrive, though some are due */

  /* ws-partitions.c, both indexed by zone */
  gint64 *last_partition_ms;           /**< last time a partition was detected; 0: never */
  gint64 *last_confirmed_partition_ms; /**< last time a partition was confirmed; 0: never */

  /* ws-failure-detector.c */
  guint probes_in_flight;
  guint next_probe; /**< index of the machine at which the next round of probes begins */
};

/**
 * Returns the heartbeat timeout: the longest time between two heartbeats of a machine that is up,
 * with a margin for delays of the worker, the network and this node, in ms.
 */
gint64 ws_liveness_heartbeat_timeout_ms(const WsCore *core);

/**
 * Returns the time from which a missing heartbeat of the machine counts towards suspicion, in ms;
 * 0: no heartbeat is expected.
 */
gint64 ws_liveness_suspected_since_ms(const WsMachine *machine);

/** Returns for how long commands to the machine have been unacknowledged, in ms; 0: none are. */
gint64 ws_liveness_unacknowledged_for_ms(const WsCore *core, const WsMachine *machine);

/** Detects whether heartbeats fail to reach this node. Called by ws_failure_detector_tick(). */
void ws_liveness_tick(WsCore *core);

/** Detects which zones are partitioned. Called by ws_failure_detector_tick(). */
void ws_partitions_tick(WsCore *core);

/** Whether any node is located in the zone. */
gboolean ws_zone_has_node(const WsCore *core, WsZoneIndex zone);

/** Whether the zone is partitioned, or a partition was confirmed less than a lease duration ago. */
gboolean ws_zone_is_partitioned_or_recovering(const WsCore *core, WsZoneIndex zone);

/** Whether the links to the zone's machines are probably down, rather than the machines. */
gboolean ws_zone_links_are_suspected(const WsCore *core, WsZoneIndex zone);

/**
 * Whether so many on-demand machines are suspected at the same time that the links to them are
 * probably down, rather than the machines.
 */
gboolean ws_machines_are_suspected_together(const WsCore *core);

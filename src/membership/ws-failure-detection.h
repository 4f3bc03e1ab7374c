/**
 * What the parts of the failure detector share: liveness of machines, partitions of zones, probes.
 * Private to membership.
 */
#pragma once

#include "membership/ws-membership-private.h"

/** The state of the failure detector, by the module that keeps it. Times are in ms. */
struct _WsFailureDetector {
  /* ws-liveness.c */
  gint64 last_heartbeat_ms;        /**< when a worker last reached this node itself */
  gboolean receives_no_heartbeats; /**< none does, although there are some for it */

  /* ws-partitions.c, both by zone */
  gint64 *last_partition_ms;           /**< when it last seemed to be partitioned; 0: never */
  gint64 *last_confirmed_partition_ms; /**< when that was last sure; 0: never */

  /* ws-failure-detector.c */
  guint probes_in_flight;
  guint next_probe; /**< the machine at which the next round of probes begins */
};

/**
 * The longest pause between two heartbeats of a machine that is up, with what a slow moment here or
 * there may add, in ms.
 */
gint64 ws_liveness_heartbeat_timeout_ms(const WsCore *core);

/**
 * Since when nothing was heard of the machine although something should have been, in ms; 0:
 * nothing is expected.
 */
gint64 ws_liveness_suspected_since_ms(const WsMachine *machine);

/** For how long the machine has not acknowledged what was sent to it, in ms. */
gint64 ws_liveness_unacknowledged_for_ms(const WsCore *core, const WsMachine *machine);

/** Finds out whether it is this node that workers don't reach. For each tick. */
void ws_liveness_tick(WsCore *core);

/** Finds out which zones are partitioned. For each tick. */
void ws_partitions_tick(WsCore *core);

/** Whether a node is in the zone. */
gboolean ws_zone_has_node(const WsCore *core, WsZoneIndex zone);

/** Whether the zone is partitioned, or was until a lease ago. */
gboolean ws_zone_is_partitioned_or_recovering(const WsCore *core, WsZoneIndex zone);

/** Whether it is the way to the zone's machines that is interrupted, rather than they. */
gboolean ws_zone_links_are_suspected(const WsCore *core, WsZoneIndex zone);

/** Whether so many ordinary machines are suspected together that the way to them is interrupted. */
gboolean ws_machines_are_suspected_together(const WsCore *core);

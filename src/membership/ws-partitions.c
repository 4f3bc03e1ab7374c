/**
 * Partitions of zones: detects whether a zone's machines are suspected because the links to them
 * are down.
 *
 * Machines behind a partition continue to run their tasks, and declaring them dead would lose that
 * work. Their timeout is therefore longer than that of a machine that is suspected on its own.
 */
#include "membership/ws-failure-detection.h"

#include "membership/ws-peers.h"
#include "storage/ws-mark-reasons.h"

/* Upper bound of the time that a node takes to restart, as a share of the lease duration. */
#define NODE_RESTART_LEASE_SHARE 0.8
/* For how long a detected partition is valid. Each ws_partitions_tick() detects it again, so this
   must exceed the interval between two calls, that of the core's reconciliation. */
#define PARTITION_VALIDITY_MS 600
/* A common cause is assumed if at least MIN_SUSPECTED_MACHINES machines are suspected at the same
   time and, where machines of all zones are counted, at least one in MACHINES_PER_SUSPECTED. */
#define MIN_SUSPECTED_MACHINES 3
#define MACHINES_PER_SUSPECTED 5

/* Number of machines whose heartbeats are expected, and how many of them are suspected. */
typedef struct {
  guint all;
  guint suspected;
} SuspicionCount;

static void
count_machine(const WsCore *core, const WsMachine *machine, SuspicionCount *count)
{
  count->all++;
  if (ws_machine_is_suspected(core, machine))
    count->suspected++;
}

static gboolean
most_are_suspected(const SuspicionCount *count)
{
  return count->suspected >= MIN_SUSPECTED_MACHINES && 2 * count->suspected > count->all;
}

static gboolean
node_is_in_zone(const WsCore *core, WsNodeIndex node, WsZoneIndex zone)
{
  const WsNode *node_settings = ws_settings_node(core->settings, node);
  return ws_replica_find_zone(core->replica, node_settings->zone) == zone;
}

static gboolean
is_expected_in_zone(const WsMachine *machine, WsZoneIndex zone)
{
  return machine->zone == zone && machine->is_recorded && !machine->is_marked
         && ws_liveness_suspected_since_ms(machine) != 0;
}

gboolean
ws_zone_has_node(const WsCore *core, WsZoneIndex zone)
{
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (node_is_in_zone(core, n, zone))
      return TRUE;
  return FALSE;
}

/* Returns for how long none of the zone's nodes has been reachable; 0: one is reachable, or the
   zone has no node. */
static gint64
unreachable_for_ms(const WsCore *core, WsZoneIndex zone)
{
  gint64 since_ms = 0;
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    if (!node_is_in_zone(core, n, zone))
      continue;
    if (ws_peer_is_reachable(core, n))
      return 0;
    gint64 last_contact_ms = ws_peer(core, n)->last_contact_ms;
    since_ms = MAX(since_ms, last_contact_ms > 0 ? last_contact_ms : ws_epoch_known_since_ms(core));
  }
  return since_ms > 0 ? core->now_ms - since_ms : 0;
}

gboolean
ws_zone_is_partitioned(const WsCore *core, WsZoneIndex zone)
{
  const gint64 *last_partition_ms = core->failure_detector->last_partition_ms;
  return zone < core->settings->zones->len && last_partition_ms[zone] > 0
         && core->now_ms - last_partition_ms[zone] < PARTITION_VALIDITY_MS;
}

/* After a partition has healed, workers still have to find their owners. They are not declared dead
   for the duration of a lease. */
gboolean
ws_zone_is_partitioned_or_recovering(const WsCore *core, WsZoneIndex zone)
{
  const gint64 *confirmed_ms = core->failure_detector->last_confirmed_partition_ms;
  if (ws_zone_is_partitioned(core, zone))
    return TRUE;
  return zone < core->settings->zones->len && confirmed_ms[zone] > 0
         && (double)(core->now_ms - confirmed_ms[zone]) < core->settings->lease_s * 1000.0;
}

static gboolean
member_is_unreachable(const WsCore *core, WsZoneIndex zone)
{
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (node_is_in_zone(core, n, zone) && ws_epoch_has_node(&core->replica->epoch, n)
        && !ws_peer_is_reachable(core, n))
      return TRUE;
  return FALSE;
}

/* Whether a node of the zone is unreachable, or most of its machines are suspected. Such machines
   continue to run their tasks, and after a while another node relays their heartbeats. */
gboolean
ws_zone_links_are_suspected(const WsCore *core, WsZoneIndex zone)
{
  gint64 unreachable_ms = unreachable_for_ms(core, zone);
  /* The leases of the zone's nodes may expire, which removes them from the epoch, before its
     machines are suspected. */
  if (unreachable_ms > 0 && (double)unreachable_ms < core->settings->lease_s * 1000.0)
    return TRUE;
  if (member_is_unreachable(core, zone))
    return TRUE;
  SuspicionCount count = { 0 };
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (is_expected_in_zone(machine, zone))
      count_machine(core, machine, &count);
  }
  return most_are_suspected(&count);
}

/* The cloud may interrupt many spot machines at once, so these are not counted. If many on-demand
   machines are suspected at the same time, the links between them and this node are probably down,
   and their tasks continue until their leases expire. Machines behind a partition are not counted:
   they are no evidence about the others. */
gboolean
ws_machines_are_suspected_together(const WsCore *core)
{
  SuspicionCount count = { 0 };
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->is_spot || !machine->is_recorded || ws_liveness_suspected_since_ms(machine) == 0
        || (machine->is_marked && g_strcmp0(machine->mark_reason, WS_MARK_REASON_SILENT) != 0)
        || ws_zone_is_partitioned_or_recovering(core, machine->zone))
      continue;
    count_machine(core, machine, &count);
  }
  return count.suspected >= MIN_SUSPECTED_MACHINES
         && MACHINES_PER_SUSPECTED * count.suspected >= count.all;
}

/* Counts the machines by which a partition of the zone is detected: those that this node owns or,
   in a zone without a node, those of all owners. */
static SuspicionCount
count_zone(const WsCore *core, WsZoneIndex zone, gboolean has_node)
{
  SuspicionCount count = { 0 };
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (is_expected_in_zone(machine, zone) && (!has_node || ws_owns_machine(core, machine)))
      count_machine(core, machine, &count);
  }
  return count;
}

/* Detects whether a zone is partitioned.
 *
 * A zone with nodes is partitioned if none of them is reachable, and most of this node's machines
 * there are suspected, or all if there are only a few. Its nodes continue to renew the leases of
 * its workers inside the partition. A stopped node together with one or two failed machines looks
 * the same until the node has restarted: if only a few machines are suspected, the partition is
 * confirmed only after that time.
 *
 * A zone without nodes is partitioned if most of its machines are suspected, regardless of their
 * owners. */
static void
detect_partition(WsCore *core, WsZoneIndex zone)
{
  WsFailureDetector *detector = core->failure_detector;
  gboolean has_node = ws_zone_has_node(core, zone);
  gint64 unreachable_ms = unreachable_for_ms(core, zone);
  SuspicionCount count = { 0 };
  if (unreachable_ms > 0 || !has_node)
    count = count_zone(core, zone, has_node);
  gboolean outlasts_restart
      = (double)unreachable_ms > NODE_RESTART_LEASE_SHARE * core->settings->lease_s * 1000.0;
  gboolean majority_is_suspected = most_are_suspected(&count);
  gboolean all_are_suspected = count.all > 0 && count.suspected == count.all;
  if (majority_is_suspected || (has_node && all_are_suspected))
    detector->last_partition_ms[zone] = core->now_ms;
  if (majority_is_suspected || (has_node && all_are_suspected && outlasts_restart))
    detector->last_confirmed_partition_ms[zone] = core->now_ms;
}

void
ws_partitions_tick(WsCore *core)
{
  for (guint z = 0; z < core->settings->zones->len; z++)
    detect_partition(core, z);
}

/**
 * Partitions of zones: whether a zone's machines are suspected because the links to them are
 * interrupted.
 *
 * Machines behind a partition go on working, and declaring them dead would lose that work; they are
 * waited for longer than a machine that is suspected on its own.
 */
#include "membership/ws-failure-detection.h"

#include "membership/ws-peers.h"
#include "storage/ws-mark-reasons.h"

/* The time of a restart of a node, as a share of a lease: an upper bound. */
#define RESTART_LEASE_SHARE 0.8
/* How long a detected partition is valid: longer than the interval between two ticks, each of which
   detects it again. */
#define PARTITION_VALID_MS 600
/* A common cause is assumed when at least so many machines are suspected together, and, where they
   are counted over all zones, one in so many of all. */
#define MIN_SUSPECTED_TOGETHER 3
#define MACHINES_PER_SUSPECTED 5

/* How many machines are expected to be heard, and how many of them are not. */
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
  return count->suspected >= MIN_SUSPECTED_TOGETHER && 2 * count->suspected > count->all;
}

static gboolean
node_is_in_zone(const WsCore *core, WsNodeIndex node, WsZoneIndex zone)
{
  const WsNode *settings = ws_settings_node(core->settings, node);
  return ws_replica_find_zone(core->replica, settings->zone) == zone;
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

/* For how long none of the zone's nodes has been reached; 0: one is, or there is none. */
static gint64
unreachable_for_ms(const WsCore *core, WsZoneIndex zone)
{
  gint64 since_ms = 0;
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    if (!node_is_in_zone(core, n, zone))
      continue;
    if (ws_peer_is_reachable(core, n))
      return 0;
    gint64 heard_ms = ws_peer(core, n)->heard_ms;
    since_ms = MAX(since_ms, heard_ms > 0 ? heard_ms : ws_epoch_known_since_ms(core));
  }
  return since_ms > 0 ? core->now - since_ms : 0;
}

gboolean
ws_zone_is_partitioned(const WsCore *core, WsZoneIndex zone)
{
  const gint64 *last_partition_ms = core->failure_detector->last_partition_ms;
  return zone < core->settings->zones->len && last_partition_ms[zone] > 0
         && core->now - last_partition_ms[zone] < PARTITION_VALID_MS;
}

/* When a partition has healed, workers still have to find their owners: for the time of a lease
   they aren't declared dead. */
gboolean
ws_zone_is_partitioned_or_recovering(const WsCore *core, WsZoneIndex zone)
{
  const gint64 *confirmed_ms = core->failure_detector->last_confirmed_partition_ms;
  if (ws_zone_is_partitioned(core, zone))
    return TRUE;
  return zone < core->settings->zones->len && confirmed_ms[zone] > 0
         && (double)(core->now - confirmed_ms[zone]) < core->settings->lease_s * 1000.0;
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

/* Whether a node of the zone is unreachable, or many of its machines are suspected together. Such
   machines go on working, and their heartbeats are relayed by another node after a while. */
gboolean
ws_zone_links_are_suspected(const WsCore *core, WsZoneIndex zone)
{
  gint64 unreachable_ms = unreachable_for_ms(core, zone);
  /* The leases of its nodes may have expired already, while its machines aren't suspected yet. */
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

/* Many spot machines may be interrupted at once. When other machines are suspected together, the
   links between them and this node are likely interrupted, and their tasks go on until their leases
   expire. Machines behind a partition are not counted: they are no evidence about the others. */
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
  return count.suspected >= MIN_SUSPECTED_TOGETHER
         && MACHINES_PER_SUSPECTED * count.suspected >= count.all;
}

/* Counts the machines by which a partition of the zone is detected: this node's own, or, in a zone
   without a node, those of all owners. */
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

/* Detects whether a zone is partitioned: none of its nodes is reachable, and most of this node's
   machines there are suspected. Inside the partition its nodes go on renewing the leases of its
   workers. A node that has stopped, together with a machine or two that failed, looks the same for
   as long as a restart takes: such a partition is confirmed only after that time. In a zone without
   a node, a partition is inferred if most of its machines are suspected, whoever owns them. */
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
      = (double)unreachable_ms > RESTART_LEASE_SHARE * core->settings->lease_s * 1000.0;
  gboolean most_are = most_are_suspected(&count);
  gboolean all_are = count.all > 0 && count.suspected == count.all;
  if (most_are || (has_node && all_are))
    detector->last_partition_ms[zone] = core->now;
  if (most_are || (has_node && all_are && outlasts_restart))
    detector->last_confirmed_partition_ms[zone] = core->now;
}

void
ws_partitions_tick(WsCore *core)
{
  for (guint z = 0; z < core->settings->zones->len; z++)
    detect_partition(core, z);
}

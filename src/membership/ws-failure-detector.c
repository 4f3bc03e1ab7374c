/* Machines that say nothing: which are asked, which are waited for, and which are given up. */
#include "membership/ws-membership.h"

#define STATUS_PAUSE_MS 600
#define STATUS_TIMEOUT_MS 500
#define INDETERMINATE_MS 8000
#define MOST_STATUS_CALLS 32
/* Leases for which the machines of a zone that is cut off are waited for. */
#define PARTITION_LEASES 10.0
/* The same where the zone has no controller that could keep its tasks alive: they have ended with
   their leases, and what is waited for is the machines. */
#define PARTITION_LEASES_WITHOUT_NODE 3.0
/* A restart takes less than this part of a lease. */
#define RESTART_PART 0.8
/* A cut is looked for at every tick; this is longer than the pause between two. */
#define PARTITION_NOW_MS 600
/* A machine that doesn't do what it's told is not used when it should have shown it by now, and
   returned after a larger part of its lease. */
#define OUTBOUND_PATIENCE_PART 0.7
/* A worker whose node doesn't answer gives up after 4 s and tries the next one a second later. */
#define FIND_MS 5000
/* No worker reaches this node, if none did for as long as this many should have. */
#define UNHEARD_REPORTS 8.0
#define UNHEARD_MS 1500

/* The longest pause between two reports, and what a slow moment here or there may add. */
static gint64
patience_ms(const WsCore *core)
{
  return (gint64)(core->settings->report_s * 1250.0) + 900;
}

gboolean
ws_machine_is_up(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.heard_ms > 0 && core->now - machine->worker.heard_ms <= patience_ms(core);
}

/* Since when nothing was heard of the machine although something should have been; 0: nothing is
   expected. When its owner changes, its worker may first wait for the old one in vain: taking that
   for silence had machines returned whose tasks ran. One that was never heard by this run of the
   program is there if tasks are on it. */
static gint64
silent_since(const WsMachine *machine)
{
  if (machine->worker.heard_ms == 0 && machine->tasks->len == 0)
    return 0;
  gint64 found_ms = machine->worker.owned_ms > 0 ? machine->worker.owned_ms + FIND_MS : 0;
  return MAX(machine->worker.heard_ms, found_ms);
}

gboolean
ws_machine_is_silent(const WsCore *core, const WsMachine *machine)
{
  gint64 since_ms = silent_since(machine);
  return since_ms > 0 && core->now - since_ms > patience_ms(core);
}

static gint64
unacknowledged_for_ms(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.unacknowledged_ms > 0 ? core->now - machine->worker.unacknowledged_ms : 0;
}

gboolean
ws_machine_is_outbound_unreachable(const WsCore *core, const WsMachine *machine)
{
  /* One that says nothing isn't deaf, but silent. */
  return ws_machine_is_up(core, machine)
         && unacknowledged_for_ms(core, machine) > patience_ms(core);
}

/* Calls reach it, and its reports reach nobody: a call showed that its lease has ended, and it has
   not reported since. Whatever is started there ends with the next lease. A machine whose reports
   are only answered elsewhere keeps its session. */
gboolean
ws_machine_is_inbound_unreachable(const WsCore *core, const WsMachine *machine)
{
  return machine->worker.incarnation_changed_ms > machine->worker.reported_ms
         && ws_machine_is_up(core, machine)
         && core->now - machine->worker.incarnation_changed_ms > patience_ms(core);
}

/* The tasks that it held are gone, and those that were assigned since wait there in vain: they
   begin elsewhere once it's returned. An empty one goes when its hold is over. */
static void
watch_inbound_unreachable(WsCore *core, WsMachine *machine)
{
  if (machine->tasks->len > 0 && ws_machine_is_inbound_unreachable(core, machine))
    core->handlers->request_termination(core, machine, "mute", TRUE);
}

static void
on_status(WsCore *core, guint status, const json_t *body, gpointer data)
{
  WsMachine *machine = ws_replica_machine(core->replica, GPOINTER_TO_UINT(data));
  g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse_status_reply(status, body, machine->name);
  core->probes_in_flight--;
  /* An answer older than what is known is not from the machine that was known: it has begun anew.
   */
  if (heartbeat == NULL || !ws_owns_machine(core, machine)
      || !core->handlers->note_worker_status(core, machine, heartbeat)) {
    machine->worker.failed_probes++;
    return;
  }
  /* It is there and reports to somebody else, maybe to a node whose epoch is over. */
  if (heartbeat->fencing_token < core->replica->epoch.number)
    core->handlers->raise_fencing_token(core, machine);
}

static gboolean
zone_has_node(const WsCore *core, WsZoneIndex zone)
{
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (ws_replica_find_zone(core->replica, ws_settings_node(core->settings, n)->zone) == zone)
      return TRUE;
  return FALSE;
}

/* For how long none of the zone's nodes has been reached; 0: one is, or there is none. */
static gint64
out_of_reach_ms(const WsCore *core, WsZoneIndex zone)
{
  gint64 since_ms = 0;
  for (guint n = 0; n < core->settings->nodes->len; n++) {
    if (ws_replica_find_zone(core->replica, ws_settings_node(core->settings, n)->zone) != zone)
      continue;
    if (ws_peer_is_reachable(core, n))
      return 0;
    gint64 heard_ms = core->peers[n].heard_ms > 0 ? core->peers[n].heard_ms : core->epoch_known_ms;
    since_ms = MAX(since_ms, heard_ms);
  }
  return since_ms > 0 ? core->now - since_ms : 0;
}

gboolean
ws_zone_is_partitioned(const WsCore *core, WsZoneIndex zone)
{
  return zone < core->settings->zones->len && core->partition_ms[zone] > 0
         && core->now - core->partition_ms[zone] < PARTITION_NOW_MS;
}

/* When a cut has ended, workers still have to find their owner: they aren't given up for a lease.
 */
static gboolean
is_or_was_partitioned(const WsCore *core, WsZoneIndex zone)
{
  if (ws_zone_is_partitioned(core, zone))
    return TRUE;
  return zone < core->settings->zones->len && core->confirmed_partition_ms[zone] > 0
         && (double)(core->now - core->confirmed_partition_ms[zone])
                < core->settings->lease_s * 1000.0;
}

/* Whether it is the way to the machines of the zone that is silent, not they: a node of the zone is
   out of reach, or many of its machines are silent together. Such machines go on working, and their
   reports come through another node after a while. */
static gboolean
zone_is_partitioned(const WsCore *core, WsZoneIndex zone)
{
  guint silent = 0, all = 0;
  gint64 out_ms = out_of_reach_ms(core, zone);
  /* Its nodes' leases may have ended already, while its machines' silence doesn't show yet. */
  if (out_ms > 0 && (double)out_ms < core->settings->lease_s * 1000.0)
    return TRUE;
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (ws_replica_find_zone(core->replica, ws_settings_node(core->settings, n)->zone) == zone
        && ws_epoch_has_node(&core->replica->epoch, n) && !ws_peer_is_reachable(core, n))
      return TRUE;
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->zone != zone || !machine->is_recorded || machine->is_marked
        || silent_since(machine) == 0)
      continue;
    all++;
    silent += ws_machine_is_silent(core, machine) ? 1 : 0;
  }
  return silent >= 3 && 2 * silent > all;
}

/* Spot machines are taken in waves; when ordinary ones fall silent together, something between them
   and us is interrupted, and their tasks go on until the lease runs out. Those behind a cut say
   nothing of the others. */
static gboolean
is_interruption(const WsCore *core)
{
  guint silent = 0, all = 0;
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->spot || !machine->is_recorded || silent_since(machine) == 0
        || (machine->is_marked && g_strcmp0(machine->mark_reason, "silent") != 0)
        || is_or_was_partitioned(core, machine->zone))
      continue;
    all++;
    silent += ws_machine_is_silent(core, machine) ? 1 : 0;
  }
  return silent >= 3 && 5 * silent >= all;
}

/* Whether a zone is cut off: none of its nodes is reached, nor most of this node's machines there.
   Inside, its nodes go on answering its workers, so that nothing there ends with a lease: giving
   its machines up would throw away work that goes on. A node that has ended and a machine or two
   that died look the same for as long as a restart takes. Nobody inside a zone without a node can
   be missed: there it is inferred from the silence of most of its machines, whoever owns them. */
static void
find_partition(WsCore *core, WsZoneIndex zone)
{
  gboolean has_node = zone_has_node(core, zone);
  gint64 out_ms = out_of_reach_ms(core, zone);
  guint silent = 0, all = 0;
  for (guint i = 0; (out_ms > 0 || !has_node) && i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->zone != zone || !machine->is_recorded || machine->is_marked
        || silent_since(machine) == 0 || (has_node && !ws_owns_machine(core, machine)))
      continue;
    all++;
    silent += ws_machine_is_silent(core, machine) ? 1 : 0;
  }
  gboolean is_long = (double)out_ms > RESTART_PART * core->settings->lease_s * 1000.0;
  gboolean many = silent >= 3 && 2 * silent > all;
  gboolean everyone = all > 0 && silent == all;
  if (many || (has_node && everyone))
    core->partition_ms[zone] = core->now;
  if (many || (has_node && everyone && is_long))
    core->confirmed_partition_ms[zone] = core->now;
}

/* What is the same for all machines, found once. */
typedef struct {
  gboolean known;
  gboolean is_interruption;
  gboolean *zones;
} Partitions;

static void
find_partitions(const WsCore *core, Partitions *partitions)
{
  if (partitions->known)
    return;
  partitions->known = TRUE;
  partitions->is_interruption = is_interruption(core);
  partitions->zones = g_new0(gboolean, core->settings->zones->len);
  for (guint z = 0; z < core->settings->zones->len; z++)
    partitions->zones[z] = zone_is_partitioned(core, z);
}

static gboolean
has_cancelled(const WsCore *core, const WsMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++)
    if (ws_cancellations_has(
            core, ws_replica_job(core->replica, g_array_index(machine->tasks, WsTaskRef, i).job)))
      return TRUE;
  return FALSE;
}

static void
watch_machine(WsCore *core, WsMachine *machine, Partitions *partitions)
{
  gint64 since_ms = silent_since(machine);
  gint64 silent_ms = since_ms > 0 ? core->now - since_ms : 0;
  if (silent_ms <= patience_ms(core))
    return;
  find_partitions(core, partitions);
  if (machine->worker.endpoint != NULL && core->now - machine->worker.probed_ms >= STATUS_PAUSE_MS
      && core->probes_in_flight < MOST_STATUS_CALLS) {
    machine->worker.probed_ms = core->now;
    core->probes_in_flight++;
    ws_call(core, "GET", machine->worker.endpoint, "/status", NULL, STATUS_TIMEOUT_MS, on_status,
            GUINT_TO_POINTER(machine->index));
  }
  gboolean failed = machine->worker.endpoint == NULL || machine->worker.failed_probes >= 2;
  gboolean is_cut = core->is_unreached_by_workers || partitions->is_interruption
                    || (machine->zone != WS_NO_ZONE && partitions->zones[machine->zone]);
  gint64 patience
      = is_cut ? (gint64)(core->settings->lease_s * 1000.0) + 500 : patience_ms(core) + 1500;
  if (is_or_was_partitioned(core, machine->zone)) {
    double leases
        = zone_has_node(core, machine->zone) ? PARTITION_LEASES : PARTITION_LEASES_WITHOUT_NODE;
    patience = (gint64)(core->settings->lease_s * leases * 1000.0);
  }
  /* A cancelled task must be gone in time, cut or not. */
  if (has_cancelled(core, machine))
    patience = MIN(patience, (gint64)(core->settings->cancel_s * 400.0));
  if (failed && silent_ms > patience)
    core->handlers->request_termination(core, machine, "silent", TRUE);
}

static void
watch_outbound_unreachable(WsCore *core, WsMachine *machine, guint deaf, guint all)
{
  gboolean many = deaf >= 3 && 5 * deaf >= all; /* then it's rather this node that isn't heard */
  double part = many ? 1.0 : OUTBOUND_PATIENCE_PART;
  if (ws_machine_is_up(core, machine)
      && (double)unacknowledged_for_ms(core, machine) > part * core->settings->lease_s * 1000.0)
    core->handlers->request_termination(core, machine, "deaf", TRUE);
}

static void
watch_all_outbound_unreachable(WsCore *core)
{
  guint deaf = 0, all = 0;
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (!machine->is_recorded || machine->is_marked || !ws_owns_machine(core, machine))
      continue;
    all++;
    deaf += ws_machine_is_outbound_unreachable(core, machine) ? 1 : 0;
  }
  for (guint i = 0; deaf > 0 && i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->is_recorded && ws_owns_machine(core, machine) && !machine->mark_is_immediate)
      watch_outbound_unreachable(core, machine, deaf, all);
  }
}

/* Whether it is this node that the workers don't reach, not they that are silent. Their reports
   come through the others then. */
static void
find_unheard(WsCore *core)
{
  guint own = 0;
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    own += machine->is_recorded && machine->worker.heard_ms > 0 && ws_owns_machine(core, machine)
               ? 1
               : 0;
  }
  double usual_ms = UNHEARD_REPORTS * core->settings->report_s * 1000.0 / MAX(own, 1u);
  gint64 since_ms = MAX(core->report_ms, core->epoch_known_ms);
  gboolean unheard = own > 0 && (double)(core->now - since_ms) > MAX(usual_ms, UNHEARD_MS);
  if (unheard && !core->is_unreached_by_workers)
    g_info("no worker reaches this node");
  core->is_unreached_by_workers = unheard;
}

/* Each round of status calls begins after the last one of the round before, so that a bound on them
   leaves nobody out. */
void
ws_failure_detector_tick(WsCore *core)
{
  guint count = core->replica->machines->len;
  Partitions partitions = { 0 };
  find_unheard(core);
  for (guint z = 0; z < core->settings->zones->len; z++)
    find_partition(core, z);
  for (guint i = 0; i < count; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, (core->next_probe + i) % count);
    if (!machine->is_recorded || !ws_owns_machine(core, machine))
      continue;
    /* A machine that isn't heard doesn't learn a higher token either. */
    if (machine->worker.indeterminate_launches > 0
        && core->now - machine->worker.indeterminate_ms > INDETERMINATE_MS
        && ws_machine_is_up(core, machine))
      core->new_epoch_needed = TRUE;
    gboolean had_room = core->probes_in_flight < MOST_STATUS_CALLS;
    if (!machine->is_marked || !machine->mark_is_immediate) {
      watch_machine(core, machine, &partitions);
      watch_inbound_unreachable(core, machine);
    }
    if (had_room && core->probes_in_flight == MOST_STATUS_CALLS)
      core->next_probe = machine->index + 1;
  }
  g_free(partitions.zones);
  watch_all_outbound_unreachable(core);
}

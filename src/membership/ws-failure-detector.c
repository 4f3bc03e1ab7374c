/**
 * The failure detector: probes suspected machines, and declares a machine dead if it neither sends
 * a heartbeat nor answers probes until a timeout. A dead machine is terminated without drain.
 */
#include "membership/ws-failure-detection.h"

#include "protocol/ws-status-codes.h"
#include "storage/ws-mark-reasons.h"

#define PROBE_INTERVAL_MS 600
#define PROBE_TIMEOUT_MS 500
#define MAX_PROBES_IN_FLIGHT 32
/* Consecutive failed probes before a machine may be declared dead. */
#define MIN_FAILED_PROBES 2
/* If the epoch has no higher fencing token for a machine, a new epoch is requested after a release
   or launch has waited for one for this time, or while more exits than this wait to be reaped, long
   before they fill a heartbeat. */
#define FENCE_WAIT_TIMEOUT_MS 8000
#define MAX_UNREAPABLE_EXITS 100
/* Time from the heartbeat timeout until a suspected machine whose probes fail is declared dead. */
#define SUSPICION_MARGIN_MS 1500
/* The same where the link to the machine may be down: time from the end of its lease. */
#define LEASE_EXPIRY_MARGIN_MS 500
/* The timeout for machines of a partitioned zone, in lease durations. */
#define PARTITION_TIMEOUT_LEASES 10.0
/* The same for a zone without a node that could renew its workers' leases. The tasks have ended
   with the leases, so a longer timeout would only keep machines, not work. */
#define PARTITION_TIMEOUT_LEASES_WITHOUT_NODE 3.0
/* The maximum timeout for a machine with a cancelled task, in ms per second of cancel_s. */
#define CANCELLED_TIMEOUT_MS_PER_CANCEL_S 400.0
/* A machine whose acknowledgements are overdue is assigned no tasks, and is terminated after this
   share of the lease duration. */
#define OUTBOUND_TIMEOUT_LEASE_SHARE 0.7
/* If at least MIN_OUTBOUND_UNREACHABLE machines, and at least one in
   MACHINES_PER_OUTBOUND_UNREACHABLE, are outbound unreachable, the probable cause is that this
   node's own messages are lost. */
#define MIN_OUTBOUND_UNREACHABLE 3
#define MACHINES_PER_OUTBOUND_UNREACHABLE 5

WsFailureDetector *
ws_failure_detector_new(const WsSettings *settings)
{
  WsFailureDetector *detector = g_new0(WsFailureDetector, 1);
  detector->last_partition_ms = g_new0(gint64, MAX(settings->zones->len, 1u));
  detector->last_confirmed_partition_ms = g_new0(gint64, MAX(settings->zones->len, 1u));
  return detector;
}

void
ws_failure_detector_free(WsFailureDetector *detector)
{
  g_free(detector->last_partition_ms);
  g_free(detector->last_confirmed_partition_ms);
  g_free(detector);
}

/* Probes. */

static void
on_probe_answered(WsCore *core, guint status, const json_t *body, gpointer data)
{
  WsMachine *machine = ws_replica_machine(core->replica, GPOINTER_TO_UINT(data));
  g_autoptr(WsHeartbeat) heartbeat
      = ws_heartbeat_parse_status_response(status, body, machine->name);
  core->failure_detector->probes_in_flight--;
  if (heartbeat == NULL && body != NULL && status == WS_HTTP_OK)
    ws_refusals_record_field(core, WS_READER_WORKER_REPLY, "the worker's status");
  /* An outdated status, as from a worker that was restarted, counts as a failed probe. */
  if (heartbeat == NULL || !ws_owns_machine(core, machine)
      || !core->handlers->apply_worker_status(core, machine, heartbeat)) {
    machine->worker.failed_probes++;
    return;
  }
  /* The machine is up but sends its heartbeats to another node, possibly one that still acts under
     a previous epoch. */
  if (heartbeat->fencing_token < core->replica->epoch.first_token)
    core->handlers->raise_fencing_token(core, machine);
}

static gboolean
may_probe(const WsCore *core)
{
  return core->failure_detector->probes_in_flight < MAX_PROBES_IN_FLIGHT;
}

static void
probe_machine(WsCore *core, WsMachine *machine)
{
  if (machine->worker.endpoint == NULL
      || core->now_ms - machine->worker.probed_ms < PROBE_INTERVAL_MS || !may_probe(core))
    return;
  machine->worker.probed_ms = core->now_ms;
  core->failure_detector->probes_in_flight++;
  ws_call(core, "GET", machine->worker.endpoint, "/status", NULL, PROBE_TIMEOUT_MS,
          on_probe_answered, GUINT_TO_POINTER(machine->index));
}

/* Suspected machines. */

/* Suspected interruptions of links. They are the same for all machines in a tick, so they are
   computed once, at the first suspected machine. */
typedef struct {
  gboolean is_computed;
  gboolean machines_are_suspected_together;
  gboolean *links_are_suspected; /* by zone */
} Interruptions;

static void
compute_interruptions(const WsCore *core, Interruptions *interruptions)
{
  if (interruptions->is_computed)
    return;
  interruptions->is_computed = TRUE;
  interruptions->machines_are_suspected_together = ws_machines_are_suspected_together(core);
  interruptions->links_are_suspected = g_new0(gboolean, core->settings->zones->len);
  for (guint z = 0; z < core->settings->zones->len; z++)
    interruptions->links_are_suspected[z] = ws_zone_links_are_suspected(core, z);
}

static gboolean
has_cancelled_task(const WsCore *core, const WsMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    if (ws_cancellations_has_job(core, ws_replica_job(core->replica, ref->job)))
      return TRUE;
  }
  return FALSE;
}

/* Returns the time since ws_liveness_suspected_since_ms() after which the machine is declared dead
   if its probes fail too. */
static gint64
suspicion_timeout_ms(const WsCore *core, const WsMachine *machine,
                     const Interruptions *interruptions)
{
  const WsSettings *settings = core->settings;
  gboolean is_interrupted
      = ws_receives_no_heartbeats(core) || interruptions->machines_are_suspected_together
        || (machine->zone != WS_NO_ZONE && interruptions->links_are_suspected[machine->zone]);
  gint64 timeout_ms = is_interrupted ? (gint64)(settings->lease_s * 1000.0) + LEASE_EXPIRY_MARGIN_MS
                                     : ws_liveness_heartbeat_timeout_ms(core) + SUSPICION_MARGIN_MS;
  if (ws_zone_is_partitioned_or_recovering(core, machine->zone)) {
    double leases = ws_zone_has_node(core, machine->zone) ? PARTITION_TIMEOUT_LEASES
                                                          : PARTITION_TIMEOUT_LEASES_WITHOUT_NODE;
    timeout_ms = (gint64)(settings->lease_s * leases * 1000.0);
  }
  /* A cancelled task must end within cancel_s, also during a partition. */
  if (has_cancelled_task(core, machine))
    timeout_ms = MIN(timeout_ms, (gint64)(settings->cancel_s * CANCELLED_TIMEOUT_MS_PER_CANCEL_S));
  return timeout_ms;
}

static void
check_suspected(WsCore *core, WsMachine *machine, Interruptions *interruptions)
{
  gint64 since_ms = ws_liveness_suspected_since_ms(machine);
  gint64 suspected_for_ms = since_ms > 0 ? core->now_ms - since_ms : 0;
  if (suspected_for_ms <= ws_liveness_heartbeat_timeout_ms(core))
    return;
  compute_interruptions(core, interruptions);
  probe_machine(core, machine);
  gboolean probes_fail
      = machine->worker.endpoint == NULL || machine->worker.failed_probes >= MIN_FAILED_PROBES;
  if (probes_fail && suspected_for_ms > suspicion_timeout_ms(core, machine, interruptions))
    core->handlers->request_termination(core, machine, WS_MARK_REASON_SILENT, TRUE);
}

/* Machines that are reachable in one direction only. */

/* Terminates an inbound unreachable machine that has tasks. Its lease expired, so its tasks have
   ended, and tasks assigned since then will not be launched; all are assigned to other machines
   once the machine is returned. Without tasks, a machine is terminated by its idle timeout. */
static void
check_inbound_unreachable(WsCore *core, WsMachine *machine)
{
  if (machine->tasks->len > 0 && ws_machine_is_inbound_unreachable(core, machine))
    core->handlers->request_termination(core, machine, WS_MARK_REASON_INBOUND_UNREACHABLE, TRUE);
}

static void
check_outbound_unreachable(WsCore *core, WsMachine *machine, double timeout_ms)
{
  if (ws_machine_is_up(core, machine)
      && (double)ws_liveness_unacknowledged_for_ms(core, machine) > timeout_ms)
    core->handlers->request_termination(core, machine, WS_MARK_REASON_OUTBOUND_UNREACHABLE, TRUE);
}

/* Returns the time without an acknowledgement after which a machine is terminated; 0: no machine is
   outbound unreachable. */
static double
outbound_timeout_ms(const WsCore *core)
{
  guint unreachable = 0, all = 0;
  for (guint i = 0; i < core->replica->machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, i);
    if (!machine->is_recorded || machine->is_marked || !ws_owns_machine(core, machine))
      continue;
    all++;
    unreachable += ws_machine_is_outbound_unreachable(core, machine) ? 1 : 0;
  }
  if (unreachable == 0)
    return 0.0;
  gboolean own_messages_are_lost = unreachable >= MIN_OUTBOUND_UNREACHABLE
                                   && MACHINES_PER_OUTBOUND_UNREACHABLE * unreachable >= all;
  return (own_messages_are_lost ? 1.0 : OUTBOUND_TIMEOUT_LEASE_SHARE) * core->settings->lease_s
         * 1000.0;
}

static void
check_all_outbound_unreachable(WsCore *core)
{
  double timeout_ms = outbound_timeout_ms(core);
  if (timeout_ms <= 0.0)
    return;
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    if (machine->is_recorded && ws_owns_machine(core, machine) && !machine->mark_is_immediate)
      check_outbound_unreachable(core, machine, timeout_ms);
  }
}

/* Requests a new epoch if what is known of the machine waits for a higher fencing token that the
   epoch doesn't have. Only for machines that are up: the others would not receive it either. */
static void
check_fence_wait(WsCore *core, const WsMachine *machine)
{
  const WsWorkerStatus *worker = &machine->worker;
  gboolean is_overdue = worker->fence_wait_since_ms > 0
                        && core->now_ms - worker->fence_wait_since_ms > FENCE_WAIT_TIMEOUT_MS;
  if ((is_overdue || worker->unreapable_exits > MAX_UNREAPABLE_EXITS)
      && ws_machine_is_up(core, machine))
    ws_epoch_request_bump(core);
}

static void
check_machine(WsCore *core, WsMachine *machine, Interruptions *interruptions)
{
  check_fence_wait(core, machine);
  if (machine->is_marked && machine->mark_is_immediate)
    return;
  check_suspected(core, machine, interruptions);
  check_inbound_unreachable(core, machine);
}

/* Each round of probes begins after the last machine of the previous round, so that the limit on
   probes in flight does not starve any machine. */
void
ws_failure_detector_tick(WsCore *core)
{
  guint count = core->replica->machines->len;
  Interruptions interruptions = { 0 };
  ws_liveness_tick(core);
  ws_partitions_tick(core);
  for (guint i = 0; i < count; i++) {
    WsMachine *machine
        = ws_replica_machine(core->replica, (core->failure_detector->next_probe + i) % count);
    if (!machine->is_recorded || !ws_owns_machine(core, machine))
      continue;
    gboolean could_probe = may_probe(core);
    check_machine(core, machine, &interruptions);
    if (could_probe && !may_probe(core))
      core->failure_detector->next_probe = machine->index + 1;
  }
  g_free(interruptions.links_are_suspected);
  check_all_outbound_unreachable(core);
}

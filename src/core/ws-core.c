/* The core: creates the packages, connects them and runs them in a fixed order for each input. */
#include "core/ws-core.h"

#include "api/ws-job-api.h"
#include "commit/ws-commit.h"
#include "fleet/ws-fleet.h"
#include "membership/ws-membership.h"
#include "protocol/ws-status-codes.h"
#include "scheduling/ws-scheduling.h"
#include "store/ws-store.h"
#include "workers/ws-workers.h"

#include <string.h>

#define RECONCILIATION_PERIOD_MS 250
/* Upper limit on the passes over outstanding calls at shutdown, since a reply function may start a
   new call. */
#define MAX_STOP_ROUNDS 20

#define PATH_READY "/ready"
#define PATH_HEARTBEAT "/v1/report"
/* The Retry-After value, in seconds, of a node that isn't ready. */
#define NOT_READY_RETRY_AFTER_S 1

/* Callbacks through which lower packages call higher ones. */
static const WsHandlers HANDLERS = {
  .request_termination = ws_termination_request_mark,
  .apply_worker_status = ws_workers_apply_status,
  .raise_fencing_token = ws_worker_rpc_raise_fencing_token,
  .halt_task = ws_worker_rpc_halt,
  .handle_relay = ws_relay_handle_request,
  .handle_release = ws_releases_add,
  .handle_legacy_release = ws_legacy_releases_add,
  .handle_assignment = ws_assignments_propose,
  .handle_reservation = ws_reservations_renew,
  .has_reservations = ws_reservations_exist,
  .allows_assignment = ws_reservations_allow,
  .on_assignment_added = ws_reservations_consume,
};

WsCore *
ws_core_new(const WsSettings *settings, const WsProperties *properties, guint64 incarnation)
{
  WsCore *core = g_new0(WsCore, 1);
  core->handlers = &HANDLERS;
  core->settings = settings;
  core->properties = properties;
  core->incarnation = incarnation;
  core->replica = ws_replica_new(settings);
  ws_context_init_calls(core);
  core->store = ws_store_new(settings);
  core->authority = ws_authority_new();
  core->election = ws_election_new();
  core->epoch_tracker = ws_epoch_tracker_new();
  core->peers = ws_peers_new(settings);
  core->failure_detector = ws_failure_detector_new(settings);
  core->assignments = ws_assignments_new();
  core->fleet = ws_fleet_new(settings);
  core->plan = ws_plan_new();
  core->peer_requests = ws_peer_requests_new(settings);
  core->cancellations = ws_cancellations_new(settings);
  core->workers = ws_workers_new();
  core->reservations = ws_reservations_new();
  core->write_stats = ws_write_stats_new();
  core->refusals = ws_refusals_new();
  core->legacy_releases = ws_legacy_releases_new();
  core->releases = ws_releases_new();
  core->estimator = ws_estimator_new();
  core->garbage = ws_garbage_new();
  return core;
}

void
ws_core_stop(WsCore *core)
{
  gboolean has_stopped_any = TRUE;
  for (guint round = 0; has_stopped_any && round < MAX_STOP_ROUNDS; round++) {
    gboolean has_stopped_calls = ws_context_stop_calls(core);
    gboolean has_stopped_store = ws_store_stop(core);
    has_stopped_any = has_stopped_calls || has_stopped_store;
  }
}

void
ws_core_free(WsCore *core)
{
  ws_context_free_calls(core);
  ws_store_free(core->store);
  ws_authority_free(core->authority);
  ws_election_free(core->election);
  ws_epoch_tracker_free(core->epoch_tracker);
  ws_peers_free(core->peers);
  ws_failure_detector_free(core->failure_detector);
  ws_assignments_free(core->assignments);
  ws_fleet_free(core->fleet);
  ws_plan_free(core->plan);
  ws_peer_requests_free(core->peer_requests, core->settings);
  ws_cancellations_free(core->cancellations);
  ws_workers_free(core->workers);
  ws_reservations_free(core->reservations);
  ws_write_stats_free(core->write_stats);
  ws_refusals_free(core->refusals);
  ws_legacy_releases_free(core->legacy_releases);
  ws_releases_free(core->releases);
  ws_estimator_free(core->estimator);
  ws_garbage_free(core->garbage);
  ws_replica_free(core->replica);
  g_free(core);
}

guint64
ws_core_machines_examined(const WsCore *core)
{
  return ws_plan_machines_examined(core);
}

guint64
ws_core_plan_count(const WsCore *core)
{
  return ws_plan_count(core);
}

WsOutput *
ws_core_pop_output(WsCore *core)
{
  return g_queue_pop_head(&core->outputs);
}

/* Restarts the machines' idle timeouts after a pause of the process that may have outlasted its
   lease. */
static void
reset_idle_timeouts_after_stall(WsCore *core, gint64 now_ms)
{
  if (!ws_authority_detect_stall(core, now_ms))
    return;
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    machine->fleet.empty_since_ms = 0;
    machine->fleet.underused_since_ms = 0;
  }
}

/* Sets the clocks to the time of an input. The monotonic clock never goes back. */
static void
set_clocks(WsCore *core, gint64 now_ms, gint64 wall_ms)
{
  reset_idle_timeouts_after_stall(core, now_ms);
  core->now_ms = MAX(core->now_ms, now_ms);
  core->wall_ms = wall_ms;
}

/* Resets all state that depends on the leader and the shards of the previous epoch. */
static void
handle_epoch_change(WsCore *core)
{
  if (!ws_epoch_has_changed(core))
    return;
  core->replan_is_needed = TRUE;
  ws_assignments_begin_epoch(core);
  ws_legacy_releases_begin_epoch(core);
  ws_reservations_clear(core);
  ws_epoch_begin(core);
}

static void
update_cancellations(WsCore *core)
{
  ws_authority_record_known_cancellations(core);
  if (ws_cancellations_pump(core))
    ws_cancelled_tasks_tick(core);
}

/* Runs all packages after an input. The order matters: each step may create work for the following
   ones, and the last step sends the store writes of all steps before it. */
static void
run_packages(WsCore *core)
{
  handle_epoch_change(core);
  update_cancellations(core);
  ws_plan_tick(core);
  ws_termination_pump(core);
  ws_workers_launch_assigned(core);
  ws_assignments_pump(core);
  ws_peer_requests_pump(core);
  ws_store_pump(core);
}

static void
log_write_stats(WsCore *core)
{
  if (ws_write_stats_is_due(core))
    ws_write_stats_log(core, ws_assignments_oldest_age_ms(core), ws_releases_oldest_age_ms(core));
}

/* Periodically reconciles the observed state with the desired state. */
static void
reconcile(WsCore *core)
{
  if (core->now_ms < core->next_reconciliation_ms || !ws_store_is_loaded(core))
    return;
  core->next_reconciliation_ms = core->now_ms + RECONCILIATION_PERIOD_MS;
  ws_failure_detector_tick(core);
  ws_termination_tick(core);
  ws_gang_tick(core);
  ws_fleet_tick(core);
  ws_cloud_list_reconcile_tick(core);
  ws_garbage_tick(core);
  log_write_stats(core);
  ws_workers_log_command_stats(core);
}

void
ws_core_tick(WsCore *core, gint64 now_ms, gint64 wall_ms)
{
  set_clocks(core, now_ms, wall_ms);
  ws_refusals_log_counts(core);
  ws_store_tick(core, ws_is_leader(core));
  ws_election_tick(core);
  ws_gossip_tick(core);
  reconcile(core);
  run_packages(core);
}

static void
answer_readiness(WsCore *core, const char *method, gpointer request)
{
  if (strcmp(method, "GET") != 0)
    ws_answer_error(core, request, WS_HTTP_METHOD_NOT_ALLOWED, "only GET here");
  else if (ws_authority_check_readiness(core) == WS_REFUSAL_NONE)
    ws_answer(core, request, WS_HTTP_OK, json_pack("{s:b}", "ready", 1), 0);
  else
    ws_answer_retry_later(core, request, NOT_READY_RETRY_AFTER_S);
}

static void
handle_heartbeat(WsCore *core, const WsIncomingRequest *request)
{
  if (strcmp(request->method, "POST") != 0)
    ws_answer_error(core, request->handle, WS_HTTP_METHOD_NOT_ALLOWED, "only POST here");
  else
    ws_workers_handle_heartbeat(core, request->body, request->length, request->handle);
}

static void
handle_api_request(WsCore *core, const WsIncomingRequest *request)
{
  if (strcmp(request->path, PATH_READY) == 0)
    answer_readiness(core, request->method, request->handle);
  else if (strcmp(request->path, PATH_HEARTBEAT) == 0)
    handle_heartbeat(core, request);
  else
    ws_job_api_handle_request(core, request->method, request->path, request->body, request->length,
                              request->handle);
}

void
ws_core_handle_request(WsCore *core, gint64 now_ms, gint64 wall_ms,
                       const WsIncomingRequest *request)
{
  set_clocks(core, now_ms, wall_ms);
  core->sender = request->sender;
  core->message_bytes = request->length;
  if (request->listener == WS_LISTENER_API)
    handle_api_request(core, request);
  else
    ws_peers_handle_request(core, request->path, request->body, request->length, request->handle);
  core->sender = NULL;
  run_packages(core);
}

void
ws_core_handle_reply(WsCore *core, gint64 now_ms, gint64 wall_ms, guint64 call, guint status,
                     const char *body, gsize length)
{
  set_clocks(core, now_ms, wall_ms);
  if (ws_context_handle_reply(core, call, status, body, length))
    run_packages(core);
}

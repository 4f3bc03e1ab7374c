#include "core/ws-core.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"
#include "commit/ws-commit.h"
#include "fleet/ws-fleet.h"
#include "workers/ws-workers.h"
#include "scheduling/ws-scheduling.h"
#include "api/ws-job-api.h"
#include "commit/ws-releases.h"
#include "commit/ws-legacy-releases.h"
#include "store/ws-write-stats.h"

#include <string.h>

/* A pause between two ticks after which this node's lease may have ended. */
#define STALL_MS 3000

static const WsHandlers HANDLERS = {
  .request_termination = ws_termination_request_mark,
  .note_worker_status = ws_workers_note_status,
  .raise_fencing_token = ws_worker_rpc_raise_fencing_token,
  .halt_task = ws_worker_rpc_halt,
  .handle_relay = ws_relay_handle,
  .handle_release = ws_releases_add,
  .handle_legacy_release = ws_legacy_releases_add,
  .handle_assignment = ws_assignments_propose,
  .handle_reservation = ws_reservations_renew,
  .has_reservations = ws_reservations_exist,
  .allows_assignment = ws_reservations_allow,
  .note_assignment = ws_reservations_consume,
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
  core->election = ws_election_new();
  core->assignments = ws_assignments_new();
  core->fleet = ws_fleet_new(settings);
  core->plan = ws_plan_new();
  core->peer_requests = ws_peer_requests_new(settings);
  core->cancellations = ws_cancellations_new(settings);
  core->workers = ws_workers_new();
  core->reservations = ws_reservations_new();
  core->write_stats = ws_write_stats_new();
  core->legacy_releases = ws_legacy_releases_new();
  core->releases = ws_releases_new();
  core->estimator = ws_estimator_new();
  core->peers = g_new0(WsPeer, settings->nodes->len);
  core->partition_ms = g_new0(gint64, MAX(settings->zones->len, 1u));
  core->confirmed_partition_ms = g_new0(gint64, MAX(settings->zones->len, 1u));
  return core;
}

void
ws_core_stop(WsCore *core)
{
  /* An ended call may lead to another one, but none of them goes on for ever. */
  gboolean any = TRUE;
  for (guint round = 0; any && round < 20; round++)
    any = ws_context_stop_calls(core) | ws_store_stop(core);
}

void
ws_core_free(WsCore *core)
{
  ws_context_clear_calls(core);
  ws_store_free(core->store);
  ws_election_free(core->election);
  ws_assignments_free(core->assignments);
  ws_fleet_free(core->fleet);
  ws_plan_free(core->plan);
  ws_peer_requests_free(core->peer_requests, core->settings);
  ws_cancellations_free(core->cancellations);
  ws_workers_free(core->workers);
  ws_reservations_free(core->reservations);
  ws_write_stats_free(core->write_stats);
  ws_legacy_releases_free(core->legacy_releases);
  ws_releases_free(core->releases);
  g_hash_table_unref(core->estimator);
  ws_replica_free(core->replica);
  g_free(core->peers);
  g_free(core->partition_ms);
  g_free(core->confirmed_partition_ms);
  g_free(core);
}

guint64
ws_core_plan_steps(const WsCore *core)
{
  return core->plan_steps;
}

guint64
ws_core_plans(const WsCore *core)
{
  return core->plans;
}

WsOutput *
ws_core_pop(WsCore *core)
{
  return g_queue_pop_head(&core->outputs);
}

/* Everything that this node would find out by silence, its own lease's end included, looks as if it
   had happened when it stood still while its clocks ran on. */
static void
notice_gap(WsCore *core, gint64 now_ms)
{
  gint64 gap_ms = now_ms - core->now;
  if (core->now == 0 || gap_ms <= STALL_MS)
    return;
  g_info("this node stood still for %.1f s", (double)gap_ms / 1000.0);
  core->is_stalled = TRUE;
  core->epoch_known_ms = now_ms;
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    machine->worker.owned_ms = now_ms;
    machine->fleet.empty_ms = 0;
    machine->fleet.underused_ms = 0;
    machine->worker.unacknowledged_ms = 0;
  }
  ws_election_resume(core, now_ms);
}

static void
set_time(WsCore *core, gint64 now_ms, gint64 wall_ms)
{
  notice_gap(core, now_ms);
  core->now = MAX(core->now, now_ms);
  core->wall = wall_ms;
}

/* After an epoch change everything that rested on the old split starts afresh. */
static void
notice_epoch(WsCore *core)
{
  if (core->handled_epoch == core->replica->epoch.number)
    return;
  core->handled_epoch = core->replica->epoch.number;
  core->epoch_known_ms = core->now;
  core->replan_is_needed = TRUE;
  core->new_epoch_needed = FALSE;
  ws_assignments_begin_epoch(core);
  ws_legacy_releases_begin_epoch(core);
  ws_peer_requests_clear(core);
  ws_reservations_clear(core);
  ws_gossip_begin_epoch(core);
  for (guint i = 0; i < core->replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(core->replica, i);
    machine->worker.redirected_ms = 0;
    machine->worker.failed_probes = 0;
    machine->worker.unacknowledged_ms = 0;
    if (machine->worker.handled_owner != machine->owner)
      machine->worker.owned_ms = core->now;
    machine->worker.handled_owner = machine->owner;
  }
  g_info("epoch %" G_GUINT64_FORMAT " at revision %" G_GUINT64_FORMAT ": %u members, leader %s",
         core->handled_epoch, ws_replica_version(core->replica, WS_KEY_EPOCH),
         core->replica->epoch.members->len,
         core->replica->epoch.leader != WS_NO_NODE
             ? ws_settings_node(core->settings, core->replica->epoch.leader)->name
             : "none");
}

static void
settle(WsCore *core)
{
  notice_epoch(core);
  if (ws_has_all_cancellations(core))
    core->cancellations_known_ms = core->now;
  if (ws_cancellations_pump(core))
    ws_cancelled_tasks_enforce(core);
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

void
ws_core_tick(WsCore *core, gint64 now_ms, gint64 wall_ms)
{
  set_time(core, now_ms, wall_ms);
  ws_store_tick(core, ws_is_leader(core));
  ws_election_tick(core);
  ws_gossip_tick(core);
  if (core->now >= core->upkeep_ms && ws_store_is_loaded(core)) {
    core->upkeep_ms = core->now + 250;
    ws_failure_detector_tick(core);
    ws_termination_tick(core);
    ws_gang_tick(core);
    ws_fleet_tick(core);
    ws_cloud_list_reconcile_tick(core);
    ws_garbage_tick(core);
    log_write_stats(core);
  }
  settle(core);
}

/* Users need no more than the state service and what is known from it: whether this node is among
   the members yet matters to workers only. */
static gboolean
is_ready(const WsCore *core)
{
  return ws_store_is_loaded(core) && !core->is_stalled && core->replica->catalog != NULL
         && !ws_is_refused_by_store_alone(core) && !ws_is_isolated(core);
}

static void
api_request(WsCore *core, const char *method, const char *path, const char *body, gsize length,
            gpointer request)
{
  if (strcmp(path, "/ready") == 0) {
    if (strcmp(method, "GET") != 0)
      ws_answer_reason(core, request, 405, "only GET here");
    else if (is_ready(core))
      ws_answer(core, request, 200, json_pack("{s:b}", "ready", 1), 0);
    else
      ws_answer_later(core, request, 1);
  } else if (strcmp(path, "/v1/report") == 0) {
    if (strcmp(method, "POST") != 0)
      ws_answer_reason(core, request, 405, "only POST here");
    else
      ws_workers_handle_heartbeat(core, body, length, request);
  } else {
    ws_job_api_handle_request(core, method, path, body, length, request);
  }
}

void
ws_core_request(WsCore *core, gint64 now_ms, gint64 wall_ms, WsDoor door, const char *method,
                const char *path, const char *body, gsize length, gpointer request)
{
  set_time(core, now_ms, wall_ms);
  if (door == WS_DOOR_API)
    api_request(core, method, path, body, length, request);
  else
    ws_mesh_handle_request(core, path, body, length, request);
  settle(core);
}

void
ws_core_reply(WsCore *core, gint64 now_ms, gint64 wall_ms, guint64 id, guint status,
              const char *body, gsize length)
{
  set_time(core, now_ms, wall_ms);
  if (!ws_context_take_reply(core, id, status, body, length))
    return;
  settle(core);
}

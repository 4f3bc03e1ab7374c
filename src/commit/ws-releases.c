/* Pending releases: attempts that no longer run but are still recorded as assigned. */
#include "commit/ws-releases-private.h"

#include "commit/ws-release-order.h"
#include "commit/ws-task-key.h"

/* A forwarded release that is not committed within this time is forwarded again. */
#define FORWARD_RETRY_INTERVAL_MS 2000
/* How long a job avoids a machine that may hold an exit of it. */
#define UNREAPED_EXIT_MS 20000
/* With so many recorded, those that have expired are dropped. */
#define MAX_UNREAPED_EXITS 1000

struct _WsReleases {
  GHashTable *pending;        /* task key -> WsPendingRelease */
  GHashTable *unreaped_exits; /* exit_key() -> time of the release (gint64) */
};

WsReleases *
ws_releases_new(void)
{
  WsReleases *releases = g_new0(WsReleases, 1);
  releases->pending = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  releases->unreaped_exits = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return releases;
}

void
ws_releases_free(WsReleases *releases)
{
  g_hash_table_unref(releases->pending);
  g_hash_table_unref(releases->unreaped_exits);
  g_free(releases);
}

guint
ws_releases_count(const WsCore *core)
{
  return g_hash_table_size(core->releases->pending);
}

gint64
ws_releases_oldest_age_ms(const WsCore *core)
{
  gint64 oldest_ms = core->now_ms;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, core->releases->pending);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    oldest_ms = MIN(oldest_ms, ((const WsPendingRelease *)value)->added_ms);
  return core->now_ms - oldest_ms;
}

GArray *
ws_releases_in_commit_order(const WsCore *core)
{
  return ws_releases_sort(core, core->releases->pending);
}

void
ws_releases_remove(WsCore *core, const WsRelease *release)
{
  g_hash_table_remove(core->releases->pending, ws_task_key(release->job, release->task));
}

void
ws_releases_reset_forwarding(WsCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, core->releases->pending);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    ((WsPendingRelease *)value)->forwarded_ms = 0;
}

static void
record_run_time(WsCore *core, const WsRelease *release)
{
  const WsAssignment *assignment = ws_release_assignment(core->replica, release);
  if (release->is_completed && assignment != NULL && ws_is_leader(core))
    ws_estimator_add_run_time(core, ws_replica_job(core->replica, release->job), assignment);
}

/* Merges the evidence of two releases of the same attempt. Stronger evidence is kept: a completed
   task stays completed, and the cloud's confirmation that the machine was returned is stronger than
   any heartbeat. */
static void
merge_evidence(WsRelease *pending, const WsRelease *release)
{
  pending->is_completed = pending->is_completed || release->is_completed;
  if (pending->evidence.kind != WS_EVIDENCE_RETURNED
      && (release->evidence.kind == WS_EVIDENCE_RETURNED
          || release->evidence.epoch >= pending->evidence.epoch))
    pending->evidence = release->evidence;
}

static gpointer
exit_key(WsMachineIndex machine, WsJobIndex job)
{
  return GSIZE_TO_POINTER(((gsize)machine << 32) + job + 1);
}

static gboolean
has_expired(gpointer key, gpointer value, gpointer data)
{
  const WsCore *core = data;
  const gint64 *released_ms = value;
  (void)key;
  return core->now_ms - *released_ms >= UNREAPED_EXIT_MS;
}

/* Records that the machine may hold the exited attempt for long. With a single fencing token, the
   epoch reaps no attempt that was launched by a direct call, and as long as the worker holds it, it
   rejects other attempts of the task. */
static void
record_unreaped_exit(WsCore *core, const WsRelease *release)
{
  const WsEpoch *epoch = &core->replica->epoch;
  if (epoch->first_token != epoch->number || release->is_completed
      || release->evidence.kind != WS_EVIDENCE_EXITED)
    return;
  if (g_hash_table_size(core->releases->unreaped_exits) >= MAX_UNREAPED_EXITS)
    g_hash_table_foreach_remove(core->releases->unreaped_exits, has_expired, core);
  gint64 *released_ms = g_new(gint64, 1);
  *released_ms = core->now_ms;
  g_hash_table_insert(core->releases->unreaped_exits,
                      exit_key(release->evidence.machine, release->job), released_ms);
}

gboolean
ws_releases_may_be_unreaped(const WsCore *core, const WsMachine *machine, const WsJob *job)
{
  const gint64 *released_ms
      = g_hash_table_lookup(core->releases->unreaped_exits, exit_key(machine->index, job->index));
  return released_ms != NULL && core->now_ms - *released_ms < UNREAPED_EXIT_MS;
}

void
ws_releases_add(WsCore *core, const WsRelease *release)
{
  gpointer key = ws_task_key(release->job, release->task);
  WsPendingRelease *pending = g_hash_table_lookup(core->releases->pending, key);
  if (pending != NULL && pending->release.attempt > release->attempt)
    return;
  if (pending != NULL && pending->release.attempt == release->attempt) {
    merge_evidence(&pending->release, release);
    return;
  }
  record_run_time(core, release);
  record_unreaped_exit(core, release);
  pending = g_new0(WsPendingRelease, 1);
  pending->release = *release;
  pending->added_ms = core->now_ms;
  g_hash_table_insert(core->releases->pending, key, pending);
}

void
ws_releases_add_reported(WsCore *core, const WsJob *job, const WsAssignment *assignment,
                         WsEvidenceKind kind, gboolean is_completed)
{
  const WsMachine *machine = ws_replica_machine(core->replica, assignment->machine);
  WsRelease release = { job->index, assignment->task, assignment->attempt, is_completed,
                        ws_evidence_new(core->replica, machine, kind) };
  ws_releases_add(core, &release);
}

void
ws_releases_invalidate(WsCore *core, const WsJob *job, const WsAssignment *assignment)
{
  gpointer key = ws_task_key(job->index, assignment->task);
  const WsPendingRelease *pending = g_hash_table_lookup(core->releases->pending, key);
  if (pending == NULL || pending->release.attempt != assignment->attempt)
    return;
  g_autofree char *text = ws_release_describe(core->replica, &pending->release);
  g_warning("pending release dropped, worker still reports the attempt: %s", text);
  g_hash_table_remove(core->releases->pending, key);
}

gboolean
ws_releases_is_pending(const WsCore *core, const WsJob *job, const WsAssignment *assignment)
{
  const WsPendingRelease *pending
      = g_hash_table_lookup(core->releases->pending, ws_task_key(job->index, assignment->task));
  return pending != NULL && ws_release_is_valid(core->replica, &pending->release);
}

/* Drops releases whose attempt is no longer assigned, and those whose machine has had another owner
   since the evidence was stated. The new owner may have launched the attempt again and has to
   gather evidence of its own. Writing such a release would let the task be assigned again while it
   runs, so that it runs twice. */
static void
drop_invalid_releases(WsCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, core->releases->pending);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const WsRelease *release = &((const WsPendingRelease *)value)->release;
    if (ws_release_is_valid(core->replica, release))
      continue;
    if (ws_release_assignment(core->replica, release) != NULL) {
      g_autofree char *text = ws_release_describe(core->replica, release);
      g_info("pending release dropped in epoch %" G_GUINT64_FORMAT ", evidence no longer valid: %s",
             core->replica->epoch.number, text);
    }
    g_hash_table_iter_remove(&iter);
  }
}

/* Updates the evidence to the current epoch if this node still owns the machine. The evidence is
   still valid, since the owner drops a release that a later heartbeat contradicts. */
static void
renew_evidence(const WsCore *core, WsRelease *release)
{
  if (ws_owns_machine(core, ws_replica_machine(core->replica, release->evidence.machine)))
    release->evidence.epoch = core->replica->epoch.number;
}

void
ws_releases_forward(WsCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, core->releases->pending);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    WsPendingRelease *pending = value;
    if (!ws_release_is_valid(core->replica, &pending->release)) {
      g_hash_table_iter_remove(&iter);
    } else if (pending->forwarded_ms == 0
               || core->now_ms - pending->forwarded_ms >= FORWARD_RETRY_INTERVAL_MS) {
      pending->forwarded_ms = core->now_ms;
      renew_evidence(core, &pending->release);
      ws_peer_request_release(core, &pending->release);
    }
  }
}

void
ws_releases_begin_epoch(WsCore *core)
{
  g_hash_table_remove_all(core->releases->unreaped_exits);
  drop_invalid_releases(core);
  ws_releases_reset_forwarding(core);
}

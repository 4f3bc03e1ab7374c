#include "commit/ws-releases.h"
#include "commit/ws-release-order.h"
#include "commit/ws-commit.h"

#include "membership/ws-membership.h"

/* What was handed in and came to nothing for so long is handed in again. */
#define FORWARD_RETRY_MS 2000

struct _WsReleases {
  GHashTable *pending; /* task -> WsPendingRelease */
};

WsReleases *
ws_releases_new(void)
{
  WsReleases *releases = g_new0(WsReleases, 1);
  releases->pending = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return releases;
}

void
ws_releases_free(WsReleases *releases)
{
  g_hash_table_unref(releases->pending);
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
  gint64 oldest_ms = core->now;
  GHashTableIter iter;
  gpointer known;
  g_hash_table_iter_init(&iter, core->releases->pending);
  while (g_hash_table_iter_next(&iter, NULL, &known))
    oldest_ms = MIN(oldest_ms, ((const WsPendingRelease *)known)->known_ms);
  return core->now - oldest_ms;
}

GArray *
ws_releases_in_order(const WsCore *core)
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
  gpointer known;
  g_hash_table_iter_init(&iter, core->releases->pending);
  while (g_hash_table_iter_next(&iter, NULL, &known))
    ((WsPendingRelease *)known)->asked_ms = 0;
}

static void
note_run_time(WsCore *core, const WsRelease *release)
{
  const WsAssignment *assignment = ws_release_assignment(core->replica, release);
  if (release->done && assignment != NULL && ws_is_leader(core))
    ws_estimator_add(core, ws_replica_job(core->replica, release->job), assignment);
}

/* What is known of an attempt is never forgotten for less: it remains done, and the cloud's word is
   better than any report. */
static void
strengthen(WsRelease *known, const WsRelease *release)
{
  known->done = known->done || release->done;
  if (known->evidence.kind != WS_EVIDENCE_RETURNED
      && (release->evidence.kind == WS_EVIDENCE_RETURNED
          || release->evidence.epoch >= known->evidence.epoch))
    known->evidence = release->evidence;
}

void
ws_releases_add(WsCore *core, const WsRelease *release)
{
  gpointer key = ws_task_key(release->job, release->task);
  WsPendingRelease *known = g_hash_table_lookup(core->releases->pending, key);
  if (known != NULL && known->release.attempt > release->attempt)
    return;
  if (known != NULL && known->release.attempt == release->attempt) {
    strengthen(&known->release, release);
    return;
  }
  note_run_time(core, release);
  known = g_new0(WsPendingRelease, 1);
  known->release = *release;
  known->known_ms = core->now;
  g_hash_table_insert(core->releases->pending, key, known);
}

void
ws_releases_add_reported(WsCore *core, const WsJob *job, const WsAssignment *assignment,
                         WsEvidenceKind kind, gboolean done)
{
  const WsMachine *machine = ws_replica_machine(core->replica, assignment->machine);
  WsRelease release = { job->index, assignment->task, assignment->attempt, done,
                        ws_evidence_new(core->replica, machine, kind) };
  ws_releases_add(core, &release);
}

void
ws_releases_refute(WsCore *core, const WsJob *job, const WsAssignment *assignment)
{
  gpointer key = ws_task_key(job->index, assignment->task);
  const WsPendingRelease *known = g_hash_table_lookup(core->releases->pending, key);
  if (known == NULL || known->release.attempt != assignment->attempt)
    return;
  g_autofree char *text = ws_release_describe(core->replica, &known->release);
  g_warning("a task that was to be released is there: %s", text);
  g_hash_table_remove(core->releases->pending, key);
}

gboolean
ws_releases_has(const WsCore *core, const WsJob *job, const WsAssignment *assignment)
{
  const WsPendingRelease *known
      = g_hash_table_lookup(core->releases->pending, ws_task_key(job->index, assignment->task));
  return known != NULL && ws_release_holds(core->replica, &known->release);
}

/* What was concluded before, and whose machine has had another owner since, is for the present
   owner to conclude afresh: it may have launched the attempt again. An incident broke ran_twice so.
 */
static void
drop_void(WsCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, core->releases->pending);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const WsRelease *release = &((const WsPendingRelease *)value)->release;
    if (ws_release_holds(core->replica, release))
      continue;
    if (ws_release_assignment(core->replica, release) != NULL) {
      g_autofree char *text = ws_release_describe(core->replica, release);
      g_info("a release is dropped in epoch %" G_GUINT64_FORMAT ": %s", core->replica->epoch.number,
             text);
    }
    g_hash_table_iter_remove(&iter);
  }
}

/* The owner states again, under the present epoch, what it has concluded and has stood by since. */
static void
restate(const WsCore *core, WsRelease *release)
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
    WsPendingRelease *known = value;
    if (!ws_release_holds(core->replica, &known->release)) {
      g_hash_table_iter_remove(&iter);
    } else if (known->asked_ms == 0 || core->now - known->asked_ms >= FORWARD_RETRY_MS) {
      known->asked_ms = core->now;
      restate(core, &known->release);
      ws_peer_request_release(core, &known->release);
    }
  }
}

void
ws_releases_begin_epoch(WsCore *core)
{
  drop_void(core);
  ws_releases_reset_forwarding(core);
}

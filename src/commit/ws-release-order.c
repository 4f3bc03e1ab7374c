/* Orders pending releases: first those that end a job, then by the total weight of the releases
   that share a record. */
#include "commit/ws-release-order.h"

#include "commit/ws-job-end.h"
#include "storage/ws-team-use.h"

/* The weight of a new release. A release's weight grows by its age in milliseconds. */
#define INITIAL_WEIGHT_MS 300

/* Totals over all pending releases. */
typedef struct {
  GHashTable *chunk_weight;    /* by chunk */
  GHashTable *pending_count;   /* by job */
  GHashTable *completed_count; /* by job: those of completed tasks */
  gint64 *team_use_weight;     /* by team-use record */
} ReleaseTotals;

static gpointer
chunk_key(const WsRelease *release)
{
  gsize chunks_per_job = WS_MAX_TASKS / WS_CHUNK_TASKS + 1;
  return GSIZE_TO_POINTER((gsize)release->job * chunks_per_job + release->task / WS_CHUNK_TASKS
                          + 1);
}

static gint64
get_total(GHashTable *totals, gpointer key)
{
  return (gint64)GPOINTER_TO_SIZE(g_hash_table_lookup(totals, key));
}

static void
add_to_total(GHashTable *totals, gpointer key, gint64 amount)
{
  g_hash_table_insert(totals, key, GSIZE_TO_POINTER((gsize)(get_total(totals, key) + amount)));
}

static void
totals_init(ReleaseTotals *totals, const WsSettings *settings)
{
  totals->chunk_weight = g_hash_table_new(NULL, NULL);
  totals->pending_count = g_hash_table_new(NULL, NULL);
  totals->completed_count = g_hash_table_new(NULL, NULL);
  totals->team_use_weight = g_new0(gint64, ws_team_use_group_count(settings));
}

static void
totals_clear(ReleaseTotals *totals)
{
  g_hash_table_unref(totals->chunk_weight);
  g_hash_table_unref(totals->pending_count);
  g_hash_table_unref(totals->completed_count);
  g_free(totals->team_use_weight);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(ReleaseTotals, totals_clear)

static void
totals_add_release(ReleaseTotals *totals, const WsCore *core, const WsPendingRelease *pending,
                   const WsJob *job)
{
  gint64 weight = INITIAL_WEIGHT_MS + core->now_ms - pending->added_ms;
  gpointer job_key = GUINT_TO_POINTER(job->index);
  add_to_total(totals->pending_count, job_key, 1);
  add_to_total(totals->completed_count, job_key, pending->release.is_completed ? 1 : 0);
  add_to_total(totals->chunk_weight, chunk_key(&pending->release), weight);
  if (job->team != WS_NO_TEAM)
    totals->team_use_weight[ws_team_use_group(core->settings, job->team)] += weight;
}

/* Returns whether the pending releases of the job, taken together, end the job. */
static gboolean
ends_job(const ReleaseTotals *totals, const WsJob *job)
{
  gpointer key = GUINT_TO_POINTER(job->index);
  gint64 completed = get_total(totals->completed_count, key);
  WsJobProgress progress
      = { .completed_count = job->completed_count + completed,
          .assigned_count = job->assigned_count - get_total(totals->pending_count, key),
          .has_completed = completed > 0 };
  return job->spec != NULL && ws_job_ends_after(job, &progress);
}

static gint
compare_releases(gconstpointer a, gconstpointer b)
{
  const WsOrderedRelease *first = a, *second = b;
  if (first->ends_job != second->ends_job)
    return first->ends_job ? -1 : 1;
  if (first->ends_job && first->accepted_ms != second->accepted_ms)
    return first->accepted_ms < second->accepted_ms ? -1 : 1;
  if (first->team_use_weight != second->team_use_weight)
    return first->team_use_weight > second->team_use_weight ? -1 : 1;
  if (first->chunk_weight != second->chunk_weight)
    return first->chunk_weight > second->chunk_weight ? -1 : 1;
  if (first->release.job != second->release.job)
    return first->release.job < second->release.job ? -1 : 1;
  return first->release.task < second->release.task ? -1
                                                    : first->release.task > second->release.task;
}

static gboolean
are_in_same_chunk(const WsRelease *first, const WsRelease *second)
{
  return first->job == second->job && first->task / WS_CHUNK_TASKS == second->task / WS_CHUNK_TASKS;
}

/* Returns whether the chunk's record, without the tasks that are to be released, is small enough
   for the store. An older version of the program may have written a record above the current limit.
   Its releases then wait until there are enough of them to bring the record below the limit. */
static gboolean
remaining_chunk_fits(const WsCore *core, const GArray *releases, const WsOrderedRelease *ordered)
{
  const WsJob *job = ws_replica_job(core->replica, ordered->release.job);
  const WsChunk *chunk = job->spec != NULL ? ws_job_chunk(job, ordered->release.task) : NULL;
  if (ordered->ends_job || chunk == NULL || ws_chunk_fits_record(chunk, core->replica))
    return TRUE;
  g_autoptr(WsChunk) rest = ws_chunk_copy(chunk);
  for (guint i = 0; i < releases->len; i++) {
    const WsRelease *other = &g_array_index(releases, WsOrderedRelease, i).release;
    if (are_in_same_chunk(other, &ordered->release))
      ws_chunk_remove(rest, other->task);
  }
  return ws_chunk_fits_record(rest, core->replica);
}

/* Removes the releases that can't be written yet. */
static void
remove_unwritable(const WsCore *core, GArray *releases)
{
  g_autofree gboolean *is_unwritable = g_new0(gboolean, MAX(releases->len, 1u));
  for (guint i = 0; i < releases->len; i++)
    is_unwritable[i]
        = !remaining_chunk_fits(core, releases, &g_array_index(releases, WsOrderedRelease, i));
  for (guint i = releases->len; i-- > 0;)
    if (is_unwritable[i])
      g_array_remove_index(releases, i);
}

/* Appends the pending releases, without weights, and adds them to the totals. */
static void
append_pending(const WsCore *core, GHashTable *pending, GArray *releases, ReleaseTotals *totals)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, pending);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const WsPendingRelease *item = value;
    const WsJob *job = ws_replica_job(core->replica, item->release.job);
    WsOrderedRelease ordered = { .release = item->release, .accepted_ms = job->accepted_ms };
    g_array_append_val(releases, ordered);
    totals_add_release(totals, core, item, job);
  }
}

static void
set_weights(const WsCore *core, const ReleaseTotals *totals, WsOrderedRelease *ordered)
{
  const WsJob *job = ws_replica_job(core->replica, ordered->release.job);
  ordered->ends_job = ends_job(totals, job);
  ordered->chunk_weight = get_total(totals->chunk_weight, chunk_key(&ordered->release));
  if (job->team != WS_NO_TEAM)
    ordered->team_use_weight
        = totals->team_use_weight[ws_team_use_group(core->settings, job->team)];
}

GArray *
ws_releases_sort(const WsCore *core, GHashTable *pending)
{
  GArray *releases = g_array_new(FALSE, FALSE, sizeof(WsOrderedRelease));
  g_auto(ReleaseTotals) totals;
  totals_init(&totals, core->settings);
  append_pending(core, pending, releases, &totals);
  for (guint i = 0; i < releases->len; i++)
    set_weights(core, &totals, &g_array_index(releases, WsOrderedRelease, i));
  remove_unwritable(core, releases);
  g_array_sort(releases, compare_releases);
  return releases;
}

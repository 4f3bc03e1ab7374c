#include "commit/ws-release-order.h"

#include "commit/ws-job-completion.h"
#include "storage/ws-team-use.h"

/* What a release weighs at least; the longer it has been known, the more. */
#define MIN_WEIGHT_MS 300

/* Sums over all pending releases. */
typedef struct {
  GHashTable *of_chunk;     /* weight */
  GHashTable *known_of_job; /* how many */
  GHashTable *done_of_job;  /* how many of them are done */
  gint64 *of_team_use;      /* weight by record of teams' use */
} Sums;

static gpointer
chunk_key(const WsRelease *release)
{
  gsize chunks_a_job = WS_MAX_TASKS / WS_CHUNK_TASKS + 1;
  return GSIZE_TO_POINTER((gsize)release->job * chunks_a_job + release->task / WS_CHUNK_TASKS + 1);
}

static gint64
get_sum(GHashTable *sums, gpointer key)
{
  return (gint64)GPOINTER_TO_SIZE(g_hash_table_lookup(sums, key));
}

static void
add_to_sum(GHashTable *sums, gpointer key, gint64 amount)
{
  g_hash_table_insert(sums, key, GSIZE_TO_POINTER((gsize)(get_sum(sums, key) + amount)));
}

static void
sums_init(Sums *sums, const WsSettings *settings)
{
  sums->of_chunk = g_hash_table_new(NULL, NULL);
  sums->known_of_job = g_hash_table_new(NULL, NULL);
  sums->done_of_job = g_hash_table_new(NULL, NULL);
  sums->of_team_use = g_new0(gint64, ws_team_use_groups(settings));
}

static void
sums_clear(Sums *sums)
{
  g_hash_table_unref(sums->of_chunk);
  g_hash_table_unref(sums->known_of_job);
  g_hash_table_unref(sums->done_of_job);
  g_free(sums->of_team_use);
}

static void
sums_add(Sums *sums, const WsCore *core, const WsPendingRelease *pending, const WsJob *job)
{
  gint64 weight = MIN_WEIGHT_MS + core->now - pending->known_ms;
  gpointer job_key = GUINT_TO_POINTER(job->index);
  add_to_sum(sums->known_of_job, job_key, 1);
  add_to_sum(sums->done_of_job, job_key, pending->release.done ? 1 : 0);
  add_to_sum(sums->of_chunk, chunk_key(&pending->release), weight);
  if (job->team != WS_NO_TEAM)
    sums->of_team_use[ws_team_use_group(core->settings, job->team)] += weight;
}

/* Whether the pending releases of the job leave it with nothing to do. */
static gboolean
would_end(const Sums *sums, const WsJob *job)
{
  gpointer key = GUINT_TO_POINTER(job->index);
  gint64 done = get_sum(sums->done_of_job, key);
  WsJobProgress progress
      = { .completed_count = job->completed_count + done,
          .assigned_count = job->assigned_count - get_sum(sums->known_of_job, key),
          .has_completed = done > 0 };
  return job->spec != NULL && ws_job_is_complete_after(job, &progress);
}

static gint
by_weight(gconstpointer a, gconstpointer b)
{
  const WsOrderedRelease *first = a, *second = b;
  if (first->ends_job != second->ends_job)
    return first->ends_job ? -1 : 1;
  if (first->ends_job && first->accepted_ms != second->accepted_ms)
    return first->accepted_ms < second->accepted_ms ? -1 : 1;
  if (first->of_team_use != second->of_team_use)
    return first->of_team_use > second->of_team_use ? -1 : 1;
  if (first->of_chunk != second->of_chunk)
    return first->of_chunk > second->of_chunk ? -1 : 1;
  if (first->release.job != second->release.job)
    return first->release.job < second->release.job ? -1 : 1;
  return first->release.task < second->release.task ? -1
                                                    : first->release.task > second->release.task;
}

static gboolean
is_same_chunk(const WsRelease *first, const WsRelease *second)
{
  return first->job == second->job && first->task / WS_CHUNK_TASKS == second->task / WS_CHUNK_TASKS;
}

/* Whether the chunk's record is one that the state service takes, once the pending ends are off it.
   An older version of the program may have left it larger than may be written now: then its ends
   wait until there are enough of them. */
static gboolean
can_be_written(const WsCore *core, const GArray *ends, const WsOrderedRelease *end)
{
  const WsJob *job = ws_replica_job(core->replica, end->release.job);
  const WsChunk *chunk = job->spec != NULL ? ws_job_chunk(job, end->release.task) : NULL;
  if (end->ends_job || chunk == NULL || ws_chunk_fits_record(chunk, core->replica))
    return TRUE;
  WsChunk *rest = ws_chunk_copy(chunk);
  for (guint i = 0; i < ends->len; i++) {
    const WsRelease *other = &g_array_index(ends, WsOrderedRelease, i).release;
    if (is_same_chunk(other, &end->release))
      ws_chunk_remove(rest, other->task);
  }
  gboolean fits = ws_chunk_fits_record(rest, core->replica);
  ws_chunk_free(rest);
  return fits;
}

/* Leaves out the ends that can't be written yet. */
static void
hold_back(const WsCore *core, GArray *ends)
{
  g_autofree gboolean *held = g_new0(gboolean, MAX(ends->len, 1u));
  for (guint i = 0; i < ends->len; i++)
    held[i] = !can_be_written(core, ends, &g_array_index(ends, WsOrderedRelease, i));
  for (guint i = ends->len; i-- > 0;)
    if (held[i])
      g_array_remove_index(ends, i);
}

GArray *
ws_releases_sort(const WsCore *core, GHashTable *pending)
{
  GArray *ends = g_array_new(FALSE, FALSE, sizeof(WsOrderedRelease));
  Sums sums;
  sums_init(&sums, core->settings);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, pending);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const WsPendingRelease *known = value;
    const WsJob *job = ws_replica_job(core->replica, known->release.job);
    WsOrderedRelease end = { .release = known->release, .accepted_ms = job->accepted_ms };
    g_array_append_val(ends, end);
    sums_add(&sums, core, known, job);
  }
  for (guint i = 0; i < ends->len; i++) {
    WsOrderedRelease *end = &g_array_index(ends, WsOrderedRelease, i);
    const WsJob *job = ws_replica_job(core->replica, end->release.job);
    end->ends_job = would_end(&sums, job);
    end->of_chunk = get_sum(sums.of_chunk, chunk_key(&end->release));
    if (job->team != WS_NO_TEAM)
      end->of_team_use = sums.of_team_use[ws_team_use_group(core->settings, job->team)];
  }
  sums_clear(&sums);
  hold_back(core, ends);
  g_array_sort(ends, by_weight);
  return ends;
}

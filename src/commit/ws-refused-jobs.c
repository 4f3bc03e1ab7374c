#include "commit/ws-refused-jobs.h"

#include "context/ws-context.h"

#define ONE_AT_A_TIME_MS 5000
#define LEFT_OUT_MS 10000

struct _WsRefusedJobs {
  GHashTable *until; /* job -> gint64: until when it is left out */
  gint64 one_at_a_time_until_ms;
};

WsRefusedJobs *
ws_refused_jobs_new(void)
{
  WsRefusedJobs *refused = g_new0(WsRefusedJobs, 1);
  refused->until = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return refused;
}

void
ws_refused_jobs_free(WsRefusedJobs *refused)
{
  g_hash_table_unref(refused->until);
  g_free(refused);
}

void
ws_refused_jobs_note(WsRefusedJobs *refused, gint64 now_ms, const GArray *jobs)
{
  refused->one_at_a_time_until_ms = now_ms + ONE_AT_A_TIME_MS;
  if (jobs->len != 1)
    return;
  gint64 *until_ms = g_new(gint64, 1);
  *until_ms = now_ms + LEFT_OUT_MS;
  g_hash_table_insert(refused->until, GUINT_TO_POINTER(g_array_index(jobs, guint, 0)), until_ms);
}

gboolean
ws_refused_jobs_one_at_a_time(const WsRefusedJobs *refused, gint64 now_ms)
{
  return now_ms < refused->one_at_a_time_until_ms;
}

gboolean
ws_refused_jobs_has(const WsRefusedJobs *refused, gint64 now_ms, guint job)
{
  const gint64 *until_ms = g_hash_table_lookup(refused->until, GUINT_TO_POINTER(job));
  return until_ms != NULL && now_ms < *until_ms;
}

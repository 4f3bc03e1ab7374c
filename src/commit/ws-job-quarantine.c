#include "commit/ws-job-quarantine.h"

#include "context/ws-context.h"

#define ISOLATION_MS 5000
#define QUARANTINE_MS 10000

struct _WsJobQuarantine {
  GHashTable *until; /* job -> gint64: until when it is left out */
  gint64 one_at_a_time_until_ms;
};

WsJobQuarantine *
ws_job_quarantine_new(void)
{
  WsJobQuarantine *refused = g_new0(WsJobQuarantine, 1);
  refused->until = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return refused;
}

void
ws_job_quarantine_free(WsJobQuarantine *refused)
{
  g_hash_table_unref(refused->until);
  g_free(refused);
}

void
ws_job_quarantine_add(WsJobQuarantine *refused, gint64 now_ms, const GArray *jobs)
{
  refused->one_at_a_time_until_ms = now_ms + ISOLATION_MS;
  if (jobs->len != 1)
    return;
  gint64 *until_ms = g_new(gint64, 1);
  *until_ms = now_ms + QUARANTINE_MS;
  g_hash_table_insert(refused->until, GUINT_TO_POINTER(g_array_index(jobs, guint, 0)), until_ms);
}

gboolean
ws_job_quarantine_is_isolating(const WsJobQuarantine *refused, gint64 now_ms)
{
  return now_ms < refused->one_at_a_time_until_ms;
}

gboolean
ws_job_quarantine_has(const WsJobQuarantine *refused, gint64 now_ms, WsJobIndex job)
{
  const gint64 *until_ms = g_hash_table_lookup(refused->until, GUINT_TO_POINTER(job));
  return until_ms != NULL && now_ms < *until_ms;
}

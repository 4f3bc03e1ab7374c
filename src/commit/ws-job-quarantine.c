/* The quarantine of jobs whose records the store rejects. */
#include "commit/ws-job-quarantine.h"

#include "context/ws-context.h"

#define ISOLATION_MS 5000
#define QUARANTINE_MS 10000

struct _WsJobQuarantine {
  GHashTable *until_ms; /* job index -> gint64: until when the job is left out */
  gint64 isolating_until_ms;
};

WsJobQuarantine *
ws_job_quarantine_new(void)
{
  WsJobQuarantine *quarantine = g_new0(WsJobQuarantine, 1);
  quarantine->until_ms = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return quarantine;
}

void
ws_job_quarantine_free(WsJobQuarantine *quarantine)
{
  g_hash_table_unref(quarantine->until_ms);
  g_free(quarantine);
}

void
ws_job_quarantine_record_rejection(WsJobQuarantine *quarantine, gint64 now_ms, const GArray *jobs)
{
  quarantine->isolating_until_ms = now_ms + ISOLATION_MS;
  if (jobs->len != 1)
    return;
  gint64 *until_ms = g_new(gint64, 1);
  *until_ms = now_ms + QUARANTINE_MS;
  g_hash_table_insert(quarantine->until_ms, GUINT_TO_POINTER(g_array_index(jobs, guint, 0)),
                      until_ms);
}

gboolean
ws_job_quarantine_is_isolating(const WsJobQuarantine *quarantine, gint64 now_ms)
{
  return now_ms < quarantine->isolating_until_ms;
}

gboolean
ws_job_quarantine_contains(const WsJobQuarantine *quarantine, gint64 now_ms, WsJobIndex job)
{
  const gint64 *until_ms = g_hash_table_lookup(quarantine->until_ms, GUINT_TO_POINTER(job));
  return until_ms != NULL && now_ms < *until_ms;
}

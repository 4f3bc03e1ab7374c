/* Quarantine of jobs whose records the store rejects as invalid. */
#include "commit/ws-job-quarantine.h"

#include "context/ws-context.h"

/* How long transactions are limited to one job each, after a rejection. */
#define ISOLATION_DURATION_MS 5000
/* How long a job that was rejected alone is excluded. */
#define QUARANTINE_DURATION_MS 10000

struct _WsJobQuarantine {
  GHashTable *end_ms_by_job; /* job index -> gint64: end of the quarantine */
  gint64 isolation_end_ms;
};

WsJobQuarantine *
ws_job_quarantine_new(void)
{
  WsJobQuarantine *quarantine = g_new0(WsJobQuarantine, 1);
  quarantine->end_ms_by_job = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return quarantine;
}

void
ws_job_quarantine_free(WsJobQuarantine *quarantine)
{
  g_hash_table_unref(quarantine->end_ms_by_job);
  g_free(quarantine);
}

void
ws_job_quarantine_record_rejection(WsJobQuarantine *quarantine, gint64 now_ms, const GArray *jobs)
{
  quarantine->isolation_end_ms = now_ms + ISOLATION_DURATION_MS;
  if (jobs->len != 1)
    return;
  gint64 *end_ms = g_new(gint64, 1);
  *end_ms = now_ms + QUARANTINE_DURATION_MS;
  g_hash_table_insert(quarantine->end_ms_by_job, GUINT_TO_POINTER(g_array_index(jobs, guint, 0)),
                      end_ms);
}

gboolean
ws_job_quarantine_restricts_to_one_job(const WsJobQuarantine *quarantine, gint64 now_ms)
{
  return now_ms < quarantine->isolation_end_ms;
}

gboolean
ws_job_quarantine_contains(const WsJobQuarantine *quarantine, gint64 now_ms, WsJobIndex job)
{
  const gint64 *end_ms = g_hash_table_lookup(quarantine->end_ms_by_job, GUINT_TO_POINTER(job));
  return end_ms != NULL && now_ms < *end_ms;
}

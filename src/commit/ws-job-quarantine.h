/**
 * Quarantine of jobs whose records the store rejects as invalid.
 *
 * The store rejects a whole transaction if a record is too large or malformed, and a retry would
 * fail again. To keep one such job from blocking all others, each transaction is limited to a
 * single job for some seconds after a rejection. A job that was alone in a rejected transaction is
 * excluded from transactions for some seconds.
 */
#pragma once

#include "protocol/ws-index.h"

/** The set of quarantined jobs. All times passed to it are milliseconds of the same clock. */
typedef struct _WsJobQuarantine WsJobQuarantine;

/** Creates an empty quarantine. The caller frees it. */
WsJobQuarantine *ws_job_quarantine_new(void);

/** Frees the quarantine. @quarantine: not NULL */
void ws_job_quarantine_free(WsJobQuarantine *quarantine);

/**
 * Records that the store rejected a transaction. Quarantines its job if it had only one.
 *
 * @jobs: of guint, the indices of the transaction's jobs
 */
void ws_job_quarantine_record_rejection(WsJobQuarantine *quarantine, gint64 now_ms,
                                        const GArray *jobs);

/** Returns whether transactions are currently limited to one job each. */
gboolean ws_job_quarantine_restricts_to_one_job(const WsJobQuarantine *quarantine, gint64 now_ms);

/** Returns whether the job is currently quarantined. */
gboolean ws_job_quarantine_contains(const WsJobQuarantine *quarantine, gint64 now_ms,
                                    WsJobIndex job);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsJobQuarantine, ws_job_quarantine_free)

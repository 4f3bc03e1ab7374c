/**
 * The quarantine of jobs whose records the store rejects.
 *
 * A rejection for a record's size or form is a fault that a retry doesn't mend. So that it holds up
 * no other job, what a rejected transaction had is written one job at a time for a while; a job
 * that is rejected alone is left out for some seconds.
 */
#pragma once

#include "protocol/ws-index.h"

/** The jobs that are left out for now, and until when. Its times are in ms of one clock. */
typedef struct _WsJobQuarantine WsJobQuarantine;

/** Creates a quarantine without jobs. The caller frees it. */
WsJobQuarantine *ws_job_quarantine_new(void);

/** Frees the quarantine. @quarantine: not NULL */
void ws_job_quarantine_free(WsJobQuarantine *quarantine);

/** Notes that a transaction was rejected. @jobs: of guint, the indices of its jobs */
void ws_job_quarantine_record_rejection(WsJobQuarantine *quarantine, gint64 now_ms,
                                        const GArray *jobs);

/** Whether transactions hold one job each for now. */
gboolean ws_job_quarantine_is_isolating(const WsJobQuarantine *quarantine, gint64 now_ms);

/** Whether the job is left out for now. */
gboolean ws_job_quarantine_contains(const WsJobQuarantine *quarantine, gint64 now_ms,
                                    WsJobIndex job);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsJobQuarantine, ws_job_quarantine_free)

/**
 * Jobs whose records the state service refuses as they are.
 *
 * A refusal for a record's size or form is a fault that a repetition doesn't mend. So that it holds
 * up nothing else, what a refused transaction held is written one job at a time for a while; a job
 * that is refused alone is left out for some seconds.
 */
#pragma once

#include "protocol/ws-index.h"

typedef struct _WsJobQuarantine WsJobQuarantine;

WsJobQuarantine *ws_job_quarantine_new(void);
void ws_job_quarantine_free(WsJobQuarantine *refused);

/** A transaction of these jobs (indices, of guint) was refused. */
void ws_job_quarantine_add(WsJobQuarantine *refused, gint64 now_ms, const GArray *jobs);

/** Whether transactions hold one job each for now. */
gboolean ws_job_quarantine_is_isolating(const WsJobQuarantine *refused, gint64 now_ms);

/** Whether the job is left out for now. */
gboolean ws_job_quarantine_has(const WsJobQuarantine *refused, gint64 now_ms, WsJobIndex job);

/**
 * Jobs whose records the state service refuses as they are.
 *
 * A refusal for a record's size or form is a fault that a repetition doesn't mend. So that it holds
 * up nothing else, what a refused transaction held is written one job at a time for a while; a job
 * that is refused alone is left out for some seconds.
 */
#pragma once

#include <glib.h>

typedef struct _WsRefusedJobs WsRefusedJobs;

WsRefusedJobs *ws_refused_jobs_new(void);
void ws_refused_jobs_free(WsRefusedJobs *refused);

/** A transaction of these jobs (indices, of guint) was refused. */
void ws_refused_jobs_note(WsRefusedJobs *refused, gint64 now_ms, const GArray *jobs);

/** Whether transactions hold one job each for now. */
gboolean ws_refused_jobs_one_at_a_time(const WsRefusedJobs *refused, gint64 now_ms);

/** Whether the job is left out for now. */
gboolean ws_refused_jobs_has(const WsRefusedJobs *refused, gint64 now_ms, guint job);

/**
 * The job API: users submit, poll and cancel jobs.
 *
 * A request about a job whose final state is known is answered at once. All other requests are
 * answered after a linearizable read or after their transaction, or with status 503 if the store is
 * unavailable.
 */
#pragma once

#include "context/ws-context.h"

/**
 * Handles a user's request under /api/jobs. The request is answered by this call or by a later
 * input.
 *
 * @body: @length bytes; not kept; may be NULL
 * @request: the handle to pass to ws_answer(), which is called exactly once
 */
void ws_job_api_handle_request(WsCore *core, const char *method, const char *path, const char *body,
                               gsize length, gpointer request);

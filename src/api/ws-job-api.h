/**
 * The job API: submissions, polls and cancellations of users.
 *
 * Requests about jobs whose final state is known are answered at once; all others after a
 * linearizable read or the transaction itself, or with 503 if the store can't be reached.
 */
#pragma once

#include "context/ws-context.h"

/**
 * Handles a request of a user under /api/jobs, which is answered now or later.
 *
 * @body: @length bytes, read before the call returns; may be NULL
 * @request: the handle under which ws_answer() answers it, exactly once
 */
void ws_job_api_handle_request(WsCore *core, const char *method, const char *path, const char *body,
                               gsize length, gpointer request);

/**
 * Admission of jobs: whether a job could ever run on this fleet, within its team's limit. Called by
 * the job API for each submission.
 */
#pragma once

#include "context/ws-context.h"

/**
 * Returns why the job can never run, for its user; NULL: it may. A static string.
 *
 * It depends on settings and the cloud's catalog, which must be known.
 */
const char *ws_admission_rejection_reason(const WsCore *core, const WsJobSpec *spec);

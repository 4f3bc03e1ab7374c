/**
 * Admission control: rejects submitted jobs that could never run on this cluster within the limit
 * of their team. Called by the job API for each submission.
 */
#pragma once

#include "context/ws-context.h"

/**
 * Returns the reason, a static string for the user, why the job can never run; NULL: the job is
 * admitted. Uses the settings and the cloud's catalog, which must have been loaded.
 */
const char *ws_admission_rejection_reason(const WsCore *core, const WsJobSpec *spec);

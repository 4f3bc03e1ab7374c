/**
 * A trace of what controllers put out, to compare versions of the program by.
 *
 * With WS_TRACE=FILE in the environment, every answer and call of every simulated controller is
 * written to the file, one a line: simulated time in milliseconds, node, "answer" with its status
 * or "call", method, URL and body. Bodies are written with sorted keys, so that only what is said
 * counts. Two plays with one seed give the same bytes, whatever addresses the process was given.
 */
#pragma once

#include "core/ws-core.h"

/** Writes one line, if a trace is wanted; with the method and URL of the request of an answer. */
void sim_trace_output(gint64 now_ms, const char *node, const char *method, const char *url,
                      const WsOutput *output);

/**
 * A trace of the controllers' outputs, by which two versions of the program can be compared.
 *
 * With WS_TRACE=FILE in the environment, every answer and call of every simulated controller is
 * written to the file, one per line: simulated time in milliseconds, node, "answer" with its status
 * or "call" with its timeout, method, URL and body. Bodies are written with sorted keys, so that
 * the order of keys makes no difference. Two runs with the same seed write the same bytes, also in
 * processes whose memory addresses differ.
 */
#pragma once

#include "core/ws-core.h"

/** Writes an output, if WS_TRACE is set. An answer has the method and URL of its request. */
void sim_trace_output(gint64 now_ms, const char *node, const char *method, const char *url,
                      const WsOutput *output);

/**
 * Statistics of changes to the state service, by purpose.
 *
 * Where the state service takes few changes a second, they decide how fast work begins and ends. A
 * line of the log says every half minute what they went on, and how long assignments and ends of
 * tasks have waited for their turn.
 */
#pragma once

#include "context/ws-context.h"

WsWriteStats *ws_write_stats_new(void);
void ws_write_stats_free(WsWriteStats *stats);

/** Counts a change that was carried out. */
void ws_write_stats_add(WsCore *core, const char *key);

/** Writes the line when it is due, and begins to count anew. */
void ws_write_stats_tick(WsCore *core);

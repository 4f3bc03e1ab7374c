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

/** Whether the line is due. */
gboolean ws_write_stats_is_due(const WsCore *core);

/**
 * Writes the line, and begins to count anew.
 *
 * @oldest_assignment_ms, @oldest_release_ms: for how long the oldest of each has waited
 */
void ws_write_stats_log(WsCore *core, gint64 oldest_assignment_ms, gint64 oldest_release_ms);

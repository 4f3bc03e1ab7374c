/**
 * Counts of the commands that matter for whether a task may start twice, logged periodically.
 */
#include "workers/ws-workers-private.h"

#define LOG_INTERVAL_MS 30000

static const char *const DESCRIPTIONS[WS_COMMAND_EVENT_COUNT] = {
  [WS_COMMAND_DIRECT_LAUNCH] = "direct launches",
  [WS_COMMAND_REJECTED] = "direct calls rejected by workers",
  [WS_COMMAND_UNANSWERED] = "direct calls without an answer",
  [WS_COMMAND_REAP] = "reaps",
};

struct _WsCommandStats {
  guint counts[WS_COMMAND_EVENT_COUNT];
  gint64 since_ms;
};

WsCommandStats *
ws_command_stats_new(void)
{
  return g_new0(WsCommandStats, 1);
}

void
ws_command_stats_free(WsCommandStats *stats)
{
  g_free(stats);
}

void
ws_command_stats_add(const WsCore *core, WsCommandEvent event)
{
  core->workers->command_stats->counts[event]++;
}

static char *
format_counts(const WsCommandStats *stats)
{
  GString *text = g_string_new(NULL);
  for (guint i = 0; i < WS_COMMAND_EVENT_COUNT; i++)
    if (stats->counts[i] > 0)
      g_string_append_printf(text, "%s%u %s", text->len > 0 ? ", " : "", stats->counts[i],
                             DESCRIPTIONS[i]);
  return g_string_free(text, FALSE);
}

void
ws_workers_log_command_stats(WsCore *core)
{
  WsCommandStats *stats = core->workers->command_stats;
  if (core->now_ms - stats->since_ms < LOG_INTERVAL_MS)
    return;
  g_autofree char *text = format_counts(stats);
  if (*text != '\0')
    g_info("commands to workers in %.0f s, epoch %" G_GUINT64_FORMAT ": %s",
           (double)(core->now_ms - stats->since_ms) / 1000.0, core->replica->epoch.number, text);
  *stats = (WsCommandStats){ .since_ms = core->now_ms };
}

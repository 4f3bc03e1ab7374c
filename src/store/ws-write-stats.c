/* Statistics of committed operations, by purpose.

   A store with a low write rate limits how fast tasks are launched and released. The statistics
   show how much of that rate each purpose uses. */
#include "store/ws-store-private.h"

#define WRITE_STATS_LOG_INTERVAL_MS 30000

static const struct {
  const char *prefix;
  const char *purpose;
} PURPOSES[] = {
  { WS_KEY_PREFIX_JOB, "jobs" },
  { WS_KEY_PREFIX_CHUNK, "tasks" },
  { WS_KEY_PREFIX_TEAM_USE, "team use" },
  { WS_KEY_PREFIX_RENTAL_BATCH, "rental batches" },
  { WS_KEY_PREFIX_MARK, "termination marks" },
  { WS_KEY_PREFIX_RENTAL_INTENT, "rental intents" },
  { WS_KEY_PREFIX_MEMBER, "members" },
  { WS_KEY_PREFIX_MAILBOX, "mailboxes" },
  { WS_KEY_PREFIX, "other" },
};

struct _WsWriteStats {
  guint counts[G_N_ELEMENTS(PURPOSES)];
  gint64 since_ms;
};

WsWriteStats *
ws_write_stats_new(void)
{
  return g_new0(WsWriteStats, 1);
}

void
ws_write_stats_free(WsWriteStats *stats)
{
  g_free(stats);
}

void
ws_write_stats_add(WsCore *core, const char *key)
{
  for (gsize i = 0; i < G_N_ELEMENTS(PURPOSES); i++) {
    if (!g_str_has_prefix(key, PURPOSES[i].prefix))
      continue;
    core->write_stats->counts[i]++;
    return;
  }
}

gboolean
ws_write_stats_is_due(const WsCore *core)
{
  return core->now_ms - core->write_stats->since_ms >= WRITE_STATS_LOG_INTERVAL_MS;
}

static char *
format_counts(const WsWriteStats *stats)
{
  GString *text = g_string_new(NULL);
  for (gsize i = 0; i < G_N_ELEMENTS(PURPOSES); i++)
    if (stats->counts[i] > 0)
      g_string_append_printf(text, "%s%u %s", text->len > 0 ? ", " : "", stats->counts[i],
                             PURPOSES[i].purpose);
  return g_string_free(text, FALSE);
}

void
ws_write_stats_log(WsCore *core, gint64 oldest_assignment_ms, gint64 oldest_release_ms)
{
  WsWriteStats *stats = core->write_stats;
  g_autofree char *text = format_counts(stats);
  if (*text != '\0')
    g_info("operations committed in %.0f s: %s; oldest pending: assignment %.1f s, release %.1f s",
           (double)(core->now_ms - stats->since_ms) / 1000.0, text,
           (double)oldest_assignment_ms / 1000.0, (double)oldest_release_ms / 1000.0);
  *stats = (WsWriteStats){ .since_ms = core->now_ms };
}

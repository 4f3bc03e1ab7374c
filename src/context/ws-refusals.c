/* The log and the counters of refused messages. */
#include "context/ws-refusals.h"

#include "context/ws-context.h"
#include "protocol/ws-error.h"

#include <string.h>

#define COUNTS_LOG_INTERVAL_MS 30000
/* Interval between two log lines about the same sender. */
#define SENDER_LOG_INTERVAL_MS 10000
/* Limit of senders that are remembered. Beyond it, refusals are counted and not logged. */
#define MAX_LOGGED_SENDERS 256

static const char *const READER_NAMES[WS_READER_COUNT] = {
  [WS_READER_SUBMISSION] = "submissions",      [WS_READER_HEARTBEAT] = "heartbeats",
  [WS_READER_PEER_REQUEST] = "peer requests",  [WS_READER_PEER_REPLY] = "peer replies",
  [WS_READER_STORE_REPLY] = "store replies",   [WS_READER_CLOUD_REPLY] = "cloud replies",
  [WS_READER_WORKER_REPLY] = "worker replies",
};

/* Why a message was refused. */
typedef enum { REASON_NOT_JSON, REASON_INVALID_FIELD, REASON_TOO_LARGE, REASON_COUNT } Reason;

static const char *const REASON_NAMES[REASON_COUNT] = {
  [REASON_NOT_JSON] = "not a JSON object",
  [REASON_INVALID_FIELD] = "invalid field",
  [REASON_TOO_LARGE] = "too large",
};

/* What was logged about a sender. */
typedef struct {
  gint64 logged_ms;    /* when it was last logged */
  guint omitted_lines; /* refusals since then */
} SenderLog;

struct _WsRefusals {
  guint counts[WS_READER_COUNT][REASON_COUNT];
  gint64 counts_since_ms;
  GHashTable *senders; /* by address: SenderLog */
};

WsRefusals *
ws_refusals_new(void)
{
  WsRefusals *refusals = g_new0(WsRefusals, 1);
  refusals->senders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return refusals;
}

void
ws_refusals_free(WsRefusals *refusals)
{
  if (refusals == NULL)
    return;
  g_hash_table_unref(refusals->senders);
  g_free(refusals);
}

static Reason
reason_of(const GError *error)
{
  if (g_error_matches(error, WS_ERROR, WS_ERROR_TOO_LARGE))
    return REASON_TOO_LARGE;
  if (g_error_matches(error, WS_ERROR, WS_ERROR_MALFORMED))
    return REASON_NOT_JSON;
  return REASON_INVALID_FIELD;
}

static gboolean
is_forgettable(gpointer sender, gpointer value, gpointer now_ms)
{
  (void)sender;
  return *(gint64 *)now_ms - ((SenderLog *)value)->logged_ms >= SENDER_LOG_INTERVAL_MS;
}

/* Returns the sender's entry, or NULL if too many senders are remembered. */
static SenderLog *
ensure_sender(WsCore *core, const char *sender)
{
  GHashTable *senders = core->refusals->senders;
  SenderLog *log = g_hash_table_lookup(senders, sender);
  if (log != NULL)
    return log;
  if (g_hash_table_size(senders) >= MAX_LOGGED_SENDERS)
    g_hash_table_foreach_remove(senders, is_forgettable, &core->now_ms);
  if (g_hash_table_size(senders) >= MAX_LOGGED_SENDERS)
    return NULL;
  log = g_new0(SenderLog, 1);
  log->logged_ms = core->now_ms - SENDER_LOG_INTERVAL_MS;
  g_hash_table_insert(senders, g_strdup(sender), log);
  return log;
}

void
ws_refusals_record(WsCore *core, WsReader reader, const GError *error)
{
  const char *sender = core->sender != NULL ? core->sender : "an unknown sender";
  core->refusals->counts[reader][reason_of(error)]++;
  SenderLog *log = ensure_sender(core, sender);
  if (log == NULL)
    return;
  if (core->now_ms - log->logged_ms < SENDER_LOG_INTERVAL_MS) {
    log->omitted_lines++;
    return;
  }
  g_warning("message refused (%s) from %s, %" G_GSIZE_FORMAT " bytes: %s; %u more not logged",
            READER_NAMES[reader], sender, core->message_bytes, error->message, log->omitted_lines);
  *log = (SenderLog){ .logged_ms = core->now_ms };
}

void
ws_refusals_record_field(WsCore *core, WsReader reader, const char *name)
{
  g_autoptr(GError) error = NULL;
  ws_error_set_invalid(&error, WS_ERROR_INVALID_FIELD, name);
  ws_refusals_record(core, reader, error);
}

static char *
format_counts(const WsRefusals *refusals)
{
  GString *text = g_string_new(NULL);
  for (guint reader = 0; reader < WS_READER_COUNT; reader++)
    for (guint reason = 0; reason < REASON_COUNT; reason++)
      if (refusals->counts[reader][reason] > 0)
        g_string_append_printf(text, "%s%u %s (%s)", text->len > 0 ? ", " : "",
                               refusals->counts[reader][reason], READER_NAMES[reader],
                               REASON_NAMES[reason]);
  return g_string_free(text, FALSE);
}

void
ws_refusals_log_counts(WsCore *core)
{
  WsRefusals *refusals = core->refusals;
  gint64 elapsed_ms = core->now_ms - refusals->counts_since_ms;
  if (elapsed_ms < COUNTS_LOG_INTERVAL_MS)
    return;
  g_autofree char *text = format_counts(refusals);
  if (*text != '\0')
    g_info("messages refused in %.0f s: %s", (double)elapsed_ms / 1000.0, text);
  memset(refusals->counts, 0, sizeof refusals->counts);
  refusals->counts_since_ms = core->now_ms;
}

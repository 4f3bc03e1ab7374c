/* Linearizable reads of the replica. The client requests the store's current revision; the read
   completes once the watch has brought the replica up to that revision. */
#include "store/ws-store-private.h"

#include "protocol/ws-kv.h"

#define LINEARIZABLE_READ_TIMEOUT_MS 1500
#define REVISION_REQUEST_TIMEOUT_MS 800
/* No key has this prefix: a page of it carries the store's revision and no items. */
#define NO_KEYS_PREFIX WS_KEY_PREFIX "~"
#define REVISION_PAGE_KEYS 1

typedef struct {
  WsReadFunc done;
  gpointer data;
  gint64 requested_ms;
  guint64 revision; /* the replica must reach it; 0: not known yet */
} PendingRead;

static GArray *
pending_reads_new(void)
{
  return g_array_new(FALSE, FALSE, sizeof(PendingRead));
}

void
ws_store_reads_init(WsStoreReads *reads)
{
  reads->unsent = pending_reads_new();
  reads->sent = pending_reads_new();
  reads->waiting = pending_reads_new();
}

void
ws_store_reads_clear(WsStoreReads *reads)
{
  g_array_unref(reads->unsent);
  g_array_unref(reads->sent);
  g_array_unref(reads->waiting);
}

void
ws_store_linearizable_read(WsCore *core, WsReadFunc done, gpointer data)
{
  PendingRead read = { done, data, core->now_ms, 0 };
  g_array_append_val(core->store->reads.unsent, read);
}

/* Completes all reads in a list. Replaces the list first, since a callback may queue a new read. */
static void
complete_all(WsCore *core, GArray **reads, gboolean is_current)
{
  g_autoptr(GArray) finished = *reads;
  *reads = pending_reads_new();
  for (guint i = 0; i < finished->len; i++) {
    const PendingRead *read = &g_array_index(finished, PendingRead, i);
    read->done(core, is_current, read->data);
  }
}

/* Moves the reads whose revision is reached, and those that have timed out, from the waiting list
   to the lists passed in. */
static void
remove_finished(WsCore *core, GArray *reached, GArray *timed_out)
{
  GArray *waiting = core->store->reads.waiting;
  for (guint i = waiting->len; i-- > 0;) {
    PendingRead read = g_array_index(waiting, PendingRead, i);
    gboolean is_reached = read.revision <= core->replica->revision;
    if (!is_reached && core->now_ms - read.requested_ms <= LINEARIZABLE_READ_TIMEOUT_MS)
      continue;
    if (is_reached)
      g_array_append_val(reached, read);
    else
      g_array_append_val(timed_out, read);
    g_array_remove_index(waiting, i);
  }
}

void
ws_store_reads_finish(WsCore *core)
{
  GArray *reached = pending_reads_new();
  GArray *timed_out = pending_reads_new();
  remove_finished(core, reached, timed_out);
  complete_all(core, &reached, TRUE);
  complete_all(core, &timed_out, FALSE);
  g_array_unref(reached);
  g_array_unref(timed_out);
}

gboolean
ws_store_read_revision(WsCore *core, const json_t *body, guint64 *revision)
{
  if (ws_kv_revision_parse(body, revision))
    return TRUE;
  if (body != NULL)
    ws_refusals_record_field(core, WS_READER_STORE_REPLY, "the revision");
  return FALSE;
}

static void
on_revision(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)data;
  WsStoreReads *reads = &core->store->reads;
  guint64 revision;
  reads->is_revision_requested = FALSE;
  if (status != WS_KV_OK || !ws_store_read_revision(core, body, &revision)) {
    complete_all(core, &reads->sent, FALSE);
    return;
  }
  for (guint i = 0; i < reads->sent->len; i++) {
    PendingRead read = g_array_index(reads->sent, PendingRead, i);
    read.revision = revision;
    g_array_append_val(reads->waiting, read);
  }
  g_array_set_size(reads->sent, 0);
  ws_store_reads_finish(core);
}

void
ws_store_reads_send(WsCore *core)
{
  WsStoreReads *reads = &core->store->reads;
  if (reads->unsent->len == 0 || reads->is_revision_requested)
    return;
  if (!ws_store_is_loaded(core) || !ws_store_is_available(core)) {
    complete_all(core, &reads->unsent, FALSE);
    return;
  }
  reads->is_revision_requested = TRUE;
  g_array_append_vals(reads->sent, reads->unsent->data, reads->unsent->len);
  g_array_set_size(reads->unsent, 0);
  g_autofree char *path = ws_kv_page_path(NO_KEYS_PREFIX, NULL, REVISION_PAGE_KEYS);
  ws_store_get(core, path, REVISION_REQUEST_TIMEOUT_MS, on_revision, NULL);
}

gboolean
ws_store_reads_stop(WsCore *core)
{
  WsStoreReads *reads = &core->store->reads;
  gboolean had_reads = reads->unsent->len + reads->sent->len + reads->waiting->len > 0;
  complete_all(core, &reads->unsent, FALSE);
  complete_all(core, &reads->sent, FALSE);
  complete_all(core, &reads->waiting, FALSE);
  return had_reads;
}

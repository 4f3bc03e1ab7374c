/**
 * Registry of confirmed cancellations. They are valid in every epoch, and also while the store or
 * this node's replica does not contain them.
 *
 * A node that learns of a cancellation from its replica, also by its own commit, or from a peer
 * notifies every other peer until each has acknowledged it. workers/ws-cancelled-tasks.c halts the
 * tasks.
 */
#include "membership/ws-membership-private.h"

#include "membership/ws-cancellation-message.h"
#include "membership/ws-wire-names.h"
#include "protocol/ws-status-codes.h"

#define NOTIFY_TIMEOUT_MS 1000
/* Minimum time between two messages to one peer, so that jobs cancelled in bulk share a message. */
#define NOTIFY_INTERVAL_MS 100
#define NOTIFY_RETRY_MS 500
/* Time between two rounds of notifying peers and halting tasks. */
#define NOTIFY_ROUND_INTERVAL_MS 100
#define MAX_CANCELLATIONS_PER_MESSAGE 400

typedef struct {
  char *id;
  gint64 confirmed_ms;   /* earliest known time of the confirmation */
  guint acknowledged_by; /* bit for each node that acknowledged it or sent it to this node */
} Cancellation;

struct _WsCancellations {
  GPtrArray *list; /* of Cancellation */
  GHashTable *by_id;
  gboolean *notification_is_in_flight; /* by node: a notification to it is in flight */
  gint64 *next_notify_ms;              /* by node: earliest time of the next notification */
  gint64 next_round_ms;                /* when the next round of notifications and halts is due */
};

static void
cancellation_free(gpointer data)
{
  Cancellation *cancellation = data;
  g_free(cancellation->id);
  g_free(cancellation);
}

WsCancellations *
ws_cancellations_new(const WsSettings *settings)
{
  WsCancellations *cancellations = g_new0(WsCancellations, 1);
  cancellations->list = g_ptr_array_new_with_free_func(cancellation_free);
  cancellations->by_id = g_hash_table_new(g_str_hash, g_str_equal);
  cancellations->notification_is_in_flight = g_new0(gboolean, settings->nodes->len);
  cancellations->next_notify_ms = g_new0(gint64, settings->nodes->len);
  return cancellations;
}

void
ws_cancellations_free(WsCancellations *cancellations)
{
  g_hash_table_unref(cancellations->by_id);
  g_ptr_array_unref(cancellations->list);
  g_free(cancellations->notification_is_in_flight);
  g_free(cancellations->next_notify_ms);
  g_free(cancellations);
}

static Cancellation *
find_cancellation(const WsCore *core, const char *id)
{
  return g_hash_table_lookup(core->cancellations->by_id, id);
}

gboolean
ws_cancellations_has_job(const WsCore *core, const WsJob *job)
{
  return job->state == WS_JOB_CANCELLED
         || (core->cancellations->list->len > 0 && job->state == WS_JOB_ACTIVE
             && find_cancellation(core, job->id) != NULL);
}

/* Whether the job is finished according to its record, with no task left. */
static gboolean
is_finished(const WsCore *core, const char *id)
{
  const WsJob *job = ws_replica_find_job(core->replica, id);
  return job != NULL && job->spec == NULL && job->state != WS_JOB_ACTIVE;
}

static void
add_cancellation(WsCore *core, const char *id, gint64 at_ms, WsNodeIndex from)
{
  WsCancellations *cancellations = core->cancellations;
  Cancellation *cancellation = find_cancellation(core, id);
  if (cancellation == NULL) {
    if (is_finished(core, id))
      return;
    cancellation = g_new0(Cancellation, 1);
    *cancellation = (Cancellation){ g_strdup(id), at_ms, 1u << core->settings->self };
    g_ptr_array_add(cancellations->list, cancellation);
    g_hash_table_insert(cancellations->by_id, cancellation->id, cancellation);
  }
  cancellation->confirmed_ms = MIN(cancellation->confirmed_ms, at_ms);
  cancellation->acknowledged_by |= 1u << from;
}

static gboolean
is_acknowledged(const Cancellation *cancellation, WsNodeIndex node)
{
  return (cancellation->acknowledged_by >> node & 1) != 0;
}

guint
ws_cancellations_count_unacknowledged(const WsCore *core, WsNodeIndex node)
{
  guint count = 0;
  for (guint i = 0; i < core->cancellations->list->len; i++)
    count += is_acknowledged(g_ptr_array_index(core->cancellations->list, i), node) ? 0 : 1;
  return count;
}

void
ws_cancellations_forget_acknowledgements(WsCore *core, WsNodeIndex node)
{
  for (guint i = 0; i < core->cancellations->list->len; i++) {
    Cancellation *cancellation = g_ptr_array_index(core->cancellations->list, i);
    cancellation->acknowledged_by &= ~(1u << node);
  }
}

/* Notifying the peers. */

typedef struct {
  WsNodeIndex node;
  GPtrArray *ids; /* of the jobs in the message */
} Notification;

static Notification *
notification_new(WsNodeIndex node)
{
  Notification *notification = g_new0(Notification, 1);
  notification->node = node;
  notification->ids = g_ptr_array_new_with_free_func(g_free);
  return notification;
}

static void
notification_free(Notification *notification)
{
  g_ptr_array_unref(notification->ids);
  g_free(notification);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC(Notification, notification_free)

static void
on_notified(WsCore *core, guint status, const json_t *body, gpointer data)
{
  (void)body;
  g_autoptr(Notification) notification = data;
  WsCancellations *cancellations = core->cancellations;
  cancellations->notification_is_in_flight[notification->node] = FALSE;
  cancellations->next_notify_ms[notification->node]
      = core->now_ms + (status == WS_HTTP_OK ? NOTIFY_INTERVAL_MS : NOTIFY_RETRY_MS);
  for (guint i = 0; status == WS_HTTP_OK && i < notification->ids->len; i++) {
    Cancellation *cancellation = find_cancellation(core, g_ptr_array_index(notification->ids, i));
    if (cancellation != NULL)
      cancellation->acknowledged_by |= 1u << notification->node;
  }
}

/* Adds cancellations that the node has not acknowledged, up to the limit of a message. */
static void
add_notices(const WsCore *core, Notification *notification, GArray *notices)
{
  const GPtrArray *list = core->cancellations->list;
  for (guint i = 0; i < list->len && notices->len < MAX_CANCELLATIONS_PER_MESSAGE; i++) {
    const Cancellation *cancellation = g_ptr_array_index(list, i);
    if (is_acknowledged(cancellation, notification->node))
      continue;
    WsCancellationNotice notice = { cancellation->id, core->now_ms - cancellation->confirmed_ms };
    g_array_append_val(notices, notice);
    g_ptr_array_add(notification->ids, g_strdup(cancellation->id));
  }
}

static void
notify_node(WsCore *core, WsNodeIndex node)
{
  g_auto(WsCancellationMessage) message;
  Notification *notification = notification_new(node);
  ws_cancellation_message_init(&message);
  message.node = ws_settings_node(core->settings, core->settings->self)->name;
  add_notices(core, notification, message.notices);
  core->cancellations->notification_is_in_flight[node] = TRUE;
  ws_call(core, "POST", ws_settings_node(core->settings, node)->endpoint, WIRE_PATH_CANCELLATIONS,
          ws_cancellation_message_encode(&message), NOTIFY_TIMEOUT_MS, on_notified, notification);
}

void
ws_cancellations_handle_message(WsCore *core, const json_t *body, gpointer request)
{
  g_auto(WsCancellationMessage) message;
  ws_cancellation_message_init(&message);
  gboolean is_well_formed = ws_cancellation_message_parse(body, &message);
  WsNodeIndex node = ws_settings_find_node(core->settings, message.node);
  if (!is_well_formed || node == WS_NO_NODE || node == core->settings->self) {
    if (body != NULL)
      ws_refusals_record_field(core, WS_READER_PEER_REQUEST, "a cancellation");
    ws_answer_error(core, request, WS_HTTP_BAD_REQUEST, "malformed");
    return;
  }
  for (guint i = 0; i < message.notices->len; i++) {
    const WsCancellationNotice *notice = &g_array_index(message.notices, WsCancellationNotice, i);
    add_cancellation(core, notice->job, core->now_ms - notice->age_ms, node);
  }
  ws_answer(core, request, WS_HTTP_OK, json_object(), 0);
}

guint
ws_cancellations_count(const WsCore *core)
{
  return core->cancellations->list->len;
}

const char *
ws_cancellations_job_id(const WsCore *core, guint i)
{
  return ((const Cancellation *)g_ptr_array_index(core->cancellations->list, i))->id;
}

gint64
ws_cancellations_confirmed_ms(const WsCore *core, const char *job_id)
{
  const Cancellation *cancellation = find_cancellation(core, job_id);
  return cancellation != NULL ? cancellation->confirmed_ms : core->now_ms;
}

gboolean
ws_cancellations_has_id(const WsCore *core, const char *job_id)
{
  return find_cancellation(core, job_id) != NULL;
}

static void
remove_finished(WsCore *core)
{
  WsCancellations *cancellations = core->cancellations;
  for (guint i = cancellations->list->len; i-- > 0;) {
    const Cancellation *cancellation = g_ptr_array_index(cancellations->list, i);
    if (!is_finished(core, cancellation->id))
      continue;
    g_hash_table_remove(cancellations->by_id, cancellation->id);
    g_ptr_array_remove_index_fast(cancellations->list, i);
  }
}

/* Adds the cancellations that the replica received since the last call. Returns FALSE if there were
   none. */
static gboolean
add_replicated(WsCore *core)
{
  GArray *new_jobs = core->replica->cancelled_jobs;
  gboolean has_new = new_jobs->len > 0;
  for (guint i = 0; i < new_jobs->len; i++) {
    const WsJob *job = ws_replica_job(core->replica, g_array_index(new_jobs, guint, i));
    gint64 age_ms = CLAMP(core->wall_ms - job->cancelled_ms, 0, core->now_ms);
    add_cancellation(core, job->id, core->now_ms - age_ms, core->settings->self);
  }
  g_array_set_size(new_jobs, 0);
  return has_new;
}

static void
notify_peers(WsCore *core)
{
  const WsCancellations *cancellations = core->cancellations;
  for (guint n = 0; n < core->settings->nodes->len; n++)
    if (!cancellations->notification_is_in_flight[n]
        && core->now_ms >= cancellations->next_notify_ms[n]
        && ws_cancellations_count_unacknowledged(core, n) > 0)
      notify_node(core, n);
}

gboolean
ws_cancellations_pump(WsCore *core)
{
  WsCancellations *cancellations = core->cancellations;
  gboolean has_new = add_replicated(core);
  gboolean is_due = core->now_ms >= cancellations->next_round_ms || has_new;
  if (cancellations->list->len == 0 || !is_due)
    return FALSE;
  cancellations->next_round_ms = core->now_ms + NOTIFY_ROUND_INTERVAL_MS;
  remove_finished(core);
  notify_peers(core);
  return TRUE;
}

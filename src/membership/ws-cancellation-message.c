/**
 * Encoding and parsing of notifications of cancellations.
 */
#include "membership/ws-cancellation-message.h"

#include "membership/ws-wire-names.h"

/* Positions in the JSON array that encodes a notice. */
#define ITEM_JOB 0
#define ITEM_AGE_MS 1

void
ws_cancellation_message_init(WsCancellationMessage *message)
{
  message->node = NULL;
  message->notices = g_array_new(FALSE, FALSE, sizeof(WsCancellationNotice));
}

void
ws_cancellation_message_clear(WsCancellationMessage *message)
{
  g_array_unref(message->notices);
}

json_t *
ws_cancellation_message_encode(const WsCancellationMessage *message)
{
  json_t *jobs = json_array();
  for (guint i = 0; i < message->notices->len; i++) {
    const WsCancellationNotice *notice = &g_array_index(message->notices, WsCancellationNotice, i);
    json_array_append_new(jobs, json_pack("[s, I]", notice->job, (json_int_t)notice->age_ms));
  }
  return json_pack("{s:s, s:o}", WIRE_NODE, message->node, WIRE_CANCELLED_JOBS, jobs);
}

static gboolean
parse_notice(const json_t *item, WsCancellationNotice *notice)
{
  guint64 age_ms;
  if (!ws_json_string_at(item, ITEM_JOB, &notice->job)
      || !ws_json_uint64_at(item, ITEM_AGE_MS, &age_ms) || age_ms > G_MAXINT64)
    return FALSE;
  notice->age_ms = (gint64)age_ms;
  return TRUE;
}

gboolean
ws_cancellation_message_parse(const json_t *body, WsCancellationMessage *message)
{
  const json_t *jobs = json_object_get(body, WIRE_CANCELLED_JOBS);
  size_t i;
  const json_t *item;
  (void)ws_json_string(body, WIRE_NODE, &message->node);
  json_array_foreach(jobs, i, item)
  {
    WsCancellationNotice notice;
    if (!parse_notice(item, &notice))
      return FALSE;
    g_array_append_val(message->notices, notice);
  }
  return json_is_array(jobs);
}

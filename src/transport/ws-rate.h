/**
 * A token bucket, which limits a rate. It keeps no clock: every call names the time.
 *
 * Times are of one clock, in milliseconds.
 */
#pragma once

#include <glib.h>

/** A bucket. */
typedef struct {
  double per_second; /**< tokens that are added per second; may be changed at any time */
  double burst;      /**< the most that it holds, at least 1 */
  double tokens;     /**< what it holds; negative: it is in debt */
  gint64 at_ms;      /**< until when tokens have been added */
} WsTokenBucket;

/** Makes a full bucket. */
void ws_token_bucket_init(WsTokenBucket *rate, double per_second, double burst);

/** Whether @count tokens could be taken now. */
gboolean ws_token_bucket_can_take(WsTokenBucket *rate, double count, gint64 now_ms);

/** Takes @count tokens. FALSE: there aren't enough, and none are taken. */
gboolean ws_token_bucket_take(WsTokenBucket *rate, double count, gint64 now_ms);

/** Takes @count tokens for what may not wait. FALSE: a whole burst is owed, and none are taken. */
gboolean ws_token_bucket_overdraw(WsTokenBucket *rate, double count, gint64 now_ms);

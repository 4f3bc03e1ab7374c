/**
 * A token bucket for rate limiting. It reads no clock: the caller passes the time, in milliseconds
 * and always from the same clock.
 */
#pragma once

#include <glib.h>

/** A token bucket. */
typedef struct {
  double per_second;  /**< tokens added per second; may be changed at any time */
  double burst;       /**< capacity in tokens, at least 1 */
  double tokens;      /**< available tokens; negative: overdrawn */
  gint64 refilled_ms; /**< time of the last refill */
} WsTokenBucket;

/** Initializes a full bucket. A burst below 1 is raised to 1. */
void ws_token_bucket_init(WsTokenBucket *bucket, double per_second, double burst);

/** Whether ws_token_bucket_take() would take @count tokens now. Takes none. */
gboolean ws_token_bucket_can_take(WsTokenBucket *bucket, double count, gint64 now_ms);

/**
 * Takes @count tokens. FALSE: there aren't enough, and none are taken.
 *
 * A count above the burst is taken from a full bucket, which is overdrawn afterwards.
 */
gboolean ws_token_bucket_take(WsTokenBucket *bucket, double count, gint64 now_ms);

/**
 * Takes @count tokens even if that overdraws the bucket, for requests that must not wait. FALSE:
 * the bucket is already overdrawn by a whole burst or more, and none are taken.
 */
gboolean ws_token_bucket_overdraw(WsTokenBucket *bucket, double count, gint64 now_ms);

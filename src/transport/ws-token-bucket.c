/* A token bucket for rate limiting. */
#include "transport/ws-token-bucket.h"

#define MIN_BURST_TOKENS 1.0

void
ws_token_bucket_init(WsTokenBucket *bucket, double per_second, double burst)
{
  double capacity = MAX(burst, MIN_BURST_TOKENS);
  *bucket = (WsTokenBucket){ .per_second = per_second, .burst = capacity, .tokens = capacity };
}

/* A count above the burst needs a full bucket, and overdraws it when taken. */
gboolean
ws_token_bucket_can_take(WsTokenBucket *bucket, double count, gint64 now_ms)
{
  if (now_ms > bucket->refilled_ms) {
    double refill = (double)(now_ms - bucket->refilled_ms) / 1000.0 * bucket->per_second;
    bucket->tokens = MIN(bucket->burst, bucket->tokens + refill);
    bucket->refilled_ms = now_ms;
  }
  return bucket->tokens >= MIN(count, bucket->burst);
}

gboolean
ws_token_bucket_take(WsTokenBucket *bucket, double count, gint64 now_ms)
{
  if (!ws_token_bucket_can_take(bucket, count, now_ms))
    return FALSE;
  bucket->tokens -= count;
  return TRUE;
}

gboolean
ws_token_bucket_overdraw(WsTokenBucket *bucket, double count, gint64 now_ms)
{
  (void)ws_token_bucket_can_take(bucket, count, now_ms);
  if (bucket->tokens <= -bucket->burst)
    return FALSE;
  bucket->tokens -= count;
  return TRUE;
}

/* A token bucket for rate limiting. */
#include "transport/ws-rate.h"

#define MIN_BURST 1.0

void
ws_token_bucket_init(WsTokenBucket *rate, double per_second, double burst)
{
  double size = MAX(burst, MIN_BURST);
  *rate = (WsTokenBucket){ .per_second = per_second, .burst = size, .tokens = size };
}

/* A request larger than the burst is allowed when the bucket is full, and leaves it in debt. */
gboolean
ws_token_bucket_can_take(WsTokenBucket *rate, double count, gint64 now_ms)
{
  if (now_ms > rate->at_ms) {
    double earned = (double)(now_ms - rate->at_ms) / 1000.0 * rate->per_second;
    rate->tokens = MIN(rate->burst, rate->tokens + earned);
    rate->at_ms = now_ms;
  }
  return rate->tokens >= MIN(count, rate->burst);
}

gboolean
ws_token_bucket_take(WsTokenBucket *rate, double count, gint64 now_ms)
{
  if (!ws_token_bucket_can_take(rate, count, now_ms))
    return FALSE;
  rate->tokens -= count;
  return TRUE;
}

gboolean
ws_token_bucket_overdraw(WsTokenBucket *rate, double count, gint64 now_ms)
{
  (void)ws_token_bucket_can_take(rate, count, now_ms);
  if (rate->tokens <= -rate->burst)
    return FALSE;
  rate->tokens -= count;
  return TRUE;
}

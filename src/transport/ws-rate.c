/* A token bucket for rate limiting. */
#include "transport/ws-rate.h"

#define MIN_BURST_TOKENS 1.0

void
ws_token_bucket_init(WsTokenBucket *rate, double per_second, double burst)
{
  double capacity = MAX(burst, MIN_BURST_TOKENS);
  *rate = (WsTokenBucket){ .per_second = per_second, .burst = capacity, .tokens = capacity };
}

/* A count above the burst needs a full bucket, and overdraws it when taken. */
gboolean
ws_token_bucket_can_take(WsTokenBucket *rate, double count, gint64 now_ms)
{
  if (now_ms > rate->refilled_ms) {
    double refill = (double)(now_ms - rate->refilled_ms) / 1000.0 * rate->per_second;
    rate->tokens = MIN(rate->burst, rate->tokens + refill);
    rate->refilled_ms = now_ms;
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

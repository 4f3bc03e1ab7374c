/* A token bucket. It keeps no clock: every call names the time. */
#pragma once

#include <glib.h>

typedef struct {
  double per_second;
  double burst;
  double tokens;
  gint64 at_ms;
} WsRate;

void ws_rate_init(WsRate *rate, double per_second, double burst);
gboolean ws_rate_ready(WsRate *rate, double count, gint64 now_ms);
/* Takes what may not wait, up to a whole burst in debt. */
gboolean ws_rate_borrow(WsRate *rate, double count, gint64 now_ms);
gboolean ws_rate_take(WsRate *rate, double count, gint64 now_ms);

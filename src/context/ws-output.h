/**
 * What the core puts out: answers to requests, and calls to other processes.
 */
#pragma once

#include <glib.h>

/** One controller's state machine; ws-context.h has its definition. */
typedef struct _WsCore WsCore;

typedef struct {
  gboolean is_answer;
  /* an answer to a request */
  gpointer request;
  guint status;
  guint retry_after_s;
  /* a call */
  guint64 call;
  const char *method;
  char *url;
  guint timeout_ms;
  /* both */
  char *body;
} WsOutput;

void ws_output_free(WsOutput *output);

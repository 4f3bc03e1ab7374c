/**
 * What the core puts out: answers to requests, and calls to other processes.
 *
 * Made by ws_call() and ws_answer(), taken with ws_core_pop_output() by whoever runs the core.
 */
#pragma once

#include <glib.h>

/** One controller's state machine; ws-context.h has its definition. */
typedef struct _WsCore WsCore;

/** An answer or a call. Whoever pops it from the core frees it. */
typedef struct {
  gboolean is_answer;

  /* Of an answer. */
  gpointer request; /**< as it was handed to the core */
  guint status;
  guint retry_after_s; /**< 0: no such header */

  /* Of a call. */
  guint64 call;       /**< the id that its reply is to be handed in with */
  const char *method; /**< a literal */
  char *url;
  guint timeout_ms;

  /* Of both. */
  char *body; /**< JSON, NULL: none */
} WsOutput;

/** Frees the output with its URL and body, but not its request. @output: not NULL */
void ws_output_free(WsOutput *output);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsOutput, ws_output_free)

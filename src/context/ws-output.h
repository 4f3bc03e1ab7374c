/**
 * The outputs of the core: answers to requests, and calls to other processes.
 *
 * Outputs are created by ws_call() and ws_answer(). The code that runs the core takes them with
 * ws_core_pop_output().
 */
#pragma once

#include <glib.h>

/** The state machine of one controller, defined in ws-context.h. */
typedef struct _WsCore WsCore;

/** An answer or a call. Freed by the caller of ws_core_pop_output(). */
typedef struct {
  gboolean is_answer;

  /* Fields of an answer. */
  gpointer request; /**< the handle that was passed to the core with the request */
  guint status;
  guint retry_after_s; /**< the Retry-After header; 0: no header */

  /* Fields of a call. */
  guint64 call;       /**< the id to pass to the core with the reply */
  const char *method; /**< a string literal */
  char *url;
  guint timeout_ms;

  /* Fields of both. */
  char *body; /**< JSON; NULL: no body */
} WsOutput;

/** Frees the output with its URL and body, but not its request. @output: not NULL */
void ws_output_free(WsOutput *output);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsOutput, ws_output_free)

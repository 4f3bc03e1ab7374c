/**
 * Writes the outputs of controllers to the file that WS_TRACE names.
 */
#include "sim/trace.h"

#include "protocol/ws-json.h"

#include <stdio.h>
#include <string.h>

/* The trace file of this process; NULL if WS_TRACE isn't set. */
static FILE *
open_trace_file(void)
{
  static gsize is_open = 0;
  static FILE *file = NULL;
  if (g_once_init_enter(&is_open)) {
    const char *name = g_getenv("WS_TRACE");
    file = name != NULL ? fopen(name, "w") : NULL;
    if (name != NULL && file == NULL)
      g_error("WS_TRACE: can't write %s", name);
    g_once_init_leave(&is_open, 1);
  }
  return file;
}

/* The body with sorted keys, or a copy of it if it isn't JSON; NULL if there is none. The caller
   releases it with free(), as jansson allocates it. */
static char *
sorted_json(const char *body)
{
  g_autoptr(json_t) value = body != NULL ? ws_json_parse(body, strlen(body)) : NULL;
  if (value != NULL)
    return json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
  return body != NULL ? strdup(body) : NULL;
}

void
sim_trace_output(gint64 now_ms, const char *node, const char *method, const char *url,
                 const WsOutput *output)
{
  FILE *file = open_trace_file();
  if (file == NULL)
    return;
  char *body = sorted_json(output->body);
  if (output->is_answer)
    fprintf(file, "%" G_GINT64_FORMAT " %s answer %u retry-after %u", now_ms, node, output->status,
            output->retry_after_s);
  else
    fprintf(file, "%" G_GINT64_FORMAT " %s call timeout-ms %u", now_ms, node, output->timeout_ms);
  fprintf(file, " %s %s %s\n", method, url, body != NULL ? body : "-");
  free(body);
}

/* Keys of the stored state. */
#include "storage/ws-keys.h"

char *
ws_key(const char *prefix, const char *name)
{
  return g_strconcat(prefix, name, NULL);
}

char *
ws_key_job(const char *id)
{
  return ws_key(WS_KEY_PREFIX_JOB, id);
}

char *
ws_key_chunk(const char *id, guint chunk)
{
  return g_strdup_printf(WS_KEY_PREFIX_CHUNK "%s/%u", id, chunk);
}

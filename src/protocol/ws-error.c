/* The error domain, and the error messages that several parsers share. */
#include "protocol/ws-error.h"

G_DEFINE_QUARK(ws - error - quark, ws_error)

void
ws_error_set_not_object(GError **error)
{
  g_set_error_literal(error, WS_ERROR, WS_ERROR_MALFORMED, "not a JSON object");
}

void
ws_error_set_invalid(GError **error, WsError code, const char *name)
{
  g_set_error(error, WS_ERROR, code, "%s is missing or invalid", name);
}

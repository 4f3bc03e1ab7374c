/**
 * The error domain of whatever comes from outside: messages, settings, properties.
 *
 * The texts are one line each and reach the user who sent a message, or the log.
 */
#pragma once

#include <glib.h>

/** The domain of a GError from this program's parsers. */
#define WS_ERROR (ws_error_quark())

/** The codes of WS_ERROR. */
typedef enum {
  WS_ERROR_MALFORMED,        /**< not of the form that is read: no JSON object, no properties */
  WS_ERROR_INVALID_FIELD,    /**< a message's field is missing or invalid */
  WS_ERROR_INVALID_SETTING,  /**< a setting is missing or invalid */
  WS_ERROR_INVALID_PROPERTY, /**< a property is unknown or invalid */
} WsError;

/** The quark behind WS_ERROR. */
GQuark ws_error_quark(void);

/** Sets @error, which may be NULL, to WS_ERROR_MALFORMED for a message that is no JSON object. */
void ws_error_set_not_object(GError **error);

/**
 * Sets @error, which may be NULL, for a member of a message that is missing or invalid.
 *
 * @code: WS_ERROR_INVALID_FIELD or WS_ERROR_INVALID_SETTING.
 * @name: the member, as the sender knows it.
 */
void ws_error_set_invalid(GError **error, WsError code, const char *name);

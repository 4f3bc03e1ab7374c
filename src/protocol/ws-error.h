/**
 * The error domain for invalid input: messages, the settings file and the properties file.
 *
 * Each error message is one line. It is returned to the sender of an invalid message, printed on
 * standard error for an invalid file, or logged, for example for an invalid stored record.
 */
#pragma once

#include <glib.h>

/** The GError domain of the parsers in this directory. */
#define WS_ERROR (ws_error_quark())

/** Error codes of the domain WS_ERROR. */
typedef enum {
  WS_ERROR_MALFORMED,        /**< the input is not a JSON object, or not a properties file */
  WS_ERROR_TOO_LARGE,        /**< the input is longer than the protocol allows */
  WS_ERROR_INVALID_FIELD,    /**< a field of a message is missing or invalid */
  WS_ERROR_INVALID_SETTING,  /**< a setting is missing or invalid */
  WS_ERROR_INVALID_PROPERTY, /**< a property is unknown or invalid */
} WsError;

/** The quark behind WS_ERROR. */
GQuark ws_error_quark(void);

/** Sets @error, which may be NULL, to WS_ERROR_MALFORMED: the message is not a JSON object. */
void ws_error_set_not_object(GError **error);

/**
 * Sets @error, which may be NULL, to an error that names a missing or invalid field or setting.
 *
 * @code: WS_ERROR_INVALID_FIELD or WS_ERROR_INVALID_SETTING
 * @name: the name of the field or setting in the message or file
 */
void ws_error_set_invalid(GError **error, WsError code, const char *name);

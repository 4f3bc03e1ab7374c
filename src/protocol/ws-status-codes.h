/**
 * HTTP status codes exchanged with users, workers, other controllers and the platform's services.
 */
#pragma once

/** Pseudo status: no response came within the timeout; see ws_call(). */
#define WS_HTTP_NO_RESPONSE 0u
#define WS_HTTP_OK 200u
#define WS_HTTP_CREATED 201u
#define WS_HTTP_BAD_REQUEST 400u
#define WS_HTTP_NOT_FOUND 404u
#define WS_HTTP_METHOD_NOT_ALLOWED 405u
/** A worker rejected a command that carries an outdated fencing token or incarnation. */
#define WS_HTTP_CONFLICT 409u
/** The worker is redirected to the controller that owns its machine. */
#define WS_HTTP_MISDIRECTED_REQUEST 421u
#define WS_HTTP_UNPROCESSABLE_CONTENT 422u
#define WS_HTTP_SERVICE_UNAVAILABLE 503u

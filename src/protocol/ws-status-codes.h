/**
 * The HTTP statuses that nodes, workers, users and services exchange.
 */
#pragma once

/** No response came within the timeout; see ws_call(). */
#define WS_HTTP_NO_RESPONSE 0u
#define WS_HTTP_OK 200u
#define WS_HTTP_CREATED 201u
#define WS_HTTP_BAD_REQUEST 400u
#define WS_HTTP_NOT_FOUND 404u
#define WS_HTTP_METHOD_NOT_ALLOWED 405u
/** A command under an outdated fencing token or incarnation was refused. */
#define WS_HTTP_CONFLICT 409u
/** A worker is redirected to the owner of its machine. */
#define WS_HTTP_MISDIRECTED_REQUEST 421u
#define WS_HTTP_UNPROCESSABLE_CONTENT 422u
#define WS_HTTP_SERVICE_UNAVAILABLE 503u

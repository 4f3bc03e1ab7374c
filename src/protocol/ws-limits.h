/**
 * Limits that the protocol states for all messages.
 */
#pragma once

/** The longest body of a request of a user or a worker, in bytes. */
#define WS_MAX_REQUEST_BYTES 65536u

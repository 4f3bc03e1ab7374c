/**
 * The job API: submissions, polls and cancellations of users.
 */
#pragma once

#include "context/ws-context.h"

void ws_users_request(WsCore *core, const char *method, const char *path, const char *body,
                      gsize length, gpointer request);

/**
 * Direct commands: calls to a worker's own address.
 *
 * They are faster than the answers to reports, but may be carried out minutes later when their
 * answer is lost. A launch without an answer is therefore remembered with its machine as an
 * indeterminate outcome ("doubt"), and nothing on the machine is released for being absent until a
 * higher token or a new session has ended it.
 */
#pragma once

#include "core/ws-core-private.h"

/** Whether the machine has shown our token lately: the others learn it from their next report. */
gboolean ws_direct_can_send(const WsCore *core, const WsMachine *machine);

/** Tells the worker our token, so that it drops the answers of whoever has an older one. */
void ws_direct_raise_token(WsCore *core, WsMachine *machine);

/** Launches the tasks (of WsTaskRef) that are assigned to the machine. */
void ws_direct_launch(WsCore *core, WsMachine *machine, GArray *tasks);

void ws_direct_halt(WsCore *core, WsJob *job, WsAssignment *assignment);

/** How long a task that is halted may take to save; 0: it has nothing to save. */
double ws_direct_grace_s(const WsCore *core, const WsJob *job, const WsAssignment *assignment);

/**
 * What the modules of src/workers share.
 */
#pragma once

#include "workers/ws-workers.h"

/**
 * Notes incarnation, sequence, fencing token, endpoint and interruption notice of a heartbeat.
 *
 * Returns FALSE, with nothing noted, if it is older than one that was noted before.
 */
gboolean ws_worker_status_note_header(WsCore *core, WsMachine *machine,
                                      const WsHeartbeat *heartbeat);

/** Notes the state of each task that the heartbeat shows; it must carry the present token. */
void ws_worker_status_note_tasks(WsCore *core, WsMachine *machine, const WsHeartbeat *heartbeat);

/**
 * Returns the assignment of which the worker shows the task; NULL: the records have another attempt
 * or another machine. @job: set to the task's job, or NULL if it isn't known
 */
WsAssignment *ws_worker_status_find_assignment(const WsCore *core, const WsMachine *machine,
                                               const WsTaskStatus *task, WsJob **job);

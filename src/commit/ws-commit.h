/**
 * Assignments and releases of tasks on their way into the key-value store.
 *
 * A task is assigned there before it is launched, and released there before it may go elsewhere.
 * Owns proposed assignments, pending releases, the transaction that is being written, and what
 * ended jobs leave behind.
 */
#pragma once

#include "membership/ws-membership.h"
#include "storage/ws-evidence.h"

/* The key of a task in hash tables. */
static inline gpointer
ws_task_key(WsJobIndex job, guint task)
{
  return GSIZE_TO_POINTER((gsize)job * WS_MAX_TASKS + task + 1);
}
WsAssignments *ws_assignments_new(void);
void ws_assignments_free(WsAssignments *assignments);
void ws_assignments_propose(WsCore *core, WsJobIndex job, guint task, WsMachineIndex machine);
gboolean ws_assignments_is_pending(const WsCore *core, WsJobIndex job, guint task);
gboolean ws_assignments_are_idle(const WsCore *core);
/* Whether assignments or ends of tasks wait to be written. */
gboolean ws_assignments_have_backlog(const WsCore *core);
/* For how long the oldest assignment has waited to be written. */
gint64 ws_assignments_oldest_age_ms(const WsCore *core);
void ws_assignments_pump(WsCore *core);
/* In a new epoch the owners of machines, and with them what was proposed, may be others. */
void ws_assignments_begin_epoch(WsCore *core);
typedef void (*WsProposalFunc)(const WsJob *job, WsMachineIndex machine, gpointer data);
/* What was handed in to the leader and has not come back through the store yet. */
void ws_assignments_foreach_forwarded(const WsCore *core, WsProposalFunc take, gpointer data);

GHashTable *ws_estimator_new(void);
void ws_estimator_add(WsCore *core, const WsJob *job, const WsAssignment *a);
/* The owner's estimate, corrected by what tasks of the class have taken. */
double ws_estimator_run_s(const WsCore *core, const WsJob *job);

void ws_garbage_tick(WsCore *core);

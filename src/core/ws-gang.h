/**
 * Gangs: jobs whose tasks run at the same time or not at all.
 *
 * The tasks of one attempt carry the same attempt number. The attempt is over when one of its tasks
 * is known to be gone: the record of the end raises the number, the other tasks are halted, and the
 * next attempt starts once nothing of the old one is left. The unit of every decision is the
 * attempt; this module says in which phase it is, halts what must end, and stops a whole gang in an
 * orderly way when one of its machines is to be drained.
 */
#pragma once

#include "core/ws-core-private.h"

/** The phase of a gang's present attempt, as far as this node knows. */
typedef enum {
  WS_GANG_WAITING,   /**< no task has a machine */
  WS_GANG_LAUNCHED,  /**< tasks have machines; not all are known to be ready */
  WS_GANG_GATHERING, /**< all tasks are ready and wait for each other */
  WS_GANG_RUNNING,   /**< a task was seen running */
  WS_GANG_STOPPING,  /**< an orderly stop is under way */
  WS_GANG_ENDING,    /**< a task is gone; the others must end too */
} WsGangPhase;

/** Whether the job is a gang; also of jobs that have ended, which are none. */
gboolean ws_job_is_gang(const WsJob *job);

/**
 * Derives the phase from the records and from what workers said.
 *
 * A node hears only its own machines, so of a running gang it may know no more than that it was
 * launched. That a task is gone is recorded, and known to all.
 */
WsGangPhase ws_gang_phase(const WsJob *job);

/** Whether the present attempt is over while some of its tasks are still on machines. */
gboolean ws_gang_is_ending(const WsJob *job);

/**
 * Begins an orderly stop: every task is halted with enough time to save, all at once.
 *
 * Returns FALSE and does nothing if a machine of the gang can't be reached, since the others would
 * lose their progress for nothing.
 */
gboolean ws_gang_stop(WsCore *core, WsJob *job);

/** Halts what must end, again until it has, and stops gangs on machines that are being drained. */
void ws_gang_tick(WsCore *core);

/**
 * The phase of a gang's present attempt, derived from the records and from what workers said.
 *
 * Scheduling, the transactions and the commands to workers share it, so that they agree.
 */
#pragma once

#include "storage/ws-replica.h"

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

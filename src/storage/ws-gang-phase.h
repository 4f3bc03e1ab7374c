/**
 * The phase of a gang's current attempt, derived from the records and from the task states that
 * workers reported.
 *
 * Scheduling, the transactions and the commands to workers share this code, so that they agree.
 */
#pragma once

#include "storage/ws-replica.h"

/** The phase of a gang's current attempt, as far as this node knows. */
typedef enum {
  WS_GANG_WAITING,   /**< no task is assigned */
  WS_GANG_LAUNCHED,  /**< tasks are assigned; not all are known to be ready */
  WS_GANG_GATHERING, /**< all tasks are ready to start together */
  WS_GANG_RUNNING,   /**< a task was reported as running */
  WS_GANG_STOPPING,  /**< an orderly stop is in progress */
  WS_GANG_ENDING,    /**< a task is gone; the remaining ones must be halted */
} WsGangPhase;

/** Returns whether the job is a gang. FALSE for jobs in final form, which have no specification. */
gboolean ws_job_is_gang(const WsJob *job);

/**
 * Derives the phase from the records and the reported task states.
 *
 * A node usually knows the task states of its own machines only, so a gang that runs elsewhere may
 * appear as WS_GANG_LAUNCHED. WS_GANG_ENDING follows from the records alone, so all nodes agree
 * on it.
 */
WsGangPhase ws_gang_phase(const WsJob *job);

/** Returns whether the current attempt is over while some of its tasks are still assigned. */
gboolean ws_gang_is_ending(const WsJob *job);

/**
 * Queue order: in which order waiting jobs are placed. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/**
 * A job that has waited longer than this for its first task is overdue: it comes before guarantees
 * and priorities, critical jobs excepted. Whatever favours small or late jobs, age wins in the end.
 */
#define WS_QUEUE_MAX_START_DELAY_S 120.0

/** Whether a job can still meet its objective. */
typedef enum {
  WS_ON_TIME,       /**< it can, or it has none */
  WS_SLIGHTLY_LATE, /**< within half as long again */
  WS_LATE
} WsLateness;

/** An open job in the queue. */
typedef struct {
  WsJob *job;
  WsLateness lateness;
  gboolean is_overdue;     /**< see WS_QUEUE_MAX_START_DELAY_S */
  double remaining_work_s; /**< of tasks not yet assigned, less a credit for the time waited */
} WsQueueEntry;

/**
 * The open jobs, the most urgent first, as an array of WsQueueEntry that the caller frees. Also
 * notes in each job's status whether it is within its team's guarantee.
 */
GArray *ws_queue_build(const WsCore *core);

/** Whether the job has waited too long for its first task. */
gboolean ws_queue_is_overdue(const WsCore *core, const WsJob *job);

/**
 * So many tasks of an overdue job are placed before all else, and aren't preempted again by
 * anything but critical jobs.
 */
guint ws_queue_count_protected_tasks(const WsJob *job);

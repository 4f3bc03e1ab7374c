/**
 * Queue order: the order in which waiting jobs are placed. Private to scheduling.
 */
#pragma once

#include "scheduling/ws-scheduling.h"

/**
 * A job that was accepted longer ago than this and has neither an assigned nor a completed task is
 * overdue. An overdue job is placed before all jobs except critical ones and older overdue ones,
 * regardless of guarantees and priorities, so that the rules that favour jobs which can still be on
 * time or have little work left can't starve it.
 */
#define WS_QUEUE_MAX_START_DELAY_S 120.0

/** Whether a job can still finish within its time limit. */
typedef enum {
  /** It can, it has no time limit, or it has waited too long to be classified as late. */
  WS_ON_TIME,
  WS_SLIGHTLY_LATE, /**< it can finish within 1.5 times its time limit */
  WS_LATE           /**< it will take longer than that */
} WsLateness;

/** An open job in the queue. */
typedef struct {
  WsJob *job;
  WsLateness lateness;
  gboolean is_overdue;     /**< see WS_QUEUE_MAX_START_DELAY_S */
  double remaining_work_s; /**< run time of unassigned tasks, less a credit for the time waited */
} WsQueueEntry;

/**
 * Returns the open jobs, the most urgent first, as an array of WsQueueEntry that the caller frees.
 * Also records in each job's status whether the job is within its team's guarantee.
 */
GArray *ws_queue_build(const WsCore *core);

/** Returns whether the job is overdue, see WS_QUEUE_MAX_START_DELAY_S. */
gboolean ws_queue_is_overdue(const WsCore *core, const WsJob *job);

/**
 * Returns how many tasks of the job are protected once it is overdue: they are placed before the
 * tasks of all jobs except critical ones, and only critical jobs may preempt them.
 */
guint ws_queue_count_protected_tasks(const WsJob *job);

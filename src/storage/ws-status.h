/**
 * A node's local status of machines and jobs. It is not stored, starts empty with each run of the
 * node, and never proves that a task or a machine is gone.
 *
 * Times are in milliseconds of the monotonic clock; 0 means that the event has not happened.
 */
#pragma once

#include "protocol/ws-index.h"

/** An exited attempt that a worker holds until it is reaped. */
typedef struct {
  WsJobIndex job;
  guint task;
  guint64 attempt;
} WsHeldExit;

/**
 * What a machine's worker has reported, and what was sent to it. Written by membership and
 * workers; fleet sets an unknown endpoint from the cloud's list.
 */
typedef struct {
  char *endpoint;           /**< address for commands; NULL until known */
  gint64 last_contact_ms;   /**< last heartbeat, reply to a call, or announcement by its owner */
  gint64 last_heartbeat_ms; /**< last heartbeat, not counting replies to calls */
  gint64 incarnation_changed_ms; /**< when its incarnation was last seen to change */
  gint64 up_ms;                  /**< first such contact */
  GArray *images;         /**< of WsImageIndex: its cached images, least recently used first */
  gint64 interruption_ms; /**< when the cloud interrupts it; 0 without an interruption notice */

  /* From the newest message, by incarnation and sequence number. */
  guint64 incarnation;
  guint64 sequence;
  guint64 fencing_token;

  /* Ownership. */
  WsNodeIndex handled_owner; /**< the owner when this node last processed an epoch */
  gint64 owned_since_ms; /**< start of that ownership, or the end of a later stall of this node */
  gint64 redirected_ms;  /**< when the worker was last redirected to its owner */
  gint64 last_rejection_ms; /**< when this node, while isolated, last rejected a heartbeat */

  /* Fencing, see ws-fencing.h. Kept by the owner of the machine. */
  guint64 issued_token;              /**< the highest one that this node has sent */
  guint64 direct_launch_token;       /**< the highest one of its direct launches */
  guint64 direct_launch_incarnation; /**< for which the last of them was sent */
  GArray *held_exits;                /**< of WsHeldExit: exits in the newest message */
  guint unreapable_exits; /**< exits that are recorded, but wait for a higher token to be reaped */
  gint64 fence_wait_since_ms; /**< since when a release or launch has waited for a higher token */

  /* Failure detection. */
  gint64 unacknowledged_since_ms; /**< since when commands have had no effect */
  guint consecutive_halts;        /**< consecutive heartbeats whose answers halted tasks */
  gint64 probed_ms;               /**< when its status was last requested */
  guint failed_probes;            /**< consecutive failures, counted within an epoch */

  /* The worker's incarnation and fencing token, from the last status that was received while this
   * node halted cancelled tasks there. */
  guint64 halt_incarnation;
  guint64 halt_fencing_token;

  /* Gossip. */
  gboolean is_up_at_owner;      /**< its owner has announced that it is up */
  guint announced_state;        /**< announced to the peers: bits for up and interruption notice */
  guint64 announced_revision;   /**< gossip revision of the last change of the announcement */
  gboolean announcement_is_due; /**< its images or endpoint changed since the last one */
} WsWorkerStatus;

/**
 * Rental, consolidation and failure status of a machine. Written by fleet, and by workers for
 * failed jobs. Applied records and new assignments also reset record_write_is_pending and the times
 * of low use, and a process pause resets the latter.
 */
typedef struct {
  gint64 empty_since_ms;         /**< since when it has had no tasks */
  gint64 underused_since_ms;     /**< since when its utilisation has been low */
  guint consecutive_failed_jobs; /**< number since a job last succeeded on it */
  WsJobIndex last_failed_job;
  gboolean needs_record;      /**< it must be added to a rental batch */
  gint64 unrecorded_since_ms; /**< since when the cloud has listed it without a rental batch */
  /** A write of its rental batch or termination mark, or the mark's deletion, is pending. */
  gboolean record_write_is_pending;
  gint64 record_write_pending_since_ms; /**< since when that write has been pending */
  gint64 stop_after_ms;                 /**< when the next service task on it may be stopped */
  guint stop_backoff_ms;
} WsFleetStatus;

/** Scheduling status of a job. */
typedef struct {
  guint consecutive_errors; /**< consecutive failures */
  /** Gang attempts whose tasks weren't all ready in time, capped; each doubles the back-off. */
  guint gang_backoff_doublings;
  gboolean is_guaranteed;   /**< its team's guarantee covers it and the team's earlier open jobs */
  gint64 retry_ms;          /**< earliest time of its next placement */
  gint64 unplaced_since_ms; /**< since when its coordinating node has failed to place it */
} WsJobStatus;

/**
 * What a node knows of machines and jobs besides the records: it isn't stored, begins empty with
 * each run of the node, and is never proof that something is gone.
 *
 * Times are of the steady clock, in milliseconds; 0: it hasn't happened.
 */
#pragma once

#include "protocol/ws-index.h"

/** What was heard of a machine's worker, and what was sent to it. Kept by membership and workers.
 */
typedef struct {
  char *endpoint;                /**< where it takes commands; NULL: not known yet */
  gint64 heard_ms;               /**< its last heartbeat, here or at a peer */
  gint64 last_heartbeat_ms;      /**< its last heartbeat that was no answer to a call */
  gint64 incarnation_changed_ms; /**< when it was seen to begin a new incarnation */
  gint64 up_ms;                  /**< when it was first heard */
  GArray *images;         /**< of WsImageIndex: the images that it has, least recently used first */
  gint64 interruption_ms; /**< when the cloud takes it back; 0: no interruption notice */

  /* The newest message, by incarnation and sequence number. */
  guint64 incarnation;
  guint64 sequence;
  guint64 fencing_token;

  /* Ownership. */
  WsNodeIndex handled_owner; /**< the owner when an epoch was last handled */
  gint64 owned_since_ms;     /**< since when it has been that one */
  gint64 redirected_ms;      /**< when the worker was last sent to its owner */
  gint64 turned_away_ms;     /**< when this node, isolated, last turned it away */

  /* Launches by RPC without an answer, which may be carried out later. */
  guint indeterminate_launches;
  gint64 indeterminate_since_ms; /**< since when there are any */
  guint64 indeterminate_fencing_token;
  guint64 indeterminate_incarnation;

  /* Failure detection. */
  gint64 unacknowledged_since_ms; /**< since when commands to it have had no effect */
  guint consecutive_halts;
  gint64 probed_ms; /**< when it was last asked for its status */
  guint failed_probes;

  /* The worker's incarnation and token as it last gave them to whoever halts a cancelled task
   * there. */
  guint64 halt_incarnation;
  guint64 halt_fencing_token;

  /* Gossip. */
  gboolean is_up_at_owner; /**< its owner says that it is up */
  guint announced_state;   /**< what is announced to the peers: bits for up, interruption notice */
  guint64 announced_revision;   /**< when that changed last, as a revision of the gossip */
  gboolean announcement_is_due; /**< images or endpoint have changed since */
} WsWorkerStatus;

/** What the fleet is doing about a machine. Kept by fleet; mark_is_pending by whoever asks. */
typedef struct {
  gint64 empty_since_ms;         /**< since when nothing has been on it */
  gint64 underused_since_ms;     /**< since when it has held little */
  guint consecutive_failed_jobs; /**< jobs that failed there since one last succeeded */
  WsJobIndex last_failed_job;
  gboolean needs_record;        /**< it waits for a rental batch */
  gint64 unrecorded_since_ms;   /**< since when the cloud lists it although it has no record */
  gboolean mark_is_pending;     /**< its termination mark or rental batch is being written */
  gint64 mark_pending_since_ms; /**< since when */
  gint64 stop_after_ms;         /**< when the next task of a service may be stopped there */
  guint stop_backoff_ms;
} WsFleetStatus;

/** What scheduling knows of a job. */
typedef struct {
  guint consecutive_errors;  /**< failures in a row */
  guint incomplete_attempts; /**< attempts of a gang that were not complete in time */
  gboolean is_guaranteed;    /**< within its team's guarantee, with the team's earlier open jobs */
  gint64 retry_ms;           /**< when it may be placed again */
  gint64 unplaced_since_ms;  /**< since when its coordinating node could not place it */
} WsJobStatus;

/**
 * The order in which pending releases are committed.
 *
 * If the store allows few operations per second, hundreds of pending releases can use up the write
 * budget for seconds and delay assignments. Releases that share a record cost only one operation
 * together, so they are committed together.
 */
#pragma once

#include "commit/ws-batch.h"

/** A release that has not been committed yet. */
typedef struct {
  WsRelease release;
  gint64 added_ms;     /**< on the clock of core->now_ms */
  gint64 forwarded_ms; /**< when it was last forwarded to the leader; 0: never */
} WsPendingRelease;

/** A pending release with its sort keys. */
typedef struct {
  WsRelease release;
  gboolean ends_job;      /**< whether the job's pending releases together end the job */
  gint64 accepted_ms;     /**< when the job was accepted, on the wall clock */
  gint64 team_use_weight; /**< of all releases that share the team-use record */
  gint64 chunk_weight;    /**< of all releases that share the chunk */
} WsOrderedRelease;

/**
 * Returns the pending releases (of WsOrderedRelease) in the order in which to commit them. Releases
 * that end a job come first, in the order in which the jobs were accepted. The others are ordered
 * by the total weight of the releases that share their records; a release weighs more the longer it
 * has been pending. The caller frees the array.
 *
 * @pending: of WsPendingRelease; the keys are not used
 */
GArray *ws_releases_sort(const WsCore *core, GHashTable *pending);

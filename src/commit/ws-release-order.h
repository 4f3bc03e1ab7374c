/**
 * The order in which pending releases are written.
 *
 * Where the store takes few operations, the releases of hundreds of tasks would fill the write
 * budget for seconds, and nothing would be assigned meanwhile. Releases that share a record cost
 * one operation together.
 */
#pragma once

#include "commit/ws-batch.h"

/** A release that isn't written yet. */
typedef struct {
  WsRelease release;
  gint64 added_ms;     /**< on the clock of core->now */
  gint64 forwarded_ms; /**< when it was last forwarded to the leader; 0: it wasn't */
} WsPendingRelease;

/** A pending release in its place in the order. */
typedef struct {
  WsRelease release;
  gboolean ends_job;      /**< together with the others that are pending */
  gint64 accepted_ms;     /**< wall clock; when its job was accepted */
  gint64 team_use_weight; /**< of all releases whose teams share a record of use */
  gint64 chunk_weight;    /**< of all releases of its chunk */
} WsOrderedRelease;

/**
 * Returns the pending releases (of WsOrderedRelease) in the order in which they should be written:
 * first those that end a job, the job accepted first before others, then those that share records
 * with most others and have waited longest. The caller frees the array.
 *
 * @pending: of WsPendingRelease, by whatever key
 */
GArray *ws_releases_sort(const WsCore *core, GHashTable *pending);

/**
 * The order in which pending releases are written.
 *
 * Where the state service takes few changes, the ends of hundreds of tasks would fill its budget
 * for seconds, and nothing would be placed meanwhile. Ends that share a record cost one change
 * together.
 */
#pragma once

#include "commit/ws-batch.h"

/** A release that is known but not written. */
typedef struct {
  WsRelease release;
  gint64 known_ms;
  gint64 asked_ms; /* when it was forwarded to the leader; 0: it wasn't */
} WsPendingRelease;

/** A pending release in its place in the order. */
typedef struct {
  WsRelease release;
  gboolean ends_job;  /* together with the others that are pending */
  gint64 accepted_ms; /* when its job was */
  gint64 of_team_use; /* what all releases weigh whose teams share a record */
  gint64 of_chunk;    /* and all of its chunk */
} WsOrderedRelease;

/**
 * Returns the pending releases (of WsOrderedRelease) in the order in which they should be written:
 * first those that end a job, the job accepted first before others, then those that share records
 * with most others and have waited longest. The caller frees the array.
 *
 * @pending: of WsPendingRelease, by whatever key
 */
GArray *ws_releases_sort(const WsCore *core, GHashTable *pending);

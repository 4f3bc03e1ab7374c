/**
 * A chunk: the part of a job's tasks that shares one stored record.
 *
 * The number of tasks in a chunk is part of the stored format, which all versions of the program
 * share.
 */
#pragma once

#include "protocol/ws-heartbeat.h"
#include "protocol/ws-index.h"

#include <glib.h>

#define WS_CHUNK_TASKS 128

typedef struct {
  guint task;
  WsMachineIndex machine;
  guint64 attempt;
  gint64 assigned_ms; /* wall clock */
  /* soft: */
  guint64 since_version; /* of the record that first named it; 0: not known */
  WsTaskState state;
  gboolean
      is_confirmed_gone;    /* the worker has shown that a cancelled task's attempt is not there */
  gint64 stop_forwarded_ms; /* when another owner was last asked to stop it */
  gboolean launch_sent;     /* its launch was in an answer to a report */
  gboolean
      is_stop_requested; /* a stop is wanted, so that something else gets the room or the machine */
} WsAssignment;

typedef struct {
  guint64 last_attempt;      /* the last attempt number given out */
  GArray *assignments;       /* of WsAssignment; see ws_chunk_add */
  guint8 at[WS_CHUNK_TASKS]; /* of each task: 0, or one more than its place among the assignments */
  guint8 done[WS_CHUNK_TASKS / 8];
  guint completed_count;
} WsChunk;

/** A copy that the caller frees; @chunk NULL: an empty one. */
WsChunk *ws_chunk_copy(const WsChunk *chunk);

/** Adds the assignment, in place of one that the task may have. */
void ws_chunk_add(WsChunk *chunk, const WsAssignment *assignment);

void ws_chunk_remove(WsChunk *chunk, guint task);

/** The task's assignment, or NULL. @chunk may be NULL. */
WsAssignment *ws_chunk_find(const WsChunk *chunk, guint task);

void ws_chunk_set_done(WsChunk *chunk, guint task);

gboolean ws_chunk_is_done(const WsChunk *chunk, guint task);

void ws_chunk_free(WsChunk *chunk);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsChunk, ws_chunk_free)

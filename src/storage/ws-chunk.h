/**
 * A chunk: the part of a job's tasks that shares one stored record.
 *
 * The number of tasks in a chunk is part of the stored format, which all versions of the program
 * share.
 */
#pragma once

#include "protocol/ws-heartbeat.h"
#include "protocol/ws-index.h"

/** Tasks per chunk. */
#define WS_CHUNK_TASKS 128

/** That a task is assigned to a machine, and what this node knows of it besides. */
typedef struct {
  guint task; /**< its number within the job */
  WsMachineIndex machine;
  guint64 attempt;
  gint64 assigned_ms; /**< wall clock; 0: not recorded */

  /* Not stored. Written by workers, and by scheduling for stops. */
  guint64 assigned_version;   /**< of the record that first named it; 0: not known */
  WsTaskState state;          /**< as its worker last reported it */
  gboolean is_confirmed_gone; /**< of a cancelled task: its worker has shown that it isn't there */
  gint64 stop_forwarded_ms;   /**< when another owner was last asked to stop it; 0: never */
  gboolean is_launch_sent;    /**< its launch was in an answer to a heartbeat */
  gboolean is_stop_requested; /**< to free its capacity or its machine for something else */
} WsAssignment;

/** The assignments and completed tasks of a chunk. */
typedef struct {
  guint64 last_attempt;          /**< the last attempt number given out */
  GArray *assignments;           /**< of WsAssignment, in no order */
  guint8 places[WS_CHUNK_TASKS]; /**< by task: 0, or one more than its place in assignments */
  guint8 completed[WS_CHUNK_TASKS / 8]; /**< a bit for each task */
  guint completed_count;
} WsChunk;

/** A copy that the caller frees. @chunk: NULL: the copy is an empty chunk */
WsChunk *ws_chunk_copy(const WsChunk *chunk);

/** Adds a copy of the assignment, in place of one that the task may have. */
void ws_chunk_add(WsChunk *chunk, const WsAssignment *assignment);

/** Removes the task's assignment, if it has one. */
void ws_chunk_remove(WsChunk *chunk, guint task);

/**
 * The task's assignment, or NULL. It is owned by the chunk, and good until assignments are added
 * or removed.
 *
 * @chunk: may be NULL
 */
WsAssignment *ws_chunk_find(const WsChunk *chunk, guint task);

/** Marks the task as completed. */
void ws_chunk_set_completed(WsChunk *chunk, guint task);

/** Whether the task is completed. @chunk: may be NULL */
gboolean ws_chunk_is_completed(const WsChunk *chunk, guint task);

/** Frees the chunk with its assignments; NULL is allowed. */
void ws_chunk_free(WsChunk *chunk);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsChunk, ws_chunk_free)

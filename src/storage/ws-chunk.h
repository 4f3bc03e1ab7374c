/**
 * A chunk: a range of a job's tasks that share one stored record.
 *
 * The number of tasks per chunk is part of the stored format, which all versions of the program
 * share.
 */
#pragma once

#include "protocol/ws-heartbeat.h"
#include "protocol/ws-index.h"

/** Tasks per chunk. */
#define WS_CHUNK_TASKS 128

/** The assignment of a task to a machine, with what this node knows about the task's execution. */
typedef struct {
  guint task; /**< number of the task within the job */
  WsMachineIndex machine;
  guint64 attempt;
  gint64 assigned_ms; /**< wall clock; 0 if not recorded */

  /* Not stored. The replica writes assigned_version, src/workers the other fields; src/scheduling
   * and src/membership also write those about stops. */
  guint64 assigned_version;   /**< version of the record that first contained it; 0 if not known */
  WsTaskState state;          /**< last state that the worker reported */
  gboolean is_confirmed_gone; /**< cancelled, and its worker's status confirms its exit */
  gint64 stop_sent_ms;        /**< last request to another owner to stop it; 0 if none */
  gboolean is_launch_sent;    /**< an answer to a heartbeat contained its launch */
  gboolean is_stop_requested; /**< to free its capacity or its machine for other work */
} WsAssignment;

/** The assignments and the completed tasks of a chunk. */
typedef struct {
  guint64 last_attempt;                 /**< the highest attempt number used so far */
  GArray *assignments;                  /**< of WsAssignment, unordered */
  guint8 positions[WS_CHUNK_TASKS];     /**< by task: index in assignments plus 1; 0 for none */
  guint8 completed[WS_CHUNK_TASKS / 8]; /**< bit set, one bit per task */
  guint completed_count;
} WsChunk;

/** Returns a copy that the caller frees. @chunk: NULL for a new empty chunk */
WsChunk *ws_chunk_copy(const WsChunk *chunk);

/** Adds a copy of the assignment. Replaces the task's existing assignment, if any. */
void ws_chunk_add(WsChunk *chunk, const WsAssignment *assignment);

/** Removes the task's assignment, if any. */
void ws_chunk_remove(WsChunk *chunk, guint task);

/**
 * Returns the task's assignment, or NULL. It is owned by the chunk and valid until an assignment is
 * added or removed.
 *
 * @chunk: may be NULL
 */
WsAssignment *ws_chunk_find(const WsChunk *chunk, guint task);

/** Marks the task as completed. */
void ws_chunk_set_completed(WsChunk *chunk, guint task);

/** Returns whether the task is completed. @chunk: may be NULL */
gboolean ws_chunk_is_completed(const WsChunk *chunk, guint task);

/** Frees the chunk and its assignments. @chunk: may be NULL */
void ws_chunk_free(WsChunk *chunk);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsChunk, ws_chunk_free)

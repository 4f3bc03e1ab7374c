/* A chunk in memory: its assignments and completed tasks. */
#include "storage/ws-chunk.h"

#define BITS_PER_BYTE 8

WsChunk *
ws_chunk_copy(const WsChunk *chunk)
{
  WsChunk *copy = g_new0(WsChunk, 1);
  if (chunk != NULL) {
    *copy = *chunk;
    copy->assignments = g_array_copy(chunk->assignments);
  } else {
    copy->assignments = g_array_new(FALSE, FALSE, sizeof(WsAssignment));
  }
  return copy;
}

void
ws_chunk_add(WsChunk *chunk, const WsAssignment *assignment)
{
  ws_chunk_remove(chunk, assignment->task);
  g_array_append_vals(chunk->assignments, assignment, 1);
  chunk->positions[assignment->task % WS_CHUNK_TASKS] = (guint8)chunk->assignments->len;
}

void
ws_chunk_remove(WsChunk *chunk, guint task)
{
  guint8 *position = &chunk->positions[task % WS_CHUNK_TASKS];
  if (*position == 0)
    return;
  guint index = *position - 1u;
  *position = 0;
  /* Moves the last assignment to the index of the removed one. */
  g_array_remove_index_fast(chunk->assignments, index);
  if (index == chunk->assignments->len)
    return;
  guint moved_task = g_array_index(chunk->assignments, WsAssignment, index).task;
  chunk->positions[moved_task % WS_CHUNK_TASKS] = (guint8)(index + 1);
}

WsAssignment *
ws_chunk_find(const WsChunk *chunk, guint task)
{
  guint position = chunk != NULL ? chunk->positions[task % WS_CHUNK_TASKS] : 0;
  return position != 0 ? &g_array_index(chunk->assignments, WsAssignment, position - 1) : NULL;
}

void
ws_chunk_set_completed(WsChunk *chunk, guint task)
{
  guint bit = task % WS_CHUNK_TASKS;
  if (ws_chunk_is_completed(chunk, task))
    return;
  chunk->completed[bit / BITS_PER_BYTE] |= (guint8)(1u << (bit % BITS_PER_BYTE));
  chunk->completed_count++;
}

gboolean
ws_chunk_is_completed(const WsChunk *chunk, guint task)
{
  guint bit = task % WS_CHUNK_TASKS;
  return chunk != NULL && (chunk->completed[bit / BITS_PER_BYTE] >> (bit % BITS_PER_BYTE) & 1) != 0;
}

void
ws_chunk_free(WsChunk *chunk)
{
  if (chunk == NULL)
    return;
  g_array_unref(chunk->assignments);
  g_free(chunk);
}

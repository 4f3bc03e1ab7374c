/**
 * The record of a chunk, which must stay below the largest value that the store takes.
 */
#pragma once

#include "storage/ws-replica.h"

/**
 * The record, a new JSON object. Where it would be larger than the store takes, the times
 * of the assignments are left out.
 */
json_t *ws_chunk_encode(const WsChunk *chunk, const WsReplica *replica);

/**
 * Reads a record; the caller frees the chunk. NULL: the record is damaged. Machines that the
 * replica lacks are added to it.
 */
WsChunk *ws_chunk_parse(WsReplica *replica, const json_t *value);

/** Whether the chunk's record is one that the store takes. */
gboolean ws_chunk_fits_record(const WsChunk *chunk, const WsReplica *replica);

/**
 * How many more tasks may be assigned in the chunk before its record is too large, whatever their
 * machines are called.
 *
 * @chunk: NULL: an empty one
 */
guint ws_chunk_free_slots(const WsChunk *chunk, const WsReplica *replica);

/**
 * Encoding and parsing of a chunk's record, whose size is limited by the largest value that the
 * store accepts.
 */
#pragma once

#include "storage/ws-replica.h"

/**
 * Encodes the chunk's record as a new JSON object. The times of the assignments are omitted if the
 * record would otherwise exceed the store's limit.
 */
json_t *ws_chunk_encode(const WsChunk *chunk, const WsReplica *replica);

/**
 * Parses a record into a chunk that the caller frees. Returns NULL if the record is damaged.
 * Machines that the replica does not have yet are added to it.
 */
WsChunk *ws_chunk_parse(WsReplica *replica, const json_t *value);

/** Returns whether the chunk's record is small enough for the store. */
gboolean ws_chunk_fits_record(const WsChunk *chunk, const WsReplica *replica);

/**
 * Returns how many more tasks can be assigned in the chunk before its record is too large, assuming
 * that their machines have long names.
 *
 * @chunk: NULL for an empty chunk
 */
guint ws_chunk_free_slots(const WsChunk *chunk, const WsReplica *replica);

/**
 * The records of machines: rental batches, rental intents and termination marks.
 *
 * Encoders return a new JSON object. Used by the replica, and by fleet to write records.
 */
#pragma once

#include "storage/ws-replica.h"

/** Encodes the record of a rental batch. */
json_t *ws_rental_batch_encode(const WsRentalBatch *rental_batch, const WsReplica *replica);

/**
 * Parses the record of a rental batch into a batch that the caller frees. Returns NULL if the
 * record is damaged. Machines that the replica does not have yet are added to it.
 */
WsRentalBatch *ws_rental_batch_parse(WsReplica *replica, const char *name, const json_t *value);

/** Returns whether the rental batch's record has space for one more machine of the given name. */
gboolean ws_rental_batch_has_space(const WsRentalBatch *rental_batch, const WsReplica *replica,
                                   const char *machine);

/**
 * Returns how many machines with names of usual length fit a rental batch's record, at most the 50
 * that the cloud rents out per call.
 */
guint ws_rental_batch_max_machines(const WsSettings *settings);

/** Encodes the record of a rental intent. Its idempotency key is part of the record's key. */
json_t *ws_rental_intent_encode(const WsRentalIntent *intent);

/**
 * Parses the record of a rental intent, which the caller frees. Returns NULL if the record is
 * damaged.
 *
 * @request: the idempotency key
 */
WsRentalIntent *ws_rental_intent_parse(const char *request, const json_t *value);

/** Encodes the record of a termination mark. @is_immediate: terminate without draining */
json_t *ws_mark_encode(const char *reason, gboolean is_immediate);

/**
 * Parses the record of a termination mark. Outputs whose fields are absent or damaged keep their
 * values.
 *
 * @reason: set to a string that is borrowed from the value
 */
void ws_mark_parse(const json_t *value, const char **reason, gboolean *is_immediate);

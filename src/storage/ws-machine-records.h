/**
 * The records of machines: rental batches, rental intents and termination marks.
 *
 * Encoders return a new JSON object. Called by the replica, and by fleet for what it writes.
 */
#pragma once

#include "storage/ws-replica.h"

/** The record of a rental batch. */
json_t *ws_rental_batch_encode(const WsRentalBatch *rental_batch, const WsReplica *replica);

/**
 * Reads the record of a rental batch; the caller frees the batch. NULL: the record is damaged.
 * Machines that the replica lacks are added to it.
 */
WsRentalBatch *ws_rental_batch_parse(WsReplica *replica, const char *name, const json_t *value);

/** Whether the rental batch's record takes one more machine of the name. */
gboolean ws_rental_batch_has_space(const WsRentalBatch *rental_batch, const WsReplica *replica,
                                   const char *machine);

/**
 * How many machines of ordinary names a rental batch's record takes; the cloud gives 50 at once.
 */
guint ws_rental_batch_max_machines(const WsSettings *settings);

/** The record of a rental intent, without its idempotency key, which is in the record's key. */
json_t *ws_rental_intent_encode(const WsRentalIntent *intent);

/** Reads the record of a rental intent; the caller frees it. NULL: the record is damaged. */
WsRentalIntent *ws_rental_intent_parse(const char *request, const json_t *value);

/** The record of a termination mark. @is_immediate: without drain */
json_t *ws_mark_encode(const char *reason, gboolean is_immediate);

/**
 * Reads the record of a termination mark. What it doesn't say is left as it is.
 *
 * @reason: set to a string that is borrowed from the value
 */
void ws_mark_parse(const json_t *value, const char **reason, gboolean *is_immediate);

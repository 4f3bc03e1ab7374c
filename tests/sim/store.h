/**
 * The key-value store of the simulated cluster.
 */
#pragma once

#include <glib.h>
#include <jansson.h>

/** A key-value store with transactions, leases and watches. */
typedef struct _SimStore SimStore;
/** Handles the answer to a request. */
typedef void (*SimStoreReply)(gpointer data, guint status, json_t *body /* takes ownership */);

/** Creates an empty store. */
SimStore *sim_store_new(void);
/** Frees the store. Open watches are answered with 503. */
void sim_store_free(SimStore *store);
/**
 * Ends the leases that have expired and answers the watches that are due. With @is_unavailable, the
 * store is unavailable: all leases are renewed and all watches end.
 */
void sim_store_tick(SimStore *store, gint64 now_ms, gboolean is_unavailable);
/** Handles a request. Watches are answered at the next change or their timeout, others at once. */
void sim_store_request(SimStore *store, gint64 now_ms, const char *method, const char *path,
                       const json_t *body, SimStoreReply reply, gpointer data);
/** Sets limits: larger transactions and values get 400. What is stored stays readable. */
void sim_store_set_limits(SimStore *store, guint max_operations, gsize max_value_bytes);
/** Sets the most items that a page of keys has; 0: any number. */
void sim_store_set_max_page_items(SimStore *store, guint max_page_items);
/** Sets how many of the newest changes the store keeps for watches; 0: all. */
void sim_store_set_max_log_length(SimStore *store, guint max_log_length);
/** Forgets all changes made so far: watches from an earlier revision get 410. */
void sim_store_compact(SimStore *store);
/** The number of transactions that were rejected for their size. */
guint sim_store_count_rejected_for_size(const SimStore *store);
/** The number of keys with the prefix. */
guint sim_store_count_keys(const SimStore *store, const char *prefix);
/** Whether a record whose key has the prefix contains @name in its list "names". */
gboolean sim_store_lists_name(const SimStore *store, const char *prefix, const char *name);
/** Whether the key exists. */
gboolean sim_store_has(const SimStore *store, const char *key);
/** The value of the key; NULL if the key doesn't exist. */
const json_t *sim_store_get(const SimStore *store, const char *key);

/**
 * The key-value store of the simulated cluster.
 */
#pragma once

#include <glib.h>
#include <jansson.h>

/** The store. */
typedef struct _SimStore SimStore;
/** Takes the answer to a request. */
typedef void (*SimStoreReply)(gpointer data, guint status, json_t *body /* taken */);

/** An empty store. */
SimStore *sim_store_new(void);
/** Ends the store; open watches get a refusal. */
void sim_store_free(SimStore *store);
/** Ends leases that have expired and answers watches; out: leases are kept and watches end. */
void sim_store_tick(SimStore *store, gint64 now_ms, gboolean out);
/** The watch is answered when something changes; everything else at once. */
void sim_store_request(SimStore *store, gint64 now_ms, const char *method, const char *path,
                       const json_t *body, SimStoreReply reply, gpointer data);
/** From now on larger transactions and values get 400; what is stored stays readable. */
void sim_store_set_limits(SimStore *store, guint max_operations, gsize max_value_bytes);
/** Transactions that were refused for their size. */
guint sim_store_count_rejected_for_size(const SimStore *store);
/** Keys with the prefix. */
guint sim_store_count_keys(const SimStore *store, const char *prefix);
/** Whether a record below the prefix lists the name. */
gboolean sim_store_lists_name(const SimStore *store, const char *prefix, const char *name);
/** Whether the key exists. */
gboolean sim_store_has(const SimStore *store, const char *key);
/** The value of the key; NULL: there is none. */
const json_t *sim_store_get(const SimStore *store, const char *key);

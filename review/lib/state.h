/**
 * Stand-in of the state service: keys, transactions, leases, watches, rate limits and outages, as
 * the page on the protocols describes them.
 */
#pragma once

#include "http.h"

/** The state service. */
typedef struct {
  Listener *listener;
  GTree *entries;
  GHashTable *leases;
  GQueue *log;
  GPtrArray *watches;
  guint64 revision, next_lease;
  gboolean is_out; /**< an outage: every request gets 503 */
  double rps, write_rps;
  double request_tokens, write_tokens;
  gint64 refilled_ms;
  guint txn_ops;
  gsize value_bytes;
  guint requests, rejected;
} State;

/** Starts the service on a free port. */
State *state_new(double rps, double write_rps, guint txn_ops, gsize value_bytes);
/** Ends leases and answers watches that are due; to be called about every 20 ms. */
void state_tick(State *state);
/** Stores a value directly, as if an earlier transaction had written it. */
void state_put(State *state, const char *key, json_t *value);
/** The value of a key, or NULL. */
const json_t *state_get(const State *state, const char *key);
/** The number of keys with the prefix. */
guint state_count(const State *state, const char *prefix);

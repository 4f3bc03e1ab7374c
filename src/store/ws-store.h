/**
 * The client of the key-value store: rate-limited requests, the watch that keeps the replica up to
 * date, linearizable reads, transactions, and statistics of committed operations.
 *
 * Called by every package that reads or writes durable state. The client owns the request queues,
 * this node's request and write budgets, the watch, and the initial load of the replica.
 *
 * Callbacks run from ws_core_handle_reply(), ws_core_stop(), ws_store_tick() or ws_store_pump(),
 * never before the function that they were passed to has returned.
 */
#pragma once

#include "context/ws-context.h"

/** The priority classes of requests, from the highest priority to the lowest. */
typedef enum {
  WS_REQUEST_LEASE,      /**< leases, election and epochs */
  WS_REQUEST_READ,       /**< load, watch and linearizable reads */
  WS_REQUEST_USER,       /**< submissions and cancellations, whose users wait for the response */
  WS_REQUEST_SCHEDULING, /**< e.g. assignments, releases, rentals, terminations, mailboxes */
  WS_REQUEST_BACKGROUND, /**< background work, e.g. garbage collection */
  WS_REQUEST_CLASS_COUNT /**< the number of classes */
} WsRequestClass;

/** The outcome of a transaction. */
typedef enum {
  WS_TXN_COMMITTED,
  WS_TXN_CONFLICT,     /**< a condition failed */
  WS_TXN_UNAVAILABLE,  /**< not applied; may be retried */
  WS_TXN_INVALID,      /**< rejected for its size or form; a retry would be rejected as well */
  WS_TXN_INDETERMINATE /**< no response: it may have been applied, or may be applied later */
} WsTxnResult;

/** A transaction, from its creation until the store has responded. */
typedef struct _WsTxn WsTxn;

/** Receives the outcome of a transaction. @data: as passed to ws_txn_commit() */
typedef void (*WsTxnFunc)(WsCore *core, WsTxnResult result, gpointer data);

/**
 * Completes a linearizable read.
 *
 * @is_current: whether the replica is up to date; FALSE: the read has failed or timed out
 */
typedef void (*WsReadFunc)(WsCore *core, gboolean is_current, gpointer data);

/** Creates a client with nothing loaded. The caller frees it. @settings: read, not kept */
WsStore *ws_store_new(const WsSettings *settings);

/** Frees the client and its queued requests without calling back. @store: not NULL */
void ws_store_free(WsStore *store);

/**
 * Does the periodic work: starts the load of the replica, fails reads that have timed out, and
 * brings the replica up to date after an outage of the store.
 *
 * @is_leader: whether this node is the leader, which gets the largest share of the write budget
 */
void ws_store_tick(WsCore *core, gboolean is_leader);

/** Sends the queued requests that the budgets allow. Called after every input of the core. */
void ws_store_pump(WsCore *core);

/**
 * Completes all queued requests as if they had timed out, and fails all linearizable reads.
 *
 * Returns whether there were any. Their callbacks may have queued new ones.
 */
gboolean ws_store_stop(WsCore *core);

/**
 * Whether the replica is loaded: it contains all changes up to a revision that no page of the load
 * exceeds. FALSE again from when the store has compacted the watch's revision until the replica is
 * reloaded.
 */
gboolean ws_store_is_loaded(const WsCore *core);

/** Whether the store responds. An outage is reported only once it has lasted for a while. */
gboolean ws_store_is_available(const WsCore *core);

/** Whether the replica is loaded and up to date, except for changes still in transit. */
gboolean ws_store_is_current(const WsCore *core);

/** Since when all requests have failed, on the clock of core->now_ms; 0: the store responds. */
gint64 ws_store_unavailable_since_ms(const WsCore *core);

/** Whether this node's write budget allows @operations now. Takes nothing from the budget. */
gboolean ws_store_has_write_budget(WsCore *core, guint operations);

/**
 * Queues a POST request to the store. Takes ownership of @body.
 *
 * A rate-limited request is retried a few times before @reply is called with status 429. After a
 * timeout, @reply is called with status 0.
 *
 * @body: JSON; NULL: no body
 * @write_count: operations to take from the write budget
 * @timeout_ms: starts when the request is sent
 */
void ws_store_post(WsCore *core, WsRequestClass request_class, const char *path, json_t *body,
                   guint write_count, guint timeout_ms, WsReplyFunc reply, gpointer data);

/**
 * Calls @done with TRUE once the replica has every change that was committed before this call, or
 * with FALSE if the read fails or times out.
 */
void ws_store_linearizable_read(WsCore *core, WsReadFunc done, gpointer data);

/** Creates an empty transaction, to be passed to ws_txn_commit() or freed with ws_txn_free(). */
WsTxn *ws_txn_new(void);

/** Frees a transaction that was not passed to ws_txn_commit(). */
void ws_txn_free(WsTxn *txn);

/** Adds the condition that the key still has the version which the replica holds. */
void ws_txn_compare(WsTxn *txn, const WsReplica *replica, const char *key);

/** Adds the condition that the key has the version; 0: that it doesn't exist. */
void ws_txn_compare_version(WsTxn *txn, const char *key, guint64 version);

/** Adds an operation that sets the key. Takes ownership of @value. */
void ws_txn_put(WsTxn *txn, const char *key, json_t *value);

/** Like ws_txn_put(), but the store deletes the key together with the lease. */
void ws_txn_put_leased(WsTxn *txn, const char *key, json_t *value, guint64 lease);

/** Adds an operation that deletes the key. */
void ws_txn_delete(WsTxn *txn, const char *key);

/** Returns the number of operations in the transaction, without its conditions. */
guint ws_txn_operation_count(const WsTxn *txn);

/**
 * Queues the transaction, which the store applies if all conditions hold. If it commits, its
 * operations are applied to the replica before @done is called. Takes ownership of @txn.
 */
void ws_txn_commit(WsCore *core, WsTxn *txn, WsRequestClass request_class, WsTxnFunc done,
                   gpointer data);

/** Creates statistics with all counts 0. The caller frees them. */
WsWriteStats *ws_write_stats_new(void);

/** Frees the statistics without logging them. @stats: may be NULL */
void ws_write_stats_free(WsWriteStats *stats);

/** Whether the periodic log line with this node's write statistics is due. */
gboolean ws_write_stats_is_due(const WsCore *core);

/**
 * Logs the number of committed operations by purpose, and resets the counts.
 *
 * @oldest_assignment_ms, @oldest_release_ms: how long the oldest pending one of each has waited
 */
void ws_write_stats_log(WsCore *core, gint64 oldest_assignment_ms, gint64 oldest_release_ms);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsStore, ws_store_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsTxn, ws_txn_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsWriteStats, ws_write_stats_free)

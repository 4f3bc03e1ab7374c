/**
 * The client of the key-value store: paced requests, the watch that keeps the replica up to date,
 * linearizable reads, transactions, and statistics of what is written.
 *
 * Called by every package that reads or writes durable state. Owns the request queues, the request
 * and write budgets of this node, the watch and the load of the replica. Callbacks are called from
 * ws_core_handle_reply or from one of the functions here that say so, never before the function
 * that was handed the callback returns.
 */
#pragma once

#include "context/ws-context.h"

/** The priority classes of requests, the most urgent first. */
typedef enum {
  WS_REQUEST_LEASE,      /**< leases, election and epochs */
  WS_REQUEST_READ,       /**< load, watch and linearizable reads */
  WS_REQUEST_USER,       /**< what a user waits for */
  WS_REQUEST_SCHEDULING, /**< assignments and releases of tasks */
  WS_REQUEST_BACKGROUND,
  WS_REQUEST_CLASS_COUNT /**< how many there are */
} WsRequestClass;

/** The outcome of a transaction. */
typedef enum {
  WS_TXN_COMMITTED,
  WS_TXN_CONFLICT,     /**< a condition failed */
  WS_TXN_UNAVAILABLE,  /**< not carried out; may be retried */
  WS_TXN_INVALID,      /**< rejected for its size or form: a retry would be too */
  WS_TXN_INDETERMINATE /**< no answer: it may have been carried out, or may be later */
} WsTxnResult;

/** A transaction while it's put together, and until it's answered. */
typedef struct _WsTxn WsTxn;

/** Called back with the outcome of a transaction. @data: as handed to ws_txn_commit() */
typedef void (*WsTxnFunc)(WsCore *core, WsTxnResult result, gpointer data);

/** @is_current: whether the replica is up to date; FALSE: the read failed or took too long */
typedef void (*WsReadFunc)(WsCore *core, gboolean is_current, gpointer data);

/** Creates a client that has loaded nothing. The caller frees it. @settings: read, not kept */
WsStore *ws_store_new(const WsSettings *settings);

/** Frees the client; what it has queued is not called back. @store: not NULL */
void ws_store_free(WsStore *store);

/**
 * Does the periodic work: loads the replica, times reads out, catches up after an outage.
 *
 * @leads: whether this node is the leader, which needs most of the write budget
 */
void ws_store_tick(WsCore *core, gboolean leads);

/** Sends the queued requests that the budgets allow. Called after every input. */
void ws_store_pump(WsCore *core);

/**
 * Ends all queued requests as if no response had come, and all reads without success.
 *
 * Returns whether there was any; the callbacks may have added others.
 */
gboolean ws_store_stop(WsCore *core);

/** Whether the replica has been loaded, and the watch has not lost its place since. */
gboolean ws_store_is_loaded(const WsCore *core);

/** Whether the store answers; TRUE also for the first moments of an outage. */
gboolean ws_store_is_available(const WsCore *core);

/** Whether the replica is loaded and as new as the store, but for what is on its way. */
gboolean ws_store_is_current(const WsCore *core);

/** Since when all requests have failed, on the clock of core->now; 0: they don't. */
gint64 ws_store_unavailable_since_ms(const WsCore *core);

/** Whether this node's write budget allows so many operations now. Takes nothing from it. */
gboolean ws_store_has_write_budget(WsCore *core, guint operations);

/**
 * Queues a request that is posted to the store.
 *
 * A request that is rejected for its rate is retried some times; @reply then gets status 429. It
 * gets status 0 if no response comes within the time.
 *
 * @body: taken; NULL: there is none
 * @write_count: what the request takes from the write budget
 * @timeout_ms: from when the request is sent
 */
void ws_store_post(WsCore *core, WsRequestClass request_class, const char *path, json_t *body,
                   guint write_count, guint timeout_ms, WsReplyFunc reply, gpointer data);

/** Calls back once the replica is as new as the store was when this was called. */
void ws_store_linearizable_read(WsCore *core, WsReadFunc done, gpointer data);

/** Creates an empty transaction, which ws_txn_commit() takes or ws_txn_free() frees. */
WsTxn *ws_txn_new(void);

/** Frees a transaction that isn't committed. */
void ws_txn_free(WsTxn *txn);

/** Adds the condition that the key has the version which the replica knows. */
void ws_txn_compare(WsTxn *txn, const WsReplica *replica, const char *key);

/** Adds the condition that the key has the version; 0: that it doesn't exist. */
void ws_txn_compare_version(WsTxn *txn, const char *key, guint64 version);

/** Adds an operation that sets the key. @value: taken */
void ws_txn_put(WsTxn *txn, const char *key, json_t *value);

/** Adds an operation that sets the key until the lease ends. @value: taken */
void ws_txn_put_leased(WsTxn *txn, const char *key, json_t *value, guint64 lease);

/** Adds an operation that deletes the key. */
void ws_txn_delete(WsTxn *txn, const char *key);

/** How many operations the transaction has; its conditions are not counted. */
guint ws_txn_operation_count(const WsTxn *txn);

/**
 * Queues the transaction, which is carried out if all conditions hold. Once it's committed the
 * replica has its operations before @done is called.
 *
 * @txn: taken
 */
void ws_txn_commit(WsCore *core, WsTxn *txn, WsRequestClass request_class, WsTxnFunc done,
                   gpointer data);

/** Creates statistics without operations. The caller frees them. */
WsWriteStats *ws_write_stats_new(void);

/** Frees the statistics, without a log line; NULL is allowed. */
void ws_write_stats_free(WsWriteStats *stats);

/** Whether the periodic log line on the operations of this node is due. */
gboolean ws_write_stats_is_due(const WsCore *core);

/**
 * Logs the committed operations by purpose, and starts to count anew.
 *
 * @oldest_assignment_ms, @oldest_release_ms: for how long the oldest of each has waited
 */
void ws_write_stats_log(WsCore *core, gint64 oldest_assignment_ms, gint64 oldest_release_ms);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsStore, ws_store_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsTxn, ws_txn_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsWriteStats, ws_write_stats_free)

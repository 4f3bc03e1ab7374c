/**
 * The client of the key-value store: paced requests, the watch that keeps the replica up to date,
 * reads that are known to be current, and transactions.
 *
 * Called by every package that reads or writes durable state. Owns the request queues, the request
 * and write budgets of this node, the watch and the load of the replica.
 */
#pragma once

#include "context/ws-context.h"

typedef enum {
  WS_REQUEST_LEASE,
  WS_REQUEST_READ,
  WS_REQUEST_USER,
  WS_REQUEST_TASK,
  WS_REQUEST_OTHER,
  WS_REQUEST_CLASSES
} WsRequestClass;

typedef enum {
  WS_TXN_COMMITTED,
  WS_TXN_CONFLICT,     /* a condition failed */
  WS_TXN_UNAVAILABLE,  /* not carried out, for now */
  WS_TXN_INVALID,      /* refused for its size or form, and will be again */
  WS_TXN_INDETERMINATE /* no answer: it may be carried out later */
} WsTxnResult;
typedef void (*WsTxnFunc)(WsCore *core, WsTxnResult result, gpointer data);
typedef void (*WsReadFunc)(WsCore *core, gboolean current, gpointer data);

typedef struct _WsTxn WsTxn;

WsStore *ws_store_new(const WsSettings *settings);
void ws_store_free(WsStore *store);
/** Periodic work. @leads: whether this node leads, and needs most of the write budget. */
void ws_store_tick(WsCore *core, gboolean leads);
void ws_store_pump(WsCore *core);
/* Ends what is queued and whoever waits for a read. Returns whether there was any. */
gboolean ws_store_stop(WsCore *core);
gboolean ws_store_is_loaded(const WsCore *core);
gboolean ws_store_is_available(const WsCore *core);
/* The replica is as new as the store, but for what is on its way. */
gboolean ws_store_is_current(const WsCore *core);
/* Since when there are only bad answers or none; 0: not so. */
gint64 ws_store_unavailable_since_ms(const WsCore *core);
/* Whether the budget has room for so many changes now. */
gboolean ws_store_has_write_budget(WsCore *core, guint changes);
void ws_store_request(WsCore *core, WsRequestClass first, const char *method, const char *path,
                      json_t *body /* taken */, guint writes, guint timeout_ms, WsReplyFunc reply,
                      gpointer data);
/* Calls back once the replica is as new as the store was after this call. */
void ws_store_linearizable_read(WsCore *core, WsReadFunc done, gpointer data);

WsTxn *ws_txn_new(void);
void ws_txn_compare(WsTxn *txn, const WsReplica *replica, const char *key);
void ws_txn_compare_version(WsTxn *txn, const char *key, guint64 version);
void ws_txn_put(WsTxn *txn, const char *key, json_t *value /* taken */);
void ws_txn_put_leased(WsTxn *txn, const char *key, json_t *value /* taken */, guint64 lease);
void ws_txn_delete(WsTxn *txn, const char *key);
guint ws_txn_operation_count(const WsTxn *txn);
void ws_txn_commit(WsCore *core, WsTxn *txn /* taken */, WsRequestClass first, WsTxnFunc done,
                   gpointer data);
void ws_txn_free(WsTxn *txn);

/**
 * The parts of the store's client, for the files of this directory only.
 *
 * Each part has its own state in WsStore and its own file: the request queue (ws-store-requests.c),
 * linearizable reads (ws-store-reads.c), the load of the replica (ws-store-load.c) and the watch
 * (ws-store-watch.c). ws-store.c drives them.
 */
#pragma once

#include "store/ws-store.h"

/** Requests that wait for their turn, and the budgets that they are paced by. */
typedef struct {
  GQueue queues[WS_REQUEST_CLASS_COUNT]; /**< of StoreRequest */
  WsTokenBucket request_rate;
  WsTokenBucket write_rate;
  gint64 rate_limited_until_ms; /**< nothing is sent before: the last request was one too many */
  gint64 unavailable_since_ms;  /**< since when there are only failures; 0: there aren't */
} WsStoreRequests;

/** Linearizable reads: one request to the store serves all that came before it was sent. */
typedef struct {
  GArray *unsent;  /**< of PendingRead: for the next request */
  GArray *sent;    /**< of PendingRead: served by the request on its way */
  GArray *waiting; /**< of PendingRead: until the replica has reached a revision */
  gboolean is_reading;
} WsStoreReads;

/** The load of the replica, page by page. */
typedef struct {
  gboolean is_loaded;
  gboolean is_loading;
  gint64 retry_ms;
  guint64 revision; /**< of the first page */
  GHashTable *keys; /**< set of the keys on the pages */
  char *last_key;   /**< of the page before; NULL: the next page is the first */
} WsStoreLoad;

/** The watch that reports what changes after the load. */
typedef struct {
  gint64 opened_ms;
  gint64 retry_ms;
  gboolean is_open;
} WsStoreWatch;

/** The state of the client. Owns that of each part. */
struct _WsStore {
  WsStoreRequests requests;
  WsStoreReads reads;
  WsStoreLoad load;
  WsStoreWatch watch;
  gboolean is_stale; /**< the store was unavailable, and nothing has been read since */
  gboolean is_catching_up;
};

/** Makes empty queues and full budgets, whose rates ws_store_requests_set_shares() sets. */
void ws_store_requests_init(WsStoreRequests *requests, const WsSettings *settings);
/** Frees the queued requests without calling back. */
void ws_store_requests_clear(WsStoreRequests *requests);
/** Queues a read, of class WS_REQUEST_READ; otherwise like ws_store_post. */
void ws_store_get(WsCore *core, const char *path, guint timeout_ms, WsReplyFunc reply,
                  gpointer data);
/** Sets this node's share of the budgets. @leads: whether it's the leader's. */
void ws_store_requests_set_shares(WsCore *core, gboolean leads);
/** Sends as many requests as the budgets allow, the most urgent class first. */
void ws_store_requests_send(WsCore *core);
/** Ends all queued requests as if no response had come. Returns whether there was any. */
gboolean ws_store_requests_stop(WsCore *core);

/** Makes empty lists of reads. */
void ws_store_reads_init(WsStoreReads *reads);
/** Frees the lists of reads without calling back. */
void ws_store_reads_clear(WsStoreReads *reads);
/** Asks the store for its revision, if a read waits for that. */
void ws_store_reads_send(WsCore *core);
/** Ends the reads whose revision the replica has reached, and those that have timed out. */
void ws_store_reads_finish(WsCore *core);
/** Ends all reads without success. Returns whether there was any. */
gboolean ws_store_reads_stop(WsCore *core);

/** Frees the keys of a load that was not finished. Its state is to be zero at first. */
void ws_store_load_clear(WsStoreLoad *load);
/** Starts to load the replica, unless it's loaded or being loaded. */
void ws_store_load_tick(WsCore *core);

/** Opens the watch, unless it's open or not due. */
void ws_store_watch_open(WsCore *core);

/** Counts a committed operation. */
void ws_write_stats_add(WsCore *core, const char *key);

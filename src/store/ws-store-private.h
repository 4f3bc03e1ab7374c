/**
 * Declarations shared by the files of this directory only.
 *
 * Each part of the store's client has its own state in WsStore and its own file: the request queues
 * (ws-store-requests.c), linearizable reads (ws-store-reads.c), the initial load of the replica
 * (ws-store-load.c) and the watch (ws-store-watch.c). ws-store.c calls them.
 */
#pragma once

#include "store/ws-store.h"

/** The queued requests, and the token buckets that limit the rate at which they are sent. */
typedef struct {
  GQueue queues[WS_REQUEST_CLASS_COUNT]; /**< of StoreRequest */
  WsTokenBucket request_budget;
  WsTokenBucket write_budget;
  gint64 rate_limited_until_ms; /**< no request is sent before: the store rate-limited one */
  gint64 unavailable_since_ms;  /**< when the current outage began; 0: there is none */
} WsStoreRequests;

/** Linearizable reads. One request to the store serves all reads that were queued before it. */
typedef struct {
  GArray *unsent;  /**< of PendingRead: to be served by the next request */
  GArray *sent;    /**< of PendingRead: served by the request in flight */
  GArray *waiting; /**< of PendingRead: their revision is known, the replica hasn't reached it */
  gboolean is_revision_requested; /**< a request is queued or in flight */
} WsStoreReads;

/** The phases of a load. */
typedef enum {
  WS_LOAD_NEEDED,      /**< a load starts once the retry delay has passed */
  WS_LOAD_READING,     /**< the pages are being read */
  WS_LOAD_CATCHING_UP, /**< the watch has not reached the revision of the last page */
  WS_LOAD_COMPLETE     /**< the watch keeps the replica up to date */
} WsLoadPhase;

/**
 * The load of the replica, page by page, at the start and after the store has compacted the
 * revision of the watch.
 */
typedef struct {
  WsLoadPhase phase;
  gint64 retry_ms;       /**< no load starts before this time */
  guint64 revision;      /**< of the first page */
  guint64 last_revision; /**< of the last page loaded so far */
  guint page_count;      /**< pages loaded so far */
  GHashTable *keys;      /**< set of the keys on the pages loaded so far */
  char *last_key;        /**< of the previous page; NULL: no page was loaded yet */
} WsStoreLoad;

/** The watch, which reports changes made after the load. */
typedef struct {
  gint64 opened_ms; /**< when the last watch was opened */
  gint64 retry_ms;  /**< no watch is opened before this time */
  gboolean is_open;
} WsStoreWatch;

/** The client's state, with the state of each of its parts. */
struct _WsStore {
  WsStoreRequests requests;
  WsStoreReads reads;
  WsStoreLoad load;
  WsStoreWatch watch;
  gboolean is_stale;       /**< set by an outage, until a linearizable read succeeds */
  gboolean is_catching_up; /**< the read that ends is_stale is pending */
};

/** Makes empty queues and full buckets. ws_store_requests_set_shares() then sets their rates. */
void ws_store_requests_init(WsStoreRequests *requests, const WsSettings *settings);
/** Frees the queued requests without calling back. */
void ws_store_requests_clear(WsStoreRequests *requests);
/** Queues a GET request of class WS_REQUEST_READ; otherwise like ws_store_post(). */
void ws_store_get(WsCore *core, const char *path, guint timeout_ms, WsReplyFunc reply,
                  gpointer data);
/** Sets this node's share of the store's rate limits. @is_leader: whether this node leads */
void ws_store_requests_set_shares(WsCore *core, gboolean is_leader);
/** Sends as many requests as the budgets allow, in order of priority. */
void ws_store_requests_send(WsCore *core);
/** Completes all queued requests as if they had timed out. Returns whether there were any. */
gboolean ws_store_requests_stop(WsCore *core);

/** Creates the empty lists of reads. */
void ws_store_reads_init(WsStoreReads *reads);
/** Frees the lists of reads without calling back. */
void ws_store_reads_clear(WsStoreReads *reads);
/**
 * Queues the request that serves the unsent reads, unless one is queued or in flight. Fails these
 * reads if the replica isn't loaded or the store is unavailable.
 */
void ws_store_reads_send(WsCore *core);
/** Completes the reads whose revision the replica has reached; fails those that timed out. */
void ws_store_reads_finish(WsCore *core);
/** Fails all reads. Returns whether there were any. */
gboolean ws_store_reads_stop(WsCore *core);

/** Frees the keys collected by a load. @load: initially all zero */
void ws_store_load_clear(WsStoreLoad *load);
/**
 * Starts the load of the replica unless it is loaded or being loaded, a watch is open, or the retry
 * delay after a failed load has not passed.
 */
void ws_store_load_tick(WsCore *core);

/** Called when the watch has advanced the replica: completes the load if it was catching up. */
void ws_store_load_catch_up(WsCore *core);

/** Has the replica loaded again: the store has compacted the revision of the watch. */
void ws_store_load_restart(WsCore *core);

/**
 * Opens the watch if the replica is loaded or catching up, no watch is open, and the next one is
 * due.
 */
void ws_store_watch_open(WsCore *core);

/** Counts a committed operation on the key. */
void ws_write_stats_add(WsCore *core, const char *key);

/** Reads the revision from a successful reply. Returns FALSE, and logs it, if it is unreadable. */
gboolean ws_store_read_revision(WsCore *core, const json_t *body, guint64 *revision);

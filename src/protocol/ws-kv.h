/**
 * The messages of the key-value store: paths, requests and responses of its HTTP interface.
 *
 * Values are JSON documents that the store doesn't look into; src/storage encodes and decodes them.
 * What a parser returns borrows its strings and values from the message, and is valid as long as
 * that. Encoders return a new JSON object.
 */
#pragma once

#include "protocol/ws-json.h"

/** The path to which a transaction is posted. */
#define WS_KV_TXN_PATH "/multi"
/** The path to which a request for a lease is posted. */
#define WS_KV_LEASES_PATH "/holds"

/** The HTTP statuses of the store's responses. */
typedef enum {
  WS_KV_OK = 200,
  WS_KV_INVALID = 400,   /**< rejected for its size or form, or for a lease that has ended */
  WS_KV_NOT_FOUND = 404, /**< there is no such lease */
  WS_KV_CONFLICT = 409,  /**< a condition of the transaction failed */
  WS_KV_COMPACTED = 410, /**< the watch's revision is too old */
  WS_KV_RATE_LIMITED = 429,
  WS_KV_UNAVAILABLE = 503
} WsKvStatus;

/** A key and its value at a version: an item of a page, or a change that a watch reports. */
typedef struct {
  const char *key;     /**< NULL: a watch event of an unknown kind */
  const json_t *value; /**< NULL: the key was deleted */
  guint64 version;     /**< the revision of the store that wrote the key last */
} WsKvItem;

/** A page of a range read, or the events of a watch. */
typedef struct {
  guint64 revision; /**< of the store when it answered */
  GArray *items;    /**< of WsKvItem; malformed ones are left out */
  gboolean is_last; /**< no page follows */
} WsKvPage;

/** A condition of a transaction: the key still has this version. */
typedef struct {
  char *key;
  guint64 version; /**< 0: the key doesn't exist */
} WsKvCondition;

/** An operation of a transaction. */
typedef struct {
  char *key;
  json_t *value; /**< NULL: the key is deleted */
  guint64 lease; /**< that the key is bound to; 0: none */
} WsKvOperation;

/**
 * Returns the path that reads a page of the keys with a prefix. The caller frees it.
 *
 * @after: the last key of the page before; NULL: the first page is read
 * @page_size: the largest number of items
 */
char *ws_kv_page_path(const char *prefix, const char *after, guint page_size);

/**
 * Returns the path that waits for changes of the keys with a prefix. The caller frees it.
 *
 * @revision: changes after it are reported
 * @wait_ms: for how long the store waits for one
 */
char *ws_kv_watch_path(const char *prefix, guint64 revision, guint wait_ms);

/** Returns the path to which the renewal of a lease is posted. The caller frees it. */
char *ws_kv_lease_renewal_path(guint64 lease);

/** Reads the store's revision from any response that has it. FALSE: it's malformed. */
gboolean ws_kv_revision_parse(const json_t *message, guint64 *revision);

/** Reads a page of a range read. The caller frees it; NULL: the message is malformed. */
WsKvPage *ws_kv_page_parse(const json_t *message);

/** Reads the events of a watch, the oldest first. The caller frees it; NULL: it's malformed. */
WsKvPage *ws_kv_watch_parse(const json_t *message);

/** Frees the page with its items, but not the message that they borrow from. @page: not NULL */
void ws_kv_page_free(WsKvPage *page);

/** Encodes the request for a lease that ends unless it's renewed within @ttl_ms. */
json_t *ws_kv_lease_request_encode(guint ttl_ms);

/** Reads the granted lease. FALSE: the message is malformed, and @lease is left alone. */
gboolean ws_kv_lease_parse(const json_t *message, guint64 *lease);

/**
 * Encodes a transaction: all operations are carried out if all conditions hold.
 *
 * @conditions: of WsKvCondition
 * @operations: of WsKvOperation
 */
json_t *ws_kv_txn_encode(const GArray *conditions, const GArray *operations);

/** The reason in an error response; NULL: there is none. */
const char *ws_kv_error_parse(const json_t *message);

/** Whether a transaction was rejected because the lease that it names has ended. */
gboolean ws_kv_error_is_lease_expired(const json_t *message);

/** Frees what the condition holds, not the condition itself. */
void ws_kv_condition_clear(WsKvCondition *condition);

/** Frees what the operation holds, not the operation itself, and unrefs its value. */
void ws_kv_operation_clear(WsKvOperation *operation);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsKvPage, ws_kv_page_free)

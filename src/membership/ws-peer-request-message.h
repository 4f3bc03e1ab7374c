/**
 * Messages of peer requests: a batch of requests to one node, and the mailbox, which contains a
 * batch for each unreachable node.
 */
#pragma once

#include "storage/ws-evidence.h"

/** Kinds of requests, in the order in which a node handles them, with the fields of each. */
typedef enum {
  WS_PEER_REQUEST_STOP,        /**< job, task, attempt */
  WS_PEER_REQUEST_RELEASE,     /**< job, task, attempt, release, has_evidence */
  WS_PEER_REQUEST_RESERVATION, /**< job, tasks, machine: empty for any */
  WS_PEER_REQUEST_ASSIGNMENT,  /**< job, task, machine */
  WS_PEER_REQUEST_MARK,        /**< machine, reason, is_immediate */
  WS_PEER_REQUEST_KIND_COUNT   /**< the number of kinds */
} WsPeerRequestKind;

/** A request. Fields that its kind does not use are 0. Strings of a received one may be NULL. */
typedef struct {
  WsPeerRequestKind kind;
  char *job; /**< the job's id */
  char *machine;
  char *reason;          /**< reason of the termination */
  gboolean is_immediate; /**< the machine is terminated without drain */
  gint64 task;           /**< not checked against the job when received */
  gint64 tasks;          /**< number of tasks to reserve capacity for; not checked when received */
  guint64 attempt;
  WsRelease release;     /**< its job and task are not set when received */
  gboolean has_evidence; /**< versions before 0.4 send releases without it */
} WsPeerRequest;

/** Frees the request with its strings. @request: not NULL */
void ws_peer_request_free(WsPeerRequest *request);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsPeerRequest, ws_peer_request_free)

/** The requests of one node to another. */
typedef struct {
  guint64 epoch;
  GPtrArray *requests[WS_PEER_REQUEST_KIND_COUNT]; /**< of WsPeerRequest; NULL: none was added */
  WsPeerRequestKind order[WS_PEER_REQUEST_KIND_COUNT]; /**< kinds in the order of first addition */
  guint kinds;                                         /**< number of entries used in @order */
} WsPeerRequestBatch;

/** Creates an empty batch of epoch 0. The caller frees it. */
WsPeerRequestBatch *ws_peer_request_batch_new(void);

/** Frees the batch with its requests; NULL is allowed. */
void ws_peer_request_batch_free(WsPeerRequestBatch *batch);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsPeerRequestBatch, ws_peer_request_batch_free)

/**
 * Adds the request, or frees it if the batch already contains the maximum number of its kind.
 *
 * @request: ownership passes to the batch
 */
void ws_peer_request_batch_add(WsPeerRequestBatch *batch, WsPeerRequest *request);

/** Encodes the batch as JSON. The caller owns the result. */
json_t *ws_peer_request_batch_encode(const WsPeerRequestBatch *batch, const WsReplica *replica);

/**
 * Parses a batch. Returns NULL if the epoch is missing or malformed. The fields of the requests are
 * not validated: the handler of each kind does that.
 */
WsPeerRequestBatch *ws_peer_request_batch_parse(const WsReplica *replica, const json_t *body);

/** Batches for unreachable nodes, by the node's name. */
typedef struct {
  GPtrArray *nodes;   /**< of const char *, borrowed from the settings */
  GPtrArray *batches; /**< of WsPeerRequestBatch */
} WsMailbox;

/** Creates an empty mailbox. The caller frees it. */
WsMailbox *ws_mailbox_new(void);

/** Frees the mailbox with its batches. @mailbox: not NULL */
void ws_mailbox_free(WsMailbox *mailbox);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsMailbox, ws_mailbox_free)

/**
 * Adds the batch for a node that has none in the mailbox yet.
 *
 * @node: its name; borrowed, and must outlive the mailbox
 * @batch: ownership passes to the mailbox; not NULL
 */
void ws_mailbox_add(WsMailbox *mailbox, const char *node, WsPeerRequestBatch *batch);

/**
 * Encodes the mailbox as JSON. If the text exceeds @max_bytes, drops the later half of each kind of
 * each batch until it fits or no request is left; then it may still exceed the limit. The caller
 * owns the result.
 */
json_t *ws_mailbox_encode_within(WsMailbox *mailbox, const WsReplica *replica, gsize max_bytes);

/** Parses the batch for @node in another node's mailbox. Returns NULL if there is none. */
WsPeerRequestBatch *ws_mailbox_parse(const WsReplica *replica, const json_t *body,
                                     const char *node);

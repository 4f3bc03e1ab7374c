/**
 * Peer requests as messages: a batch to one node, and the mailbox, which has a batch for each node
 * out of reach.
 */
#pragma once

#include "storage/ws-evidence.h"

/** In the order in which a node handles them. */
typedef enum {
  WS_PEER_REQUEST_STOP,        /**< job, task, attempt */
  WS_PEER_REQUEST_RELEASE,     /**< job, task, attempt, release, has_evidence */
  WS_PEER_REQUEST_RESERVATION, /**< job, tasks, machine: empty for any */
  WS_PEER_REQUEST_ASSIGNMENT,  /**< job, task, machine */
  WS_PEER_REQUEST_MARK,        /**< machine, reason, is_immediate */
  WS_PEER_REQUEST_KINDS
} WsPeerRequestKind;

/** One request. What its kind doesn't have is 0; strings of one that was received may be NULL. */
typedef struct {
  WsPeerRequestKind kind;
  char *job; /**< its id */
  char *machine;
  char *reason;          /**< of the termination */
  gboolean is_immediate; /**< the machine is terminated without drain */
  gint64 task;           /**< not checked against the job when received */
  gint64 tasks;          /**< how many are to be reserved for; not checked when received */
  guint64 attempt;
  WsRelease release;     /**< when received without its job and task */
  gboolean has_evidence; /**< versions before 0.4 send releases without it */
} WsPeerRequest;

/** Frees the request with its strings. @request: not NULL */
void ws_peer_request_free(WsPeerRequest *request);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsPeerRequest, ws_peer_request_free)

/** What a node requests of another one. */
typedef struct {
  guint64 epoch;
  GPtrArray *requests[WS_PEER_REQUEST_KINDS]; /**< of WsPeerRequest; NULL: there never was one */
  WsPeerRequestKind order[WS_PEER_REQUEST_KINDS]; /**< of the kinds, as they were first added */
  guint kinds;
} WsPeerRequestBatch;

/** Creates an empty batch, of epoch 0. The caller frees it. */
WsPeerRequestBatch *ws_peer_request_batch_new(void);

/** Frees the batch with its requests; NULL is allowed. */
void ws_peer_request_batch_free(WsPeerRequestBatch *batch);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsPeerRequestBatch, ws_peer_request_batch_free)

/**
 * Adds the request, or frees it if the batch has as many of its kind as a message takes.
 *
 * @request: taken
 */
void ws_peer_request_batch_add(WsPeerRequestBatch *batch, WsPeerRequest *request);

/** The batch as JSON. The caller owns it. */
json_t *ws_peer_request_batch_encode(const WsPeerRequestBatch *batch, const WsReplica *replica);

/** Reads a batch; NULL: malformed. Whoever handles a request checks that its parts are there. */
WsPeerRequestBatch *ws_peer_request_batch_parse(const WsReplica *replica, const json_t *body);

/** Batches by the name of their node. */
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
 * @batch: taken; not NULL
 */
void ws_mailbox_add(WsMailbox *mailbox, const char *node, WsPeerRequestBatch *batch);

/**
 * The mailbox as JSON, in as many bytes at the most, if that can be had by leaving out the later
 * requests of each kind. The caller owns it.
 */
json_t *ws_mailbox_encode_within(WsMailbox *mailbox, const WsReplica *replica, gsize max_bytes);

/** Reads the batch for the node from another node's mailbox; NULL: there is none. */
WsPeerRequestBatch *ws_mailbox_parse(const WsReplica *replica, const json_t *body,
                                     const char *node);

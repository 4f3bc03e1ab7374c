/**
 * The gossip message, in which a node announces its own state and that of its machines. Used by
 * ws-gossip.c. Private to membership.
 */
#pragma once

#include "protocol/ws-json.h"

/** The state of a machine as announced by its owner. */
typedef struct {
  const char *name;
  gboolean is_up;
  const char *endpoint; /**< empty: not known */
  gboolean has_interruption_notice;
  GPtrArray *images; /**< of const char *: names of the images cached on the machine */
} WsGossipMachine;

/**
 * Gossip from one node to another. Strings are borrowed from the replica or from the parsed JSON,
 * which must outlive the message. The machines are those that changed between two revisions of the
 * sender's announcements.
 */
typedef struct {
  const char *node;    /**< the sender's name */
  const char *version; /**< of its program; NULL: a version before 0.3, which does not send it */
  guint64 epoch;
  guint64 incarnation;
  gboolean store_is_available;
  gboolean replica_is_loaded;
  guint64 reachable_nodes; /**< bit for each node whose gossip it receives */
  gboolean needs_new_epoch;
  gboolean receives_no_heartbeats;
  guint64 unacknowledged_cancellations;

  gboolean has_revisions;        /**< the revisions and machines below are present */
  guint64 base_revision;         /**< machines changed after it are included; 0: all machines */
  guint64 revision;              /**< latest revision of the sender's announcements */
  guint64 acknowledged_revision; /**< latest of the receiver's that the sender has received */
  GArray *machines;              /**< of WsGossipMachine */
} WsGossipMessage;

/** Initializes an empty message, to be cleared with ws_gossip_message_clear(). */
void ws_gossip_message_init(WsGossipMessage *message);

/** Frees the contents of the message, not the message itself. */
void ws_gossip_message_clear(WsGossipMessage *message);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(WsGossipMessage, ws_gossip_message_clear)

/** Encodes the message as JSON, for a call or an answer. The caller owns the result. */
json_t *ws_gossip_message_encode(const WsGossipMessage *message);

/**
 * Parses a message into an initialized one. Returns FALSE if it is malformed. Malformed machines
 * are skipped.
 */
gboolean ws_gossip_message_parse(const json_t *body, WsGossipMessage *message);

/** Returns the sender's name, even if the rest is malformed; NULL if the name is missing. */
const char *ws_gossip_message_sender(const json_t *body);

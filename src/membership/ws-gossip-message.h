/**
 * The gossip message: what a node announces of itself and of its machines. Called by
 * ws-gossip.c, private to membership.
 */
#pragma once

#include "protocol/ws-json.h"

/** A machine, as its owner sees it. */
typedef struct {
  const char *name;
  gboolean is_up;
  const char *endpoint; /**< empty: not known */
  gboolean has_interruption_notice;
  GPtrArray *images; /**< of const char *: names of images that are there */
} WsGossipMachine;

/**
 * The strings of a message are borrowed: from the replica or from the parsed JSON, which have to
 * outlive it. Machines are those that changed between two revisions of the sender's
 * announcements.
 */
typedef struct {
  const char *node;    /**< the sender's name */
  const char *version; /**< of its program; NULL: before 0.3, which doesn't name it */
  guint64 epoch;
  guint64 incarnation;
  gboolean store_is_available;
  gboolean replica_is_loaded;
  guint64 reachable_nodes; /**< bit for each node that it hears */
  gboolean needs_new_epoch;
  gboolean receives_no_heartbeats;
  guint64 unacknowledged_cancellations;

  gboolean has_revisions;        /**< the rest is there */
  guint64 base_revision;         /**< what the machines are relative to; 0: they are all */
  guint64 revision;              /**< of the sender's announcements, now */
  guint64 acknowledged_revision; /**< of the receiver's announcements, what the sender has */
  GArray *machines;              /**< of WsGossipMachine */
} WsGossipMessage;

/** Makes an empty message, to be cleared with ws_gossip_message_clear(). */
void ws_gossip_message_init(WsGossipMessage *message);

/** Frees what the message holds, not the message itself. */
void ws_gossip_message_clear(WsGossipMessage *message);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(WsGossipMessage, ws_gossip_message_clear)

/** The message as JSON, for a call or an answer. The caller owns it. */
json_t *ws_gossip_message_encode(const WsGossipMessage *message);

/**
 * Reads a message into an initialized one. FALSE: malformed. Machines that are malformed are left
 * out.
 */
gboolean ws_gossip_message_parse(const json_t *body, WsGossipMessage *message);

/** The name of the sender, also of a message that is malformed otherwise; NULL: it has none. */
const char *ws_gossip_message_sender(const json_t *body);

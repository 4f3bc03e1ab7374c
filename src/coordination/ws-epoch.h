/**
 * An epoch: a set of members, their leader, and which member owns which machine.
 *
 * Its number is also the fencing token that workers see. A new epoch begins with a new leader or
 * other members.
 */
#pragma once

#include "protocol/ws-settings.h"

/** A run of a node that is a member. */
typedef struct {
  WsNodeIndex node;
  guint64 incarnation; /**< of the run */
} WsMember;

/** An epoch. Owns its array. */
typedef struct {
  guint64 number; /**< also the fencing token; 0: none yet */
  WsNodeIndex leader;
  GArray *members; /**< of WsMember, ordered by node */
} WsEpoch;

/** Makes @epoch the one before the first, without members. To be cleared with ws_epoch_clear. */
void ws_epoch_init(WsEpoch *epoch);

/** Frees what the epoch owns. */
void ws_epoch_clear(WsEpoch *epoch);

/** Reads the stored record into an initialised epoch. FALSE: it is damaged; @epoch is undefined. */
gboolean ws_epoch_parse(WsEpoch *epoch, const json_t *value, const WsSettings *settings);

/** The stored record, a new JSON object. */
json_t *ws_epoch_encode(const WsEpoch *epoch, const WsSettings *settings);

/** Whether this run of the node is a member. */
gboolean ws_epoch_has_member(const WsEpoch *epoch, WsNodeIndex node, guint64 incarnation);

/** Whether any run of the node is a member. */
gboolean ws_epoch_has_node(const WsEpoch *epoch, WsNodeIndex node);

/**
 * Whether the same run of the node is a member of both epochs, and no epoch lies between them: what
 * it was entitled to under the first one, nobody else was entitled to until the second one began.
 */
gboolean ws_epoch_member_continues(const WsEpoch *last, const WsEpoch *next, WsNodeIndex node);

/** Whether the epoch has exactly these members, an array of WsMember. */
gboolean ws_epoch_has_same_members(const WsEpoch *epoch, const GArray *members);

/** The machine's owner, by rendezvous hashing over the members; WS_NO_NODE: there are none. */
WsNodeIndex ws_epoch_owner(const WsEpoch *epoch, const char *machine, const WsSettings *settings);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(WsEpoch, ws_epoch_clear)

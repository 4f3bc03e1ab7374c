/**
 * An epoch: a set of members, their leader, and the assignment of machines to owners.
 *
 * An epoch has a range of fencing tokens, above those of all earlier epochs. Its number is the last
 * one. Each machine starts with the first one, and its owner may raise its token within the range.
 * If a member does not know such ranges, the epoch has one token, its number.
 *
 * The leader begins a new epoch when the leader or the members change, or to raise the fencing
 * tokens of all machines.
 */
#pragma once

#include "protocol/ws-settings.h"

/** A member of an epoch: one run of a node. */
typedef struct {
  WsNodeIndex node;
  guint64 incarnation; /**< identifies the run of the node */
  /** This run knows epochs with several fencing tokens. From its member record; not in epochs. */
  gboolean supports_token_ranges;
} WsMember;

/** An epoch. Owns the array of members. */
typedef struct {
  guint64 number;      /**< also the last fencing token; 0: before the first epoch */
  guint64 first_token; /**< the first fencing token: above all tokens of earlier epochs */
  WsNodeIndex leader;
  GArray *members; /**< of WsMember, ordered by node */
} WsEpoch;

/** The number of fencing tokens of an epoch whose members all know ranges. */
#define WS_EPOCH_TOKENS G_GUINT64_CONSTANT(1000000)

/** Initializes @epoch with number 0, no leader and no members. Clear with ws_epoch_clear(). */
void ws_epoch_init(WsEpoch *epoch);

/** Frees the contents of the epoch, not the epoch itself. */
void ws_epoch_clear(WsEpoch *epoch);

/**
 * Parses the stored record into an initialized epoch. Returns FALSE if the record is malformed; the
 * contents of @epoch are then undefined, and must still be cleared.
 */
gboolean ws_epoch_parse(WsEpoch *epoch, const json_t *value, const WsSettings *settings);

/** Encodes the epoch as the stored record. The caller owns the result. */
json_t *ws_epoch_encode(const WsEpoch *epoch, const WsSettings *settings);

/**
 * Sets the number and the first fencing token of the epoch @next, whose leader and members are set,
 * so that it follows the epoch with the number @previous.
 */
void ws_epoch_number_after(WsEpoch *next, guint64 previous);

/** Whether @fencing_token is a token of this epoch. */
gboolean ws_epoch_has_token(const WsEpoch *epoch, guint64 fencing_token);

/** Whether this run of the node is a member. */
gboolean ws_epoch_has_member(const WsEpoch *epoch, WsNodeIndex node, guint64 incarnation);

/** Whether any run of the node is a member. */
gboolean ws_epoch_has_node(const WsEpoch *epoch, WsNodeIndex node);

/**
 * Whether the same run of the node is a member of both epochs and the second directly follows the
 * first. If so, no other node had the rights that this node held in the first epoch until the
 * second one began.
 */
gboolean ws_epoch_member_continues(const WsEpoch *last, const WsEpoch *next, WsNodeIndex node);

/** Whether the epoch has exactly these members, an array of WsMember. */
gboolean ws_epoch_has_same_members(const WsEpoch *epoch, const GArray *members);

/** Returns the machine's owner, by rendezvous hashing; WS_NO_NODE if there are no members. */
WsNodeIndex ws_epoch_owner(const WsEpoch *epoch, const char *machine, const WsSettings *settings);

G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(WsEpoch, ws_epoch_clear)

/* Who is in, who leads, and which machine is whose. */
#pragma once

#include "protocol/ws-settings.h"

typedef struct {
  WsNodeIndex node;
  guint64 incarnation;
} WsMember;

typedef struct {
  guint64 number; /* also the fencing token; 0: none yet */
  WsNodeIndex leader;
  GArray *members; /* of WsMember, ordered by node */
} WsEpoch;

void ws_epoch_init(WsEpoch *epoch);
void ws_epoch_clear(WsEpoch *epoch);
gboolean ws_epoch_parse(WsEpoch *epoch, const json_t *value, const WsSettings *settings);
json_t *ws_epoch_encode(const WsEpoch *epoch, const WsSettings *settings);
gboolean ws_epoch_has(const WsEpoch *epoch, WsNodeIndex node, guint64 incarnation);
gboolean ws_epoch_has_node(const WsEpoch *epoch, WsNodeIndex node);
/**
 * Whether the same run of the node is a member of both epochs, and no epoch lies between them: what
 * it was entitled to under the first one, nobody else was entitled to until the second one began.
 */
gboolean ws_epoch_continues(const WsEpoch *last, const WsEpoch *next, WsNodeIndex node);
gboolean ws_epoch_same_members(const WsEpoch *epoch, const GArray *members);
/* Rendezvous hash over the members; WS_NONE without members. */
guint ws_epoch_owner(const WsEpoch *epoch, const char *machine, const WsSettings *settings);

/**
 * Records that a node holds under its lease: its membership and, on the leader, its leadership.
 *
 * Encoders return a new JSON object. Used by membership and the replica.
 */
#pragma once

#include "coordination/ws-epoch.h"
#include "protocol/ws-json.h"

/** Encodes a member's record. @incarnation: incarnation of this run of the node */
json_t *ws_member_encode(guint64 incarnation);

/**
 * Parses a member's record into the incarnation of @member and what this run of the node supports.
 * Returns FALSE if it is damaged.
 */
gboolean ws_member_parse(const json_t *value, WsMember *member);

/** Encodes the leader's record. @node: name of the leader */
json_t *ws_leader_encode(guint64 incarnation, const char *node);

/**
 * Parses the leader's record. Outputs whose fields are absent or damaged keep their values.
 *
 * @value: may be NULL
 * @node: set to a string that is borrowed from the value
 */
void ws_leader_parse(const json_t *value, guint64 *incarnation, const char **node);

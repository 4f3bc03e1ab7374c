/**
 * The records that a node keeps under its lease: that it is a member, and that it leads.
 *
 * Encoders return a new JSON object. Called by membership and by the replica.
 */
#pragma once

#include "protocol/ws-json.h"

/** A member's record. @incarnation: of this run of the node */
json_t *ws_member_encode(guint64 incarnation);

/** Reads a member's record. FALSE: it is damaged. */
gboolean ws_member_parse(const json_t *value, guint64 *incarnation);

/** The leader's record. @node: its name */
json_t *ws_leader_encode(guint64 incarnation, const char *node);

/**
 * Reads the leader's record. What it doesn't say is left as it is.
 *
 * @value: may be NULL
 * @node: set to a string that is borrowed from the value
 */
void ws_leader_parse(const json_t *value, guint64 *incarnation, const char **node);

/**
 * The records that a node keeps under its lease: that it is a member, and that it leads.
 */
#pragma once

#include "protocol/ws-json.h"

/** A member's record. @incarnation: of this run of the node. */
json_t *ws_member_encode(guint64 incarnation);

/** FALSE: the record is damaged. */
gboolean ws_member_parse(const json_t *value, guint64 *incarnation);

/** The leader's record. @node: its name. */
json_t *ws_leader_encode(guint64 incarnation, const char *node);

/**
 * Reads the leader's record. @value may be NULL. What it doesn't say is left as it is. @node is
 * borrowed from @value.
 */
void ws_leader_parse(const json_t *value, guint64 *incarnation, const char **node);

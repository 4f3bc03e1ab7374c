/**
 * The records by which a node claims membership and leadership, both bound to its lease.
 *
 * They are read in ws-records.c.
 */
#pragma once

#include <glib.h>
#include <jansson.h>

/** The value of a node's member key. @incarnation: of the node's process */
json_t *ws_member_encode(guint64 incarnation);

/** The value of the leader key. @node: the leader's name; @incarnation: of its process */
json_t *ws_leader_encode(const char *node, guint64 incarnation);

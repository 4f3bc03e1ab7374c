/**
 * Stored records of the resources that each team's assigned tasks use.
 *
 * Teams share a record: the cost of a write to the store does not depend on its size, and nearly
 * every transaction affects several teams. If one record would come near the store's value size
 * limit, the teams are divided into groups by a hash of their names, with one record per group.
 */
#pragma once

#include "storage/ws-replica.h"

/** Returns the number of groups. Groups are numbered from 0. */
guint ws_team_use_group_count(const WsSettings *settings);

/** Returns the group of the team. */
guint ws_team_use_group(const WsSettings *settings, WsTeamIndex team);

/** Returns the key of the group's record; the caller frees it. */
char *ws_team_use_key(guint group);

/** Encodes the group's record as a new JSON object. @use: resources used, by team */
json_t *ws_team_use_encode(const WsSettings *settings, guint group, const WsResources *use);

/**
 * Applies the record of a group to the replica.
 *
 * A change of the teams in the settings can move a team to another group, so several records may
 * contain it. The record of its current group takes precedence; other records are used only until
 * that one has been read.
 */
void ws_team_use_apply(WsReplica *replica, const char *group_name, const json_t *value);

/** Applies the record of a single team, in the format of versions before 0.2. */
void ws_team_use_apply_legacy(WsReplica *replica, const char *team_name, const json_t *value);

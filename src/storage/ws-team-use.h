/**
 * Stored records of what each team's assigned tasks use.
 *
 * All teams share one record, since a change of the store costs the same whatever it holds
 * and nearly every transaction touches several teams. Only where the record would come near the
 * largest value that the store takes are the teams spread over several, by their names.
 */
#pragma once

#include "storage/ws-replica.h"

/** How many records there are, numbered from 0. */
guint ws_team_use_group_count(const WsSettings *settings);

/** The record that holds the team. */
guint ws_team_use_group(const WsSettings *settings, WsTeamIndex team);

/** The record's key; the caller frees it. */
char *ws_team_use_key(guint group);

/** The record's value, a new JSON object. @use: by team */
json_t *ws_team_use_encode(const WsSettings *settings, guint group, const WsResources *use);

/**
 * Takes a record into the replica.
 *
 * A team counts by the record that it belongs to; another one that names it, from before the
 * settings' teams changed, counts only as long as there is no such record.
 */
void ws_team_use_apply(WsReplica *replica, const char *group_name, const json_t *value);

/** Takes a record of one team, as versions before 0.2 wrote them. */
void ws_team_use_apply_legacy(WsReplica *replica, const char *team_name, const json_t *value);

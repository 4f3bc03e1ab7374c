/* Records of teams' use: which record a team belongs to, encoding and parsing. */
#include "storage/ws-team-use.h"

#include <string.h>

/* The size of a team's part of a record without its name: two amounts of up to 19 digits, and
   punctuation. */
#define BYTES_PER_TEAM 48
/* How full a record may be on average, as names spread unevenly. */
#define FILL_RATIO 0.5
#define BYTES_PER_KB 1024.0

/* Stored field names; amounts are in thousandths. */
#define FIELD_CPUS "c"
#define FIELD_GPUS "g"

guint
ws_team_use_group_count(const WsSettings *settings)
{
  double bytes = 0.0;
  for (WsTeamIndex t = 0; t < settings->teams->len; t++) {
    const WsTeamSettings *team = g_ptr_array_index(settings->teams, t);
    bytes += (double)strlen(team->name) + BYTES_PER_TEAM;
  }
  return 1 + (guint)(bytes / (FILL_RATIO * settings->kv_current_value_kb * BYTES_PER_KB));
}

guint
ws_team_use_group(const WsSettings *settings, WsTeamIndex team)
{
  const WsTeamSettings *named = g_ptr_array_index(settings->teams, team);
  return g_str_hash(named->name) % ws_team_use_group_count(settings);
}

char *
ws_team_use_key(guint group)
{
  return g_strdup_printf(WS_KEYS_TEAM_USE "%u", group);
}

static json_t *
encode_amount(const WsResources *amount)
{
  return json_pack("{s:I, s:I}", FIELD_CPUS, (json_int_t)amount->cpus, FIELD_GPUS,
                   (json_int_t)amount->gpus);
}

json_t *
ws_team_use_encode(const WsSettings *settings, guint group, const WsResources *use)
{
  json_t *value = json_object();
  for (WsTeamIndex t = 0; t < settings->teams->len; t++) {
    const WsTeamSettings *team = g_ptr_array_index(settings->teams, t);
    if (ws_team_use_group(settings, t) == group)
      json_object_set_new(value, team->name, encode_amount(&use[t]));
  }
  return value;
}

static void
apply_amount(WsReplica *replica, WsTeamIndex team, const json_t *amount, gboolean is_own_record)
{
  if (team == WS_NO_TEAM || !json_is_object(amount)
      || (!is_own_record && replica->team_is_recorded[team]))
    return;
  replica->team_is_recorded[team] = is_own_record;
  replica->team_use[team].cpus = json_integer_value(json_object_get(amount, FIELD_CPUS));
  replica->team_use[team].gpus = json_integer_value(json_object_get(amount, FIELD_GPUS));
}

void
ws_team_use_apply(WsReplica *replica, const char *group_name, const json_t *value)
{
  guint64 group = g_ascii_strtoull(group_name, NULL, 10);
  const char *name;
  json_t *amount;
  json_object_foreach((json_t *)value, name, amount)
  {
    WsTeamIndex team = ws_replica_find_team(replica, name);
    gboolean is_own = team != WS_NO_TEAM && ws_team_use_group(replica->settings, team) == group;
    apply_amount(replica, team, amount, is_own);
  }
}

void
ws_team_use_apply_legacy(WsReplica *replica, const char *team_name, const json_t *value)
{
  apply_amount(replica, ws_replica_find_team(replica, team_name), value, FALSE);
}

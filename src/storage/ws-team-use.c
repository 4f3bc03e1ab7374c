/* Records of the resources that teams use: groups of teams, encoding and parsing. */
#include "storage/ws-team-use.h"

#include <string.h>

/* Size of a team's entry in a record without its name: two amounts of up to 19 digits, and
   punctuation. */
#define TEAM_ENTRY_BYTES 48
/* Average fill of a record relative to the store's limit. It leaves space since the hash of the
   names distributes teams unevenly. */
#define AVERAGE_FILL_RATIO 0.5
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
    bytes += (double)strlen(team->name) + TEAM_ENTRY_BYTES;
  }
  return 1 + (guint)(bytes / (AVERAGE_FILL_RATIO * settings->kv_current_value_kb * BYTES_PER_KB));
}

guint
ws_team_use_group(const WsSettings *settings, WsTeamIndex team)
{
  const WsTeamSettings *team_settings = g_ptr_array_index(settings->teams, team);
  return g_str_hash(team_settings->name) % ws_team_use_group_count(settings);
}

char *
ws_team_use_key(guint group)
{
  return g_strdup_printf(WS_KEY_PREFIX_TEAM_USE "%u", group);
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
apply_amount(WsReplica *replica, WsTeamIndex team, const json_t *amount, gboolean is_from_own_group)
{
  if (team == WS_NO_TEAM || !json_is_object(amount)
      || (!is_from_own_group && replica->team_is_recorded[team]))
    return;
  guint64 cpus, gpus;
  if (!ws_json_uint64(amount, FIELD_CPUS, &cpus) || !ws_json_uint64(amount, FIELD_GPUS, &gpus)) {
    g_warning("record of the use of team %u is damaged", team);
    return;
  }
  replica->team_is_recorded[team] = is_from_own_group;
  replica->team_use[team].cpus = (gint64)cpus;
  replica->team_use[team].gpus = (gint64)gpus;
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
    gboolean is_from_own_group
        = team != WS_NO_TEAM && ws_team_use_group(replica->settings, team) == group;
    apply_amount(replica, team, amount, is_from_own_group);
  }
}

void
ws_team_use_apply_legacy(WsReplica *replica, const char *team_name, const json_t *value)
{
  apply_amount(replica, ws_replica_find_team(replica, team_name), value, FALSE);
}

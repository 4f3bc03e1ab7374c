#include "coordination/ws-epoch.h"

void
ws_epoch_init(WsEpoch *epoch)
{
  *epoch = (WsEpoch){ .leader = WS_NO_NODE };
  epoch->members = g_array_new(FALSE, FALSE, sizeof(WsMember));
}

void
ws_epoch_clear(WsEpoch *epoch)
{
  g_array_unref(epoch->members);
}

static gboolean
parse_members(WsEpoch *epoch, const json_t *list, const WsSettings *settings)
{
  size_t i;
  const json_t *item;
  g_array_set_size(epoch->members, 0);
  json_array_foreach(list, i, item)
  {
    const char *name;
    WsMember member;
    if (!ws_json_string(item, "node", &name)
        || !ws_json_count(item, "incarnation", &member.incarnation))
      return FALSE;
    member.node = ws_settings_find_node(settings, name);
    if (member.node == WS_NO_NODE)
      return FALSE;
    g_array_append_val(epoch->members, member);
  }
  return TRUE;
}

gboolean
ws_epoch_parse(WsEpoch *epoch, const json_t *value, const WsSettings *settings)
{
  const char *leader;
  const json_t *members = json_object_get(value, "members");
  if (!ws_json_count(value, "number", &epoch->number) || !ws_json_string(value, "leader", &leader)
      || !json_is_array(members))
    return FALSE;
  epoch->leader = ws_settings_find_node(settings, leader);
  return parse_members(epoch, members, settings);
}

json_t *
ws_epoch_encode(const WsEpoch *epoch, const WsSettings *settings)
{
  json_t *members = json_array();
  for (guint i = 0; i < epoch->members->len; i++) {
    const WsMember *member = &g_array_index(epoch->members, WsMember, i);
    json_array_append_new(members, json_pack("{s:s, s:I}", "node",
                                             ws_settings_node(settings, member->node)->name,
                                             "incarnation", (json_int_t)member->incarnation));
  }
  return json_pack("{s:I, s:s, s:o}", "number", (json_int_t)epoch->number, "leader",
                   ws_settings_node(settings, epoch->leader)->name, "members", members);
}

static const WsMember *
find_member(const WsEpoch *epoch, WsNodeIndex node)
{
  for (guint i = 0; i < epoch->members->len; i++) {
    const WsMember *member = &g_array_index(epoch->members, WsMember, i);
    if (member->node == node)
      return member;
  }
  return NULL;
}

gboolean
ws_epoch_has(const WsEpoch *epoch, WsNodeIndex node, guint64 incarnation)
{
  const WsMember *member = find_member(epoch, node);
  return member != NULL && member->incarnation == incarnation;
}

gboolean
ws_epoch_has_node(const WsEpoch *epoch, WsNodeIndex node)
{
  return find_member(epoch, node) != NULL;
}

gboolean
ws_epoch_continues(const WsEpoch *last, const WsEpoch *next, WsNodeIndex node)
{
  const WsMember *member = find_member(last, node);
  return member != NULL && next->number == last->number + 1
         && ws_epoch_has(next, node, member->incarnation);
}

gboolean
ws_epoch_same_members(const WsEpoch *epoch, const GArray *members)
{
  if (epoch->members->len != members->len)
    return FALSE;
  for (guint i = 0; i < members->len; i++) {
    const WsMember *member = &g_array_index(members, WsMember, i);
    if (!ws_epoch_has(epoch, member->node, member->incarnation))
      return FALSE;
  }
  return TRUE;
}

/* FNV-1a over both names, finished with a 64-bit mix: names that differ in the last digit only
   must still fall to different nodes. */
static guint64
weight(const char *machine, const char *node)
{
  guint64 hash = G_GUINT64_CONSTANT(14695981039346656037);
  const char *const parts[] = { machine, "|", node };
  for (guint i = 0; i < G_N_ELEMENTS(parts); i++)
    for (const char *at = parts[i]; *at != '\0'; at++)
      hash = (hash ^ (guint8)*at) * G_GUINT64_CONSTANT(1099511628211);
  hash = (hash ^ (hash >> 30)) * G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9);
  hash = (hash ^ (hash >> 27)) * G_GUINT64_CONSTANT(0x94d049bb133111eb);
  return hash ^ (hash >> 31);
}

guint
ws_epoch_owner(const WsEpoch *epoch, const char *machine, const WsSettings *settings)
{
  guint best = WS_NONE;
  guint64 most = 0;
  for (guint i = 0; i < epoch->members->len; i++) {
    WsNodeIndex node = g_array_index(epoch->members, WsMember, i).node;
    guint64 found = weight(machine, ws_settings_node(settings, node)->name);
    if (best == WS_NONE || found > most) {
      best = node;
      most = found;
    }
  }
  return best;
}

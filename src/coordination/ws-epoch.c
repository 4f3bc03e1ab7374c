/**
 * Encoding and parsing of epoch records, their members, and the assignment of machines to owners by
 * rendezvous hashing.
 */
#include "coordination/ws-epoch.h"

/* Stored field names. */
#define FIELD_NUMBER "number"
#define FIELD_FIRST_TOKEN "first_token" /* absent if it is the number */
#define FIELD_LEADER "leader"
#define FIELD_MEMBERS "members"
#define FIELD_NODE "node"
#define FIELD_INCARNATION "incarnation"

/* Constants of FNV-1a, 64 bits. */
#define FNV_OFFSET_BASIS G_GUINT64_CONSTANT(14695981039346656037)
#define FNV_PRIME G_GUINT64_CONSTANT(1099511628211)
/* Constants of the finalizer of SplitMix64. */
#define MIX_SHIFT_1 30
#define MIX_FACTOR_1 G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9)
#define MIX_SHIFT_2 27
#define MIX_FACTOR_2 G_GUINT64_CONSTANT(0x94d049bb133111eb)
#define MIX_SHIFT_3 31

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
    WsMember member = { 0 };
    if (!ws_json_string(item, FIELD_NODE, &name)
        || !ws_json_uint64(item, FIELD_INCARNATION, &member.incarnation))
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
  const json_t *members = json_object_get(value, FIELD_MEMBERS);
  if (!ws_json_uint64(value, FIELD_NUMBER, &epoch->number)
      || !ws_json_string(value, FIELD_LEADER, &leader) || !json_is_array(members))
    return FALSE;
  epoch->first_token = epoch->number;
  if (json_object_get(value, FIELD_FIRST_TOKEN) != NULL
      && (!ws_json_uint64(value, FIELD_FIRST_TOKEN, &epoch->first_token) || epoch->first_token == 0
          || epoch->first_token > epoch->number))
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
    json_array_append_new(members, json_pack("{s:s, s:I}", FIELD_NODE,
                                             ws_settings_node(settings, member->node)->name,
                                             FIELD_INCARNATION, (json_int_t)member->incarnation));
  }
  json_t *value
      = json_pack("{s:I, s:s, s:o}", FIELD_NUMBER, (json_int_t)epoch->number, FIELD_LEADER,
                  ws_settings_node(settings, epoch->leader)->name, FIELD_MEMBERS, members);
  if (epoch->first_token != epoch->number)
    json_object_set_new(value, FIELD_FIRST_TOKEN, json_integer((json_int_t)epoch->first_token));
  return value;
}

static gboolean
all_members_support_token_ranges(const WsEpoch *epoch)
{
  for (guint i = 0; i < epoch->members->len; i++)
    if (!g_array_index(epoch->members, WsMember, i).supports_token_ranges)
      return FALSE;
  return TRUE;
}

void
ws_epoch_number_after(WsEpoch *next, guint64 previous)
{
  next->first_token = previous + 1;
  next->number = all_members_support_token_ranges(next) ? previous + WS_EPOCH_TOKENS : previous + 1;
}

gboolean
ws_epoch_has_token(const WsEpoch *epoch, guint64 fencing_token)
{
  return fencing_token >= epoch->first_token && fencing_token <= epoch->number;
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
ws_epoch_has_member(const WsEpoch *epoch, WsNodeIndex node, guint64 incarnation)
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
ws_epoch_member_continues(const WsEpoch *last, const WsEpoch *next, WsNodeIndex node)
{
  const WsMember *member = find_member(last, node);
  return member != NULL && next->first_token == last->number + 1
         && ws_epoch_has_member(next, node, member->incarnation);
}

gboolean
ws_epoch_has_same_members(const WsEpoch *epoch, const GArray *members)
{
  if (epoch->members->len != members->len)
    return FALSE;
  for (guint i = 0; i < members->len; i++) {
    const WsMember *member = &g_array_index(members, WsMember, i);
    if (!ws_epoch_has_member(epoch, member->node, member->incarnation))
      return FALSE;
  }
  return TRUE;
}

/* FNV-1a over both names, finalized with a 64-bit mix, so that machines whose names differ only in
   the last digit are still spread over all nodes. */
static guint64
rendezvous_weight(const char *machine, const char *node)
{
  guint64 hash = FNV_OFFSET_BASIS;
  const char *const parts[] = { machine, "|", node };
  for (guint i = 0; i < G_N_ELEMENTS(parts); i++)
    for (const char *byte = parts[i]; *byte != '\0'; byte++)
      hash = (hash ^ (guint8)*byte) * FNV_PRIME;
  hash = (hash ^ (hash >> MIX_SHIFT_1)) * MIX_FACTOR_1;
  hash = (hash ^ (hash >> MIX_SHIFT_2)) * MIX_FACTOR_2;
  return hash ^ (hash >> MIX_SHIFT_3);
}

WsNodeIndex
ws_epoch_owner(const WsEpoch *epoch, const char *machine, const WsSettings *settings)
{
  WsNodeIndex owner = WS_NO_NODE;
  guint64 max_weight = 0;
  for (guint i = 0; i < epoch->members->len; i++) {
    WsNodeIndex node = g_array_index(epoch->members, WsMember, i).node;
    guint64 weight = rendezvous_weight(machine, ws_settings_node(settings, node)->name);
    if (owner == WS_NO_NODE || weight > max_weight) {
      owner = node;
      max_weight = weight;
    }
  }
  return owner;
}

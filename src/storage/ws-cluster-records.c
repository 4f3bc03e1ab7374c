/* Encoding and parsing of the records of members and of the leader. */
#include "storage/ws-cluster-records.h"

/* Stored field names. */
#define FIELD_INCARNATION "incarnation"
#define FIELD_NODE "node"
/* TRUE if the node knows epochs with several fencing tokens; versions before 0.5 lack the field. */
#define FIELD_TOKEN_RANGES "token_ranges"

json_t *
ws_member_encode(guint64 incarnation)
{
  return json_pack("{s:I, s:b}", FIELD_INCARNATION, (json_int_t)incarnation, FIELD_TOKEN_RANGES, 1);
}

gboolean
ws_member_parse(const json_t *value, WsMember *member)
{
  member->supports_token_ranges = FALSE;
  return ws_json_bool_or_null(value, FIELD_TOKEN_RANGES, &member->supports_token_ranges)
         && ws_json_uint64(value, FIELD_INCARNATION, &member->incarnation);
}

json_t *
ws_leader_encode(guint64 incarnation, const char *node)
{
  return json_pack("{s:I, s:s}", FIELD_INCARNATION, (json_int_t)incarnation, FIELD_NODE, node);
}

void
ws_leader_parse(const json_t *value, guint64 *incarnation, const char **node)
{
  (void)ws_json_string(value, FIELD_NODE, node);
  (void)ws_json_uint64(value, FIELD_INCARNATION, incarnation);
}

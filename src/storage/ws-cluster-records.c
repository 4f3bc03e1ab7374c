/* The records of members and of the leader. */
#include "storage/ws-cluster-records.h"

/* Stored field names. */
#define FIELD_INCARNATION "incarnation"
#define FIELD_NODE "node"

json_t *
ws_member_encode(guint64 incarnation)
{
  return json_pack("{s:I}", FIELD_INCARNATION, (json_int_t)incarnation);
}

gboolean
ws_member_parse(const json_t *value, guint64 *incarnation)
{
  return ws_json_uint64(value, FIELD_INCARNATION, incarnation);
}

json_t *
ws_leader_encode(guint64 incarnation, const char *node)
{
  json_t *value = ws_member_encode(incarnation);
  json_object_set_new(value, FIELD_NODE, json_string(node));
  return value;
}

void
ws_leader_parse(const json_t *value, guint64 *incarnation, const char **node)
{
  (void)ws_json_string(value, FIELD_NODE, node);
  (void)ws_json_uint64(value, FIELD_INCARNATION, incarnation);
}

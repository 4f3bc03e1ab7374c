#include "storage/ws-cluster-records.h"

/* Stored field names. */
#define FIELD_INCARNATION "incarnation"
#define FIELD_NODE "node"

gboolean
ws_member_parse(const json_t *value, guint64 *incarnation)
{
  return ws_json_count(value, FIELD_INCARNATION, incarnation);
}

void
ws_leader_parse(const json_t *value, guint64 *incarnation, const char **node)
{
  (void)ws_json_string(value, FIELD_NODE, node);
  (void)ws_json_count(value, FIELD_INCARNATION, incarnation);
}

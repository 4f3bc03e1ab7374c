#include "storage/ws-member-record.h"

#define FIELD_INCARNATION "incarnation"
#define FIELD_NODE "node"

json_t *
ws_member_encode(guint64 incarnation)
{
  return json_pack("{s:I}", FIELD_INCARNATION, (json_int_t)incarnation);
}

json_t *
ws_leader_encode(const char *node, guint64 incarnation)
{
  return json_pack("{s:I, s:s}", FIELD_INCARNATION, (json_int_t)incarnation, FIELD_NODE, node);
}

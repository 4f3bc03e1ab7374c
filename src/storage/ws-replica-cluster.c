/* How the replica applies records of the cluster: epoch, leader, members and mailboxes. */
#include "storage/ws-replica-internal.h"

#include "storage/ws-cluster-records.h"

void
ws_replica_apply_epoch(WsReplica *replica, const json_t *value)
{
  WsEpoch previous = replica->epoch;
  WsEpoch next;
  ws_epoch_init(&next);
  if (value == NULL || !ws_epoch_parse(&next, value, replica->settings)) {
    g_warning("epoch record is missing or damaged");
    ws_epoch_clear(&next);
    return;
  }
  replica->epoch = next;
  for (WsMachineIndex i = 0; i < replica->machines->len; i++)
    ws_replica_update_owner(replica, ws_replica_machine(replica, i), &previous);
  ws_epoch_clear(&previous);
}

void
ws_replica_apply_leader(WsReplica *replica, const json_t *value)
{
  const char *node = NULL;
  replica->leader_incarnation = 0;
  ws_leader_parse(value, &replica->leader_incarnation, &node);
  replica->leader_node = ws_settings_find_node(replica->settings, node);
}

void
ws_replica_apply_member(WsReplica *replica, const char *name, const json_t *value)
{
  GArray *members = replica->members;
  WsMember member = { .node = ws_settings_find_node(replica->settings, name) };
  guint position = 0;
  while (position < members->len && g_array_index(members, WsMember, position).node < member.node)
    position++;
  if (position < members->len && g_array_index(members, WsMember, position).node == member.node)
    g_array_remove_index(members, position);
  if (member.node != WS_NO_NODE && value != NULL && ws_member_parse(value, &member))
    g_array_insert_val(members, position, member);
}

/* The queue is read by membership/ws-peer-requests.c, which handles requests between nodes. */
void
ws_replica_apply_mailbox(WsReplica *replica, const char *node, const json_t *value)
{
  (void)node;
  if (value != NULL)
    g_queue_push_tail(&replica->mailbox, json_incref((json_t *)value));
}

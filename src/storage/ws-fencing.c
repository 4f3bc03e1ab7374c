/* Fencing tokens of machines within an epoch. */
#include "storage/ws-fencing.h"

guint64
ws_fencing_token(const WsReplica *replica, const WsMachine *machine)
{
  const WsEpoch *epoch = &replica->epoch;
  guint64 issued = MAX(machine->worker.issued_token, machine->worker.fencing_token);
  return CLAMP(issued, epoch->first_token, epoch->number);
}

gboolean
ws_fencing_ensure_above_launches(const WsReplica *replica, WsMachine *machine)
{
  guint64 token = ws_fencing_token(replica, machine);
  if (token > machine->worker.direct_launch_token)
    return TRUE;
  if (token >= replica->epoch.number)
    return FALSE;
  machine->worker.issued_token = token + 1;
  return TRUE;
}

void
ws_fencing_record_direct_launch(const WsReplica *replica, WsMachine *machine)
{
  machine->worker.issued_token = ws_fencing_token(replica, machine);
  machine->worker.direct_launch_token = machine->worker.issued_token;
  machine->worker.direct_launch_incarnation = machine->worker.incarnation;
}

gboolean
ws_fencing_covers_launches(const WsMachine *machine, guint64 fencing_token, guint64 incarnation)
{
  return fencing_token > machine->worker.direct_launch_token
         || incarnation > machine->worker.direct_launch_incarnation;
}

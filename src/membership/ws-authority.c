/* Whether this node may act. */
#include "membership/ws-membership.h"

gboolean
ws_is_active_member(const WsCore *core)
{
  return ws_store_is_loaded(core) && !core->is_stalled
         && ws_epoch_has(&core->replica->epoch, core->settings->self, core->incarnation);
}

gboolean
ws_is_leader(const WsCore *core)
{
  return ws_is_active_member(core) && core->replica->epoch.leader == core->settings->self;
}

gboolean
ws_has_caught_up_with_epoch(const WsCore *core)
{
  return core->replica->revision >= ws_replica_version(core->replica, WS_KEY_EPOCH);
}

gboolean
ws_owns_machine(const WsCore *core, const WsMachine *machine)
{
  return ws_is_active_member(core) && machine->owner == core->settings->self;
}

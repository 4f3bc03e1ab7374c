/* Which machine types of the cloud's catalog a task fits. */
#include "scheduling/ws-type-fit.h"

#include "storage/ws-constraints.h"

gboolean
ws_type_fits(const WsType *type, const WsJobSpec *spec)
{
  return ws_constraints_allow_type(spec, type) && ws_resources_fit(&spec->need, &type->capacity);
}

gint64
ws_type_smallest_fitting_cpus(const WsReplica *replica, const WsJobSpec *spec)
{
  gint64 smallest = G_MAXINT64;
  for (WsTypeIndex t = 0; t < replica->catalog->len; t++) {
    const WsType *type = ws_replica_type(replica, t);
    if (ws_type_fits(type, spec))
      smallest = MIN(smallest, type->capacity.cpus);
  }
  return smallest;
}

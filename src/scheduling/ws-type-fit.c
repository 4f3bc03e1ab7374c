/* The smallest machine type of the cloud's catalog that a task fits. */
#include "scheduling/ws-type-fit.h"

#include "storage/ws-constraints.h"

gint64
ws_type_smallest_fitting_cpus(const WsReplica *replica, const WsJobSpec *spec)
{
  gint64 smallest = G_MAXINT64;
  for (WsTypeIndex t = 0; t < replica->catalog->len; t++) {
    const WsType *type = ws_replica_type(replica, t);
    if (ws_constraints_task_fits_type(spec, type))
      smallest = MIN(smallest, type->capacity.cpus);
  }
  return smallest;
}

/* The constraints of a job's specification on types, machines and zones. */
#include "storage/ws-constraints.h"

gboolean
ws_constraints_allow_type(const WsJobSpec *spec, const WsType *type)
{
  return spec->types == NULL || g_strv_contains((const gchar *const *)spec->types, type->name);
}

gboolean
ws_constraints_task_fits_type(const WsJobSpec *spec, const WsType *type)
{
  return ws_constraints_allow_type(spec, type) && ws_resources_fit(&spec->need, &type->capacity);
}

gboolean
ws_constraints_allow_machine(const WsReplica *replica, const WsJobSpec *spec, WsZoneIndex zone,
                             const WsMachine *machine)
{
  return machine->type != WS_NO_TYPE && machine->zone != WS_NO_ZONE
         && ws_constraints_allow_type(spec, ws_replica_type(replica, machine->type))
         && (spec->zone == NULL || zone == machine->zone)
         && (spec->allows_spot || !machine->is_spot);
}

gboolean
ws_constraints_allow_zone(const WsJob *job, const guint *counts, guint zones, WsZoneIndex zone)
{
  if (job->spec->needs_one_zone)
    for (WsZoneIndex z = 0; z < zones; z++)
      if (z != zone && counts[z] > 0)
        return FALSE;
  guint max_per_zone = (job->tasks + 1) / 2;
  return !job->spec->must_spread || counts[zone] + 1 <= max_per_zone;
}

/* Chooses the type and zone of the machines that are rented for a demand. */
#include "scheduling/ws-demand-private.h"

#include "fleet/ws-fleet.h"
#include "membership/ws-membership.h"
#include "storage/ws-constraints.h"

gboolean
ws_demand_allows_zone(const WsDemand *demand, const WsJob *job, WsZoneIndex zone)
{
  return (job->spec->zone == NULL || job->zone == zone)
         && (demand->only_zone == WS_NO_ZONE || demand->only_zone == zone);
}

/* The zone with the fewest machines, of those where one more of the type can be requested; or
   WS_NO_ZONE. */
static WsZoneIndex
choose_zone(const WsDemand *demand, const WsJob *job, WsTypeIndex type, gboolean is_spot)
{
  const WsCore *core = demand->core;
  WsZoneIndex best = WS_NO_ZONE;
  for (char **name = ws_replica_type(core->replica, type)->zones; *name != NULL; name++) {
    WsZoneIndex zone = ws_replica_find_zone(core->replica, *name);
    if (zone == WS_NO_ZONE || !ws_demand_allows_zone(demand, job, zone)
        || ws_zone_is_partitioned(core, zone)
        || ws_rentals_is_backing_off(core, type, zone, is_spot))
      continue;
    if (best == WS_NO_ZONE || demand->machines_by_zone[zone] < demand->machines_by_zone[best])
      best = zone;
  }
  return best;
}

/* The cheapest type that fits a task and can be requested, with its zone in @zone; or WS_NO_TYPE.
 */
static WsTypeIndex
choose_type(const WsDemand *demand, const WsJob *job, gboolean is_spot, WsZoneIndex *zone)
{
  const WsReplica *replica = demand->core->replica;
  WsTypeIndex best = WS_NO_TYPE;
  for (WsTypeIndex t = 0; t < replica->catalog->len; t++) {
    const WsType *type = ws_replica_type(replica, t);
    if (!ws_constraints_task_fits_type(job->spec, type))
      continue;
    WsZoneIndex type_zone = choose_zone(demand, job, t, is_spot);
    if (type_zone == WS_NO_ZONE
        || (best != WS_NO_TYPE && type->price >= ws_replica_type(replica, best)->price))
      continue;
    best = t;
    *zone = type_zone;
  }
  return best;
}

gboolean
ws_demand_add_new_machine(WsDemand *demand, const WsJob *job, gboolean is_spot,
                          const WsResources *need)
{
  WsZoneIndex zone = WS_NO_ZONE;
  WsTypeIndex type = choose_type(demand, job, is_spot, &zone);
  if (type == WS_NO_TYPE)
    return FALSE;
  WsVirtualMachine machine = { type, zone, is_spot, WS_VIRTUAL_NEW,
                               ws_replica_type(demand->core->replica, type)->capacity };
  ws_resources_add(&machine.free, need, -1);
  g_array_append_val(demand->machines, machine);
  demand->machines_by_zone[zone]++;
  return TRUE;
}

/* How many tasks of the job fit the machines in the zone that are booting, ordered or new. */
static guint
count_fitting(const WsDemand *demand, const WsJob *job, WsZoneIndex zone)
{
  guint count = 0;
  for (guint i = 0; i < demand->machines->len; i++) {
    const WsVirtualMachine *machine = ws_demand_machine_at(demand, i);
    const WsType *type = ws_replica_type(demand->core->replica, machine->type);
    if (machine->source == WS_VIRTUAL_RUNNING || machine->zone != zone
        || (machine->is_spot && !job->spec->allows_spot)
        || !ws_constraints_allow_type(job->spec, type))
      continue;
    for (WsResources free = machine->free; ws_resources_fit(&job->spec->need, &free); count++)
      ws_resources_add(&free, &job->spec->need, -1);
  }
  return count;
}

/* The first zone where enough machines for the tasks are booting or requested already, so that the
   same zone is chosen again while the gang's machines boot; or WS_NO_ZONE. */
static WsZoneIndex
find_zone_with_machines(const WsDemand *demand, const WsJob *job, guint tasks)
{
  for (WsZoneIndex zone = 0; zone < demand->core->settings->zones->len; zone++)
    if (ws_demand_allows_zone(demand, job, zone) && count_fitting(demand, job, zone) >= tasks)
      return zone;
  return WS_NO_ZONE;
}

WsZoneIndex
ws_demand_choose_gang_zone(const WsDemand *demand, const WsJob *job, guint tasks)
{
  const WsReplica *replica = demand->core->replica;
  WsZoneIndex zone = find_zone_with_machines(demand, job, tasks);
  for (WsTypeIndex t = 0; zone == WS_NO_ZONE && t < replica->catalog->len; t++) {
    if (!ws_constraints_task_fits_type(job->spec, ws_replica_type(replica, t)))
      continue;
    zone = choose_zone(demand, job, t, FALSE);
    if (zone == WS_NO_ZONE && job->spec->allows_spot)
      zone = choose_zone(demand, job, t, TRUE);
  }
  return zone;
}

/**
 * What the rules allow a job: types, zones and kinds of machines.
 *
 * Pure functions of the records, which placement and the transactions that write it down share.
 */
#pragma once

#include "storage/ws-replica.h"

/** Whether the type, zone and kind of the machine are allowed. */
gboolean ws_constraints_allow_machine(const WsReplica *replica, const WsJobSpec *spec,
                                      WsZoneIndex zone, const WsMachine *machine);

/** Whether the job may run on machines of the type. */
gboolean ws_constraints_allow_type(const WsJobSpec *spec, const WsType *type);

/** Whether the job may run on machines of the type, and one task fits an empty one. */
gboolean ws_constraints_task_fits_type(const WsJobSpec *spec, const WsType *type);

/**
 * Whether the rules on zones let one more task of the job be in the zone.
 *
 * @counts: the job's assigned tasks, by zone
 * @zones: how many zones there are
 */
gboolean ws_constraints_allow_zone(const WsJob *job, const guint *counts, guint zones,
                                   WsZoneIndex zone);

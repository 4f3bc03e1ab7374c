/**
 * A job's placement constraints: machine types, zones, and spot or on-demand machines.
 *
 * Pure functions of the records. Placement and the transactions that record it share them, so that
 * both apply the same constraints.
 */
#pragma once

#include "storage/ws-replica.h"

/**
 * Returns whether the job may run on the machine, by its type, its zone and whether it is a spot
 * machine.
 *
 * @zone: index of the zone that the job requires, if it requires one
 */
gboolean ws_constraints_allow_machine(const WsReplica *replica, const WsJobSpec *spec,
                                      WsZoneIndex zone, const WsMachine *machine);

/** Returns whether the job may run on machines of the type. */
gboolean ws_constraints_allow_type(const WsJobSpec *spec, const WsType *type);

/** Returns whether the job may run on machines of the type, and a task fits an empty machine. */
gboolean ws_constraints_task_fits_type(const WsJobSpec *spec, const WsType *type);

/**
 * Returns whether the job's zone constraints (one zone only, or spread) allow one more of its tasks
 * in the zone.
 *
 * @counts: number of the job's assigned tasks, by zone
 * @zones: number of zones
 */
gboolean ws_constraints_allow_zone(const WsJob *job, const guint *counts, guint zones,
                                   WsZoneIndex zone);

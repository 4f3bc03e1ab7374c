/**
 * The virtual machines of a demand, and the functions shared by the ws-demand*.c files. Private to
 * these files.
 */
#pragma once

#include "scheduling/ws-demand.h"

/** Where the capacity of a virtual machine comes from. */
typedef enum {
  WS_VIRTUAL_BOOTING,   /**< a machine that is booting */
  WS_VIRTUAL_REQUESTED, /**< a machine that is requested: a rental intent exists or is being made */
  WS_VIRTUAL_RUNNING,   /**< a running machine whose array tasks will end */
  WS_VIRTUAL_NEW        /**< a machine that this demand is to request */
} WsVirtualSource;

/** Future capacity on one machine: the machine isn't up yet, or the capacity is still in use. */
typedef struct {
  WsTypeIndex type;
  WsZoneIndex zone;
  gboolean is_spot;
  WsVirtualSource source;
  WsResources free; /**< the part of the capacity that the demand hasn't used yet */
} WsVirtualMachine;

/** The demand of one plan. */
struct _WsDemand {
  WsCore *core;
  GArray *machines;        /**< of WsVirtualMachine */
  guint *machines_by_zone; /**< number of existing and of new machines, by zone */
  WsZoneIndex only_zone;   /**< the zone required for the current job; WS_NO_ZONE: any */
};

/** Returns the i-th virtual machine, from 0 on. It is valid until the next one is added. */
static inline WsVirtualMachine *
ws_demand_machine_at(const WsDemand *demand, guint i)
{
  return &g_array_index(demand->machines, WsVirtualMachine, i);
}

/** Returns whether a machine for the job may be in the zone. */
gboolean ws_demand_allows_zone(const WsDemand *demand, const WsJob *job, WsZoneIndex zone);

/* ws-demand-sizing.c: how much of a virtual machine a task uses. */

/**
 * Returns the resources that the demand plans for one task of the job on a virtual machine. This is
 * less than the task needs if several tasks can run there one after another and finish in time.
 */
WsResources ws_demand_amortized_need(const WsDemand *demand, const WsJob *job);

/** Returns the number of slots to request for @tasks waiting tasks: more for critical jobs. */
guint ws_demand_count_slots_wanted(const WsDemand *demand, const WsJob *job, guint tasks);

/** Returns whether the job can wait for capacity that running tasks will free. */
gboolean ws_demand_can_wait_for_running_tasks(const WsDemand *demand, const WsJob *job);

/* ws-demand-rental-choice.c: the type and the zone of the machines to rent. */

/**
 * Adds a new machine for the job, of the cheapest type that can be requested, and subtracts @need
 * from its free capacity.
 *
 * Returns FALSE if no machine can be requested.
 */
gboolean ws_demand_add_new_machine(WsDemand *demand, const WsJob *job, gboolean is_spot,
                                   const WsResources *need);

/**
 * Returns a zone where machines for all tasks of a gang are booting or requested, otherwise one
 * where machines for them can be requested, or WS_NO_ZONE.
 */
WsZoneIndex ws_demand_choose_gang_zone(const WsDemand *demand, const WsJob *job, guint tasks);

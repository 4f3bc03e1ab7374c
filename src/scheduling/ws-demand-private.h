/**
 * The machines that a demand counts on. Private to the demand's own files.
 */
#pragma once

#include "scheduling/ws-demand.h"

/** Why a virtual machine will have capacity. */
typedef enum {
  WS_VIRTUAL_BOOTING,   /**< it boots */
  WS_VIRTUAL_REQUESTED, /**< it is on order: a rental was intended */
  WS_VIRTUAL_RUNNING,   /**< its array tasks will end some time soon */
  WS_VIRTUAL_NEW        /**< it is to be rented */
} WsVirtualSource;

/** Capacity that isn't there yet, on one machine. */
typedef struct {
  WsTypeIndex type;
  WsZoneIndex zone;
  gboolean is_spot;
  WsVirtualSource source;
  WsResources free; /**< what the demand hasn't used of it */
} WsVirtualMachine;

/** The demand of one plan. */
struct _WsDemand {
  WsCore *core;
  GArray *machines;        /**< of WsVirtualMachine */
  guint *machines_by_zone; /**< that there are or will be, by zone */
  WsZoneIndex only_zone;   /**< that the job at hand must be in; WS_NO_ZONE: any */
};

/** The virtual machine by its place from 0 on; valid until the next one is added. */
static inline WsVirtualMachine *
ws_demand_machine_at(const WsDemand *demand, guint i)
{
  return &g_array_index(demand->machines, WsVirtualMachine, i);
}

/** Whether a machine for the job may be in the zone. */
gboolean ws_demand_allows_zone(const WsDemand *demand, const WsJob *job, WsZoneIndex zone);

/* ws-demand-sizing.c: how much a task takes of a virtual machine. */

/**
 * What the task takes of a slot that is there for a while: less than it needs, if other tasks can
 * follow it there and still be on time.
 */
WsResources ws_demand_amortized_need(const WsDemand *demand, const WsJob *job);

/** For how many tasks slots are wanted, if so many wait: more for critical jobs. */
guint ws_demand_count_slots_wanted(const WsDemand *demand, const WsJob *job, guint tasks);

/** Whether the job may count on slots that running tasks will leave. */
gboolean ws_demand_can_wait_for_running_tasks(const WsDemand *demand, const WsJob *job);

/* ws-demand-choice.c: of which type and in which zone machines are rented. */

/**
 * Adds one machine for the job, of the cheapest type that can be had, with @need of it in use.
 *
 * Returns FALSE if none can be had.
 */
gboolean ws_demand_add_new_machine(WsDemand *demand, const WsJob *job, gboolean is_spot,
                                   const WsResources *need);

/** The zone where all tasks of a gang can have machines, or WS_NO_ZONE. */
WsZoneIndex ws_demand_choose_gang_zone(const WsDemand *demand, const WsJob *job, guint tasks);

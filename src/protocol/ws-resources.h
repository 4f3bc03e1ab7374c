/**
 * Amounts of CPUs, GPUs and memory.
 *
 * They are counted in thousandths of the unit, so that sums are exact.
 */
#pragma once

#include "protocol/ws-json.h"

/** An amount of each resource. */
typedef struct {
  gint64 cpus;   /**< thousandths of a CPU */
  gint64 gpus;   /**< thousandths of a GPU */
  gint64 memory; /**< thousandths of a GB */
} WsResources;

/** Whether the need fits into what is available, in each dimension. */
gboolean ws_resources_fit(const WsResources *need, const WsResources *available);

/** Adds a part to a sum, so many times. @times: may be negative */
void ws_resources_add(WsResources *sum, const WsResources *part, gint64 times);

/** Reads an amount that is needed, rounded up. FALSE: the member is missing or invalid. */
gboolean ws_amount_parse_need(const json_t *object, const char *name, gint64 *thousandths);

/** Reads an amount that there is, rounded down. FALSE: the member is missing or invalid. */
gboolean ws_amount_parse_capacity(const json_t *object, const char *name, gint64 *thousandths);

/** An amount as a number of units, a new JSON value. */
json_t *ws_amount_encode(gint64 thousandths);

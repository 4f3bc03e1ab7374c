/**
 * Amounts of CPUs, GPUs and memory.
 *
 * Amounts are integers, in thousandths of the unit, so that sums are exact.
 */
#pragma once

#include "protocol/ws-json.h"

/** An amount of each resource. */
typedef struct {
  gint64 cpus;   /**< thousandths of a CPU */
  gint64 gpus;   /**< thousandths of a GPU */
  gint64 memory; /**< thousandths of a GB */
} WsResources;

/** Returns whether the need is at most the available amount of every resource. */
gboolean ws_resources_fit(const WsResources *need, const WsResources *available);

/** Adds @part to @sum @times times. @times: may be negative */
void ws_resources_add(WsResources *sum, const WsResources *part, gint64 times);

/** Reads a needed amount, rounded up. Returns FALSE if the member is missing or invalid. */
gboolean ws_amount_parse_need(const json_t *object, const char *name, gint64 *thousandths);

/** Reads a capacity, rounded down. Returns FALSE if the member is missing or invalid. */
gboolean ws_amount_parse_capacity(const json_t *object, const char *name, gint64 *thousandths);

/** Encodes an amount as a new JSON number of units, which may have a fraction. */
json_t *ws_amount_encode(gint64 thousandths);

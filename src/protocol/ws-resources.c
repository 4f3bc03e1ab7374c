/* Amounts of CPUs, GPUs and memory. */
#include "protocol/ws-resources.h"

#include <math.h>

#define THOUSANDTHS_PER_UNIT 1000.0
/* Tolerates the rounding error of binary fractions: 0.1 + 0.2 is read as 0.3. */
#define ROUNDING_TOLERANCE_THOUSANDTHS 1e-6
/* Far above the size of any machine, and small enough that sums over 100,000 tasks fit into 64
   bits. */
#define MAX_AMOUNT_UNITS 1e9

gboolean
ws_resources_fit(const WsResources *need, const WsResources *available)
{
  return need->cpus <= available->cpus && need->gpus <= available->gpus
         && need->memory <= available->memory;
}

void
ws_resources_add(WsResources *sum, const WsResources *part, gint64 times)
{
  sum->cpus += part->cpus * times;
  sum->gpus += part->gpus * times;
  sum->memory += part->memory * times;
}

gboolean
ws_amount_parse_need(const json_t *object, const char *name, gint64 *thousandths)
{
  double number;
  if (!ws_json_number(object, name, &number) || !(number >= 0.0 && number <= MAX_AMOUNT_UNITS))
    return FALSE;
  *thousandths = (gint64)ceil(number * THOUSANDTHS_PER_UNIT - ROUNDING_TOLERANCE_THOUSANDTHS);
  return TRUE;
}

gboolean
ws_amount_parse_capacity(const json_t *object, const char *name, gint64 *thousandths)
{
  double number;
  if (!ws_json_number(object, name, &number) || !(number >= 0.0 && number < MAX_AMOUNT_UNITS))
    return FALSE;
  *thousandths = (gint64)floor(number * THOUSANDTHS_PER_UNIT + ROUNDING_TOLERANCE_THOUSANDTHS);
  return TRUE;
}

json_t *
ws_amount_encode(gint64 thousandths)
{
  return json_real((double)thousandths / THOUSANDTHS_PER_UNIT);
}

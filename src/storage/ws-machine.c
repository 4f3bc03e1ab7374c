/* Machines, rental intents and rental batches: what a machine shows, and freeing. */
#include "storage/ws-machine.h"

/* A machine is faulty once so many jobs have failed there since one last succeeded. */
#define FAULTY_FAILED_JOBS 2

gboolean
ws_machine_is_faulty(const WsMachine *machine)
{
  return machine->fleet.consecutive_failed_jobs >= FAULTY_FAILED_JOBS;
}

gboolean
ws_machine_has_image(const WsMachine *machine, WsImageIndex image)
{
  for (guint i = 0; i < machine->worker.images->len; i++)
    if (g_array_index(machine->worker.images, guint, i) == image)
      return TRUE;
  return FALSE;
}

void
ws_rental_intent_free(WsRentalIntent *intent)
{
  g_free(intent->request);
  g_free(intent->type);
  g_free(intent->zone);
  g_free(intent);
}

void
ws_rental_batch_free(WsRentalBatch *rental_batch)
{
  g_free(rental_batch->name);
  g_free(rental_batch->type);
  g_free(rental_batch->zone);
  g_array_unref(rental_batch->machines);
  g_free(rental_batch);
}

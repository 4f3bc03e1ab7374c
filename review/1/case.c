/**
 * A guest submits one huge array that is bound to one zone. Other teams then submit their usual
 * jobs, for which there is room.
 */
#include "../lib/world.h"

#include <stdlib.h>
#include <string.h>

static const Plan PLAN = {
  .nodes = 3,
  .zones = { "penfeld", "odet", "aulne" },
  .report_s = 2.5,
  .lease_s = 18.0,
  .cancel_s = 38.0,
  .rps = 250.0,
  .write_rps = 60.0,
  .value_kb = 32.0,
  .txn_ops = 16,
  .cloud_rps = 4.0,
  .list_lag_s = 8.0,
  .max_sockets = 1800,
  .memory_mb = 104.0,
  .cpu_share = 0.064,
  .restart_s = 6.0,
  .sku = { "ardoise", 24.0, 2.0, 144.0, 35.0, 2.0, { NULL } },
  .capacity = 8,
  .spot_capacity = 5,
  .teams
  = "[{\"name\":\"saisie-00\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":60.0,\"gpus_max\":180.0},"
    "{\"name\":\"cidrerie\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0}]",
};

/* "No job is left waiting for 90 s while a machine that fits has room and its team is under its
   limit." */
#define WAIT_LIMIT_MS 90000
#define BEGIN_MS 3000
#define GUEST_MS 14000
#define LATER_MS 18000
#define END_MS 114000

static gboolean has_trouble;
static Job *first, *guest, *service, *array;

static json_t *
service_body(const char *id)
{
  json_t *body = world_job(id, "saisie-00", "service", "critical", 3, 8.0, 1.0, 43.0);
  json_object_set_new(body, "trida", json_string("lecteur"));
  json_object_set_new(body, "scatter", json_true());
  return body;
}

static json_t *
guest_body(void)
{
  json_t *body
      = world_job("req-000900", "cidrerie", "sweep", "best_effort", 25000, 0.25, 0.0, 1.35);
  json_object_set_new(body, "trida", json_string("recensement"));
  json_object_set_new(body, "one_zone", json_true());
  json_object_set_new(body, "vypujcky", json_true());
  json_object_set_new(body, "odhad_s", json_real(4.0));
  return body;
}

static json_t *
array_body(void)
{
  json_t *body = world_job("req-000002", "saisie-00", "sweep", "best_effort", 12, 10.0, 1.0, 54.0);
  json_object_set_new(body, "trida", json_string("tri-nocturne"));
  json_object_set_new(body, "vypujcky", json_true());
  json_object_set_new(body, "odhad_s", json_real(8.0));
  return body;
}

static void
judge(World *world)
{
  Job *jobs[] = { service, array, guest };
  for (guint i = 0; i < G_N_ELEMENTS(jobs); i++) {
    const Job *job = jobs[i];
    if (job == NULL)
      continue;
    world_note(world, "%s: %u starts; waited for %.1f s beside a machine with room", job->id,
               job->starts, (double)job->room_longest_ms / 1000.0);
    if (job->room_longest_ms > WAIT_LIMIT_MS)
      world_violation(world, "waits-beside-room",
                      "%s was accepted and no task of it has started for %.1f s, while a machine "
                      "that fits had room",
                      job->id, (double)job->room_longest_ms / 1000.0);
  }
  world_end(world, world->violations->len > 0 ? 1 : 0);
}

static void
step(World *world)
{
  gint64 now_ms = world_ms(world);
  if (first == NULL && now_ms >= BEGIN_MS && world_all_ready(world))
    first = world_submit(world, service_body("req-000001"), -1.0);
  if (now_ms >= GUEST_MS && (first == NULL || first->starts < 3)) {
    world_note(world, "the deployment doesn't run its first service");
    world_end(world, 2);
    return;
  }
  if (has_trouble && guest == NULL && now_ms >= GUEST_MS)
    guest = world_submit(world, guest_body(), 4.0);
  if (service == NULL && now_ms >= LATER_MS) {
    service = world_submit(world, service_body("req-000003"), -1.0);
    array = world_submit(world, array_body(), 8.0);
  }
  world_watch_room(service);
  world_watch_room(array);
  world_watch_room(guest);
  if (now_ms >= END_MS)
    judge(world);
}

int
main(int argc, char **argv)
{
  has_trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
  World *world = world_new(&PLAN, argc, argv);
  return world_run(world, step);
}

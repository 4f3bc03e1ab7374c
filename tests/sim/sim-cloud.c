/**
 * The simulated cloud and its machines.
 */
#include "sim/sim-private.h"

#include <string.h>

Machine *
sim_find_machine(const Sim *sim, const char *name)
{
  for (guint i = 0; i < sim->machines->len; i++) {
    Machine *machine = g_ptr_array_index(sim->machines, i);
    if (strcmp(machine->worker->name, name) == 0)
      return machine;
  }
  return NULL;
}

static const char *
find_zone(const char *name)
{
  for (guint z = 0; z < G_N_ELEMENTS(SIM_ZONES); z++)
    if (strcmp(SIM_ZONES[z], name) == 0)
      return SIM_ZONES[z];
  g_error("unknown zone %s", name);
}

/* Rents machines. A repeated request gets the machines of the first one. 3 % of the machines never
   boot. */
static json_t *
rent_machines(Sim *sim, const json_t *body)
{
  const char *request = json_string_value(json_object_get(body, "objednavka"));
  json_t *names = g_hash_table_lookup(sim->rentals, request);
  if (names == NULL) {
    names = json_array();
    for (json_int_t i = json_integer_value(json_object_get(body, "how_many"));
         i > 0
         && (sim->faults.max_machines == 0 || sim_count_machines(sim) < sim->faults.max_machines);
         i--) {
      g_autofree char *name = g_strdup_printf("m-%06u", sim->machines->len);
      Machine *machine = g_new0(Machine, 1);
      machine->booted_ms = sim->now_ms + BOOT_MS / 2 + g_rand_int_range(sim->rand, 0, BOOT_MS);
      if (sim_draw_chance(sim, 0.03))
        machine->booted_ms = G_MAXINT64;
      machine->worker
          = sim_worker_new(name, "g4", find_zone(json_string_value(json_object_get(body, "hala"))),
                           json_is_true(json_object_get(body, "vypujcky")), sim->now_ms);
      machine->next_heartbeat_ms = machine->booted_ms;
      machine->node = (guint)g_rand_int_range(sim->rand, 0, SIM_NODES);
      g_ptr_array_add(sim->machines, machine);
      json_array_append_new(names, json_string(name));
    }
    g_hash_table_insert(sim->rentals, g_strdup(request), names);
  }
  return json_pack("{s:O}", "stroje", names);
}

static json_t *
list_machines(const Sim *sim)
{
  json_t *list = json_array();
  for (guint i = 0; i < sim->machines->len; i++) {
    const Machine *machine = g_ptr_array_index(sim->machines, i);
    g_autofree char *endpoint = g_strdup_printf("w-%s:1", machine->worker->name);
    if (!machine->returned)
      json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:s, s:b, s:s, s:f}", "id",
                                            machine->worker->name, "endpoint", endpoint, "typ",
                                            machine->worker->type, "hala", machine->worker->zone,
                                            "vypujcky", machine->worker->spot, "stav",
                                            machine->dead ? "failed" : "running", "age_s", 1.0));
  }
  return json_pack("{s:o, s:b}", "stroje", list, "more", 0);
}

static void
return_machines(Sim *sim, const json_t *body)
{
  size_t i;
  const json_t *name;
  json_array_foreach(json_object_get(body, "stroje"), i, name)
  {
    Machine *machine = sim_find_machine(sim, json_string_value(name));
    if (machine == NULL)
      continue;
    machine->returned = TRUE;
    sim->returned_tasks += machine->worker->tasks->len;
    g_array_set_size(machine->worker->tasks, 0);
  }
}

void
sim_send_to_cloud(Sim *sim, Call *call)
{
  if (sim->faults.cloud_unavailable) {
    sim_reply_to_call(call, 503, json_pack("{s:s}", "error", "trouble"));
  } else if (g_str_has_prefix(call->path, "/catalog")) {
    sim_reply_to_call(call, 200,
                      json_pack("{s:[{s:s, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:[s,s,s]}]}",
                                "typy", "sku", "g4", "cpus", 32.0, "accelerators",
                                (double)SIM_MACHINE_SLOTS, "mem_gb", 64.0, "local_gb", 100.0,
                                "pull_gb_per_s", 1.0, "price", 8.0, "low_price", 3.0, "boot_s", 8.0,
                                "haly", "a", "b", "c"));
  } else if (strcmp(call->path, "/machines/return") == 0) {
    return_machines(sim, call->body);
    sim_reply_to_call(call, 200, json_object());
  } else if (strcmp(call->path, "/machines") == 0) {
    if (sim->faults.cloud_is_full)
      sim_reply_to_call(call, 503, json_pack("{s:s}", "error", "no capacity"));
    else
      sim_reply_to_call(call, 200, rent_machines(sim, call->body));
  } else {
    sim_reply_to_call(call, 200, list_machines(sim));
  }
}

gboolean
sim_is_up(const Sim *sim, const Machine *machine)
{
  return !machine->returned && !machine->dead && sim->now_ms >= machine->booted_ms;
}

gboolean
sim_is_stalled(const Sim *sim, const Machine *machine)
{
  return sim->now_ms < machine->stalled_until_ms;
}

static void
send_heartbeat(Sim *sim, Machine *machine)
{
  Call *call = g_new0(Call, 1);
  call->machine = machine;
  call->incarnation = machine->worker->incarnation;
  call->method = g_strdup("POST");
  call->address = g_strdup_printf("api-%u:1", machine->node);
  call->path = g_strdup("/v1/report");
  call->body = sim_worker_heartbeat(machine->worker, sim->now_ms);
  machine->next_heartbeat_ms = G_MAXINT64;
  sim_send_call(sim, call, 4000);
}

static void
cache_images(const Sim *sim, SimWorker *worker)
{
  for (guint i = 0; i < sim->jobs->len; i++) {
    const Job *job = g_ptr_array_index(sim->jobs, i);
    sim_worker_add_image(worker, job->id);
  }
}

void
sim_step_machine(Sim *sim, Machine *machine)
{
  if (!sim_is_up(sim, machine))
    return;
  if (machine->worker->sequence == 0)
    machine->worker->renewed_ms = MAX(machine->worker->renewed_ms, machine->booted_ms);
  guint tasks = machine->worker->tasks->len;
  sim_worker_check_lease(machine->worker, sim->now_ms, sim->lease_ms);
  sim->lost_tasks += tasks - machine->worker->tasks->len;
  if (sim_is_stalled(sim, machine))
    return;
  if (sim->caches_images)
    cache_images(sim, machine->worker);
  if (machine->worker->interruption_ms > 0 && sim->now_ms >= machine->worker->interruption_ms) {
    machine->returned = TRUE;
    g_array_set_size(machine->worker->tasks, 0);
    return;
  }
  for (guint i = 0; i < machine->worker->tasks->len; i++)
    sim_step_task(sim, machine, &g_array_index(machine->worker->tasks, SimTask, i));
  if (sim->now_ms >= machine->next_heartbeat_ms)
    send_heartbeat(sim, machine);
}

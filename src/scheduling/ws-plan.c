/* Placement: which waiting task goes where.

   A node plans the jobs that it acts for: those whose home it is, on its own machines, and as
   leader those that no part could take, anywhere. What two nodes would place in the same room only
   one of them gets: the leader looks again when it writes. */
#include "scheduling/ws-gang-place.h"
#include "scheduling/ws-preempt.h"
#include "scheduling/ws-queue.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"
#include "commit/ws-commit.h"
#include "storage/ws-gang-phase.h"
#include "storage/ws-constraints.h"

#define PAUSE_MS 100
/* The pause after a plan grows with what it cost, so that plans take a small part of the processor
   whatever the size. */
#define STEPS_A_MS 40
#define SPILL_MS 600
/* A bound for jobs of many thousands; all that waits at a start must be seen, or too little is
 * rented. */
#define TASKS_A_PLAN 4000
#define LONG_FETCH_S 3.0
#define STOP_AGAIN_MS 3000
/* Time alone changes what is urgent, but slowly. */
#define UNASKED_MS 900

struct _WsPlan {
  gint64 next_ms;
  gboolean spilling;
};

typedef struct {
  WsCore *core;
  WsCapacityMap map;
  WsResources *use;
  WsDemand *demand;     /* only a leader's plan has one */
  GHashTable *reserved; /* machine -> tasks of the job at hand for which room is being made there */
} Run;

WsPlan *
ws_plan_new(void)
{
  return g_new0(WsPlan, 1);
}

void
ws_plan_free(WsPlan *plan)
{
  g_free(plan);
}

/* The node that carries out the placement of the job. */
static guint
acting_node(const WsReplica *replica, const WsJob *job)
{
  return job->coordinator != WS_NO_NODE && ws_epoch_has_node(&replica->epoch, job->coordinator)
             ? job->coordinator
             : replica->epoch.leader;
}

/* What stops on another node's machine is asked for again until it has stopped. */
static void
ask_stops(WsCore *core, const WsMachine *machine)
{
  if (machine->owner == core->settings->self)
    return;
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *victim = ws_replica_job(core->replica, ref->job);
    WsAssignment *assignment = ws_job_assignment(victim, ref->task);
    if (assignment == NULL || !assignment->is_stop_requested
        || (assignment->stop_forwarded_ms > 0
            && core->now - assignment->stop_forwarded_ms < STOP_AGAIN_MS))
      continue;
    assignment->stop_forwarded_ms = core->now;
    ws_peer_request_stop(core, machine->owner, victim, assignment);
  }
}

static void
preempt_on(Run *run, const WsJob *job, WsMachine *machine)
{
  WsCore *core = run->core;
  WsMachineCapacity slot = run->map.machines[machine->index];
  g_info("job %s needs room on %s: less urgent tasks there stop", job->id, machine->name);
  /* The room was taken already, by whoever looked for it. */
  ws_resources_add(&slot.free, &job->spec->need, 1);
  ws_preempt(core, job, machine, &slot);
  run->map.machines[machine->index].freeing = slot.freeing;
  ask_stops(core, machine);
}

static gboolean
within_team(const Run *run, const WsJob *job)
{
  return ws_team_has_room(run->core->settings, job->team, &run->use[job->team], &job->spec->need);
}

static void
reserve(Run *run, WsMachineIndex machine)
{
  gpointer key = GUINT_TO_POINTER(machine);
  guint tasks = GPOINTER_TO_UINT(g_hash_table_lookup(run->reserved, key));
  g_hash_table_insert(run->reserved, key, GUINT_TO_POINTER(tasks + 1));
}

static void
keep_reserved(Run *run, const WsJob *job)
{
  GHashTableIter iter;
  gpointer machine, tasks;
  g_hash_table_iter_init(&iter, run->reserved);
  while (g_hash_table_iter_next(&iter, &machine, &tasks))
    ws_reservations_renew(run->core, job, GPOINTER_TO_UINT(machine), GPOINTER_TO_UINT(tasks));
  g_hash_table_remove_all(run->reserved);
}

static gboolean
makes_place(const WsMachine *machine, const WsResources *freed, gpointer data)
{
  return ws_candidates_would_fit(data, machine, freed);
}

/* A team whose own less urgent work fills its limit has some of it stopped for the urgent job, if
   that can start then. Where it has no place yet, one is rented for it first. */
static void
make_team_room(Run *run, WsCandidates *places, const WsJob *job)
{
  WsCore *core = run->core;
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(guint));
  const WsMachine *place = ws_candidates_peek(places, WS_SLOT_FREE);
  if (place == NULL)
    place = ws_candidates_peek(places, WS_SLOT_FREEING);
  WsTeamCapacity room = ws_preempt_in_team(core, job, &run->use[job->team], place != NULL,
                                           makes_place, places, machines);
  if (place == NULL && machines->len > 0) /* the first one that stops leaves the place */
    place = ws_replica_machine(core->replica, g_array_index(machines, guint, 0));
  if (room == WS_TEAM_CAPACITY_FREEING)
    ws_reservations_renew(core, job, WS_NONE, 1);
  if (room == WS_TEAM_CAPACITY_FREEING && place != NULL)
    reserve(run, place->index);
  if (room == WS_TEAM_NO_SLOT && run->demand != NULL)
    ws_demand_add(run->demand, job, 1);
  for (guint i = 0; i < machines->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, g_array_index(machines, guint, i));
    g_info("job %s needs its team's limit: a less urgent task on %s stops", job->id, machine->name);
    ask_stops(core, machine);
  }
}

typedef enum { PLACED, ROOM_COMES, NO_ROOM } Outcome;

/* Someone waits for a critical task, so it isn't sent where it would first fetch its image for long
   if less urgent work can make room where the image is. */
static gboolean
waits_for_image(const Run *run, const WsJob *job)
{
  return job->spec->priority == WS_CRITICAL
         && ws_job_fetch_s(run->core->replica, job) >= LONG_FETCH_S;
}

static gboolean
room_comes(Run *run, WsCandidates *places, const WsJob *job, WsSlotKind coming, WsSlotKind taken)
{
  WsMachine *machine = ws_candidates_take(places, coming);
  if (machine == NULL) {
    machine = ws_candidates_take(places, taken);
    if (machine != NULL)
      preempt_on(run, job, machine);
  }
  if (machine != NULL)
    reserve(run, machine->index);
  return machine != NULL;
}

static Outcome
place_task(Run *run, WsCandidates *places, const WsJob *job, guint task)
{
  WsMachine *machine = ws_candidates_peek(places, WS_SLOT_FREE);
  if ((machine == NULL || !ws_machine_has_image(machine, job->image)) && waits_for_image(run, job)
      && room_comes(run, places, job, WS_SLOT_WITH_IMAGE, WS_SLOT_BY_PREEMPTION_WITH_IMAGE))
    return ROOM_COMES;
  machine = ws_candidates_take(places, WS_SLOT_FREE);
  if (machine != NULL) {
    ws_assignments_propose(run->core, job->index, task, machine->index);
    return PLACED;
  }
  return room_comes(run, places, job, WS_SLOT_FREEING, WS_SLOT_BY_PREEMPTION) ? ROOM_COMES
                                                                              : NO_ROOM;
}

static gboolean
is_waiting(const WsCore *core, const WsJob *job, guint task)
{
  return !ws_job_task_done(job, task) && ws_job_assignment(job, task) == NULL
         && !ws_assignments_is_pending(core, job->index, task);
}

static void
note_unplaced(const WsCore *core, WsJob *job, gboolean is_unplaced)
{
  if (!is_unplaced)
    job->status.unplaced_ms = 0;
  else if (job->status.unplaced_ms == 0)
    job->status.unplaced_ms = core->now;
}

/* Adds waiting tasks of one chunk, as many as its record has places for. */
static void
add_waiting_tasks(const WsCore *core, const WsJob *job, guint index, guint most, GArray *tasks)
{
  guint first = index * WS_CHUNK_TASKS;
  guint end = MIN(first + WS_CHUNK_TASKS, job->tasks);
  const WsChunk *chunk = ws_job_chunk(job, first);
  guint places = ws_chunk_free_places(chunk, core->replica);
  if (chunk != NULL && chunk->completed_count + chunk->assignments->len == WS_CHUNK_TASKS)
    return;
  for (guint task = first; task < end && places > 0 && tasks->len < most; task++) {
    if (ws_assignments_is_pending(core, job->index, task)) {
      places--;
    } else if (is_waiting(core, job, task)) {
      g_array_append_val(tasks, task);
      places--;
    }
  }
}

static GArray *
waiting_tasks(const WsCore *core, const WsJob *job, guint most)
{
  GArray *tasks = g_array_new(FALSE, FALSE, sizeof(guint));
  for (guint c = 0; c < ws_job_chunk_count(job) && tasks->len < most; c++)
    add_waiting_tasks(core, job, c, most, tasks);
  return tasks;
}

/* Whether the team's limit leaves room for so many tasks of the job. */
static gboolean
team_has_room_for(const Run *run, const WsJob *job, guint tasks)
{
  WsResources need = { 0 };
  ws_resources_add(&need, &job->spec->need, tasks);
  return ws_team_has_room(run->core->settings, job->team, &run->use[job->team], &need);
}

/* Machines are rented for a gang without room; one that has waited for long keeps what becomes
   free, in its team and on machines, from what is placed after it. */
static void
gather_room(Run *run, const WsJob *job, guint tasks, guint *counts, gboolean team_has_room)
{
  if (team_has_room && run->demand != NULL)
    ws_demand_add_gang(run->demand, job, tasks);
  if (!ws_queue_is_overdue(run->core, job))
    return;
  ws_gang_reserve_capacity(&run->map, job, tasks, counts);
  ws_reservations_renew(run->core, job, WS_NONE, tasks);
  ws_resources_add(&run->use[job->team], &job->spec->need, tasks);
}

/* All of a gang's tasks or none: a few of them would only hold their places and wait. */
static void
place_gang(Run *run, WsJob *job, const GArray *tasks, guint *counts)
{
  WsCore *core = run->core;
  gboolean all = tasks->len + job->assigned_count + job->completed_count == job->tasks;
  if (!all || ws_gang_is_ending(job))
    return;
  gboolean team_has_room = team_has_room_for(run, job, tasks->len);
  g_autoptr(GArray) machines
      = team_has_room ? ws_gang_place(&run->map, job, tasks->len, counts) : NULL;
  note_unplaced(core, job, machines == NULL);
  if (machines == NULL) {
    gather_room(run, job, tasks->len, counts, team_has_room);
    return;
  }
  ws_resources_add(&run->use[job->team], &job->spec->need, tasks->len);
  for (guint i = 0; i < tasks->len; i++)
    ws_assignments_propose(core, job->index, g_array_index(tasks, guint, i),
                           g_array_index(machines, guint, i));
}

static void
place_tasks(Run *run, WsJob *job, const GArray *tasks, guint *counts)
{
  g_autoptr(WsCandidates) places = ws_candidates_new(&run->map, job, counts);
  guint unplaced = 0, wanted = 0;
  gboolean has_room = TRUE;
  for (guint i = 0; i < tasks->len; i++) {
    if (!within_team(run, job)) {
      make_team_room(run, places, job);
      break;
    }
    ws_resources_add(&run->use[job->team], &job->spec->need, 1);
    Outcome outcome
        = has_room ? place_task(run, places, job, g_array_index(tasks, guint, i)) : NO_ROOM;
    has_room = has_room && outcome != NO_ROOM;
    unplaced += outcome != PLACED ? 1 : 0;
    wanted += outcome == NO_ROOM ? 1 : 0;
  }
  if (run->demand != NULL && wanted > 0)
    ws_demand_add(run->demand, job, wanted);
  keep_reserved(run, job);
  note_unplaced(run->core, job, unplaced > 0);
}

/* Returns how many tasks of the job were looked at. */
static guint
place_job(Run *run, WsJob *job, guint most)
{
  WsCore *core = run->core;
  if (job->completed_count + job->assigned_count >= job->tasks)
    return 0;
  g_autofree guint *counts = g_new0(guint, core->settings->zones->len);
  g_autoptr(GArray) tasks
      = waiting_tasks(core, job, job->spec->kind == WS_KIND_GANG ? job->tasks : most);
  if (tasks->len == 0)
    return 0;
  ws_job_count_zones(core->replica, job, counts);
  if (job->spec->kind == WS_KIND_GANG)
    place_gang(run, job, tasks, counts);
  else
    place_tasks(run, job, tasks, counts);
  return MIN(tasks->len, most);
}

static void
on_spilled(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)result;
  (void)data;
  core->plan->spilling = FALSE;
  core->replan_is_needed = TRUE;
}

/* A job that its part can't take goes to the leader, who may place it anywhere. */
static void
spill(WsCore *core)
{
  if (core->plan->spilling)
    return;
  WsTxn *txn = ws_txn_new();
  ws_txn_compare(txn, core->replica, WS_KEY_EPOCH);
  for (guint i = 0; i < core->replica->active->len && ws_txn_operation_count(txn) < 4; i++) {
    const WsJob *job = g_ptr_array_index(core->replica->active, i);
    if (job->state != WS_JOB_ACTIVE || job->coordinator != core->settings->self
        || job->status.unplaced_ms == 0 || core->now - job->status.unplaced_ms < SPILL_MS)
      continue;
    g_autofree char *key = ws_key_job(job->id);
    ws_txn_compare(txn, core->replica, key);
    ws_txn_put(txn, key, ws_job_encode(job, WS_JOB_ACTIVE, ""));
    g_info("job %s doesn't fit here: it goes to the leader", job->id);
  }
  core->plan->spilling = ws_txn_operation_count(txn) > 0;
  if (core->plan->spilling)
    ws_txn_commit(core, txn, WS_REQUEST_TASK, on_spilled, NULL);
  else
    ws_txn_free(txn);
}

/* Whether this node has anything to place: most plans of most nodes end here. */
static gboolean
has_work(const WsCore *core)
{
  for (guint i = 0; i < core->replica->active->len; i++) {
    const WsJob *job = g_ptr_array_index(core->replica->active, i);
    if (job->state == WS_JOB_ACTIVE && job->completed_count + job->assigned_count < job->tasks
        && acting_node(core->replica, job) == core->settings->self)
      return TRUE;
  }
  return FALSE;
}

/* Stops that others were asked for and that haven't come to anything. */
static void
repeat_stops(Run *run)
{
  for (guint i = 0; i < run->map.freeing->len; i++)
    ask_stops(run->core,
              ws_replica_machine(run->core->replica, g_array_index(run->map.freeing, guint, i)));
}

static gboolean
is_for_us(const WsCore *core, const WsJob *job)
{
  return job->completed_count + job->assigned_count < job->tasks
         && core->now >= job->status.retry_ms
         && acting_node(core->replica, job) == core->settings->self;
}

/* What every waiting task takes at least. */
static WsResources
least_needed(const WsCore *core, const GArray *jobs)
{
  WsResources least = { G_MAXINT64, G_MAXINT64, G_MAXINT64 };
  for (guint i = 0; i < jobs->len; i++) {
    const WsJob *job = g_array_index(jobs, WsQueueEntry, i).job;
    if (!is_for_us(core, job))
      continue;
    least.cpus = MIN(least.cpus, job->spec->need.cpus);
    least.gpus = MIN(least.gpus, job->spec->need.gpus);
    least.memory = MIN(least.memory, job->spec->need.memory);
  }
  return least;
}

static void
plan(WsCore *core)
{
  Run run = { .core = core };
  g_autoptr(GArray) jobs = ws_queue_jobs(core);
  WsResources least = least_needed(core, jobs);
  ws_capacity_map_init(&run.map, core, &least);
  run.use = g_memdup2(core->replica->team_use,
                      sizeof(WsResources) * MAX(core->settings->teams->len, 1u));
  run.reserved = g_hash_table_new(NULL, NULL);
  run.demand = ws_is_leader(core) ? ws_demand_new(core) : NULL;
  guint left = TASKS_A_PLAN;
  for (guint i = 0; i < jobs->len && left > 0; i++) {
    const WsQueueEntry *waiting = &g_array_index(jobs, WsQueueEntry, i);
    /* What goes first for its age is no more than isn't stopped again: the rest would be, for the
       same more urgent work that it had gone before, over and over. */
    guint most = waiting->is_overdue ? MIN(left, ws_queue_protected_tasks(waiting->job)) : left;
    if (is_for_us(core, waiting->job))
      left -= place_job(&run, waiting->job, most);
  }
  repeat_stops(&run);
  core->plan_steps += run.map.machines_examined;
  core->plans++;
  core->plan->next_ms = core->now + PAUSE_MS + run.map.machines_examined / STEPS_A_MS;
  if (run.demand != NULL)
    ws_demand_end(run.demand);
  g_hash_table_unref(run.reserved);
  g_free(run.use);
  ws_capacity_map_clear(&run.map);
}

void
ws_plan_tick(WsCore *core)
{
  if (core->now < core->plan->next_ms || !ws_is_active_member(core)
      || (!core->replan_is_needed && core->now < core->plan->next_ms + UNASKED_MS)
      || core->replica->catalog == NULL || !ws_assignments_are_idle(core)
      || !ws_store_is_available(core))
    return;
  core->replan_is_needed = FALSE;
  core->plan->next_ms = core->now + PAUSE_MS;
  if (ws_is_leader(core) || has_work(core))
    plan(core);
  spill(core);
}

/* The part with most room that fits the whole job, or WS_NONE. The attempt of a gang is planned and
   written by one node, the leader. */
guint
ws_plan_choose_coordinator(WsCore *core, const WsJobSpec *spec)
{
  if (!ws_is_active_member(core) || core->replica->catalog == NULL || spec->spread || spec->one_zone
      || spec->kind == WS_KIND_GANG)
    return WS_NONE;
  WsCapacityMap map;
  ws_capacity_map_init(&map, core, &spec->need);
  g_autofree gint64 *places = g_new0(gint64, core->settings->nodes->len);
  WsZoneIndex zone = ws_replica_find_zone(core->replica, spec->zone);
  for (guint i = 0; i < map.open->len; i++) {
    const WsMachine *machine = ws_replica_machine(core->replica, g_array_index(map.open, guint, i));
    if (!ws_constraints_allow_machine(core->replica, spec, zone, machine))
      continue;
    for (WsResources room = map.machines[machine->index].free; ws_resources_fit(&spec->need, &room);
         ws_resources_add(&room, &spec->need, -1))
      if (++places[machine->owner] > WS_MAX_TASKS)
        break;
  }
  ws_capacity_map_clear(&map);
  guint best = 0;
  for (guint n = 1; n < core->settings->nodes->len; n++)
    if (places[n] > places[best])
      best = n;
  return places[best] >= (gint64)spec->tasks ? best : WS_NONE;
}

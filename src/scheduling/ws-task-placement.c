/* Placement of arrays and services: their tasks are placed one by one. */
#include "scheduling/ws-task-placement.h"

#include "scheduling/ws-candidates.h"
#include "scheduling/ws-preempt.h"
#include "scheduling/ws-stop-requests.h"
#include "commit/ws-commit.h"

/* For critical jobs, tasks are preempted to avoid a fetch of the image that takes so long. */
#define LONG_FETCH_S 3.0

/* What became of a waiting task. */
typedef enum {
  OUTCOME_PLACED,
  OUTCOME_FREEING, /* a slot for it is being freed by stopping other tasks */
  OUTCOME_UNPLACED /* no machine has a slot for it */
} Outcome;

static WsMachine *
machine_at(const WsPlacement *placement, const GArray *machines, guint i)
{
  return ws_replica_machine(placement->core->replica, g_array_index(machines, WsMachineIndex, i));
}

/* Notes that a slot for one more task of the job is being freed on the machine. */
static void
add_freeing_slot(WsPlacement *placement, WsMachineIndex machine)
{
  gpointer key = GUINT_TO_POINTER(machine);
  guint tasks = GPOINTER_TO_UINT(g_hash_table_lookup(placement->freeing_slots, key));
  g_hash_table_insert(placement->freeing_slots, key, GUINT_TO_POINTER(tasks + 1));
}

/* Reserves the slots that are being freed for the job, and clears the list of them. */
static void
reserve_freeing_slots(WsPlacement *placement, const WsJob *job)
{
  GHashTableIter iter;
  gpointer machine, tasks;
  g_hash_table_iter_init(&iter, placement->freeing_slots);
  while (g_hash_table_iter_next(&iter, &machine, &tasks))
    ws_reservations_renew(placement->core, job, GPOINTER_TO_UINT(machine), GPOINTER_TO_UINT(tasks));
  g_hash_table_remove_all(placement->freeing_slots);
}

static void
preempt_on(WsPlacement *placement, const WsJob *job, WsMachine *machine)
{
  WsCore *core = placement->core;
  WsMachineCapacity *planned = ws_capacity_map_at(&placement->map, machine->index);
  WsMachineCapacity capacity = *planned;
  g_info("job %s preempts tasks on %s", job->id, machine->name);
  /* The candidate search has subtracted the task already. */
  ws_resources_add(&capacity.free, &job->spec->need, 1);
  ws_preempt_on_machine(core, job, machine, &capacity);
  planned->freeing = capacity.freeing;
  ws_stop_requests_send(core, machine);
}

static gboolean
would_fit(const WsMachine *machine, const WsResources *freed, gpointer data)
{
  const WsCandidates *candidates = data;
  return ws_candidates_would_fit(candidates, machine, freed);
}

/* Requests the owners of the machines to stop the victims of the team there. */
static void
stop_in_team(WsPlacement *placement, const WsJob *job, const GArray *machines)
{
  for (guint i = 0; i < machines->len; i++) {
    const WsMachine *machine = machine_at(placement, machines, i);
    g_info("job %s preempts a task of its team on %s", job->id, machine->name);
    ws_stop_requests_send(placement->core, machine);
  }
}

/* Stops less urgent tasks of the job's own team that use up the team's limit, if the job can start
   then. If no machine has a slot for it yet, one is rented first. */
static void
preempt_in_team(WsPlacement *placement, WsCandidates *candidates, const WsJob *job)
{
  WsCore *core = placement->core;
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(WsMachineIndex));
  const WsMachine *slot = ws_candidates_peek(candidates, WS_SLOT_FREE);
  if (slot == NULL)
    slot = ws_candidates_peek(candidates, WS_SLOT_FREEING);
  WsTeamPreemptResult capacity = ws_preempt_in_team(core, job, &placement->team_use[job->team],
                                                    slot != NULL, would_fit, candidates, machines);
  if (slot == NULL && machines->len > 0) /* the first victim is on a machine that fits the job */
    slot = machine_at(placement, machines, 0);
  if (capacity == WS_TEAM_CAPACITY_FREEING)
    ws_reservations_renew(core, job, WS_NO_MACHINE, 1);
  if (capacity == WS_TEAM_CAPACITY_FREEING && slot != NULL)
    add_freeing_slot(placement, slot->index);
  if (capacity == WS_TEAM_NO_SLOT && placement->demand != NULL)
    ws_demand_add(placement->demand, job, 1);
  stop_in_team(placement, job, machines);
}

/* Whether preemption is preferred to a fetch of the image: a user waits for a critical task, so it
   isn't placed where the fetch takes long if a slot where the image is cached can be freed. */
static gboolean
prefers_cached_image(const WsPlacement *placement, const WsJob *job)
{
  return job->spec->priority == WS_CRITICAL
         && ws_job_image_fetch_s(placement->core->replica, job) >= LONG_FETCH_S;
}

/* Takes a slot that is being freed, or otherwise frees one by preemption; FALSE: neither is
   possible. */
static gboolean
take_freeing_slot(WsPlacement *placement, WsCandidates *candidates, const WsJob *job,
                  WsSlotKind freeing, WsSlotKind by_preemption)
{
  WsMachine *machine = ws_candidates_take(candidates, freeing);
  if (machine == NULL) {
    machine = ws_candidates_take(candidates, by_preemption);
    if (machine != NULL)
      preempt_on(placement, job, machine);
  }
  if (machine != NULL)
    add_freeing_slot(placement, machine->index);
  return machine != NULL;
}

static Outcome
place_task(WsPlacement *placement, WsCandidates *candidates, const WsJob *job, guint task)
{
  const WsMachine *machine = ws_candidates_peek(candidates, WS_SLOT_FREE);
  gboolean has_image = machine != NULL && ws_machine_has_image(machine, job->image);
  if (!has_image && prefers_cached_image(placement, job)
      && take_freeing_slot(placement, candidates, job, WS_SLOT_FREEING_WITH_IMAGE,
                           WS_SLOT_BY_PREEMPTION_WITH_IMAGE))
    return OUTCOME_FREEING;
  machine = ws_candidates_take(candidates, WS_SLOT_FREE);
  if (machine != NULL) {
    ws_assignments_propose(placement->core, job->index, task, machine->index);
    return OUTCOME_PLACED;
  }
  return take_freeing_slot(placement, candidates, job, WS_SLOT_FREEING, WS_SLOT_BY_PREEMPTION)
             ? OUTCOME_FREEING
             : OUTCOME_UNPLACED;
}

void
ws_task_placement_place(WsPlacement *placement, WsJob *job, const GArray *tasks,
                        guint *tasks_by_zone)
{
  g_autoptr(WsCandidates) candidates = ws_candidates_new(&placement->map, job, tasks_by_zone);
  guint waiting = 0, without_slot = 0;
  for (guint i = 0; i < tasks->len; i++) {
    if (!ws_placement_team_allows(placement, job, 1)) {
      preempt_in_team(placement, candidates, job);
      break;
    }
    ws_placement_add_team_use(placement, job, 1);
    /* If there is no slot for one task, there is none for the next one, which needs the same. */
    Outcome outcome = without_slot == 0
                          ? place_task(placement, candidates, job, g_array_index(tasks, guint, i))
                          : OUTCOME_UNPLACED;
    waiting += outcome != OUTCOME_PLACED ? 1 : 0;
    without_slot += outcome == OUTCOME_UNPLACED ? 1 : 0;
  }
  if (placement->demand != NULL && without_slot > 0)
    ws_demand_add(placement->demand, job, without_slot);
  reserve_freeing_slots(placement, job);
  ws_placement_record_unplaced(placement->core, job, waiting > 0);
}

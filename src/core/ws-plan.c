/* Placement: which waiting task goes where.

   Every node plans all waiting jobs over all machines in the same order, so that what a more
   urgent job of another home will take is not given away here; then it carries out only its own
   part: the jobs whose home it is, on its own machines. The leader also carries out the jobs
   that no part could take, by asking the owners of the machines. */
#include "core/ws-core-private.h"

#include <string.h>

#define PAUSE_MS 100
#define ASK_MS 1500
#define SPILL_MS 600
#define TASKS_A_PLAN 400
#define LONG_FETCH_S 3.0

typedef struct {
  guint job;
  guint task;
  guint machine;
  gint64 until_ms;
} Asked;

struct _WsPlan {
  GArray *asked; /* of Asked: an owner was asked to assign */
  gint64 next_ms;
  gboolean spilling;
};

typedef struct {
  WsCore *core;
  WsSlot *slots;
  WsAmount *use;
  WsDemand *demand; /* only a leader's plan has one */
  json_t **asks;    /* by owner */
} Run;

WsPlan *
ws_plan_new(void)
{
  WsPlan *plan = g_new0(WsPlan, 1);
  plan->asked = g_array_new(FALSE, FALSE, sizeof(Asked));
  return plan;
}

void
ws_plan_free(WsPlan *plan)
{
  g_array_unref(plan->asked);
  g_free(plan);
}

gboolean
ws_type_allowed(const WsSubmission *spec, const WsType *type)
{
  return spec->types == NULL || g_strv_contains((const gchar *const *)spec->types, type->name);
}

gboolean
ws_plan_allowed(const WsBook *book, const WsSubmission *spec, guint zone, const WsMachine *machine)
{
  return machine->type != WS_NONE && machine->zone != WS_NONE
         && ws_type_allowed(spec, ws_book_type(book, machine->type))
         && (spec->zone == NULL || zone == machine->zone) && (spec->spot || !machine->spot);
}

static gboolean
is_usable(const WsCore *core, const WsMachine *machine)
{
  return machine->stored && machine->type != WS_NONE && !machine->marked && !machine->marking
         && machine->notice_ms == 0 && machine->bad_jobs < 2 && ws_machine_up(core, machine)
         && ws_book_owner(core->book, machine) != WS_NONE;
}

/* What is being assigned is no longer free. */
static void
take_asked(WsCore *core, WsSlot *slots)
{
  GArray *asked = core->plan->asked;
  for (guint i = asked->len; i-- > 0;) {
    const Asked *ask = &g_array_index(asked, Asked, i);
    const WsJob *job = ws_book_job(core->book, ask->job);
    if (core->now > ask->until_ms || job->spec == NULL || ws_job_assignment(job, ask->task) != NULL)
      g_array_remove_index_fast(asked, i);
    else
      ws_amount_add(&slots[ask->machine].free, &job->spec->need, -1);
  }
}

static gboolean
is_asked(const WsCore *core, guint job, guint task)
{
  const GArray *asked = core->plan->asked;
  for (guint i = 0; i < asked->len; i++)
    if (g_array_index(asked, Asked, i).job == job && g_array_index(asked, Asked, i).task == task)
      return TRUE;
  return FALSE;
}

static WsSlot *
make_slots(WsCore *core)
{
  const WsBook *book = core->book;
  WsSlot *slots = g_new0(WsSlot, MAX(book->machines->len, 1u));
  for (guint i = 0; i < book->machines->len; i++) {
    const WsMachine *machine = ws_book_machine(book, i);
    if (!is_usable(core, machine))
      continue;
    slots[i].usable = TRUE;
    slots[i].free = ws_book_type(book, machine->type)->room;
    ws_amount_add(&slots[i].free, &machine->used, -1);
    for (guint k = 0; k < machine->tasks->len; k++) {
      const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, k);
      const WsJob *job = ws_book_job(book, ref->job);
      const WsAssignment *a = ws_job_assignment(job, ref->task);
      if (a != NULL && (a->stopping || job->state == WS_JOB_CANCELLED))
        ws_amount_add(&slots[i].coming, &job->spec->need, 1);
    }
  }
  take_asked(core, slots);
  return slots;
}

static gboolean
has_service(const WsBook *book, const WsMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++)
    if (ws_book_job(book, g_array_index(machine->tasks, WsTaskRef, i).job)->spec->kind
        == WS_KIND_SERVICE)
      return TRUE;
  return FALSE;
}

static double
score(const Run *run, const WsJob *job, const guint *counts, const WsMachine *machine)
{
  const WsBook *book = run->core->book;
  const WsAmount *room = &ws_book_type(book, machine->type)->room;
  const WsAmount *free = &run->slots[machine->index].free;
  gboolean is_service = job->spec->kind == WS_KIND_SERVICE;
  double value = ws_machine_has_image(machine, job->image) ? 100.0 : 0.0;
  if (job->spec->spot && machine->spot)
    value += 30.0;
  if (!is_service && has_service(book, machine))
    value += 45.0; /* it stays rented anyway */
  if (room->gpus > 0)
    value += 20.0 * (1.0 - (double)free->gpus / (double)room->gpus);
  if (room->cpus > 0)
    value += 5.0 * (1.0 - (double)free->cpus / (double)room->cpus);
  if (is_service)
    value -= 25.0 * counts[machine->zone];
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *other = ws_book_job(book, ref->job);
    const WsAssignment *a = ws_job_assignment(other, ref->task);
    if (is_service && other == job)
      value -= 25.0;
    if (a == NULL || a->state > WS_TASK_FETCHING)
      continue;
    value += other->image == job->image ? 50.0 : -20.0;
  }
  return value;
}

/* The machine may be used by the home of the job. */
static gboolean
in_part(const Run *run, const WsJob *job, const WsMachine *machine)
{
  const WsBook *book = run->core->book;
  if (job->home == WS_NONE || !ws_epoch_has_node(&book->epoch, job->home))
    return TRUE;
  return ws_book_owner(book, machine) == job->home;
}

static gboolean
is_eligible(const Run *run, const WsJob *job, const guint *counts, const WsMachine *machine)
{
  const WsCore *core = run->core;
  return run->slots[machine->index].usable
         && ws_plan_allowed(core->book, job->spec, job->zone, machine)
         && machine->last_bad_job != job->index
         && ws_zone_allowed(job, counts, core->settings->zones->len, machine->zone)
         && in_part(run, job, machine);
}

typedef enum { FREE_NOW = 0, WITH_COMING = 1 << 0, WITH_IMAGE = 1 << 1 } Room;

static WsMachine *
best_machine(const Run *run, const WsJob *job, const guint *counts, guint room_kind)
{
  WsMachine *best = NULL;
  double most = 0.0;
  for (guint i = 0; i < run->core->book->machines->len; i++) {
    WsAmount room = run->slots[i].free;
    if (!run->slots[i].usable)
      continue;
    if (room_kind & WITH_COMING)
      ws_amount_add(&room, &run->slots[i].coming, 1);
    if (!ws_amount_fits(&job->spec->need, &room))
      continue;
    WsMachine *machine = ws_book_machine(run->core->book, i);
    if (!is_eligible(run, job, counts, machine)
        || ((room_kind & WITH_IMAGE) && !ws_machine_has_image(machine, job->image)))
      continue;
    double value = score(run, job, counts, machine);
    if (best == NULL || value > most) {
      best = machine;
      most = value;
    }
  }
  return best;
}

/* The node that carries out the placement of the job. */
static guint
acting_node(const WsBook *book, const WsJob *job)
{
  return job->home != WS_NONE && ws_epoch_has_node(&book->epoch, job->home) ? job->home
                                                                            : book->epoch.leader;
}

static void
ask_owner(Run *run, guint owner, const char *what, json_t *item)
{
  if (run->asks[owner] == NULL)
    run->asks[owner] = json_pack("{s:[], s:[]}", "picks", "stops");
  json_array_append_new(json_object_get(run->asks[owner], what), item);
}

static void
carry_out(Run *run, WsJob *job, guint task, const WsMachine *machine)
{
  WsCore *core = run->core;
  guint owner = ws_book_owner(core->book, machine);
  if (acting_node(core->book, job) != core->settings->self)
    return;
  if (owner == core->settings->self) {
    ws_assign_pick(core, job->index, task, machine->index);
    return;
  }
  if (!ws_mesh_reaches(core, owner))
    return;
  Asked asked = { job->index, task, machine->index, core->now + ASK_MS };
  g_array_append_val(core->plan->asked, asked);
  ask_owner(run, owner, "picks", json_pack("[s, i, s]", job->id, (int)task, machine->name));
}

static void
ask_stops(Run *run, guint owner, const WsMachine *machine)
{
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *victim = ws_book_job(run->core->book, ref->job);
    const WsAssignment *a = ws_job_assignment(victim, ref->task);
    if (a != NULL && a->stopping)
      ask_owner(run, owner, "stops",
                json_pack("[s, i, I]", victim->id, (int)ref->task, (json_int_t)a->attempt));
  }
}

static void
preempt_on(Run *run, const WsWaiting *waiting, WsMachine *machine)
{
  WsCore *core = run->core;
  guint owner = ws_book_owner(core->book, machine);
  if (acting_node(core->book, waiting->job) != core->settings->self)
    return;
  g_info("job %s needs room on %s: less urgent tasks there stop", waiting->job->id, machine->name);
  ws_preempt(core, waiting->job, machine, &run->slots[machine->index]);
  if (owner != core->settings->self)
    ask_stops(run, owner, machine);
}

static gboolean
preempt_somewhere(Run *run, const WsWaiting *waiting, const guint *counts, guint room_kind)
{
  WsCore *core = run->core;
  WsMachine *best = NULL;
  double least = 0.0;
  for (guint i = 0; i < core->book->machines->len; i++) {
    WsMachine *machine = ws_book_machine(core->book, i);
    gboolean cached = ws_machine_has_image(machine, waiting->job->image);
    if (!is_eligible(run, waiting->job, counts, machine) || ((room_kind & WITH_IMAGE) && !cached))
      continue;
    double cost = ws_preempt_cost(core, waiting->job, machine, &run->slots[i]);
    if (cost < 0.0)
      continue;
    cost -= cached ? 20.0 : 0.0;
    if (best == NULL || cost < least) {
      best = machine;
      least = cost;
    }
  }
  if (best == NULL)
    return FALSE;
  preempt_on(run, waiting, best);
  ws_amount_add(&run->slots[best->index].free, &waiting->job->spec->need, -1);
  return TRUE;
}

static gboolean
within_team(const Run *run, const WsJob *job)
{
  const WsTeamSettings *team = g_ptr_array_index(run->core->settings->teams, job->team);
  WsAmount use = run->use[job->team];
  ws_amount_add(&use, &job->spec->need, 1);
  return ws_team_allows(team, &use);
}

/* A team whose own less urgent work fills its limit has a task of it stopped for the urgent one. */
static void
make_team_room(Run *run, const WsWaiting *waiting)
{
  WsCore *core = run->core;
  const WsJob *job = waiting->job;
  if (acting_node(core->book, job) != core->settings->self)
    return;
  WsAssignment *victim = ws_preempt_in_team(core, job);
  if (victim == NULL)
    return;
  const WsMachine *machine = ws_book_machine(core->book, victim->machine);
  guint owner = ws_book_owner(core->book, machine);
  g_info("job %s needs its team's limit: a less urgent task on %s stops", job->id, machine->name);
  if (owner != core->settings->self)
    ask_stops(run, owner, machine);
}

typedef enum { PLACED, ROOM_COMES, NO_ROOM } Outcome;

static void
reserve(Run *run, const WsJob *job, const WsMachine *machine, guint *counts)
{
  ws_amount_add(&run->slots[machine->index].free, &job->spec->need, -1);
  counts[machine->zone]++;
}

/* Someone waits for a critical task, so it isn't sent where it would first fetch its image for long
   if less urgent work can make room where the image is. */
static gboolean
wait_for_image(Run *run, const WsWaiting *waiting, guint *counts)
{
  WsJob *job = waiting->job;
  if (job->spec->priority != WS_CRITICAL || ws_job_fetch_s(run->core->book, job) < LONG_FETCH_S)
    return FALSE;
  WsMachine *machine = best_machine(run, job, counts, WITH_COMING | WITH_IMAGE);
  if (machine == NULL)
    return preempt_somewhere(run, waiting, counts, WITH_IMAGE);
  reserve(run, job, machine, counts);
  return TRUE;
}

static Outcome
place_task(Run *run, const WsWaiting *waiting, guint task, guint *counts)
{
  WsJob *job = waiting->job;
  WsMachine *machine = best_machine(run, job, counts, FREE_NOW);
  if ((machine == NULL || !ws_machine_has_image(machine, job->image))
      && wait_for_image(run, waiting, counts))
    return ROOM_COMES;
  if (machine != NULL) {
    carry_out(run, job, task, machine);
    reserve(run, job, machine, counts);
    return PLACED;
  }
  machine = best_machine(run, job, counts, WITH_COMING);
  if (machine != NULL) {
    reserve(run, job, machine, counts);
    return ROOM_COMES;
  }
  return preempt_somewhere(run, waiting, counts, FREE_NOW) ? ROOM_COMES : NO_ROOM;
}

static gboolean
is_waiting(const WsCore *core, const WsJob *job, guint task)
{
  return !ws_job_task_done(job, task) && ws_job_assignment(job, task) == NULL
         && !ws_assign_pending(core, job->index, task) && !is_asked(core, job->index, task);
}

static void
note_unplaced(const WsCore *core, WsJob *job, gboolean is_unplaced)
{
  if (!is_unplaced)
    job->unplaced_ms = 0;
  else if (job->unplaced_ms == 0)
    job->unplaced_ms = core->now;
}

/* The machines for all waiting tasks of a gang, or NULL if there isn't room for every one. */
static GArray *
gang_machines(Run *run, const WsJob *job, const GArray *tasks, guint *counts)
{
  g_autoptr(GArray) machines = g_array_new(FALSE, FALSE, sizeof(guint));
  for (guint i = 0; i < tasks->len; i++) {
    if (!within_team(run, job))
      return NULL;
    ws_amount_add(&run->use[job->team], &job->spec->need, 1);
    const WsMachine *machine = best_machine(run, job, counts, FREE_NOW);
    if (machine == NULL)
      return NULL;
    reserve(run, job, machine, counts);
    g_array_append_val(machines, machine->index);
  }
  return g_steal_pointer(&machines);
}

/* All of a gang's tasks or none: a few of them would only hold their places and wait. */
static guint
place_gang(Run *run, const WsWaiting *waiting, guint *counts)
{
  WsCore *core = run->core;
  WsJob *job = waiting->job;
  guint slots = MAX(core->book->machines->len, 1u);
  g_autoptr(GArray) tasks = g_array_new(FALSE, FALSE, sizeof(guint));
  g_autofree WsSlot *before = g_memdup2(run->slots, sizeof(WsSlot) * slots);
  gboolean is_broken = ws_job_is_broken_gang(job);
  for (guint task = 0; task < job->tasks && !is_broken; task++)
    if (is_waiting(core, job, task))
      g_array_append_val(tasks, task);
  g_autoptr(GArray) machines = gang_machines(run, job, tasks, counts);
  note_unplaced(core, job, machines == NULL);
  for (guint i = 0; machines != NULL && i < tasks->len; i++)
    carry_out(run, job, g_array_index(tasks, guint, i),
              ws_book_machine(core->book, g_array_index(machines, guint, i)));
  if (machines != NULL)
    return tasks->len;
  memcpy(run->slots, before, sizeof(WsSlot) * slots);
  for (guint i = 0; run->demand != NULL && i < tasks->len; i++)
    ws_demand_add(run->demand, job);
  return tasks->len;
}

/* Returns how many tasks of the job were looked at. */
static guint
place_job(Run *run, const WsWaiting *waiting, guint most)
{
  WsCore *core = run->core;
  WsJob *job = waiting->job;
  guint looked = 0, unplaced = 0;
  gboolean has_room = TRUE;
  g_autofree guint *counts = g_new0(guint, core->settings->zones->len);
  ws_job_count_zones(core->book, job, counts);
  if (job->spec->kind == WS_KIND_GANG)
    return MIN(place_gang(run, waiting, counts), most);
  for (guint task = 0; task < job->tasks && looked < most; task++) {
    const WsChunk *chunk = ws_job_chunk(job, task);
    if (chunk != NULL && chunk->done_count == WS_CHUNK_TASKS) {
      task += WS_CHUNK_TASKS - 1; /* the last one of a chunk that is done */
      continue;
    }
    if (!is_waiting(core, job, task))
      continue;
    if (!within_team(run, job)) {
      make_team_room(run, waiting);
      break;
    }
    looked++;
    ws_amount_add(&run->use[job->team], &job->spec->need, 1);
    Outcome outcome = has_room ? place_task(run, waiting, task, counts) : NO_ROOM;
    if (outcome == PLACED)
      continue;
    has_room = has_room && outcome != NO_ROOM;
    unplaced++;
    if (run->demand != NULL && outcome == NO_ROOM)
      ws_demand_add(run->demand, job);
  }
  note_unplaced(core, job, unplaced > 0);
  return looked;
}

static void
on_spilled(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)result;
  (void)data;
  core->plan->spilling = FALSE;
  core->plan_due = TRUE;
}

/* A job that its part can't take goes to the leader, who may place it anywhere. */
static void
spill(WsCore *core)
{
  if (core->plan->spilling)
    return;
  WsTxn *txn = ws_txn_new();
  ws_txn_if(txn, core->book, WS_KEY_EPOCH);
  for (guint i = 0; i < core->book->active->len && ws_txn_ops(txn) < 4; i++) {
    const WsJob *job = g_ptr_array_index(core->book->active, i);
    if (job->state != WS_JOB_ACTIVE || job->home != core->settings->self || job->unplaced_ms == 0
        || core->now - job->unplaced_ms < SPILL_MS)
      continue;
    g_autofree char *key = ws_key_job(job->id);
    ws_txn_if(txn, core->book, key);
    ws_txn_set(txn, key, ws_job_encode(job, WS_JOB_ACTIVE, ""));
    g_info("job %s doesn't fit here: it goes to the leader", job->id);
  }
  core->plan->spilling = ws_txn_ops(txn) > 0;
  if (core->plan->spilling)
    ws_txn_commit(core, txn, WS_FIRST_TASK, on_spilled, NULL);
  else
    ws_txn_free(txn);
}

static void
send_asks(Run *run)
{
  for (guint n = 0; n < run->core->settings->nodes->len; n++)
    if (run->asks[n] != NULL)
      ws_mesh_ask(run->core, n, run->asks[n]);
}

static void
plan(WsCore *core)
{
  Run run = { .core = core };
  run.slots = make_slots(core);
  run.use = g_memdup2(core->book->team_use, sizeof(WsAmount) * MAX(core->settings->teams->len, 1u));
  run.demand = ws_is_leader(core) ? ws_demand_new(core) : NULL;
  run.asks = g_new0(json_t *, core->settings->nodes->len);
  g_autoptr(GArray) jobs = ws_order_jobs(core);
  guint left = TASKS_A_PLAN;
  for (guint i = 0; i < jobs->len && left > 0; i++) {
    const WsWaiting *waiting = &g_array_index(jobs, WsWaiting, i);
    if (core->now >= waiting->job->retry_ms)
      left -= place_job(&run, waiting, left);
  }
  send_asks(&run);
  if (run.demand != NULL)
    ws_demand_end(run.demand);
  g_free(run.asks);
  g_free(run.use);
  g_free(run.slots);
}

void
ws_plan_tick(WsCore *core)
{
  if (!core->plan_due || core->now < core->plan->next_ms || !ws_entitled(core)
      || core->book->catalog == NULL || !ws_assign_idle(core) || !ws_store_ok(core))
    return;
  core->plan_due = FALSE;
  core->plan->next_ms = core->now + PAUSE_MS;
  plan(core);
  spill(core);
}

/* The part with most room that fits the whole job, or WS_NONE. */
guint
ws_plan_home(WsCore *core, const WsSubmission *spec)
{
  if (!ws_entitled(core) || core->book->catalog == NULL || spec->spread || spec->one_zone)
    return WS_NONE;
  g_autofree WsSlot *slots = make_slots(core);
  g_autofree gint64 *places = g_new0(gint64, core->settings->nodes->len);
  guint zone = ws_book_find_zone(core->book, spec->zone);
  for (guint i = 0; i < core->book->machines->len; i++) {
    const WsMachine *machine = ws_book_machine(core->book, i);
    if (!slots[i].usable || !ws_plan_allowed(core->book, spec, zone, machine))
      continue;
    for (WsAmount room = slots[i].free; ws_amount_fits(&spec->need, &room);
         ws_amount_add(&room, &spec->need, -1))
      if (++places[ws_book_owner(core->book, machine)] > WS_MAX_TASKS)
        break;
  }
  guint best = 0;
  for (guint n = 1; n < core->settings->nodes->len; n++)
    if (places[n] > places[best])
      best = n;
  return places[best] >= (gint64)spec->tasks ? best : WS_NONE;
}

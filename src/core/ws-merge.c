/* Merging: a machine that holds only a few services, whose work fits on others, is given back by
   the same path as an empty one. The move costs its people a moment, so it is done only where the
   image is there already, when nothing waits for room, and for one machine at a time. */
#include "core/ws-core-private.h"

/* Machines looked at in one tick: each is held against all others. */
#define MOST_LOOKS 4

static gboolean
is_quiet(const WsCore *core)
{
  for (guint i = 0; i < core->book->active->len; i++) {
    const WsJob *job = g_ptr_array_index(core->book->active, i);
    if (job->state == WS_JOB_ACTIVE && job->on_count + job->done_count < job->tasks)
      return FALSE;
  }
  for (guint i = 0; i < core->book->machines->len; i++) {
    const WsMachine *machine = ws_book_machine(core->book, i);
    if (machine->stored && (machine->marked || machine->marking))
      return FALSE;
  }
  return core->now - core->epoch_ms > 15000;
}

/* Whether the rules on zones let a task of the job move. */
static gboolean
may_move(const WsCore *core, const WsJob *job, guint from, guint to)
{
  guint zones = core->settings->zones->len;
  g_autofree guint *counts = g_new0(guint, zones);
  ws_job_count_zones(core->book, job, counts);
  if (counts[from] > 0)
    counts[from]--;
  return ws_zone_allowed(job, counts, zones, to);
}

static gboolean
is_target(const WsCore *core, const WsMachine *machine, const WsMachine *target, const WsJob *job)
{
  return target != machine && target->stored && !target->marked && target->notice_ms == 0
         && target->tasks->len > 0 && ws_machine_up(core, target)
         && ws_plan_allowed(core->book, job->spec, job->zone, target)
         && may_move(core, job, machine->zone, target->zone)
         && ws_machine_has_image(target, job->image);
}

/* Gives each task a place elsewhere, in thought. */
static gboolean
fits_elsewhere(const WsCore *core, const WsMachine *machine)
{
  const WsBook *book = core->book;
  g_autofree WsAmount *taken = g_new0(WsAmount, book->machines->len);
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    const WsJob *job = ws_book_job(book, ref->job);
    const WsAssignment *a = ws_job_assignment(job, ref->task);
    gboolean placed = FALSE;
    if (job->spec->kind != WS_KIND_SERVICE || a == NULL || a->state != WS_TASK_RUNNING)
      return FALSE;
    for (guint m = 0; m < book->machines->len && !placed; m++) {
      const WsMachine *target = ws_book_machine(book, m);
      if (!is_target(core, machine, target, job))
        continue;
      WsAmount room = ws_book_type(book, target->type)->room;
      ws_amount_add(&room, &target->used, -1);
      ws_amount_add(&room, &taken[m], -1);
      placed = ws_amount_fits(&job->spec->need, &room);
      if (placed)
        ws_amount_add(&taken[m], &job->spec->need, 1);
    }
    if (!placed)
      return FALSE;
  }
  return machine->tasks->len > 0;
}

static gboolean
is_sparse(const WsCore *core, const WsMachine *machine)
{
  const WsAmount *room = &ws_book_type(core->book, machine->type)->room;
  return machine->stored && machine->type != WS_NONE && !machine->marked && !machine->spot
         && ws_machine_up(core, machine) && 2 * machine->used.cpus <= room->cpus
         && 2 * machine->used.gpus <= room->gpus;
}

void
ws_merge_tick(WsCore *core)
{
  gint64 hold_ms = (gint64)(core->properties->hold_s * 1000.0);
  guint looked = 0;
  if (core->book->catalog == NULL || !is_quiet(core))
    return;
  for (guint i = 0; i < core->book->machines->len; i++) {
    WsMachine *machine = ws_book_machine(core->book, i);
    if (!machine->stored || machine->type == WS_NONE || !ws_owns(core, machine))
      continue;
    if (!is_sparse(core, machine)) {
      machine->sparse_ms = 0;
      continue;
    }
    if (machine->sparse_ms == 0)
      machine->sparse_ms = core->now;
    if (core->now - machine->sparse_ms < hold_ms || looked >= MOST_LOOKS)
      continue;
    looked++;
    if (!fits_elsewhere(core, machine) || !ws_giveback_allowed(core, machine)) {
      machine->sparse_ms = core->now; /* the others have their turn first */
      continue;
    }
    ws_giveback_mark(core, machine, "merge", FALSE);
    return;
  }
}

/* Placement: the state of one plan, and the collection of a job's waiting tasks. */
#include "scheduling/ws-placement.h"

#include "scheduling/ws-gang-placement.h"
#include "scheduling/ws-task-placement.h"
#include "commit/ws-commit.h"
#include "membership/ws-membership.h"

void
ws_placement_init(WsPlacement *placement, WsCore *core, const WsResources *min_need)
{
  gsize teams = MAX(core->settings->teams->len, 1u);
  *placement = (WsPlacement){ .core = core };
  ws_capacity_map_init(&placement->map, core, min_need);
  placement->team_use = g_memdup2(core->replica->team_use, sizeof(WsResources) * teams);
  placement->freeing_slots = g_hash_table_new(NULL, NULL);
  placement->demand = ws_is_leader(core) ? ws_demand_new(core) : NULL;
}

void
ws_placement_finish(WsPlacement *placement)
{
  g_clear_pointer(&placement->demand, ws_demand_finish);
  g_hash_table_unref(placement->freeing_slots);
  g_free(placement->team_use);
  ws_capacity_map_clear(&placement->map);
}

gboolean
ws_placement_team_allows(const WsPlacement *placement, const WsJob *job, guint tasks)
{
  WsResources need = { 0 };
  ws_resources_add(&need, &job->spec->need, tasks);
  return ws_team_has_capacity(placement->core->settings, job->team, &placement->team_use[job->team],
                              &need);
}

void
ws_placement_add_team_use(WsPlacement *placement, const WsJob *job, guint tasks)
{
  ws_resources_add(&placement->team_use[job->team], &job->spec->need, tasks);
}

void
ws_placement_record_unplaced(const WsCore *core, WsJob *job, gboolean is_unplaced)
{
  if (!is_unplaced)
    job->status.unplaced_since_ms = 0;
  else if (job->status.unplaced_since_ms == 0)
    job->status.unplaced_since_ms = core->now_ms;
}

static gboolean
is_waiting(const WsCore *core, const WsJob *job, guint task)
{
  return !ws_job_is_task_completed(job, task) && ws_job_assignment(job, task) == NULL
         && !ws_assignments_is_pending(core, job->index, task);
}

/* Adds waiting tasks of one chunk to @tasks, as many as the chunk's record has space for. */
static void
add_waiting_of_chunk(const WsCore *core, const WsJob *job, guint index, guint max_tasks,
                     GArray *tasks)
{
  guint first = index * WS_CHUNK_TASKS;
  guint end = MIN(first + WS_CHUNK_TASKS, job->tasks);
  const WsChunk *chunk = ws_job_chunk(job, first);
  guint free_entries = ws_chunk_free_slots(chunk, core->replica);
  if (chunk != NULL && chunk->completed_count + chunk->assignments->len == WS_CHUNK_TASKS)
    return;
  for (guint task = first; task < end && free_entries > 0 && tasks->len < max_tasks; task++) {
    if (ws_assignments_is_pending(core, job->index, task)) {
      free_entries--;
    } else if (is_waiting(core, job, task)) {
      g_array_append_val(tasks, task);
      free_entries--;
    }
  }
}

/* Returns the numbers (of guint) of up to @max_tasks waiting tasks of the job. */
static GArray *
collect_waiting_tasks(const WsCore *core, const WsJob *job, guint max_tasks)
{
  GArray *tasks = g_array_new(FALSE, FALSE, sizeof(guint));
  for (guint chunk = 0; chunk < ws_job_chunk_count(job) && tasks->len < max_tasks; chunk++)
    add_waiting_of_chunk(core, job, chunk, max_tasks, tasks);
  return tasks;
}

guint
ws_placement_place_job(WsPlacement *placement, WsJob *job, guint max_tasks)
{
  const WsCore *core = placement->core;
  gboolean is_gang = job->spec->kind == WS_KIND_GANG;
  if (job->completed_count + job->assigned_count >= job->tasks)
    return 0;
  g_autoptr(GArray) tasks = collect_waiting_tasks(core, job, is_gang ? job->tasks : max_tasks);
  if (tasks->len == 0)
    return 0;
  g_autofree guint *tasks_by_zone = g_new0(guint, core->settings->zones->len);
  ws_job_count_tasks_by_zone(core->replica, job, tasks_by_zone);
  if (is_gang)
    ws_gang_placement_place(placement, job, tasks, tasks_by_zone);
  else
    ws_task_placement_place(placement, job, tasks, tasks_by_zone);
  return MIN(tasks->len, max_tasks);
}

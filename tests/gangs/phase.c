/**
 * Tests of the phase of a gang, for random records and task states.
 */
#include "gangs/gangs.h"
#include "scheduling/ws-scheduling.h"
#include "storage/ws-gang-phase.h"

typedef struct {
  guint assigned;
  guint older_attempt; /* number of tasks of the previous attempt */
  guint stopping;
  guint states[WS_TASK_EXITED + 1];
} ExpectedTasks;

static WsJob *
generate_gang(GRand *rand, ExpectedTasks *expected)
{
  WsJob *job = g_new0(WsJob, 1);
  WsChunk *chunk = ws_chunk_copy(NULL);
  job->spec = g_new0(WsJobSpec, 1);
  job->spec->kind = WS_KIND_GANG;
  job->tasks = GANG_TASKS;
  job->chunks = g_ptr_array_new();
  g_ptr_array_add(job->chunks, chunk);
  chunk->last_attempt = 7;
  for (guint task = 0; task < GANG_TASKS; task++) {
    if (g_rand_int_range(rand, 0, 8) == 0)
      continue;
    WsAssignment assignment = { .task = task, .attempt = 7 };
    assignment.state = (WsTaskState)g_rand_int_range(rand, WS_TASK_ASSIGNED, WS_TASK_EXITED);
    assignment.attempt -= g_rand_int_range(rand, 0, 8) == 0 ? 1 : 0;
    assignment.is_stop_requested = g_rand_int_range(rand, 0, 8) == 0;
    expected->assigned++;
    expected->older_attempt += assignment.attempt < 7 ? 1 : 0;
    expected->stopping += assignment.is_stop_requested ? 1 : 0;
    expected->states[assignment.state]++;
    ws_chunk_add(chunk, &assignment);
  }
  job->assigned_count = expected->assigned;
  return job;
}

static void
free_gang(WsJob *job)
{
  ws_chunk_free(g_ptr_array_index(job->chunks, 0));
  g_ptr_array_unref(job->chunks);
  g_free(job->spec);
  g_free(job);
}

static WsGangPhase
expected_phase(const ExpectedTasks *expected)
{
  if (expected->assigned == 0)
    return WS_GANG_WAITING;
  if (expected->older_attempt > 0)
    return WS_GANG_ENDING;
  if (expected->stopping + expected->states[WS_TASK_SAVING] > 0)
    return WS_GANG_STOPPING;
  if (expected->states[WS_TASK_RUNNING] > 0)
    return WS_GANG_RUNNING;
  return expected->states[WS_TASK_GATHERING] == GANG_TASKS ? WS_GANG_GATHERING : WS_GANG_LAUNCHED;
}

void
test_phase_follows_from_task_states(void)
{
  for (guint32 seed = 1; seed <= 300; seed++) {
    g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
    ExpectedTasks expected = { 0 };
    WsJob *job = generate_gang(rand, &expected);
    g_test_message("seed %u", seed);
    g_assert_cmpint(ws_gang_phase(job), ==, expected_phase(&expected));
    g_assert_true(ws_gang_is_ending(job) == (expected.older_attempt > 0));
    free_gang(job);
  }
}

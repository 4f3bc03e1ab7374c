/* Unit tests of the parts of src/commit that need no core: the rule that decides when a job ends,
   and the quarantine of jobs. */
#include "commit/ws-job-end.h"
#include "commit/ws-job-quarantine.h"

typedef struct {
  WsJobState state;
  WsKind kind;
  WsJobProgress progress;
  gboolean has_ended;
} CompletionCase;

static void
test_job_ends_by_state_kind_and_progress(void)
{
  static const CompletionCase CASES[] = {
    { WS_JOB_ACTIVE, WS_KIND_ARRAY, { 3, 0, TRUE }, TRUE },
    { WS_JOB_ACTIVE, WS_KIND_ARRAY, { 2, 0, TRUE }, FALSE },
    { WS_JOB_ACTIVE, WS_KIND_ARRAY, { 0, 0, FALSE }, FALSE },
    { WS_JOB_ACTIVE, WS_KIND_GANG, { 1, 2, TRUE }, TRUE },
    { WS_JOB_ACTIVE, WS_KIND_GANG, { 0, 0, FALSE }, FALSE },
    { WS_JOB_CANCELLED, WS_KIND_ARRAY, { 0, 0, FALSE }, TRUE },
    { WS_JOB_CANCELLED, WS_KIND_ARRAY, { 3, 1, TRUE }, FALSE },
    { WS_JOB_CANCELLED, WS_KIND_GANG, { 1, 1, TRUE }, FALSE },
    { WS_JOB_CANCELLED, WS_KIND_ARRAY, { 0, -1, FALSE }, FALSE },
  };
  for (gsize i = 0; i < G_N_ELEMENTS(CASES); i++) {
    WsJobSpec spec = { .kind = CASES[i].kind };
    WsJob job = { .state = CASES[i].state, .tasks = 3, .spec = &spec };
    g_assert_cmpint(ws_job_ends_after(&job, &CASES[i].progress), ==, CASES[i].has_ended);
  }
}

/* Only a job that is alone in a rejected transaction is quarantined. If a transaction with several
   jobs is rejected, the job that caused the rejection is unknown. */
static void
test_only_job_rejected_alone_is_quarantined(void)
{
  g_autoptr(WsJobQuarantine) quarantine = ws_job_quarantine_new();
  g_autoptr(GArray) jobs = g_array_new(FALSE, FALSE, sizeof(guint));
  guint first = 4, second = 7;
  g_assert_false(ws_job_quarantine_restricts_to_one_job(quarantine, 1000));
  g_array_append_val(jobs, first);
  g_array_append_val(jobs, second);
  ws_job_quarantine_record_rejection(quarantine, 1000, jobs);
  g_assert_true(ws_job_quarantine_restricts_to_one_job(quarantine, 5999));
  g_assert_false(ws_job_quarantine_restricts_to_one_job(quarantine, 6000));
  g_assert_false(ws_job_quarantine_contains(quarantine, 1000, first));
  g_array_remove_index(jobs, 1);
  ws_job_quarantine_record_rejection(quarantine, 2000, jobs);
  g_assert_true(ws_job_quarantine_contains(quarantine, 11999, first));
  g_assert_false(ws_job_quarantine_contains(quarantine, 12000, first));
  g_assert_false(ws_job_quarantine_contains(quarantine, 2000, second));
}

int
main(int argc, char **argv)
{
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/commit/completion", test_job_ends_by_state_kind_and_progress);
  g_test_add_func("/commit/quarantine", test_only_job_rejected_alone_is_quarantined);
  return g_test_run();
}

/* Assignments and releases on their way to the state service.

   A task is assigned there before it is launched, and its team's use is counted in the same
   transaction; what is to be released is kept by ws-releases.c. The leader writes for everybody,
   one transaction at a time; the other nodes hand theirs in. */
#include "commit/ws-job-quarantine.h"
#include "commit/ws-release-order.h"
#include "commit/ws-releases.h"
#include "commit/ws-commit.h"

#include "store/ws-store.h"
#include "membership/ws-membership.h"

#define BATCHING_MS 50
#define CONFLICT_PAUSE_MS 60
#define FAILURE_PAUSE_MS 400
/* What was handed in and came to nothing for so long is handed in again. */
#define FORWARDED_TIMEOUT_MS 1500
/* Changes that the budget must allow before a transaction is drafted: meanwhile others gather. */
#define MIN_TXN_BUDGET 4

typedef struct {
  WsProposal proposal;
  gint64 until_ms;
} Forwarded;

struct _WsAssignments {
  GArray *proposals;    /* of WsProposal, the most urgent first */
  GHashTable *proposed; /* task: among the proposals, in the transaction, or handed in */
  GArray *writing;      /* of WsProposal: in the transaction on its way */
  GArray *forwarded;    /* of Forwarded */
  GArray *ending;       /* of guint: jobs that the transaction ends */
  GArray *jobs;         /* of guint: those in it */
  WsJobQuarantine *refused;
  gboolean busy;
  gint64 next_ms;
};

WsAssignments *
ws_assignments_new(void)
{
  WsAssignments *assignments = g_new0(WsAssignments, 1);
  assignments->proposals = g_array_new(FALSE, FALSE, sizeof(WsProposal));
  assignments->proposed = g_hash_table_new(NULL, NULL);
  assignments->writing = g_array_new(FALSE, FALSE, sizeof(WsProposal));
  assignments->forwarded = g_array_new(FALSE, FALSE, sizeof(Forwarded));
  assignments->ending = g_array_new(FALSE, FALSE, sizeof(guint));
  assignments->jobs = g_array_new(FALSE, FALSE, sizeof(guint));
  assignments->refused = ws_job_quarantine_new();
  return assignments;
}

void
ws_assignments_free(WsAssignments *assignments)
{
  g_array_unref(assignments->proposals);
  g_hash_table_unref(assignments->proposed);
  g_array_unref(assignments->writing);
  g_array_unref(assignments->forwarded);
  g_array_unref(assignments->ending);
  g_array_unref(assignments->jobs);
  ws_job_quarantine_free(assignments->refused);
  g_free(assignments);
}

gboolean
ws_assignments_is_pending(const WsCore *core, WsJobIndex job, guint task)
{
  return g_hash_table_contains(core->assignments->proposed, ws_task_key(job, task));
}

void
ws_assignments_propose(WsCore *core, WsJobIndex job, guint task, WsMachineIndex machine)
{
  WsProposal proposal = { job, task, machine, core->now };
  if (g_hash_table_add(core->assignments->proposed, ws_task_key(job, task)))
    g_array_append_val(core->assignments->proposals, proposal);
}

/* Nothing is planned while what was planned before is being written. */
gboolean
ws_assignments_are_idle(const WsCore *core)
{
  return !core->assignments->busy && core->assignments->proposals->len == 0;
}

gint64
ws_assignments_oldest_age_ms(const WsCore *core)
{
  gint64 oldest_ms = core->now;
  for (guint i = 0; i < core->assignments->proposals->len; i++)
    oldest_ms
        = MIN(oldest_ms, g_array_index(core->assignments->proposals, WsProposal, i).planned_ms);
  return core->now - oldest_ms;
}

gboolean
ws_assignments_have_backlog(const WsCore *core)
{
  return core->assignments->proposals->len > 0 || ws_releases_count(core) > 0;
}

void
ws_assignments_foreach_forwarded(const WsCore *core, WsProposalFunc take, gpointer data)
{
  for (guint i = 0; i < core->assignments->forwarded->len; i++) {
    const WsProposal *proposal
        = &g_array_index(core->assignments->forwarded, Forwarded, i).proposal;
    take(ws_replica_job(core->replica, proposal->job), proposal->machine, data);
  }
}

static void
forget_proposals(WsCore *core)
{
  WsAssignments *assignments = core->assignments;
  g_array_set_size(assignments->proposals, 0);
  g_array_set_size(assignments->forwarded, 0);
  g_hash_table_remove_all(assignments->proposed);
  for (guint i = 0; i < assignments->writing->len; i++) {
    const WsProposal *proposal = &g_array_index(assignments->writing, WsProposal, i);
    g_hash_table_add(assignments->proposed, ws_task_key(proposal->job, proposal->task));
  }
}

void
ws_assignments_begin_epoch(WsCore *core)
{
  forget_proposals(core);
  ws_releases_begin_epoch(core);
}

/* Handing in. */

static void
forward_proposals(WsCore *core)
{
  WsAssignments *assignments = core->assignments;
  for (guint i = 0; i < assignments->proposals->len; i++) {
    const WsProposal *proposal = &g_array_index(assignments->proposals, WsProposal, i);
    Forwarded forwarded = { *proposal, core->now + FORWARDED_TIMEOUT_MS };
    g_array_append_val(assignments->forwarded, forwarded);
    ws_peer_request_assignment(core, ws_replica_job(core->replica, proposal->job), proposal->task,
                               ws_replica_machine(core->replica, proposal->machine));
  }
  g_array_set_size(assignments->proposals, 0);
}

static void
forget_forwarded(WsCore *core)
{
  GArray *forwarded = core->assignments->forwarded;
  for (guint i = forwarded->len; i-- > 0;) {
    const Forwarded *at = &g_array_index(forwarded, Forwarded, i);
    const WsJob *job = ws_replica_job(core->replica, at->proposal.job);
    if (core->now <= at->until_ms && job->spec != NULL
        && ws_job_assignment(job, at->proposal.task) == NULL)
      continue;
    g_hash_table_remove(core->assignments->proposed,
                        ws_task_key(at->proposal.job, at->proposal.task));
    g_array_remove_index_fast(forwarded, i);
  }
}

/* Writing. */

static void
tell_ended(WsCore *core)
{
  for (guint i = 0; i < core->assignments->ending->len; i++) {
    const WsJob *job
        = ws_replica_job(core->replica, g_array_index(core->assignments->ending, guint, i));
    g_info("job %s is %s, %.0f s after it was accepted", job->id,
           job->state == WS_JOB_DONE ? "done" : "cancelled and gone",
           (double)(core->wall - job->accepted_ms) / 1000.0);
  }
}

static void
on_written(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  WsAssignments *assignments = core->assignments;
  assignments->busy = FALSE;
  assignments->next_ms = core->now + BATCHING_MS;
  core->replan_is_needed = TRUE;
  for (guint i = 0; i < assignments->writing->len; i++) {
    const WsProposal *proposal = &g_array_index(assignments->writing, WsProposal, i);
    g_hash_table_remove(assignments->proposed, ws_task_key(proposal->job, proposal->task));
  }
  if (result == WS_TXN_INVALID)
    ws_job_quarantine_add(assignments->refused, core->now, assignments->jobs);
  if (result == WS_TXN_COMMITTED) {
    tell_ended(core);
  } else {
    /* Whoever was first is seen through the watch, and what is still wanted then is tried again.
       After no answer the transaction may yet be carried out: its conditions make that harmless. */
    assignments->next_ms
        = core->now + (result == WS_TXN_CONFLICT ? CONFLICT_PAUSE_MS : FAILURE_PAUSE_MS);
    for (guint i = 0; i < assignments->writing->len; i++) {
      const WsProposal *proposal = &g_array_index(assignments->writing, WsProposal, i);
      ws_assignments_propose(core, proposal->job, proposal->task, proposal->machine);
    }
  }
  g_array_set_size(assignments->writing, 0);
}

static void
batch_releases(WsCore *core, WsBatch *batch, const GArray *endings, gboolean only_ends_of_jobs)
{
  for (guint i = 0; i < endings->len; i++) {
    const WsOrderedRelease *ending = &g_array_index(endings, WsOrderedRelease, i);
    const WsRelease *release = &ending->release;
    if (only_ends_of_jobs && !ending->ends_job)
      break;
    if (ws_job_quarantine_has(core->assignments->refused, core->now, release->job))
      continue;
    if (ws_batch_release(batch, release) == WS_BATCH_REJECTED)
      ws_releases_remove(core, release);
  }
}

static gboolean
is_critical(const WsCore *core, const WsProposal *proposal)
{
  const WsJob *job = ws_replica_job(core->replica, proposal->job);
  return job->spec != NULL && job->spec->priority == WS_CRITICAL;
}

static WsBatchResult
batch_proposal(WsCore *core, WsBatch *batch, const WsProposal *proposal, gboolean only_critical)
{
  if (ws_job_quarantine_has(core->assignments->refused, core->now, proposal->job))
    return WS_BATCH_REJECTED;
  if (only_critical && !is_critical(core, proposal))
    return WS_BATCH_FULL;
  return ws_batch_assign(batch, proposal);
}

static void
batch_proposals(WsCore *core, WsBatch *batch, gboolean only_critical)
{
  WsAssignments *assignments = core->assignments;
  g_autoptr(GArray) proposals = assignments->proposals;
  assignments->proposals = g_array_new(FALSE, FALSE, sizeof(WsProposal));
  for (guint i = 0; i < proposals->len; i++) {
    const WsProposal *proposal = &g_array_index(proposals, WsProposal, i);
    WsBatchResult result = batch_proposal(core, batch, proposal, only_critical);
    if (result == WS_BATCH_ADDED)
      g_array_append_vals(assignments->writing, proposal, 1);
    else if (result == WS_BATCH_FULL)
      g_array_append_vals(assignments->proposals, proposal, 1);
    else
      g_hash_table_remove(assignments->proposed, ws_task_key(proposal->job, proposal->task));
  }
}

static void
write_all(WsCore *core)
{
  WsAssignments *assignments = core->assignments;
  if (assignments->busy || core->now < assignments->next_ms || core->replica->catalog == NULL
      || !ws_has_caught_up_with_epoch(core) || !ws_assignments_have_backlog(core)
      || !ws_store_has_write_budget(core, MIN_TXN_BUDGET))
    return;
  g_autoptr(WsBatch) batch = ws_batch_new(core);
  g_array_set_size(assignments->ending, 0);
  g_array_set_size(assignments->jobs, 0);
  if (ws_job_quarantine_is_isolating(assignments->refused, core->now))
    ws_batch_restrict_to_one_job(batch);
  /* Somebody waits for a critical task; when a cut heals or a wave has passed, the ends of hundreds
     of others would fill one transaction after another before it. */
  g_autoptr(GArray) endings = ws_releases_in_order(core);
  batch_proposals(core, batch, TRUE);
  ws_batch_set_max_operations(batch, core->settings->state_txn_ops / 2);
  batch_releases(core, batch, endings, TRUE);
  ws_batch_set_max_operations(batch, core->settings->state_txn_ops * 5 / 6);
  batch_proposals(core, batch, FALSE);
  ws_batch_set_max_operations(batch, core->settings->state_txn_ops);
  batch_releases(core, batch, endings, FALSE);
  batch_proposals(core, batch, FALSE);
  if (!ws_batch_is_empty(batch)) {
    assignments->busy = TRUE;
    ws_batch_collect_jobs(batch, assignments->jobs);
    ws_txn_commit(core, ws_batch_build_txn(batch, assignments->ending), WS_REQUEST_TASK, on_written,
                  NULL);
  }
}

void
ws_assignments_pump(WsCore *core)
{
  if (!ws_is_active_member(core)) {
    forget_proposals(core);
    ws_releases_reset_forwarding(core);
    return;
  }
  if (core->now >= core->assignments->next_ms && !ws_is_leader(core)) {
    core->assignments->next_ms = core->now + BATCHING_MS;
    forget_forwarded(core);
    forward_proposals(core);
    ws_releases_forward(core);
  }
  if (ws_is_leader(core))
    write_all(core);
}

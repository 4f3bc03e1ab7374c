/* Proposed assignments, and the transaction that writes them together with pending releases. The
   leader writes for all nodes, one transaction at a time; the others forward theirs to it. */
#include "commit/ws-commit.h"

#include "commit/ws-job-quarantine.h"
#include "commit/ws-release-order.h"
#include "commit/ws-releases-private.h"
#include "commit/ws-task-key.h"

#define BATCHING_MS 50
#define CONFLICT_PAUSE_MS 60
#define FAILURE_PAUSE_MS 400
/* An assignment that was forwarded and is not written after this time may be proposed again. */
#define FORWARDED_TIMEOUT_MS 1500
/* A batch waits until the write budget allows so many operations; meanwhile it grows. */
#define MIN_TXN_BUDGET 4

typedef struct {
  WsProposal proposal;
  gint64 until_ms;
} ForwardedProposal;

/* Which of the pending releases a step of the batch takes. */
typedef enum { RELEASES_ENDING_JOBS, ALL_RELEASES } ReleaseFilter;

/* Which of the proposals a step of the batch takes. */
typedef enum { CRITICAL_PROPOSALS, ALL_PROPOSALS } ProposalFilter;

struct _WsAssignments {
  GArray *proposals;   /* of WsProposal, the most urgent first */
  GHashTable *pending; /* set of tasks: proposed, in the transaction, or forwarded */
  GArray *writing;     /* of WsProposal: in the transaction in flight */
  GArray *forwarded;   /* of ForwardedProposal */
  GArray *ended_jobs;  /* of guint: jobs that the transaction ends */
  GArray *jobs;        /* of guint: all jobs in the transaction */
  WsJobQuarantine *quarantine;
  gboolean is_writing;
  gint64 next_ms; /* of the next transaction, or the next forwarding */
};

WsAssignments *
ws_assignments_new(void)
{
  WsAssignments *assignments = g_new0(WsAssignments, 1);
  assignments->proposals = g_array_new(FALSE, FALSE, sizeof(WsProposal));
  assignments->pending = g_hash_table_new(NULL, NULL);
  assignments->writing = g_array_new(FALSE, FALSE, sizeof(WsProposal));
  assignments->forwarded = g_array_new(FALSE, FALSE, sizeof(ForwardedProposal));
  assignments->ended_jobs = g_array_new(FALSE, FALSE, sizeof(guint));
  assignments->jobs = g_array_new(FALSE, FALSE, sizeof(guint));
  assignments->quarantine = ws_job_quarantine_new();
  return assignments;
}

void
ws_assignments_free(WsAssignments *assignments)
{
  g_array_unref(assignments->proposals);
  g_hash_table_unref(assignments->pending);
  g_array_unref(assignments->writing);
  g_array_unref(assignments->forwarded);
  g_array_unref(assignments->ended_jobs);
  g_array_unref(assignments->jobs);
  ws_job_quarantine_free(assignments->quarantine);
  g_free(assignments);
}

gboolean
ws_assignments_is_pending(const WsCore *core, WsJobIndex job, guint task)
{
  return g_hash_table_contains(core->assignments->pending, ws_task_key(job, task));
}

void
ws_assignments_propose(WsCore *core, WsJobIndex job, guint task, WsMachineIndex machine)
{
  WsProposal proposal = { job, task, machine, core->now };
  if (g_hash_table_add(core->assignments->pending, ws_task_key(job, task)))
    g_array_append_val(core->assignments->proposals, proposal);
}

gboolean
ws_assignments_are_idle(const WsCore *core)
{
  return !core->assignments->is_writing && core->assignments->proposals->len == 0;
}

gint64
ws_assignments_oldest_age_ms(const WsCore *core)
{
  gint64 oldest_ms = core->now;
  for (guint i = 0; i < core->assignments->proposals->len; i++)
    oldest_ms
        = MIN(oldest_ms, g_array_index(core->assignments->proposals, WsProposal, i).proposed_ms);
  return core->now - oldest_ms;
}

gboolean
ws_assignments_have_backlog(const WsCore *core)
{
  return core->assignments->proposals->len > 0 || ws_releases_count(core) > 0;
}

void
ws_assignments_foreach_forwarded(const WsCore *core, WsProposalFunc visit, gpointer data)
{
  for (guint i = 0; i < core->assignments->forwarded->len; i++) {
    const WsProposal *proposal
        = &g_array_index(core->assignments->forwarded, ForwardedProposal, i).proposal;
    visit(ws_replica_job(core->replica, proposal->job), proposal->machine, data);
  }
}

static void
forget_proposals(WsCore *core)
{
  WsAssignments *assignments = core->assignments;
  g_array_set_size(assignments->proposals, 0);
  g_array_set_size(assignments->forwarded, 0);
  g_hash_table_remove_all(assignments->pending);
  for (guint i = 0; i < assignments->writing->len; i++) {
    const WsProposal *proposal = &g_array_index(assignments->writing, WsProposal, i);
    g_hash_table_add(assignments->pending, ws_task_key(proposal->job, proposal->task));
  }
}

void
ws_assignments_begin_epoch(WsCore *core)
{
  forget_proposals(core);
  ws_releases_begin_epoch(core);
}

/* Forwarding, by all nodes but the leader. */

static void
forward_proposals(WsCore *core)
{
  WsAssignments *assignments = core->assignments;
  for (guint i = 0; i < assignments->proposals->len; i++) {
    const WsProposal *proposal = &g_array_index(assignments->proposals, WsProposal, i);
    ForwardedProposal forwarded = { *proposal, core->now + FORWARDED_TIMEOUT_MS };
    g_array_append_val(assignments->forwarded, forwarded);
    ws_peer_request_assignment(core, ws_replica_job(core->replica, proposal->job), proposal->task,
                               ws_replica_machine(core->replica, proposal->machine));
  }
  g_array_set_size(assignments->proposals, 0);
}

static void
expire_forwarded(WsCore *core)
{
  GArray *forwarded = core->assignments->forwarded;
  for (guint i = forwarded->len; i-- > 0;) {
    const ForwardedProposal *item = &g_array_index(forwarded, ForwardedProposal, i);
    const WsJob *job = ws_replica_job(core->replica, item->proposal.job);
    if (core->now <= item->until_ms && job->spec != NULL
        && ws_job_assignment(job, item->proposal.task) == NULL)
      continue;
    g_hash_table_remove(core->assignments->pending,
                        ws_task_key(item->proposal.job, item->proposal.task));
    g_array_remove_index_fast(forwarded, i);
  }
}

/* Writing, by the leader. */

static void
log_ended_jobs(WsCore *core)
{
  for (guint i = 0; i < core->assignments->ended_jobs->len; i++) {
    const WsJob *job
        = ws_replica_job(core->replica, g_array_index(core->assignments->ended_jobs, guint, i));
    g_info("job %s is %s, %.0f s after it was accepted", job->id,
           job->state == WS_JOB_DONE ? "done" : "cancelled, with no task left",
           (double)(core->wall - job->accepted_ms) / 1000.0);
  }
}

/* Proposes the assignments of the failed transaction again: after a conflict, those that are still
   valid when the watch has shown the other write are written. A transaction whose outcome is
   indeterminate may still be carried out; its conditions make that harmless. */
static void
propose_again(WsCore *core, WsTxnResult result)
{
  WsAssignments *assignments = core->assignments;
  assignments->next_ms
      = core->now + (result == WS_TXN_CONFLICT ? CONFLICT_PAUSE_MS : FAILURE_PAUSE_MS);
  for (guint i = 0; i < assignments->writing->len; i++) {
    const WsProposal *proposal = &g_array_index(assignments->writing, WsProposal, i);
    ws_assignments_propose(core, proposal->job, proposal->task, proposal->machine);
  }
}

static void
on_written(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  WsAssignments *assignments = core->assignments;
  assignments->is_writing = FALSE;
  assignments->next_ms = core->now + BATCHING_MS;
  core->replan_is_needed = TRUE;
  for (guint i = 0; i < assignments->writing->len; i++) {
    const WsProposal *proposal = &g_array_index(assignments->writing, WsProposal, i);
    g_hash_table_remove(assignments->pending, ws_task_key(proposal->job, proposal->task));
  }
  if (result == WS_TXN_INVALID)
    ws_job_quarantine_record_rejection(assignments->quarantine, core->now, assignments->jobs);
  if (result == WS_TXN_COMMITTED)
    log_ended_jobs(core);
  else
    propose_again(core, result);
  g_array_set_size(assignments->writing, 0);
}

static void
batch_releases(WsCore *core, WsBatch *batch, const GArray *releases, ReleaseFilter filter)
{
  for (guint i = 0; i < releases->len; i++) {
    const WsOrderedRelease *ordered = &g_array_index(releases, WsOrderedRelease, i);
    const WsRelease *release = &ordered->release;
    if (filter == RELEASES_ENDING_JOBS && !ordered->ends_job)
      break;
    if (ws_job_quarantine_contains(core->assignments->quarantine, core->now, release->job))
      continue;
    if (ws_batch_add_release(batch, release) == WS_BATCH_REJECTED)
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
batch_proposal(WsCore *core, WsBatch *batch, const WsProposal *proposal, ProposalFilter filter)
{
  if (ws_job_quarantine_contains(core->assignments->quarantine, core->now, proposal->job))
    return WS_BATCH_REJECTED;
  if (filter == CRITICAL_PROPOSALS && !is_critical(core, proposal))
    return WS_BATCH_FULL;
  return ws_batch_add_assignment(batch, proposal);
}

static void
batch_proposals(WsCore *core, WsBatch *batch, ProposalFilter filter)
{
  WsAssignments *assignments = core->assignments;
  g_autoptr(GArray) proposals = assignments->proposals;
  assignments->proposals = g_array_new(FALSE, FALSE, sizeof(WsProposal));
  for (guint i = 0; i < proposals->len; i++) {
    const WsProposal *proposal = &g_array_index(proposals, WsProposal, i);
    WsBatchResult result = batch_proposal(core, batch, proposal, filter);
    if (result == WS_BATCH_ADDED)
      g_array_append_vals(assignments->writing, proposal, 1);
    else if (result == WS_BATCH_FULL)
      g_array_append_vals(assignments->proposals, proposal, 1);
    else
      g_hash_table_remove(assignments->pending, ws_task_key(proposal->job, proposal->task));
  }
}

/* Critical assignments come first: when a partition heals, the releases of hundreds of other tasks
   would otherwise fill one transaction after another before them. Releases that end jobs may fill
   the transaction up to a half, and other assignments up to five sixths, so that each kind makes
   progress in every transaction. */
static void
fill_batch(WsCore *core, WsBatch *batch)
{
  guint max_operations = core->settings->kv_max_txn_ops;
  guint max_with_ending_releases = max_operations / 2;
  guint max_with_proposals = max_operations * 5 / 6;
  g_autoptr(GArray) releases = ws_releases_in_commit_order(core);
  if (ws_job_quarantine_is_isolating(core->assignments->quarantine, core->now))
    ws_batch_restrict_to_one_job(batch);
  batch_proposals(core, batch, CRITICAL_PROPOSALS);
  ws_batch_set_max_operations(batch, max_with_ending_releases);
  batch_releases(core, batch, releases, RELEASES_ENDING_JOBS);
  ws_batch_set_max_operations(batch, max_with_proposals);
  batch_proposals(core, batch, ALL_PROPOSALS);
  ws_batch_set_max_operations(batch, max_operations);
  batch_releases(core, batch, releases, ALL_RELEASES);
  batch_proposals(core, batch, ALL_PROPOSALS);
}

static gboolean
may_write(WsCore *core)
{
  return !core->assignments->is_writing && core->now >= core->assignments->next_ms
         && core->replica->catalog != NULL && ws_has_caught_up_with_epoch(core)
         && ws_assignments_have_backlog(core) && ws_store_has_write_budget(core, MIN_TXN_BUDGET);
}

static void
write_batch(WsCore *core)
{
  WsAssignments *assignments = core->assignments;
  if (!may_write(core))
    return;
  g_autoptr(WsBatch) batch = ws_batch_new(core);
  fill_batch(core, batch);
  g_array_set_size(assignments->ended_jobs, 0);
  g_array_set_size(assignments->jobs, 0);
  if (ws_batch_is_empty(batch))
    return;
  assignments->is_writing = TRUE;
  ws_batch_collect_jobs(batch, assignments->jobs);
  WsTxn *txn = ws_batch_build_txn(batch, assignments->ended_jobs);
  ws_txn_commit(core, txn, WS_REQUEST_SCHEDULING, on_written, NULL);
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
    expire_forwarded(core);
    forward_proposals(core);
    ws_releases_forward(core);
  }
  if (ws_is_leader(core))
    write_batch(core);
}

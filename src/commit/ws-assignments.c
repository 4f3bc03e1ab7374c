/* Queues proposed assignments and commits them, together with pending releases, in transactions.
   Only the leader commits, one transaction at a time. The other nodes forward their proposals and
   releases to the leader. */
#include "commit/ws-commit.h"

#include "commit/ws-job-quarantine.h"
#include "commit/ws-release-order.h"
#include "commit/ws-releases-private.h"
#include "commit/ws-task-key.h"

/* Delay between two transactions, or two forwardings, in which further changes are collected. */
#define BATCH_INTERVAL_MS 50
/* Retry delays after a transaction that conflicted, and after one that failed otherwise. */
#define CONFLICT_RETRY_DELAY_MS 60
#define FAILURE_RETRY_DELAY_MS 400
/* If a forwarded assignment is not committed within this time, the task can be proposed again. */
#define FORWARDED_TIMEOUT_MS 1500
/* Operations that the write budget must allow before a transaction starts. Until then, more changes
   accumulate, so that fewer and larger transactions are written. */
#define MIN_WRITE_BUDGET_OPERATIONS 4

typedef struct {
  WsProposal proposal;
  gint64 expires_ms;
} ForwardedProposal;

/* Which pending releases a step of filling the batch considers. */
typedef enum { RELEASES_ENDING_JOBS, ALL_RELEASES } ReleaseFilter;

/* Which proposals a step of filling the batch considers. */
typedef enum { CRITICAL_PROPOSALS, ALL_PROPOSALS } ProposalFilter;

struct _WsAssignments {
  GArray *proposals;   /* of WsProposal, most urgent first */
  GHashTable *pending; /* set of task keys: proposed, in the transaction in flight, or forwarded */
  GArray *in_flight;   /* of WsProposal: the assignments in the transaction in flight */
  GArray *forwarded;   /* of ForwardedProposal */
  GArray *ended_jobs;  /* of guint: jobs that the transaction in flight ends */
  GArray *jobs;        /* of guint: all jobs in the transaction in flight */
  WsJobQuarantine *quarantine;
  gboolean is_txn_in_flight;
  gint64 next_batch_ms; /* earliest time of the next transaction or, on other nodes, forwarding */
};

WsAssignments *
ws_assignments_new(void)
{
  WsAssignments *assignments = g_new0(WsAssignments, 1);
  assignments->proposals = g_array_new(FALSE, FALSE, sizeof(WsProposal));
  assignments->pending = g_hash_table_new(NULL, NULL);
  assignments->in_flight = g_array_new(FALSE, FALSE, sizeof(WsProposal));
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
  g_array_unref(assignments->in_flight);
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
  WsProposal proposal = { job, task, machine, core->now_ms };
  if (g_hash_table_add(core->assignments->pending, ws_task_key(job, task)))
    g_array_append_val(core->assignments->proposals, proposal);
}

gboolean
ws_assignments_are_idle(const WsCore *core)
{
  return !core->assignments->is_txn_in_flight && core->assignments->proposals->len == 0;
}

gint64
ws_assignments_oldest_age_ms(const WsCore *core)
{
  gint64 oldest_ms = core->now_ms;
  for (guint i = 0; i < core->assignments->proposals->len; i++)
    oldest_ms
        = MIN(oldest_ms, g_array_index(core->assignments->proposals, WsProposal, i).proposed_ms);
  return core->now_ms - oldest_ms;
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
drop_proposals(WsCore *core)
{
  WsAssignments *assignments = core->assignments;
  g_array_set_size(assignments->proposals, 0);
  g_array_set_size(assignments->forwarded, 0);
  g_hash_table_remove_all(assignments->pending);
  for (guint i = 0; i < assignments->in_flight->len; i++) {
    const WsProposal *proposal = &g_array_index(assignments->in_flight, WsProposal, i);
    g_hash_table_add(assignments->pending, ws_task_key(proposal->job, proposal->task));
  }
}

void
ws_assignments_begin_epoch(WsCore *core)
{
  drop_proposals(core);
  ws_releases_begin_epoch(core);
}

/* Forwarding: on all nodes except the leader. */

static void
forward_proposals(WsCore *core)
{
  WsAssignments *assignments = core->assignments;
  for (guint i = 0; i < assignments->proposals->len; i++) {
    const WsProposal *proposal = &g_array_index(assignments->proposals, WsProposal, i);
    ForwardedProposal forwarded = { *proposal, core->now_ms + FORWARDED_TIMEOUT_MS };
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
    if (core->now_ms <= item->expires_ms && job->spec != NULL
        && ws_job_assignment(job, item->proposal.task) == NULL)
      continue;
    g_hash_table_remove(core->assignments->pending,
                        ws_task_key(item->proposal.job, item->proposal.task));
    g_array_remove_index_fast(forwarded, i);
  }
}

/* Committing: on the leader only. */

static void
log_ended_jobs(WsCore *core)
{
  for (guint i = 0; i < core->assignments->ended_jobs->len; i++) {
    const WsJob *job
        = ws_replica_job(core->replica, g_array_index(core->assignments->ended_jobs, guint, i));
    g_info("job %s %s, %.0f s after acceptance", job->id,
           job->state == WS_JOB_DONE ? "completed" : "cancelled, all tasks released",
           (double)(core->wall_ms - job->accepted_ms) / 1000.0);
  }
}

/* Queues the assignments of a failed transaction again. They are checked anew before the next
   transaction; after a conflict, the retry delay gives the watch time to deliver the conflicting
   write. A transaction with an indeterminate outcome may still be applied later. This is safe:
   the new transaction depends on the same records, so whichever is applied second conflicts. */
static void
requeue_failed_assignments(WsCore *core, WsTxnResult result)
{
  WsAssignments *assignments = core->assignments;
  assignments->next_batch_ms
      = core->now_ms
        + (result == WS_TXN_CONFLICT ? CONFLICT_RETRY_DELAY_MS : FAILURE_RETRY_DELAY_MS);
  for (guint i = 0; i < assignments->in_flight->len; i++) {
    const WsProposal *proposal = &g_array_index(assignments->in_flight, WsProposal, i);
    ws_assignments_propose(core, proposal->job, proposal->task, proposal->machine);
  }
}

static void
on_txn_finished(WsCore *core, WsTxnResult result, gpointer data)
{
  (void)data;
  WsAssignments *assignments = core->assignments;
  assignments->is_txn_in_flight = FALSE;
  assignments->next_batch_ms = core->now_ms + BATCH_INTERVAL_MS;
  core->replan_is_needed = TRUE;
  for (guint i = 0; i < assignments->in_flight->len; i++) {
    const WsProposal *proposal = &g_array_index(assignments->in_flight, WsProposal, i);
    g_hash_table_remove(assignments->pending, ws_task_key(proposal->job, proposal->task));
  }
  if (result == WS_TXN_INVALID)
    ws_job_quarantine_record_rejection(assignments->quarantine, core->now_ms, assignments->jobs);
  if (result == WS_TXN_COMMITTED)
    log_ended_jobs(core);
  else
    requeue_failed_assignments(core, result);
  g_array_set_size(assignments->in_flight, 0);
}

static void
batch_releases(WsCore *core, WsBatch *batch, const GArray *releases, ReleaseFilter filter)
{
  for (guint i = 0; i < releases->len; i++) {
    const WsOrderedRelease *ordered = &g_array_index(releases, WsOrderedRelease, i);
    const WsRelease *release = &ordered->release;
    if (filter == RELEASES_ENDING_JOBS && !ordered->ends_job)
      break;
    if (ws_job_quarantine_contains(core->assignments->quarantine, core->now_ms, release->job))
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
  if (ws_job_quarantine_contains(core->assignments->quarantine, core->now_ms, proposal->job))
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
      g_array_append_vals(assignments->in_flight, proposal, 1);
    else if (result == WS_BATCH_FULL)
      g_array_append_vals(assignments->proposals, proposal, 1);
    else
      g_hash_table_remove(assignments->pending, ws_task_key(proposal->job, proposal->task));
  }
}

/* Fills the batch in order of priority. Critical assignments come first: when a partition heals,
   hundreds of releases of other tasks become pending at once and would delay the critical
   assignments by several transactions. Releases that end a job may fill the transaction up to one
   half, and other assignments up to five sixths, so that every kind of change makes
   progress in each transaction, as far as the critical assignments leave space. */
static void
fill_batch(WsCore *core, WsBatch *batch)
{
  guint max_operations = core->settings->kv_max_txn_ops;
  guint max_with_ending_releases = max_operations / 2;
  guint max_with_proposals = max_operations * 5 / 6;
  g_autoptr(GArray) releases = ws_releases_in_commit_order(core);
  if (ws_job_quarantine_restricts_to_one_job(core->assignments->quarantine, core->now_ms))
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
can_write_batch(WsCore *core)
{
  return !core->assignments->is_txn_in_flight && core->now_ms >= core->assignments->next_batch_ms
         && core->replica->catalog != NULL && ws_has_caught_up_with_epoch(core)
         && ws_assignments_have_backlog(core)
         && ws_store_has_write_budget(core, MIN_WRITE_BUDGET_OPERATIONS);
}

static void
write_batch(WsCore *core)
{
  WsAssignments *assignments = core->assignments;
  if (!can_write_batch(core))
    return;
  g_autoptr(WsBatch) batch = ws_batch_new(core);
  fill_batch(core, batch);
  g_array_set_size(assignments->ended_jobs, 0);
  g_array_set_size(assignments->jobs, 0);
  if (ws_batch_is_empty(batch))
    return;
  assignments->is_txn_in_flight = TRUE;
  ws_batch_collect_jobs(batch, assignments->jobs);
  WsTxn *txn = ws_batch_build_txn(batch, assignments->ended_jobs);
  ws_txn_commit(core, txn, WS_REQUEST_SCHEDULING, on_txn_finished, NULL);
}

void
ws_assignments_pump(WsCore *core)
{
  if (!ws_is_active_member(core)) {
    drop_proposals(core);
    ws_releases_reset_forwarding(core);
    return;
  }
  if (core->now_ms >= core->assignments->next_batch_ms && !ws_is_leader(core)) {
    core->assignments->next_batch_ms = core->now_ms + BATCH_INTERVAL_MS;
    expire_forwarded(core);
    forward_proposals(core);
    ws_releases_forward(core);
  }
  if (ws_is_leader(core))
    write_batch(core);
}

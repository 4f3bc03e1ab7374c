/**
 * A batch of assignments and releases that become one transaction.
 *
 * Each is checked against the records as the batch leaves them, and taken while the limits of the
 * store on operations, conditions and bytes allow it. A team's use and its tasks' records change in
 * one transaction.
 */
#pragma once

#include "storage/ws-evidence.h"
#include "store/ws-store.h"

/** An assignment that is proposed and not written yet. */
typedef struct {
  WsJobIndex job;
  guint task;
  WsMachineIndex machine;
  gint64 proposed_ms; /**< when it was proposed, on the clock of core->now */
} WsProposal;

/** What became of a release or an assignment that was to be added. */
typedef enum {
  WS_BATCH_ADDED,   /**< the batch does it, or has done so before */
  WS_BATCH_FULL,    /**< a later batch may take it */
  WS_BATCH_REJECTED /**< it doesn't hold, or not any more */
} WsBatchResult;

/** A transaction of assignments and releases that is being put together. */
typedef struct _WsBatch WsBatch;

/** @core: must outlive the batch, and its replica mustn't change until the batch is built */
WsBatch *ws_batch_new(WsCore *core);

/** Frees the batch, but not a transaction that it has built. @batch: not NULL */
void ws_batch_free(WsBatch *batch);

/** Sets how many operations the batch may have after the next addition. */
void ws_batch_set_max_operations(WsBatch *batch, guint max_operations);

/** Makes the batch take no second job. */
void ws_batch_restrict_to_one_job(WsBatch *batch);

/** Appends the indices of the jobs in the batch, each once. @jobs: of guint */
void ws_batch_collect_jobs(const WsBatch *batch, GArray *jobs);

/** Whether the batch changes no record. */
gboolean ws_batch_is_empty(const WsBatch *batch);

/** Adds the release, if its evidence still holds. It is copied. */
WsBatchResult ws_batch_add_release(WsBatch *batch, const WsRelease *release);

/** Adds the assignment, if the records as the batch leaves them allow it. It is copied. */
WsBatchResult ws_batch_add_assignment(WsBatch *batch, const WsProposal *proposal);

/**
 * Builds the transaction. The caller owns it.
 *
 * @ended_jobs: of guint; the indices of the jobs that end with the transaction are appended
 */
WsTxn *ws_batch_build_txn(const WsBatch *batch, GArray *ended_jobs);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsBatch, ws_batch_free)

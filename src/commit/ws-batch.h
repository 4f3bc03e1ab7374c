/**
 * A batch of assignments and releases that are committed in one transaction.
 *
 * Each change is validated against the records as they will be after the changes added before it,
 * and is added as long as the transaction stays within the store's limits on operations, conditions
 * and bytes. The resource usage of a team is updated in the same transaction as the records of the
 * team's tasks.
 */
#pragma once

#include "storage/ws-evidence.h"
#include "store/ws-store.h"

/** A proposed assignment that has not been committed yet. */
typedef struct {
  WsJobIndex job;
  guint task;
  WsMachineIndex machine;
  gint64 proposed_ms; /**< when it was proposed, on the clock of core->now_ms */
} WsProposal;

/** The result of adding a release or an assignment to a batch. */
typedef enum {
  WS_BATCH_ADDED,   /**< the batch contains the change */
  WS_BATCH_FULL,    /**< the change doesn't fit now; it may be added to a later batch */
  WS_BATCH_REJECTED /**< the change is not valid, or no longer valid */
} WsBatchResult;

/** A batch under construction. */
typedef struct _WsBatch WsBatch;

/**
 * Creates an empty batch. The caller frees it.
 *
 * @core: must outlive the batch; its replica mustn't change until the transaction is built
 */
WsBatch *ws_batch_new(WsCore *core);

/** Frees the batch, but not the transaction built from it. @batch: not NULL */
void ws_batch_free(WsBatch *batch);

/** Sets the limit on operations for further additions. */
void ws_batch_set_max_operations(WsBatch *batch, guint max_operations);

/** Restricts the batch to changes of a single job. */
void ws_batch_restrict_to_one_job(WsBatch *batch);

/** Appends the index of each job in the batch, without duplicates. @jobs: of guint */
void ws_batch_collect_jobs(const WsBatch *batch, GArray *jobs);

/** Returns whether the batch changes no record. */
gboolean ws_batch_is_empty(const WsBatch *batch);

/** Adds the release if its evidence is still valid. @release: copied */
WsBatchResult ws_batch_add_release(WsBatch *batch, const WsRelease *release);

/** Adds the assignment if the records, with the batch's changes, allow it. @proposal: copied */
WsBatchResult ws_batch_add_assignment(WsBatch *batch, const WsProposal *proposal);

/**
 * Builds the transaction. Ownership passes to the caller.
 *
 * @ended_jobs: of guint; the indices of jobs that the transaction ends are appended
 */
WsTxn *ws_batch_build_txn(const WsBatch *batch, GArray *ended_jobs);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsBatch, ws_batch_free)

/**
 * The internal state of a batch. Shared by the code that fills the batch (ws-batch.c), validates
 * assignments (ws-batch-check.c) and builds the transaction (ws-batch-txn.c).
 */
#pragma once

#include "commit/ws-batch.h"

/** A chunk as it will be after the transaction. */
typedef struct {
  WsJobIndex job;
  guint index; /**< of the chunk within the job */
  WsChunk *chunk;
} WsChunkEdit;

/** A batch, with the records as they will be after its transaction. */
struct _WsBatch {
  WsCore *core;
  GPtrArray *edits;             /**< of WsChunkEdit */
  WsResources *team_use;        /**< resource usage by team, as it will be after the transaction */
  gboolean *is_team_use_edited; /**< by team-use record: whether the transaction writes it */
  GHashTable *machine_use;      /**< machine index -> WsResources: change of the machine's usage */
  GHashTable *machines;         /**< set of the indices of machines that are assigned a task */
  GPtrArray *rental_batches;    /**< of interned names: the rental batches of these machines, each
                                     once, in the order in which the machines were added */
  gboolean is_restricted_to_one_job; /**< whether edits of a second job are excluded */
  guint max_operations;
  guint operations; /**< used so far */
  guint conditions; /**< used so far */
  guint bytes;      /**< used so far, estimated */
};

/** Task counts over all chunks of a job, as they will be after the batch's transaction. */
typedef struct {
  guint completed_count;
  guint assigned_count;
} WsBatchJobCounts;

/** Returns the batch's edit of the chunk; NULL: the batch doesn't change the chunk. */
WsChunkEdit *ws_batch_find_edit(const WsBatch *batch, WsJobIndex job, guint index);

/** Returns the chunk as it will be after the transaction; NULL: the chunk doesn't exist. */
const WsChunk *ws_batch_chunk(const WsBatch *batch, const WsJob *job, guint index);

/** Counts the tasks in all chunks of the job, as they will be after the transaction. */
WsBatchJobCounts ws_batch_count_tasks(const WsBatch *batch, const WsJob *job);

/** Returns the change that the batch makes to the machine's usage. Owned by the batch. */
WsResources *ws_batch_machine_use(WsBatch *batch, WsMachineIndex machine);

/**
 * Returns whether an assignment depends on all chunks of the job. This is so if the job has to run
 * in one zone, or to spread over zones.
 */
gboolean ws_batch_depends_on_all_chunks(const WsJob *job);

/** Returns whether the records, as they will be after the transaction, allow the assignment. */
gboolean ws_batch_allows_assignment(WsBatch *batch, const WsProposal *proposal);

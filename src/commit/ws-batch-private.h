/**
 * The state of a batch, shared by what fills it (ws-batch.c), what checks an assignment
 * (ws-batch-check.c) and what turns it into a transaction (ws-batch-txn.c).
 */
#pragma once

#include "commit/ws-batch.h"

/** A chunk as the transaction leaves it. */
typedef struct {
  WsJobIndex job;
  guint index; /**< of the chunk within the job */
  WsChunk *chunk;
} WsChunkEdit;

/** A batch, with the records as its transaction will leave them. */
struct _WsBatch {
  WsCore *core;
  GPtrArray *edits;             /**< of WsChunkEdit */
  WsResources *team_use;        /**< of each team, as the transaction leaves it */
  gboolean *is_team_use_edited; /**< by record of teams' use */
  GHashTable *machine_use;      /**< machine index -> WsResources that the batch adds to its use */
  GHashTable *machines;         /**< set of the indices of the machines that get a task */
  GPtrArray *rental_batches;    /**< of interned names: the rental batches of these machines, each
                                     once, in the order in which the machines got tasks */
  gboolean is_of_one_job;
  guint max_operations;
  guint operations;
  guint conditions;
  guint bytes; /**< estimated */
};

/** What a job's chunks sum up to as the batch leaves them. */
typedef struct {
  guint completed_count;
  guint assigned_count;
} WsBatchJobCounts;

/** The edit of the chunk; NULL: the batch doesn't change it. */
WsChunkEdit *ws_batch_find_edit(const WsBatch *batch, WsJobIndex job, guint index);

/** The chunk as the batch leaves it; NULL: there is none. */
const WsChunk *ws_batch_chunk(const WsBatch *batch, const WsJob *job, guint index);

/** Counts the tasks of all chunks of the job, as the batch leaves them. */
WsBatchJobCounts ws_batch_count_tasks(const WsBatch *batch, const WsJob *job);

/** What the batch adds to the use of the machine; the batch owns it. */
WsResources *ws_batch_machine_use(WsBatch *batch, WsMachineIndex machine);

/** Whether an assignment depends on all chunks of the job, for its rules on zones. */
gboolean ws_batch_depends_on_all_chunks(const WsJob *job);

/** Whether the records, as the batch leaves them, allow the assignment. */
gboolean ws_batch_allows_assignment(WsBatch *batch, const WsProposal *proposal);

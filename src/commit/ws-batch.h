/* A transaction that assigns and releases tasks, while it's being put together. */
#pragma once

#include "storage/ws-evidence.h"
#include "store/ws-store.h"

typedef struct {
  WsJobIndex job;
  guint task;
  WsMachineIndex machine;
  gint64 planned_ms;
} WsProposal;

typedef enum { WS_BATCH_ADDED, WS_BATCH_FULL, WS_BATCH_REJECTED } WsBatchResult;

typedef struct _WsBatch WsBatch;

WsBatch *ws_batch_new(WsCore *core);
/* From now on it takes only what leaves it with so many changes. */
void ws_batch_set_max_operations(WsBatch *batch, guint max_operations);
/* It takes no second job. */
void ws_batch_restrict_to_one_job(WsBatch *batch);
/* Adds the indices of the jobs in it. */
void ws_batch_add_jobs(const WsBatch *batch, GArray *jobs /* of guint */);
void ws_batch_free(WsBatch *batch);
gboolean ws_batch_is_empty(const WsBatch *batch);
/* What doesn't hold (any more) isn't wanted. */
WsBatchResult ws_batch_release(WsBatch *batch, const WsRelease *release);
WsBatchResult ws_batch_assign(WsBatch *batch, const WsProposal *proposal);
/* The jobs that end with the transaction are added to the list. */
WsTxn *ws_batch_build_txn(const WsBatch *batch, GArray *ending /* of guint */);

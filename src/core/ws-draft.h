/* A transaction that assigns and releases tasks, while it's being put together. */
#pragma once

#include "core/ws-core-private.h"

typedef struct {
  guint job;
  guint task;
  guint64 attempt;
  gboolean done;
} WsRelease;

typedef struct {
  guint job;
  guint task;
  guint machine;
  gint64 planned_ms;
} WsPick;

typedef enum { WS_DRAFT_TAKEN, WS_DRAFT_FULL, WS_DRAFT_UNWANTED } WsDraftResult;

typedef struct _WsDraft WsDraft;

WsDraft *ws_draft_new(WsCore *core);
/* From now on it takes only what leaves it with so many changes. */
void ws_draft_bound(WsDraft *draft, guint most_ops);
void ws_draft_free(WsDraft *draft);
gboolean ws_draft_is_empty(const WsDraft *draft);
WsDraftResult ws_draft_release(WsDraft *draft, const WsRelease *release);
WsDraftResult ws_draft_pick(WsDraft *draft, const WsPick *pick);
/* The jobs that end with the transaction are added to the list. */
WsTxn *ws_draft_write(const WsDraft *draft, GArray *ending /* of guint */);

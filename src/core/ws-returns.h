/**
 * Returns of machines to the cloud, and the end of their termination marks.
 *
 * A marked machine without tasks, or one that can't be talked to, is returned; once the cloud has
 * confirmed it, its mark goes and its place in its rental batch with it, in one transaction.
 * Returns that the cloud refuses back off.
 */
#pragma once

#include "core/ws-core-private.h"

WsReturns *ws_returns_new(void);
void ws_returns_free(WsReturns *returns);

/** Whether the cloud has confirmed the return of the machine of this name. */
gboolean ws_returns_is_confirmed(const WsCore *core, const char *machine);

/** The one return without a mark: a cancelled task must go, and the state service takes none. */
void ws_returns_add_unmarked(WsCore *core, const WsMachine *machine);

/** Returns what was added unmarked, and marks it as soon as that is possible; on every node. */
void ws_returns_tick_unmarked(WsCore *core);

/** Returns marked machines and clears marks; only the leader calls it. */
void ws_returns_tick(WsCore *core);

/**
 * What the modules of commit call of each other: pending releases for the transactions, and
 * completed run times for the estimator. Private to commit.
 */
#pragma once

#include "commit/ws-commit.h"

/** Drops what is pending for the task. */
void ws_releases_remove(WsCore *core, const WsRelease *release);

/** How many releases are pending. */
guint ws_releases_count(const WsCore *core);

/** The releases (of WsOrderedRelease) in the order in which to write them. The caller frees it. */
GArray *ws_releases_in_commit_order(const WsCore *core);

/** Forwards to the leader what is new, or has not been written for a while. */
void ws_releases_forward(WsCore *core);

/** Makes everything be forwarded once more. */
void ws_releases_reset_forwarding(WsCore *core);

/** Drops what doesn't hold in the new epoch, and forwards the rest once more. */
void ws_releases_begin_epoch(WsCore *core);

/** Adds the run time of a completed task to what is known of its class. */
void ws_estimator_add_run_time(WsCore *core, const WsJob *job, const WsAssignment *assignment);

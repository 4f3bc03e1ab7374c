/**
 * The interface between the modules of the commit package: access to pending releases, and run
 * times for the estimator. Private to the package.
 */
#pragma once

#include "commit/ws-commit.h"

/** Drops the pending release of the task. */
void ws_releases_remove(WsCore *core, const WsRelease *release);

/** Returns the number of pending releases. */
guint ws_releases_count(const WsCore *core);

/**
 * Returns the pending releases (of WsOrderedRelease) in the order in which to commit them. The
 * caller frees the array.
 */
GArray *ws_releases_in_commit_order(const WsCore *core);

/** Forwards new releases to the leader, and again those still uncommitted after a while. */
void ws_releases_forward(WsCore *core);

/** Marks all pending releases as not yet forwarded. */
void ws_releases_reset_forwarding(WsCore *core);

/**
 * Drops the releases that are not valid in the new epoch, and marks the others as not yet
 * forwarded.
 */
void ws_releases_begin_epoch(WsCore *core);

/** Adds the run time of a completed task to the samples of its class. */
void ws_estimator_add_run_time(WsCore *core, const WsJob *job, const WsAssignment *assignment);

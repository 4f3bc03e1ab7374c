/**
 * Releases that are known and not yet written: tasks' attempts that are gone from their machines.
 *
 * Whoever finds out adds one: the machine's owner from what its worker shows (ws-workers.c), the
 * leader for a machine that the cloud took back (ws-returns.c) and for what owners hand in
 * (ws-peer-requests.c). The leader writes them (ws-assign.c), the other nodes forward them to it.
 * Each is kept only while its evidence holds, see ws-evidence.h.
 */
#pragma once

#include "storage/ws-evidence.h"
#include "store/ws-store.h"

WsReleases *ws_releases_new(void);
void ws_releases_free(WsReleases *releases);

/** Adds the release, or its evidence to what is known of the same attempt. */
void ws_releases_add(WsCore *core, const WsRelease *release);

/** Adds the release of an attempt by the newest message of its machine's worker. */
void ws_releases_add_reported(WsCore *core, const WsJob *job, const WsAssignment *assignment,
                              WsEvidenceKind kind, gboolean done);

/** The worker shows the attempt: what said that it is gone was wrong. */
void ws_releases_refute(WsCore *core, const WsJob *job, const WsAssignment *assignment);

/** Whether the attempt's release waits to be written: until then nobody may launch it. */
gboolean ws_releases_has(const WsCore *core, const WsJob *job, const WsAssignment *assignment);

/** Forgets what is known of the task. */
void ws_releases_remove(WsCore *core, const WsRelease *release);

guint ws_releases_count(const WsCore *core);

/** For how long, in milliseconds, the oldest one has waited to be written. */
gint64 ws_releases_oldest_age_ms(const WsCore *core);

/** The releases (of WsOrderedRelease) in the order in which they are to be written. The caller
 * frees.
 */
GArray *ws_releases_in_order(const WsCore *core);

/** Hands in what the leader hasn't been told yet, or hasn't written for a while. */
void ws_releases_forward(WsCore *core);

/** Everything is to be handed in once more. */
void ws_releases_reset_forwarding(WsCore *core);

/** Drops what doesn't hold in the new epoch, and hands in the rest once more. */
void ws_releases_begin_epoch(WsCore *core);

/**
 * Releases by controllers of versions before 0.4, which don't say what they rest on.
 *
 * Such a release is a hint, not proof: it may come from a former owner of the machine. It is taken
 * where nobody else can have launched the attempt, and for a completed task, whose result stays.
 * Otherwise the leader asks the worker, and takes an end that it still shows; a machine that the
 * hint is repeated for during a whole lease is returned, which is proof. A machine's owner of the
 * present version finds out by itself and needs no hint.
 */
#pragma once

#include "context/ws-context.h"
#include "storage/ws-evidence.h"

WsLegacyReleases *ws_legacy_releases_new(void);
void ws_legacy_releases_free(WsLegacyReleases *legacy_releases);

/** Takes a release without evidence; its evidence isn't read. For the leader. */
void ws_legacy_releases_add(WsCore *core, const WsRelease *release);

/** Forgets the hints whose attempts are no longer on the records. */
void ws_legacy_releases_begin_epoch(WsCore *core);

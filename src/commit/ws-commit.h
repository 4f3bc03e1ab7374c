/**
 * Assignments and releases of tasks on their way into the key-value store.
 *
 * A task is assigned there before it is launched, and released there before it may go elsewhere.
 * The leader writes for all nodes, one transaction at a time; the other nodes forward theirs to it.
 * Owns proposed assignments, pending releases, the transaction that is being written, the garbage
 * collection of finished jobs' records, and the estimator of run times.
 */
#pragma once

#include "membership/ws-membership.h"
#include "storage/ws-evidence.h"

/* Assignments. */

/** Calls back with a job that has a task on its way to the machine. */
typedef void (*WsProposalFunc)(const WsJob *job, WsMachineIndex machine, gpointer data);

/** Creates the state of assignments, with none proposed. The caller frees it. */
WsAssignments *ws_assignments_new(void);

/** Frees the proposals too; they are not written. @assignments: not NULL */
void ws_assignments_free(WsAssignments *assignments);

/** Proposes to assign the task to the machine; nothing, if it's proposed already. */
void ws_assignments_propose(WsCore *core, WsJobIndex job, guint task, WsMachineIndex machine);

/** Whether an assignment of the task is proposed, forwarded or being written. */
gboolean ws_assignments_is_pending(const WsCore *core, WsJobIndex job, guint task);

/** Whether nothing is proposed or being written, so that planning may go on. */
gboolean ws_assignments_are_idle(const WsCore *core);

/** Whether assignments or releases wait to be written. */
gboolean ws_assignments_have_backlog(const WsCore *core);

/** For how long, in milliseconds, the oldest assignment has waited to be written; 0: none does. */
gint64 ws_assignments_oldest_age_ms(const WsCore *core);

/** Writes what waits, or forwards it to the leader. Called after every input. */
void ws_assignments_pump(WsCore *core);

/** Forgets the proposals and the void releases: machines may have other owners in a new epoch. */
void ws_assignments_begin_epoch(WsCore *core);

/** Goes through what was forwarded to the leader and has not come back through the store yet. */
void ws_assignments_foreach_forwarded(const WsCore *core, WsProposalFunc visit, gpointer data);

/* Releases.

   Whoever finds out that an attempt is gone from its machine adds one: the machine's owner from its
   worker's heartbeats, the leader for a machine that the cloud has taken back and for what other
   nodes forward. Each is kept only while its evidence holds, see ws-evidence.h. */

/** Creates the state of releases, with none pending. The caller frees it. */
WsReleases *ws_releases_new(void);

/** Frees the pending releases too; they are not written. @releases: not NULL */
void ws_releases_free(WsReleases *releases);

/** Adds the release, or its evidence to a pending release of the same attempt. */
void ws_releases_add(WsCore *core, const WsRelease *release);

/**
 * Adds the release of an attempt by the newest heartbeat of its machine's worker.
 *
 * @is_completed: whether the task has completed
 */
void ws_releases_add_reported(WsCore *core, const WsJob *job, const WsAssignment *assignment,
                              WsEvidenceKind kind, gboolean is_completed);

/** Drops the release of the attempt: the worker shows it, so the evidence was wrong. */
void ws_releases_invalidate(WsCore *core, const WsJob *job, const WsAssignment *assignment);

/** Whether the attempt's release waits to be written: until then nobody may launch it. */
gboolean ws_releases_is_pending(const WsCore *core, const WsJob *job,
                                const WsAssignment *assignment);

/** For how long, in milliseconds, the oldest release has waited to be written; 0: none does. */
gint64 ws_releases_oldest_age_ms(const WsCore *core);

/* Releases by controllers of versions before 0.4, which carry no evidence.

   Such a release is a hint, not proof: it may come from a former owner of the machine. It is taken
   where nobody else can have launched the attempt, and for a completed task, whose result stays.
   Otherwise the leader asks the worker, and takes an exit that it still shows; a machine that the
   hint is repeated for during a whole lease is returned, which is proof. An owner of the present
   version finds out by itself and needs no hint. */

/** Creates the state of releases without evidence, with no hints. The caller frees it. */
WsLegacyReleases *ws_legacy_releases_new(void);

/** Frees the hints too. @legacy_releases: not NULL */
void ws_legacy_releases_free(WsLegacyReleases *legacy_releases);

/** Takes a release without evidence; its evidence isn't read. For the leader. */
void ws_legacy_releases_add(WsCore *core, const WsRelease *release);

/** Forgets the hints whose attempts are no longer on the records. */
void ws_legacy_releases_begin_epoch(WsCore *core);

/* Run times. */

/** Creates an estimator that has seen no run times. The caller frees it. */
WsEstimator *ws_estimator_new(void);

/** Frees the estimator, and with it what it has learned. @estimator: not NULL */
void ws_estimator_free(WsEstimator *estimator);

/** The job's estimated run time in seconds, corrected by what tasks of its class have taken. */
double ws_estimator_run_time_s(const WsCore *core, const WsJob *job);

/* Garbage collection. */

/** Creates the state of the garbage collection. The caller frees it. */
WsGarbage *ws_garbage_new(void);

/** Frees the state of the garbage collection; NULL is allowed. */
void ws_garbage_free(WsGarbage *garbage);

/** Deletes some records of finished jobs, if it's time for that. For the leader. */
void ws_garbage_tick(WsCore *core);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsAssignments, ws_assignments_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsReleases, ws_releases_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsLegacyReleases, ws_legacy_releases_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsEstimator, ws_estimator_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsGarbage, ws_garbage_free)

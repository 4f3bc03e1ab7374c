/**
 * Commits task assignments and releases to the key-value store.
 *
 * An assignment is committed before the task is launched, and a release before the task is assigned
 * again. The leader commits the changes of all nodes, one transaction at a time; the other nodes
 * forward their changes to it. This package owns the proposed assignments, the pending releases,
 * the transaction in flight, the garbage collection of finished jobs' records and the run-time
 * estimator.
 */
#pragma once

#include "membership/ws-membership.h"
#include "storage/ws-evidence.h"

/* Assignments. */

/** Called for a proposed assignment of one of the job's tasks to the machine. */
typedef void (*WsProposalFunc)(const WsJob *job, WsMachineIndex machine, gpointer data);

/** Creates the assignment state, without proposals. The caller frees it. */
WsAssignments *ws_assignments_new(void);

/** Frees the state and drops its uncommitted proposals. @assignments: not NULL */
void ws_assignments_free(WsAssignments *assignments);

/** Proposes to assign the task to the machine. Does nothing if an assignment is pending. */
void ws_assignments_propose(WsCore *core, WsJobIndex job, guint task, WsMachineIndex machine);

/** Returns whether an assignment of the task is proposed, forwarded or in flight. */
gboolean ws_assignments_is_pending(const WsCore *core, WsJobIndex job, guint task);

/** Returns whether no assignment is proposed or in flight, so that planning may continue. */
gboolean ws_assignments_are_idle(const WsCore *core);

/** Returns whether assignments or releases are waiting to be committed. */
gboolean ws_assignments_have_backlog(const WsCore *core);

/** Returns the age of the oldest uncommitted assignment in milliseconds; 0: there is none. */
gint64 ws_assignments_oldest_age_ms(const WsCore *core);

/**
 * Commits pending changes or, on a node that isn't the leader, forwards them to the leader. Called
 * after every input.
 */
void ws_assignments_pump(WsCore *core);

/**
 * Drops the proposals and all releases that are no longer valid, since machines may have new owners
 * in a new epoch.
 */
void ws_assignments_begin_epoch(WsCore *core);

/** Visits the assignments that were forwarded to the leader and aren't in the replica yet. */
void ws_assignments_foreach_forwarded(const WsCore *core, WsProposalFunc visit, gpointer data);

/* Releases.

   A release records that a task's attempt no longer runs on its machine. The machine's owner adds
   releases from the worker's heartbeats. The leader adds them for machines that were returned to
   the cloud, and those that other nodes forward. A release is kept only while its evidence is
   valid, see ws-evidence.h. */

/** Creates the release state, without pending releases. The caller frees it. */
WsReleases *ws_releases_new(void);

/** Frees the state and drops its uncommitted releases. @releases: not NULL */
void ws_releases_free(WsReleases *releases);

/** Adds the release, or merges its evidence into a pending release of the same attempt. */
void ws_releases_add(WsCore *core, const WsRelease *release);

/**
 * Adds the release of an attempt, with the newest heartbeat of its machine's worker as evidence.
 *
 * @is_completed: whether the task has completed
 */
void ws_releases_add_reported(WsCore *core, const WsJob *job, const WsAssignment *assignment,
                              WsEvidenceKind kind, gboolean is_completed);

/**
 * Drops the pending release of the attempt. Called when the worker reports the attempt, which
 * proves the release wrong.
 */
void ws_releases_invalidate(WsCore *core, const WsJob *job, const WsAssignment *assignment);

/**
 * Returns whether the machine may still hold an exited attempt of the job, and reject other
 * attempts of its task, although the release is committed. Such a machine is avoided for a while.
 */
gboolean ws_releases_may_be_unreaped(const WsCore *core, const WsMachine *machine,
                                     const WsJob *job);

/**
 * Returns whether a release of the attempt is waiting to be committed. Such an attempt must not be
 * launched.
 */
gboolean ws_releases_is_pending(const WsCore *core, const WsJob *job,
                                const WsAssignment *assignment);

/** Returns the age of the oldest uncommitted release in milliseconds; 0: there is none. */
gint64 ws_releases_oldest_age_ms(const WsCore *core);

/* Releases from nodes of versions before 0.4, which carry no evidence.

   Such a release is only a hint, since a former owner of the machine may have sent it. It is
   accepted if the machine has had the same owner since the attempt was assigned, so that no other
   node can have launched the attempt, or if the task is completed, because its result remains
   valid. Otherwise the leader probes the worker and accepts the release if the worker reports that
   the attempt has exited. If the hint is repeated for a whole lease without such a report, the
   leader terminates the machine; its return is evidence. If the machine is owned by the leader
   itself, the hint is ignored, because the leader gathers its own evidence from the worker's
   heartbeats. */

/** Creates the state of legacy releases, without hints. The caller frees it. */
WsLegacyReleases *ws_legacy_releases_new(void);

/** Frees the state with its hints. @legacy_releases: not NULL */
void ws_legacy_releases_free(WsLegacyReleases *legacy_releases);

/** Handles a legacy release; its evidence field is ignored. Only called on the leader. */
void ws_legacy_releases_add(WsCore *core, const WsRelease *release);

/** Drops the hints about attempts that are no longer assigned. */
void ws_legacy_releases_begin_epoch(WsCore *core);

/* Run times. */

/** Creates an estimator without samples. The caller frees it. */
WsEstimator *ws_estimator_new(void);

/** Frees the estimator and its samples. @estimator: not NULL */
void ws_estimator_free(WsEstimator *estimator);

/**
 * Returns the job's estimated run time in seconds, corrected by the measured run times of completed
 * tasks of the same class.
 */
double ws_estimator_run_time_s(const WsCore *core, const WsJob *job);

/* Garbage collection. */

/** Creates the garbage collection state. The caller frees it. */
WsGarbage *ws_garbage_new(void);

/** Frees the garbage collection state. @garbage: may be NULL */
void ws_garbage_free(WsGarbage *garbage);

/** If a collection is due and this node is the leader, deletes records of finished jobs. */
void ws_garbage_tick(WsCore *core);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsAssignments, ws_assignments_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsReleases, ws_releases_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsLegacyReleases, ws_legacy_releases_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsEstimator, ws_estimator_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsGarbage, ws_garbage_free)

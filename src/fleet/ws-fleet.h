/**
 * The fleet of rented machines: scale out, scale in, reconciliation with the cloud's list of
 * machines, and node termination.
 *
 * Only the leader calls the cloud, with one exception: during an outage of the store any node may
 * return a machine without a termination mark. This package owns rentals, returns, requests for
 * termination marks, and the budget of calls within the cloud's rate limit.
 */
#pragma once

#include "commit/ws-commit.h"

/** Creates the state of this package. */
WsFleet *ws_fleet_new(const WsSettings *settings);

/** Frees the state of this package. @fleet: not NULL */
void ws_fleet_free(WsFleet *fleet);

/**
 * Does what is due for the fleet: calls to the cloud, the completion of terminations, and marks for
 * machines that don't boot. On nodes other than the leader, and on the leader while the store is
 * unavailable, only processes the machines of ws_returns_request_unmarked().
 */
void ws_fleet_tick(WsCore *core);

/*
 * Node termination.
 *
 * A machine is cordoned by its termination mark, drained and returned to the cloud. Then its mark
 * is cleared.
 */

/**
 * Requests termination marks for machines of this node that are idle, faulty, interrupted or to be
 * consolidated.
 */
void ws_termination_tick(WsCore *core);

/** Writes the requested termination marks to the store. Nodes other than the leader write none. */
void ws_termination_pump(WsCore *core);

/**
 * Requests a termination mark for the machine, from the leader if that is another node.
 *
 * Does nothing if the machine already has such a mark, a request is pending, the store is
 * unavailable, or the return of the marked machine is confirmed. A mark without @immediately can be
 * replaced by one with it.
 * The leader drops the request if the disruption budget is used up, unless @immediately is set or
 * @reason is WS_MARK_REASON_INTERRUPTION.
 *
 * @reason: stored with the mark, see ws-mark-reasons.h; copied
 * @immediately: TRUE: the machine is returned without being drained
 */
void ws_termination_request_mark(WsCore *core, WsMachine *machine, const char *reason,
                                 gboolean immediately);

/**
 * Returns whether a task on a marked machine may be stopped now.
 *
 * The tasks of a service are stopped one at a time. While another task of the service has no
 * machine, the stop backs off, and each call after the end of the back-off doubles it and returns
 * FALSE.
 */
gboolean ws_termination_may_stop_task(WsCore *core, WsMachine *machine, WsJob *job,
                                      const WsAssignment *assignment);

/*
 * Headroom: placement slots that are kept for the next critical job, which can't wait for a machine
 * to boot.
 */

/**
 * Returns whether the machine was rented recently and this node knows of no heartbeat from it yet.
 * The machine's type must be known.
 */
gboolean ws_machine_is_booting(const WsCore *core, const WsMachine *machine);

/**
 * Returns the job whose tasks determine the size of a headroom slot: the active critical job with
 * the largest need of accelerators per task, or NULL if there is no active critical job.
 */
const WsJob *ws_headroom_reference_job(const WsReplica *replica);

/**
 * Counts slots for one task with the resources @need each, up to the number of slots to be kept.
 *
 * Only on-demand (not spot) machines that are up or booting and aren't marked are counted. Capacity
 * that tasks of services use is left out.
 *
 * @except: a machine that isn't counted, or NULL
 */
guint ws_headroom_count_slots(const WsCore *core, const WsResources *need, const WsMachine *except);

/*
 * Rentals.
 *
 * An intent is recorded in the store before the rental request is sent to the cloud. Once the cloud
 * has rented the machines, one transaction replaces the intent by a rental batch with them. So a
 * new leader knows which requests to repeat under the same names, and no machine is charged without
 * being known to the cluster. If the cloud lacks capacity for a kind of machine (type, zone, spot
 * or on-demand; the log calls on-demand machines "ordinary"), that kind is requested again after a
 * back-off.
 */

/**
 * Adds intents to rent machines of a kind, to be written by ws_rentals_record_intents(). Does
 * nothing while earlier intents are being written or haven't been sent to the cloud: the caller
 * requests the remaining demand again later.
 */
void ws_rentals_request(WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot,
                        guint machines);

/** Writes the intents that ws_rentals_request() has added since the last call. */
void ws_rentals_record_intents(WsCore *core);

/** Returns whether requests for the kind back off because the cloud lacked capacity for it. */
gboolean ws_rentals_is_backing_off(const WsCore *core, WsTypeIndex type, WsZoneIndex zone,
                                   gboolean spot);

/*
 * Returns.
 */

/** Returns whether the cloud has confirmed the return of the machine with this name. */
gboolean ws_returns_is_confirmed(const WsCore *core, const char *machine);

/**
 * Schedules the return of a machine without a termination mark, because a cancelled task on it must
 * end while the store is unavailable. The mark is written after the return, once the store is
 * available.
 */
void ws_returns_request_unmarked(WsCore *core, const WsMachine *machine);

/*
 * Reconciliation with the cloud's list.
 *
 * A machine that is listed or sends heartbeats but has no record, for example after a rental that
 * was carried out late, gets a record and is then used or returned. A recorded machine that is
 * listed as failed and isn't up gets a termination mark.
 */

/**
 * Schedules a record for a machine that exists without one. Does nothing if the machine's type or
 * zone is unknown, its return is confirmed, a transaction with the machine is pending, or this node
 * isn't an active member.
 *
 * @at_ms: time of rental (wall clock)
 */
void ws_cloud_list_schedule_record(WsCore *core, WsMachine *machine, gint64 at_ms);

/** Writes the scheduled records. Runs on every active member. */
void ws_cloud_list_reconcile_tick(WsCore *core);

/**
 * The fleet of rented machines: scale out and in, reconciliation with the cloud's list, and node
 * termination.
 *
 * The leader alone calls the cloud; any node may return a machine unmarked in an outage of the
 * store. Owns rentals, returns, termination marks that are requested, and the use of the cloud's
 * rate limit.
 */
#pragma once

#include "commit/ws-commit.h"

/** Creates the state of this package. */
WsFleet *ws_fleet_new(const WsSettings *settings);

/** Frees the state of this package. @fleet: not NULL */
void ws_fleet_free(WsFleet *fleet);

/** Does what is due at the cloud; what only the leader may do is left out on other nodes. */
void ws_fleet_tick(WsCore *core);

/*
 * Node termination.
 *
 * A machine is closed by its termination mark, drained, returned to the cloud, and its mark
 * cleared.
 */

/** Requests marks for machines that are idle, faulty, interrupted or to be consolidated. */
void ws_termination_tick(WsCore *core);

/** Writes the marks that were requested from the leader; does nothing on other nodes. */
void ws_termination_pump(WsCore *core);

/**
 * Requests the machine's termination mark, from the leader if that is another node.
 *
 * Does nothing if it is marked or requested already, or while the store is unavailable. The leader
 * drops the request if the disruption budget is used up, unless @immediately is set or the cloud
 * has given an interruption notice.
 *
 * @reason: as it is stored with the mark; copied
 * @immediately: the machine is returned without drain
 */
void ws_termination_request_mark(WsCore *core, WsMachine *machine, const char *reason,
                                 gboolean immediately);

/**
 * Whether a task on a marked machine may be stopped now.
 *
 * Tasks of a service are stopped one at a time, with a back-off while another one of it has no
 * machine: a call that returns FALSE prolongs the back-off.
 */
gboolean ws_termination_may_stop_task(WsCore *core, WsMachine *machine, WsJob *job,
                                      const WsAssignment *assignment);

/*
 * Headroom: placement slots kept for the next critical job, which can't wait for a machine to boot.
 */

/** Whether the machine, of a known type, was rented lately and may still come up. */
gboolean ws_machine_is_booting(const WsCore *core, const WsMachine *machine);

/** The critical job after which headroom is measured: the largest active one, or NULL. */
const WsJob *ws_headroom_reference_job(const WsReplica *replica);

/**
 * Counts slots for one task each that needs @need, up to as many as are to be kept: on machines
 * that aren't spot, up or booting, where no task of a service takes the capacity.
 *
 * @except: a machine that is left out, or NULL
 */
guint ws_headroom_count_slots(const WsCore *core, const WsResources *need, const WsMachine *except);

/*
 * Rentals.
 *
 * A rental is recorded as an intent in the store before the cloud is called, and a rental batch
 * with the machines takes the intent's place in one transaction. So a new leader knows which
 * requests to repeat, under the same names, and no machine is charged for that nobody knows of.
 * Kinds of machines (type, zone, spot or not) of which the cloud had none are requested again after
 * a back-off.
 */

/**
 * Notes how many machines of a kind are wanted, for ws_rentals_record_intents(). Does nothing while
 * earlier intents haven't been sent to the cloud: what is still wanted then is requested later.
 */
void ws_rentals_request(WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot,
                        guint machines);

/** Writes intents for what was requested since the last call. */
void ws_rentals_record_intents(WsCore *core);

/** Whether the kind is in back-off, since the cloud had none of it. */
gboolean ws_rentals_is_backing_off(const WsCore *core, WsTypeIndex type, WsZoneIndex zone,
                                   gboolean spot);

/*
 * Returns.
 */

/** Whether the cloud has confirmed the return of the machine of this name. */
gboolean ws_returns_is_confirmed(const WsCore *core, const char *machine);

/**
 * Returns the machine without a mark, which is written as soon as that is possible: for a cancelled
 * task that must end while the store is unavailable.
 */
void ws_returns_request_unmarked(WsCore *core, const WsMachine *machine);

/*
 * Reconciliation with the cloud's list.
 *
 * A machine that is listed or sends heartbeats but has no record, as after a rental that was
 * carried out late, gets a record and is used or returned; one that is listed as failed is marked.
 */

/** Notes that the machine is there without a record. @at_ms: wall clock of its rental */
void ws_cloud_list_note_unrecorded(WsCore *core, WsMachine *machine, gint64 at_ms);

/** Writes records for what was noted; on every node. */
void ws_cloud_list_reconcile_tick(WsCore *core);

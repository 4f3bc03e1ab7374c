/**
 * The fleet of rented machines: scale out and in, reconciliation with the cloud's list, and node
 * termination.
 *
 * Owns the leader's calls to the cloud, rentals, returns and termination marks.
 */
#pragma once

#include "commit/ws-commit.h"

gboolean ws_termination_is_allowed(const WsCore *core, const WsMachine *machine);
WsTermination *ws_termination_new(void);
void ws_termination_free(WsTermination *termination);
void ws_termination_tick(WsCore *core);
/* The leader writes the marks that were asked for. */
void ws_termination_pump(WsCore *core);
void ws_termination_request_mark(WsCore *core, WsMachine *machine, const char *why, gboolean now);
gboolean ws_termination_may_stop(WsCore *core, WsMachine *machine, WsJob *job,
                                 const WsAssignment *assignment);

void ws_consolidation_tick(WsCore *core);

/**
 * Headroom: placement slots kept for the next critical job, which can't wait for a machine to boot.
 */

/** Whether the machine, of a known type, was rented lately and may still come up. */
gboolean ws_machine_is_booting(const WsCore *core, const WsMachine *machine);

/** The critical job after which headroom is measured: the largest active one, or NULL. */
const WsJob *ws_headroom_job(const WsReplica *replica);

/**
 * Counts slots for one task each that needs @need, up to as many as are to be kept: on machines
 * that aren't spot, up or booting, where no task of a service takes the capacity.
 *
 * @except: a machine that is left out, or NULL
 */
guint ws_headroom_count_slots(const WsCore *core, const WsResources *need, const WsMachine *except);

/** Whether as many slots as are to be kept are there without the machine. */
gboolean ws_headroom_remains_without(const WsCore *core, const WsMachine *machine);

/**
 * The fleet of rented machines: the leader's calls to the cloud, its prices, and machines that
 * never came up. Rentals, returns and the cloud's list have modules of their own.
 */

WsFleet *ws_fleet_new(const WsSettings *settings);
void ws_fleet_free(WsFleet *fleet);

/** Takes one call to the cloud from the budget; FALSE: not now. */
gboolean ws_fleet_take_call_budget(WsCore *core);

/** Periodic work; what only the leader may do is left out on other nodes. */
void ws_fleet_tick(WsCore *core);

/**
 * Rentals of machines.
 *
 * A rental is intended in the state service before the cloud is asked, and the machines' record
 * takes the intent's place in one transaction. So a new leader knows what to ask again, under the
 * same request name, and no machine is charged for that nobody knows of. Kinds of machines (type,
 * zone, spot or ordinary) of which the cloud has none are asked for again after a back-off.
 */

WsRentals *ws_rentals_new(void);
void ws_rentals_free(WsRentals *rentals);

/** Notes how many machines of a kind are wanted; ws_rentals_record_intents() writes it down. */
void ws_rentals_request(WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot,
                        guint machines);

/** Writes down what was needed since the last call. */
void ws_rentals_record_intents(WsCore *core);

/** Whether the cloud had none of the kind a short while ago. */
gboolean ws_rentals_no_capacity(const WsCore *core, WsTypeIndex type, WsZoneIndex zone,
                                gboolean spot);

/** Notes whether the cloud has enough of the kind, as far as is known. */
void ws_rentals_note_capacity(WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot,
                              gboolean enough);

/** Sends what is intended to the cloud; only the leader calls it. */
void ws_rentals_tick(WsCore *core);

/**
 * Returns of machines to the cloud, and the end of their termination marks.
 *
 * A marked machine without tasks, or one that can't be talked to, is returned; once the cloud has
 * confirmed it, its mark goes and its place in its rental batch with it, in one transaction.
 * Returns that the cloud refuses back off.
 */

WsReturns *ws_returns_new(void);
void ws_returns_free(WsReturns *returns);

/** Whether the cloud has confirmed the return of the machine of this name. */
gboolean ws_returns_is_confirmed(const WsCore *core, const char *machine);

/** The one return without a mark: a cancelled task must go, and the state service takes none. */
void ws_returns_request_unmarked(WsCore *core, const WsMachine *machine);

/** Returns what was added unmarked, and marks it as soon as that is possible; on every node. */
void ws_returns_tick_unmarked(WsCore *core);

/** Returns marked machines and clears marks; only the leader calls it. */
void ws_returns_tick(WsCore *core);

/**
 * Reconciliation with the cloud's list of machines.
 *
 * A machine that is listed or reports but has no record, as after a rental that was carried out
 * late, gets a record and is used or returned; one that is listed as failed is marked.
 */

WsCloudList *ws_cloud_list_new(void);
void ws_cloud_list_free(WsCloudList *list);

/** Notes that the machine is there without a record. @at_ms: wall clock of its rental */
void ws_cloud_list_reconcile(WsCore *core, WsMachine *machine, gint64 at_ms);

/** Writes records for what was noted; on every node. */
void ws_cloud_list_reconcile_tick(WsCore *core);

/** Asks the cloud for its list when it is time; only the leader calls it. */
void ws_cloud_list_tick(WsCore *core);

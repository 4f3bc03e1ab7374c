/**
 * What the modules of src/fleet share: the state of the package, the budget of calls to the cloud,
 * and what the package's tick calls. Private to fleet.
 */
#pragma once

#include "fleet/ws-fleet.h"

/** Intents, requests in flight and capacity back-offs of rentals; ws-rentals.c. */
typedef struct _WsRentals WsRentals;

/** Machines that are being returned, or whose return is confirmed; ws-returns.c. */
typedef struct _WsReturns WsReturns;

/** The progress through the cloud's list of machines; ws-cloud-list.c. */
typedef struct _WsCloudList WsCloudList;

/** Termination marks that were requested or are being written; ws-termination.c. */
typedef struct _WsTermination WsTermination;

/** The state of this package. Owns the state of each module. */
struct _WsFleet {
  WsTokenBucket calls; /**< to the cloud */
  gint64 next_catalog_ms;
  gboolean catalog_in_flight;
  WsRentals *rentals;
  WsReturns *returns;
  WsCloudList *cloud_list;
  WsTermination *termination;
  gboolean is_clearing_marks; /**< a transaction that does is in flight */
};

/** Creates the state of rentals, with no request in flight. The caller frees it. */
WsRentals *ws_rentals_new(void);

/**
 * Frees the state of rentals. Not to be called between ws_rentals_request() and
 * ws_rentals_record_intents(). @rentals: not NULL
 */
void ws_rentals_free(WsRentals *rentals);

/** Creates the state of returns, with none confirmed. The caller frees it. */
WsReturns *ws_returns_new(void);

/** Frees the state of returns, which must not be NULL. */
void ws_returns_free(WsReturns *returns);

/** Creates the state of the listing, which begins with the first page. The caller frees it. */
WsCloudList *ws_cloud_list_new(void);

/** Frees the state of the listing. @list: not NULL */
void ws_cloud_list_free(WsCloudList *list);

/** Creates the state of termination, with no mark requested. The caller frees it. */
WsTermination *ws_termination_new(void);

/** Frees the requests for marks too; they are not written. @termination: not NULL */
void ws_termination_free(WsTermination *termination);

/** Takes one call to the cloud from its rate limit; FALSE: none is left now. */
gboolean ws_fleet_take_call_budget(WsCore *core);

/**
 * Doubles a back-off within the limits of the properties.
 *
 * @backoff_ms: the one before; 0: there was none, and the shortest is returned
 */
guint ws_fleet_next_backoff_ms(const WsCore *core, guint backoff_ms);

/** The time since the machine was rented, in seconds. */
double ws_fleet_machine_age_s(const WsCore *core, const WsMachine *machine);

/** Sends rental intents to the cloud; only the leader calls it. */
void ws_rentals_tick(WsCore *core);

/** Begins or prolongs the back-off of a kind, or ends it if the cloud has @enough of it. */
void ws_rentals_note_capacity(WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot,
                              gboolean enough);

/** Returns marked machines and cleans up after returned ones; only the leader calls it. */
void ws_returns_tick(WsCore *core);

/**
 * Whether the replica has all that was assigned to the marked machine, so that it is empty if no
 * task is known there.
 */
gboolean ws_returns_has_all_assignments(const WsCore *core, const WsMachine *machine);

/** Releases the tasks of returned machines, and clears the marks of those that are empty. */
void ws_mark_cleanup_tick(WsCore *core);

/** Returns what was requested unmarked, and marks it as soon as that is possible; on every node. */
void ws_returns_tick_unmarked(WsCore *core);

/** Asks the cloud for its list when it is due; only the leader calls it. */
void ws_cloud_list_tick(WsCore *core);

/**
 * Whether a machine that works may be terminated: by the disruption budget, the reachability of its
 * zone, and the headroom for critical jobs.
 */
gboolean ws_termination_is_allowed(const WsCore *core, const WsMachine *machine);

/** Whether as many slots as are to be kept for critical jobs are there without the machine. */
gboolean ws_headroom_suffices_without(const WsCore *core, const WsMachine *machine);

/** Requests marks for underused machines when it is this node's turn. */
void ws_consolidation_tick(WsCore *core);

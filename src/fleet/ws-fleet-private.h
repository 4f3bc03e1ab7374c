/**
 * Declarations shared by the modules of src/fleet: the state of the package, the budget of calls to
 * the cloud, and the tick functions of the modules. Private to fleet.
 */
#pragma once

#include "fleet/ws-fleet.h"

/** Intents, requests in flight and capacity back-offs of rentals; ws-rentals.c. */
typedef struct _WsRentals WsRentals;

/** Machines that are being returned, or whose return is confirmed; ws-returns.c. */
typedef struct _WsReturns WsReturns;

/** Progress of reading the cloud's list of machines, page by page; ws-cloud-list.c. */
typedef struct _WsCloudList WsCloudList;

/** Termination marks that were requested or are being written; ws-termination.c. */
typedef struct _WsTermination WsTermination;

/** The state of this package. Owns the state of each module. */
struct _WsFleet {
  WsTokenBucket calls;        /**< rate limit of calls to the cloud */
  gint64 next_catalog_ms;     /**< when the catalog is requested again */
  gboolean catalog_in_flight; /**< a request for the catalog is in flight */
  WsRentals *rentals;
  WsReturns *returns;
  WsCloudList *cloud_list;
  WsTermination *termination;
  gboolean is_clearing_marks; /**< a transaction that clears marks is in flight */
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

/** Creates the state of the listing, which starts at the first page. The caller frees it. */
WsCloudList *ws_cloud_list_new(void);

/** Frees the state of the listing. @list: not NULL */
void ws_cloud_list_free(WsCloudList *list);

/** Creates the state of termination, with no mark requested. The caller frees it. */
WsTermination *ws_termination_new(void);

/** Frees the state and drops the pending requests for marks. @termination: not NULL */
void ws_termination_free(WsTermination *termination);

/** Takes one call from the budget of calls to the cloud. Returns FALSE if none is left now. */
gboolean ws_fleet_take_call_budget(WsCore *core);

/**
 * Returns the back-off doubled, within the limits of the properties.
 *
 * @backoff_ms: the previous back-off; 0: there was none, and the minimum is returned
 */
guint ws_fleet_next_backoff_ms(const WsCore *core, guint backoff_ms);

/** Returns the time since the machine was rented, in seconds. */
double ws_fleet_machine_age_s(const WsCore *core, const WsMachine *machine);

/** Sends rental intents to the cloud. To be called only on the leader. */
void ws_rentals_tick(WsCore *core);

/**
 * Starts or prolongs the capacity back-off of a kind of machine, or ends it if @enough is set.
 *
 * @enough: the cloud rented as many machines as were requested, or one of the kind was returned
 */
void ws_rentals_update_backoff(WsCore *core, WsTypeIndex type, WsZoneIndex zone, gboolean spot,
                               gboolean enough);

/**
 * Returns marked machines to the cloud and completes the termination of returned ones. To be called
 * only on the leader.
 */
void ws_returns_tick(WsCore *core);

/**
 * Returns whether the replica has every assignment to the marked machine, so that the machine is
 * empty if the replica shows no task on it.
 */
gboolean ws_returns_has_all_assignments(const WsCore *core, const WsMachine *machine);

/** Releases the tasks of returned machines. Clears the marks of returned machines without tasks. */
void ws_mark_cleanup_tick(WsCore *core);

/**
 * Returns to the cloud the machines that ws_returns_request_unmarked() has added, and requests
 * their marks once the cloud has confirmed the return. Runs on every node.
 */
void ws_returns_tick_unmarked(WsCore *core);

/** Requests the next page of the cloud's list when it is due. To be called only on the leader. */
void ws_cloud_list_tick(WsCore *core);

/**
 * Returns whether a healthy machine may be terminated: the disruption budget allows it, the members
 * in its zone and all other members can reach one another, and enough headroom for critical jobs
 * remains. A spot machine isn't part of the headroom.
 */
gboolean ws_termination_is_allowed(const WsCore *core, const WsMachine *machine);

/** Returns whether the required headroom for critical jobs remains without the machine. */
gboolean ws_headroom_suffices_without(const WsCore *core, const WsMachine *machine);

/** Requests termination marks for underused machines if it is this node's turn. */
void ws_consolidation_tick(WsCore *core);

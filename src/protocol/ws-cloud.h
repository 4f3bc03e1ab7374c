/**
 * The cloud's messages: its catalog, the list of machines, rentals and returns.
 *
 * Parsers return an array that the caller unrefs, or NULL if the message is malformed. Encoders
 * return a new JSON object. Called by src/fleet, and by the replica for the catalog's record.
 */
#pragma once

#include "protocol/ws-resources.h"

/** A machine type of the catalog. */
typedef struct {
  char *name;
  WsResources capacity;
  double cache_gb; /**< size of a machine's image cache */
  double fetch_gb_per_s;
  double price; /**< on demand */
  double spot_price;
  double boot_s; /**< from the rental to the first heartbeat */
  char **zones;  /**< in which it is offered */
} WsType;

/** A machine of the cloud's list. */
typedef struct {
  char *id;
  char *endpoint; /**< NULL: the cloud doesn't say */
  char *type;
  char *zone;
  gboolean is_spot;
  gboolean has_failed; /**< it will never be up */
  double age_s;        /**< since it was rented */
} WsListedMachine;

/** Reads the catalog: an array of WsType, in its order. */
GPtrArray *ws_catalog_parse(const json_t *message);

/**
 * Reads a page of the list: an array of WsListedMachine.
 *
 * @more: set to whether the list goes on on another page
 */
GPtrArray *ws_listing_parse(const json_t *message, gboolean *more);

/** Reads the machines of a rental: an array of char *, their names. */
GPtrArray *ws_rental_machines_parse(const json_t *message);

/** What came of a request for machines. */
typedef enum {
  WS_RENTAL_RENTED,      /**< some of the machines, or all */
  WS_RENTAL_NO_CAPACITY, /**< the cloud has none of the kind */
  WS_RENTAL_REFUSED,     /**< the request is malformed to the cloud: a retry is in vain */
  WS_RENTAL_FAILED       /**< it isn't known whether machines were rented; to be retried */
} WsRentalResult;

/**
 * Reads the cloud's answer to a request for machines.
 *
 * @status: of HTTP; 0: no answer came
 * @names: set to the machines' names if any were rented, to be unreferenced; to NULL otherwise
 */
WsRentalResult ws_rental_reply_parse(guint status, const json_t *body, GPtrArray **names);

/** Encodes a rental. @request: its idempotency key */
json_t *ws_rental_encode(const char *request, const char *type, const char *zone, gboolean spot,
                         guint count);

/** Encodes the return of machines. @machines: of char *, their names */
json_t *ws_machine_return_encode(const GPtrArray *machines);

/**
 * Messages of the cloud API: the machine-type catalog, the list of rented machines, rentals and
 * returns.
 *
 * Parsers return an array that the caller unrefs, or NULL if the message is malformed. Encoders
 * return a new JSON object. Callers: src/fleet, and the replica, which stores the catalog as a
 * record.
 */
#pragma once

#include "protocol/ws-resources.h"

/** A machine type from the catalog. */
typedef struct {
  char *name;
  WsResources capacity;
  double cache_gb; /**< size of the machine's image cache */
  double fetch_gb_per_s;
  double price; /**< on-demand price */
  double spot_price;
  double boot_s; /**< time from the rental to the first heartbeat */
  char **zones;  /**< zones that offer the type */
} WsType;

/** An entry of the cloud's list of rented machines. */
typedef struct {
  char *id;
  char *endpoint; /**< NULL if the list has no endpoint for it */
  char *type;
  char *zone;
  gboolean is_spot;
  gboolean has_failed; /**< the machine will never come up */
  double age_s;        /**< time since the machine was rented */
} WsListedMachine;

/** Parses the catalog into an array of WsType, in catalog order. */
GPtrArray *ws_catalog_parse(const json_t *message);

/** Encodes an array of WsType as a catalog, without members that this program doesn't use. */
json_t *ws_catalog_encode(const GPtrArray *types);

/**
 * Parses one page of the machine list into an array of WsListedMachine.
 *
 * @has_more: set to whether more pages follow
 */
GPtrArray *ws_machine_list_parse(const json_t *message, gboolean *has_more);

/** Parses the response to a rental into an array of char *, the names of the rented machines. */
GPtrArray *ws_rental_machines_parse(const json_t *message);

/** Outcome of a rental request. */
typedef enum {
  WS_RENTAL_RENTED,      /**< some or all of the machines were rented */
  WS_RENTAL_NO_CAPACITY, /**< the cloud has no such machine available */
  WS_RENTAL_REJECTED,    /**< the cloud rejected the request as malformed; a retry can't succeed */
  WS_RENTAL_FAILED       /**< unknown whether machines were rented; retry with the same key */
} WsRentalResult;

/**
 * Parses the cloud's response to a rental request.
 *
 * @status: the HTTP status; 0 if no response came
 * @names: set to the names of the rented machines, which the caller unrefs, or to NULL if none were
 *   rented
 */
WsRentalResult ws_rental_response_parse(guint status, const json_t *body, GPtrArray **names);

/** Encodes a rental request. @idempotency_key: the same for each retry of the request */
json_t *ws_rental_encode(const char *idempotency_key, const char *type, const char *zone,
                         gboolean spot, guint count);

/** Encodes the return of rented machines. @machines: array of char *, their names */
json_t *ws_machine_return_encode(const GPtrArray *machines);

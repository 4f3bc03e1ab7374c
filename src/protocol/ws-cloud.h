/**
 * The cloud's messages: its catalog, the list of machines, rentals and returns.
 *
 * Parsers return an array that the caller unrefs, or NULL if the message is malformed.
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
  gboolean spot;
  gboolean failed; /**< it will never be up */
  double age_s;    /**< since it was rented */
} WsListedMachine;

/** Of WsType, in the catalog's order. */
GPtrArray *ws_catalog_parse(const json_t *message);

/** Of WsListedMachine. @more: set to whether the list goes on on another page. */
GPtrArray *ws_listing_parse(const json_t *message, gboolean *more);

/** Of char *: the machines of a rental, by name. */
GPtrArray *ws_names_parse(const json_t *message);

/** A rental. @request: its idempotency key. */
json_t *ws_rental_encode(const char *request, const char *type, const char *zone, gboolean spot,
                         guint count);

/** The return of machines. @machines: of char *, their names. */
json_t *ws_return_encode(const GPtrArray *machines);

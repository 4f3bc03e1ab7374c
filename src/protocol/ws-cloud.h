/* The cloud's messages. */
#pragma once

#include "protocol/ws-job-spec.h"

typedef struct {
  char *name;
  WsResources capacity;
  double cache_gb;
  double fetch_gb_per_s;
  double price;
  double spot_price;
  double boot_s;
  char **zones;
} WsType;

typedef struct {
  char *id;
  char *endpoint;
  char *type;
  char *zone;
  gboolean spot;
  gboolean failed;
  double age_s;
} WsListedMachine;

GPtrArray *ws_catalog_parse(const json_t *message); /* of WsType, or NULL */
GPtrArray *ws_listing_parse(const json_t *message,
                            gboolean *more);      /* of WsListedMachine, or NULL */
GPtrArray *ws_names_parse(const json_t *message); /* machine names of a rental, or NULL */

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

json_t *ws_rental_encode(const char *request, const char *type, const char *zone, gboolean spot,
                         guint count);
json_t *ws_return_encode(GPtrArray *machines);

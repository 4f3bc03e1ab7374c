/**
 * A machine in the replica, rental batches and rental intents.
 *
 * The replica writes the stored fields when it applies records. Workers and fleet also set the
 * type, the zone and whether it is a spot machine, by ws_replica_set_machine_attributes(), and
 * fleet sets rented_ms of machines without a rental batch. The code that writes `worker` and
 * `fleet` is listed in ws-status.h. All other code only reads.
 */
#pragma once

#include "protocol/ws-job-spec.h"
#include "storage/ws-status.h"

/** A machine. Owned by the replica. */
typedef struct {
  WsMachineIndex index;
  const char *name;  /**< owned by the replica */
  WsNodeIndex owner; /**< a member of the current epoch; WS_NO_NODE if none */
  /** The epoch since which the same run of the owner has owned the machine without interruption, as
   * far as this node knows. */
  guint64 owner_since_epoch;
  guint64 owner_since_epoch_version; /**< version of that epoch's record */
  gboolean is_recorded; /**< in a rental batch: it is rented by this cluster and is charged for */
  gboolean is_returned; /**< in no rental batch any more: the cloud has confirmed its return */
  const char *rental_batch; /**< interned name of the last batch that contained it */
  guint rental_batches;     /**< how many contain it; 2 if two nodes recorded it at the same time */
  WsTypeIndex type;         /**< WS_NO_TYPE if the catalog is not loaded or lacks its type */
  char *type_name;          /**< owned; NULL if not known */
  WsZoneIndex zone;         /**< WS_NO_ZONE if not known */
  gboolean is_spot;         /**< a spot machine, which the cloud may interrupt */
  gint64 rented_ms;         /**< wall clock */
  gboolean is_marked;       /**< it has a termination mark */
  char *mark_reason;        /**< owned; NULL if it has no mark */
  gboolean mark_is_immediate; /**< terminated without draining, e.g. if its worker is unreachable */
  GArray *tasks;              /**< of WsTaskRef: tasks that are assigned to it */
  WsResources used;           /**< total resources of those tasks */
  WsWorkerStatus worker;      /**< not stored */
  WsFleetStatus fleet;        /**< not stored */
} WsMachine;

/** Returns whether the machine is faulty: several jobs in a row have failed on it. */
gboolean ws_machine_is_faulty(const WsMachine *machine);

/** Returns whether the machine's worker has reported that it has the image. */
gboolean ws_machine_has_image(const WsMachine *machine, WsImageIndex image);

/** A request to the cloud for machines, recorded before it is sent. All strings are owned. */
typedef struct {
  char *request; /**< idempotency key of the request */
  char *type;
  char *zone;
  gboolean is_spot;
  guint count;
} WsRentalIntent;

/** Frees the intent and its strings. @intent: not NULL */
void ws_rental_intent_free(WsRentalIntent *intent);

/**
 * Machines that were rented together. All strings are owned.
 *
 * They share one record, since hundreds of machines may be rented at a time and the store's write
 * rate is limited.
 */
typedef struct {
  char *name;
  char *type;
  char *zone;
  gboolean is_spot;
  gint64 rented_ms; /**< wall clock */
  GArray *machines; /**< of WsMachineIndex */
} WsRentalBatch;

/** Frees the rental batch, but not the machines. @rental_batch: not NULL */
void ws_rental_batch_free(WsRentalBatch *rental_batch);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsRentalIntent, ws_rental_intent_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsRentalBatch, ws_rental_batch_free)

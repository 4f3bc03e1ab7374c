/**
 * A machine as the replica holds it, and the records of how machines are rented.
 *
 * The stored part is written by the replica alone, as it applies records; `worker` belongs to
 * membership and workers, `fleet` to fleet. Everybody else reads.
 */
#pragma once

#include "protocol/ws-job-spec.h"
#include "storage/ws-status.h"

/** A machine. Owned by the replica. */
typedef struct {
  WsMachineIndex index;
  const char *name;          /**< owned by the replica */
  WsNodeIndex owner;         /**< a member of the present epoch; WS_NO_NODE: there is none */
  guint64 owner_since_epoch; /**< the epoch from which on the same run of the owner has owned it, as
                            far as this node can tell */
  guint64 owner_since_epoch_version; /**< of that epoch's record */
  gboolean is_recorded;              /**< a rental batch names it: it is ours, and is charged for */
  gboolean is_returned; /**< no rental batch names it any more: the cloud has confirmed its return
                         */
  const char *rental_batch; /**< interned: the last one that named it */
  guint rental_batches;     /**< how many name it; two, if two nodes recorded it at the same time */
  WsTypeIndex type;         /**< WS_NO_TYPE: the catalog isn't known, or lacks its type */
  char *type_name;          /**< owned; NULL: not known */
  WsZoneIndex zone;         /**< WS_NO_ZONE: not known */
  gboolean is_spot;         /**< whether it is a spot machine, which the cloud may take back */
  gint64 rented_ms;         /**< wall clock */
  gboolean is_marked;       /**< it has a termination mark */
  char *mark_reason;        /**< owned; NULL: it has no mark */
  gboolean mark_is_immediate; /**< without drain: nothing on it can be talked to */
  GArray *tasks;              /**< of WsTaskRef: what is assigned to it */
  WsResources used;           /**< what those tasks need together */
  WsWorkerStatus worker;      /**< not stored */
  WsFleetStatus fleet;        /**< not stored */
} WsMachine;

/** Whether jobs have failed on the machine, one after the other, so that it counts as faulty. */
gboolean ws_machine_is_faulty(const WsMachine *machine);

/** Whether the machine's worker has said that it holds the image. */
gboolean ws_machine_has_image(const WsMachine *machine, WsImageIndex image);

/** A call to the cloud for machines, recorded before it is made. All strings are owned. */
typedef struct {
  char *request; /**< the idempotency key of the call */
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
 * They share one record, since the store takes few changes and machines come by the
 * hundred.
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

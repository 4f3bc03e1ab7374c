/**
 * How the replica applies each kind of record. Included only by the ws-replica*.c files.
 *
 * The parameters of each ws_replica_apply_... function are the part of the key after its kind's
 * prefix, if the kind has one, and the borrowed value, which is NULL if the key was removed. Unless
 * documented otherwise, a damaged value is logged and ignored.
 */
#pragma once

#include "storage/ws-replica.h"

/* ws-replica-cluster.c */

/** Replaces the current epoch and updates the owner of each machine. */
void ws_replica_apply_epoch(WsReplica *replica, const json_t *value);

/** Sets the leader. A removed or damaged record means that there is no leader. */
void ws_replica_apply_leader(WsReplica *replica, const json_t *value);

/** Sets or removes a member. A damaged record removes it. */
void ws_replica_apply_member(WsReplica *replica, const char *name, const json_t *value);

/** Appends the value to the replica's mailbox. */
void ws_replica_apply_mailbox(WsReplica *replica, const char *node, const json_t *value);

/* ws-replica-jobs.c */

/** Adds or updates a job. The removal of a record is logged and leaves the job unchanged. */
void ws_replica_apply_job(WsReplica *replica, const char *id, const json_t *value);

/** Whether the replica has the job of the chunk, without which the chunk can't be applied. */
gboolean ws_replica_has_job_of_chunk(const WsReplica *replica, const char *job_and_number);

/** Replaces a chunk of a job. Chunks of jobs in final form are ignored. */
void ws_replica_apply_chunk(WsReplica *replica, const char *job_and_number, const json_t *value);

/** Frees a job and its chunks. */
void ws_job_free(WsJob *job);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsJob, ws_job_free)

/* ws-replica-machines.c */

/** Adds, replaces or removes a rental batch, and updates the rental data of its machines. */
void ws_replica_apply_rental_batch(WsReplica *replica, const char *name, const json_t *value);

/** Adds, replaces or removes a rental intent. A damaged record removes it and is logged. */
void ws_replica_apply_rental_intent(WsReplica *replica, const char *request, const json_t *value);

/** Sets or removes a machine's termination mark. A damaged record sets it without a reason. */
void ws_replica_apply_mark(WsReplica *replica, const char *name, const json_t *value);

/**
 * Sets the machine's owner under the current epoch.
 *
 * @previous: the previous epoch; NULL if the machine is new in the replica
 */
void ws_replica_update_owner(WsReplica *replica, WsMachine *machine, const WsEpoch *previous);

/** Frees a machine. */
void ws_machine_free(WsMachine *machine);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsMachine, ws_machine_free)

/**
 * How the replica takes each kind of record; for the files of the replica alone.
 *
 * Each ws_replica_apply_... has the part of the key after the prefix of its kind, if there is one,
 * and the value, which is borrowed, and NULL if the key was removed. A damaged value is logged
 * where nothing else is said.
 */
#pragma once

#include "storage/ws-replica.h"

/* ws-replica-cluster.c */

/** Begins the epoch, which may change the owner of each machine. */
void ws_replica_apply_epoch(WsReplica *replica, const json_t *value);

/** Sets the leader; a damaged record says that there is none. */
void ws_replica_apply_leader(WsReplica *replica, const json_t *value);

/** Sets or removes a member; a damaged record removes it. */
void ws_replica_apply_member(WsReplica *replica, const char *node, const json_t *value);

/** Puts the value into the replica's mailbox. */
void ws_replica_apply_mailbox(WsReplica *replica, const char *node, const json_t *value);

/* ws-replica-jobs.c */

/** Adds or changes a job. A removed record leaves it as it is. */
void ws_replica_apply_job(WsReplica *replica, const char *id, const json_t *value);

/** Replaces a chunk of a job that isn't in final form; others are ignored. */
void ws_replica_apply_chunk(WsReplica *replica, const char *job_and_number, const json_t *value);

/** Frees a job with its chunks. */
void ws_job_free(WsJob *job);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsJob, ws_job_free)

/* ws-replica-machines.c */

/** Adds, changes or removes a rental batch, and what its machines say about it. */
void ws_replica_apply_rental_batch(WsReplica *replica, const char *name, const json_t *value);

/** Adds, changes or removes a rental intent. */
void ws_replica_apply_rental_intent(WsReplica *replica, const char *request, const json_t *value);

/** Sets or removes a machine's termination mark. */
void ws_replica_apply_mark(WsReplica *replica, const char *machine, const json_t *value);

/**
 * Sets the machine's owner under the present epoch.
 *
 * @last: the epoch before; NULL: the machine is new to the replica
 */
void ws_replica_update_owner(WsReplica *replica, WsMachine *machine, const WsEpoch *last);

/** Frees a machine. */
void ws_machine_free(WsMachine *machine);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsMachine, ws_machine_free)

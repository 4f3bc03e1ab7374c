/**
 * How the replica takes each kind of record; for the files of the replica alone.
 *
 * Each function has the part of the key after the prefix of its kind, and the value, which is
 * NULL if the key was removed.
 */
#pragma once

#include "storage/ws-replica.h"

/* ws-replica-cluster.c */
void ws_replica_apply_epoch(WsReplica *replica, const json_t *value);
void ws_replica_apply_leader(WsReplica *replica, const json_t *value);
void ws_replica_apply_member(WsReplica *replica, const char *node, const json_t *value);
void ws_replica_apply_mailbox(WsReplica *replica, const char *node, const json_t *value);

/* ws-replica-jobs.c */
void ws_replica_apply_job(WsReplica *replica, const char *id, const json_t *value);
void ws_replica_apply_chunk(WsReplica *replica, const char *job_and_number, const json_t *value);

/* ws-replica-machines.c */
void ws_replica_apply_rental_batch(WsReplica *replica, const char *name, const json_t *value);
void ws_replica_apply_rental_intent(WsReplica *replica, const char *request, const json_t *value);
void ws_replica_apply_mark(WsReplica *replica, const char *machine, const json_t *value);

/**
 * Sets the machine's owner under the present epoch. @last: the epoch before; NULL: the machine is
 * new to the replica.
 */
void ws_replica_find_owner(WsReplica *replica, WsMachine *machine, const WsEpoch *last);

void ws_job_free(WsJob *job);
void ws_machine_free(WsMachine *machine);

/**
 * The local replica of the stored state.
 *
 * All stored state enters through ws_replica_apply: one key, one value, one version. An older
 * version of a key never replaces a newer one. A node can therefore apply its own writes as soon as
 * the store confirms them, and the watch may deliver them again later. Only ws_replica_apply and
 * ws_replica_remove_missing change stored state. A node's local status is in ws-status.h.
 *
 * The version of a key is recorded only together with its value, unless the value is damaged:
 * transactions are conditional on it, and it keeps the same version from being applied later. The
 * pages of a load are read at different revisions, and may contain a record without the one that it
 * refers to. Such a record is newer than the first page, so the watch, which starts there, delivers
 * both in order.
 *
 * Jobs and machines are never removed from the replica, so their indices and addresses stay valid.
 */
#pragma once

#include "coordination/ws-epoch.h"
#include "protocol/ws-cloud.h"
#include "protocol/ws-name-table.h"
#include "storage/ws-job.h"
#include "storage/ws-keys.h"
#include "storage/ws-machine.h"

/** The newest applied version of a key. */
typedef struct {
  guint64 version;
  gboolean is_present; /**< FALSE if the key was removed */
} WsKeyVersion;

/** A removed key whose version is still kept. */
typedef struct {
  char *key;
  guint64 version;
} WsRemovedKey;

/** The replica. Owns everything that it points to, except the settings. */
typedef struct {
  const WsSettings *settings; /**< borrowed */

  /* Versions. */
  GHashTable *versions; /**< key -> WsKeyVersion */
  GQueue removed;       /**< of WsRemovedKey: removed keys that are still in versions */
  guint64 revision;     /**< all changes up to this revision have been applied */
  gboolean is_loading;  /**< records come from a full read, and may have been written at any time */
  guint64 applying_version; /**< version of the record that is being applied */

  /* Changes for other modules, which process them and then empty the arrays and the queue. */
  GArray *new_assignments; /**< of WsTaskRef: tasks with a new assignment */
  GArray *cancelled_jobs;  /**< of WsJobIndex: newly cancelled jobs */
  GQueue mailbox;          /**< of json_t: messages that nodes left for each other in the store */

  /* The cluster. */
  WsEpoch epoch;
  guint64 leader_incarnation; /**< 0 if there is no leader */
  WsNodeIndex leader_node;    /**< from the leader's record; WS_NO_NODE if there is none */
  GArray *members;            /**< of WsMember, ordered by node: nodes that hold a lease */

  /* Jobs. */
  GPtrArray *jobs;        /**< of WsJob, by index */
  GHashTable *job_index;  /**< id -> WsJob */
  GPtrArray *active_jobs; /**< of WsJob, borrowed: jobs that are not in final form */
  WsNameTable images;
  WsResources *team_use;      /**< by team: resources of its assigned tasks */
  gboolean *team_is_recorded; /**< by team: its use was read from the record of the team's group */

  /* Machines. */
  GPtrArray *machines;       /**< of WsMachine, by index */
  GHashTable *machine_index; /**< name -> WsMachine */
  gsize longest_name_bytes;  /**< length of the longest machine name */
  GPtrArray *rental_intents; /**< of WsRentalIntent */
  GPtrArray *rental_batches; /**< of WsRentalBatch */
  GPtrArray *catalog;        /**< of WsType; NULL until it is loaded */
} WsReplica;

/** Creates an empty replica, which the caller frees. @settings: must outlive the replica */
WsReplica *ws_replica_new(const WsSettings *settings);

/** Frees the replica, its jobs and its machines. */
void ws_replica_free(WsReplica *replica);

/**
 * Applies one version of a key.
 *
 * Returns FALSE if this version or a newer one was applied before, or if the value refers to a job
 * whose record has not been applied: neither its value nor its version is then recorded. A damaged
 * value does not affect other records. For most kinds of records it is logged and ignored, see
 * ws-replica-internal.h.
 *
 * @value: borrowed; NULL if the key was removed
 */
gboolean ws_replica_apply(WsReplica *replica, const char *key, const json_t *value,
                          guint64 version);

/**
 * Removes all keys that a full read of the store at the revision did not find. Keys with a newer
 * version stay.
 *
 * @read: set of the keys that the read found
 */
void ws_replica_remove_missing(WsReplica *replica, GHashTable *read, guint64 revision);

/** Returns the key's version for a transaction's condition; 0 if the key does not exist. */
guint64 ws_replica_version(const WsReplica *replica, const char *key);

/** Records that all changes up to the revision have been applied. */
void ws_replica_advance(WsReplica *replica, guint64 revision);

/** Sets the catalog. @catalog: array of WsType; ownership passes to the replica */
void ws_replica_set_catalog(WsReplica *replica, GPtrArray *catalog);

/** Returns the type. The catalog must be loaded. */
const WsType *ws_replica_type(const WsReplica *replica, WsTypeIndex type);

/** Finds a type; WS_NO_TYPE if the catalog is not loaded or lacks it. @name: may be NULL */
WsTypeIndex ws_replica_find_type(const WsReplica *replica, const char *name);

/** Finds a team; WS_NO_TEAM if the settings lack it. @name: not NULL */
WsTeamIndex ws_replica_find_team(const WsReplica *replica, const char *name);

/** Finds a zone; WS_NO_ZONE if the settings lack it. @name: may be NULL */
WsZoneIndex ws_replica_find_zone(const WsReplica *replica, const char *name);

/** Returns the machine with the index, owned by the replica. */
WsMachine *ws_replica_machine(const WsReplica *replica, WsMachineIndex index);

/** Finds a machine by its name. Returns NULL if there is none. */
WsMachine *ws_replica_find_machine(const WsReplica *replica, const char *name);

/** Finds a machine by its name, and adds it to the replica if there is none. */
WsMachine *ws_replica_ensure_machine(WsReplica *replica, const char *name);

/** Sets the machine's type and zone, and whether it is a spot machine. */
void ws_replica_set_machine_attributes(WsReplica *replica, WsMachine *machine, const char *type,
                                       const char *zone, gboolean spot);

/** Returns the job with the index, owned by the replica. */
WsJob *ws_replica_job(const WsReplica *replica, WsJobIndex index);

/** Finds a job by its id. Returns NULL if there is none. */
WsJob *ws_replica_find_job(const WsReplica *replica, const char *id);

/**
 * Replaces a chunk of the job.
 *
 * @index: number of the chunk
 * @chunk: ownership passes to the job; NULL if the chunk's record was removed
 */
void ws_replica_replace_chunk(WsReplica *replica, WsJob *job, guint index, WsChunk *chunk);

/** Counts the job's assigned tasks by zone. @counts: by zone; the numbers are added to it */
void ws_job_count_tasks_by_zone(const WsReplica *replica, const WsJob *job, guint *counts);

/**
 * Returns the job's total time limit in seconds, from its deadline or its class; negative if there
 * is none.
 */
double ws_job_time_limit_s(const WsReplica *replica, const WsJob *job);

/** Returns the seconds that fetching the job's image takes. The catalog must be loaded. */
double ws_job_image_fetch_s(const WsReplica *replica, const WsJob *job);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsReplica, ws_replica_free)

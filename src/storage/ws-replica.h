/**
 * The local replica of the stored state.
 *
 * Everything durable comes in through ws_replica_apply: one key, one value, one version. An older
 * version of a key never replaces a newer one, so a node's own writes may be applied as soon as
 * they are answered and the watch may repeat them later. Only ws_replica_apply and
 * ws_replica_remove_missing change stored state. What a node knows besides is in ws-status.h.
 *
 * Jobs and machines are never removed from the replica, so their indices and addresses stay good.
 */
#pragma once

#include "coordination/ws-epoch.h"
#include "protocol/ws-cloud.h"
#include "protocol/ws-names.h"
#include "storage/ws-job.h"
#include "storage/ws-keys.h"
#include "storage/ws-machine.h"

/** The newest version of a key that was applied. */
typedef struct {
  guint64 version;
  gboolean is_present; /**< FALSE: that version is its removal */
} WsKeyVersion;

/** A removed key whose version is still remembered. */
typedef struct {
  char *key;
  guint64 version;
} WsRemovedKey;

/** The replica. Owns all that it points to but for the settings. */
typedef struct {
  const WsSettings *settings; /**< borrowed */

  /* Versions. */
  GHashTable *versions;     /**< key -> WsKeyVersion */
  GQueue removed;           /**< of WsRemovedKey: removed keys still among the versions */
  guint64 revision;         /**< everything up to here has been applied */
  gboolean is_loading;      /**< what is applied has been read, and may be of any age */
  guint64 applying_version; /**< the version that is being applied */

  /* What has changed, for those who act on it; they empty the arrays. */
  GArray *new_assignments; /**< of WsTaskRef: new assignments */
  GArray *cancelled_jobs;  /**< of WsJobIndex: jobs that were cancelled */
  GQueue mailbox;          /**< of json_t: what nodes left in the store for each other */

  /* The cluster. */
  WsEpoch epoch;
  guint64 leader_incarnation; /**< 0: there is no leader */
  WsNodeIndex leader_node;    /**< of the leader's record; WS_NO_NODE: there is none */
  GArray *members;            /**< of WsMember, ordered by node: who holds a lease now */

  /* Jobs. */
  GPtrArray *jobs;        /**< of WsJob, by index */
  GHashTable *job_index;  /**< id -> WsJob */
  GPtrArray *active_jobs; /**< of WsJob, borrowed: those not in final form */
  WsNames images;
  WsResources *team_use;      /**< by team: what its assigned tasks use */
  gboolean *team_is_recorded; /**< by team: its use comes from the record that it belongs to */

  /* Machines. */
  GPtrArray *machines;       /**< of WsMachine, by index */
  GHashTable *machine_index; /**< name -> WsMachine */
  gsize longest_name_bytes;  /**< of a machine, in bytes */
  GPtrArray *rental_intents; /**< of WsRentalIntent */
  GPtrArray *rental_batches; /**< of WsRentalBatch */
  GPtrArray *catalog;        /**< of WsType; NULL: not known yet */
} WsReplica;

/** An empty replica, which the caller frees. @settings: must outlive it */
WsReplica *ws_replica_new(const WsSettings *settings);

/** Frees the replica with its jobs and machines. */
void ws_replica_free(WsReplica *replica);

/**
 * Applies one version of a key.
 *
 * Returns FALSE if this version or a newer one was applied before. A damaged value is logged and
 * leaves the rest of the replica as it was.
 *
 * @value: borrowed; NULL: the key was removed
 */
gboolean ws_replica_apply(WsReplica *replica, const char *key, const json_t *value,
                          guint64 version);

/**
 * Removes the keys that a load as of the revision has not found; newer ones stay.
 *
 * @read: the set of the keys that it has found
 */
void ws_replica_remove_missing(WsReplica *replica, GHashTable *read, guint64 revision);

/** The key's version, for a condition of a transaction: 0 if the key doesn't exist. */
guint64 ws_replica_version(const WsReplica *replica, const char *key);

/** Notes that everything up to the revision has been applied. */
void ws_replica_advance(WsReplica *replica, guint64 revision);

/** Sets the catalog, an array of WsType. @catalog: taken */
void ws_replica_set_catalog(WsReplica *replica, GPtrArray *catalog);

/** The type; the catalog must be known. */
const WsType *ws_replica_type(const WsReplica *replica, WsTypeIndex type);

/** The type of the name; WS_NO_TYPE: no catalog is known, or it lacks it. @name: may be NULL */
WsTypeIndex ws_replica_find_type(const WsReplica *replica, const char *name);

/** The team of the name; WS_NO_TEAM: the settings don't have it. @name: not NULL */
WsTeamIndex ws_replica_find_team(const WsReplica *replica, const char *name);

/** The zone of the name; WS_NO_ZONE: the settings don't have it. @name: may be NULL */
WsZoneIndex ws_replica_find_zone(const WsReplica *replica, const char *name);

/** The machine with the index, owned by the replica. */
WsMachine *ws_replica_machine(const WsReplica *replica, WsMachineIndex index);

/** The machine of the name; NULL: there is none. */
WsMachine *ws_replica_find_machine(const WsReplica *replica, const char *name);

/** The machine of the name, which is created if the replica lacks it. */
WsMachine *ws_replica_ensure_machine(WsReplica *replica, const char *name);

/** Sets the machine's type, zone and whether it is a spot machine. */
void ws_replica_set_machine_attributes(WsReplica *replica, WsMachine *machine, const char *type,
                                       const char *zone, gboolean spot);

/** The job with the index, owned by the replica. */
WsJob *ws_replica_job(const WsReplica *replica, WsJobIndex index);

/** The job of the id; NULL: there is none. */
WsJob *ws_replica_find_job(const WsReplica *replica, const char *id);

/** Replaces a chunk of the job, by its number. @chunk: taken; NULL: it was removed */
void ws_replica_replace_chunk(WsReplica *replica, WsJob *job, guint index, WsChunk *chunk);

/** Counts the job's assigned tasks. @counts: by zone; they are added to it */
void ws_job_count_tasks_by_zone(const WsReplica *replica, const WsJob *job, guint *counts);

/** Seconds that the job may take in all, by its deadline or class; negative: no limit is known. */
double ws_job_time_limit_s(const WsReplica *replica, const WsJob *job);

/** Seconds that its image takes to fetch; the catalog must be known. */
double ws_job_image_fetch_s(const WsReplica *replica, const WsJob *job);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsReplica, ws_replica_free)

/* The replica of the stored state. What a node knows besides is in ws-status.h.

   Everything durable comes in through ws_replica_apply: one key, one value, one version. An older
   version of a key never replaces a newer one, so a node's own writes may be applied as soon as
   they are answered and the watch may repeat them later. */
#pragma once

#include "storage/ws-chunk.h"
#include "storage/ws-status.h"
#include "storage/ws-keys.h"
#include "coordination/ws-epoch.h"
#include "protocol/ws-cloud.h"

typedef enum { WS_JOB_ACTIVE, WS_JOB_DONE, WS_JOB_CANCELLED } WsJobState;

typedef struct {
  guint index;
  char *id;
  WsJobState state;
  WsJobSpec *spec; /* NULL once the record has shrunk to its final form */
  guint tasks;
  WsTeamIndex team;
  WsImageIndex image;
  WsZoneIndex zone;        /* WS_NONE: any */
  WsNodeIndex coordinator; /* a node, or WS_NONE: the leader */
  gint64 accepted_ms;      /* wall clock */
  gint64 cancelled_ms; /* wall clock of the cancellation; 0: there is none, or nobody wrote when */
  GPtrArray *chunks;   /* of WsChunk or NULL */
  guint completed_count;
  guint assigned_count;
  WsJobStatus status; /* not stored */
} WsJob;

typedef struct {
  WsJobIndex job;
  guint task;
} WsTaskRef;

typedef struct {
  guint index;
  const char *name;
  WsNodeIndex owner;   /* a node of the present epoch, WS_NONE: there is none */
  guint64 owner_since; /* the epoch from which on the same run of the owner has owned it, as far
                          as this node can tell */
  guint64 owner_since_version; /* of that epoch's record */
  gboolean is_recorded; /* a rental batch names it: the machine is ours, and is charged for */
  gboolean is_returned; /* no rental batch names it any more: the cloud has confirmed its return */
  const char *rental_batch; /* interned: the last one that named it */
  guint rental_batches;     /* how many rental batches name it: two, if two nodes met it at the same
                               time */
  WsTypeIndex type;         /* in catalog order, WS_NONE: unknown */
  char *type_name;
  WsZoneIndex zone;
  gboolean spot;
  gint64 rented_ms; /* wall clock */
  gboolean is_marked;
  char *mark_reason;
  gboolean mark_is_immediate; /* without drain: nothing on it can be talked to */
  GArray *tasks;              /* of WsTaskRef */
  WsResources used;
  WsWorkerStatus worker; /* not stored */
  WsFleetStatus fleet;   /* not stored */
} WsMachine;

typedef struct {
  char *request;
  char *type;
  char *zone;
  gboolean spot;
  guint count;
} WsRentalIntent;

/* Machines that came together: one record for all of them, since the state service's changes are
   few and machines come by the hundred. */
typedef struct {
  char *name;
  char *type;
  char *zone;
  gboolean spot;
  gint64 rented_ms; /* wall clock */
  GArray *machines; /* of guint */
} WsRentalBatch;

typedef struct {
  guint64 version;
  gboolean present;
} WsKeyVersion;

typedef struct {
  char *key;
  guint64 version;
} WsRemovedKey;

typedef struct {
  const WsSettings *settings;
  GHashTable *versions; /* key -> WsKeyVersion */
  GQueue removed;       /* of WsRemovedKey: removed keys still among the versions */
  GArray *fresh;        /* of WsTaskRef: assigned since somebody last emptied it */
  GArray *cancelled;    /* of guint: jobs with tasks cancelled since somebody last emptied it */
  guint64 revision;     /* everything up to here has been applied */
  gboolean is_loading;  /* what is applied has been read, and may be of any age */
  guint64 applying;     /* the version that is being applied */
  WsEpoch epoch;
  guint64 leader_incarnation;
  WsNodeIndex leader_node; /* of the leader key, WS_NONE: none */
  GArray *members;         /* of WsMember: who holds a lease now */
  GPtrArray *jobs;         /* of WsJob */
  GHashTable *job_index;
  GPtrArray *active; /* of WsJob: not in final form */
  GPtrArray *machines;
  GHashTable *machine_index;
  gsize longest_name;        /* of a machine, in bytes */
  GPtrArray *rents;          /* of WsRentalIntent */
  GPtrArray *rental_batches; /* of WsRentalBatch */
  GQueue mailbox;            /* of json_t: what nodes left in the store for each other */
  WsResources *team_use;
  gboolean *team_is_recorded; /* its use comes from the record that it belongs to */
  WsNames images;
  GPtrArray *catalog; /* of WsType, NULL: not known yet */
} WsReplica;

WsReplica *ws_replica_new(const WsSettings *settings);
void ws_replica_free(WsReplica *replica);
/* value NULL: removed. Returns whether anything changed. */
gboolean ws_replica_apply(WsReplica *replica, const char *key, const json_t *value,
                          guint64 version);
/* Forgets what is not among the keys that were read with the revision. */
void ws_replica_forget_missing(WsReplica *replica, GHashTable *read, guint64 revision);
/* The version for a condition: 0 if the key does not exist. */
guint64 ws_replica_version(const WsReplica *replica, const char *key);
void ws_replica_advance(WsReplica *replica, guint64 revision);
void ws_replica_set_catalog(WsReplica *replica, GPtrArray *catalog);

WsJob *ws_replica_job(const WsReplica *replica, guint index);
WsJob *ws_replica_find_job(const WsReplica *replica, const char *id);
WsMachine *ws_replica_machine(const WsReplica *replica, guint index);
WsMachine *ws_replica_find_machine(const WsReplica *replica, const char *name);
WsMachine *ws_replica_get_machine(WsReplica *replica, const char *name); /* made if missing */
void ws_replica_describe_machine(WsReplica *replica, WsMachine *machine, const char *type,
                                 const char *zone, gboolean spot);
/* What records change; see ws-records.c. */
/* The machine's owner under the present epoch; last: the epoch before, NULL: the machine is new. */
void ws_replica_find_owner(WsReplica *replica, WsMachine *machine, const WsEpoch *last);
WsJob *ws_replica_add_job(WsReplica *replica, const char *id);
void ws_replica_describe_job(WsReplica *replica, WsJob *job, WsJobSpec *spec /* taken */);
void ws_replica_shrink_job(WsReplica *replica, WsJob *job);
void ws_replica_replace_chunk(WsReplica *replica, WsJob *job, guint index,
                              WsChunk *chunk /* taken */);

gboolean ws_machine_has_image(const WsMachine *machine, WsImageIndex image);
const WsType *ws_replica_type(const WsReplica *replica, WsTypeIndex type);
guint ws_replica_find_type(const WsReplica *replica, const char *name);
guint ws_replica_find_team(const WsReplica *replica, const char *name);
guint ws_replica_find_zone(const WsReplica *replica, const char *name);

WsChunk *ws_job_chunk(const WsJob *job, guint task);
WsAssignment *ws_job_assignment(const WsJob *job, guint task); /* NULL: there is none */

/** Goes through the assignments of a job, whose records must not change meanwhile. */
typedef struct {
  const WsJob *job;
  guint chunk;
  guint place;
} WsAssignmentIter;

void ws_assignment_iter_init(WsAssignmentIter *iter, const WsJob *job);
WsAssignment *ws_assignment_iter_next(WsAssignmentIter *iter); /* NULL: that was the last one */
/* How long the job may take in all, by its deadline or its class; negative: nothing is said. */
double ws_job_allowed_s(const WsReplica *replica, const WsJob *job);
/* How long its image takes to fetch; the catalog must be known. */
double ws_job_fetch_s(const WsReplica *replica, const WsJob *job);
/* The highest attempt number that was given out in any of the job's chunks. */
guint64 ws_job_last_attempt(const WsJob *job);
gboolean ws_job_task_done(const WsJob *job, guint task);
/* The job's assigned tasks by zone. */
void ws_job_count_zones(const WsReplica *replica, const WsJob *job, guint *counts);
guint ws_job_chunk_count(const WsJob *job);
json_t *ws_job_encode(const WsJob *job, WsJobState state, const char *home);
json_t *ws_job_encode_final(const WsJob *job, WsJobState state);

/* The record of a chunk. Where it would be larger than the state service takes, the times of the
   assignments are left out. */
json_t *ws_chunk_encode(const WsChunk *chunk, const WsReplica *replica);
/* Whether the chunk's record is one that the state service takes. */
gboolean ws_chunk_fits_record(const WsChunk *chunk, const WsReplica *replica);
/* How many more tasks may be assigned in the chunk before its record is too large, whatever their
   machines are called. chunk: NULL for an empty one. */
guint ws_chunk_free_places(const WsChunk *chunk, const WsReplica *replica);
json_t *ws_resources_encode(const WsResources *amount);
json_t *ws_rental_batch_encode(const WsRentalBatch *rental_batch, const WsReplica *replica);
/* Whether the rental batch's record takes one more machine of the name. */
gboolean ws_rental_batch_has_place(const WsRentalBatch *rental_batch, const WsReplica *replica,
                                   const char *machine);
/* How many machines of ordinary names a rental batch's record takes; the cloud gives 50 at once. */
guint ws_rental_batch_max_machines(const WsSettings *settings);
void ws_rental_batch_free(WsRentalBatch *rental_batch);
json_t *ws_rental_intent_encode(const WsRentalIntent *rent);
json_t *ws_mark_encode(const char *why, gboolean now);

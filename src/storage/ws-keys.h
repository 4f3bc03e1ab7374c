/**
 * The keys of the stored state. They share one prefix, so that a single watch covers all of them.
 *
 * The spelling of keys is part of the stored format, which all versions of the program share.
 */
#pragma once

#include <glib.h>

/** The common prefix of all keys. */
#define WS_KEY_PREFIX "w/"

/** Keys of records that exist once per cluster. */
#define WS_KEY_EPOCH WS_KEY_PREFIX "epoch"     /**< the current epoch */
#define WS_KEY_CATALOG WS_KEY_PREFIX "catalog" /**< the cloud's catalog */
#define WS_KEY_LEADER WS_KEY_PREFIX "leader"   /**< the leader, held under its lease */

/* Key prefixes by kind of record. Each comment names the part of the key after the prefix, then the
   record. */

/** Node name: a member, under its lease. */
#define WS_KEY_PREFIX_MEMBER WS_KEY_PREFIX "member/"
/** Job id: a job. */
#define WS_KEY_PREFIX_JOB WS_KEY_PREFIX "job/"
/** Job id, "/", chunk number: a chunk. */
#define WS_KEY_PREFIX_CHUNK WS_KEY_PREFIX "task/"
/** Number of a group of teams: the resources used by its teams. */
#define WS_KEY_PREFIX_TEAM_USE WS_KEY_PREFIX "team-use/"
/** Team name: the resources used by the team, in versions before 0.2. */
#define WS_KEY_PREFIX_LEGACY_TEAM_USE WS_KEY_PREFIX "team/"
/** Batch name: a rental batch. */
#define WS_KEY_PREFIX_RENTAL_BATCH WS_KEY_PREFIX "lot/"
/** Machine name: its termination mark. */
#define WS_KEY_PREFIX_MARK WS_KEY_PREFIX "mark/"
/** Idempotency key: a rental intent. */
#define WS_KEY_PREFIX_RENTAL_INTENT WS_KEY_PREFIX "rent/"
/** Node name: its messages for other nodes. */
#define WS_KEY_PREFIX_MAILBOX WS_KEY_PREFIX "mail/"

/* The caller frees the keys that these functions return. */

/** Returns the key of a job's record. */
char *ws_key_job(const char *id);

/** Returns the key of a chunk's record. */
char *ws_key_chunk(const char *id, guint chunk);

/** Returns the key of a record. @prefix: one of the WS_KEY_PREFIX_... constants */
char *ws_key(const char *prefix, const char *name);

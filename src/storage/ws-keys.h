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

/** Key prefixes by kind of record. The comments name the rest of the key, and the record. */
#define WS_KEY_PREFIX_MEMBER WS_KEY_PREFIX "member/" /**< node name: a member, under its lease */
#define WS_KEY_PREFIX_JOB WS_KEY_PREFIX "job/"       /**< job id: a job */
#define WS_KEY_PREFIX_CHUNK WS_KEY_PREFIX "task/"    /**< job id, "/", chunk number: a chunk */
#define WS_KEY_PREFIX_TEAM_USE WS_KEY_PREFIX "team-use/" /**< group: resources used by its teams   \
                                                          */
#define WS_KEY_PREFIX_LEGACY_TEAM_USE WS_KEY_PREFIX "team/" /**< team name: the same, before 0.2   \
                                                             */
#define WS_KEY_PREFIX_RENTAL_BATCH WS_KEY_PREFIX "lot/"     /**< batch name: a rental batch */
#define WS_KEY_PREFIX_MARK WS_KEY_PREFIX "mark/"          /**< machine name: its termination mark */
#define WS_KEY_PREFIX_RENTAL_INTENT WS_KEY_PREFIX "rent/" /**< idempotency key: a rental intent */
#define WS_KEY_PREFIX_MAILBOX WS_KEY_PREFIX "mail/" /**< node name: its messages for other nodes   \
                                                     */

/* The caller frees the keys that these functions return. */

/** Returns the key of a job's record. */
char *ws_key_job(const char *id);

/** Returns the key of a chunk's record. */
char *ws_key_chunk(const char *id, guint chunk);

/** Returns the key of a record. @prefix: one of the WS_KEYS_... prefixes */
char *ws_key(const char *prefix, const char *name);

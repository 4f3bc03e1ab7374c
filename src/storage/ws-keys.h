/**
 * The keys of the stored state. All share one prefix, so that one watch covers them.
 *
 * The spelling of keys is part of the stored format, which all versions of the program share.
 */
#pragma once

#include <glib.h>

/** What all keys begin with. */
#define WS_KEY_PREFIX "w/"

/** Single records. */
#define WS_KEY_EPOCH WS_KEY_PREFIX "epoch"     /**< the present epoch */
#define WS_KEY_CATALOG WS_KEY_PREFIX "catalog" /**< the cloud's catalog */
#define WS_KEY_LEADER WS_KEY_PREFIX "leader"   /**< the leader, under its lease */

/** Prefixes of records, each with what follows it. */
#define WS_KEYS_MEMBER WS_KEY_PREFIX "member/"      /**< node: a member, under its lease */
#define WS_KEYS_JOB WS_KEY_PREFIX "job/"            /**< job */
#define WS_KEYS_CHUNK WS_KEY_PREFIX "task/"         /**< job, "/", number of a chunk */
#define WS_KEYS_TEAM_USE WS_KEY_PREFIX "team-use/"  /**< number of a group of teams */
#define WS_KEYS_LEGACY_TEAM WS_KEY_PREFIX "team/"   /**< team; versions before 0.2 wrote these */
#define WS_KEYS_RENTAL_BATCH WS_KEY_PREFIX "lot/"   /**< rental batch */
#define WS_KEYS_MARK WS_KEY_PREFIX "mark/"          /**< machine: its termination mark */
#define WS_KEYS_RENTAL_INTENT WS_KEY_PREFIX "rent/" /**< idempotency key of a rental */
#define WS_KEYS_MAILBOX WS_KEY_PREFIX "mail/"       /**< node: what it left for the others */

/* The caller frees the keys. */

/** The key of a job's record. */
char *ws_key_job(const char *id);

/** The key of a chunk's record. */
char *ws_key_chunk(const char *id, guint chunk);

/** The key of any record. @prefix: one of WS_KEYS_... */
char *ws_key(const char *prefix, const char *name);

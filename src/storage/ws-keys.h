/* The keys of the stored state. All share one prefix, so that one watch covers them. */
#pragma once

#include <glib.h>

#define WS_PREFIX "w/"
#define WS_KEY_EPOCH WS_PREFIX "epoch"
#define WS_KEY_CATALOG WS_PREFIX "catalog"
#define WS_KEY_LEADER WS_PREFIX "leader"
#define WS_KEYS_MEMBER WS_PREFIX "member/"
#define WS_KEYS_JOB WS_PREFIX "job/"
#define WS_KEYS_TASKS WS_PREFIX "task/"
#define WS_KEYS_TEAM_USE WS_PREFIX "team-use/"
/* A record for each team, which versions before 0.2 wrote. */
#define WS_KEYS_TEAM WS_PREFIX "team/"
#define WS_KEYS_RENTAL_BATCH WS_PREFIX "lot/"
#define WS_KEYS_MARK WS_PREFIX "mark/"
#define WS_KEYS_RENTAL_INTENT WS_PREFIX "rent/"
#define WS_KEYS_MAILBOX WS_PREFIX "mail/"

char *ws_key_job(const char *id);
char *ws_key_chunk(const char *id, guint chunk);
char *ws_key(const char *prefix, const char *name);

/* Versions of keys, and dispatch of changed keys by kind of record. */
#include "storage/ws-replica-internal.h"
#include "storage/ws-team-use.h"

#include <string.h>

static void
apply_catalog(WsReplica *replica, const json_t *value)
{
  GPtrArray *catalog = ws_catalog_parse(value);
  if (catalog != NULL)
    ws_replica_set_catalog(replica, catalog);
}

/* Applies a record that exists once per cluster. Returns FALSE for the key of any other record. */
static gboolean
apply_cluster_record(WsReplica *replica, const char *key, const json_t *value)
{
  static const struct {
    const char *key;
    void (*apply)(WsReplica *, const json_t *);
  } RECORDS[] = { { WS_KEY_EPOCH, ws_replica_apply_epoch },
                  { WS_KEY_LEADER, ws_replica_apply_leader },
                  { WS_KEY_CATALOG, apply_catalog } };
  for (gsize i = 0; i < G_N_ELEMENTS(RECORDS); i++)
    if (strcmp(key, RECORDS[i].key) == 0) {
      RECORDS[i].apply(replica, value);
      return TRUE;
    }
  return FALSE;
}

static void
apply_value(WsReplica *replica, const char *key, const json_t *value)
{
  static const struct {
    const char *prefix;
    void (*apply)(WsReplica *, const char *, const json_t *);
  } KINDS[] = { { WS_KEY_PREFIX_JOB, ws_replica_apply_job },
                { WS_KEY_PREFIX_CHUNK, ws_replica_apply_chunk },
                { WS_KEY_PREFIX_LEGACY_TEAM_USE, ws_team_use_apply_legacy },
                { WS_KEY_PREFIX_TEAM_USE, ws_team_use_apply },
                { WS_KEY_PREFIX_RENTAL_BATCH, ws_replica_apply_rental_batch },
                { WS_KEY_PREFIX_MARK, ws_replica_apply_mark },
                { WS_KEY_PREFIX_RENTAL_INTENT, ws_replica_apply_rental_intent },
                { WS_KEY_PREFIX_MEMBER, ws_replica_apply_member },
                { WS_KEY_PREFIX_MAILBOX, ws_replica_apply_mailbox } };
  if (apply_cluster_record(replica, key, value))
    return;
  for (gsize i = 0; i < G_N_ELEMENTS(KINDS); i++)
    if (g_str_has_prefix(key, KINDS[i].prefix))
      KINDS[i].apply(replica, key + strlen(KINDS[i].prefix), value);
}

static void
record_removal(WsReplica *replica, const char *key, guint64 version)
{
  WsRemovedKey *removed = g_new0(WsRemovedKey, 1);
  *removed = (WsRemovedKey){ g_strdup(key), version };
  g_queue_push_tail(&replica->removed, removed);
}

/* Whether the value can't be applied since the record that it refers to hasn't been applied yet.
   Only a chunk can't do without such a record: that of its job. */
static gboolean
lacks_referenced_record(const WsReplica *replica, const char *key, const json_t *value)
{
  return value != NULL && g_str_has_prefix(key, WS_KEY_PREFIX_CHUNK)
         && !ws_replica_has_job_of_chunk(replica, key + strlen(WS_KEY_PREFIX_CHUNK));
}

/* Whether the replica has this version of the key or a newer one. Without a recorded version, the
   key was removed at a revision that the replica has reached, except while pages are being read:
   such a version is an own write that the store confirms late. */
static gboolean
is_outdated(const WsReplica *replica, const WsKeyVersion *newest, guint64 version)
{
  return newest != NULL ? newest->version >= version
                        : !replica->is_loading && version <= replica->revision;
}

gboolean
ws_replica_apply(WsReplica *replica, const char *key, const json_t *value, guint64 version)
{
  WsKeyVersion *newest = g_hash_table_lookup(replica->versions, key);
  if (is_outdated(replica, newest, version))
    return FALSE;
  if (lacks_referenced_record(replica, key, value)) {
    g_info("record %s, version %" G_GUINT64_FORMAT
           ", not applied: its job's record is unknown at revision %" G_GUINT64_FORMAT,
           key, version, replica->revision);
    return FALSE;
  }
  if (newest == NULL) {
    newest = g_new0(WsKeyVersion, 1);
    g_hash_table_insert(replica->versions, g_strdup(key), newest);
  }
  if (value == NULL)
    record_removal(replica, key, version);
  newest->version = version;
  newest->is_present = value != NULL;
  replica->applying_version = version;
  apply_value(replica, key, value);
  return TRUE;
}

void
ws_replica_remove_missing(WsReplica *replica, GHashTable *read, guint64 revision)
{
  g_autoptr(GPtrArray) missing = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init(&iter, replica->versions);
  while (g_hash_table_iter_next(&iter, &key, &value)) {
    const WsKeyVersion *newest = value;
    if (newest->is_present && newest->version <= revision && !g_hash_table_contains(read, key))
      g_ptr_array_add(missing, g_strdup(key));
  }
  for (guint i = 0; i < missing->len; i++) {
    const char *name = g_ptr_array_index(missing, i);
    WsKeyVersion *newest = g_hash_table_lookup(replica->versions, name);
    newest->is_present = FALSE;
    record_removal(replica, name, newest->version);
    apply_value(replica, name, NULL);
  }
}

/* Also drops the versions of removed keys. The version of a removed key is kept until the watch has
   passed its removal; after that, is_outdated() refuses older values of the key. */
void
ws_replica_advance(WsReplica *replica, guint64 revision)
{
  if (revision <= replica->revision)
    return;
  replica->revision = revision;
  WsRemovedKey *removed;
  while ((removed = g_queue_peek_head(&replica->removed)) != NULL && removed->version <= revision) {
    const WsKeyVersion *newest = g_hash_table_lookup(replica->versions, removed->key);
    if (newest != NULL && !newest->is_present && newest->version <= revision)
      g_hash_table_remove(replica->versions, removed->key);
    g_free(removed->key);
    g_free(g_queue_pop_head(&replica->removed));
  }
}

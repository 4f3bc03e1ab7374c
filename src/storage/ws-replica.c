/* Creation of the replica, and lookup of jobs, machines, types, teams and zones. */
#include "storage/ws-replica-internal.h"

#include <string.h>

/* Lower bound that prevents division by 0, since a catalog may contain a rate of 0. */
#define MIN_FETCH_GB_PER_S 0.01

static void
mailbox_message_free(gpointer data)
{
  json_decref(data);
}

static void
removed_key_free(gpointer data)
{
  g_free(((WsRemovedKey *)data)->key);
  g_free(data);
}

WsReplica *
ws_replica_new(const WsSettings *settings)
{
  WsReplica *replica = g_new0(WsReplica, 1);
  replica->settings = settings;
  replica->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  ws_epoch_init(&replica->epoch);
  replica->leader_node = WS_NO_NODE;
  replica->members = g_array_new(FALSE, FALSE, sizeof(WsMember));
  replica->jobs = g_ptr_array_new_with_free_func((GDestroyNotify)ws_job_free);
  replica->job_index = g_hash_table_new(g_str_hash, g_str_equal);
  replica->active_jobs = g_ptr_array_new();
  replica->machines = g_ptr_array_new_with_free_func((GDestroyNotify)ws_machine_free);
  replica->machine_index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  replica->rental_intents = g_ptr_array_new_with_free_func((GDestroyNotify)ws_rental_intent_free);
  replica->rental_batches = g_ptr_array_new_with_free_func((GDestroyNotify)ws_rental_batch_free);
  g_queue_init(&replica->mailbox);
  replica->new_assignments = g_array_new(FALSE, FALSE, sizeof(WsTaskRef));
  replica->cancelled_jobs = g_array_new(FALSE, FALSE, sizeof(WsJobIndex));
  g_queue_init(&replica->removed);
  replica->team_use = g_new0(WsResources, MAX(settings->teams->len, 1u));
  replica->team_is_recorded = g_new0(gboolean, MAX(settings->teams->len, 1u));
  ws_name_table_init(&replica->images);
  return replica;
}

void
ws_replica_free(WsReplica *replica)
{
  g_hash_table_unref(replica->versions);
  g_queue_clear_full(&replica->removed, removed_key_free);
  g_array_unref(replica->new_assignments);
  g_array_unref(replica->cancelled_jobs);
  ws_epoch_clear(&replica->epoch);
  g_array_unref(replica->members);
  g_ptr_array_unref(replica->active_jobs);
  g_hash_table_unref(replica->job_index);
  g_ptr_array_unref(replica->jobs);
  g_ptr_array_unref(replica->machines);
  g_hash_table_unref(replica->machine_index);
  g_ptr_array_unref(replica->rental_intents);
  g_ptr_array_unref(replica->rental_batches);
  g_queue_clear_full(&replica->mailbox, mailbox_message_free);
  g_free(replica->team_use);
  g_free(replica->team_is_recorded);
  ws_name_table_clear(&replica->images);
  if (replica->catalog != NULL)
    g_ptr_array_unref(replica->catalog);
  g_free(replica);
}

WsJob *
ws_replica_job(const WsReplica *replica, WsJobIndex index)
{
  return g_ptr_array_index(replica->jobs, index);
}

WsJob *
ws_replica_find_job(const WsReplica *replica, const char *id)
{
  return g_hash_table_lookup(replica->job_index, id);
}

WsMachine *
ws_replica_machine(const WsReplica *replica, WsMachineIndex index)
{
  return g_ptr_array_index(replica->machines, index);
}

WsMachine *
ws_replica_find_machine(const WsReplica *replica, const char *name)
{
  return g_hash_table_lookup(replica->machine_index, name);
}

WsTypeIndex
ws_replica_find_type(const WsReplica *replica, const char *name)
{
  if (replica->catalog == NULL || name == NULL)
    return WS_NO_TYPE;
  for (WsTypeIndex t = 0; t < replica->catalog->len; t++)
    if (strcmp(ws_replica_type(replica, t)->name, name) == 0)
      return t;
  return WS_NO_TYPE;
}

void
ws_replica_set_catalog(WsReplica *replica, GPtrArray *catalog)
{
  if (replica->catalog != NULL)
    g_ptr_array_unref(replica->catalog);
  replica->catalog = catalog;
  for (WsMachineIndex i = 0; i < replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(replica, i);
    machine->type = ws_replica_find_type(replica, machine->type_name);
  }
}

const WsType *
ws_replica_type(const WsReplica *replica, WsTypeIndex type)
{
  return g_ptr_array_index(replica->catalog, type);
}

WsTeamIndex
ws_replica_find_team(const WsReplica *replica, const char *name)
{
  const GPtrArray *teams = replica->settings->teams;
  for (WsTeamIndex t = 0; t < teams->len; t++) {
    const WsTeamSettings *team = g_ptr_array_index(teams, t);
    if (strcmp(team->name, name) == 0)
      return t;
  }
  return WS_NO_TEAM;
}

WsZoneIndex
ws_replica_find_zone(const WsReplica *replica, const char *name)
{
  const GPtrArray *zones = replica->settings->zones;
  for (WsZoneIndex z = 0; name != NULL && z < zones->len; z++)
    if (strcmp(g_ptr_array_index(zones, z), name) == 0)
      return z;
  return WS_NO_ZONE;
}

guint64
ws_replica_version(const WsReplica *replica, const char *key)
{
  const WsKeyVersion *newest = g_hash_table_lookup(replica->versions, key);
  return newest != NULL && newest->is_present ? newest->version : 0;
}

void
ws_job_count_tasks_by_zone(const WsReplica *replica, const WsJob *job, guint *counts)
{
  WsAssignmentIter iter;
  ws_assignment_iter_init(&iter, job);
  const WsAssignment *assignment;
  while ((assignment = ws_assignment_iter_next(&iter)) != NULL) {
    WsZoneIndex zone = ws_replica_machine(replica, assignment->machine)->zone;
    if (zone != WS_NO_ZONE)
      counts[zone]++;
  }
}

double
ws_job_time_limit_s(const WsReplica *replica, const WsJob *job)
{
  return job->spec->deadline_s >= 0.0
             ? job->spec->deadline_s
             : ws_settings_completion_objective_s(replica->settings, job->spec->class_name);
}

double
ws_job_image_fetch_s(const WsReplica *replica, const WsJob *job)
{
  return job->spec->image_gb / MAX(ws_replica_type(replica, 0)->fetch_gb_per_s, MIN_FETCH_GB_PER_S);
}

#include "storage/ws-replica.h"

#include <string.h>

static void
job_free(gpointer data)
{
  WsJob *job = data;
  for (guint i = 0; i < job->chunks->len; i++)
    ws_chunk_free(g_ptr_array_index(job->chunks, i));
  g_free(job->id);
  ws_job_spec_free(job->spec);
  g_ptr_array_unref(job->chunks);
  g_free(job);
}

static void
machine_free(gpointer data)
{
  WsMachine *machine = data;
  g_free(machine->type_name);
  g_free(machine->worker.endpoint);
  g_free(machine->mark_reason);
  g_array_unref(machine->tasks);
  g_array_unref(machine->worker.images);
  g_free(machine);
}

static void
rent_free(gpointer data)
{
  WsRentalIntent *rent = data;
  g_free(rent->request);
  g_free(rent->type);
  g_free(rent->zone);
  g_free(rent);
}

void
ws_rental_batch_free(WsRentalBatch *rental_batch)
{
  g_free(rental_batch->name);
  g_free(rental_batch->type);
  g_free(rental_batch->zone);
  g_array_unref(rental_batch->machines);
  g_free(rental_batch);
}

static void
mail_free(gpointer data)
{
  json_decref(data);
}

static void
removed_free(gpointer data)
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
  replica->jobs = g_ptr_array_new_with_free_func(job_free);
  replica->job_index = g_hash_table_new(g_str_hash, g_str_equal);
  replica->active = g_ptr_array_new();
  replica->machines = g_ptr_array_new_with_free_func(machine_free);
  replica->machine_index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  replica->rents = g_ptr_array_new_with_free_func(rent_free);
  replica->rental_batches = g_ptr_array_new_with_free_func((GDestroyNotify)ws_rental_batch_free);
  g_queue_init(&replica->mailbox);
  replica->fresh = g_array_new(FALSE, FALSE, sizeof(WsTaskRef));
  replica->cancelled = g_array_new(FALSE, FALSE, sizeof(guint));
  g_queue_init(&replica->removed);
  replica->team_use = g_new0(WsResources, MAX(settings->teams->len, 1u));
  replica->team_is_recorded = g_new0(gboolean, MAX(settings->teams->len, 1u));
  ws_names_init(&replica->images);
  return replica;
}

void
ws_replica_free(WsReplica *replica)
{
  g_hash_table_unref(replica->versions);
  g_queue_clear_full(&replica->removed, removed_free);
  g_array_unref(replica->fresh);
  g_array_unref(replica->cancelled);
  ws_epoch_clear(&replica->epoch);
  g_array_unref(replica->members);
  g_ptr_array_unref(replica->active);
  g_hash_table_unref(replica->job_index);
  g_ptr_array_unref(replica->jobs);
  g_ptr_array_unref(replica->machines);
  g_hash_table_unref(replica->machine_index);
  g_ptr_array_unref(replica->rents);
  g_ptr_array_unref(replica->rental_batches);
  g_queue_clear_full(&replica->mailbox, mail_free);
  g_free(replica->team_use);
  g_free(replica->team_is_recorded);
  ws_names_clear(&replica->images);
  if (replica->catalog != NULL)
    g_ptr_array_unref(replica->catalog);
  g_free(replica);
}

WsJob *
ws_replica_job(const WsReplica *replica, guint index)
{
  return g_ptr_array_index(replica->jobs, index);
}

WsJob *
ws_replica_find_job(const WsReplica *replica, const char *id)
{
  return g_hash_table_lookup(replica->job_index, id);
}

WsMachine *
ws_replica_machine(const WsReplica *replica, guint index)
{
  return g_ptr_array_index(replica->machines, index);
}

WsMachine *
ws_replica_find_machine(const WsReplica *replica, const char *name)
{
  return g_hash_table_lookup(replica->machine_index, name);
}

void
ws_replica_find_owner(WsReplica *replica, WsMachine *machine, const WsEpoch *last)
{
  WsNodeIndex owner = ws_epoch_owner(&replica->epoch, machine->name, replica->settings);
  if (last == NULL || owner != machine->owner
      || !ws_epoch_continues(last, &replica->epoch, owner)) {
    machine->owner_since = replica->epoch.number;
    machine->owner_since_version = ws_replica_version(replica, WS_KEY_EPOCH);
  }
  machine->owner = owner;
}

WsMachine *
ws_replica_get_machine(WsReplica *replica, const char *name)
{
  WsMachine *machine = ws_replica_find_machine(replica, name);
  if (machine != NULL)
    return machine;
  machine = g_new0(WsMachine, 1);
  char *copy = g_strdup(name);
  machine->name = copy;
  replica->longest_name = MAX(replica->longest_name, strlen(copy));
  machine->index = replica->machines->len;
  machine->type = WS_NO_TYPE;
  machine->zone = WS_NO_ZONE;
  machine->fleet.last_failed_job = WS_NO_JOB;
  machine->worker.handled_owner = WS_NO_NODE;
  machine->tasks = g_array_new(FALSE, FALSE, sizeof(WsTaskRef));
  machine->worker.images = g_array_new(FALSE, FALSE, sizeof(guint));
  g_ptr_array_add(replica->machines, machine);
  g_hash_table_insert(replica->machine_index, copy, machine);
  ws_replica_find_owner(replica, machine, NULL);
  return machine;
}

gboolean
ws_machine_has_image(const WsMachine *machine, WsImageIndex image)
{
  for (guint i = 0; i < machine->worker.images->len; i++)
    if (g_array_index(machine->worker.images, guint, i) == image)
      return TRUE;
  return FALSE;
}

guint
ws_replica_find_type(const WsReplica *replica, const char *name)
{
  for (guint t = 0; replica->catalog != NULL && name != NULL && t < replica->catalog->len; t++)
    if (strcmp(ws_replica_type(replica, t)->name, name) == 0)
      return t;
  return WS_NONE;
}

void
ws_replica_describe_machine(WsReplica *replica, WsMachine *machine, const char *type,
                            const char *zone, gboolean spot)
{
  if (g_strcmp0(machine->type_name, type) != 0) {
    g_free(machine->type_name);
    machine->type_name = g_strdup(type);
  }
  machine->type = ws_replica_find_type(replica, type);
  machine->zone = ws_replica_find_zone(replica, zone);
  machine->spot = spot;
}

void
ws_replica_set_catalog(WsReplica *replica, GPtrArray *catalog)
{
  if (replica->catalog != NULL)
    g_ptr_array_unref(replica->catalog);
  replica->catalog = catalog;
  for (guint i = 0; i < replica->machines->len; i++) {
    WsMachine *machine = ws_replica_machine(replica, i);
    machine->type = ws_replica_find_type(replica, machine->type_name);
  }
}

const WsType *
ws_replica_type(const WsReplica *replica, WsTypeIndex type)
{
  return g_ptr_array_index(replica->catalog, type);
}

guint
ws_replica_find_team(const WsReplica *replica, const char *name)
{
  for (guint t = 0; t < replica->settings->teams->len; t++)
    if (strcmp(((WsTeamSettings *)g_ptr_array_index(replica->settings->teams, t))->name, name) == 0)
      return t;
  return WS_NONE;
}

guint
ws_replica_find_zone(const WsReplica *replica, const char *name)
{
  for (guint z = 0; name != NULL && z < replica->settings->zones->len; z++)
    if (strcmp(g_ptr_array_index(replica->settings->zones, z), name) == 0)
      return z;
  return WS_NONE;
}

/* Jobs and their chunks. */

guint
ws_job_chunk_count(const WsJob *job)
{
  return (job->tasks + WS_CHUNK_TASKS - 1) / WS_CHUNK_TASKS;
}

WsChunk *
ws_job_chunk(const WsJob *job, guint task)
{
  guint chunk = task / WS_CHUNK_TASKS;
  return chunk < job->chunks->len ? g_ptr_array_index(job->chunks, chunk) : NULL;
}

WsAssignment *
ws_job_assignment(const WsJob *job, guint task)
{
  return ws_chunk_find(ws_job_chunk(job, task), task);
}

void
ws_assignment_iter_init(WsAssignmentIter *iter, const WsJob *job)
{
  *iter = (WsAssignmentIter){ .job = job };
}

WsAssignment *
ws_assignment_iter_next(WsAssignmentIter *iter)
{
  for (; iter->chunk < iter->job->chunks->len; iter->chunk++) {
    const WsChunk *chunk = g_ptr_array_index(iter->job->chunks, iter->chunk);
    if (chunk != NULL && iter->place < chunk->assignments->len)
      return &g_array_index(chunk->assignments, WsAssignment, iter->place++);
    iter->place = 0;
  }
  return NULL;
}

void
ws_job_count_zones(const WsReplica *replica, const WsJob *job, guint *counts)
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
ws_job_allowed_s(const WsReplica *replica, const WsJob *job)
{
  return job->spec->deadline_s >= 0.0
             ? job->spec->deadline_s
             : ws_settings_finish_within(replica->settings, job->spec->class_name);
}

double
ws_job_fetch_s(const WsReplica *replica, const WsJob *job)
{
  return job->spec->image_gb / MAX(ws_replica_type(replica, 0)->fetch_gb_per_s, 0.01);
}

guint64
ws_job_last_attempt(const WsJob *job)
{
  guint64 last = 0;
  for (guint c = 0; c < job->chunks->len; c++) {
    const WsChunk *chunk = g_ptr_array_index(job->chunks, c);
    last = MAX(last, chunk != NULL ? chunk->last_attempt : 0);
  }
  return last;
}

gboolean
ws_job_task_done(const WsJob *job, guint task)
{
  return ws_chunk_is_done(ws_job_chunk(job, task), task);
}

static void
link_assignment(WsReplica *replica, WsJob *job, const WsAssignment *assignment)
{
  WsMachine *machine = ws_replica_machine(replica, assignment->machine);
  WsTaskRef ref = { job->index, assignment->task };
  g_array_append_val(machine->tasks, ref);
  ws_resources_add(&machine->used, &job->spec->need, 1);
  machine->fleet.empty_ms = 0;
}

static void
unlink_assignment(WsReplica *replica, WsJob *job, const WsAssignment *assignment)
{
  WsMachine *machine = ws_replica_machine(replica, assignment->machine);
  for (guint i = 0; i < machine->tasks->len; i++) {
    const WsTaskRef *ref = &g_array_index(machine->tasks, WsTaskRef, i);
    if (ref->job == job->index && ref->task == assignment->task) {
      g_array_remove_index_fast(machine->tasks, i);
      ws_resources_add(&machine->used, &job->spec->need, -1);
      return;
    }
  }
}

static void
unlink_chunk(WsReplica *replica, WsJob *job, guint index)
{
  WsChunk *old = index < job->chunks->len ? g_ptr_array_index(job->chunks, index) : NULL;
  if (old == NULL)
    return;
  for (guint i = 0; i < old->assignments->len; i++)
    unlink_assignment(replica, job, &g_array_index(old->assignments, WsAssignment, i));
  job->assigned_count -= old->assignments->len;
  job->completed_count -= old->completed_count;
}

/* What a node knows beyond the record survives a new version of the record; what wasn't there is
   kept for whoever launches. */
static void
keep_soft(WsReplica *replica, const WsJob *job, WsChunk *chunk, const WsChunk *old)
{
  for (guint i = 0; i < chunk->assignments->len; i++) {
    WsAssignment *fresh = &g_array_index(chunk->assignments, WsAssignment, i);
    const WsAssignment *known = ws_chunk_find(old, fresh->task);
    if (known != NULL && known->attempt == fresh->attempt && known->machine == fresh->machine) {
      *fresh = *known;
      continue;
    }
    fresh->since_version = replica->is_loading ? 0 : replica->applying;
    WsTaskRef ref = { job->index, fresh->task };
    g_array_append_val(replica->fresh, ref);
    ws_replica_machine(replica, fresh->machine)->fleet.underused_ms = 0; /* its hold begins anew */
  }
}

void
ws_replica_replace_chunk(WsReplica *replica, WsJob *job, guint index, WsChunk *chunk)
{
  if (job->chunks->len <= index)
    g_ptr_array_set_size(job->chunks, (gint)index + 1);
  unlink_chunk(replica, job, index);
  WsChunk *old = g_ptr_array_index(job->chunks, index);
  if (chunk != NULL) {
    keep_soft(replica, job, chunk, old);
    for (guint i = 0; i < chunk->assignments->len; i++)
      link_assignment(replica, job, &g_array_index(chunk->assignments, WsAssignment, i));
    job->assigned_count += chunk->assignments->len;
    job->completed_count += chunk->completed_count;
  }
  g_ptr_array_index(job->chunks, index) = chunk;
  ws_chunk_free(old);
}

WsJob *
ws_replica_add_job(WsReplica *replica, const char *id)
{
  WsJob *job = g_new0(WsJob, 1);
  job->index = replica->jobs->len;
  job->id = g_strdup(id);
  job->chunks = g_ptr_array_new();
  job->coordinator = WS_NO_NODE;
  g_ptr_array_add(replica->jobs, job);
  g_hash_table_insert(replica->job_index, job->id, job);
  return job;
}

void
ws_replica_shrink_job(WsReplica *replica, WsJob *job)
{
  for (guint i = 0; i < job->chunks->len; i++)
    ws_replica_replace_chunk(replica, job, i, NULL);
  g_ptr_array_set_size(job->chunks, 0);
  g_ptr_array_remove(replica->active, job);
  ws_job_spec_free(job->spec);
  job->spec = NULL;
}

void
ws_replica_describe_job(WsReplica *replica, WsJob *job, WsJobSpec *spec)
{
  job->spec = spec;
  job->tasks = spec->tasks;
  job->team = ws_replica_find_team(replica, spec->team);
  job->image = ws_names_intern(&replica->images, spec->image);
  job->zone = ws_replica_find_zone(replica, spec->zone);
  g_ptr_array_add(replica->active, job);
}

guint64
ws_replica_version(const WsReplica *replica, const char *key)
{
  const WsKeyVersion *known = g_hash_table_lookup(replica->versions, key);
  return known != NULL && known->present ? known->version : 0;
}

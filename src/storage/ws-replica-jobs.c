/* How the replica applies records of jobs and chunks. */
#include "storage/ws-chunk-record.h"
#include "storage/ws-job-record.h"
#include "storage/ws-replica-internal.h"

#include <string.h>

#define DECIMAL_BASE 10

void
ws_job_free(WsJob *job)
{
  for (guint i = 0; i < job->chunks->len; i++)
    ws_chunk_free(g_ptr_array_index(job->chunks, i));
  g_free(job->id);
  ws_job_spec_free(job->spec);
  g_ptr_array_unref(job->chunks);
  g_free(job);
}

static void
link_assignment(WsReplica *replica, const WsJob *job, const WsAssignment *assignment)
{
  WsMachine *machine = ws_replica_machine(replica, assignment->machine);
  WsTaskRef ref = { job->index, assignment->task };
  g_array_append_val(machine->tasks, ref);
  ws_resources_add(&machine->used, &job->spec->need, 1);
  machine->fleet.empty_since_ms = 0;
}

static void
unlink_assignment(WsReplica *replica, const WsJob *job, const WsAssignment *assignment)
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

/* Carries over the local status of unchanged assignments, which is not stored, to a new version of
   the chunk. New assignments are added to the replica's list for launching. */
static void
carry_over_status(WsReplica *replica, const WsJob *job, WsChunk *chunk, const WsChunk *old)
{
  for (guint i = 0; i < chunk->assignments->len; i++) {
    WsAssignment *assignment = &g_array_index(chunk->assignments, WsAssignment, i);
    const WsAssignment *previous = ws_chunk_find(old, assignment->task);
    if (previous != NULL && previous->attempt == assignment->attempt
        && previous->machine == assignment->machine) {
      *assignment = *previous;
      continue;
    }
    assignment->assigned_version = replica->is_loading ? 0 : replica->applying_version;
    WsTaskRef ref = { job->index, assignment->task };
    g_array_append_val(replica->new_assignments, ref);
    /* Restarts the machine's idle timeout. */
    ws_replica_machine(replica, assignment->machine)->fleet.underused_since_ms = 0;
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
    carry_over_status(replica, job, chunk, old);
    for (guint i = 0; i < chunk->assignments->len; i++)
      link_assignment(replica, job, &g_array_index(chunk->assignments, WsAssignment, i));
    job->assigned_count += chunk->assignments->len;
    job->completed_count += chunk->completed_count;
  }
  g_ptr_array_index(job->chunks, index) = chunk;
  ws_chunk_free(old);
}

static WsJob *
add_job(WsReplica *replica, const char *id)
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

static void
discard_spec_and_chunks(WsReplica *replica, WsJob *job)
{
  for (guint i = 0; i < job->chunks->len; i++)
    ws_replica_replace_chunk(replica, job, i, NULL);
  g_ptr_array_set_size(job->chunks, 0);
  g_ptr_array_remove(replica->active_jobs, job);
  ws_job_spec_free(job->spec);
  job->spec = NULL;
}

static void
set_spec(WsReplica *replica, WsJob *job, WsJobSpec *spec /* takes ownership */)
{
  job->spec = spec;
  job->tasks = spec->tasks;
  job->team = ws_replica_find_team(replica, spec->team);
  job->image = ws_name_table_intern(&replica->images, spec->image);
  job->zone = ws_replica_find_zone(replica, spec->zone);
  g_ptr_array_add(replica->active_jobs, job);
}

static void
apply_final_form(WsReplica *replica, WsJob *job, const WsJobRecord *record)
{
  if (job->spec != NULL)
    discard_spec_and_chunks(replica, job);
  if (record->has_task_count)
    job->tasks = record->tasks;
}

static void
parse_and_set_spec(WsReplica *replica, WsJob *job, const json_t *message)
{
  g_autoptr(GError) error = NULL;
  WsJobSpec *spec = ws_job_spec_parse(message, &error);
  if (spec != NULL)
    set_spec(replica, job, spec);
  else
    g_warning("record of job %s has an invalid specification: %s", job->id, error->message);
}

void
ws_replica_apply_job(WsReplica *replica, const char *id, const json_t *value)
{
  WsJobRecord record;
  if (value == NULL || !ws_job_record_parse(value, &record)) {
    g_warning("record of job %s is %s", id, value == NULL ? "removed" : "damaged");
    return;
  }
  WsJob *job = ws_replica_find_job(replica, id);
  if (job == NULL)
    job = add_job(replica, id);
  gboolean is_newly_cancelled = record.state == WS_JOB_CANCELLED && job->state != WS_JOB_CANCELLED;
  job->state = record.state;
  if (record.spec == NULL) {
    apply_final_form(replica, job, &record);
    return;
  }
  job->accepted_ms = record.accepted_ms;
  job->cancelled_ms = record.cancelled_ms;
  if (is_newly_cancelled)
    g_array_append_val(replica->cancelled_jobs, job->index);
  job->coordinator = ws_settings_find_node(replica->settings, record.coordinator);
  if (job->spec == NULL)
    parse_and_set_spec(replica, job, record.spec);
}

/* The job of a chunk's key without its prefix; NULL if the replica lacks it. @number: set to the
   text after the job's id */
static WsJob *
find_job_of_chunk(const WsReplica *replica, const char *job_and_number, const char **number)
{
  const char *slash = strrchr(job_and_number, '/');
  if (slash == NULL)
    return NULL;
  g_autofree char *id = g_strndup(job_and_number, (gsize)(slash - job_and_number));
  *number = slash + 1;
  return ws_replica_find_job(replica, id);
}

gboolean
ws_replica_has_job_of_chunk(const WsReplica *replica, const char *job_and_number)
{
  const char *number;
  return find_job_of_chunk(replica, job_and_number, &number) != NULL;
}

void
ws_replica_apply_chunk(WsReplica *replica, const char *job_and_number, const json_t *value)
{
  const char *number;
  WsJob *job = find_job_of_chunk(replica, job_and_number, &number);
  guint64 index;
  if (job == NULL || job->spec == NULL
      || !g_ascii_string_to_unsigned(number, DECIMAL_BASE, 0, ws_job_chunk_count(job) - 1, &index,
                                     NULL))
    return;
  WsChunk *chunk = value != NULL ? ws_chunk_parse(replica, value) : NULL;
  if (value != NULL && chunk == NULL) {
    g_warning("record of chunk %s is damaged", job_and_number);
    return;
  }
  ws_replica_replace_chunk(replica, job, (guint)index, chunk);
}

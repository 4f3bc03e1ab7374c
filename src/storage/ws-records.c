/* The records of the state service: how each is written, and what it changes in the replica. */
#include "storage/ws-team-use.h"

#include <string.h>

/* Punctuation of an assignment in a chunk's record, and of the record around them. */
#define BYTES_AROUND_ASSIGNMENT 7
#define BYTES_AROUND_CHUNK 21
/* Digits of a time of day in milliseconds, and its comma. */
#define BYTES_OF_TIME 14
/* An assignment on a machine with a long name, for the count of free places. */
#define BYTES_OF_LONG_ASSIGNMENT 44

static gsize
count_digits(guint64 number)
{
  gsize digits = 1;
  for (; number >= 10; number /= 10)
    digits++;
  return digits;
}

/* Bytes of the chunk's record without the times of its assignments. */
static gsize
bytes_without_times(const WsChunk *chunk, const WsReplica *replica)
{
  gsize bytes = BYTES_AROUND_CHUNK + count_digits(chunk->last_attempt) + 2 * sizeof chunk->done;
  for (guint i = 0; i < chunk->assignments->len; i++) {
    const WsAssignment *assignment = &g_array_index(chunk->assignments, WsAssignment, i);
    const char *machine = ws_replica_machine(replica, assignment->machine)->name;
    bytes += BYTES_AROUND_ASSIGNMENT + count_digits(assignment->task)
             + count_digits(assignment->attempt) + strlen(machine);
  }
  return bytes;
}

/* No chunk's record has more, whatever its tasks are and where: found without looking at them,
   since it's asked for each of hundreds of tasks in each transaction. */
static gsize
most_bytes_without_times(const WsReplica *replica)
{
  gsize most_digits = count_digits(G_MAXUINT64);
  gsize an_assignment
      = BYTES_AROUND_ASSIGNMENT + count_digits(WS_MAX_TASKS) + most_digits + replica->longest_name;
  return BYTES_AROUND_CHUNK + most_digits + 2 * sizeof(((WsChunk *)NULL)->done)
         + WS_CHUNK_TASKS * MAX(an_assignment, BYTES_OF_LONG_ASSIGNMENT);
}

gboolean
ws_chunk_fits_record(const WsChunk *chunk, const WsReplica *replica)
{
  gsize most = replica->settings->state_record_bytes;
  return most_bytes_without_times(replica) <= most || bytes_without_times(chunk, replica) <= most;
}

guint
ws_chunk_free_places(const WsChunk *chunk, const WsReplica *replica)
{
  gsize most = replica->settings->state_record_bytes;
  if (most_bytes_without_times(replica) <= most)
    return WS_CHUNK_TASKS;
  gsize used = chunk != NULL ? bytes_without_times(chunk, replica) : BYTES_AROUND_CHUNK;
  return used < most ? (guint)((most - used) / BYTES_OF_LONG_ASSIGNMENT) : 0;
}

json_t *
ws_chunk_encode(const WsChunk *chunk, const WsReplica *replica)
{
  json_t *on = json_array();
  gboolean has_times
      = bytes_without_times(chunk, replica) + (gsize)BYTES_OF_TIME * chunk->assignments->len
        <= replica->settings->state_record_bytes;
  for (guint i = 0; i < chunk->assignments->len; i++) {
    const WsAssignment *assignment = &g_array_index(chunk->assignments, WsAssignment, i);
    json_t *item = json_pack("[i, s, I]", (int)assignment->task,
                             ws_replica_machine(replica, assignment->machine)->name,
                             (json_int_t)assignment->attempt);
    if (has_times)
      json_array_append_new(item, json_integer((json_int_t)assignment->assigned_ms));
    json_array_append_new(on, item);
  }
  char hex[2 * sizeof chunk->done + 1];
  for (guint i = 0; i < sizeof chunk->done; i++)
    g_snprintf(hex + (gsize)2 * i, 3, "%02x", chunk->done[i]);
  return json_pack("{s:I, s:o, s:s}", "a", (json_int_t)chunk->last_attempt, "on", on, "d", hex);
}

static gboolean
decode_done(WsChunk *chunk, const char *hex)
{
  if (strlen(hex) != 2 * sizeof chunk->done)
    return FALSE;
  for (guint i = 0; i < sizeof chunk->done; i++) {
    gint high = g_ascii_xdigit_value(hex[(gsize)2 * i]);
    gint low = g_ascii_xdigit_value(hex[(gsize)2 * i + 1]);
    if (high < 0 || low < 0)
      return FALSE;
    chunk->done[i] = (guint8)(high << 4 | low);
    for (guint bits = chunk->done[i]; bits != 0; bits &= bits - 1)
      chunk->completed_count++;
  }
  return TRUE;
}

static WsChunk *
decode_chunk(WsReplica *replica, const json_t *value)
{
  WsChunk *chunk = ws_chunk_copy(NULL);
  const char *hex = "";
  size_t i;
  const json_t *item;
  gboolean good = ws_json_count(value, "a", &chunk->last_attempt)
                  && ws_json_string(value, "d", &hex) && decode_done(chunk, hex);
  json_array_foreach(json_object_get(value, "on"), i, item)
  {
    const char *machine = json_string_value(json_array_get(item, 1));
    good = good && machine != NULL;
    if (!good)
      break;
    WsAssignment assignment = { 0 };
    assignment.task = (guint)json_integer_value(json_array_get(item, 0));
    assignment.attempt = (guint64)json_integer_value(json_array_get(item, 2));
    assignment.assigned_ms = json_integer_value(json_array_get(item, 3));
    assignment.machine = ws_replica_get_machine(replica, machine)->index;
    ws_chunk_add(chunk, &assignment);
  }
  if (good)
    return chunk;
  ws_chunk_free(chunk);
  return NULL;
}

static void
apply_chunk(WsReplica *replica, const char *name, const json_t *value)
{
  const char *slash = strrchr(name, '/');
  if (slash == NULL)
    return;
  g_autofree char *id = g_strndup(name, (gsize)(slash - name));
  WsJob *job = ws_replica_find_job(replica, id);
  guint64 index;
  if (job == NULL || job->spec == NULL
      || !g_ascii_string_to_unsigned(slash + 1, 10, 0, ws_job_chunk_count(job) - 1, &index, NULL))
    return;
  WsChunk *chunk = value != NULL ? decode_chunk(replica, value) : NULL;
  if (value != NULL && chunk == NULL) {
    g_warning("record of tasks %s is damaged", name);
    return;
  }
  ws_replica_replace_chunk(replica, job, (guint)index, chunk);
}

static const char *const JOB_STATES[] = { "active", "done", "cancelled" };

json_t *
ws_job_encode(const WsJob *job, WsJobState state, const char *home)
{
  json_t *value = json_pack("{s:s, s:I, s:s, s:o}", "s", JOB_STATES[state], "at",
                            (json_int_t)job->accepted_ms, "home", home, "spec",
                            ws_job_spec_encode(job->spec));
  if (state == WS_JOB_CANCELLED)
    json_object_set_new(value, "cancelled", json_integer((json_int_t)job->cancelled_ms));
  return value;
}

json_t *
ws_job_encode_final(const WsJob *job, WsJobState state)
{
  return json_pack("{s:s, s:i}", "s", JOB_STATES[state], "n", (int)job->tasks);
}

static gboolean
decode_job_state(const json_t *value, WsJobState *state)
{
  const char *word;
  if (!ws_json_string(value, "s", &word))
    return FALSE;
  for (guint s = 0; s < G_N_ELEMENTS(JOB_STATES); s++)
    if (strcmp(JOB_STATES[s], word) == 0) {
      *state = (WsJobState)s;
      return TRUE;
    }
  return FALSE;
}

static void
apply_job(WsReplica *replica, const char *id, const json_t *value)
{
  WsJobState state;
  if (value == NULL || !decode_job_state(value, &state)) {
    g_warning("record of job %s is %s", id, value == NULL ? "removed" : "damaged");
    return;
  }
  WsJob *job = ws_replica_find_job(replica, id);
  if (job == NULL)
    job = ws_replica_add_job(replica, id);
  gboolean is_cancelled = state == WS_JOB_CANCELLED && job->state != state;
  job->state = state;
  const json_t *spec = json_object_get(value, "spec");
  const char *home = "";
  if (spec == NULL) {
    guint64 tasks = job->tasks;
    if (job->spec != NULL)
      ws_replica_shrink_job(replica, job);
    (void)ws_json_count(value, "n", &tasks);
    job->tasks = (guint)tasks;
    return;
  }
  guint64 at = 0, cancelled = 0;
  (void)ws_json_count(value, "at", &at);
  (void)ws_json_count(value, "cancelled", &cancelled);
  (void)ws_json_string(value, "home", &home);
  job->accepted_ms = (gint64)at;
  job->cancelled_ms = (gint64)cancelled;
  if (is_cancelled)
    g_array_append_val(replica->cancelled, job->index);
  job->coordinator = ws_settings_find_node(replica->settings, home);
  if (job->spec != NULL)
    return;
  g_autoptr(GError) error = NULL;
  WsJobSpec *parsed = ws_job_spec_parse(spec, &error);
  if (parsed != NULL)
    ws_replica_describe_job(replica, job, parsed);
  else
    g_warning("record of job %s: %s", id, error->message);
}

/* The other records. */

json_t *
ws_resources_encode(const WsResources *amount)
{
  return json_pack("{s:I, s:I}", "c", (json_int_t)amount->cpus, "g", (json_int_t)amount->gpus);
}

/* A rental batch's record but for its type, its zone and the names of its machines. */
#define BYTES_AROUND_BATCH 90
/* Quotation marks and comma around a name, and an ordinary name. */
#define BYTES_AROUND_NAME 3
#define BYTES_OF_ORDINARY_NAME 20
#define MAX_MACHINES_PER_BATCH 50

gboolean
ws_rental_batch_has_place(const WsRentalBatch *rental_batch, const WsReplica *replica,
                          const char *machine)
{
  gsize bytes = BYTES_AROUND_BATCH + strlen(rental_batch->type) + strlen(rental_batch->zone)
                + strlen(machine) + BYTES_AROUND_NAME;
  for (guint i = 0; i < rental_batch->machines->len; i++)
    bytes += strlen(
                 ws_replica_machine(replica, g_array_index(rental_batch->machines, guint, i))->name)
             + BYTES_AROUND_NAME;
  return bytes <= replica->settings->state_record_bytes;
}

guint
ws_rental_batch_max_machines(const WsSettings *settings)
{
  gsize left = (gsize)settings->state_record_bytes - (gsize)2 * BYTES_AROUND_BATCH;
  return MIN((guint)(left / (BYTES_AROUND_NAME + BYTES_OF_ORDINARY_NAME)), MAX_MACHINES_PER_BATCH);
}

json_t *
ws_rental_batch_encode(const WsRentalBatch *rental_batch, const WsReplica *replica)
{
  json_t *names = json_array();
  for (guint i = 0; i < rental_batch->machines->len; i++)
    json_array_append_new(
        names,
        json_string(
            ws_replica_machine(replica, g_array_index(rental_batch->machines, guint, i))->name));
  return json_pack("{s:s, s:s, s:b, s:I, s:o}", "type", rental_batch->type, "zone",
                   rental_batch->zone, "spot", rental_batch->spot, "at",
                   (json_int_t)rental_batch->rented_ms, "names", names);
}

static WsRentalBatch *
decode_rental_batch(WsReplica *replica, const char *name, const json_t *value)
{
  const char *type, *zone;
  gboolean spot;
  guint64 at;
  size_t i;
  const json_t *item;
  if (!ws_json_string(value, "type", &type) || !ws_json_string(value, "zone", &zone)
      || !ws_json_bool(value, "spot", &spot) || !ws_json_count(value, "at", &at)) {
    g_warning("record of rental batch %s is damaged", name);
    return NULL;
  }
  WsRentalBatch *rental_batch = g_new0(WsRentalBatch, 1);
  *rental_batch
      = (WsRentalBatch){ g_strdup(name), g_strdup(type), g_strdup(zone), spot, (gint64)at, NULL };
  rental_batch->machines = g_array_new(FALSE, FALSE, sizeof(guint));
  json_array_foreach(json_object_get(value, "names"), i, item) if (json_is_string(item))
  {
    WsMachine *machine = ws_replica_get_machine(replica, json_string_value(item));
    g_array_append_val(rental_batch->machines, machine->index);
    ws_replica_describe_machine(replica, machine, type, zone, spot);
    machine->is_recorded = TRUE;
    machine->rental_batches++;
    machine->rental_batch = g_intern_string(name);
    machine->rented_ms = (gint64)at;
  }
  return rental_batch;
}

static void
end_rental_batch(WsReplica *replica, const WsRentalBatch *rental_batch)
{
  for (guint i = 0; i < rental_batch->machines->len; i++) {
    WsMachine *machine
        = ws_replica_machine(replica, g_array_index(rental_batch->machines, guint, i));
    machine->rental_batches--;
    if (machine->rental_batches > 0)
      continue;
    machine->is_recorded = FALSE;
    machine->is_returned = TRUE;
  }
}

/* The new rental batch counts before the old one ends, so that who is in both is not gone
 * meanwhile. */
static void
apply_rental_batch(WsReplica *replica, const char *name, const json_t *value)
{
  WsRentalBatch *rental_batch = value != NULL ? decode_rental_batch(replica, name, value) : NULL;
  if (value != NULL && rental_batch == NULL)
    return;
  for (guint i = 0; i < replica->rental_batches->len; i++) {
    const WsRentalBatch *old = g_ptr_array_index(replica->rental_batches, i);
    if (strcmp(old->name, name) != 0)
      continue;
    end_rental_batch(replica, old);
    g_ptr_array_remove_index_fast(replica->rental_batches, i);
    break;
  }
  if (rental_batch != NULL)
    g_ptr_array_add(replica->rental_batches, rental_batch);
}

/* Whoever it is for reads it; see ws-peer-requests.c. */
static void
apply_mailbox(WsReplica *replica, const char *name, const json_t *value)
{
  (void)name;
  if (value != NULL)
    g_queue_push_tail(&replica->mailbox, json_incref((json_t *)value));
}

json_t *
ws_mark_encode(const char *why, gboolean now)
{
  return json_pack("{s:s, s:b}", "why", why, "now", now);
}

static void
apply_mark(WsReplica *replica, const char *name, const json_t *value)
{
  WsMachine *machine = ws_replica_get_machine(replica, name);
  const char *why = "";
  machine->is_marked = value != NULL;
  machine->mark_is_immediate = FALSE;
  machine->fleet.mark_is_pending = FALSE;
  g_clear_pointer(&machine->mark_reason, g_free);
  if (value == NULL)
    return;
  (void)ws_json_string(value, "why", &why);
  (void)ws_json_bool(value, "now", &machine->mark_is_immediate);
  machine->mark_reason = g_strdup(why);
}

json_t *
ws_rental_intent_encode(const WsRentalIntent *rent)
{
  return json_pack("{s:s, s:s, s:b, s:i}", "type", rent->type, "zone", rent->zone, "spot",
                   rent->spot, "count", (int)rent->count);
}

static void
apply_rent(WsReplica *replica, const char *request, const json_t *value)
{
  for (guint i = 0; i < replica->rents->len; i++) {
    const WsRentalIntent *rent = g_ptr_array_index(replica->rents, i);
    if (strcmp(rent->request, request) == 0) {
      g_ptr_array_remove_index(replica->rents, i);
      break;
    }
  }
  const char *type, *zone;
  gboolean spot;
  guint64 count;
  if (value == NULL)
    return;
  if (!ws_json_string(value, "type", &type) || !ws_json_string(value, "zone", &zone)
      || !ws_json_bool(value, "spot", &spot) || !ws_json_count(value, "count", &count)) {
    g_warning("record of rental %s is damaged", request);
    return;
  }
  WsRentalIntent *rent = g_new0(WsRentalIntent, 1);
  *rent = (WsRentalIntent){ g_strdup(request), g_strdup(type), g_strdup(zone), spot, (guint)count };
  g_ptr_array_add(replica->rents, rent);
}

static void
apply_member(WsReplica *replica, const char *name, const json_t *value)
{
  WsNodeIndex node = ws_settings_find_node(replica->settings, name);
  guint i = 0;
  while (i < replica->members->len && g_array_index(replica->members, WsMember, i).node < node)
    i++;
  if (i < replica->members->len && g_array_index(replica->members, WsMember, i).node == node)
    g_array_remove_index(replica->members, i);
  WsMember member = { node, 0 };
  if (node != WS_NO_NODE && value != NULL
      && ws_json_count(value, "incarnation", &member.incarnation))
    g_array_insert_val(replica->members, i, member);
}

static void
apply_leader(WsReplica *replica, const json_t *value)
{
  const char *name = NULL;
  replica->leader_incarnation = 0;
  (void)ws_json_string(value, "node", &name);
  (void)ws_json_count(value, "incarnation", &replica->leader_incarnation);
  replica->leader_node = ws_settings_find_node(replica->settings, name);
}

static void
apply_epoch(WsReplica *replica, const json_t *value)
{
  WsEpoch last = replica->epoch;
  WsEpoch next;
  ws_epoch_init(&next);
  if (value == NULL || !ws_epoch_parse(&next, value, replica->settings)) {
    g_warning("the epoch's record is missing or damaged");
    ws_epoch_clear(&next);
    return;
  }
  replica->epoch = next;
  for (guint i = 0; i < replica->machines->len; i++)
    ws_replica_find_owner(replica, ws_replica_machine(replica, i), &last);
  ws_epoch_clear(&last);
}

static void
apply_value(WsReplica *replica, const char *key, const json_t *value)
{
  static const struct {
    const char *prefix;
    void (*apply)(WsReplica *, const char *, const json_t *);
  } KINDS[] = { { WS_KEYS_JOB, apply_job },
                { WS_KEYS_TASKS, apply_chunk },
                { WS_KEYS_TEAM, ws_team_use_apply_single },
                { WS_KEYS_TEAM_USE, ws_team_use_apply },
                { WS_KEYS_RENTAL_BATCH, apply_rental_batch },
                { WS_KEYS_MARK, apply_mark },
                { WS_KEYS_RENTAL_INTENT, apply_rent },
                { WS_KEYS_MEMBER, apply_member },
                { WS_KEYS_MAILBOX, apply_mailbox } };
  if (strcmp(key, WS_KEY_EPOCH) == 0) {
    apply_epoch(replica, value);
    return;
  }
  if (strcmp(key, WS_KEY_LEADER) == 0) {
    apply_leader(replica, value);
    return;
  }
  if (strcmp(key, WS_KEY_CATALOG) == 0) {
    GPtrArray *catalog = ws_catalog_parse(value);
    if (catalog != NULL)
      ws_replica_set_catalog(replica, catalog);
    return;
  }
  for (gsize i = 0; i < G_N_ELEMENTS(KINDS); i++)
    if (g_str_has_prefix(key, KINDS[i].prefix))
      KINDS[i].apply(replica, key + strlen(KINDS[i].prefix), value);
}

static void
note_removed(WsReplica *replica, const char *key, guint64 version)
{
  WsRemovedKey *removed = g_new0(WsRemovedKey, 1);
  *removed = (WsRemovedKey){ g_strdup(key), version };
  g_queue_push_tail(&replica->removed, removed);
}

gboolean
ws_replica_apply(WsReplica *replica, const char *key, const json_t *value, guint64 version)
{
  WsKeyVersion *known = g_hash_table_lookup(replica->versions, key);
  if (known != NULL && known->version >= version)
    return FALSE;
  if (known == NULL) {
    known = g_new0(WsKeyVersion, 1);
    g_hash_table_insert(replica->versions, g_strdup(key), known);
  }
  if (value == NULL)
    note_removed(replica, key, version);
  known->version = version;
  known->present = value != NULL;
  replica->applying = version;
  apply_value(replica, key, value);
  return TRUE;
}

void
ws_replica_forget_missing(WsReplica *replica, GHashTable *read, guint64 revision)
{
  g_autoptr(GPtrArray) gone = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init(&iter, replica->versions);
  while (g_hash_table_iter_next(&iter, &key, &value)) {
    const WsKeyVersion *known = value;
    if (known->present && known->version <= revision && !g_hash_table_contains(read, key))
      g_ptr_array_add(gone, g_strdup(key));
  }
  for (guint i = 0; i < gone->len; i++) {
    const char *name = g_ptr_array_index(gone, i);
    WsKeyVersion *known = g_hash_table_lookup(replica->versions, name);
    known->present = FALSE;
    note_removed(replica, name, known->version);
    apply_value(replica, name, NULL);
  }
}

/* A removed key is remembered only until the watch has passed its removal: from then on no older
   value of it can come. */
void
ws_replica_advance(WsReplica *replica, guint64 revision)
{
  if (revision <= replica->revision)
    return;
  replica->revision = revision;
  WsRemovedKey *removed;
  while ((removed = g_queue_peek_head(&replica->removed)) != NULL && removed->version <= revision) {
    const WsKeyVersion *known = g_hash_table_lookup(replica->versions, removed->key);
    if (known != NULL && !known->present && known->version <= revision)
      g_hash_table_remove(replica->versions, removed->key);
    g_free(removed->key);
    g_free(g_queue_pop_head(&replica->removed));
  }
}

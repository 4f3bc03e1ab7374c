/* Size, encoding and parsing of a chunk's record. */
#include "storage/ws-chunk-record.h"

#include <string.h>

/* Stored field names. */
#define FIELD_LAST_ATTEMPT "a"
#define FIELD_ASSIGNMENTS "on"
#define FIELD_COMPLETED "d" /* bit set, one bit per task, in hexadecimal digits */

/* Positions in the array that encodes an assignment. */
#define ITEM_TASK 0
#define ITEM_MACHINE 1
#define ITEM_ATTEMPT 2
#define ITEM_ASSIGNED_MS 3 /* omitted if the record would be too large */

/* Bytes of punctuation and field names: per assignment, and of the record without assignments. */
#define ASSIGNMENT_OVERHEAD_BYTES 7
#define CHUNK_OVERHEAD_BYTES 21
/* 13 digits of a wall-clock time in milliseconds, and a comma. */
#define ASSIGNED_TIME_BYTES 14
/* Size of an assignment to a machine with a long name, for the number of free slots. */
#define LONG_ASSIGNMENT_BYTES 44

static gsize
count_digits(guint64 number)
{
  gsize digits = 1;
  for (; number >= 10; number /= 10)
    digits++;
  return digits;
}

/* Size of the chunk's record without the times of its assignments. */
static gsize
record_bytes_without_times(const WsChunk *chunk, const WsReplica *replica)
{
  gsize bytes
      = CHUNK_OVERHEAD_BYTES + count_digits(chunk->last_attempt) + 2 * sizeof chunk->completed;
  for (guint i = 0; i < chunk->assignments->len; i++) {
    const WsAssignment *assignment = &g_array_index(chunk->assignments, WsAssignment, i);
    const char *machine = ws_replica_machine(replica, assignment->machine)->name;
    bytes += ASSIGNMENT_OVERHEAD_BYTES + count_digits(assignment->task)
             + count_digits(assignment->attempt) + strlen(machine);
  }
  return bytes;
}

/* Upper bound of record_bytes_without_times for any chunk of the replica. It does not iterate over
   the assignments, since it is computed for each of hundreds of tasks per transaction. */
static gsize
max_record_bytes_without_times(const WsReplica *replica)
{
  gsize max_digits = count_digits(G_MAXUINT64);
  gsize assignment_bytes = ASSIGNMENT_OVERHEAD_BYTES + count_digits(WS_MAX_TASKS) + max_digits
                           + replica->longest_name_bytes;
  return CHUNK_OVERHEAD_BYTES + max_digits + 2 * sizeof(((WsChunk *)NULL)->completed)
         + WS_CHUNK_TASKS * MAX(assignment_bytes, LONG_ASSIGNMENT_BYTES);
}

gboolean
ws_chunk_fits_record(const WsChunk *chunk, const WsReplica *replica)
{
  gsize max_bytes = replica->settings->kv_max_record_bytes;
  return max_record_bytes_without_times(replica) <= max_bytes
         || record_bytes_without_times(chunk, replica) <= max_bytes;
}

guint
ws_chunk_free_slots(const WsChunk *chunk, const WsReplica *replica)
{
  gsize max_bytes = replica->settings->kv_max_record_bytes;
  if (max_record_bytes_without_times(replica) <= max_bytes)
    return WS_CHUNK_TASKS;
  gsize used_bytes
      = chunk != NULL ? record_bytes_without_times(chunk, replica) : CHUNK_OVERHEAD_BYTES;
  return used_bytes < max_bytes ? (guint)((max_bytes - used_bytes) / LONG_ASSIGNMENT_BYTES) : 0;
}

/* Writes the bit set of completed tasks as hexadecimal digits. @hex: has space for the digits and a
   terminating zero */
static void
encode_completed(const WsChunk *chunk, char *hex)
{
  for (guint i = 0; i < sizeof chunk->completed; i++)
    g_snprintf(hex + (gsize)2 * i, 3, "%02x", chunk->completed[i]);
}

json_t *
ws_chunk_encode(const WsChunk *chunk, const WsReplica *replica)
{
  json_t *assignments = json_array();
  gboolean has_times = record_bytes_without_times(chunk, replica)
                           + (gsize)ASSIGNED_TIME_BYTES * chunk->assignments->len
                       <= replica->settings->kv_max_record_bytes;
  for (guint i = 0; i < chunk->assignments->len; i++) {
    const WsAssignment *assignment = &g_array_index(chunk->assignments, WsAssignment, i);
    json_t *item = json_pack("[i, s, I]", (int)assignment->task,
                             ws_replica_machine(replica, assignment->machine)->name,
                             (json_int_t)assignment->attempt);
    if (has_times)
      json_array_append_new(item, json_integer((json_int_t)assignment->assigned_ms));
    json_array_append_new(assignments, item);
  }
  char hex[2 * sizeof chunk->completed + 1];
  encode_completed(chunk, hex);
  return json_pack("{s:I, s:o, s:s}", FIELD_LAST_ATTEMPT, (json_int_t)chunk->last_attempt,
                   FIELD_ASSIGNMENTS, assignments, FIELD_COMPLETED, hex);
}

static gboolean
parse_completed(WsChunk *chunk, const char *hex)
{
  if (strlen(hex) != 2 * sizeof chunk->completed)
    return FALSE;
  for (guint i = 0; i < sizeof chunk->completed; i++) {
    gint high = g_ascii_xdigit_value(hex[(gsize)2 * i]);
    gint low = g_ascii_xdigit_value(hex[(gsize)2 * i + 1]);
    if (high < 0 || low < 0)
      return FALSE;
    chunk->completed[i] = (guint8)(high << 4 | low);
    for (guint bits = chunk->completed[i]; bits != 0; bits &= bits - 1)
      chunk->completed_count++;
  }
  return TRUE;
}

static gboolean
parse_assignment(WsReplica *replica, const json_t *item, WsAssignment *assignment)
{
  const char *machine;
  guint64 task, attempt, assigned_ms = 0;
  if (!ws_json_uint64_at(item, ITEM_TASK, &task) || task >= WS_MAX_TASKS
      || !ws_json_string_at(item, ITEM_MACHINE, &machine)
      || !ws_json_uint64_at(item, ITEM_ATTEMPT, &attempt)
      || (json_array_size(item) > ITEM_ASSIGNED_MS
          && !ws_json_uint64_at(item, ITEM_ASSIGNED_MS, &assigned_ms)))
    return FALSE;
  *assignment = (WsAssignment){
    .task = (guint)task,
    .machine = ws_replica_ensure_machine(replica, machine)->index,
    .attempt = attempt,
    .assigned_ms = (gint64)assigned_ms,
  };
  return TRUE;
}

WsChunk *
ws_chunk_parse(WsReplica *replica, const json_t *value)
{
  g_autoptr(WsChunk) chunk = ws_chunk_copy(NULL);
  const char *hex = "";
  const json_t *assignments = json_object_get(value, FIELD_ASSIGNMENTS);
  if (!json_is_array(assignments)
      || !ws_json_uint64(value, FIELD_LAST_ATTEMPT, &chunk->last_attempt)
      || !ws_json_string(value, FIELD_COMPLETED, &hex) || !parse_completed(chunk, hex))
    return NULL;
  size_t i;
  const json_t *item;
  json_array_foreach(assignments, i, item)
  {
    WsAssignment assignment;
    if (!parse_assignment(replica, item, &assignment))
      return NULL;
    ws_chunk_add(chunk, &assignment);
  }
  return g_steal_pointer(&chunk);
}

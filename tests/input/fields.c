/**
 * Fields that a reader uses: wrong kinds of value, spellings of numbers, integers up to 2^64 - 1,
 * and damaged entries of lists.
 */
#include "input/input.h"
#include "membership/ws-peer-request-message.h"
#include "protocol/ws-cloud.h"
#include "protocol/ws-heartbeat.h"
#include "protocol/ws-kv.h"
#include "storage/ws-chunk-record.h"
#include "storage/ws-replica.h"
#include "ws-test-settings.h"

#include <string.h>

/* The kinds of value that a field can have. */
typedef enum {
  KIND_STRING,
  KIND_STRING_OR_NULL,
  KIND_AMOUNT, /* a decimal number that isn't negative */
  KIND_AMOUNT_OR_NULL,
  KIND_COUNT,
  KIND_BOOL,
  KIND_BOOL_OR_NULL,
  KIND_NAMES_OR_NULL,
  KIND_LIST,
  KIND_COUNT_OF_KINDS
} FieldKind;

typedef struct {
  const char *name;
  const char *value; /* a sound one */
  FieldKind kind;
} Field;

#define MAX_WRONG_VALUES 16
#define MAX_FIELDS 24
/* The field is left out. */
#define MISSING "missing"
/* The field stands twice. */
#define TWICE "twice"

#define WRONG_STRINGS                                                                              \
  "7", "true", "[]", "{}", "18446744073709551616", "\"\\u0000\"", "\"\\ud800\"", TWICE
#define WRONG_AMOUNTS "\"4.0\"", "true", "[]", "{}", "-1.0", "-1", "1e400", "-1e400", "1e300", TWICE
#define WRONG_BOOLS "0", "1", "\"true\"", "[]", "{}", TWICE

static const char *const WRONG_VALUES[KIND_COUNT_OF_KINDS][MAX_WRONG_VALUES] = {
  [KIND_STRING] = { WRONG_STRINGS, "null", MISSING },
  [KIND_STRING_OR_NULL] = { WRONG_STRINGS },
  [KIND_AMOUNT] = { WRONG_AMOUNTS, "null", MISSING },
  [KIND_AMOUNT_OR_NULL] = { WRONG_AMOUNTS },
  [KIND_COUNT] = { "\"16\"", "true", "[]", "{}", "-1", "1.5", "16.0", "1.6e1", "1e400",
                   "18446744073709551616", "null", MISSING, TWICE },
  [KIND_BOOL] = { WRONG_BOOLS, "null", MISSING },
  [KIND_BOOL_OR_NULL] = { WRONG_BOOLS },
  [KIND_NAMES_OR_NULL]
  = { "\"g8\"", "7", "true", "{}", "[7]", "[null]", "[\"\\u0000\"]", "[[]]", "[1e400]", TWICE },
  [KIND_LIST] = { "\"g8\"", "7", "true", "{}", "[7]", "[null]", "[[]]", "null", MISSING, TWICE },
};

static const Field SUBMISSION_FIELDS[] = {
  { "id", "\"req-000412\"", KIND_STRING },
  { "trida", "\"train\"", KIND_STRING },
  { "dilna", "\"vision\"", KIND_STRING },
  { "druh", "\"sweep\"", KIND_STRING },
  { "prednost", "\"urgent\"", KIND_STRING },
  { "kusy", "16", KIND_COUNT },
  { "cpus", "8.0", KIND_AMOUNT },
  { "accelerators", "1.0", KIND_AMOUNT },
  { "mem_gb", "64.0", KIND_AMOUNT },
  { "obraz", "\"img-07\"", KIND_STRING },
  { "pull_gb", "6.2", KIND_AMOUNT },
  { "typy", "[\"g8\"]", KIND_NAMES_OR_NULL },
  { "hala", "\"a\"", KIND_STRING_OR_NULL },
  { "one_zone", "true", KIND_BOOL },
  { "scatter", "false", KIND_BOOL },
  { "vypujcky", "true", KIND_BOOL },
  { "odhad_s", "240.0", KIND_AMOUNT },
  { "zaloha_s", "30.0", KIND_AMOUNT },
  { "ulozeni_s", "4.0", KIND_AMOUNT },
  { "termin_s", "900.0", KIND_AMOUNT_OR_NULL },
};

/* The fields of a heartbeat, without vypoved_s, which may have any number. */
static const Field HEARTBEAT_FIELDS[] = {
  { "stroj", "\"m-000231\"", KIND_STRING },
  { "endpoint", "\"10.1.0.232:9000\"", KIND_STRING },
  { "typ", "\"g8\"", KIND_STRING },
  { "hala", "\"a\"", KIND_STRING },
  { "vypujcky", "true", KIND_BOOL },
  { "smena", "1", KIND_COUNT },
  { "poradi", "88", KIND_COUNT },
  { "pecet", "41", KIND_COUNT },
  { "kusy", "[]", KIND_LIST },
};

static const Field TASK_FIELDS[] = {
  { "kus", "\"req-000412/3\"", KIND_STRING }, { "pokus", "2", KIND_COUNT },
  { "stav", "\"exited\"", KIND_STRING },      { "duvod", "\"done\"", KIND_STRING_OR_NULL },
  { "stored", "true", KIND_BOOL_OR_NULL },
};

/* Returns an object with the fields, in which the field @damaged has the value. */
static char *
object_text(const Field *fields, gsize count, gsize damaged, const char *value)
{
  GString *text = g_string_new("{\"x_first\":0");
  for (gsize i = 0; i < count; i++) {
    gboolean is_damaged = i == damaged;
    if (is_damaged && strcmp(value, MISSING) == 0)
      continue;
    gboolean is_twice = is_damaged && strcmp(value, TWICE) == 0;
    const char *written = is_damaged && !is_twice ? value : fields[i].value;
    for (gint copies = is_twice ? 2 : 1; copies > 0; copies--)
      g_string_append_printf(text, ",\"%s\":%s", fields[i].name, written);
  }
  g_string_append_c(text, '}');
  return g_string_free(text, FALSE);
}

typedef void (*ParseText)(const char *text, GError **error);

/* Each wrong value of each field is refused, with an error that names the field. */
static void
check_wrong_values(const Field *fields, gsize count, const char *format, ParseText parse)
{
  for (gsize f = 0; f < count; f++)
    for (const char *const *wrong = WRONG_VALUES[fields[f].kind]; *wrong != NULL; wrong++) {
      g_autofree char *object = object_text(fields, count, f, *wrong);
      g_autofree char *text = g_strdup_printf(format, object);
      g_autoptr(GError) error = NULL;
      g_test_message("%s: %s", fields[f].name, *wrong);
      parse(text, &error);
      g_assert_error(error, WS_ERROR, WS_ERROR_INVALID_FIELD);
      g_autofree char *expected = g_strdup_printf("%s is missing or invalid", fields[f].name);
      g_assert_cmpstr(error->message, ==, expected);
    }
}

static void
parse_submission(const char *text, GError **error)
{
  g_autoptr(json_t) message = ws_json_parse(text, strlen(text));
  g_autoptr(WsJobSpec) spec = ws_job_spec_parse(message, error);
}

static void
parse_heartbeat(const char *text, GError **error)
{
  g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse_text(text, strlen(text), error);
}

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
void
test_submission_field_of_wrong_kind_is_named(void)
{
  g_autofree char *sound = object_text(SUBMISSION_FIELDS, G_N_ELEMENTS(SUBMISSION_FIELDS),
                                       G_N_ELEMENTS(SUBMISSION_FIELDS), NULL);
  g_autoptr(GError) error = NULL;
  parse_submission(sound, &error);
  g_assert_no_error(error);
  check_wrong_values(SUBMISSION_FIELDS, G_N_ELEMENTS(SUBMISSION_FIELDS), "%s", parse_submission);
}

void
test_heartbeat_field_of_wrong_kind_is_named(void)
{
  g_autofree char *sound = object_text(HEARTBEAT_FIELDS, G_N_ELEMENTS(HEARTBEAT_FIELDS),
                                       G_N_ELEMENTS(HEARTBEAT_FIELDS), NULL);
  g_autoptr(GError) error = NULL;
  parse_heartbeat(sound, &error);
  g_assert_no_error(error);
  check_wrong_values(HEARTBEAT_FIELDS, G_N_ELEMENTS(HEARTBEAT_FIELDS), "%s", parse_heartbeat);
  static const char WITH_TASK[]
      = "{\"stroj\":\"m-1\",\"endpoint\":\"w:1\",\"typ\":\"g8\",\"hala\":\"a\",\"vypujcky\":true,"
        "\"smena\":1,\"poradi\":88,\"pecet\":41,\"kusy\":[%s]}";
  check_wrong_values(TASK_FIELDS, G_N_ELEMENTS(TASK_FIELDS), WITH_TASK, parse_heartbeat);
}
#pragma GCC diagnostic pop

void
test_amounts_are_read_in_any_spelling(void)
{
  static const char *const EIGHT[]
      = { "8", "8.0", "8.000", "80e-1", "0.8E+1", "0.08e2", "8e0", "8.0000000000000000000000000" };
  gsize cpus = 6;
  g_assert_cmpstr(SUBMISSION_FIELDS[cpus].name, ==, "cpus");
  for (gsize i = 0; i < G_N_ELEMENTS(EIGHT); i++) {
    g_autofree char *text
        = object_text(SUBMISSION_FIELDS, G_N_ELEMENTS(SUBMISSION_FIELDS), cpus, EIGHT[i]);
    g_autoptr(json_t) message = ws_json_parse(text, strlen(text));
    g_autoptr(WsJobSpec) spec = ws_job_spec_parse(message, NULL);
    g_assert_nonnull(spec);
    g_assert_cmpint(spec->need.cpus, ==, 8000);
  }
}

/* Integers up to 2^64 - 1. */

static const char *const LARGE_INTEGERS[]
    = { "9223372036854775807", "9223372036854775808", "9223372036854775809", "18446744073709551614",
        "18446744073709551615" };

static void
check_heartbeat_integers(const char *digits, guint64 number)
{
  g_autofree char *text = g_strdup_printf(
      "{\"stroj\":\"m-1\",\"endpoint\":\"w:1\",\"typ\":\"g8\",\"hala\":\"a\",\"vypujcky\":true,"
      "\"smena\":%s,\"poradi\":%s,\"pecet\":%s,\"kusy\":[{\"kus\":\"req-1/0\",\"pokus\":%s,"
      "\"stav\":\"running\"}]}",
      digits, digits, digits, digits);
  g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse_text(text, strlen(text), NULL);
  g_assert_nonnull(heartbeat);
  g_assert_cmpuint(heartbeat->incarnation, ==, number);
  g_assert_cmpuint(heartbeat->sequence, ==, number);
  g_assert_cmpuint(heartbeat->fencing_token, ==, number);
  g_assert_cmpuint(g_array_index(heartbeat->tasks, WsTaskStatus, 0).attempt, ==, number);
}

static void
assert_written(json_t *value, const char *expected)
{
  g_autofree char *text = ws_json_serialize(value);
  g_assert_cmpstr(text, ==, expected);
  json_decref(value);
}

static void
check_written_integers(const char *digits, guint64 number)
{
  g_autofree char *command
      = g_strdup_printf("{\"ukon\":\"reap\",\"kus\":\"req-1/0\",\"pokus\":%s}", digits);
  assert_written(ws_command_encode(WS_OP_REAP, "req-1", 0, number, 0.0), command);
  g_autofree char *request
      = g_strdup_printf("{\"pecet\":%s,\"smena\":%s,\"prikazy\":[]}", digits, digits);
  assert_written(ws_command_request_encode(number, number, json_array()), request);
  WsKvCondition condition = { "w/a", number };
  g_autoptr(GArray) conditions = g_array_new(FALSE, FALSE, sizeof condition);
  g_autoptr(GArray) operations = g_array_new(FALSE, FALSE, sizeof(WsKvOperation));
  g_array_append_val(conditions, condition);
  g_autofree char *txn
      = g_strdup_printf("{\"if\":[{\"k\":\"w/a\",\"verze\":%s}],\"apply\":[]}", digits);
  assert_written(ws_kv_txn_encode(conditions, operations), txn);
}

static void
check_store_integers(const char *digits, guint64 number)
{
  g_autofree char *text = g_strdup_printf(
      "{\"zmena\":%s,\"more\":false,\"pairs\":[{\"k\":\"w/a\",\"value\":1,\"verze\":%s}]}", digits,
      digits);
  g_autoptr(json_t) message = ws_json_parse(text, strlen(text));
  g_autoptr(WsKvPage) page = ws_kv_page_parse(message);
  g_assert_nonnull(page);
  g_assert_cmpuint(page->revision, ==, number);
  g_assert_cmpuint(g_array_index(page->items, WsKvItem, 0).version, ==, number);
}

void
test_large_integers_are_read_and_written_exactly(void)
{
  for (gsize i = 0; i < G_N_ELEMENTS(LARGE_INTEGERS); i++) {
    guint64 number = g_ascii_strtoull(LARGE_INTEGERS[i], NULL, 10);
    check_heartbeat_integers(LARGE_INTEGERS[i], number);
    check_store_integers(LARGE_INTEGERS[i], number);
    check_written_integers(LARGE_INTEGERS[i], number);
  }
}

void
test_setting_of_wrong_kind_is_named(void)
{
  static const struct {
    const char *section;
    const char *json;
    const char *name;
  } CASES[] = {
    { "workers", "{\"lease_s\":1e400}", "params.workers.lease_s" },
    { "workers", "{\"lease_s\":\"12\"}", "params.workers.lease_s" },
    { "workers", "{\"report_s\":1,\"report_s\":2}", "params.workers.report_s" },
    { "workers", "{\"gang_peer_s\":1e400}", "params.workers.gang_peer_s" },
    { "state", "{\"txn_ops\":18446744073709551616}", "params.state.txn_ops" },
    { "state", "{\"next\":18446744073709551615}", "params.state.next" },
    { "state", "{\"next\":1e400}", "params.state.next" },
    { "state", "{\"next\":{\"rps\":1e400}}", "params.state.next.rps" },
    { "limits", "{\"max_sockets\":-1}", "params.limits.max_sockets" },
  };
  for (guint i = 0; i < G_N_ELEMENTS(CASES); i++) {
    g_autoptr(json_t) message = ws_test_settings_message(0);
    g_autoptr(json_t) more = ws_json_parse(CASES[i].json, strlen(CASES[i].json));
    g_assert_nonnull(more);
    json_object_update(json_object_get(json_object_get(message, "params"), CASES[i].section), more);
    g_autoptr(GError) error = NULL;
    g_assert_null(ws_settings_parse(message, &error));
    g_assert_error(error, WS_ERROR, WS_ERROR_INVALID_SETTING);
    g_assert_true(g_str_has_prefix(error->message, CASES[i].name));
  }
}

/* Lists with damaged entries. */

/* What a damaged message of the store says is unknown: it must not pass for an absent key. */
void
test_damaged_store_reply_is_refused_whole(void)
{
  static const char *const PAGES[] = {
    "{\"zmena\":9,\"more\":false,\"pairs\":[{\"k\":\"a\",\"verze\":1e400,\"value\":{}}]}",
    "{\"zmena\":9,\"more\":false,\"pairs\":[{\"k\":\"a\\u0000\",\"verze\":3,\"value\":{}}]}",
    "{\"zmena\":9,\"more\":false,\"pairs\":[{\"k\":\"a\",\"verze\":3,\"verze\":3,\"value\":{}}]}",
    "{\"zmena\":9,\"more\":false,\"pairs\":[{\"k\":\"a\",\"verze\":3}]}",
    "{\"zmena\":9,\"more\":false,\"pairs\":[{\"verze\":3,\"value\":{}}]}",
    "{\"zmena\":9,\"more\":false,\"pairs\":[7]}",
    "{\"zmena\":9,\"zmena\":9,\"more\":false,\"pairs\":[]}",
  };
  static const char *const WATCHES[] = {
    "{\"zmena\":9,\"log\":[{\"set\":\"a\",\"value\":{}}]}",
    "{\"zmena\":9,\"log\":[{\"set\":\"a\",\"verze\":9}]}",
    "{\"zmena\":9,\"log\":[{\"set\":7,\"value\":{},\"verze\":9}]}",
    "{\"zmena\":9,\"log\":[{\"set\":\"a\",\"value\":{},\"verze\":18446744073709551616}]}",
    "{\"zmena\":9,\"log\":[{\"remove\":1e400,\"verze\":9}]}",
    "{\"zmena\":9,\"log\":[7]}",
    "{\"zmena\":9,\"log\":7}",
    "{\"zmena\":9}",
    "{\"zmena\":1e400,\"log\":[]}",
  };
  for (gsize i = 0; i < G_N_ELEMENTS(PAGES); i++) {
    g_autoptr(json_t) message = ws_json_parse(PAGES[i], strlen(PAGES[i]));
    g_assert_null(ws_kv_page_parse(message));
  }
  for (gsize i = 0; i < G_N_ELEMENTS(WATCHES); i++) {
    g_autoptr(json_t) message = ws_json_parse(WATCHES[i], strlen(WATCHES[i]));
    g_assert_null(ws_kv_watch_parse(message));
  }
}

void
test_damaged_entry_costs_only_that_entry(void)
{
  static const char MACHINES[]
      = "{\"stroje\":[{\"id\":1e400},{\"id\":\"m-2\",\"endpoint\":\"w:2\",\"typ\":\"g8\","
        "\"hala\":\"a\",\"vypujcky\":true,\"stav\":\"running\",\"age_s\":61.5}],\"more\":false}";
  static const char REQUESTS[]
      = "{\"epoch\":7,\"stops\":[[\"req-1\",1e400,2],[\"req-2\",0],[7,0,1],[\"req-3\",1,2]],"
        "\"marks\":[[\"m-1\",1e400,false],[\"m-2\",\"idle\",false]]}";
  g_autoptr(json_t) list = ws_json_parse(MACHINES, strlen(MACHINES));
  gboolean has_more;
  g_autoptr(GPtrArray) machines = ws_machine_list_parse(list, &has_more);
  g_assert_nonnull(machines);
  g_assert_cmpuint(machines->len, ==, 1);
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  WsReplica *replica = ws_replica_new(settings);
  g_autoptr(json_t) body = ws_json_parse(REQUESTS, strlen(REQUESTS));
  g_autoptr(WsPeerRequestBatch) batch = ws_peer_request_batch_parse(replica, body);
  g_autoptr(json_t) kept = ws_peer_request_batch_encode(batch, replica);
  g_autofree char *text = ws_json_serialize(kept);
  g_assert_cmpstr(text, ==,
                  "{\"stops\":[[\"req-3\",1,2]],\"marks\":[[\"m-2\",\"idle\",false]],\"epoch\":7}");
  ws_replica_free(replica);
}

/* Without one of its types, the catalog would say that some jobs can never run. */
void
test_damaged_catalog_is_refused_whole(void)
{
  static const char CATALOG[]
      = "{\"typy\":[{\"sku\":\"g4\",\"cpus\":1e400},{\"sku\":\"g8\",\"cpus\":96,"
        "\"accelerators\":8,\"mem_gb\":768,\"local_gb\":200,\"pull_gb_per_s\":1.0,\"price\":12.0,"
        "\"low_price\":4.5,\"boot_s\":45,\"haly\":[\"a\"]}]}";
  g_autoptr(json_t) catalog = ws_json_parse(CATALOG, strlen(CATALOG));
  g_assert_nonnull(catalog);
  g_assert_null(ws_catalog_parse(catalog));
}

/* Without one of its assignments, a record would say that a task is nowhere. */
void
test_damaged_record_is_refused_whole(void)
{
  static const char *const LISTS[] = {
    "[[0,\"m-1\",2],[1e400,\"m-1\",2]]",
    "[[\"0\",\"m-1\",2]]",
    "[[0,\"m-1\"]]",
    "[[0,\"m-1\",1e400]]",
    "[[0,7,2]]",
    "[[0,\"m-1\",2,\"now\"]]",
    "[[-1,\"m-1\",2]]",
    "[[100000,\"m-1\",2]]",
    "7",
    "null",
    "[],\"on\":[]",
  };
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  WsReplica *replica = ws_replica_new(settings);
  g_autofree char *none_completed = g_strnfill(WS_CHUNK_TASKS / 4, '0');
  for (gsize i = 0; i < G_N_ELEMENTS(LISTS); i++) {
    g_autofree char *text
        = g_strdup_printf("{\"a\":3,\"on\":%s,\"d\":\"%s\"}", LISTS[i], none_completed);
    g_autoptr(json_t) value = ws_json_parse(text, strlen(text));
    g_assert_nonnull(value);
    g_autoptr(WsChunk) chunk = ws_chunk_parse(replica, value);
    if (chunk != NULL)
      g_test_message("not refused: %s", text);
    g_assert_null(chunk);
  }
  ws_replica_free(replica);
}

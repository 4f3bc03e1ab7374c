/**
 * The readers of messages, each with a sound message and a description of what it reads.
 */
#include "coordination/ws-epoch.h"
#include "input/input.h"
#include "membership/ws-cancellation-message.h"
#include "membership/ws-gossip-message.h"
#include "membership/ws-peer-request-message.h"
#include "membership/ws-relay-message.h"
#include "protocol/ws-cloud.h"
#include "protocol/ws-heartbeat.h"
#include "protocol/ws-kv.h"
#include "storage/ws-job-record.h"
#include "storage/ws-replica.h"
#include "ws-test-settings.h"

#include <string.h>

#define U64 G_GUINT64_FORMAT

static WsSettings *settings;
static WsReplica *replica;

void
input_readers_init(void)
{
  settings = ws_test_settings(0);
  replica = ws_replica_new(settings);
}

void
input_readers_clear(void)
{
  ws_replica_free(replica);
  ws_settings_free(settings);
}

static char *
read_submission(const char *text, gsize length)
{
  g_autoptr(json_t) message = ws_json_parse_request(text, length, NULL);
  g_autoptr(WsJobSpec) spec = ws_job_spec_parse(message, NULL);
  g_autoptr(json_t) encoded = spec != NULL ? ws_job_spec_encode(spec) : NULL;
  return ws_json_serialize(encoded);
}

static char *
read_heartbeat(const char *text, gsize length)
{
  g_autoptr(WsHeartbeat) beat = ws_heartbeat_parse_text(text, length, NULL);
  if (beat == NULL)
    return NULL;
  GString *read = g_string_new(NULL);
  g_string_printf(read, "%s %s %s %s %d %" U64 " %" U64 " %" U64 " %g", beat->machine,
                  beat->endpoint, beat->type, beat->zone, beat->is_spot, beat->incarnation,
                  beat->sequence, beat->fencing_token, beat->interruption_s);
  for (guint i = 0; i < beat->tasks->len; i++) {
    const WsTaskStatus *task = &g_array_index(beat->tasks, WsTaskStatus, i);
    g_string_append_printf(read, " %s/%u@%" U64 " %d %d %d", task->job, task->task, task->attempt,
                           task->state, task->exit_reason, task->is_saved);
  }
  return g_string_free(read, FALSE);
}

static char *
describe_page(WsKvPage *page)
{
  if (page == NULL)
    return NULL;
  GString *read = g_string_new(NULL);
  g_string_printf(read, "%" U64 " %d", page->revision, page->is_last);
  for (guint i = 0; i < page->items->len; i++) {
    const WsKvItem *item = &g_array_index(page->items, WsKvItem, i);
    g_string_append_printf(read, " %s@%" U64 " %d", item->key, item->version, item->value != NULL);
  }
  ws_kv_page_free(page);
  return g_string_free(read, FALSE);
}

static char *
read_page(const char *text, gsize length)
{
  g_autoptr(json_t) message = ws_json_parse(text, length);
  return describe_page(ws_kv_page_parse(message));
}

static char *
read_watch(const char *text, gsize length)
{
  g_autoptr(json_t) message = ws_json_parse(text, length);
  return describe_page(ws_kv_watch_parse(message));
}

static char *
read_transaction_reply(const char *text, gsize length)
{
  g_autoptr(json_t) message = ws_json_parse(text, length);
  guint64 revision;
  return ws_kv_revision_parse(message, &revision) ? g_strdup_printf("%" U64, revision) : NULL;
}

static char *
read_lease(const char *text, gsize length)
{
  g_autoptr(json_t) message = ws_json_parse(text, length);
  guint64 lease;
  return ws_kv_lease_parse(message, &lease) ? g_strdup_printf("%" U64, lease) : NULL;
}

static char *
read_catalog(const char *text, gsize length)
{
  g_autoptr(json_t) message = ws_json_parse(text, length);
  g_autoptr(GPtrArray) types = ws_catalog_parse(message);
  if (types == NULL)
    return NULL;
  GString *read = g_string_new(NULL);
  for (guint i = 0; i < types->len; i++) {
    const WsType *type = g_ptr_array_index(types, i);
    g_autofree char *zones = g_strjoinv(",", type->zones);
    g_string_append_printf(read, "%s %ld %ld %ld %g %g %g %g %g %s;", type->name,
                           (long)type->capacity.cpus, (long)type->capacity.gpus,
                           (long)type->capacity.memory, type->cache_gb, type->fetch_gb_per_s,
                           type->price, type->spot_price, type->boot_s, zones);
  }
  return g_string_free(read, FALSE);
}

static char *
read_machine_list(const char *text, gsize length)
{
  g_autoptr(json_t) message = ws_json_parse(text, length);
  gboolean has_more = FALSE;
  g_autoptr(GPtrArray) machines = ws_machine_list_parse(message, &has_more);
  if (machines == NULL)
    return NULL;
  GString *read = g_string_new(has_more ? "more:" : "all:");
  for (guint i = 0; i < machines->len; i++) {
    const WsListedMachine *listed = g_ptr_array_index(machines, i);
    g_string_append_printf(read, " %s %s %s %s %d %d %g", listed->id, listed->endpoint,
                           listed->type, listed->zone, listed->is_spot, listed->has_failed,
                           listed->age_s);
  }
  return g_string_free(read, FALSE);
}

static char *
read_rental(const char *text, gsize length)
{
  g_autoptr(json_t) message = ws_json_parse(text, length);
  g_autoptr(GPtrArray) names = ws_rental_machines_parse(message);
  if (names == NULL)
    return NULL;
  GString *read = g_string_new(NULL);
  for (guint i = 0; i < names->len; i++)
    g_string_append_printf(read, " %s", (const char *)g_ptr_array_index(names, i));
  return g_string_free(read, FALSE);
}

static char *
read_gossip(const char *text, gsize length)
{
  g_autoptr(json_t) body = ws_json_parse(text, length);
  g_auto(WsGossipMessage) message;
  ws_gossip_message_init(&message);
  if (!ws_gossip_message_parse(body, &message))
    return NULL;
  g_autoptr(json_t) encoded = ws_gossip_message_encode(&message);
  return ws_json_serialize(encoded);
}

static char *
read_cancellations(const char *text, gsize length)
{
  g_autoptr(json_t) body = ws_json_parse(text, length);
  g_auto(WsCancellationMessage) message;
  ws_cancellation_message_init(&message);
  if (!ws_cancellation_message_parse(body, &message))
    return NULL;
  g_autoptr(json_t) encoded = ws_cancellation_message_encode(&message);
  return ws_json_serialize(encoded);
}

static char *
read_peer_requests(const char *text, gsize length)
{
  g_autoptr(json_t) body = ws_json_parse(text, length);
  g_autoptr(WsPeerRequestBatch) batch = ws_peer_request_batch_parse(replica, body);
  g_autoptr(json_t) encoded = batch != NULL ? ws_peer_request_batch_encode(batch, replica) : NULL;
  return ws_json_serialize(encoded);
}

static char *
read_relay(const char *text, gsize length)
{
  g_autoptr(json_t) body = ws_json_parse(text, length);
  WsRelayMessage message;
  if (!ws_relay_message_parse(body, &message))
    return NULL;
  return g_strdup_printf("%" U64 " %s %s", message.epoch, message.owner, message.heartbeat);
}

static char *
read_job_record(const char *text, gsize length)
{
  g_autoptr(json_t) value = ws_json_parse(text, length);
  WsJobRecord record;
  if (!ws_job_record_parse(value, &record))
    return NULL;
  g_autoptr(WsJobSpec) spec = ws_job_spec_parse(record.spec, NULL);
  return g_strdup_printf("%d %s %" G_GINT64_FORMAT " %s", record.state, record.coordinator,
                         record.accepted_ms, spec != NULL ? spec->id : "no specification");
}

static char *
read_epoch_record(const char *text, gsize length)
{
  g_autoptr(json_t) value = ws_json_parse(text, length);
  WsEpoch epoch;
  ws_epoch_init(&epoch);
  gboolean is_read = ws_epoch_parse(&epoch, value, settings);
  g_autoptr(json_t) encoded = is_read ? ws_epoch_encode(&epoch, settings) : NULL;
  ws_epoch_clear(&epoch);
  return ws_json_serialize(encoded);
}

static char *
read_settings(const char *text, gsize length)
{
  g_autoptr(json_t) message = ws_json_parse(text, length);
  g_autoptr(WsSettings) read = ws_settings_parse(message, NULL);
  if (read == NULL)
    return NULL;
  return g_strdup_printf("%s %s %u %u %u %g %" U64 " %g", read->api_addr, read->kv_addr,
                         read->nodes->len, read->zones->len, read->teams->len, read->report_s,
                         read->kv_max_txn_ops, read->kv_writes_per_s);
}

#define SUBMISSION                                                                                 \
  "{@\"id\":\"req-000412\",\"trida\":\"train\",\"dilna\":\"vision\",\"druh\":\"sweep\","           \
  "\"prednost\":\"urgent\"@,\"kusy\":16,\"cpus\":8.0,\"accelerators\":1.0,\"mem_gb\":64.0,"        \
  "\"obraz\":\"img-07\",\"pull_gb\":6.2,\"typy\":[\"g8\"],\"hala\":null,\"one_zone\":true,"        \
  "\"scatter\":false,\"vypujcky\":true,\"odhad_s\":240.0,\"zaloha_s\":30.0,\"ulozeni_s\":4.0,"     \
  "\"termin_s\":900.0@}"

const InputReader INPUT_READERS[] = {
  { "submission", SUBMISSION, read_submission, TRUE },
  { "heartbeat",
    "{@\"stroj\":\"m-000231\",\"endpoint\":\"10.1.0.232:9000\",\"typ\":\"g8\",\"hala\":\"a\","
    "\"vypujcky\":true,\"smena\":1,\"poradi\":88,\"pecet\":41,\"vypoved_s\":null,"
    "\"kusy\":[{@\"kus\":\"req-000412/3\",\"pokus\":2,\"stav\":\"running\"@},"
    "{@\"kus\":\"req-000398/0\",\"pokus\":1,\"stav\":\"exited\",\"duvod\":\"stopped\","
    "\"stored\":true@}]@}",
    read_heartbeat, TRUE },
  { "page",
    "{@\"pairs\":[{@\"k\":\"w/a\",\"value\":{@\"s\":1@},\"verze\":3@},"
    "{\"k\":\"w/b\",\"value\":{},\"verze\":4@}],\"more\":true,\"zmena\":9@}",
    read_page, FALSE },
  { "watch",
    "{@\"zmena\":12,\"log\":[{@\"set\":\"w/a\",\"value\":{@\"s\":1@},\"verze\":10@},"
    "{@\"remove\":\"w/b\",\"verze\":11@}]@}",
    read_watch, FALSE },
  { "transaction reply", "{@\"zmena\":432@}", read_transaction_reply, FALSE },
  { "lease", "{@\"najem\":7@}", read_lease, FALSE },
  { "catalog",
    "{@\"typy\":[{@\"sku\":\"g8\",\"cpus\":96,\"accelerators\":8,\"mem_gb\":768,"
    "\"local_gb\":200,\"pull_gb_per_s\":1.0,\"price\":12.0,\"low_price\":4.5,\"boot_s\":45,"
    "\"haly\":[\"a\",\"b\"]@}]@}",
    read_catalog, FALSE },
  { "machine list",
    "{@\"stroje\":[{@\"id\":\"m-000231\",\"endpoint\":\"10.1.0.232:9000\",\"typ\":\"g8\","
    "\"hala\":\"a\",\"vypujcky\":true,\"stav\":\"running\",\"age_s\":61.5@}],\"more\":false@}",
    read_machine_list, FALSE },
  { "rental", "{@\"stroje\":[\"m-000231\",\"m-000232\"]@}", read_rental, FALSE },
  { "gossip",
    "{@\"node\":\"n1\",\"version\":\"0.4\",\"epoch\":7,\"store\":true,\"reaches\":5,"
    "\"wants_epoch\":false,\"unheard\":true,\"base\":3,\"rev\":8,\"ack\":4,\"incarnation\":99,"
    "\"loaded\":true,\"untold\":2@,\"machines\":[{@\"name\":\"m1\",\"up\":true,"
    "\"endpoint\":\"w:1\",\"notice\":false,\"images\":[\"a\"]@}]@}",
    read_gossip, FALSE },
  { "cancellations", "{@\"node\":\"n1\",\"jobs\":[[\"req-1\",120]]@}", read_cancellations, FALSE },
  { "peer requests",
    "{@\"stops\":[[\"req-1\",3,2]],\"picks\":[[\"req-2\",0,\"m-1\"]],"
    "\"marks\":[[\"m-1\",\"idle\",false]],\"epoch\":7@}",
    read_peer_requests, FALSE },
  { "relay", "{@\"epoch\":7,\"owner\":\"n1\",\"report\":\"{}\"@}", read_relay, FALSE },
  { "job record", "{@\"s\":\"active\",\"at\":1234,\"home\":\"n1\",\"spec\":" SUBMISSION "@}",
    read_job_record, FALSE },
  { "epoch record",
    "{@\"number\":2000000,\"leader\":\"n1\",\"members\":[{@\"node\":\"n1\",\"incarnation\":5@}],"
    "\"first_token\":1000001@}",
    read_epoch_record, FALSE },
  { "settings",
    "{@\"node_name\":\"n0\",\"zone\":\"a\",\"api_addr\":\"h:1\",\"mesh_addr\":\"h:2\","
    "\"peers\":[{@\"node_name\":\"n1\",\"zone\":\"b\",\"endpoint\":\"h:3\"@}],"
    "\"services\":{@\"cloud\":\"c:1\",\"state\":\"s:1\"@},\"params\":{@\"zones\":[\"a\",\"b\"],"
    "\"teams\":[{@\"name\":\"t\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":4.0,\"gpus_max\":6.0@}],"
    "\"workers\":{@\"report_s\":2.0,\"lease_s\":12.0,\"cancel_s\":30.0@},"
    "\"state\":{@\"rps\":200.0,\"write_rps\":80.0,\"value_kb\":16.0,\"txn_ops\":16,"
    "\"next\":{@\"write_rps\":40.0@}@},\"cloud\":{@\"rps\":4.0,\"list_lag_s\":4.0@},"
    "\"limits\":{@\"max_sockets\":1000@}@}@}",
    read_settings, FALSE },
};
const gsize INPUT_READER_COUNT = G_N_ELEMENTS(INPUT_READERS);

char *
input_text_with_member(const InputReader *reader, const char *name, const char *value)
{
  GString *text = g_string_new(NULL);
  for (const char *c = reader->text; *c != '\0'; c++) {
    if (*c != UNKNOWN_MEMBER_MARK)
      g_string_append_c(text, *c);
    else if (name != NULL && c[-1] == '{')
      g_string_append_printf(text, "\"%s\":%s,", name, value);
    else if (name != NULL)
      g_string_append_printf(text, ",\"%s\":%s", name, value);
  }
  return g_string_free(text, FALSE);
}

/* The encoding of the messages between nodes, byte for byte: nodes of different versions run in the
   same cluster, so it must not change. */
#include "membership/ws-cancellation-message.h"
#include "membership/ws-gossip-message.h"
#include "membership/ws-peer-request-message.h"
#include "membership/ws-relay-message.h"
#include "storage/ws-records.h"
#include "ws-test-settings.h"

#include <string.h>

static void
assert_text(const json_t *body, const char *expected)
{
  g_autofree char *text = ws_json_serialize(body);
  g_assert_cmpstr(text, ==, expected);
}

static json_t *
parse(const char *text)
{
  json_t *body = ws_json_parse(text, strlen(text));
  g_assert_nonnull(body);
  return body;
}

/* Gossip. */

#define GOSSIP_HEADER                                                                              \
  "\"node\":\"n1\",\"version\":\"0.4\",\"epoch\":7,\"store\":true,\"reaches\":5,"                  \
  "\"wants_epoch\":false,\"unheard\":true"
#define GOSSIP_TAIL "\"incarnation\":99,\"loaded\":true,\"untold\":2"
#define GOSSIP                                                                                     \
  "{" GOSSIP_HEADER ",\"base\":3,\"rev\":8,\"ack\":4," GOSSIP_TAIL                                 \
  ",\"machines\":[{\"name\":\"m1\",\"up\":true,\"endpoint\":\"w:1\",\"notice\":false,"             \
  "\"images\":[\"a\",\"b\"]},{\"name\":\"m2\",\"up\":false,\"endpoint\":\"\",\"notice\":true,"     \
  "\"images\":[]}]}"

static void
test_gossip_round_trip_is_identical(void)
{
  g_autoptr(json_t) body = parse(GOSSIP);
  g_auto(WsGossipMessage) message;
  ws_gossip_message_init(&message);
  g_assert_true(ws_gossip_message_parse(body, &message));
  g_assert_cmpstr(message.node, ==, "n1");
  g_assert_cmpuint(message.epoch, ==, 7);
  g_assert_cmpuint(message.incarnation, ==, 99);
  g_assert_cmpuint(message.reachable_nodes, ==, 5);
  g_assert_cmpuint(message.unacknowledged_cancellations, ==, 2);
  g_assert_true(message.store_is_available && message.replica_is_loaded);
  g_assert_true(message.receives_no_heartbeats && !message.needs_new_epoch);
  g_assert_true(message.has_revisions);
  g_assert_cmpuint(message.base_revision, ==, 3);
  g_assert_cmpuint(message.revision, ==, 8);
  g_assert_cmpuint(message.acknowledged_revision, ==, 4);
  g_assert_cmpuint(message.machines->len, ==, 2);
  g_autoptr(json_t) encoded = ws_gossip_message_encode(&message);
  assert_text(encoded, GOSSIP);
}

/* A message that lacks any required field is rejected; its sender is still found. */
static void
test_gossip_without_required_field_is_rejected(void)
{
  static const char *const REQUIRED[] = { "epoch",   "store",       "reaches", "wants_epoch",
                                          "unheard", "incarnation", "loaded",  "untold" };
  for (guint i = 0; i < G_N_ELEMENTS(REQUIRED); i++) {
    g_autoptr(json_t) body = parse(GOSSIP);
    g_auto(WsGossipMessage) message;
    ws_gossip_message_init(&message);
    json_object_del(body, REQUIRED[i]);
    g_assert_false(ws_gossip_message_parse(body, &message));
    g_assert_cmpstr(ws_gossip_message_sender(body), ==, "n1");
  }
  g_assert_null(ws_gossip_message_sender(NULL));
}

/* The version is optional, since versions before 0.3 do not send it. A message that lacks a
   revision is accepted without its machines. */
static void
test_gossip_without_optional_field_is_accepted(void)
{
  g_autoptr(json_t) body = parse(GOSSIP);
  g_auto(WsGossipMessage) message;
  ws_gossip_message_init(&message);
  json_object_del(body, "version");
  json_object_del(body, "ack");
  g_assert_true(ws_gossip_message_parse(body, &message));
  g_assert_null(message.version);
  g_assert_false(message.has_revisions);
  g_assert_cmpuint(message.machines->len, ==, 0);
}

static void
test_gossip_skips_malformed_machines(void)
{
  g_autoptr(json_t) body
      = parse("{" GOSSIP_HEADER ",\"base\":0,\"rev\":1,\"ack\":0," GOSSIP_TAIL
              ",\"machines\":[{\"name\":\"m1\",\"up\":1,\"endpoint\":\"\",\"notice\":false},7,"
              "{\"name\":\"m2\",\"up\":true,\"endpoint\":\"\",\"notice\":false,"
              "\"images\":[3,\"b\"]}]}");
  g_auto(WsGossipMessage) message;
  ws_gossip_message_init(&message);
  g_assert_true(ws_gossip_message_parse(body, &message));
  g_assert_cmpuint(message.machines->len, ==, 1);
  const WsGossipMachine *machine = &g_array_index(message.machines, WsGossipMachine, 0);
  g_assert_cmpstr(machine->name, ==, "m2");
  g_assert_cmpuint(machine->images->len, ==, 1);
  g_assert_cmpstr(g_ptr_array_index(machine->images, 0), ==, "b");
}

/* Cancellations. */

static void
test_cancellations_round_trip_is_identical(void)
{
  static const char TEXT[] = "{\"node\":\"n1\",\"jobs\":[[\"j1\",0],[\"j2\",1500]]}";
  g_autoptr(json_t) body = parse(TEXT);
  g_auto(WsCancellationMessage) message;
  ws_cancellation_message_init(&message);
  g_assert_true(ws_cancellation_message_parse(body, &message));
  g_assert_cmpuint(message.notices->len, ==, 2);
  g_assert_cmpint(g_array_index(message.notices, WsCancellationNotice, 1).age_ms, ==, 1500);
  g_autoptr(json_t) encoded = ws_cancellation_message_encode(&message);
  assert_text(encoded, TEXT);
}

static void
test_malformed_cancellations_are_rejected(void)
{
  static const char *const TEXTS[]
      = { "{\"node\":\"n1\"}", "{\"node\":\"n1\",\"jobs\":3}",
          "{\"node\":\"n1\",\"jobs\":[[\"j1\"]]}", "{\"node\":\"n1\",\"jobs\":[[\"j1\",-1]]}",
          "{\"node\":\"n1\",\"jobs\":[[1,1]]}" };
  for (guint i = 0; i < G_N_ELEMENTS(TEXTS); i++) {
    g_autoptr(json_t) body = parse(TEXTS[i]);
    g_auto(WsCancellationMessage) message;
    ws_cancellation_message_init(&message);
    g_assert_false(ws_cancellation_message_parse(body, &message));
    g_assert_cmpstr(message.node, ==, "n1");
  }
}

/* Relayed heartbeats. */

static void
test_relay_round_trip_is_identical(void)
{
  static const char TEXT[] = "{\"epoch\":7,\"owner\":\"n2\",\"report\":\"{}\"}";
  g_autoptr(json_t) body = parse(TEXT);
  WsRelayMessage message;
  g_assert_true(ws_relay_message_parse(body, &message));
  g_autoptr(json_t) encoded = ws_relay_message_encode(&message);
  assert_text(encoded, TEXT);
  json_object_del(body, "owner");
  g_assert_false(ws_relay_message_parse(body, &message));
}

/* An envelope contains the heartbeat unchanged. An envelope that lacks a field is malformed. */
static void
test_relay_without_field_is_rejected(void)
{
  static const char HEARTBEAT[] = "{\"stroj\":\"m-000231\",\"kusy\":[]}";
  WsRelayMessage relay = { 7, "node-2", HEARTBEAT }, parsed;
  g_autoptr(json_t) message = ws_relay_message_encode(&relay);
  g_assert_true(ws_relay_message_parse(message, &parsed));
  g_assert_cmpuint(parsed.epoch, ==, 7);
  g_assert_cmpstr(parsed.owner, ==, "node-2");
  g_assert_cmpstr(parsed.heartbeat, ==, HEARTBEAT);
  static const char *const FIELDS[] = { "epoch", "owner", "report" };
  for (guint i = 0; i < G_N_ELEMENTS(FIELDS); i++) {
    g_autoptr(json_t) damaged = json_copy(message);
    json_object_del(damaged, FIELDS[i]);
    g_assert_false(ws_relay_message_parse(damaged, &parsed));
  }
}

/* Peer requests. */

static WsPeerRequest *
stop_new(guint task)
{
  WsPeerRequest *request = g_new0(WsPeerRequest, 1);
  request->kind = WS_PEER_REQUEST_STOP;
  request->job = g_strdup("j1");
  request->task = task;
  request->attempt = 5;
  return request;
}

static WsPeerRequest *
mark_new(void)
{
  WsPeerRequest *request = g_new0(WsPeerRequest, 1);
  request->kind = WS_PEER_REQUEST_MARK;
  request->machine = g_strdup("m1");
  request->reason = g_strdup("silent");
  request->is_immediate = TRUE;
  return request;
}

/* Adds the job to the replica by its final record. */
static WsJobIndex
add_job(WsReplica *replica, const char *id)
{
  WsJob job = { .tasks = 4 };
  g_autofree char *key = ws_key_job(id);
  g_autoptr(json_t) value = ws_job_encode_final(&job, WS_JOB_DONE);
  ws_replica_apply(replica, key, value, 1);
  return ws_replica_find_job(replica, id)->index;
}

static WsPeerRequest *
release_new(WsReplica *replica)
{
  WsPeerRequest *request = g_new0(WsPeerRequest, 1);
  request->kind = WS_PEER_REQUEST_RELEASE;
  request->release.job = add_job(replica, "j1");
  request->release.task = 3;
  request->release.attempt = 2;
  request->release.is_completed = TRUE;
  request->release.evidence.kind = WS_EVIDENCE_EXITED;
  request->release.evidence.machine = ws_replica_ensure_machine(replica, "m1")->index;
  request->release.evidence.epoch = 7;
  request->release.evidence.incarnation = 4;
  return request;
}

/* The lists of a batch are encoded in the order in which their kinds were first added. */
static void
test_batch_is_encoded_in_order_of_addition(void)
{
  WsSettings *settings = ws_test_settings(0);
  WsReplica *replica = ws_replica_new(settings);
  g_autoptr(WsPeerRequestBatch) batch = ws_peer_request_batch_new();
  batch->epoch = 7;
  ws_peer_request_batch_add(batch, mark_new());
  ws_peer_request_batch_add(batch, stop_new(1));
  ws_peer_request_batch_add(batch, release_new(replica));
  ws_peer_request_batch_add(batch, stop_new(2));
  g_autoptr(json_t) body = ws_peer_request_batch_encode(batch, replica);
  assert_text(body, "{\"marks\":[[\"m1\",\"silent\",true]],\"stops\":[[\"j1\",1,5],[\"j1\",2,5]],"
                    "\"releases\":[[\"j1\",3,2,true,\"m1\",\"exited\",7,4]],\"epoch\":7}");
  ws_replica_free(replica);
  ws_settings_free(settings);
}

/* Requests of each kind except marks, with a release that has evidence, one that has none (as sent
   by versions before 0.4), and a malformed stop. A batch without an epoch is rejected. */
static void
test_batch_is_parsed_by_kind(void)
{
  WsSettings *settings = ws_test_settings(0);
  WsReplica *replica = ws_replica_new(settings);
  (void)ws_replica_ensure_machine(replica, "m1");
  g_autoptr(json_t) body
      = parse("{\"picks\":[[\"j1\",4,\"m1\"]],\"reservations\":[[\"j2\",6,\"\"]],"
              "\"releases\":[[\"j1\",3,2,true,\"m1\",\"exited\",7,4],[\"j1\",3,2,false]],"
              "\"stops\":[7],\"epoch\":7}");
  g_autoptr(WsPeerRequestBatch) batch = ws_peer_request_batch_parse(replica, body);
  g_assert_nonnull(batch);
  g_assert_cmpuint(batch->epoch, ==, 7);
  const WsPeerRequest *request = g_ptr_array_index(batch->requests[WS_PEER_REQUEST_ASSIGNMENT], 0);
  g_assert_cmpstr(request->machine, ==, "m1");
  g_assert_cmpint(request->task, ==, 4);
  request = g_ptr_array_index(batch->requests[WS_PEER_REQUEST_RESERVATION], 0);
  g_assert_cmpstr(request->machine, ==, "");
  g_assert_cmpint(request->tasks, ==, 6);
  request = g_ptr_array_index(batch->requests[WS_PEER_REQUEST_RELEASE], 0);
  g_assert_true(request->has_evidence && request->release.is_completed);
  g_assert_cmpuint(request->release.evidence.incarnation, ==, 4);
  request = g_ptr_array_index(batch->requests[WS_PEER_REQUEST_RELEASE], 1);
  g_assert_false(request->has_evidence || request->release.is_completed);
  g_assert_null(batch->requests[WS_PEER_REQUEST_STOP]); /* the malformed one is left out */
  g_assert_null(batch->requests[WS_PEER_REQUEST_MARK]);
  json_object_del(body, "epoch");
  g_assert_null(ws_peer_request_batch_parse(replica, body));
  ws_replica_free(replica);
  ws_settings_free(settings);
}

/* A mailbox that exceeds the size limit of a record is truncated: each kind of each node's batch is
   halved until the mailbox fits or all are empty. */
static void
test_oversized_mailbox_is_truncated(void)
{
  WsSettings *settings = ws_test_settings(0);
  WsReplica *replica = ws_replica_new(settings);
  g_autoptr(WsMailbox) mailbox = ws_mailbox_new();
  for (guint n = 1; n <= 2; n++) {
    WsPeerRequestBatch *batch = ws_peer_request_batch_new();
    batch->epoch = 7;
    for (guint i = 0; i < 100; i++)
      ws_peer_request_batch_add(batch, stop_new(i));
    g_assert_cmpuint(batch->requests[WS_PEER_REQUEST_STOP]->len, ==, 48);
    ws_mailbox_add(mailbox, n == 1 ? "n1" : "n2", batch);
  }
  g_autoptr(json_t) all = ws_mailbox_encode_within(mailbox, replica, 10000);
  g_autoptr(WsPeerRequestBatch) batch = ws_mailbox_parse(replica, all, "n2");
  g_assert_cmpuint(batch->requests[WS_PEER_REQUEST_STOP]->len, ==, 48);
  g_assert_null(ws_mailbox_parse(replica, all, "n3"));
  g_autoptr(json_t) small = ws_mailbox_encode_within(mailbox, replica, 100);
  assert_text(small, "{\"n1\":{\"stops\":[[\"j1\",0,5]],\"epoch\":7},"
                     "\"n2\":{\"stops\":[[\"j1\",0,5]],\"epoch\":7}}");
  g_autoptr(json_t) none = ws_mailbox_encode_within(mailbox, replica, 1);
  assert_text(none, "{\"n1\":{\"stops\":[],\"epoch\":7},\"n2\":{\"stops\":[],\"epoch\":7}}");
  ws_replica_free(replica);
  ws_settings_free(settings);
}

int
main(int argc, char **argv)
{
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/peer-messages/gossip", test_gossip_round_trip_is_identical);
  g_test_add_func("/peer-messages/gossip-without-member",
                  test_gossip_without_required_field_is_rejected);
  g_test_add_func("/peer-messages/gossip-optional", test_gossip_without_optional_field_is_accepted);
  g_test_add_func("/peer-messages/gossip-malformed-machine", test_gossip_skips_malformed_machines);
  g_test_add_func("/peer-messages/cancellations", test_cancellations_round_trip_is_identical);
  g_test_add_func("/peer-messages/cancellations-malformed",
                  test_malformed_cancellations_are_rejected);
  g_test_add_func("/peer-messages/relay", test_relay_round_trip_is_identical);
  g_test_add_func("/peer-messages/relay-lacks-field", test_relay_without_field_is_rejected);
  g_test_add_func("/peer-messages/requests-encode", test_batch_is_encoded_in_order_of_addition);
  g_test_add_func("/peer-messages/requests-parse", test_batch_is_parsed_by_kind);
  g_test_add_func("/peer-messages/mailbox", test_oversized_mailbox_is_truncated);
  return g_test_run();
}

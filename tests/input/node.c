/**
 * Sound messages with unknown members, as a controller answers them.
 */
#include "input/input.h"
#include "context/ws-context.h"
#include "protocol/ws-json.h"
#include "sim/fixture.h"
#include "storage/ws-cluster-records.h"

#include <string.h>

#define API_CREATED 201
#define API_OK 200
/* Time in which a transaction is answered. */
#define COMMIT_S 0.3
/* Time in which a peer becomes a member. */
#define PEER_JOINS_S 3.0

/* The fields of a sound submission, without braces. */
#define JOB_FIELDS                                                                                 \
  "\"id\":\"req-1\",\"trida\":\"train\",\"dilna\":\"red\",\"druh\":\"sweep\","                     \
  "\"prednost\":\"urgent\",\"kusy\":2,\"cpus\":1.0,\"accelerators\":1.0,\"mem_gb\":1.0,"           \
  "\"obraz\":\"img-07\",\"pull_gb\":1.0,\"typy\":null,\"hala\":null,\"one_zone\":false,"           \
  "\"scatter\":false,\"vypujcky\":true,\"odhad_s\":10.0,\"ulozeni_s\":0.0,\"termin_s\":null,"      \
  "\"zaloha_s\":0.0"

static void
submit(Fixture *fixture, const char *text)
{
  fixture_request_text(fixture, WS_LISTENER_API, "user", "POST", "/api/jobs", text, strlen(text));
  fixture_run(fixture, COMMIT_S);
}

void
test_submission_with_large_unknown_integer_is_accepted(void)
{
  Fixture *fixture = fixture_new_with_machine(TRUE);
  submit(fixture, "{" JOB_FIELDS ",\"x_labels\":{\"größe\":\"日本語 ✓\",\"n\":18446744073709551615,"
                  "\"m\":-7,\"f\":1.25,\"none\":null,\"l\":[[],{},true],\"deep\":[[[[[]]]]]}}");
  g_assert_cmpuint(fixture->status, ==, API_CREATED);
  fixture_free(fixture);
}

/* Sends a heartbeat of the machine m-1 with the given integers and an unknown member. */
static void
send_heartbeat(Fixture *fixture, const char *incarnation, const char *sequence, const char *token,
               const char *unknown)
{
  g_autofree char *text = g_strdup_printf(
      "{\"x_labels\":%s,\"stroj\":\"m-1\",\"endpoint\":\"w:1\",\"typ\":\"g4\",\"hala\":\"a\","
      "\"vypujcky\":true,\"smena\":%s,\"poradi\":%s,\"pecet\":%s,\"vypoved_s\":null,\"kusy\":[]}",
      unknown, incarnation, sequence, token);
  fixture->status = 0;
  fixture_request_text(fixture, WS_LISTENER_API, "worker", "POST", "/v1/report", text,
                       strlen(text));
  fixture_run(fixture, COMMIT_S);
}

void
test_heartbeat_with_large_unknown_number_is_answered(void)
{
  Fixture *fixture = fixture_new_with_machine(TRUE);
  g_autofree char *token = g_strdup_printf("%" G_GUINT64_FORMAT, (guint64)FIRST_TOKEN(1));
  send_heartbeat(fixture, "1", "1000", token, "18446744073709551616");
  g_assert_cmpuint(fixture->status, ==, API_OK);
  fixture_free(fixture);
}

/* A report whose token is above the epoch's is answered 503 or 421, and not 400. */
void
test_heartbeat_with_largest_integers_is_answered(void)
{
  Fixture *fixture = fixture_new_with_machine(TRUE);
  g_autofree char *token = g_strdup_printf("%" G_GUINT64_FORMAT, (guint64)FIRST_TOKEN(1));
  send_heartbeat(fixture, "1", "18446744073709551615", token, "0");
  g_assert_cmpuint(fixture->status, ==, API_OK);
  send_heartbeat(fixture, "18446744073709551615", "18446744073709551615", token, "0");
  g_assert_cmpuint(fixture->status, ==, API_OK);
  send_heartbeat(fixture, "1", "1", "18446744073709551615", "0");
  g_assert_true(fixture->status == 503 || fixture->status == 421);
  fixture_free(fixture);
}

/* Sends a heartbeat of a machine of the peer n1, with an unknown member, which is relayed. */
static void
send_relayed_heartbeat(Fixture *fixture, guint64 token, guint sequence)
{
  for (guint i = 0;; i++) {
    g_autofree char *name = g_strdup_printf("m-%u", i);
    if (ws_epoch_owner(&fixture->core->replica->epoch, name, fixture->settings) != 1)
      continue;
    g_autofree char *text = g_strdup_printf(
        "{\"x_labels\":[18446744073709551616,\"\\u0000\"],\"stroj\":\"%s\",\"endpoint\":\"w:1\","
        "\"typ\":\"g4\",\"hala\":\"a\",\"vypujcky\":true,\"smena\":1,\"poradi\":%u,"
        "\"pecet\":%" G_GUINT64_FORMAT ",\"vypoved_s\":null,\"kusy\":[]}",
        name, sequence, token);
    fixture->status = 0;
    fixture_request_text(fixture, WS_LISTENER_API, "worker", "POST", "/v1/report", text,
                         strlen(text));
    return;
  }
}

/* Returns a node that relays the heartbeats of the peer's machines: no worker reaches the peer, and
   one has been redirected to it to find out. */
static Fixture *
new_fixture_that_relays(void)
{
  Fixture *fixture = fixture_new(TRUE);
  fixture->peers_get_no_heartbeats = TRUE;
  fixture_write_key(fixture, "w/member/n1", ws_member_encode(1));
  fixture_run(fixture, PEER_JOINS_S);
  send_relayed_heartbeat(fixture, FIRST_TOKEN(2), 1);
  g_assert_cmpuint(fixture->status, ==, 421);
  return fixture;
}

/* An owner's answer without a readable token and commands must not reach the worker, which would
   drop it and stay while its lease runs out. */
void
test_unreadable_answer_of_owner_is_replaced(void)
{
  static const char *const UNREADABLE[] = { "no json",
                                            "[]",
                                            "{}",
                                            "{\"pecet\":1e400,\"prikazy\":[]}",
                                            "{\"pecet\":5}",
                                            "{\"pecet\":5,\"pecet\":5,\"prikazy\":[]}",
                                            "{\"pecet\":5,\"prikazy\":7}" };
  Fixture *fixture = new_fixture_that_relays();
  guint64 token = FIRST_TOKEN(2) + 7;
  for (guint i = 0; i < G_N_ELEMENTS(UNREADABLE); i++) {
    fixture->relay_answer = UNREADABLE[i];
    send_relayed_heartbeat(fixture, token, i + 2);
    g_assert_cmpuint(fixture->relayed, ==, i + 1);
    g_assert_cmpuint(fixture->status, ==, API_OK);
    g_assert_cmpuint(fixture_answered_token(fixture), ==, token);
    g_assert_true(json_is_array(json_object_get(fixture->answer, "prikazy")));
  }
  fixture_free(fixture);
}

/* What a later version of the owner adds reaches the worker. */
void
test_answer_of_owner_is_passed_on_whole(void)
{
  Fixture *fixture = new_fixture_that_relays();
  fixture->relay_answer = "{\"x_first\":18446744073709551616,\"pecet\":18446744073709551615,"
                          "\"x_label\":\"ö\",\"prikazy\":[{\"ukon\":\"reap\",\"kus\":\"req-1/0\","
                          "\"pokus\":9223372036854775808,\"x_more\":[1]}]}";
  send_relayed_heartbeat(fixture, FIRST_TOKEN(2), 2);
  g_assert_cmpuint(fixture->status, ==, API_OK);
  g_assert_cmpuint(fixture_answered_token(fixture), ==, G_MAXUINT64);
  g_assert_cmpstr(json_string_value(json_object_get(fixture->answer, "x_label")), ==, "ö");
  const json_t *command = json_array_get(json_object_get(fixture->answer, "prikazy"), 0);
  guint64 attempt;
  g_assert_true(ws_json_uint64(command, "pokus", &attempt));
  g_assert_cmpuint(attempt, ==, G_GUINT64_CONSTANT(9223372036854775808));
  g_assert_true(json_is_array(json_object_get(command, "x_more")));
  fixture_free(fixture);
}

void
test_same_job_in_another_spelling_is_one_job(void)
{
  static const char *const SPELLINGS[] = {
    "{" JOB_FIELDS ",\"x\":18446744073709551615}",
    " {\t\"zaloha_s\" : 0e5 , \"termin_s\":null,\"ulozeni_s\":0,\"odhad_s\":1e1,\"vypujcky\":true,"
    "\"scatter\":false,\"one_zone\":false,\"pull_gb\":1.000,\"obraz\":\"img\\u002d07\","
    "\"mem_gb\":1,\"accelerators\":10e-1,\"cpus\":1.0,\"kusy\":2,\"prednost\":\"urgent\","
    "\"druh\":\"sweep\",\"dilna\":\"red\",\"trida\":\"train\",\"\\u0069d\":\"req\\u002D1\"}\r\n",
    "{\"x\":{\"id\":\"req-2\"}," JOB_FIELDS "}",
    "{\"x\":1,\"x\":[2]," JOB_FIELDS ",\"ID\":\"req-3\"}",
  };
  Fixture *fixture = fixture_new_with_machine(TRUE);
  for (gsize i = 0; i < G_N_ELEMENTS(SPELLINGS); i++) {
    submit(fixture, SPELLINGS[i]);
    g_assert_cmpuint(fixture->status, ==, i == 0 ? API_CREATED : API_OK);
    g_assert_cmpuint(sim_store_count_keys(fixture->store, "w/job/"), ==, 1);
  }
  fixture_free(fixture);
}

void
test_catalog_with_large_unknown_field_is_stored_without_it(void)
{
  Fixture *fixture = fixture_new(TRUE);
  g_autofree char *label = g_strnfill(60000, 'x');
  fixture->catalog_label = label;
  fixture_restart(fixture);
  fixture_write_key(fixture, "w/catalog", NULL);
  fixture_run(fixture, 60.0);
  g_assert_true(sim_store_has(fixture->store, "w/catalog"));
  g_autofree char *text = json_dumps(sim_store_get(fixture->store, "w/catalog"), JSON_COMPACT);
  g_assert_cmpuint(strlen(text), <, 1000);
  fixture_free(fixture);
}

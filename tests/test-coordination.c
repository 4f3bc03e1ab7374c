/**
 * Epochs: encoding of epoch records and owners of machines by rendezvous hashing. Also the
 * limits of settings.
 */
#include "coordination/ws-epoch.h"
#include "ws-test-settings.h"

#include <string.h>

static WsEpoch
new_epoch(guint number, guint members)
{
  WsEpoch epoch;
  ws_epoch_init(&epoch);
  epoch.number = number;
  epoch.first_token = number;
  epoch.leader = 0;
  for (guint n = 0; n < 3; n++) {
    WsMember member = { .node = n, .incarnation = 100 + n };
    if (members >> n & 1)
      g_array_append_val(epoch.members, member);
  }
  return epoch;
}

static void
test_epoch_record_keeps_all_fields(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(1);
  WsEpoch epoch = new_epoch(41, 5), read;
  ws_epoch_init(&read);
  g_autoptr(json_t) value = ws_epoch_encode(&epoch, settings);
  g_assert_true(ws_epoch_parse(&read, value, settings));
  g_assert_cmpuint(read.number, ==, 41);
  g_assert_true(ws_epoch_has_same_members(&read, epoch.members));
  g_assert_true(ws_epoch_has_member(&read, 2, 102));
  g_assert_false(ws_epoch_has_member(&read, 2, 103)); /* another run of the node is not a member */
  g_assert_false(ws_epoch_has_node(&read, 1));
  ws_epoch_clear(&epoch);
  ws_epoch_clear(&read);
}

/* Machines are spread evenly over the members. When a node leaves, only its machines change owner.
   An epoch without members has no owners. */
static void
test_leaving_node_moves_only_its_machines(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  WsEpoch all = new_epoch(1, 7), two = new_epoch(2, 5), none = new_epoch(3, 0);
  guint owned[3] = { 0 };
  for (guint i = 0; i < 3000; i++) {
    g_autofree char *name = g_strdup_printf("m-%06u", i);
    guint owner = ws_epoch_owner(&all, name, settings);
    owned[owner]++;
    guint new_owner = ws_epoch_owner(&two, name, settings);
    g_assert_cmpuint(new_owner, !=, 1);
    if (owner != 1)
      g_assert_cmpuint(new_owner, ==, owner);
    g_assert_cmpuint(ws_epoch_owner(&none, name, settings), ==, WS_NO_INDEX);
  }
  for (guint n = 0; n < 3; n++)
    g_assert_cmpuint(owned[n], >, 850);
  ws_epoch_clear(&all);
  ws_epoch_clear(&two);
  ws_epoch_clear(&none);
}

static WsEpoch
next_epoch(const WsEpoch *previous, guint members, gboolean supports_token_ranges)
{
  WsEpoch epoch = new_epoch(0, members);
  for (guint i = 0; i < epoch.members->len; i++)
    g_array_index(epoch.members, WsMember, i).supports_token_ranges = supports_token_ranges;
  ws_epoch_number_after(&epoch, previous->number);
  return epoch;
}

/* An epoch has one token, its number, unless all its members know ranges. Its tokens are above all
   earlier ones, also when members of an earlier version, which add 1 to the number, come back. */
static void
test_tokens_rise_across_versions(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(1);
  WsEpoch old = new_epoch(41, 7), ranged = next_epoch(&old, 7, TRUE);
  g_assert_cmpuint(ranged.first_token, ==, 42);
  g_assert_cmpuint(ranged.number, ==, 41 + WS_EPOCH_TOKENS);
  g_assert_true(ws_epoch_has_token(&ranged, 42) && ws_epoch_has_token(&ranged, ranged.number));
  g_assert_false(ws_epoch_has_token(&ranged, 41));
  g_assert_true(ws_epoch_member_continues(&old, &ranged, 1));
  WsEpoch back = next_epoch(&ranged, 7, FALSE);
  g_assert_cmpuint(back.number, ==, ranged.number + 1);
  g_assert_false(ws_epoch_has_token(&back, ranged.number));
  g_assert_true(ws_epoch_has_token(&back, back.number));
  g_assert_true(ws_epoch_member_continues(&ranged, &back, 1));
  g_autoptr(json_t) ranged_value = ws_epoch_encode(&ranged, settings);
  g_autoptr(json_t) back_value = ws_epoch_encode(&back, settings);
  g_assert_nonnull(json_object_get(ranged_value, "first_token"));
  g_assert_null(json_object_get(back_value, "first_token"));
  g_auto(WsEpoch) read = { 0 };
  ws_epoch_init(&read);
  g_assert_true(ws_epoch_parse(&read, ranged_value, settings));
  g_assert_cmpuint(read.first_token, ==, 42);
  json_object_set_new(ranged_value, "first_token", json_integer((json_int_t)ranged.number + 1));
  g_assert_false(ws_epoch_parse(&read, ranged_value, settings));
  ws_epoch_clear(&old);
  ws_epoch_clear(&ranged);
  ws_epoch_clear(&back);
}

static void
assert_rejected(json_t *message /* takes ownership */, const char *reason)
{
  g_autoptr(GError) error = NULL;
  g_assert_null(ws_settings_parse(message, &error));
  g_assert_nonnull(strstr(error->message, reason));
  json_decref(message);
}

/* Settings beyond a limit are rejected with an error that names it: at most 31 nodes, since sets of
   nodes are bit masks, and a minimum size of the store's values. */
static void
test_settings_beyond_limits_are_rejected(void)
{
  json_t *too_many_peers = ws_test_settings_message(0);
  for (guint n = 0; n < 40; n++) {
    g_autofree char *name = g_strdup_printf("extra-%u", n);
    json_array_append_new(
        json_object_get(too_many_peers, "peers"),
        json_pack("{s:s, s:s, s:s}", "node_name", name, "zone", "a", "endpoint", "mesh-9:1"));
  }
  assert_rejected(too_many_peers, "31 nodes");
  json_t *too_small_values = ws_test_settings_message(0);
  json_object_set_new(json_object_get(json_object_get(too_small_values, "params"), "state"),
                      "value_kb", json_real(2.0));
  assert_rejected(too_small_values, "value_kb");
}

int
main(int argc, char **argv)
{
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/coordination/round-trip", test_epoch_record_keeps_all_fields);
  g_test_add_func("/coordination/split", test_leaving_node_moves_only_its_machines);
  g_test_add_func("/coordination/tokens-rise-across-versions", test_tokens_rise_across_versions);
  g_test_add_func("/coordination/limits", test_settings_beyond_limits_are_rejected);
  return g_test_run();
}

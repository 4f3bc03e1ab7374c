/**
 * Epochs: owners of machines by rendezvous hashing, and the encoding of epoch records.
 */
#include "coordination/ws-epoch.h"
#include "ws-site.h"

#include <string.h>

static WsEpoch
epoch_of(guint number, guint members)
{
  WsEpoch epoch;
  ws_epoch_init(&epoch);
  epoch.number = number;
  epoch.leader = 0;
  for (guint n = 0; n < 3; n++) {
    WsMember member = { n, 100 + n };
    if (members >> n & 1)
      g_array_append_val(epoch.members, member);
  }
  return epoch;
}

static void
test_round_trip(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(1);
  WsEpoch epoch = epoch_of(41, 5), read;
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

/* Each machine has one owner; a node that leaves gives up its own machines and moves no others. */
static void
test_split(void)
{
  g_autoptr(WsSettings) settings = ws_test_settings(0);
  WsEpoch all = epoch_of(1, 7), two = epoch_of(2, 5), none = epoch_of(3, 0);
  guint owned[3] = { 0 };
  for (guint i = 0; i < 3000; i++) {
    g_autofree char *name = g_strdup_printf("m-%06u", i);
    guint owner = ws_epoch_owner(&all, name, settings);
    owned[owner]++;
    guint later = ws_epoch_owner(&two, name, settings);
    g_assert_cmpuint(later, !=, 1);
    if (owner != 1)
      g_assert_cmpuint(later, ==, owner);
    g_assert_cmpuint(ws_epoch_owner(&none, name, settings), ==, WS_NO_INDEX);
  }
  for (guint n = 0; n < 3; n++)
    g_assert_cmpuint(owned[n], >, 850);
  ws_epoch_clear(&all);
  ws_epoch_clear(&two);
  ws_epoch_clear(&none);
}

static void
check_refused(json_t *message /* taken */, const char *why)
{
  g_autoptr(GError) error = NULL;
  g_assert_null(ws_settings_parse(message, &error));
  g_assert_nonnull(strstr(error->message, why));
  json_decref(message);
}

/* Limits are said at the door. */
static void
test_limits(void)
{
  json_t *crowd = ws_test_settings_message(0);
  for (guint n = 0; n < 40; n++) {
    g_autofree char *name = g_strdup_printf("extra-%u", n);
    json_array_append_new(
        json_object_get(crowd, "peers"),
        json_pack("{s:s, s:s, s:s}", "node_name", name, "zone", "a", "endpoint", "mesh-9:1"));
  }
  check_refused(crowd, "31 nodes");
  json_t *narrow = ws_test_settings_message(0);
  json_object_set_new(json_object_get(json_object_get(narrow, "params"), "state"), "value_kb",
                      json_real(2.0));
  check_refused(narrow, "value_kb");
}

int
main(int argc, char **argv)
{
  g_test_init(&argc, &argv, NULL);
  g_test_add_func("/coordination/round-trip", test_round_trip);
  g_test_add_func("/coordination/split", test_split);
  g_test_add_func("/coordination/limits", test_limits);
  return g_test_run();
}

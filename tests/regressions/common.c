/**
 * Helpers shared by the regression tests.
 */
#include "regressions/regressions.h"

json_t *
heartbeat_task_in_state(const char *state, const char *reason)
{
  return json_pack("[{s:s, s:i, s:s, s:s}]", "kus", "req-1/0", "pokus", 1, "stav", state, "duvod",
                   reason);
}

gboolean
transaction_list_has_key(const json_t *txn, const char *list, const char *field, const char *key)
{
  size_t i;
  const json_t *item;
  json_array_foreach(json_object_get(txn, list), i, item)
  {
    if (g_strcmp0(json_string_value(json_object_get(item, field)), key) == 0)
      return TRUE;
  }
  return FALSE;
}

gboolean
transaction_has_condition(const json_t *txn, const char *key)
{
  return transaction_list_has_key(txn, "if", "k", key);
}

void
send_machine_heartbeats(Fixture *fixture, guint first_machine, guint64 fencing_token,
                        guint64 sequence, gboolean is_relayed)
{
  for (guint m = first_machine; m < 16; m++) {
    g_autofree char *name = g_strdup_printf("m-1%02u", m);
    if (!is_relayed) {
      fixture_post_heartbeat(fixture, name, fencing_token, sequence, json_array());
      continue;
    }
    g_autoptr(json_t) report
        = fixture_heartbeat(fixture, name, fencing_token, sequence, json_array());
    g_autofree char *report_text = ws_json_serialize(report);
    fixture_request(fixture, WS_LISTENER_PEERS, "POST", "/relay",
                    json_pack("{s:i, s:s, s:s}", "epoch", (int)EPOCH_NUMBER(1), "owner", "n0",
                              "report", report_text));
  }
}

void
register_machines(Fixture *fixture, const char *const *names, guint count)
{
  for (guint64 sequence = 1; sequence <= 2; sequence++)
    for (guint m = 0; m < count; m++) {
      fixture_post_heartbeat(fixture, names[m], sequence - 1, sequence, json_array());
      fixture_run(fixture, 0.3);
    }
}

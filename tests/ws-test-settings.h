/**
 * Settings of a deployment with three nodes, for tests.
 */
#pragma once

#include "protocol/ws-settings.h"

/** Returns the settings message of node @self, which is 0, 1 or 2. */
static inline json_t *
ws_test_settings_message(guint self)
{
  static const char *const ZONES[] = { "a", "b", "c" };
  json_t *peers = json_array();
  for (guint n = 0; n < 3; n++) {
    g_autofree char *name = g_strdup_printf("n%u", n);
    g_autofree char *endpoint = g_strdup_printf("mesh-%u:1", n);
    if (n != self)
      json_array_append_new(peers, json_pack("{s:s, s:s, s:s}", "node_name", name, "zone", ZONES[n],
                                             "endpoint", endpoint));
  }
  g_autofree char *name = g_strdup_printf("n%u", self);
  json_t *params = json_pack("{s:[s,s,s], s:[{s:s,s:f,s:f,s:f,s:f},{s:s,s:f,s:f,s:f,s:f}],"
                             " s:{s:f,s:f,s:f}, s:{s:f,s:f,s:f,s:i}, s:{s:f,s:f}, s:{s:i}}",
                             "zones", "a", "b", "c", "teams", "name", "red", "cpus", 0.0,
                             "cpus_max", 0.0, "gpus", 4.0, "gpus_max", 6.0, "name", "blue", "cpus",
                             0.0, "cpus_max", 0.0, "gpus", 2.0, "gpus_max", 8.0, "workers",
                             "report_s", 2.0, "lease_s", 12.0, "cancel_s", 30.0, "state", "rps",
                             200.0, "write_rps", 80.0, "value_kb", 16.0, "txn_ops", 16, "cloud",
                             "rps", 4.0, "list_lag_s", 4.0, "limits", "max_sockets", 1000);
  return json_pack("{s:s, s:s, s:s, s:s, s:o, s:{s:s, s:s}, s:o}", "node_name", name, "zone",
                   ZONES[self], "api_addr", "api:1", "mesh_addr", "mesh:1", "peers", peers,
                   "services", "cloud", "cloud:1", "state", "state:1", "params", params);
}

/** Returns the parsed settings of node @self. */
static inline WsSettings *
ws_test_settings(guint self)
{
  g_autoptr(json_t) message = ws_test_settings_message(self);
  g_autoptr(GError) error = NULL;
  WsSettings *settings = ws_settings_parse(message, &error);
  g_assert_no_error(error);
  return settings;
}

/* The settings file that the platform hands over. */
#pragma once

#include "protocol/ws-error.h"
#include "protocol/ws-names.h"
#include "protocol/ws-job-spec.h"

typedef struct {
  char *name;
  char *zone;
  char *endpoint; /* mesh address; NULL for this node */
} WsNode;

typedef struct {
  char *name;
  WsResources guarantee; /* 0: none in that dimension */
  WsResources limit;     /* 0: no limit in that dimension */
} WsTeamSettings;

/* How soon the tasks of a class are expected to begin, or its jobs to be complete. */
typedef struct {
  char *class_name;
  gboolean is_begin;
  double within_s;
} WsObjective;

typedef struct {
  GPtrArray *nodes; /* of WsNode, ordered by name; an index into it is a node everywhere */
  WsNodeIndex self;
  char *api_addr;
  char *mesh_addr;
  char *cloud_addr;
  char *state_addr;
  GPtrArray *zones;      /* of char* */
  GPtrArray *teams;      /* of WsTeamSettings */
  GPtrArray *objectives; /* of WsObjective */
  double report_s;
  double lease_s;
  double cancel_s;
  double gang_wait_s; /* how long a gang's task waits for the others */
  double gang_peer_s; /* within which a gang notices a loss, and must hear of an orderly stop */
  /* Limits of the state service. Where the settings announce lower ones (state.next), these are the
     lower ones already: nothing is written that couldn't be rewritten under them. */
  double state_rps;
  double state_write_rps;
  guint64 state_txn_ops;
  guint64 state_record_bytes; /* the largest value */
  /* The largest value before state.next. The grouping of records is computed from it, alike by all
     versions of the program that share the store. */
  double state_value_kb;
  double cloud_rps;
  double list_lag_s;
  guint64 max_sockets;
} WsSettings;

WsSettings *ws_settings_parse(const json_t *message, GError **error);
/* Whether one more such need is within the limit of the team. */
gboolean ws_team_has_room(const WsSettings *settings, WsTeamIndex team, const WsResources *use,
                          const WsResources *need);
/* Whether the use is within the team's limit. */
gboolean ws_team_allows(const WsTeamSettings *team, const WsResources *use);
void ws_settings_free(WsSettings *settings);
const WsNode *ws_settings_node(const WsSettings *settings, WsNodeIndex node);
/* Negative: nothing is said about the class. */
double ws_settings_begin_within(const WsSettings *settings, const char *class_name);
double ws_settings_finish_within(const WsSettings *settings, const char *class_name);
guint ws_settings_find_node(const WsSettings *settings, const char *name);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsSettings, ws_settings_free)

/**
 * The settings file that the platform hands over. It is read once, at the start.
 */
#pragma once

#include "protocol/ws-error.h"
#include "protocol/ws-index.h"
#include "protocol/ws-resources.h"

/** A controller. */
typedef struct {
  char *name;
  char *zone;
  char *endpoint; /**< address for the other controllers; NULL: it is this one */
} WsNode;

/** A team and its quota. */
typedef struct {
  char *name;
  WsResources guarantee; /**< 0: none in that dimension */
  WsResources limit;     /**< 0: no limit in that dimension */
} WsTeamSettings;

/** How soon the tasks of a class are expected to begin, or its jobs to be complete. */
typedef struct {
  char *class_name;
  gboolean is_for_task_start; /**< the tasks' beginning, else the jobs' end */
  double within_s;
} WsObjective;

/** The settings. Owns all that it points to. */
typedef struct {
  GPtrArray *nodes; /**< of WsNode, ordered by name; WsNodeIndex is an index into it */
  WsNodeIndex self;

  /* Addresses, HOST:PORT. */
  char *api_addr;   /**< on which to listen for users and workers */
  char *mesh_addr;  /**< on which to listen for the other controllers */
  char *cloud_addr; /**< the cloud */
  char *kv_addr;    /**< the key-value store */

  GPtrArray *zones;      /**< of char *; WsZoneIndex is an index into it */
  GPtrArray *teams;      /**< of WsTeamSettings; WsTeamIndex is an index into it */
  GPtrArray *objectives; /**< of WsObjective */

  /* Workers. */
  double report_s;    /**< interval of heartbeats */
  double lease_s;     /**< how long a worker runs its tasks without an answer */
  double cancel_s;    /**< within which the tasks of a cancelled job are to be stopped */
  double gang_peer_s; /**< within which a gang notices a loss, and must hear of an orderly stop */

  /* Limits of the key-value store. Where the settings announce lower ones (state.next), these are
     the lower ones already: nothing is written that couldn't be rewritten under them. */
  double kv_requests_per_s;    /**< requests per second */
  double kv_writes_per_s;      /**< writes per second */
  guint64 kv_max_txn_ops;      /**< operations per transaction */
  guint64 kv_max_record_bytes; /**< the largest value */
  double kv_current_value_kb;  /**< the largest value before state.next. The grouping of records is
                             computed from it, alike by all versions of the program that share the
                             store */

  /* The cloud. */
  double cloud_rps;  /**< requests per second */
  double list_lag_s; /**< how far its list may be behind */

  guint64 max_sockets; /**< of this process */
} WsSettings;

/** Reads the settings, which the caller frees. NULL with @error set: they are invalid. */
WsSettings *ws_settings_parse(const json_t *message, GError **error);

/** Frees the settings; NULL is allowed. */
void ws_settings_free(WsSettings *settings);

/** Whether one more such need is within the team's limit. @use: what the team uses */
gboolean ws_team_has_capacity(const WsSettings *settings, WsTeamIndex team, const WsResources *use,
                              const WsResources *need);

/** Whether the use is within the team's limit. */
gboolean ws_team_is_within_limit(const WsTeamSettings *team, const WsResources *use);

/** The controller, owned by the settings. */
const WsNode *ws_settings_node(const WsSettings *settings, WsNodeIndex node);

/** The controller of the name; WS_NO_NODE: there is none. @name: may be NULL */
WsNodeIndex ws_settings_find_node(const WsSettings *settings, const char *name);

/** Seconds within which the class's tasks should begin; negative: nothing is said. */
double ws_settings_start_objective_s(const WsSettings *settings, const char *class_name);

/** Seconds within which the class's jobs should be complete; negative: nothing is said. */
double ws_settings_completion_objective_s(const WsSettings *settings, const char *class_name);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsSettings, ws_settings_free)

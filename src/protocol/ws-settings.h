/**
 * The settings file that the platform provides. The program reads it once, at startup.
 */
#pragma once

#include "protocol/ws-error.h"
#include "protocol/ws-index.h"
#include "protocol/ws-resources.h"

/** A controller node. */
typedef struct {
  char *name;
  char *zone;
  char *endpoint; /**< address at which its peers reach it; NULL for this node */
} WsNode;

/** A team and its quota. */
typedef struct {
  char *name;
  WsResources guarantee; /**< guaranteed amounts; 0 if none of that resource */
  WsResources limit;     /**< maximum amounts; 0 if that resource is unlimited */
} WsTeamSettings;

/** A service-level objective: the time within which a class's tasks start, or its jobs complete. */
typedef struct {
  char *class_name;
  gboolean is_for_task_start; /**< TRUE: start of tasks; FALSE: completion of jobs */
  double within_s;
} WsObjective;

/** The settings. Owns everything that it points to. */
typedef struct {
  GPtrArray *nodes; /**< array of WsNode, sorted by name and indexed by WsNodeIndex */
  WsNodeIndex self;

  /* Addresses, HOST:PORT. */
  char *api_addr;   /**< listen address for users and workers */
  char *peer_addr;  /**< listen address for the other controllers */
  char *cloud_addr; /**< address of the cloud API */
  char *kv_addr;    /**< address of the key-value store */

  GPtrArray *zones;      /**< array of char *, indexed by WsZoneIndex */
  GPtrArray *teams;      /**< array of WsTeamSettings, indexed by WsTeamIndex */
  GPtrArray *objectives; /**< array of WsObjective */

  /* Workers. */
  double report_s;    /**< heartbeat interval */
  double lease_s;     /**< how long a worker keeps its tasks running without a heartbeat response */
  double cancel_s;    /**< time within which the tasks of a cancelled job must be stopped */
  double gang_peer_s; /**< time within which a gang's tasks detect that another one is gone; an
                         orderly stop must reach all of them within this time */

  /* Limits of the key-value store. If the settings announce lower limits (state.next), these are
     the lower ones from the start, so that every record can be rewritten once they are enforced.
     Only kv_current_value_kb ignores state.next: the grouping of records depends on it, so all
     versions of the program that share the store must use the same value. */
  double kv_requests_per_s;    /**< maximum requests per second */
  double kv_writes_per_s;      /**< maximum writes per second */
  guint64 kv_max_txn_ops;      /**< maximum operations per transaction */
  guint64 kv_max_record_bytes; /**< maximum size of a record's value, in bytes */
  double kv_current_value_kb;  /**< maximum value size before state.next is applied, in KB */

  /* The cloud. */
  double cloud_requests_per_s; /**< maximum requests per second */
  double list_lag_s;           /**< maximum staleness of the cloud's machine list */

  guint64 max_sockets; /**< maximum number of sockets of this process */
} WsSettings;

/** Parses the settings, which the caller frees. Returns NULL and sets @error if invalid. */
WsSettings *ws_settings_parse(const json_t *message, GError **error);

/** Frees the settings; NULL is allowed. */
void ws_settings_free(WsSettings *settings);

/** Returns whether the team's limit allows @need in addition to @use, the team's current use. */
gboolean ws_team_has_capacity(const WsSettings *settings, WsTeamIndex team, const WsResources *use,
                              const WsResources *need);

/** Returns whether the use is within the team's limit. */
gboolean ws_team_is_within_limit(const WsTeamSettings *team, const WsResources *use);

/** Returns the controller node, owned by the settings. */
const WsNode *ws_settings_node(const WsSettings *settings, WsNodeIndex node);

/** Returns the index of the named controller, or WS_NO_NODE if unknown. @name: may be NULL */
WsNodeIndex ws_settings_find_node(const WsSettings *settings, const char *name);

/** Returns the seconds within which the class's tasks should start; negative if no objective. */
double ws_settings_start_objective_s(const WsSettings *settings, const char *class_name);

/** Returns the seconds within which the class's jobs should complete; negative if no objective. */
double ws_settings_completion_objective_s(const WsSettings *settings, const char *class_name);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsSettings, ws_settings_free)

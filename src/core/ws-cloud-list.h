/**
 * Reconciliation with the cloud's list of machines.
 *
 * A machine that is listed or reports but has no record, as after a rental that was carried out
 * late, gets a record and is used or returned; one that is listed as failed is marked.
 */
#pragma once

#include "core/ws-core-private.h"

WsCloudList *ws_cloud_list_new(void);
void ws_cloud_list_free(WsCloudList *list);

/** Notes that the machine is there without a record. @at_ms: wall clock of its rental */
void ws_cloud_list_reconcile(WsCore *core, WsMachine *machine, gint64 at_ms);

/** Writes records for what was noted; on every node. */
void ws_cloud_list_reconcile_tick(WsCore *core);

/** Asks the cloud for its list when it is time; only the leader calls it. */
void ws_cloud_list_tick(WsCore *core);

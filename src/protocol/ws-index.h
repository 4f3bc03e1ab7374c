/**
 * Dense indices that stand for names within the process. Parsers of messages and stored records map
 * each name to its index.
 *
 * Indices start at 0. Each type has a WS_NO_... value that means "none" or "unknown".
 */
#pragma once

#include <glib.h>

/** The value of every index type that means "none" or "unknown". */
#define WS_NO_INDEX G_MAXUINT32

/** A controller: its index in WsSettings.nodes. */
typedef guint WsNodeIndex;
/** No controller, or an unknown one. */
#define WS_NO_NODE ((WsNodeIndex)WS_NO_INDEX)

/** A zone: its index in WsSettings.zones. */
typedef guint WsZoneIndex;
/** No zone, or an unknown one. */
#define WS_NO_ZONE ((WsZoneIndex)WS_NO_INDEX)

/** A team: its index in WsSettings.teams. */
typedef guint WsTeamIndex;
/** No team, or an unknown one. */
#define WS_NO_TEAM ((WsTeamIndex)WS_NO_INDEX)

/** A machine type: its index in the cloud's catalog. */
typedef guint WsTypeIndex;
/** No machine type, or an unknown one. */
#define WS_NO_TYPE ((WsTypeIndex)WS_NO_INDEX)

/** A job: its index in the replica. */
typedef guint WsJobIndex;
/** No job, or an unknown one. */
#define WS_NO_JOB ((WsJobIndex)WS_NO_INDEX)

/** A machine: its index in the replica. */
typedef guint WsMachineIndex;
/** No machine, or an unknown one. */
#define WS_NO_MACHINE ((WsMachineIndex)WS_NO_INDEX)

/** An image: its index in the replica's table of image names. */
typedef guint WsImageIndex;
/** No image, or an unknown one. */
#define WS_NO_IMAGE ((WsImageIndex)WS_NO_INDEX)

/**
 * Dense indices: names are mapped to them where a message or a record comes in.
 *
 * Each is a number from 0 on; its NO value says that there is none, or that it isn't known.
 */
#pragma once

#include <glib.h>

/** The value of all of them that says that there is none. */
#define WS_NO_INDEX G_MAXUINT32

/** A controller: its place among WsSettings.nodes. */
typedef guint WsNodeIndex;
/** No node, or one that is not known. */
#define WS_NO_NODE ((WsNodeIndex)WS_NO_INDEX)

/** A zone: its place among WsSettings.zones. */
typedef guint WsZoneIndex;
/** No zone, or one that is not known. */
#define WS_NO_ZONE ((WsZoneIndex)WS_NO_INDEX)

/** A team: its place among WsSettings.teams. */
typedef guint WsTeamIndex;
/** No team, or one that is not known. */
#define WS_NO_TEAM ((WsTeamIndex)WS_NO_INDEX)

/** A type of machine: its place in the cloud's catalog. */
typedef guint WsTypeIndex;
/** No type, or one that is not known. */
#define WS_NO_TYPE ((WsTypeIndex)WS_NO_INDEX)

/** A job: its place in the replica. */
typedef guint WsJobIndex;
/** No job, or one that is not known. */
#define WS_NO_JOB ((WsJobIndex)WS_NO_INDEX)

/** A machine: its place in the replica. */
typedef guint WsMachineIndex;
/** No machine, or one that is not known. */
#define WS_NO_MACHINE ((WsMachineIndex)WS_NO_INDEX)

/** An image: its place among the names that the replica has met. */
typedef guint WsImageIndex;
/** No image, or one that is not known. */
#define WS_NO_IMAGE ((WsImageIndex)WS_NO_INDEX)

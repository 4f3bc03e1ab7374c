/**
 * The fencing token of each machine, and which late copies of direct launches it keeps out.
 *
 * A worker carries out a direct call each time that a copy of it arrives, also after it has
 * answered the call, unless the call's token is below the worker's or the call is for another
 * incarnation. A launched attempt that the worker no longer holds could start again that way. So
 * before an attempt is reaped, or is considered gone because the worker does not hold it, the
 * worker's token must be above those of all direct launches.
 *
 * Within an epoch only the machine's owner sends direct launches and raises the machine's token.
 */
#pragma once

#include "storage/ws-replica.h"

/** Returns the token of the owner's next command to the machine: the highest one issued so far. */
guint64 ws_fencing_token(const WsReplica *replica, const WsMachine *machine);

/** Records a direct launch that is sent with the machine's token to its current incarnation. */
void ws_fencing_record_direct_launch(const WsReplica *replica, WsMachine *machine);

/**
 * Makes the machine's token higher than those of all direct launches that this node has sent, so
 * that a worker that takes the next command refuses their copies. Returns FALSE if the epoch has no
 * such token.
 */
gboolean ws_fencing_ensure_above_launches(const WsReplica *replica, WsMachine *machine);

/**
 * Returns whether a worker that has this fencing token, in this incarnation, refuses the copies of
 * all direct launches that this node has sent to the machine.
 */
gboolean ws_fencing_covers_launches(const WsMachine *machine, guint64 fencing_token,
                                    guint64 incarnation);

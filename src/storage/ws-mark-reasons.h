/**
 * Reasons in termination marks: why a machine is terminated.
 *
 * The spellings are stored in records, sent in peer requests and written to the log, so they must
 * not change. The names of the constants are the terms that the code uses.
 */
#pragma once

/** The failure detector declared the machine dead: no heartbeats and no replies to probes. */
#define WS_MARK_REASON_SILENT "silent"
/** Its heartbeats arrive, but answers and commands do not reach its worker. */
#define WS_MARK_REASON_OUTBOUND_UNREACHABLE "deaf"
/** Its worker answers calls, but its heartbeats reach no node. */
#define WS_MARK_REASON_INBOUND_UNREACHABLE "mute"
/** It still has a cancelled task whose cancellation deadline would otherwise be missed. */
#define WS_MARK_REASON_CANCELLED "cancelled"
/** It has had no tasks for its idle timeout. */
#define WS_MARK_REASON_IDLE "idle"
/** Its tasks fit on other machines. */
#define WS_MARK_REASON_CONSOLIDATION "merge"
/** The cloud lists it as failed. */
#define WS_MARK_REASON_FAILED "failed"
/** It was rented, but no heartbeat of its worker has ever arrived. */
#define WS_MARK_REASON_NEVER_UP "never up"
/** The cloud is about to interrupt it. */
#define WS_MARK_REASON_INTERRUPTION "notice"
/** Several jobs have failed on it in a row. */
#define WS_MARK_REASON_FAULTY "faulty"
/** A node of a version before 0.4 has repeated a release of a task on it that lacks evidence. */
#define WS_MARK_REASON_LEGACY_RELEASE "unproven"

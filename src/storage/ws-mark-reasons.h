/**
 * Why a machine is terminated, as it stands in its termination mark.
 *
 * The spellings are stored in records, sent in peer requests and written to the log, so they stay
 * as they are; the names of the constants are the terms that the code uses for them.
 */
#pragma once

/** The failure detector has declared the machine dead: no heartbeat, no answer to its probes. */
#define WS_MARK_REASON_SILENT "silent"
/** Its heartbeats arrive, and answers and commands do not reach it. */
#define WS_MARK_REASON_OUTBOUND_UNREACHABLE "deaf"
/** It answers calls, and its heartbeats reach no node. */
#define WS_MARK_REASON_INBOUND_UNREACHABLE "mute"
/** It holds a cancelled task that may not outlive its time limit. */
#define WS_MARK_REASON_CANCELLED "cancelled"
/** It has been empty for its idle timeout. */
#define WS_MARK_REASON_IDLE "idle"
/** Its tasks fit on other machines. */
#define WS_MARK_REASON_CONSOLIDATION "merge"
/** The cloud lists it as failed. */
#define WS_MARK_REASON_FAILED "failed"
/** It was rented, and its worker was never heard. */
#define WS_MARK_REASON_NEVER_UP "never up"
/** The cloud is about to interrupt it. */
#define WS_MARK_REASON_INTERRUPTION "notice"
/** Several jobs have failed on it in a row. */
#define WS_MARK_REASON_FAULTY "faulty"
/** A release of an older version names it, without evidence that the task is gone. */
#define WS_MARK_REASON_LEGACY_RELEASE "unproven"

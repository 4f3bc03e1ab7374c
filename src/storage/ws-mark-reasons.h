/**
 * Reasons of termination marks, as they are stored with a mark and sent between nodes.
 *
 * The spellings are those of earlier versions, which read the same records. An unknown
 * one is kept as it is.
 */
#pragma once

/** Empty for the idle timeout. */
#define WS_MARK_IDLE "idle"

/** Underused, and its tasks fit on other machines. */
#define WS_MARK_CONSOLIDATION "merge"

/** The cloud has given an interruption notice. */
#define WS_MARK_INTERRUPTION "notice"

/** Several jobs failed there. */
#define WS_MARK_FAULTY "faulty"

/** It has not booted in time. */
#define WS_MARK_NEVER_UP "never up"

/** The cloud lists it as failed. */
#define WS_MARK_FAILED "failed"

/** It hasn't confirmed in time that a cancelled job's task has ended. */
#define WS_MARK_CANCELLED "cancelled"

/** It was declared dead by the failure detector. */
#define WS_MARK_SILENT "silent"

/** Outbound unreachable: its heartbeats arrive, answers and commands don't reach it. */
#define WS_MARK_OUTBOUND_UNREACHABLE "deaf"

/** Inbound unreachable: it can be called, its heartbeats reach nobody. */
#define WS_MARK_INBOUND_UNREACHABLE "mute"

/** A node of a version before 0.4 says that tasks there are gone, and nothing proves it. */
#define WS_MARK_UNPROVEN "unproven"

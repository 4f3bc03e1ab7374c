/**
 * The record of a job: from its submission on with its specification, in the end without.
 */
#pragma once

#include "storage/ws-job.h"

/** A job's record as it was read. */
typedef struct {
  WsJobState state;
  const json_t *spec;      /**< borrowed; NULL: the record has its final form */
  gboolean has_task_count; /**< of the final form only */
  guint tasks;
  gint64 accepted_ms;      /**< wall clock; 0: not said */
  gint64 cancelled_ms;     /**< wall clock; 0: not said */
  const char *coordinator; /**< borrowed: name of the coordinating node; "": the leader */
} WsJobRecord;

/**
 * The record of a job that isn't in final form, a new JSON object.
 *
 * @coordinator: see WsJobRecord
 */
json_t *ws_job_encode(const WsJob *job, WsJobState state, const char *coordinator);

/** The final form, a new JSON object: what is kept of an ended job until garbage collection. */
json_t *ws_job_encode_final(const WsJob *job, WsJobState state);

/** Reads a job's record. FALSE: it is damaged. @value: must outlive the result, which borrows */
gboolean ws_job_record_parse(const json_t *value, WsJobRecord *record);

/**
 * The record of a job. It contains the specification until it is replaced by its final form.
 */
#pragma once

#include "storage/ws-job.h"

/** The contents of a job's record. */
typedef struct {
  WsJobState state;
  const json_t *spec;      /**< borrowed; NULL if the record is in final form */
  gboolean has_task_count; /**< the record has a task count; final form only */
  guint tasks;
  gint64 accepted_ms;      /**< wall clock; 0 if absent */
  gint64 cancelled_ms;     /**< wall clock; 0 if absent */
  const char *coordinator; /**< borrowed; name of the coordinating node; "" for the leader */
} WsJobRecord;

/**
 * Encodes the record of a job that is not in final form, as a new JSON object.
 *
 * @coordinator: see WsJobRecord
 */
json_t *ws_job_encode(const WsJob *job, WsJobState state, const char *coordinator);

/**
 * Encodes the final form of a job's record as a new JSON object: what is kept of an ended job until
 * garbage collection.
 */
json_t *ws_job_encode_final(const WsJob *job, WsJobState state);

/**
 * Parses a job's record. Returns FALSE if it is damaged.
 *
 * @value: must outlive the record, which borrows from it
 */
gboolean ws_job_record_parse(const json_t *value, WsJobRecord *record);

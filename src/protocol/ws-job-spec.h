/**
 * The specification of a job, as submitted by its user. The stored job record contains it.
 */
#pragma once

#include "protocol/ws-error.h"
#include "protocol/ws-resources.h"

/** Maximum number of tasks of a job. */
#define WS_MAX_TASKS 100000

/** Kinds of jobs, by the way in which their tasks depend on each other. */
typedef enum {
  WS_KIND_ARRAY,   /**< independent tasks */
  WS_KIND_SERVICE, /**< tasks that run until the job is cancelled */
  WS_KIND_GANG     /**< tasks that must all run at the same time */
} WsKind;

/** Priority classes, highest first. */
typedef enum { WS_CRITICAL, WS_URGENT, WS_STANDARD, WS_BEST_EFFORT } WsPriority;

/** A job's specification. Owns its strings. */
typedef struct {
  char *id;
  char *class_name; /**< class, used for objectives and run-time estimates */
  char *team;
  WsKind kind;
  WsPriority priority;
  guint tasks;             /**< number of tasks */
  WsResources need;        /**< resources that each task needs */
  char **types;            /**< allowed machine types; NULL if all are */
  char *zone;              /**< required zone; NULL if any will do */
  gboolean needs_one_zone; /**< zone affinity: all tasks run in the same zone */
  gboolean must_spread; /**< zone anti-affinity: at most half of the tasks, rounded up, per zone */
  gboolean allows_spot; /**< the tasks may run on spot machines */
  char *image;
  double image_gb;
  double estimate_s;            /**< estimated run time of a task */
  double checkpoint_interval_s; /**< checkpoint interval */
  double checkpoint_save_s;     /**< time to write the checkpoint when a task is stopped */
  double deadline_s;            /**< time from acceptance to the deadline; negative if none */
} WsJobSpec;

/** Parses a submission, which the caller frees. Returns NULL and sets @error if it is invalid. */
WsJobSpec *ws_job_spec_parse(const json_t *message, GError **error);

/** Encodes the submission as a new JSON object, which ws_job_spec_parse() can parse. */
json_t *ws_job_spec_encode(const WsJobSpec *spec);

/** Frees the specification; NULL is allowed. */
void ws_job_spec_free(WsJobSpec *spec);

/** Returns whether the text, which may be NULL, is a well-formed job id. */
gboolean ws_job_id_is_valid(const char *id);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsJobSpec, ws_job_spec_free)

/**
 * A job as its user describes it: its submission, which the stored record of the job contains.
 */
#pragma once

#include "protocol/ws-error.h"
#include "protocol/ws-resources.h"

/** The largest number of tasks that a job may have. */
#define WS_MAX_TASKS 100000

/** How the tasks of a job belong together. */
typedef enum {
  WS_KIND_ARRAY,   /**< independent tasks */
  WS_KIND_SERVICE, /**< tasks that run until the job is cancelled */
  WS_KIND_GANG     /**< tasks that run together or not at all */
} WsKind;

/** Priority classes, the highest first. */
typedef enum { WS_CRITICAL, WS_URGENT, WS_STANDARD, WS_BEST_EFFORT } WsPriority;

/** A job's specification. All strings are owned. */
typedef struct {
  char *id;
  char *class_name; /**< class, for objectives and run-time estimates */
  char *team;
  WsKind kind;
  WsPriority priority;
  guint tasks;             /**< how many it has */
  WsResources need;        /**< of each task */
  char **types;            /**< allowed machine types; NULL: any */
  char *zone;              /**< NULL: any */
  gboolean needs_one_zone; /**< all tasks in the same zone */
  gboolean must_spread;    /**< no more than half of the tasks, rounded up, in one zone */
  gboolean allows_spot;    /**< may run on spot machines */
  char *image;
  double image_gb;
  double estimate_s;            /**< run time of a task */
  double checkpoint_interval_s; /**< checkpoint interval */
  double checkpoint_save_s;     /**< how long a checkpoint at a stop takes */
  double deadline_s;            /**< in all; negative: none */
} WsJobSpec;

/** Reads a submission, which the caller frees. NULL with @error set: it is invalid. */
WsJobSpec *ws_job_spec_parse(const json_t *message, GError **error);

/** The submission as ws_job_spec_parse() reads it, a new JSON object. */
json_t *ws_job_spec_encode(const WsJobSpec *spec);

/** Frees the specification; NULL is allowed. */
void ws_job_spec_free(WsJobSpec *spec);

/** Whether the text, which may be NULL, is of the form of a job's id. */
gboolean ws_job_id_is_valid(const char *id);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsJobSpec, ws_job_spec_free)

/* A job as its user describes it. Amounts are in thousandths, so that sums are exact. */
#pragma once

#include "protocol/ws-error.h"
#include "protocol/ws-json.h"

#define WS_MAX_TASKS 100000

typedef enum { WS_KIND_ARRAY, WS_KIND_SERVICE, WS_KIND_GANG } WsKind;
typedef enum { WS_CRITICAL, WS_URGENT, WS_STANDARD, WS_BEST_EFFORT } WsPriority;

typedef struct {
  gint64 cpus;
  gint64 gpus;
  gint64 memory;
} WsResources;

typedef struct {
  char *id;
  char *class_name;
  char *team;
  WsKind kind;
  WsPriority priority;
  guint tasks;
  WsResources need;
  char **types; /* NULL: any */
  char *zone;   /* NULL: any */
  gboolean one_zone;
  gboolean spread;
  gboolean spot;
  char *image;
  double image_gb;
  double estimate_s;
  double checkpoint_s;
  double save_s;
  double deadline_s; /* negative: none */
} WsJobSpec;

/* NULL and a one-line reason if the message is not a valid submission. */
WsJobSpec *ws_job_spec_parse(const json_t *message, GError **error);
json_t *ws_job_spec_encode(const WsJobSpec *submission);
void ws_job_spec_free(WsJobSpec *submission);
gboolean ws_job_id_valid(const char *id);

gboolean ws_resources_fit(const WsResources *need, const WsResources *room);
void ws_resources_add(WsResources *sum, const WsResources *part, gint64 times);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsJobSpec, ws_job_spec_free)

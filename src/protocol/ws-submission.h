/* A job as its user describes it. Amounts are in thousandths, so that sums are exact. */
#pragma once

#include "protocol/ws-json.h"

#define WS_MAX_TASKS 100000

typedef enum { WS_KIND_ARRAY, WS_KIND_SERVICE, WS_KIND_GANG } WsKind;
typedef enum { WS_CRITICAL, WS_URGENT, WS_STANDARD, WS_BEST_EFFORT } WsPriority;

typedef struct {
  gint64 cpus;
  gint64 gpus;
  gint64 memory;
} WsAmount;

typedef struct {
  char *id;
  char *class_name;
  char *team;
  WsKind kind;
  WsPriority priority;
  guint tasks;
  WsAmount need;
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
} WsSubmission;

/* NULL and a one-line reason if the message is not a valid submission. */
WsSubmission *ws_submission_parse(const json_t *message, char **reason);
json_t *ws_submission_encode(const WsSubmission *submission);
void ws_submission_free(WsSubmission *submission);
gboolean ws_job_id_valid(const char *id);

gboolean ws_amount_fits(const WsAmount *need, const WsAmount *room);
void ws_amount_add(WsAmount *sum, const WsAmount *part, gint64 times);

G_DEFINE_AUTOPTR_CLEANUP_FUNC(WsSubmission, ws_submission_free)

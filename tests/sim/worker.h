/**
 * A worker of the simulated cluster, as the protocol describes it.
 */
#pragma once

#include <glib.h>
#include <jansson.h>

#define SIM_SLOTS 4 /* tasks on a machine; each takes one GPU */

typedef struct {
  char *job;
  guint task;
  guint64 attempt;
  const char *state; /* fetching, gathering, running, flushing, exited */
  const char *why;
  gint64 next_ms;     /* when it has its image, is done, or has saved */
  gint64 save_ms;     /* of a gang that runs: how long it saves when it is stopped; else 0 */
  gint64 gathered_ms; /* of a gang: since when it waits for the others */
  gboolean saved;     /* exited, and its progress is safe */
} SimTask;

/* Whether the task occupies its slot and counts for the invariants: it has its image. */
gboolean sim_task_occupies_slot(const SimTask *task);

typedef struct {
  char *name;
  const char *type;
  const char *zone;
  gboolean spot;
  guint64 incarnation;
  guint64 sequence;
  guint64 fencing_token;
  gint64 renewed_ms;      /* when the last acknowledged heartbeat was sent */
  gint64 interruption_ms; /* 0: none */
  GArray *tasks;          /* of SimTask */
} SimWorker;

/* What a start needs to know of a job; negative run_s: a service. */
typedef gboolean (*SimDescribe)(gpointer world, const char *job, guint task, double *run_s);

SimWorker *sim_worker_new(const char *name, const char *type, const char *zone, gboolean spot,
                          gint64 now_ms);
void sim_worker_free(SimWorker *worker);
json_t *sim_worker_heartbeat(SimWorker *worker, gint64 now_ms);
/* Takes the answer to a heartbeat that was sent at the time given, by the incarnation given. */
void sim_worker_handle_answer(SimWorker *worker, gint64 now_ms, gint64 sent_ms, guint64 incarnation,
                              const json_t *answer, SimDescribe describe, gpointer world);
/* Direct commands: returns the status, and the body is the worker's heartbeat. */
guint sim_worker_handle_commands(SimWorker *worker, gint64 now_ms, const json_t *message,
                                 json_t **report, SimDescribe describe, gpointer world);
/* Begins a new incarnation without tasks when the lease has expired. */
void sim_worker_check_lease(SimWorker *worker, gint64 now_ms, gint64 lease_ms);
SimTask *sim_worker_find(SimWorker *worker, const char *job, guint task);

/**
 * A worker of the simulated cluster, as the protocol describes it.
 */
#pragma once

#include <glib.h>
#include <jansson.h>

/** Tasks that a machine has slots for; each takes one GPU. */
#define SIM_MACHINE_SLOTS 4

/** A task on a worker. */
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

/** Whether the task occupies its slot and counts for the invariants: it has its image. */
gboolean sim_task_occupies_slot(const SimTask *task);

/** A worker, in its present incarnation. */
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

/** What a start needs to know of a job; negative run_s: a service. */
typedef gboolean (*SimDescribeTask)(gpointer world, const char *job, guint task, double *run_s);

/** A worker without tasks. */
SimWorker *sim_worker_new(const char *name, const char *type, const char *zone, gboolean spot,
                          gint64 now_ms);
/** Frees the worker and its tasks. */
void sim_worker_free(SimWorker *worker);
/** The body of its next heartbeat. */
json_t *sim_worker_heartbeat(SimWorker *worker, gint64 now_ms);
/** Takes the answer to a heartbeat that was sent at the time given, by the incarnation given. */
void sim_worker_handle_answer(SimWorker *worker, gint64 now_ms, gint64 sent_ms, guint64 incarnation,
                              const json_t *answer, SimDescribeTask describe, gpointer world);
/** Direct commands: returns the status, and the body is the worker's heartbeat. */
guint sim_worker_handle_commands(SimWorker *worker, gint64 now_ms, const json_t *message,
                                 json_t **report, SimDescribeTask describe, gpointer world);
/** Begins a new incarnation without tasks when the lease has expired. */
void sim_worker_check_lease(SimWorker *worker, gint64 now_ms, gint64 lease_ms);
/** The task on the worker, or NULL. */
SimTask *sim_worker_find(SimWorker *worker, const char *job, guint task);

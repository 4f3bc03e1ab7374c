/**
 * A worker of the simulated cluster, as the protocol describes it.
 */
#pragma once

#include <glib.h>
#include <jansson.h>

/** The number of task slots of a machine; each has one accelerator. */
#define SIM_MACHINE_SLOTS 4

/** A task on a worker. */
typedef struct {
  char *job;
  guint task;
  guint64 attempt;
  const char *state;   /* fetching, gathering, running, flushing, exited */
  const char *why;     /* the reason for its exit, or NULL */
  gint64 next_step_ms; /* when its image is fetched, its run is over, or its progress is saved */
  gint64 save_ms;      /* of a running task of a gang: time to save when it is stopped; else 0 */
  gint64 gathered_ms;  /* of a task of a gang: since when it waits for the others */
  gboolean saved;      /* it has exited with its progress saved */
} SimTask;

/** Whether the task counts for the invariants: its image is fetched and it hasn't exited. */
gboolean sim_task_occupies_slot(const SimTask *task);

/** A worker, in its current incarnation. */
typedef struct {
  char *name;
  const char *type;
  const char *zone;
  gboolean spot;
  guint64 incarnation;
  guint64 sequence;
  guint64 fencing_token;
  gint64 renewed_ms;      /* when the last acknowledged heartbeat was sent */
  gint64 interruption_ms; /* when the cloud takes the machine back; 0: no notice */
  GArray *tasks;          /* of SimTask */
} SimWorker;

/** Gives the run time of a job's tasks, negative for a service; FALSE: there is no such task. */
typedef gboolean (*SimDescribeTask)(gpointer world, const char *job, guint task, double *run_s);

/** Creates a worker without tasks. */
SimWorker *sim_worker_new(const char *name, const char *type, const char *zone, gboolean spot,
                          gint64 now_ms);
/** Frees the worker and its tasks. */
void sim_worker_free(SimWorker *worker);
/** Returns the body of the worker's next heartbeat, and advances its sequence number. */
json_t *sim_worker_heartbeat(SimWorker *worker, gint64 now_ms);
/** Handles the answer to a heartbeat that @incarnation sent at @sent_ms: renews the lease. */
void sim_worker_handle_answer(SimWorker *worker, gint64 now_ms, gint64 sent_ms, guint64 incarnation,
                              const json_t *answer, SimDescribeTask describe, gpointer world);
/** Handles direct commands. Returns the status of the answer; its body is @report, a heartbeat. */
guint sim_worker_handle_commands(SimWorker *worker, gint64 now_ms, const json_t *message,
                                 json_t **report, SimDescribeTask describe, gpointer world);
/** Drops all tasks and begins a new incarnation if the lease has expired. */
void sim_worker_check_lease(SimWorker *worker, gint64 now_ms, gint64 lease_ms);
/** Returns the task on the worker, or NULL. */
SimTask *sim_worker_find(SimWorker *worker, const char *job, guint task);

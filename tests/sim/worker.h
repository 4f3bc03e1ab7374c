/**
 * A worker of the simulated cluster, which follows the worker protocol.
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
  const char *state;          /* fetching, gathering, running, flushing, exited */
  const char *why;            /* the reason for its exit, or NULL */
  gint64 unrecorded_since_ms; /* since when no record assigns it; 0: one does */
  gint64 next_step_ms; /* when its image is fetched, its run is over, or its progress is saved */
  gint64 save_ms;      /* of a running task of a gang: time to save when it is stopped; else 0 */
  gint64 gathered_ms;  /* of a task of a gang: since when it waits for the others */
  gboolean fails;      /* its run ends with an error */
  gboolean saved;      /* it has exited with its progress saved */
} SimTask;

/** Whether the invariants count the task's slot as used: its image is fetched, it hasn't exited. */
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
  gint64 interruption_ms; /* when the cloud reclaims the machine; 0: no notice */
  GArray *tasks;          /* of SimTask */
  GHashTable *images;     /* set of the ids of the jobs whose images it has */
} SimWorker;

/**
 * Sets @run_s to the run time of each task of the job, negative for a service. Returns FALSE if
 * there is no such task.
 */
typedef gboolean (*SimDescribeTask)(gpointer user_data, const char *job, guint task, double *run_s);

/** Creates a worker without tasks. */
SimWorker *sim_worker_new(const char *name, const char *type, const char *zone, gboolean spot,
                          gint64 now_ms);
/** Frees the worker and its tasks. */
void sim_worker_free(SimWorker *worker);
/** Returns the body of the worker's next heartbeat, and advances its sequence number. */
json_t *sim_worker_heartbeat(SimWorker *worker, gint64 now_ms);
/** Handles the answer to a heartbeat that @incarnation sent at @sent_ms: renews the lease. */
void sim_worker_handle_answer(SimWorker *worker, gint64 now_ms, gint64 sent_ms, guint64 incarnation,
                              const json_t *answer, SimDescribeTask describe, gpointer user_data);
/** Handles direct commands. Returns the answer's status, and its body, a heartbeat, in @report. */
guint sim_worker_handle_commands(SimWorker *worker, gint64 now_ms, const json_t *message,
                                 json_t **report, SimDescribeTask describe, gpointer user_data);
/** Drops all tasks and begins a new incarnation if the lease has expired. */
void sim_worker_check_lease(SimWorker *worker, gint64 now_ms, gint64 lease_ms);
/** Records that the worker has the image of the job. */
void sim_worker_add_image(SimWorker *worker, const char *job);
/** Has the worker forget everything but its images, and count its messages and tokens from 0. */
void sim_worker_begin_anew(SimWorker *worker, gint64 now_ms);
/** Returns the task on the worker, or NULL. */
SimTask *sim_worker_find(SimWorker *worker, const char *job, guint task);

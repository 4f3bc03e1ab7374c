/**
 * A simulated cluster in memory: three complete controllers, a key-value store, a cloud, workers
 * and users that follow their published protocols, and a network that loses, delays and duplicates
 * messages. The invariants are checked whenever a task starts and whenever a user gets an answer; a
 * violation ends the program with g_error().
 *
 * Time is simulated, and every random number is drawn from one generator: a run is determined by
 * its seed.
 */
#pragma once

#include "core/ws-core.h"

/**
 * The number of nodes, which is also the number of zones; the interval of a gang's checkpoints and
 * the time to save its progress when it is stopped, in seconds.
 */
#define SIM_NODES 3
#define SIM_CHECKPOINT_INTERVAL_S 10.0
#define SIM_SAVE_DURATION_S 2.0

/** A simulated cluster. */
typedef struct _Sim Sim;

/** Injects a fault into the machine, which lasts for @seconds. */
typedef void (*SimMachineFault)(Sim *sim, guint machine, double seconds);

/** Faults of the network, which apply to every message. */
typedef struct {
  double lose;   /* probability that a request, or its answer, is lost */
  double repeat; /* probability that a request arrives twice */
  double late;   /* probability that a request arrives 2 s to 60 s late, often after its timeout */
} SimNetworkFaults;

/** The faults in force. Tests may set and clear them at any time. */
typedef struct {
  SimNetworkFaults net;
  gboolean store_unavailable; /* the store answers every node with 503 */
  guint store_rejects_nodes;  /* bit mask of the nodes that the store answers with 503 */
  guint partitioned_zones;    /* bit mask of the zones that are cut off from those without a bit */
  guint unreachable_nodes;    /* bit mask of the nodes that have no connection to any worker */
  /* probability that a transaction gets no answer and is applied 2 s to 12 s late */
  double delayed_transactions;
  gint64 store_delay_ms; /* the longest delay of an answer of the store */
  guint isolated_nodes;  /* bit mask of the nodes that reach neither the store nor other nodes */
  /* probability that a copy of a heartbeat arrives up to four leases later */
  double duplicated_heartbeats;
  /* probability that a call to a worker, the store or the cloud that was carried out and answered
   * arrives there again, 1 s to 40 s later */
  double repeated_calls;
  /* probability that a call that launches a task gets no answer and is carried out 31 s to 180 s
   * late, after the time in which a cancelled job's tasks must be gone */
  double held_launches;
  /* probability that a rental or a return gets no answer and is carried out 5 s to 150 s late */
  double delayed_cloud_calls;
  double failing_tasks; /* probability that a task that starts ends with an error */
  guint max_machines;   /* that the cloud rents out in total, returned ones excluded; 0: no limit */
  gboolean cloud_unavailable; /* the cloud answers every request with 503 */
  gboolean cloud_is_full;     /* the cloud answers rental requests with 503 */
} SimFaults;

/** A job to submit. Each of its tasks needs one accelerator. */
typedef struct {
  guint tasks;
  gboolean service;
  const char *team;
  const char *priority;
  gboolean scatter;  /* at most half of its tasks, rounded up, may run in the same zone */
  gboolean spot;     /* its tasks may run on spot machines */
  gboolean one_zone; /* all its tasks must run in the same zone */
  gboolean gang;     /* its tasks run together, checkpoint, and save when they are stopped */
  const char *zone;  /* the only zone allowed; NULL: any */
  double run_s;      /* of each task; a service runs until it is stopped */
} SimJob;

/** Creates a cluster without machines or jobs. Its controllers start with the first sim_run(). */
Sim *sim_new(guint32 seed);
/** Frees the cluster and everything in flight. */
void sim_free(Sim *sim);
/** Sets the heartbeat interval and the lease of workers. Must be called before sim_run(). */
void sim_set_heartbeat_timing(Sim *sim, double report_s, double lease_s);
/** The faults in force, which the caller may change. */
SimFaults *sim_faults(Sim *sim);
/** The generator from which the whole simulation draws its random numbers. */
GRand *sim_rand(Sim *sim);
/** The properties that all nodes share. */
WsProperties *sim_properties(Sim *sim);
/** The simulated time in milliseconds. */
gint64 sim_now_ms(const Sim *sim);
/** Has the ids of later jobs come in no order; otherwise they ascend. */
void sim_scatter_job_ids(Sim *sim);
/** Sets the most items that a page of the store's keys has; 0: any number. */
void sim_set_max_page_items(Sim *sim, guint max_page_items);
/** Sets how many of the newest changes the store keeps for watches; 0: all. */
void sim_set_max_log_length(Sim *sim, guint max_log_length);
/** Has the store forget all changes made so far: watches from an earlier revision get 410. */
void sim_compact_store(Sim *sim);
/** Advances the simulated time by @seconds and runs the events that are due. */
void sim_run(Sim *sim, double seconds);
/** Ends the node's controller; a new one starts after @back_after_s. */
void sim_crash_node(Sim *sim, guint node, double back_after_s);
/** Pauses the node's process for @seconds, while its clocks advance. */
void sim_pause_node(Sim *sim, guint node, double seconds);
/** Whether the node's controller is running. */
gboolean sim_node_is_up(const Sim *sim, guint node);
/** Adds a user who submits the job. Jobs are numbered in the order of these calls, from 0. */
void sim_submit(Sim *sim, const SimJob *job);
/** Adds a user who submits the job after @seconds. */
void sim_submit_later(Sim *sim, const SimJob *job, double seconds);
/** Has the user of a random job cancel it with the next request, if the job is accepted. */
void sim_cancel_random_job(Sim *sim);
/** Has the user of the job cancel it at once, if it is accepted. */
void sim_cancel(Sim *sim, guint job);
/** Sets the probability with which a user cancels a job when one of its tasks completes. */
void sim_cancel_at_completion(Sim *sim, double probability);
/**
 * Sends requests for unknown jobs, submissions that lack a field or can't run, and, for a job that
 * has ended, a cancellation and a repeated submission. Each must get the expected status, or 503.
 */
void sim_send_malformed_requests(Sim *sim);
/** The number of attempts of the gang that started. */
guint sim_gang_starts(const Sim *sim, guint job);
/** The number of attempts that ended unsaved: a task was lost, or saving took too long. */
guint sim_gang_losses(const Sim *sim, guint job);
/** The number of attempts of the gang that were stopped with their progress saved. */
guint sim_gang_saves(const Sim *sim, guint job);
/** Starts the task on the machine without a controller's decision, to violate an invariant. */
void sim_force_start(Sim *sim, guint machine, guint job, guint task);
/** The index of the first machine that runs a task of the job; G_MAXUINT if there is none. */
guint sim_find_machine_running_job(const Sim *sim, guint job);
/** Has the network keep a copy of each call to a worker that is carried out from now on. */
void sim_keep_copies(Sim *sim);
/** Delivers all copies that the network has kept, in the order of the calls. */
void sim_deliver_copies(Sim *sim);
/** Has the network hold each call that launches a task from now on, without an answer. */
void sim_hold_launches(Sim *sim);
/** Delivers the calls that the network holds, in their order, and holds no further ones. */
void sim_deliver_held_launches(Sim *sim);
/** Has all machines have the images of all jobs, so that a task starts as soon as it is launched.
 */
void sim_cache_images(Sim *sim);
/** The number of calls that the network holds. */
guint sim_count_held_launches(const Sim *sim);
/** Has the cloud carry out each rental and return of machines @delay_s late, without an answer. */
void sim_delay_cloud_calls(Sim *sim, double delay_s);
/**
 * Fails from now on if a task occupies a slot that no record assigns to it for longer than the
 * tasks of a cancelled job may.
 */
void sim_expect_recorded_tasks(Sim *sim);
/** Has the member records lack what versions without ranges of fencing tokens don't write. */
void sim_use_single_tokens(Sim *sim);
/** Draws the index of a random machine that is up; G_MAXUINT if there is none. */
guint sim_draw_machine(Sim *sim);
/** Stalls the machine: it sends and handles nothing for @seconds, while its lease runs on. */
void sim_stall_machine(Sim *sim, guint machine, double seconds);
/**
 * Blocks messages from the controllers to the machine: its heartbeats arrive, but neither answers
 * nor direct commands reach it. "Outbound" and "inbound" are as the controllers see them.
 */
void sim_block_outbound(Sim *sim, guint machine, double seconds);
/** Blocks messages from the machine to the controllers; direct commands still reach it. */
void sim_block_inbound(Sim *sim, guint machine, double seconds);
/** Changes the store's limits in the settings of all nodes, but not those that it enforces. */
void sim_announce_limits(Sim *sim, guint ops, gsize bytes);
/** Changes the limits that the store enforces, but not those in the settings of the nodes. */
void sim_lower_limits(Sim *sim, guint ops, gsize bytes);
/** The number of transactions that the store has rejected for their size. */
guint sim_count_rejected_for_size(const Sim *sim);
/** The leader according to its record in the store; G_MAXUINT if there is none. */
guint sim_leader(const Sim *sim);
/** How many epochs there have been; all nodes know ranges of fencing tokens. */
guint64 sim_count_epochs(const Sim *sim);
/** Whether the job's user got the answer that it is cancelled. */
gboolean sim_is_reported_cancelled(const Sim *sim, guint job);
/** The number of the job's tasks that are running on machines that are up. */
guint sim_count_running(const Sim *sim, guint job);
/** Kills a random machine that is up. */
void sim_kill_random_machine(Sim *sim);
/** Stalls a random machine that is up. */
void sim_stall_random_machine(Sim *sim, double seconds);
/** Draws a random machine that is up and, if it is a spot machine, interrupts it after @seconds. */
void sim_interrupt_random_machine(Sim *sim, double seconds);
/** Gives a spot machine an interruption notice: the cloud reclaims it after @seconds. */
void sim_interrupt_machine(Sim *sim, guint machine, double seconds);
/** Does the same as sim_block_outbound() to a random machine that is up. */
void sim_block_outbound_of_random_machine(Sim *sim, double seconds);
/**
 * Restarts a random machine that is up, which forgets its incarnation, its messages and its fencing
 * token too, and reports anew after 0.3 s.
 */
void sim_reset_random_machine(Sim *sim);
/** Does the same to all machines that are up. */
void sim_reset_all_machines(Sim *sim);
/** Stalls all machines that are up. */
void sim_stall_all_machines(Sim *sim, double seconds);
/** Restarts a random machine that is up: it drops its tasks and reports anew after 0.3 s. */
void sim_restart_random_machine(Sim *sim);
/**
 * Clears sim_faults() and the probability of sim_cancel_at_completion(), and starts the liveness
 * checks: from now on no accepted job may get no answer, or wait although a machine has free
 * capacity for it, for longer than the checker's limits.
 */
void sim_end_faults(Sim *sim);

/** The number of tasks that started over 1.5 s after the answer that their job is cancelled. */
guint sim_count_late_starts(const Sim *sim);
/** The number of jobs submitted so far. */
guint sim_count_jobs(const Sim *sim);
/** The number of jobs whose users have got neither the answer "done" nor "cancelled". */
guint sim_count_open_jobs(const Sim *sim);
/** The number of jobs whose users have got the answer "done". */
guint sim_count_done_jobs(const Sim *sim);
/** The number of tasks that workers have dropped because their lease expired. */
guint sim_count_lost_tasks(const Sim *sim);
/** The number of tasks that were still on machines when a controller returned these. */
guint sim_count_returned_tasks(const Sim *sim);
/** Whether a task of the job has started, or its user has decided to cancel it. */
gboolean sim_job_has_started(const Sim *sim, guint index);
/** The number of machines that are rented and not returned, for which the cloud charges. */
guint sim_count_machines(const Sim *sim);
/** The number of such machines in the zone. */
guint sim_count_machines_in_zone(const Sim *sim, const char *zone);
/** The number of task records in the store. */
guint sim_count_task_records(const Sim *sim);
/** The number of termination marks in the store. */
guint sim_count_termination_marks(const Sim *sim);
/** The number of machines that are charged for, but are in no rental batch in the store. */
guint sim_count_unrecorded_machines(const Sim *sim);
